"""Simulates nodes that read a store which returns to older copies, on a virtual clock."""

import json
from dataclasses import dataclass

from arbutustally.clock import VirtualClock
from arbutustally.errors import HoleFoundError, StoreUnavailableError
from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.configuration_age import ConfigurationAge
from arbutustally.gateway.contact import Contact
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.list_outage import ListOutage
from arbutustally.gateway.shared_reading import SharedReading
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.endpoint_notices import EndpointNotices
from arbutustally_node.gateway.endpoint_reader import PAUSE_FRACTION, READING_DUTY, EndpointReader
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.operator_reader import OperatorReader
from arbutustally_node.gateway.ports import Batch, Record, WeightsNamed
from arbutustally_node.gateway.store_watch import StoreWatch

LEAVING_S = 2.0
STORE_RETURN_S = 2.5
#: Interval between two rounds of messages, and between two heartbeats of a worker, seconds.
TICK_S = 0.2
#: Time without heartbeats after which the store drops a worker's entry, seconds.
EXPIRY_S = 0.8
SERVICE = "s"


class Documents:
    """Decodes endpoint entries from JSON, and configurations and named weights from numbers."""

    def decode_operator(self, record: Record) -> Configuration | WeightsNamed | None:
        if record.key == "config":
            return Configuration(int(record.value), (), {}, {}, {})
        return WeightsNamed("m", int(record.value))

    def decode_endpoint(self, record: Record) -> EndpointEntry | None:
        fields = json.loads(record.value)
        return EndpointEntry(
            record.key, SERVICE, "10.0.0.1:1", "z1", 4, fields["leaving"], {}, fields["born"]
        )


@dataclass
class Worker:
    """Actual state of a worker, regardless of its entry in the store."""

    id: str
    born: int = 1
    is_alive: bool = True
    is_leaving: bool = False
    heartbeat_at: float = 0.0

    def entry(self) -> bytes:
        return json.dumps({"leaving": self.is_leaving, "born": str(self.born)}).encode()


class Store:
    """A store of two topics that can be copied and restored."""

    def __init__(self) -> None:
        self.era = 1
        self.topics: dict[str, list[Record]] = {"servers": [], "op": []}

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        self.topics[topic].append(Record(key, value))

    def copy(self) -> dict[str, list[Record]]:
        return {topic: list(records) for topic, records in self.topics.items()}

    def return_to(self, copy: dict[str, list[Record]]) -> None:
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.era += 1

    def newest(self, topic: str) -> dict[str, bytes]:
        found: dict[str, bytes] = {}
        for record in self.topics[topic]:
            found.pop(record.key, None)
            if record.value is not None:
                found[record.key] = record.value
        return found


class Topic:
    """A node's access to a topic; fails while the node is cut off."""

    def __init__(self, world: "World", node: "Node", name: str) -> None:
        self._world = world
        self._node = node
        self._name = name

    def newest(self) -> Batch:
        store = self._reached()
        records = tuple(Record(*item) for item in store.newest(self._name).items())
        return Batch(records, len(store.topics[self._name]), store.era)

    def since(self, offset: int, wait_s: float) -> Batch:
        store = self._reached()
        records = store.topics[self._name]
        if offset > len(records):
            raise HoleFoundError("beyond the end", oldest=0, era=store.era)
        return Batch(tuple(records[offset:]), len(records), store.era)

    def _reached(self) -> Store:
        if self._node.is_cut:
            raise StoreUnavailableError("cut off")
        return self._world.store


