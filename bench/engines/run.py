"""One run: one scenario, one policy, one seed."""

from dataclasses import dataclass
from random import Random

from bench.engines.arrivals import Arrival, draw_arrivals
from bench.engines.callers import Caller
from bench.engines.experiment import MS, Experiment, Scenario
from bench.engines.memory import PartKey
from bench.engines.news import News
from bench.engines.node import Node
from bench.engines.orders import Orders
from bench.engines.placing import Placer
from bench.engines.policies import POLICIES
from bench.engines.request_run import RequestRun, route_of
from bench.engines.sites import Site
from bench.engines.tally import Result, Tally
from bench.engines.troubles import Troubles
from bench.replay.loop import EventLoop


@dataclass(frozen=True)
class Cell:
    """What to run."""

    experiment: Experiment
    scenario: Scenario
    policy: str
    seed: int


class World:
    """Site, nodes and callers of one cell."""

    def __init__(self, cell: Cell) -> None:
        experiment = cell.experiment
        self._cell = cell
        self._loop = EventLoop()
        self._tally = Tally()
        self.site = Site(experiment, self._loop, Random(f"events/{cell.seed}"), self._on_cache)
        zones = experiment.nodes.zones
        self.nodes = [
            Node(
                number,
                zones[number % len(zones)],
                experiment,
                POLICIES[cell.policy],
                self._loop.clock,
                Random(f"node/{cell.seed}/{number}"),
                self.site.entries(),
            )
            for number in range(experiment.nodes.count)
        ]
        self._placer = Placer(experiment, self.site.stores)
        self._routes = {sizes.name: route_of(sizes) for sizes in experiment.requests}

    def play(self) -> Result:
        """Plays the cell to its end."""
        cell, experiment = self._cell, self._cell.experiment
        orders = Orders(experiment, self.site, self.nodes)
        rng = Random(f"troubles/{cell.seed}")
        troubles = Troubles(experiment, self.site, self.nodes, orders, rng)
        for trouble in cell.scenario.troubles:
            troubles.plan(trouble)
        until = experiment.run.duration_s + experiment.run.tail_s
        News(self.nodes, self._loop, experiment.nodes.knowledge_age_ms * MS, until).start()
        arrivals = draw_arrivals(experiment, cell.scenario.load, cell.seed)
        for arrival in arrivals:
            self._loop.at(arrival.at, lambda arrival=arrival: self._begin(arrival))
        self._loop.run(until)
        return Result(
            cell.scenario.name,
            cell.policy,
            cell.seed,
            len(arrivals),
            tuple(self._tally.records),
            self.site.read_parts.again_tokens,
            self.site.preemptions,
        )

    def _begin(self, arrival: Arrival) -> None:
        route = self._routes[arrival.sizes.name]
        way_s = 2 * self._cell.experiment.net.client_ms * MS

        def start(node: int, left_s: float, made: int, caller: Caller) -> RequestRun:
            run = RequestRun(
                self.site, self.nodes[node], self._placer, arrival, route, left_s, made, caller
            )
            # Both ways between caller and node are spent before the node has the request.
            self._loop.after(way_s, run.start)
            return run

        Caller(self._loop, arrival, self._tally, start).begin()

    def _on_cache(self, place: str, key: PartKey, tokens: int) -> None:
        for node in self.nodes:
            if node.policy.has_cached_parts:
                # Without tokens left the part counts as dropped.
                node.holdings.record_dropped(place, key.scope, key.id, tokens)


def run_cell(cell: Cell) -> Result:
    """Plays one cell; equal cells give equal results."""
    return World(cell).play()
