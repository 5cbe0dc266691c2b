"""Several nodes with the real limit modules on separate virtual clocks, over a simulated log."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from arbutustally.directory import ranking
from arbutustally.errors import LogUnavailableError, PeerUnavailableError, RouterError
from arbutustally.limits import CLOCK_SLEW, GrantPool, Reservation
from arbutustally.logs import configure
from arbutustally.records import LeaseRecord
from arbutustally_node.grant_sources import GRANT, SHARE_GRANT, GrantSources
from arbutustally_node.node_table import Node
from arbutustally_node.shard_owner import SLOT_EFFECTIVE, ShardOwner, lease_name
from arbutustally_node.slot_holder import SlotHolder

# Refused attempts are expected here by the thousand.
configure("error")

ACCOUNT = "acct"
RATE = 100.0
BURST = 1000.0
LEASE_S = 10.0
LEASE = lease_name(0)
# Rounding of sums of up to some thousand floats of this size.
ROUNDING = 1e-6


@dataclass(frozen=True)
class Lease:
    holder: str
    epoch: int
    last_offset: int
    released: bool


@dataclass(frozen=True)
class Share:
    holder: str
    last_offset: int
    previous_holder: str


class Fold:
    """State of a prefix of the simulated log."""

    def __init__(self) -> None:
        limits = SimpleNamespace(rate=RATE, burst=BURST)
        self.declarations = SimpleNamespace(accounts={ACCOUNT: limits})
        self._lease: Lease | None = None
        self._shares: dict[int, Share] = {}

    def lease(self, _name: str) -> Lease | None:
        return self._lease

    def share(self, _shard: int, slot: int) -> Share | None:
        return self._shares.get(slot)

    def apply(self, offset: int, body: Any) -> None:
        if isinstance(body, LeaseRecord):
            old = self._lease
            if body.base != (old.last_offset if old else -1):
                return
            renewal = old is not None and old.holder == body.holder and not old.released
            epoch = old.epoch if renewal else offset
            self._lease = Lease(body.holder, epoch, offset, body.release)
        else:
            share = self._shares.get(body.slot)
            if body.base != (share.last_offset if share else -1):
                return
            previous = share.holder if share else ""
            self._shares[body.slot] = Share(body.holder, offset, previous)


class Hold:
    """Claims and renews the lease as the log service does."""

    def __init__(self, node: "SimNode") -> None:
        self._node = node
        self._sent_at = float("-inf")
        self._first_read: tuple[int, float] = (-1, 0.0)
        self.released = False

    def _mine(self) -> Lease | None:
        lease = self._node.fold.lease(LEASE)
        mine = lease is not None and lease.holder == self._node.holder and not lease.released
        return lease if mine else None

    @property
    def epoch(self) -> int:
        lease = self._mine()
        return lease.epoch if lease else -1

    def remaining(self, now: float) -> float:
        if self._mine() is None or self.released:
            return 0.0
        return self._sent_at + LEASE_S * 0.99 - 0.05 - now

    def step(self) -> None:
        """Claims when the lease is claimable by what this node has seen, or renews."""
        node, lease = self._node, self._node.fold.lease(LEASE)
        now = node.clock()
        if self._mine() is not None or lease is None or lease.released:
            self._append(lease, now)
            return
        if self._first_read[0] != lease.last_offset:
            self._first_read = (lease.last_offset, now)
        elif now - self._first_read[1] >= LEASE_S:
            self._append(lease, now)

    def _append(self, lease: Lease | None, now: float) -> None:
        base = lease.last_offset if lease else -1
        record = LeaseRecord(LEASE, self._node.holder, base)
        try:
            self._node.append(record)
        except LogUnavailableError:
            return
        if self._mine() is not None:
            self._sent_at = now

    def release(self) -> None:
        self.released = True
        self._node.lease_hold = None
        lease = self._mine()
        if lease is not None:
            self._node.append(LeaseRecord(LEASE, self._node.holder, lease.last_offset, True))


class SimNode:
    """One node incarnation."""

    def __init__(self, world: "World", index: int, incarnation: int) -> None:
        self.world = world
        self.id = f"n{index}"
        self.holder = f"{self.id}#{incarnation}"
        self.incarnation = str(incarnation)
        # Clocks differ in origin and run apart within the stated slew.
        self.origin = 1000.0 * index
        self.speed = 1 + CLOCK_SLEW * (-1, 1, 0.5, -0.5)[index % 4]
        self.frozen = False
        self.draining = False
        self.fold = Fold()
        self.read_to = 0
        self.confirmed_at = self.clock()
        self.lease_hold: Hold | None = None
        self.pool = GrantPool.from_config(self.clock)
        self.owner = ShardOwner(0, self.id, self.clock, lambda: self, self.call)
        self.slots = [
            SlotHolder(0, slot, self.holder, self.clock, lambda: self) for slot in range(2)
        ]
        options = SimpleNamespace(node_id=self.id, shards=1)
        self.sources = GrantSources(
            options, self.clock, lambda: self, self.call, self.pool, [self.owner], [self.slots]
        )

    def clock(self) -> float:
        return self.origin + self.world.now * self.speed

    # The log service of this node.

    @property
    def state(self) -> Fold:
        return self.fold

    def read(self) -> None:
        sent_at = self.clock()
        if not self.world.log_up or self.id in self.world.cut_from_log:
            return
        while self.read_to < len(self.world.log):
            self.fold.apply(self.read_to, self.world.log[self.read_to])
            self.read_to += 1
        self.confirmed_at = sent_at

    def append(self, body: Any) -> None:
        if not self.world.log_up or self.id in self.world.cut_from_log:
            raise LogUnavailableError("simulated outage")
        self.world.log.append(body)
        self.read()

    def hold(self, _name: str) -> Hold:
        self.lease_hold = Hold(self)
        return self.lease_hold

    # Peer calls.

    def call(self, node_id: str, method: str, payload: Any, _timeout_s: float) -> Any:
        return self.world.call(self, node_id, method, payload)

    # What the limits service does.

    def tend(self) -> None:
        self.read()
        ranked = ranking(0, [node.node() for node in self.world.visible_to(self)])
        if self.draining:
            self.owner.hand_over()
        self.owner.tend(ranked)
        if self.lease_hold is not None:
            self.lease_hold.step()
        for slot in self.slots:
            try:
                slot.tend([node.id for node in ranked[:2]], self.draining)
            except RouterError:
                continue

    def reserve(self, tokens: float) -> Reservation | None:
        """Admits a request; what the service does without its waits."""
        reservation = self.pool.reserve(ACCOUNT, tokens)
        if reservation is None:
            needed = tokens - self.pool.available(ACCOUNT)
            self.sources.fetch(ACCOUNT, needed, needed + 50)
            reservation = self.pool.reserve(ACCOUNT, tokens)
        return reservation

    def node(self) -> Node:
        return Node(self.id, self.incarnation, "z", "c", "p", self.draining)


@dataclass
class Admission:
    """One admitted request, with the tokens that it has at present."""

    at: float
    tokens: float
    reservation: Reservation = field(repr=False)
    node: SimNode = field(repr=False)
    open: bool = True


class World:
    """True time, the log, the links and the admissions."""

    def __init__(self, size: int = 4) -> None:
        self.now = 0.0
        self.log: list[Any] = []
        self.log_up = True
        self.cut_from_log: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.request_delay = 0.0
        self.answer_delay = 0.0
        self.lose_answers = False
        self.incarnations = size
        self.admissions: list[Admission] = []
        self.nodes = {f"n{index}": SimNode(self, index, index) for index in range(size)}

    def node(self, index: int) -> SimNode:
        return self.nodes[f"n{index}"]

    def restart(self, index: int) -> None:
        self.incarnations += 1
        self.nodes[f"n{index}"] = SimNode(self, index, self.incarnations)

    def owner_index(self) -> int:
        """Returns the node that ranks first."""
        return int(ranking(0, [node.node() for node in self.nodes.values()])[0].id[1:])

    def visible_to(self, node: SimNode) -> list[SimNode]:
        return [
            other
            for other in self.nodes.values()
            if not other.draining
            and (other is node or not (other.frozen or {node.id, other.id} in self.cut))
        ]

    def call(self, caller: SimNode, node_id: str, method: str, payload: Any) -> Any:
        callee = self.nodes[node_id]
        self.now += self.request_delay
        if callee.frozen or frozenset((caller.id, node_id)) in self.cut:
            raise PeerUnavailableError("simulated cut")
        if method == SLOT_EFFECTIVE:
            answer = callee.slots[payload[1]].effective(payload[2])
        else:
            handlers = {
                GRANT: callee.sources.on_grant,
                SHARE_GRANT: callee.sources.on_share_grant,
            }
            answer = handlers[method](caller.id, payload)
        self.now += self.answer_delay
        if self.lose_answers:
            raise PeerUnavailableError("simulated lost answer")
        return answer

    def tend(self) -> None:
        for node in self.nodes.values():
            if not node.frozen:
                node.tend()

    def run(self, seconds: float, step: float = 1.0) -> None:
        """Lets time pass while all nodes that are not frozen tend their leases and slots."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + step, end)
            self.tend()

    def admit(self, node: SimNode, tokens: float) -> bool:
        if node.frozen:
            return False
        reservation = node.reserve(tokens)
        if reservation is None:
            return False
        self.admissions.append(Admission(self.now, tokens, reservation, node))
        return True

    def admit_all(self, node: SimNode) -> float:
        """Admits as much as the node can get, in requests of falling size; returns the tokens."""
        total = 0.0
        for tokens in (1000.0, 500.0, 250.0, 125.0, 60.0, 25.0, 10.0):
            for _ in range(8):
                if not self.admit(node, tokens):
                    break
                total += tokens
        return total

    def settle(self, admission: Admission, fraction: float) -> None:
        """Ends a request that used a fraction of its tokens."""
        if not admission.open or admission.node.frozen:
            return
        admission.open = False
        used = admission.tokens * fraction
        admission.node.pool.settle(admission.reservation, used)
        admission.tokens = used

    def excess(self) -> float:
        """Returns the largest amount by which any interval exceeds ``rate x interval + burst``.

        The maximum over all pairs of admissions, in one pass: ``worst`` is the largest
        ``tokens - rate x interval`` of all intervals that end at the current admission.
        """
        largest, worst, last = float("-inf"), float("-inf"), 0.0
        for admission in self.admissions:
            worst = max(worst - RATE * (admission.at - last), 0.0) + admission.tokens
            last = admission.at
            largest = max(largest, worst)
        return largest - BURST
