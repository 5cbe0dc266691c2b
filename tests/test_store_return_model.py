"""Model test of the lease on orders with random store returns, freezes, lost and late answers."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from arbutustally.clock import VirtualClock
from arbutustally.errors import StoreUnavailableError
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.order_lease import OrderLease
from arbutustally_node.gateway.ports import LeaseAppend, LeaseReading, LeaseRecord

LEASE_S = 3.0
NODES = 2
#: Turns after the last fault within which a node must get the lease, and seconds between them.
LAST_TURNS = 40
LAST_STEP_S = 0.5


@dataclass(frozen=True)
class Append:
    """An append that was sent but has not arrived."""

    holder: str
    tenure: int | None
    is_released: bool
    era: int
    expected: int


class ModelStore:
    """Topic of the lease in a store that returns to older copies.

    :ivar fault: fault of the next append: ``lost`` executes it without an answer, ``late`` delays it
        and sends no answer.
    :ivar meanwhile: called between sending and arrival of the next append.
    """

    def __init__(self) -> None:
        self.records: list[LeaseRecord] = []
        self.copies: list[list[LeaseRecord]] = [[]]
        self.era = 1
        self.late: list[Append] = []
        self.fault = ""
        self.meanwhile: Callable[[], None] | None = None

    def last(self) -> LeaseReading:
        last = self.records[-1] if self.records else None
        return LeaseReading(last, len(self.records), self.era)

    def append(
        self, holder: str, tenure: int | None, is_released: bool, era: int, expected: int
    ) -> LeaseAppend:
        fault, self.fault = self.fault, ""
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()
        call = Append(holder, tenure, is_released, era, expected)
        if fault == "late":
            self.late.append(call)
            raise StoreUnavailableError("append got no answer")
        is_appended = self.carry_out(call)
        if fault == "lost":
            raise StoreUnavailableError("append got no answer")
        return LeaseAppend(is_appended, self.era)

    def carry_out(self, call: Append) -> bool:
        offset = len(self.records)
        if call.expected != offset:
            return False
        tenure = offset if call.tenure is None else call.tenure
        self.records.append(LeaseRecord(call.holder, offset, tenure, call.is_released, call.era))
        return True

    def return_to(self, copy: int) -> None:
        self.records = list(self.copies[copy % len(self.copies)])
        self.era += 1


class LeaseMachine(RuleBasedStateMachine):
    """Nodes that claim, renew and release in any order; a node without turns acts as frozen."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock(50.0)
        self.store = ModelStore()
        self.log = DecisionLog({}, clock=self.clock)
        self.starts = 0
        self.nodes = [self.new_node() for _ in range(NODES)]
        self.holders: dict[int, str] = {}
        self.newest_fence = -1

    @initialize()
    def first_node_holds(self) -> None:
        self.node_waits_and_claims(0)
        assert self.nodes[0].is_held

    def new_node(self) -> OrderLease:
        self.starts += 1
        return OrderLease(f"n{self.starts}", self.store, self.log, self.clock, LEASE_S)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, LEASE_S)))
    def time_passes(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(number=st.integers(0, NODES - 1), fault=st.sampled_from(("", "", "", "lost", "late")))
    def node_acts(self, number: int, fault: str) -> None:
        self.store.fault = fault
        self.act(self.nodes[number])

    @rule(number=st.integers(0, NODES - 1))
    def node_waits_and_claims(self, number: int) -> None:
        self.act(self.nodes[number])
        self.clock.advance(LEASE_S)
        self.act(self.nodes[number])

    @rule(number=st.integers(0, NODES - 1))
    def node_releases(self, number: int) -> None:
        if self.nodes[number].is_held:
            self.nodes[number].release()

    @rule(number=st.integers(0, NODES - 1))
    def node_learns_the_era(self, number: int) -> None:
        self.nodes[number].record_era(self.store.era)

    @rule(number=st.integers(0, NODES - 1))
    def node_polls_lease(self, number: int) -> None:
        self.nodes[number].poll()

    @rule(number=st.integers(0, NODES - 1))
    def node_restarts(self, number: int) -> None:
        self.nodes[number] = self.new_node()

    @rule()
    def all_nodes_restart(self) -> None:
        self.nodes = [self.new_node() for _ in range(NODES)]

    @rule()
    def store_is_copied(self) -> None:
        self.store.copies.append(list(self.store.records))

    @rule(copy=st.integers(0, 20))
    def store_returns(self, copy: int) -> None:
        self.store.return_to(copy)

    @rule(
        copy=st.none() | st.integers(0, 20),
        seconds=st.sampled_from((0.0, 1.0, LEASE_S)),
        number=st.integers(0, NODES - 1),
    )
    def next_append_is_slow(self, copy: int | None, seconds: float, number: int) -> None:
        def meanwhile() -> None:
            if copy is not None:
                self.store.return_to(copy)
            self.clock.advance(seconds)
            self.act(self.nodes[number])

        self.store.meanwhile = meanwhile

    @rule()
    def late_append_arrives(self) -> None:
        if self.store.late:
            self.store.carry_out(self.store.late.pop(0))

    def act(self, node: OrderLease) -> None:
        try:
            if node.is_held:
                node.renew()
            else:
                node.claim()
        except StoreUnavailableError:
            pass
        self.note_holders()

    @invariant()
    def note_holders(self) -> None:
        held = [node for node in self.nodes if node.is_held]
        assert len(held) <= 1, "two nodes hold the lease"
        for node in held:
            assert (
                node.fence >= self.newest_fence
            ), "the holder's fence is lower than an earlier one"
            self.newest_fence = node.fence
            holder = self.holders.setdefault(node.fence, node.holder)
            assert holder == node.holder, "two holders used the same fence"

    def teardown(self) -> None:
        self.store.fault, self.store.meanwhile = "", None
        for _ in range(LAST_TURNS):
            self.clock.advance(LAST_STEP_S)
            for node in self.nodes:
                self.act(node)
            if any(node.is_held for node in self.nodes):
                return
        raise AssertionError("no node gets the lease after the last fault")


class LeaseModelTest(LeaseMachine.TestCase):
    """Guards against two holders, decreasing fences, and a lease that no node can claim."""

    settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


if __name__ == "__main__":
    unittest.main()
