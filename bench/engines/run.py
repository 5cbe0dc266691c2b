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


def run_cell(cell: Cell) -> Result:
    """Plays one cell; equal cells give equal results."""
    experiment, scenario = cell.experiment, cell.scenario
    loop = EventLoop()
    nodes: list[Node] = []

    def on_cache(place: str, key: PartKey, tokens: int) -> None:
        for node in nodes:
            if node.policy.has_cached_parts:
                # Without tokens left the part counts as dropped.
                node.holdings.dropped(place, key.scope, key.id, tokens)

    site = Site(experiment, loop, Random(f"events/{cell.seed}"), on_cache)
    zones = experiment.nodes.zones
    nodes.extend(
        Node(
            number,
            zones[number % len(zones)],
            experiment,
            POLICIES[cell.policy],
            loop.clock,
            Random(f"node/{cell.seed}/{number}"),
            site.entries(),
        )
        for number in range(experiment.nodes.count)
    )
    orders = Orders(experiment, site, nodes)
    troubles = Troubles(experiment, site, nodes, orders, Random(f"troubles/{cell.seed}"))
    for trouble in scenario.troubles:
        troubles.plan(trouble)
    until = experiment.run.duration_s + experiment.run.tail_s
    News(nodes, loop, experiment.nodes.knowledge_age_ms * MS, until).start()
    arrivals = draw_arrivals(experiment, scenario.load, cell.seed)
    tally = Tally()
    _play(experiment, loop, site, nodes, arrivals, tally)
    loop.run(until)
    return Result(
        scenario.name,
        cell.policy,
        cell.seed,
        len(arrivals),
        tuple(tally.records),
        site.read_tokens,
        _distinct_tokens(arrivals),
        site.preemptions,
    )


def _play(
    experiment: Experiment,
    loop: EventLoop,
    site: Site,
    nodes: list[Node],
    arrivals: list[Arrival],
    tally: Tally,
) -> None:
    placer = Placer(experiment, site.stores)
    routes = {sizes.name: route_of(sizes) for sizes in experiment.requests}
    way_s = 2 * experiment.net.client_ms * MS

    def begin(arrival: Arrival) -> None:
        route = routes[arrival.sizes.name]

        def start(node: int, left_s: float, made: int, caller: Caller) -> RequestRun:
            run = RequestRun(site, nodes[node], placer, arrival, route, left_s, made, caller)
            # Both ways between caller and node are spent before the node has the request.
            loop.after(way_s, run.start)
            return run

        Caller(loop, arrival, tally, start).begin()

    for arrival in arrivals:
        loop.at(arrival.at, lambda arrival=arrival: begin(arrival))


def _distinct_tokens(arrivals: list[Arrival]) -> int:
    parts = {part.id: part.tokens for arrival in arrivals for part in arrival.parts}
    return sum(parts.values())
