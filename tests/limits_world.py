"""Nodes that run the real limit modules on separate virtual clocks and a simulated log."""

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from arbutustally.directory import ranking
from arbutustally.errors import LogUnavailableError, PeerUnavailableError, RouterError
from arbutustally.grant_pool import GrantPool, Reservation
from arbutustally.limit_issuer import LIFETIME_REFILL_FRACTION
from arbutustally.logs import configure
from arbutustally.owner_budget import CLOCK_SLEW
from arbutustally.records import Change, wrap
from arbutustally.state import ControlState
from arbutustally_node.grant_sources import GRANT, SHARE_GRANT, GrantSources
from arbutustally_node.lease_hold import LeaseHold
from arbutustally_node.node_table import Node
from arbutustally_node.shard_owner import SLOT_EFFECTIVE, ShardOwner
from arbutustally_node.slot_holder import SlotHolder

# Thousands of refused attempts are expected, so their log lines are suppressed.
configure("error")

ACCOUNT = "acct"
RATE = 100.0
BURST = 1000.0
#: Lifetime of a grant for the account, seconds.
GRANT_LIFETIME_S = LIFETIME_REFILL_FRACTION * BURST / RATE
LEASE_S = 10.0
# Tolerance in tokens for rounding errors of sums of up to some thousand such floats.
ROUNDING = 1e-6


class SteppedHold(LeaseHold):
    """The real lease hold, stepped by the world instead of its greenlet."""

    def start(self) -> None:
        """Does nothing; the world calls ``step``."""


class SimNode:
    """One node incarnation."""

    def __init__(self, world: "World", index: int, incarnation: int) -> None:
        self.world = world
        self.id = f"n{index}"
        self.holder = f"{self.id}#{incarnation}"
        self.incarnation = str(incarnation)
        # Clocks differ in origin and drift within ``CLOCK_SLEW``.
        self.origin = 1000.0 * index
        self.speed = 1 + CLOCK_SLEW * (-1, 1, 0.5, -0.5)[index % 4]
        self.frozen = False
        self.draining = False
        self.state = ControlState()
        self.subscribers: list[Any] = []
        self.ready = True
        self.confirmed_at = self.clock()
        self.lease_hold: SteppedHold | None = None
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

    # Interface of the node's log service.

    def read(self) -> None:
        sent_at = self.clock()
        if not self.world.log_up or self.id in self.world.cut_from_log:
            return
        for offset in range(self.state.offset + 1, len(self.world.log)):
            record = self.world.log[offset]
            verdict = self.state.apply(offset, record)
            for callback in self.subscribers:
                callback(offset, record, verdict)
        self.confirmed_at = sent_at

    def append(self, body: Any, timeout_s: float = 1.0) -> None:
        if not self.world.log_up or self.id in self.world.cut_from_log:
            raise LogUnavailableError("simulated outage; wait")
        self.world.log.append(wrap(body))
        self.read()

    def subscribe(self, callback: Any) -> None:
        self.subscribers.append(callback)

    def hold(self, name: str, wanted: Any) -> SteppedHold:
        self.lease_hold = SteppedHold(
            self, name, self.holder, LEASE_S, self.clock, Random(0), wanted
        )
        return self.lease_hold

    def step_hold(self) -> None:
        with suppress(LogUnavailableError):
            if self.lease_hold is not None:
                self.lease_hold.step()

    # Peer calls.

    def call(self, node_id: str, method: str, payload: Any, _timeout_s: float) -> Any:
        return self.world.call(self, node_id, method, payload)

    # Work of the limits service.

    def maintain(self) -> None:
        self.read()
        ranked = ranking(0, [node.node() for node in self.world.visible_to(self)])
        if self.draining:
            self.owner.hand_over()
        self.owner.maintain(ranked)
        self.step_hold()
        for slot in self.slots:
            try:
                slot.maintain([node.id for node in ranked[:2]], self.draining)
            except RouterError:
                continue

    def try_ahead(self, tokens: float) -> None:
        """Prefetches tokens from the owner."""
        with suppress(RouterError):
            self.sources.ask_owner(ACCOUNT, 0.0, tokens)

    def reserve(self, tokens: float, ahead: float = 50.0) -> Reservation | None:
        """Reserves tokens for a request, as the limits service does, but without waiting."""
        reservation = self.pool.reserve(ACCOUNT, tokens)
        if reservation is None:
            needed = tokens - self.pool.available(ACCOUNT)
            self.sources.fetch(ACCOUNT, needed, needed + ahead)
            reservation = self.pool.reserve(ACCOUNT, tokens)
        return reservation

    def node(self) -> Node:
        return Node(self.id, self.incarnation, "z", "c", "p", self.draining)


