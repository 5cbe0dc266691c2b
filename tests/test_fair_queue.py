"""Fair queue: bounds hold, light accounts are served, and only waiting work is shed."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutustally.clock import VirtualClock
from arbutustally.errors import OverloadedError, Ran
from arbutustally.fairness import FairQueue, QueueLimits, TicketState, engine_priority
from tests.policy_support import ClassTarget

LIMITS = QueueLimits(
    in_flight_tokens=100,
    queued_tokens=300,
    tokens_per_s=100,
    wait_s=2,
    priority=1,
    pool_tokens=100,
)
WEIGHTS = {"small": 1.0, "large": 4.0}


class FairQueueMachine(RuleBasedStateMachine):
    """Model: all tickets ever returned; sums are recomputed from their states."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock()
        self.queue = FairQueue(self.clock, LIMITS, WEIGHTS)
        self.tickets: list = []
        self.admitted: set[int] = set()

    @rule(account=st.sampled_from(("small", "large", "other")), tokens=st.integers(1, 150))
    def submit(self, account: str, tokens: int) -> None:
        deadline = self.clock() + LIMITS.wait_s
        try:
            self.tickets.append(self.queue.submit(account, tokens, deadline))
        except OverloadedError as error:
            assert error.ran is Ran.NOT_RUN
            assert error.retry_after_s > 0

    @rule(number=st.integers(0, 100))
    def release(self, number: int) -> None:
        if self.tickets:
            self.queue.release(self.tickets[number % len(self.tickets)])

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.queue.expire()
        for ticket in self.tickets:
            assert ticket.state is not TicketState.WAITING or ticket.deadline > self.clock()

    @invariant()
    def sums_match_tickets(self) -> None:
        states = dict.fromkeys(TicketState, 0.0)
        for ticket in self.tickets:
            states[ticket.state] += ticket.tokens
        assert abs(states[TicketState.WAITING] - self.queue.queued) < 1e-6
        assert abs(states[TicketState.ADMITTED] - self.queue.in_flight) < 1e-6

    @invariant()
    def bounds_hold(self) -> None:
        admitted = [entry for entry in self.tickets if entry.state is TicketState.ADMITTED]
        waiting = [entry for entry in self.tickets if entry.state is TicketState.WAITING]
        # Only accounts within their share of the pool are admitted beyond the bound.
        assert self.queue.in_flight <= 2 * LIMITS.pool_tokens or len(admitted) == 1
        assert self.queue.queued <= LIMITS.queued_tokens or len(waiting) == 1
        assert not waiting or admitted, "requests are queued although the pool is idle"

    @invariant()
    def admitted_work_is_never_shed(self) -> None:
        for number, ticket in enumerate(self.tickets):
            if ticket.state is TicketState.ADMITTED:
                self.admitted.add(number)
            assert not (number in self.admitted and ticket.state is TicketState.SHED)


FairQueueMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=40)
FairQueueTest = FairQueueMachine.TestCase


class FairnessTest(unittest.TestCase):
    def serve(self, offered: dict[str, int], weights: dict[str, float]) -> dict[str, float]:
        """Submits 10-token requests for 60 rounds of one second; returns the tokens served.

        :param offered: requests per round of each account.
        """
        clock = VirtualClock()
        queue = FairQueue(clock, LIMITS, weights)
        served = dict.fromkeys(offered, 0.0)
        open_tickets: list = []
        for _ in range(60):
            for account, count in offered.items():
                for _ in range(count):
                    try:
                        open_tickets.append(queue.submit(account, 10, clock() + LIMITS.wait_s))
                    except OverloadedError:
                        continue
            clock.advance(1.0)
            for ticket in [item for item in open_tickets if item.state is TicketState.ADMITTED]:
                served[ticket.account] += ticket.tokens
                queue.release(ticket)
                open_tickets.remove(ticket)
        return served

    def test_flood_does_not_take_from_account_inside_its_share(self) -> None:
        """Guards against one account's backlog delaying or shedding another's requests."""
        served = self.serve({"flood": 50, "quiet": 4}, {})
        self.assertGreaterEqual(served["quiet"], 0.95 * 4 * 10 * 60)

    def test_service_follows_weights_under_overload(self) -> None:
        """Guards against equal shares for accounts with different declared rates."""
        served = self.serve({"small": 30, "large": 30}, WEIGHTS)
        self.assertAlmostEqual(served["large"] / served["small"], 4.0, delta=0.6)

    def test_quiet_account_does_not_wait_for_flood_to_finish(self) -> None:
        """Guards against a pool filled by one account delaying another for a whole prefill."""
        queue = FairQueue(VirtualClock(), LIMITS, {"flood": 1.0, "quiet": 1.0})
        for _ in range(6):
            queue.submit("flood", 25, 10.0)
        self.assertEqual(queue.in_flight, 100)
        quiet = queue.submit("quiet", 25, 10.0)
        self.assertIs(quiet.state, TicketState.ADMITTED)

    def test_shed_falls_on_account_over_its_share(self) -> None:
        """Guards against shedding the new request instead of the account that filled the queue."""
        queue = FairQueue(VirtualClock(), LIMITS, {})
        flood = [queue.submit("flood", 50, 10.0) for _ in range(8)]
        quiet = queue.submit("quiet", 120, 10.0)
        self.assertIs(quiet.state, TicketState.WAITING)
        self.assertIs(flood[-1].state, TicketState.SHED)

    def test_withdrawn_request_is_not_charged(self) -> None:
        """Guards against charging an account's tags for requests that its callers cancelled."""
        clock = VirtualClock()
        queue = FairQueue(clock, LIMITS, {})
        running = queue.submit("other", 100, 10.0)
        for _ in range(2):
            queue.release(queue.submit("first", 100, 10.0))
        first = queue.submit("first", 50, 10.0)
        second = queue.submit("second", 60, 10.0)
        queue.release(running)
        self.assertIs(first.state, TicketState.ADMITTED)
        self.assertIs(second.state, TicketState.WAITING)

    def test_tighter_target_runs_first(self) -> None:
        """Guards against priorities that do not follow the class targets."""
        tight = ClassTarget(first_token_ms=300.0)
        loose = ClassTarget(first_token_ms=5000.0)
        batch = ClassTarget(recompute_percent=10.0)
        ranks = [engine_priority(target) for target in (tight, loose, batch)]
        self.assertEqual(ranks, sorted(set(ranks)))
