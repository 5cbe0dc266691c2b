"""State of endpoints at a node: which are usable, and which are avoided."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoints import MAX_SUSPECT_S, SUSPECT_S, EndpointBook
from tests.gateway_values import entry


class EndpointBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.book = EndpointBook.from_config(self.clock)
        self.book.put(entry("e1"))
        self.book.put(entry("e2"))

    def names(self) -> list[str]:
        return sorted(state.id for state in self.book.usable("s"))

    def test_leaving_and_removed_endpoints_are_not_usable(self) -> None:
        self.book.put(entry("e1", is_leaving=True))
        self.assertEqual(self.names(), ["e2"])
        self.book.remove("e2")
        self.assertEqual(self.names(), [])

    def test_entry_that_expired_in_an_outage_is_used_until_it_must_be_back(self) -> None:
        self.book.keep_removed(102.0)
        self.book.remove("e1")
        self.assertEqual(self.names(), ["e1", "e2"])
        self.clock.advance(2.0)
        self.assertEqual(self.names(), ["e2"])

    def test_entry_removed_before_the_store_went_away_does_not_come_back(self) -> None:
        """Guards against requests to an endpoint that was removed before the store's outage."""
        self.book.remove("e1")
        self.clock.advance(1.0)
        self.book.keep_removed(self.clock() + 2.5)
        self.assertEqual(self.names(), ["e2"])

    def test_longer_outage_of_the_store_keeps_entries_that_expired_in_it(self) -> None:
        self.book.keep_removed(102.0)
        self.book.remove("e1")
        self.clock.advance(1.5)
        self.book.keep_removed(104.0)
        self.clock.advance(1.5)
        self.assertEqual(self.names(), ["e1", "e2"])
        self.clock.advance(1.0)
        self.assertEqual(self.names(), ["e2"])

    def test_count_of_suspicions_has_no_limit(self) -> None:
        """Guards against requests that fail in the node after an hour of a service's outage."""
        state = self.book.get("e1")
        for _ in range(2000):
            while not self.book.failed(state):
                pass
            self.clock.advance(MAX_SUSPECT_S)
        self.assertEqual(self.names(), ["e1", "e2"])

    def test_unreachable_endpoint_is_avoided_while_another_remains(self) -> None:
        state = self.book.get("e1")
        self.book.unreachable(state)
        self.assertEqual(self.names(), ["e2"])
        self.book.reachable(state)
        self.assertEqual(self.names(), ["e1", "e2"])
        self.book.unreachable(state)
        self.book.remove("e2")
        self.assertEqual(self.names(), ["e1"])

    def test_endpoint_that_keeps_failing_is_avoided_for_longer_each_time(self) -> None:
        state = self.book.get("e1")
        pauses = []
        for _ in range(8):
            if self.book.failed(state):
                pauses.append(state.suspect_until - self.clock())
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(self.names(), ["e2"])
        self.book.answered(state, 0.01)
        self.assertEqual(self.names(), ["e1", "e2"])

    def test_restart_under_the_same_id_forgets_what_was_known(self) -> None:
        state = self.book.get("e1")
        state.weights["m"] = 7
        self.book.put(entry("e1", incarnation="2"))
        self.assertEqual(self.book.get("e1").weights, {"m": 1})

    def test_late_entry_of_a_start_never_seen_changes_nothing(self) -> None:
        """Guards against an endpoint whose leaving is not noticed after a late entry."""
        self.book.put(entry("e3", incarnation="20"))
        self.assertFalse(self.book.put(entry("e3", incarnation="10")))
        self.assertTrue(self.book.put(entry("e3", incarnation="20", is_leaving=True)))
        self.assertEqual(self.names(), ["e1", "e2"])

    def test_starts_without_numbers_are_ordered_by_arrival(self) -> None:
        """Guards against a start that is ignored because its incarnation is no number."""
        for incarnation in ("b", "0", "a"):
            self.assertTrue(self.book.put(entry("e3", incarnation=incarnation)))
        self.assertFalse(self.book.put(entry("e3", incarnation="b")))

    def test_failures_of_one_silence_pause_an_endpoint_once(self) -> None:
        """Guards against a short silence that keeps a busy endpoint out for the longest time."""
        state = self.book.get("e1")
        for pause_s in (SUSPECT_S, 2 * SUSPECT_S):
            for _ in range(12):
                self.book.failed(state)
                self.clock.advance(0.01)
            self.clock.advance(pause_s - 0.15)
            self.assertEqual(self.names(), ["e2"])
            self.clock.advance(0.1)
            self.assertEqual(self.names(), ["e1", "e2"])

    def silent_failures(self, waited_s: float) -> float:
        """Records requests that are given up in one silence; returns the count of failures."""
        state = self.book.get("e1")
        state.last_data_at = self.clock()
        self.clock.advance(waited_s)
        for _ in range(4):
            self.clock.advance(0.05)
            self.book.failed(state, waited_s)
        return state.recent_failures(self.clock())

    def test_failures_of_a_silence_end_with_it(self) -> None:
        """Guards against a sound endpoint that is avoided for seconds after its silence."""
        state = self.book.get("e1")
        self.answer(0.05)
        self.assertGreater(self.silent_failures(1.25), 3.0)
        self.answer(1.4, 0.1)
        state.last_data_at = self.clock()
        self.book.failed(state, 1.3)
        self.assertEqual((state.recent_failures(self.clock()), len(self.names())), (0.0, 2))

    def test_endpoint_that_hangs_after_a_slow_answer_has_failed(self) -> None:
        """Guards against an endpoint that hangs and stays in use since one answer was slow."""
        state = self.book.get("e1")
        self.answer(0.05)
        self.answer(1.0)
        state.last_data_at = self.clock()
        self.clock.advance(1.0)
        for _ in range(3):
            self.book.failed(state, 1.25)
        self.assertEqual(self.names(), ["e2"])

    def test_other_failures_stay_after_a_silence(self) -> None:
        """Guards against an endpoint that breaks requests off and counts as one that was silent."""
        state = self.book.get("e1")
        self.answer(0.05)
        self.book.failed(state)
        self.silent_failures(0.7)
        self.answer(0.9, 0.05)
        left = state.recent_failures(self.clock())
        self.assertGreater(left, 0.5)
        self.assertLess(left, 1.0)

    def test_failures_of_requests_that_hang_stay_while_others_are_answered(self) -> None:
        """Guards against an endpoint that leaves some requests unanswered and stays in use."""
        state = self.book.get("e1")
        for _ in range(4):
            state.last_data_at = self.clock() - 0.01
            self.book.failed(state, 1.25)
            self.answer(0.05, 0.01)
        self.assertGreater(state.recent_failures(self.clock()), 3.0)

    def test_stream_that_ran_through_a_silence_ends_it(self) -> None:
        """Guards against an engine that is avoided after its silence since its answers are long."""
        state = self.book.get("e1")
        self.answer(5.0)
        self.silent_failures(1.25)
        self.answer(5.3, 0.1)
        self.assertEqual(state.recent_failures(self.clock()), 0.0)

    def test_usual_answers_do_not_end_a_silence(self) -> None:
        """Guards against an endpoint that hangs for some requests and stays in use at low load."""
        state = self.book.get("e1")
        self.answer(0.05)
        for _ in range(8):
            state.last_data_at = self.clock()
            self.clock.advance(0.62)
            self.book.failed(state, 1.25)
            self.answer(0.05, 0.03)
        self.assertGreater(state.recent_failures(self.clock()), 3.0)

    def test_failures_of_a_silence_stay_until_it_ends(self) -> None:
        """Guards against requests to an endpoint that answers new ones but lost those before."""
        state = self.book.get("e1")
        self.silent_failures(1.25)
        self.answer(0.05, 0.1)
        self.assertGreater(state.recent_failures(self.clock()), 3.0)

    def answer(self, latency_s: float, after_s: float = 1.0) -> float:
        """Records an answer of the first endpoint; returns the average latency then."""
        self.clock.advance(after_s)
        state = self.book.get("e1")
        self.book.answered(state, latency_s)
        return state.latency_s

    def test_answers_that_a_silence_held_up_do_not_count_as_slow(self) -> None:
        """Guards against a second of silence that keeps a sound endpoint out for long."""
        for _ in range(3):
            usual_s = self.answer(0.05)
            for number in range(20):
                self.answer(1.0 - number * 0.05, 0.001)
            self.assertAlmostEqual(self.answer(0.05, 4.0), usual_s)

    def test_held_up_answers_that_arrive_latest_sent_first_do_not_count_as_slow(self) -> None:
        """Guards against an average that follows the held-up answers in small steps."""
        for _ in range(3):
            usual_s = self.answer(0.05)
        for number in range(20):
            self.answer(0.1 + number * 0.05, 0.001)
        self.assertLess(self.answer(0.05, 4.0), 1.1 * usual_s)

    def test_silence_soon_after_a_slow_answer_does_not_count_as_slow(self) -> None:
        """Guards against a slow answer after which a silence counts as many slow ones."""
        for _ in range(3):
            usual_s = self.answer(0.05)
        self.answer(0.2, 0.1)
        usual_s = self.answer(0.05, 0.1)
        self.clock.advance(1.5)
        for number in range(10):
            self.answer(1.5 - number * 0.1, 0.001)
        self.assertAlmostEqual(self.answer(0.05, 0.1), usual_s)

    def test_endpoint_that_becomes_slow_is_known_after_few_answers(self) -> None:
        """Guards against a slow endpoint that counts as one that was silent."""
        for pause_s in (0.1, 5.0):
            with self.subTest(pause_s=pause_s):
                self.setUp()
                self.answer(0.05)
                latencies = [self.answer(0.5, max(pause_s, 0.5)) for _ in range(8)]
                self.assertGreater(latencies[-1], 0.25)

    def test_endpoint_of_which_half_the_answers_are_slow_is_known_too(self) -> None:
        """Guards against slow answers that are left out since a fast one came in between."""
        self.answer(0.05)
        for _ in range(20):
            self.answer(0.05, 0.1)
            self.answer(0.5, 0.6)
        self.assertGreater(self.book.get("e1").latency_s, 0.15)


class IncarnationMachine(RuleBasedStateMachine):
    """Guards against an older start that replaces a newer one, in any order of entries."""

    def __init__(self) -> None:
        super().__init__()
        self.book = EndpointBook.from_config(VirtualClock(100.0))
        self.newest = 0
        self.is_leaving = False
        self.is_removed = False

    @rule(born=st.integers(1, 12), is_leaving=st.booleans())
    def put(self, born: int, is_leaving: bool) -> None:
        self.book.put(entry("e", incarnation=str(born), is_leaving=is_leaving))
        if born >= self.newest:
            self.newest, self.is_leaving, self.is_removed = born, is_leaving, False

    @rule()
    def remove(self) -> None:
        self.book.remove("e")
        self.is_removed = True

    @invariant()
    def newest_start_is_known(self) -> None:
        state = self.book.get("e")
        if state is not None:
            assert state.entry.incarnation == str(self.newest)
            assert state.entry.is_leaving == self.is_leaving
            assert bool(self.book.usable("s")) != (self.is_leaving or self.is_removed)


IncarnationMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=20, derandomize=False, deadline=None, database=None
)


class IncarnationMachineTest(IncarnationMachine.TestCase):
    """Runs the machine."""
