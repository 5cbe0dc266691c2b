"""How fast engines read prompts, from the first events that all nodes have seen lately.

Load pattern: in a large fleet one node sends an engine a request only now and then, and an engine
may turn slow and recover. So nodes tell each other what they observed, old observations fade, and
an engine of which little is known counts as fast as all engines are on average.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Time constant with which observations fade, seconds.
MEMORY_S = 4.0
#: Weight of the average of all engines beside an engine's own observations, seconds of work.
AVERAGE_S = 0.3
#: Speed before anything was observed, tokens a second.
DEFAULT_SPEED = 20_000.0
#: Observations of less work say more about latency than about speed, tokens.
MIN_TOKENS = 256
#: Observed work that is worth telling, seconds.
MIN_TOLD_S = 0.01

#: Tokens that were read, and the seconds that this took.
Work = tuple[float, float]


@dataclass
class _Observed:
    tokens: float
    seconds: float
    at: float


class EngineSpeeds:
    """Speeds as one node knows them.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, _Observed] = {}
        self._peers: dict[str, Mapping[str, Work]] = {}
        self._sums: dict[str, Work] | None = None

    @classmethod
    def from_config(cls, clock: Clock) -> "EngineSpeeds":
        """Builds speeds of engines of which nothing is known."""
        return cls(clock)

    def observe(self, engine: str, tokens: float, seconds: float) -> None:
        """Takes one observation of ``tokens`` read in ``seconds``."""
        if tokens < MIN_TOKENS or seconds <= 0:
            return
        before_tokens, before_s = self._faded(engine)
        self._own[engine] = _Observed(before_tokens + tokens, before_s + seconds, self._clock())
        self._sums = None

    def own(self) -> dict[str, Work]:
        """Returns what this node has observed lately, by engine."""
        works = {engine: self._faded(engine) for engine in list(self._own)}
        for engine in [engine for engine, work in works.items() if work[1] < MIN_TOLD_S]:
            del works[engine], self._own[engine]
        return {engine: (round(work[0]), round(work[1], 3)) for engine, work in works.items()}

    def set_peers(self, source: str, works: Mapping[str, Work]) -> None:
        """Replaces what the nodes of a source have observed."""
        if works:
            self._peers[source] = works
        else:
            self._peers.pop(source, None)
        self._sums = None

    def speed(self, engine: str) -> float:
        """Returns the speed of an engine, tokens a second."""
        sums = self._summed()
        tokens, seconds = sums.get(engine, (0.0, 0.0))
        all_tokens, all_s = sums.get("", (0.0, 0.0))
        average = all_tokens / all_s if all_s else DEFAULT_SPEED
        return (tokens + average * AVERAGE_S) / (seconds + AVERAGE_S)

    def _faded(self, engine: str) -> Work:
        observed = self._own.get(engine)
        if observed is None:
            return 0.0, 0.0
        left = math.exp((observed.at - self._clock()) / MEMORY_S)
        return observed.tokens * left, observed.seconds * left

    def _summed(self) -> dict[str, Work]:
        """Returns the work of all nodes by engine, and of all engines under an empty name."""
        if self._sums is None:
            sums = add_works([self.own(), *self._peers.values()])
            sums[""] = _total(sums.values())
            self._sums = sums
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
    """Returns observed work without a part of it; what is left is never negative."""
    rest = {}
    for engine, (tokens, seconds) in total.items():
        own_tokens, own_s = part.get(engine, (0.0, 0.0))
        if seconds - own_s >= MIN_TOLD_S and tokens > own_tokens:
            rest[engine] = (tokens - own_tokens, seconds - own_s)
    return rest


def _total(works: Iterable[Work]) -> Work:
    total = (0.0, 0.0)
    for tokens, seconds in works:
        total = (total[0] + tokens, total[1] + seconds)
    return total
