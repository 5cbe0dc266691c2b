"""Answers of a canary over time: one silence of an endpoint does not make its release slow."""

import math
import time
import unittest

from arbutustally.gateway.answer_history import (
    MAX_SAMPLES,
    SAMPLE_S,
    SILENCE_S,
    AnswerHistory,
)
from arbutustally.gateway.answer_tallies import AnswerTally

STEP_S = 0.1
USUAL_S = 0.05
#: Time within which a release that turns bad has to be recognized, seconds.
ROLLBACK_S = 5.0
#: Longest processor time of one evaluation, seconds; there are ten evaluations per second, during
#: which the node serves nothing.
MAX_EVALUATION_S = 0.01


class AnswerHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.history = AnswerHistory(self.now)
        self.canary = {"look": AnswerTally()}
        self.baseline = {"look": AnswerTally()}

    def play(self, seconds: float, canary_s: float = USUAL_S, failures: int = 0) -> None:
        """Records one answer of the canary and ten of the baseline at each step."""
        for number in range(round(seconds / STEP_S)):
            self.now += STEP_S
            spread = (0.7, 1.0, 1.4)[number % 3]
            self._add(self.canary, canary_s * spread, 1, failures)
            self._add(self.baseline, USUAL_S * spread, 10, 0)
            self.history.record(self.now, dict(self.canary), dict(self.baseline))

    def _add(self, tallies: dict[str, AnswerTally], seconds: float, count: int, failures: int):
        for _ in range(count):
            tally = AnswerTally.of_time(seconds).plus(AnswerTally(answers=1, failures=failures))
            tallies["look"] = tallies["look"].plus(tally)

    def seconds_until_bad(self, canary_s: float, failures: int = 0) -> float:
        """Returns the time until the latest answers are bad, seconds."""
        since = self.now
        while not self.history.is_bad_lately and self.now - since < 60.0:
            self.play(STEP_S, canary_s, failures)
        return self.now - since

    def test_answers_of_one_silence_are_left_out(self) -> None:
        """Guards against a silence that rolls a sound release back, at once or after it."""
        self.play(2.0)
        self.play(1.0, 1.0)
        self.assertTrue(self.history.is_suspect)
        for _ in range(60):
            self.assertFalse(self.history.is_bad_lately)
            rest = self.history.without_one_silence()
            self.assertLess(rest.canary["look"].mean, rest.baseline["look"].mean + 0.1)
            self.play(STEP_S)
        self.assertFalse(self.history.is_suspect)

    def test_release_that_turns_slow_is_recognized_in_time(self) -> None:
        """Guards against slow answers that are taken for one silence for ever."""
        self.play(10.0)
        taken_s = self.seconds_until_bad(5 * USUAL_S)
        self.assertGreater(taken_s, SILENCE_S)
        self.assertLess(taken_s, ROLLBACK_S)

    def test_release_that_is_slow_from_its_start_is_recognized_in_time(self) -> None:
        self.assertLess(self.seconds_until_bad(5 * USUAL_S), ROLLBACK_S)
        rest = self.history.without_one_silence()
        self.assertGreater(rest.canary["look"].mean, rest.baseline["look"].mean + 1.0)

    def test_failures_count_at_once(self) -> None:
        """Guards against failures that are taken for a silence, which breaks nothing off."""
        self.play(5.0)
        self.assertLess(self.seconds_until_bad(USUAL_S, failures=1), SILENCE_S)
        self.assertIs(self.history.without_one_silence(), self.history.total)

    def test_second_silence_counts(self) -> None:
        """Guards against an endpoint that falls silent again and again and counts as sound."""
        for _ in range(4):
            self.play(1.5)
            self.play(1.5, 1.0)
        self.assertTrue(self.history.is_bad_lately)

    def test_long_trial_keeps_a_bounded_history(self) -> None:
        self.play(MAX_SAMPLES)
        self.play(1.0, 1.0)
        self.assertFalse(self.history.is_bad_lately)
        self.assertLessEqual(len(self.history._samples), MAX_SAMPLES)

    def test_long_trial_of_many_routes_is_judged_quickly(self) -> None:
        """Guards against evaluations of a slow release that hold up a node's requests."""
        times_s = {"look": USUAL_S, "write": 3 * USUAL_S, "list": 2 * USUAL_S}
        tallies: dict[str, dict[str, AnswerTally]] = {"canary": {}, "baseline": {}}
        for _ in range(MAX_SAMPLES):
            self.now += SAMPLE_S
            for name, table in tallies.items():
                for route, seconds in times_s.items():
                    for spread in (0.7, 1.0, 1.4) * (1 if name == "canary" else 10):
                        slowdown = 1.5 if name == "canary" else 1.0
                        tally = AnswerTally.of_time(seconds * spread * slowdown)
                        table[route] = table.get(route, AnswerTally()).plus(tally)
            self.history.record(self.now, dict(tallies["canary"]), dict(tallies["baseline"]))
        took_s = math.inf
        for _ in range(5):
            began = time.process_time()
            rest = self.history.without_one_silence()
            took_s = min(took_s, time.process_time() - began)
        self.assertIsNot(rest, self.history.total)
        self.assertLess(took_s, MAX_EVALUATION_S)
