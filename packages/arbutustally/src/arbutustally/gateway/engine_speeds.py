"""Prefill speed of engines, estimated from the latest first events of all nodes.

Load pattern: in a large fleet one node rarely sends a request to a given engine, and an engine may
become slow and recover. Nodes therefore exchange their observations, and the weight of old ones
decays. The observed time includes more than the prefill: a first event has a fixed latency for any
prompt length, and waits for other requests. Short prompts are therefore ignored, and an engine
counts as fast as the median of all engines unless it is much slower.
"""

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Time constant of the exponential decay of observations, seconds.
DECAY_S = 4.0
#: Weight of the median of all engines relative to an engine's own observations, seconds of work.
MEDIAN_WEIGHT_S = 0.3
#: Speed assumed before the first observation, tokens/s.
DEFAULT_SPEED = 20_000.0
#: Shortest prompt that is observed, tokens; the time of a shorter one depends mostly on latency.
MIN_TOKENS = 2048
#: Share of the median speed below which an engine counts as slow; smaller deviations may be due to
#: differences between prompts.
SLOW_SHARE = 0.5
#: Least observed work that is reported to peers, seconds.
MIN_REPORTED_S = 0.01

#: Number of prompt tokens processed, and the time that this took in seconds.
Work = tuple[float, float]


@dataclass
class _Observed:
    tokens: float
    seconds: float
    at: float


class EngineSpeeds:
    """Prefill speeds as one node knows them.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, _Observed] = {}
        self._peers: dict[str, Mapping[str, Work]] = {}
        self._sums: dict[str, Work] | None = None
        self._median = DEFAULT_SPEED

    @classmethod
    def from_config(cls, clock: Clock) -> "EngineSpeeds":
        """Builds speeds without observations."""
        return cls(clock)

    def observe(self, engine: str, tokens: float, seconds: float) -> None:
        """Adds an observation: ``tokens`` of a prompt were processed in ``seconds``."""
        if tokens < MIN_TOKENS or seconds <= 0:
            return
        before_tokens, before_s = self._decayed_work(engine)
        self._own[engine] = _Observed(before_tokens + tokens, before_s + seconds, self._clock())
        self._sums = None

    def own(self) -> dict[str, Work]:
        """Returns the recent observations of this node by engine."""
        works = {engine: self._decayed_work(engine) for engine in list(self._own)}
        for engine in [engine for engine, work in works.items() if work[1] < MIN_REPORTED_S]:
            del works[engine], self._own[engine]
        return {engine: (round(work[0]), round(work[1], 3)) for engine, work in works.items()}

    def set_peers(self, source: str, works: Mapping[str, Work]) -> None:
        """Replaces the observations that a source reports for its nodes."""
        if works:
            self._peers[source] = works
        else:
            self._peers.pop(source, None)
        self._sums = None

    def speed(self, engine: str) -> float:
        """Returns the estimated speed of an engine, tokens/s."""
        sums = self._total_work()
        tokens, seconds = sums.get(engine, (0.0, 0.0))
        speed = (tokens + self._median * MEDIAN_WEIGHT_S) / (seconds + MEDIAN_WEIGHT_S)
        return speed if speed < self._median * SLOW_SHARE else self._median

    def _decayed_work(self, engine: str) -> Work:
        observed = self._own.get(engine)
        if observed is None:
            return 0.0, 0.0
        left = math.exp((observed.at - self._clock()) / DECAY_S)
        return observed.tokens * left, observed.seconds * left

    def _total_work(self) -> dict[str, Work]:
        """Returns the work observed by all nodes, by engine."""
        if self._sums is None:
            self._sums = add_works([self.own(), *self._peers.values()])
            speeds = [tokens / seconds for tokens, seconds in self._sums.values() if seconds > 0]
            self._median = statistics.median(speeds) if speeds else DEFAULT_SPEED
        return self._sums


def add_works(tables: Iterable[Mapping[str, Work]]) -> dict[str, Work]:
    """Returns the sum of observed work by engine."""
    sums: dict[str, Work] = {}
    for table in tables:
        for engine, (tokens, seconds) in table.items():
            have = sums.get(engine, (0.0, 0.0))
            sums[engine] = (have[0] + tokens, have[1] + seconds)
    return sums


def subtract_works(total: Mapping[str, Work], part: Mapping[str, Work]) -> dict[str, Work]:
    """Returns observed work minus a part of it; the result is never negative."""
    rest = {}
    for engine, (tokens, seconds) in total.items():
        own_tokens, own_s = part.get(engine, (0.0, 0.0))
        if seconds - own_s >= MIN_REPORTED_S and tokens > own_tokens:
            rest[engine] = (tokens - own_tokens, seconds - own_s)
    return rest
