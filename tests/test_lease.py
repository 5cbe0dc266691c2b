"""At most one node acts under a lease when processes pause and appends are lost or delayed."""

import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from arbutustally.errors import LeaseLostError, LogUnavailableError, Ran
from arbutustally.lease import HeldLease, LeaseObserver
from arbutustally.records import Body, Record, wrap
from arbutustally.state import ControlState
from arbutustally_node.lease_hold import LeaseHold

DURATION_S = 10.0
#: Relative rates of the nodes' clocks; any two differ by less than the 1% that leases tolerate.
RATES = (1.0, 0.9955, 1.0045)
NODES = st.integers(0, len(RATES) - 1)


class SharedLog:
    """The log and the true time in seconds.

    :ivar late: appends that have not reached the log yet.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.records: list[Record] = []
        self.late: list[Record] = []


class NodeLog:
    """One node's view of the shared log.

    :ivar mode: fault of its appends: ``works``, ``answer lost``, ``late`` or ``down``.
    :ivar on_append: called when an append has reached the log.
    """

    ready = True

    def __init__(self, shared: SharedLog) -> None:
        self._shared = shared
        self._subscribers: list = []
        self.state = ControlState()
        self.mode = "works"
        self.delay_s = 0.0
        self.on_append = lambda: None
        self.response_delay_s = 0.0

    def subscribe(self, subscriber) -> None:
        self._subscribers.append(subscriber)

    def append(self, body: Body, timeout_s: float) -> None:
        record = wrap(body)
        self._shared.now += self.delay_s
        if self.mode == "works":
            self._shared.records.append(record)
            self.on_append()
            self._shared.now += self.response_delay_s
            self.read(len(self._shared.records))
            return
        if self.mode == "answer lost":
            self._shared.records.append(record)
        if self.mode == "late":
            self._shared.late.append(record)
        raise LogUnavailableError("fault", ran=Ran.MAY_HAVE_RUN)

    def read(self, count: int) -> None:
        start = self.state.offset + 1
        for offset, record in enumerate(self._shared.records[start : start + count], start):
            verdict = self.state.apply(offset, record)
            for subscriber in self._subscribers:
                subscriber(offset, record, verdict)


class LeaseMachine(RuleBasedStateMachine):
    """Three claimants with clocks of different rates; a node that makes no step is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.shared = SharedLog()
        self.logs = [NodeLog(self.shared) for _ in RATES]
        self.holds = [self._hold(number) for number in range(len(RATES))]

    def _hold(self, number: int) -> LeaseHold:
        def clock() -> float:
            return self.shared.now * RATES[number] + 77.0 * number

        name = f"n{number}#1"
        return LeaseHold(self.logs[number], "shard/0", name, DURATION_S, clock, Random(number))

    @rule(seconds=st.sampled_from([0.3, 2.0, 4.0, 9.9, 9.96, 30.0]))
    def wait(self, seconds: float) -> None:
        self.shared.now += seconds

    @rule(node=NODES)
    def step(self, node: int) -> None:
        try:
            self.holds[node].step()
        except LogUnavailableError:
            return

    @rule(node=NODES, count=st.integers(1, 20))
    def read(self, node: int, count: int) -> None:
        self.logs[node].read(count)

    @rule(
        node=NODES,
        mode=st.sampled_from(["works", "works", "answer lost", "late", "down"]),
        delay_s=st.sampled_from([0.0, 0.0, 3.0, 9.5]),
    )
    def set_fault(self, node: int, mode: str, delay_s: float) -> None:
        self.logs[node].mode = mode
        self.logs[node].delay_s = delay_s

    @precondition(lambda self: self.shared.late)
    @rule()
    def late_record_arrives(self) -> None:
        self.shared.records.append(self.shared.late.pop(0))

    @rule(node=NODES)
    def release(self, node: int) -> None:
        try:
            self.holds[node].release()
        except LogUnavailableError:
            return

    @invariant()
    def at_most_one_holder(self) -> None:
        acting = [hold.epoch for hold in self.holds if hold.valid()]
        assert len(acting) <= 1, f"tenures {acting} act at the same time"


LeaseMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)


class LeaseMachineTest(LeaseMachine.TestCase):
    """Guards against two concurrent holders: one paused, cut off, delayed or with a slow clock."""


class LeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shared = SharedLog()
        self.log = NodeLog(self.shared)
        self.other_log = NodeLog(self.shared)
        self.hold = self._hold(self.log, "n1#1")
        self.other = self._hold(self.other_log, "n2#1")

    def _hold(self, log: NodeLog, holder: str) -> LeaseHold:
        return LeaseHold(log, "x", holder, DURATION_S, lambda: self.shared.now, Random(1))

    def test_frozen_holder_finds_its_lease_expired(self) -> None:
        """Guards against an order of a paused process after another node claimed its lease."""
        self.hold.step()
        first = self.hold.require()
        self.other_log.read(10)
        self.other.step()
        self.shared.now += DURATION_S
        self.other.step()
        self.assertGreater(self.other.require(), first)
        with self.assertRaises(LeaseLostError):
            self.hold.require()

    def observe(self) -> None:
        self.other_log.read(10)
        self.other.step()

    def test_validity_counts_from_sending(self) -> None:
        """Guards against a slow response that extends a tenure beyond a claimant's wait."""
        self.log.on_append = self.observe
        self.log.response_delay_s = 5.0
        self.hold.step()
        self.shared.now += 5.0
        self.other.step()
        self.assertTrue(self.other.valid())
        self.assertFalse(self.hold.valid())

    def test_first_of_several_attempts_counts(self) -> None:
        """Guards against a renewal whose validity starts at its repeat after a lost response."""
        self.hold.step()
        self.shared.now += 5.0
        self.log.mode = "answer lost"
        with self.assertRaises(LogUnavailableError):
            self.hold.step()
        self.observe()
        self.shared.now += 4.0
        self.log.mode = "works"
        self.hold.step()
        self.assertTrue(self.hold.valid())
        self.shared.now += 6.0
        self.other.step()
        self.assertTrue(self.other.valid())
        self.assertFalse(self.hold.valid())

    def test_clocks_of_different_rates_leave_no_overlap(self) -> None:
        """Guards against a holder whose clock is slow by nearly the allowed rate."""
        held = HeldLease(0.0, DURATION_S)
        observer = LeaseObserver.from_config(DURATION_S)
        observer.record_read("x", 1, 0.0)
        true_end = DURATION_S / RATES[2]
        self.assertTrue(observer.claimable("x", 1, true_end * RATES[2]))
        self.assertFalse(held.valid(true_end * RATES[1]))

    def test_lease_is_renewed_and_released(self) -> None:
        """Guards against a lease that expires at a healthy holder, or stays valid after release."""
        for _ in range(20):
            self.hold.step()
            self.assertTrue(self.hold.valid())
            self.shared.now += 1.0
        epoch = self.hold.epoch
        self.assertEqual(epoch, 0)
        self.hold.stop()
        self.assertFalse(self.hold.valid())
        self.other_log.read(10)
        self.other.step()
        self.assertTrue(self.other.valid())
