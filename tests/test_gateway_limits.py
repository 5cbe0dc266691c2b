"""Attempts, repeat budgets, rate limits and rejection under the loads that they handle."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.admission import MAX_RETRY_AFTER_S, must_reject, retry_after_s
from arbutustally.gateway.attempts import (
    MAX_SENDS,
    Next,
    Outcome,
    RepeatBudget,
    RepeatLedger,
    next_action,
)
from arbutustally.gateway.configuration import (
    RouteKind,
)
from arbutustally.gateway.quota import QuotaLedger, QuotaTolerance
from tests.gateway_values import route


class AfterAttemptTest(unittest.TestCase):
    def test_request_that_may_have_run_is_repeated_only_where_allowed(self) -> None:
        """Guards against a non-idempotent request that runs twice."""
        for kind, resumable, expected in (
            (RouteKind.AT_MOST_ONCE, False, Next.FAIL),
            (RouteKind.STREAM, False, Next.FAIL),
            (RouteKind.STREAM, True, Next.REPEAT),
            (RouteKind.IDEMPOTENT, False, Next.REPEAT),
        ):
            for outcome in (Outcome.MAY_HAVE_RUN, Outcome.FAILED):
                following = next_action(route(kind, 2, resumable), outcome, 1, 1, 1.0)
                self.assertIs(following, expected, (kind, resumable, outcome))

    def test_refusal_says_not_run_only_if_no_attempt_may_have_run(self) -> None:
        idempotent = route(RouteKind.IDEMPOTENT)
        self.assertIs(next_action(idempotent, Outcome.NOT_RUN, 0, MAX_SENDS, 1.0), Next.REFUSE)
        self.assertIs(next_action(idempotent, Outcome.NOT_RUN, 1, MAX_SENDS, 1.0), Next.FAIL)

    @given(
        st.sampled_from(list(Outcome)),
        st.integers(0, 5),
        st.integers(1, 6),
        st.floats(-1, 10),
        st.booleans(),
    )
    def test_attempts_end(self, outcome, ran, sends, left, resumable) -> None:
        following = next_action(route(resumable=resumable), outcome, ran, sends, left)
        if left <= 0 or (sends >= MAX_SENDS and ran >= 2):
            self.assertIsNot(following, Next.REPEAT)


class RepeatLedgerTest(unittest.TestCase):
    def test_failing_endpoints_do_not_multiply_the_load(self) -> None:
        """Simulates a service whose answers all fail, at 100 requests/s for 30 s on 4 nodes."""
        clock = VirtualClock()
        budget = RepeatBudget(10.0, 0.2, 56.0)
        ledgers = [RepeatLedger.from_config(clock, budget) for _ in range(4)]
        for ledger in ledgers:
            ledger.set_node_count(4)
        repeats: list[float] = []
        for number in range(3000):
            ledger = ledgers[number % 4]
            ledger.record_request("s")
            if ledger.take("s"):
                repeats.append(clock())
            clock.advance(0.01)
        for start in range(20):
            within = sum(start <= at < start + 10 for at in repeats)
            self.assertLessEqual(within, 0.2 * 1000 + 56)
        self.assertGreater(len(repeats), 100)

    def test_hedges_leave_half_of_the_budget(self) -> None:
        """Guards against hedges that use up the budget that failed attempts need."""
        ledger = RepeatLedger.from_config(VirtualClock(), RepeatBudget(10.0, 0.2, 10.0))
        self.assertEqual(sum(ledger.take_for_hedge("s") for _ in range(20)), 4)
        self.assertEqual(sum(ledger.take("s") for _ in range(20)), 4)
        self.assertFalse(ledger.take_for_hedge("s"))


class QuotaTest(unittest.TestCase):
    TOLERANCE = QuotaTolerance(0.1, 110_000.0)

    def fleet(self, clock: VirtualClock, nodes: int) -> list[QuotaLedger]:
        ledgers = [QuotaLedger.from_config(clock, self.TOLERANCE) for _ in range(nodes)]
        for ledger in ledgers:
            ledger.set_limits({"a": (78_000.0, 78_000.0)})
        return ledgers

    def simulate(
        self, nodes: int, factor: float, lag: float, reporting: int
    ) -> list[tuple[float, float]]:
        """Simulates an account at ``factor`` times its rate.

        :param lag: interval between reports of the nodes, seconds.
        :param reporting: number of nodes that exchange reports; 1 for no exchange.
        :returns: time and tokens of each admitted request.
        """
        clock = VirtualClock()
        ledgers = self.fleet(clock, nodes)
        for ledger in ledgers:
            ledger.set_reporting_nodes(reporting, nodes)
        rng = Random(7)
        admitted = []
        reported_at = 0.0
        while clock() < 40.0:
            tokens = rng.choice((1_000.0, 8_000.0, 20_000.0))
            if rng.choice(ledgers).take("a", tokens) is None:
                admitted.append((clock(), tokens))
            clock.advance(tokens / (78_000.0 * factor))
            if clock() - reported_at >= lag:
                reported_at = clock()
                for number, ledger in enumerate(ledgers):
                    for other, peer in enumerate(ledgers):
                        if other != number and reporting > 1:
                            ledger.record_admitted(str(other), peer.admitted)
        return admitted

    def most_in_window(self, admitted: list[tuple[float, float]]) -> float:
        return max(
            sum(tokens for at, tokens in admitted if start <= at < start + 8.0)
            for start, _tokens in admitted
        )

    def test_account_at_many_times_its_rate_stays_within_the_bound(self) -> None:
        """Simulates an account at 7.5 times its rate on 8 nodes that report every 0.2 s."""
        bound = (78_000 * 8 + 78_000) * 1.1 + 110_000
        self.assertLessEqual(self.most_in_window(self.simulate(8, 7.5, 0.2, 8)), bound)

    def test_nodes_without_reports_stay_within_the_bound_together(self) -> None:
        bound = (78_000 * 8 + 78_000) * 1.1 + 110_000
        self.assertLessEqual(self.most_in_window(self.simulate(8, 7.5, 0.2, 1)), bound)

    def test_account_within_its_rate_is_not_refused(self) -> None:
        admitted = self.simulate(8, 0.9, 0.2, 8)
        late = sum(tokens for at, tokens in admitted if at >= 5)
        self.assertGreater(late, 0.88 * 78_000 * 35)

    def test_restarted_node_does_not_count_old_use_twice(self) -> None:
        clock = VirtualClock()
        first, second = self.fleet(clock, 2)
        clock.advance(10)
        first.take("a", 50_000.0)
        second.record_admitted("first", first.admitted)
        level = second.level("a")
        second.record_admitted("first", first.admitted)
        self.assertEqual(second.level("a"), level)

    def test_tokens_of_a_request_that_did_not_run_come_back(self) -> None:
        clock = VirtualClock()
        (ledger,) = self.fleet(clock, 1)
        clock.advance(10)
        before = ledger.level("a")
        ledger.take("a", 5_000.0)
        ledger.refund("a", 5_000.0)
        self.assertEqual(ledger.level("a"), before)
        self.assertEqual(ledger.admitted["a"], 0.0)


class AdmissionTest(unittest.TestCase):
    def test_what_cannot_be_served_in_time_is_rejected_at_once(self) -> None:
        self.assertTrue(must_reject(expected_s=5.0, left_s=4.0))
        self.assertFalse(must_reject(expected_s=0.5, left_s=4.0))

    @given(st.floats(0, 100), st.floats(0.01, 60), st.integers())
    def test_return_is_within_what_the_caller_has_left(self, backlog, left, seed) -> None:
        wait = retry_after_s(backlog, left, Random(seed))
        self.assertGreater(wait, 0)
        self.assertLessEqual(wait, max(MAX_RETRY_AFTER_S, left / 3))