@dataclass
class Admission:
    """One admitted request.

    :ivar at: true time of the admission, seconds.
    :ivar tokens: tokens reserved, after settlement those used.
    """

    at: float
    tokens: float
    reservation: Reservation = field(repr=False)
    node: SimNode = field(repr=False)
    open: bool = True


class World:
    """Simulation of true time, the log, the links and the admissions."""

    def __init__(self, size: int = 4, rate: float = RATE, burst: float = BURST) -> None:
        self.now = 0.0
        self.rate = rate
        self.burst = burst
        self.calls = 0
        items = {
            f"accounts/{ACCOUNT}": {"rate": rate, "burst": burst},
        }
        self.log: list[Any] = [wrap(Change(-1, items))]
        self.log_up = True
        self.cut_from_log: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
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

    def owns(self, node: SimNode) -> bool:
        hold = node.lease_hold
        return hold is not None and hold.valid(node.clock())

    def owner_index(self) -> int:
        """Returns the index of the node that ranks first."""
        return int(ranking(0, [node.node() for node in self.nodes.values()])[0].id[1:])

    def visible_to(self, node: SimNode) -> list[SimNode]:
        return [
            other
            for other in self.nodes.values()
            if not other.draining
            and (other is node or not (other.frozen or {node.id, other.id} in self.cut_links))
        ]

    def call(self, caller: SimNode, node_id: str, method: str, payload: Any) -> Any:
        callee = self.nodes[node_id]
        self.calls += 1
        self.now += self.request_delay
        if callee.frozen or frozenset((caller.id, node_id)) in self.cut_links:
            raise PeerUnavailableError("simulated cut")
        if method == SLOT_EFFECTIVE:
            answer = callee.slots[payload[1]].confirm_owner_lowered(payload[2])
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

    def maintain(self) -> None:
        for node in self.nodes.values():
            if not node.frozen:
                node.maintain()

    def run(self, seconds: float, step: float = 1.0) -> None:
        """Advances time while all nodes that are not frozen do their periodic work."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + step, end)
            self.maintain()

    def admit(self, node: SimNode, tokens: float, ahead: float = 50.0) -> bool:
        if node.frozen:
            return False
        reservation = node.reserve(tokens, ahead)
        if reservation is None:
            return False
        self.admissions.append(Admission(self.now, tokens, reservation, node))
        return True

    def admit_all(self, node: SimNode) -> float:
        """Admits as much as the node can, in requests of decreasing size; returns the tokens."""
        total = 0.0
        for part in (1.0, 0.5, 0.25, 0.125, 0.06, 0.025, 0.01):
            tokens = part * self.burst
            for _ in range(4):
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

        It is the maximum over all pairs of admissions, found in one pass: ``worst`` is the largest
        ``tokens - rate x interval`` of all intervals that end at the current admission.
        """
        largest, worst, last = float("-inf"), float("-inf"), 0.0
        for admission in self.admissions:
            worst = max(worst - self.rate * (admission.at - last), 0.0) + admission.tokens
            last = admission.at
            largest = max(largest, worst)
        return largest - self.burst
