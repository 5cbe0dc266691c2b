"""Evidence on weights versions: failures and latencies per model, version, class and route."""

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

#: Answers kept per version, class and route.
WINDOW = 200
#: Answers of the old version below which its latencies are not compared.
MIN_BASE_SAMPLES = 20


@dataclass(frozen=True)
class EvidenceKey:
    """What a piece of evidence is about."""

    model: str
    version: str
    class_name: str
    route: str


@dataclass(frozen=True)
class Sample:
    """One answer.

    :ivar ok: the answer was complete and correct.
    :ivar first_token_s: time to first token, ``None`` without one. Divided by the expected time
        where placement gave an estimate, so that a cold cache does not look like a slow version.
    :ivar gap_s: longest or mean time between tokens, ``None`` without one.
    """

    ok: bool
    first_token_s: float | None = None
    gap_s: float | None = None


class Latencies:
    """Sliding window of latencies with quantiles.

    :param size: samples kept.
    """

    def __init__(self, size: int = WINDOW) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._size = size

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, seconds: float) -> None:
        """Adds a sample; the oldest goes when the window is full."""
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > self._size:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]

    def quantile(self, share: float) -> float:
        """Returns the value that ``share`` of the samples do not exceed, 0 without samples."""
        if not self._sorted:
            return 0.0
        return self._sorted[min(int(share * len(self._sorted)), len(self._sorted) - 1)]


@dataclass
class Evidence:
    """Recent answers of one version on one class and route."""

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=WINDOW))
    first_token: Latencies = field(default_factory=Latencies)
    gap: Latencies = field(default_factory=Latencies)
    total: int = 0

    def add(self, sample: Sample) -> None:
        """Adds an answer."""
        self.samples.append(sample)
        self.total += 1
        if sample.first_token_s is not None:
            self.first_token.add(sample.first_token_s)
        if sample.gap_s is not None:
            self.gap.add(sample.gap_s)

    @property
    def failures(self) -> int:
        """Returns the failures in the window."""
        return sum(not sample.ok for sample in self.samples)

    @property
    def failure_share(self) -> float:
        """Returns the share of failures in the window, 0 without answers."""
        return self.failures / len(self.samples) if self.samples else 0.0


def tail_probability(hits: int, trials: int, chance: float) -> float:
    """Returns the probability of at least ``hits`` in ``trials`` if each has ``chance``."""
    if hits <= 0:
        return 1.0
    below = 0.0
    for number in range(hits):
        below += math.comb(trials, number) * chance**number * (1 - chance) ** (trials - number)
    return max(0.0, 1.0 - below)


@dataclass
class Tally:
    """Counts of answers of one version on one class and route, added up over nodes.

    :ivar answers: all answers.
    :ivar failures: failed ones.
    :ivar timed: answers whose time to first token was compared with the old version's.
    :ivar slow: slow ones of these.
    :ivar gapped: answers whose time between tokens was compared.
    :ivar slow_gaps: slow ones of these.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    gapped: int = 0
    slow_gaps: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum."""
        return Tally(
            self.answers + other.answers,
            self.failures + other.failures,
            self.timed + other.timed,
            self.slow + other.slow,
            self.gapped + other.gapped,
            self.slow_gaps + other.slow_gaps,
        )

    def minus(self, other: "Tally") -> "Tally":
        """Returns the counts since ``other``; a restarted node may count below it."""
        return Tally(
            max(self.answers - other.answers, 0),
            max(self.failures - other.failures, 0),
            max(self.timed - other.timed, 0),
            max(self.slow - other.slow, 0),
            max(self.gapped - other.gapped, 0),
            max(self.slow_gaps - other.slow_gaps, 0),
        )
