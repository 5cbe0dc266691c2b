"""Evidence on weights versions: failures and latencies per model, version, class and route."""

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import astuple, dataclass, field

#: Responses kept per version, class and route.
WINDOW_RESPONSES = 200
#: Responses whose times are kept; at a share of 1% they cover the recent ones of a new version.
HISTORY_RESPONSES = 4000
#: Responses of the old version below which its latencies are not compared.
MIN_BASELINE_SAMPLES = 20
#: Prior of the regression of time on work, used alone before there are responses: its slope in
#: s/token, and its weight as the sum of squared deviations of work, in tokens squared, at which
#: responses count as much as the prior.
PRIOR_S_PER_TOKEN = 1 / 8000
PRIOR_SPREAD = 5e6
#: Smallest expected time to first token, seconds: shorter times depend on the network and the
#: engine's step, not on the work.
MIN_FIRST_TOKEN_S = 0.01


@dataclass(frozen=True)
class EvidenceKey:
    """Identifies the model, version, class and route that a sample belongs to."""

    model: str
    version: str
    class_name: str
    route: str


@dataclass(frozen=True)
class Sample:
    """One response.

    :ivar ok: the response was complete and correct.
    :ivar first_token_s: time to first token, ``None`` without one.
    :ivar gap_s: mean time between tokens, ``None`` without one.
    :ivar work_tokens: tokens to compute before the first token, queue included; if ``None``, the
        time to first token is not compared, since a cold cache would appear as a slow version.
    """

    ok: bool
    first_token_s: float | None = None
    gap_s: float | None = None
    work_tokens: float | None = None


class FirstTokenRegression:
    """Linear regression of time to first token on work, over recent responses.

    A version that starts has a cold cache and computes more than the old one, so its times are
    compared with those expected of the old one for the same work.
    """

    def __init__(self) -> None:
        self._points: deque[tuple[float, float]] = deque(maxlen=WINDOW_RESPONSES)

    def add(self, work_tokens: float, seconds: float) -> None:
        """Adds a response; the oldest is removed when the window is full."""
        self._points.append((work_tokens, seconds))

    def expected_s(self, work_tokens: float) -> float:
        """Returns the expected time to first token for an amount of work, seconds."""
        if not self._points:
            return MIN_FIRST_TOKEN_S + work_tokens * PRIOR_S_PER_TOKEN
        count = len(self._points)
        mean_work = sum(work for work, _ in self._points) / count
        mean_s = sum(seconds for _, seconds in self._points) / count
        spread = sum((work - mean_work) ** 2 for work, _ in self._points)
        joint = sum((work - mean_work) * (seconds - mean_s) for work, seconds in self._points)
        slope = (joint + PRIOR_SPREAD * PRIOR_S_PER_TOKEN) / (spread + PRIOR_SPREAD)
        return max(mean_s + slope * (work_tokens - mean_work), MIN_FIRST_TOKEN_S)


class Latencies:
    """Sliding window of latencies with quantiles.

    :param size: samples kept.
    """

    def __init__(self, size: int = WINDOW_RESPONSES) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._size = size

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, seconds: float) -> None:
        """Adds a sample; the oldest is removed when the window is full."""
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
    """Recent responses of one version on one class and route.

    :ivar slowness: ratios of measured to expected times to first token.
    :ivar gap: times between tokens in seconds.
    :ivar regression: expected times to first token.
    """

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=WINDOW_RESPONSES))
    slowness: Latencies = field(default_factory=Latencies)
    gap: Latencies = field(default_factory=Latencies)
    regression: FirstTokenRegression = field(default_factory=FirstTokenRegression)

    def add(self, sample: Sample) -> None:
        """Adds a response."""
        self.samples.append(sample)
        ratio = self.slowness_of(sample)
        if ratio is not None:
            self.slowness.add(ratio)
            self.regression.add(sample.work_tokens, sample.first_token_s)
        if sample.gap_s is not None:
            self.gap.add(sample.gap_s)

    def slowness_of(self, sample: Sample) -> float | None:
        """Returns the ratio of a response's time to first token to that expected of this version.

        It is ``None`` without a first token or known work.
        """
        if sample.first_token_s is None or sample.work_tokens is None:
            return None
        return sample.first_token_s / self.regression.expected_s(sample.work_tokens)

    @property
    def failures(self) -> int:
        """Returns the failures in the window."""
        return sum(not sample.ok for sample in self.samples)

    @property
    def failure_share(self) -> float:
        """Returns the share of failures in the window, 0 without responses."""
        return self.failures / len(self.samples) if self.samples else 0.0


def tail_probability(hits: int, trials: int, chance: float) -> float:
    """Returns the probability of at least ``hits`` in ``trials`` if each has ``chance``."""
    if hits <= 0:
        return 1.0
    below = 0.0
    for number in range(hits):
        below += math.comb(trials, number) * chance**number * (1 - chance) ** (trials - number)
    return max(0.0, 1.0 - below)


@dataclass(frozen=True)
class Tally:
    """Counts of responses of one version on one class and route, of one or more nodes.

    :ivar answers: all responses.
    :ivar failures: failed ones.
    :ivar timed: responses whose time to first token was compared with the old version's.
    :ivar slow: those far above its 95th percentile.
    :ivar above_median: those far above its median.
    :ivar gapped: responses whose time between tokens was compared.
    :ivar slow_gaps: those far above the old version's median.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    above_median: int = 0
    gapped: int = 0
    slow_gaps: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum."""
        return Tally(*(a + b for a, b in zip(astuple(self), astuple(other), strict=True)))

    def minus(self, other: "Tally") -> "Tally":
        """Returns the difference."""
        return Tally(*(a - b for a, b in zip(astuple(self), astuple(other), strict=True)))


class TallyHistory:
    """Cumulative counts of responses, which give the counts since an instant."""

    def __init__(self) -> None:
        self._instants: list[float] = []
        self._sums: list[Tally] = []
        self._dropped = Tally()

    @property
    def total(self) -> Tally:
        """Returns the counts of all responses."""
        return self._sums[-1] if self._sums else self._dropped

    def add(self, now: float, answer: Tally) -> None:
        """Adds the counts of one response.

        :param now: monotonic seconds, never less than before.
        """
        self._sums.append(self.total.plus(answer))
        self._instants.append(now)
        if len(self._sums) >= 2 * HISTORY_RESPONSES:
            self._dropped = self._sums[-HISTORY_RESPONSES - 1]
            del self._sums[:-HISTORY_RESPONSES]
            del self._instants[:-HISTORY_RESPONSES]

    def since(self, instant: float) -> Tally:
        """Returns the counts of the kept responses at or after an instant."""
        position = bisect_left(self._instants, instant)
        before = self._sums[position - 1] if position else self._dropped
        return self.total.minus(before)