class Node:
    """Readers of one node, and its messages to its peers."""

    def __init__(self, world: "World", index: int) -> None:
        self.world = world
        self.index = index
        self.is_cut = False
        self.is_frozen = False
        self.is_isolated = False
        clock, log = world.clock, DecisionLog({}, clock=world.clock)
        self.view = FleetView(Documents(), clock, log)
        watch = StoreWatch(log, clock, Contact(clock, LEAVING_S), ConfigurationAge(clock))
        self.reading = SharedReading.from_config(clock, LEAVING_S)
        self.endpoints = EndpointReader(
            Topic(world, self, "servers"),
            self.view,
            self.reading,
            watch,
            log,
            clock,
            self,
            LEAVING_S,
            ListOutage(TICK_S),
            STORE_RETURN_S,
        )
        self.operator_reader = OperatorReader(
            Topic(world, self, "op"),
            self.view,
            watch,
            log,
            clock,
            lambda: self.endpoints.is_reader,
            self.send_now,
        )
        self.notices = EndpointNotices(self.view.book, log, world.rng, lambda: None)
        self.watch = watch
        self._next_read = 0.0

    @property
    def is_settled(self) -> bool:
        """Stands in for ``Gossip.is_settled``: the fleet is always known."""
        return True

    @property
    def version(self) -> int:
        configuration = self.view.configuration
        return configuration.version if configuration else 0

    @property
    def named(self) -> int:
        return self.view.weights["m"].version if "m" in self.view.weights else 0

    @property
    def usable(self) -> set[str]:
        return {state.id for state in self.view.book.usable(SERVICE)}

    def rank(self, _duty: bytes = READING_DUTY) -> int:
        return [node.index for node in self.world.reached_by(self)].index(self.index)

    def send_now(self) -> None:
        """Sends the updates to all awake peers, as ``PeerSync`` does."""
        updates = self.endpoints.updates()
        operator = self.operator_reader.updates(self.endpoints.is_reader)
        now = self.world.clock()
        for peer in self.world.reached_by(self):
            if peer is self:
                continue
            if updates is not None:
                peer.endpoints.take(updates, "peer")
            peer.operator_reader.take(operator, "peer")
            for model, named in self.view.weights.items():
                for version, at in named.dated.items():
                    peer.view.learn_weights(model, version, at, "peer")
            peer.notices.apply_leaving(self.notices.leaving, "peer")
        assert now == self.world.clock()

    def step(self) -> None:
        """Performs the reads that are due, and requests from a peer what the store lacks."""
        try:
            if self.world.clock() >= self._next_read and self.endpoints._must_read():
                self._next_read = self.world.clock() + LEAVING_S * PAUSE_FRACTION
                self.endpoints.read_once()
                if self.endpoints._must_read_whole:
                    self.endpoints.read_once()
        except StoreUnavailableError as error:
            self.endpoints.failed(error)
        try:
            if self.operator_reader._offset is None or self.endpoints.is_reader:
                self.operator_reader.read_once()
        except StoreUnavailableError as error:
            self.watch.failed(error)
        self._catch_up()

    def _catch_up(self) -> None:
        peers = [peer for peer in self.world.reached_by(self) if peer is not self]
        ahead = [peer for peer in peers if peer.version > self.version]
        is_behind = not self.watch.has_store and self.endpoints.has_missed
        if not peers or not (ahead or is_behind or self.reading.position is None):
            return
        peer = max(ahead, key=lambda one: one.version) if ahead else self.world.rng.choice(peers)
        for record in peer.view.operator_records:
            self.view.apply_operator(record, "peer")
        if peer.reading.position is not None:
            self.endpoints.apply_snapshot(peer.view.endpoint_records, peer.reading.position, "peer")


class World:
    """Simulation of workers, an operator, a store and nodes."""

    def __init__(self, rng, nodes: int = 4, workers: int = 4) -> None:
        self.rng = rng
        self.clock = VirtualClock(1000.0)
        self.store = Store()
        self.workers = [Worker(f"e{number}") for number in range(workers)]
        self.written = {"config": 1, "version/m": 1}
        for key in self.written:
            self.write_operator(key)
        self.write_heartbeats()
        self.nodes = [Node(self, index) for index in range(nodes)]

    def awake(self) -> list[Node]:
        return [node for node in self.nodes if not node.is_frozen]

    def reached_by(self, node: Node) -> list[Node]:
        """Returns the awake nodes that exchange messages with a node, including itself."""
        if node.is_isolated:
            return [node]
        return [other for other in self.awake() if not other.is_isolated]

    def write_operator(self, key: str) -> None:
        self.store.put("op", key, str(self.written[key]).encode())

    def write_again(self) -> None:
        """Rewrites the operator's records that the store has lost, in random order."""
        newest = self.store.newest("op")
        lost = [
            key for key, version in self.written.items() if newest.get(key) != str(version).encode()
        ]
        self.rng.shuffle(lost)
        for key in lost:
            self.write_operator(key)

    def write_heartbeats(self) -> None:
        """Writes heartbeats of live workers and drops the expired entries of the others."""
        now = self.clock()
        listed = self.store.newest("servers")
        for worker in self.workers:
            if worker.is_alive:
                worker.heartbeat_at = now
                self.store.put("servers", worker.id, worker.entry())
            elif worker.id in listed and now - worker.heartbeat_at >= EXPIRY_S:
                self.store.put("servers", worker.id, None)

    def run(self, seconds: float, has_heartbeats: bool = True) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            if has_heartbeats:
                self.write_heartbeats()
            for node in self.awake():
                node.step()
            for node in self.awake():
                node.send_now()

    def return_to(self, copy: dict[str, list[Record]]) -> None:
        self.store.return_to(copy)
        for worker in self.workers:
            # After a return, the store restarts the expiry time of all its entries.
            worker.heartbeat_at = self.clock()
