"""Responses of a version, each compared with the old version when it arrives."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from arbutustally.evidence import (
    MIN_BASELINE_SAMPLES,
    Evidence,
    Latencies,
    Sample,
    Tally,
    TallyHistory,
)

#: A response is slow if it takes longer than this multiple of the old version's 95th percentile.
SLOW_FACTOR = 1.5
#: Most responses of a slow version take longer than this multiple of the old version's median. A
#: cold cache makes a third of the responses of a good version slow, as its prefills delay the
#: tokens of other requests, so times between tokens are judged by the median alone.
MEDIAN_FACTOR = 2.0
#: Latest responses of the new version that are compared; few, so that a fault that begins late is
#: detected quickly.
RECENT_RESPONSES = 40
#: Consecutive responses of the new version that are compared with the last one of the old version;
#: in a longer run that one no longer shows how fast the old version would be at present.
MAX_UNPAIRED_RESPONSES = 11


@dataclass(frozen=True)
class _JudgedSample:
    """A sample with its comparisons; ``None`` where it could not be compared.

    :ivar paired: at most ``MAX_UNPAIRED_RESPONSES`` responses of the new version, including
        this one, came since the last response of the old version.
    """

    paired: bool
    ok: bool
    slow: bool | None
    above_median: bool | None
    gap_above_median: bool | None


class VersionResponses:
    """Responses of a version on one class and route.

    :ivar evidence: latest responses, the base for a version on trial.
    :ivar history: counts since any instant.
    """

    def __init__(self) -> None:
        self.evidence = Evidence()
        self.history = TallyHistory()
        self._recent: deque[tuple[float, _JudgedSample]] = deque(maxlen=RECENT_RESPONSES)
        self._old_responses = 0
        self._unpaired = 0

    def add(self, sample: Sample, now: float) -> None:
        """Adds a response of a version that is not on trial; its own past is the base."""
        self._add(sample, self.evidence, True, now)

    def add_on_trial(self, sample: Sample, old: "VersionResponses | None", now: float) -> None:
        """Adds a response of a version on trial after comparing it with the old version."""
        old_responses = old.history.total.answers if old else 0
        if old_responses != self._old_responses:
            self._old_responses = old_responses
            self._unpaired = 0
        self._unpaired += 1
        paired = old_responses > 0 and self._unpaired <= MAX_UNPAIRED_RESPONSES
        self._add(sample, old.evidence if old else None, paired, now)

    def _add(self, sample: Sample, base: Evidence | None, paired: bool, now: float) -> None:
        judged = _compare(sample, base, paired)
        self.evidence.add(sample)
        self._recent.append((now, judged))
        self.history.add(now, _count([judged]))

    @property
    def recent(self) -> Tally:
        """Returns the counts of the last responses; unpaired ones count as not compared."""
        return _count(judged for _, judged in self._recent)

    @property
    def recent_compared(self) -> Tally:
        """Returns the counts of the last responses as if all were paired."""
        return _count(replace(judged, paired=True) for _, judged in self._recent)

    @property
    def recent_since(self) -> float:
        """Returns the time of the first of the last responses, infinity without responses."""
        return self._recent[0][0] if self._recent else float("inf")


def _compare(sample: Sample, old: Evidence | None, paired: bool) -> _JudgedSample:
    if old is None:
        return _JudgedSample(paired, sample.ok, None, None, None)
    slowness = old.slowness_of(sample)
    return _JudgedSample(
        paired,
        sample.ok,
        _exceeds(slowness, old.slowness, 0.95, SLOW_FACTOR),
        _exceeds(slowness, old.slowness, 0.5, MEDIAN_FACTOR),
        _exceeds(sample.gap_s, old.gap, 0.5, MEDIAN_FACTOR),
    )


def _exceeds(value: float | None, base: Latencies, share: float, factor: float) -> bool | None:
    if value is None or len(base) < MIN_BASELINE_SAMPLES:
        return None
    return value > base.quantile(share) * factor


def _count(answers: Iterable[_JudgedSample]) -> Tally:
    judged = list(answers)
    paired = [entry for entry in judged if entry.paired]
    return Tally(
        len(judged),
        sum(not entry.ok for entry in judged),
        sum(entry.slow is not None for entry in paired),
        sum(entry.slow is True for entry in paired),
        sum(entry.above_median is True for entry in paired),
        sum(entry.gap_above_median is not None for entry in paired),
        sum(entry.gap_above_median is True for entry in paired),
    )
