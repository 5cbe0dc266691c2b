"""Tallies of a canary and its baseline over time, judged without one silence of an endpoint.

Load pattern: a sound endpoint falls silent for a second or so and goes on. All answers of the
canary that wait in it are late by one event, and would be counted as independent slow ones. So a
canary is slow only if it still is when the answers of any one period of ``SILENCE_S`` are left out.
"""

from collections import deque
from dataclasses import dataclass

from arbutustally.gateway.answer_tallies import Tallies, subtract
from arbutustally.gateway.release_comparison import (
    is_bad,
    is_failing,
    is_slow,
    is_too_slow_to_keep,
    slowness,
)

#: Longest period that the answers held up by one silence are spread over, seconds.
SILENCE_S = 2.0
#: Time for which recent answers are judged separately, seconds.
RECENT_S = 3.0
#: Interval at which tallies are kept, seconds.
SAMPLE_S = 0.5
#: Number of tallies that are kept at this interval.
MAX_SAMPLES = 120


@dataclass(frozen=True)
class TallySample:
    """Tallies since the start of a trial, as known at one time.

    :ivar at: monotonic seconds.
    """

    at: float
    canary: Tallies
    baseline: Tallies

    def since(self, earlier: "TallySample") -> "TallySample":
        """Returns the tallies of what came after an earlier sample."""
        return TallySample(
            self.at,
            subtract(self.canary, earlier.canary),
            subtract(self.baseline, earlier.baseline),
        )


class AnswerHistory:
    """What the answers of one trial were at the times at which they were recorded.

    :param began_at: when the trial became known, monotonic seconds.
    """

    def __init__(self, began_at: float) -> None:
        start = TallySample(began_at, {}, {})
        self._samples: deque[TallySample] = deque([start], maxlen=MAX_SAMPLES)
        self._recent: deque[TallySample] = deque([start])
        self._latest = start

    def record(self, now: float, canary: Tallies, baseline: Tallies) -> None:
        """Records the tallies since the start of the trial.

        :param now: monotonic seconds.
        """
        self._latest = TallySample(now, canary, baseline)
        self._recent.append(self._latest)
        while now - self._recent[0].at > RECENT_S:
            self._recent.popleft()
        if now - self._samples[-1].at >= SAMPLE_S:
            self._samples.append(self._latest)

    @property
    def total(self) -> TallySample:
        """Returns all answers of the trial."""
        return self._latest

    @property
    def is_suspect(self) -> bool:
        """Returns whether the answers of the last ``RECENT_S`` alone are bad."""
        recent = self._latest.since(self._recent[0])
        return is_bad(recent.canary, recent.baseline)

    @property
    def is_bad_lately(self) -> bool:
        """Returns whether the latest answers are bad, and not only by one silence."""
        recent = self._latest.since(self._recent[0])
        if is_failing(recent.canary, recent.baseline):
            return True
        if not is_slow(recent.canary, recent.baseline):
            return False
        rest = self._without_one_silence(self._latest.at - RECENT_S - SILENCE_S)
        return is_slow(rest.canary, rest.baseline)

    def without_one_silence(self) -> TallySample:
        """Returns all answers, or those that remain if one silence may have made them late."""
        total = self._latest
        if is_failing(total.canary, total.baseline):
            return total
        if not is_too_slow_to_keep(total.canary, total.baseline):
            return total
        return self._without_one_silence(float("-inf"))

    def _without_one_silence(self, since: float) -> TallySample:
        """Returns the answers since a time that are least slow without one period of them."""
        samples = [one for one in self._samples if one.at >= since] or [self._latest]
        total = self._latest.since(samples[0])
        rests = [
            TallySample(total.at, subtract(total.canary, held), total.baseline)
            for held in self._periods(samples)
        ]
        return min(rests, key=lambda rest: slowness(rest.canary, rest.baseline))

    def _periods(self, samples: list[TallySample]) -> list[Tallies]:
        """Returns the canary's answers of each period of ``SILENCE_S`` that begins at a sample."""
        ends = [*samples, self._latest]
        return [
            subtract(
                next(end for end in reversed(ends) if end.at <= start.at + SILENCE_S).canary,
                start.canary,
            )
            for start in samples
        ]
