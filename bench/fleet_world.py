"""Simulates real ``FleetTable`` objects on a virtual clock and a network with delay and loss.

Every node's load grows by one token a second, so the sum of peers' load that a node knows gives the
age of its data.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.fleet_size import FleetSize
from arbutustally.gateway.quota import QuotaLedger, QuotaTolerance
from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_table import FleetTable
from arbutustally_node.gateway.gossip import DIRECT_INTERVAL_S, RELAY_INTERVAL_S
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.part_quarantine import PartQuarantine
from arbutustally_node.gateway.peer_state import Covers, PeerState

ENGINE = "engine"
ACCOUNT = "school"
DELAY_S = 0.002
#: Rate and burst of the account, tokens a second and tokens.
LIMIT = (200_000.0, 200_000.0)
TOLERANCE = QuotaTolerance(0.1, 110_000.0)
SEEDS = 3


class WorldNode:
    """One node: its table, and the use by peers that it knows of."""

    def __init__(self, number: int, zone: str, start: int, world: "FleetWorld") -> None:
        self.number = number
        self.ip = f"10.0.{number // 250}.{number % 250 + 1}"
        self.member = Member(
            f"node-{number}", self.ip, zone, f"{self.ip}:80", f"{self.ip}:81", True, 1
        )
        self.incarnation = f"{number}.{start}"
        self.table = FleetTable(self.member, world.clock)
        self.size = FleetSize(
            world.clock, lambda: self.table.known, lambda: self.table.is_discovering
        )
        if world.recorded_size:
            self.size.record_read(world.recorded_size)
        self.shared_among = (0, 0)
        self.uses: dict[str, float] = {}
        self.peers_admitted = 0.0
        self.admitted = 0.0
        self.runs = True
        self.frozen_until = 0.0
        self.ledger = QuotaLedger.from_config(world.clock, TOLERANCE)
        self.ledger.set_limits({ACCOUNT: world.limit})
        self.sources: set[str] = set()
        self.urgent_states: list[PeerState] = []
        self.reported_peers = 0
        self.queued: list[tuple[PeerState, str]] = []
        self.last_admitted: dict[str, float] = {}
        self.quarantine = PartQuarantine(
            DecisionLog({}, clock=world.clock),
            Instruments(),
            world.clock,
            world.clock,
            self.table.rank,
        )
        self._world = world

    def describe(self) -> PeerState:
        now = self._world.clock()
        return PeerState(
            self.member,
            self.incarnation,
            0,
            Covers.NODE,
            loads={ENGINE: (1, now, 0.0, 0)},
            admitted={ACCOUNT: self.admitted + self.ledger.admitted.get(ACCOUNT, 0.0)},
            quarantine=self.quarantine.describe(),
        )

    def take(self, state: PeerState) -> None:
        if not self.table.take(state):
            return
        self.quarantine.take(state.quarantine, state.sender.node)
        if state.covers is Covers.URGENT:
            self.urgent_states.append(state)
        use = self.table.reported_use(state)
        if use is None:
            return
        self.uses[use.source] = use.loads.get(ENGINE, (0, 0.0, 0.0, 0))[1]
        self.ledger.record_admitted(use.source, use.admitted)
        self.sources.add(use.source)
        total = use.admitted.get(ACCOUNT, 0.0)
        self.peers_admitted += total - self.last_admitted.get(use.source, total)
        self.last_admitted[use.source] = total

    def admit(self, tokens: float) -> bool:
        """Tries to admit a request; returns whether it is within the limit that this node knows."""
        return self.table.is_settled and self.ledger.take(ACCOUNT, tokens) is None

    def review(self) -> None:
        """Drops sources that no longer count, and updates the limit when the fleet has changed."""
        has_changed = self.table.refresh()
        for source in self.sources - self.table.sources():
            self.ledger.forget(source)
            self.last_admitted.pop(source, None)
        self.sources &= self.table.sources()
        if has_changed:
            self.reported_peers = len(self.table.present)
        shared_among = (self.reported_peers + 1, self.size.sharing_nodes)
        if shared_among != self.shared_among:
            self.shared_among = shared_among
            self.ledger.set_reporting_nodes(*shared_among)

    def known_load(self) -> float:
        """Returns the load of all peers as this node knows it."""
        sources = self.table.sources()
        return sum(load for source, load in self.uses.items() if source in sources)


class FleetWorld:
    """Nodes and the network between them.

    :param loss: fraction of the datagrams that are lost.
    :ivar recorded_size: size of the fleet that nodes find in the store when they start, 0 for none.
    :ivar is_cut: whether a datagram from one node to another is lost in a partition.
    """

    def __init__(
        self,
        nodes: int,
        zones: int = 6,
        seed: int = 1,
        loss: float = 0.0,
        limit: tuple[float, float] = LIMIT,
    ) -> None:
        self.clock = VirtualClock(100.0)
        self.limit = limit
        self.rng = Random(seed)
        self.loss = loss
        self.recorded_size = 0
        self.is_cut: Callable[[WorldNode, WorldNode], bool] = lambda _source, _target: False
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.zone_bytes = 0
        self.counts_bytes = False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.nodes = [WorldNode(number, f"z{number % zones}", 0, self) for number in range(nodes)]
        self._by_ip = {node.ip: node for node in self.nodes}
        for node in self.nodes:
            self._begin(node)

    def _begin(self, node: WorldNode) -> None:
        for seed in self.nodes[:SEEDS]:
            node.table.add_candidate(seed.ip, is_lasting=True)
        self.at(self.rng.uniform(0.0, 0.3), lambda: self._tick(node))

    def at(self, after_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        heapq.heappush(self._events, (self.clock() + after_s, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Runs the simulation for a time in seconds."""
        end = self.clock() + seconds
        while self._events and self._events[0][0] <= end:
            at, _order, action = heapq.heappop(self._events)
            self.clock.advance_to(at)
            action()
        self.clock.advance_to(end)

    def freeze(self, node: WorldNode, seconds: float) -> None:
        """Suspends a node; datagrams that arrive meanwhile are queued."""
        node.frozen_until = self.clock() + seconds

    def kill(self, node: WorldNode) -> None:
        """Stops a node without notice to its peers."""
        node.runs = False

    def restart(self, node: WorldNode, start: int = 1) -> WorldNode:
        """Replaces a stopped node by a new incarnation of it."""
        fresh = WorldNode(node.number, node.member.zone, start, self)
        self.nodes[node.number] = fresh
        self._by_ip[fresh.ip] = fresh
        self._begin(fresh)
        return fresh

    def running(self) -> list[WorldNode]:
        """Returns the nodes that run."""
        return [node for node in self.nodes if node.runs]

    def age_s(self, node: WorldNode) -> float:
        """Returns the mean age of a node's data on its peers' load, seconds."""
        peers = len(self.running()) - 1
        return self.clock() - node.known_load() / peers if peers else 0.0

    def _tick(self, node: WorldNode) -> None:
        if not node.runs:
            return
        is_direct = node.table.is_direct
        self.at(DIRECT_INTERVAL_S if is_direct else RELAY_INTERVAL_S, lambda: self._tick(node))
        if node.frozen_until > self.clock():
            return
        queued, node.queued = node.queued, []
        for state, from_ip in queued:
            self._arrive(node, state, from_ip)
        node.review()
        own = node.describe()
        for message in node.table.outgoing(own):
            self._send(node, message.state, message.ips)

    def send_urgent(self, node: WorldNode) -> None:
        """Makes a node send an urgent message."""
        message = node.table.urgent(node.describe())
        self._send(node, message.state, message.ips)

    def _send(self, node: WorldNode, state: PeerState, ips: tuple[str, ...]) -> None:
        size = len(state.encode()) if self.counts_bytes else 0
        for ip in ips:
            self.sent[node.ip] += 1
            self.sent_bytes[node.ip] += size
            target = self._by_ip.get(ip)
            if target is None or self.rng.random() < self.loss or self.is_cut(node, target):
                continue
            if target.member.zone != node.member.zone:
                self.zone_bytes += size
            self.at(DELAY_S, lambda target=target: self._arrive(target, state, node.ip))

    def _arrive(self, node: WorldNode, state: PeerState, from_ip: str) -> None:
        if not node.runs:
            return
        if node.frozen_until > self.clock():
            node.queued.append((state, from_ip))
            return
        self.received[node.ip] += 1
        forward_to = node.table.forward_ips(state, from_ip)
        node.take(state)
        self._send(node, state, forward_to)
