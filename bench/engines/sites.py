"""The endpoints of a site and the network to them."""

from collections.abc import Callable
from random import Random

from arbutustally.clock import Clock
from arbutustally.gateway.endpoint_entry import EndpointEntry
from bench.engines.engine import Engine
from bench.engines.experiment import MS, Experiment
from bench.engines.jobs import Job, PartPlace
from bench.engines.links import Link
from bench.engines.loads import LoadPool
from bench.engines.memory import BlockMemory, PartKey, ReadParts
from bench.engines.node import ENGINES, MODEL, WORKERS
from bench.engines.worker import Worker, WorkerJob
from bench.replay.loop import EventLoop

#: Takes a place, the key of a part, and the tokens that it holds of it.
CacheEvents = Callable[[str, PartKey, int], None]


class Site:
    """Engines, workers and stores of cached parts.

    :param on_cache: hears what engines and stores hold, late and with gaps.
    """

    def __init__(
        self, experiment: Experiment, loop: EventLoop, rng: Random, on_cache: CacheEvents
    ) -> None:
        self.loop = loop
        self._experiment = experiment
        self._rng = rng
        self._on_cache = on_cache
        self._net = experiment.net
        loads = LoadPool(loop, experiment.engines.load_s, experiment.engines.loads_at_once)
        self.read_parts = ReadParts()
        self.engines: dict[str, Engine] = {}
        for number in range(experiment.engines.count):
            name = f"engine-{number}"
            self.engines[name] = Engine(
                name,
                self._zone(number),
                experiment.engines,
                loop,
                loads,
                self.read_parts,
                self._watcher(name),
            )
        workers = experiment.workers
        self.workers = {
            f"worker-{number}": Worker(
                f"worker-{number}", self._zone(number), workers.slots, workers.queue, loop
            )
            for number in range(workers.count)
        }
        self._stores: dict[str, PartPlace] = {}
        for number in range(experiment.store.count):
            name = f"store-{number}"
            memory = BlockMemory(
                experiment.store.kv_tokens, experiment.engines.block_tokens, self._watcher(name)
            )
            speed = experiment.engines.transfer_tokens_per_s
            speed *= experiment.store.link_mbps / experiment.engines.link_mbps
            queues_at_both = experiment.engines.transfers_queue == "both"
            link = Link(loop.clock, speed, self._zone(number), queues_at_both)
            self._stores[name] = PartPlace(memory, link)

    @property
    def clock(self) -> Clock:
        """Returns the virtual clock."""
        return self.loop.clock

    @property
    def stores(self) -> dict[str, str]:
        """Returns the zones of the stores of cached parts by name."""
        return {name: place.link.zone for name, place in self._stores.items()}

    @property
    def preemptions(self) -> int:
        """Returns how often a request lost its memory."""
        return sum(engine.preemptions for engine in self.engines.values())

    def entries(self) -> list[EndpointEntry]:
        """Returns the list of endpoints."""
        listed = [self.entry(name) for name in self.engines]
        slots = self._experiment.workers.slots
        return listed + [
            EndpointEntry(name, WORKERS, name, worker.zone, slots, False, {}, "1")
            for name, worker in self.workers.items()
        ]

    def entry(self, name: str, is_leaving: bool = False) -> EndpointEntry:
        """Returns the entry of an engine."""
        engine = self.engines[name]
        return EndpointEntry(
            name,
            ENGINES,
            name,
            engine.zone,
            self._experiment.engines.slots,
            is_leaving,
            {MODEL: engine.version},
            str(engine.incarnation),
        )

    def part_place(self, name: str) -> PartPlace:
        """Returns the memory and the link of an engine or a store."""
        if name in self._stores:
            return self._stores[name]
        engine = self.engines[name]
        is_there = engine.is_up and not engine.is_dark
        return PartPlace(engine.memory if is_there else None, engine.link)

    def send(self, zone: str, endpoint: str, arrive: Callable[[], None]) -> None:
        """Sends a request; both ways of the network are spent on the way there."""
        there = self.engines.get(endpoint) or self.workers[endpoint]
        delay_ms = self._net.in_zone_ms if there.zone == zone else self._net.cross_zone_ms
        self.loop.after(2 * delay_ms * MS, arrive)

    def submit(self, endpoint: str, job: Job | WorkerJob) -> None:
        """Gives a request to an endpoint."""
        (self.engines.get(endpoint) or self.workers[endpoint]).submit(job)

    def cancel(self, endpoint: str, job: Job | WorkerJob) -> None:
        """Closes the connection of a request."""
        (self.engines.get(endpoint) or self.workers[endpoint]).cancel(job)

    def _zone(self, number: int) -> str:
        zones = self._experiment.nodes.zones
        return zones[number % len(zones)]

    def _watcher(self, name: str) -> Callable[[PartKey, int], None] | None:
        nodes = self._experiment.nodes
        if not nodes.follows_caches:
            return None

        def watch(key: PartKey, tokens: int) -> None:
            if self._rng.random() >= nodes.cache_events_lost:
                self.loop.after(
                    nodes.cache_events_lag_ms * MS, lambda: self._on_cache(name, key, tokens)
                )

        return watch
