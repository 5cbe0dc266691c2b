"""Load of endpoints as estimated by one node: its own recent dispatches and learned speeds."""

from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

#: Prefill speed of an endpoint that has not been observed, in tokens/s.
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0
#: Decay factor of earlier observations in the learned speed, per observation.
SPEED_DECAY = 0.95
#: Weight of the default speed as a prior, in seconds of observed work.
SPEED_PRIOR_S = 1.0
#: Least work of an observation, in tokens; the time of less work is dominated by latency.
MIN_SPEED_TOKENS = 256
#: Age in seconds after which a dispatch is assumed to be reported or lost.
MAX_DISPATCH_AGE_S = 30.0


@dataclass(frozen=True)
class Dispatch:
    """A request that this node has sent and that has neither a first token nor a failure yet.

    :ivar sent_at: time of sending in monotonic seconds.
    :ivar tokens: tokens expected to be computed before its first token.
    :ivar ahead: tokens expected to be queued before it.
    """

    sent_at: float
    tokens: float
    ahead: float


class SharedSpeeds(Protocol):
    """Prefill speeds shared between nodes."""

    def speed(self, endpoint: str) -> float:
        """Returns the prefill speed of an endpoint in tokens/s."""

    def observe(self, endpoint: str, tokens: float, seconds: float) -> None:
        """Records one observation of ``tokens`` computed in ``seconds``."""


@dataclass
class _Speed:
    tokens: float
    seconds: float


@dataclass
class EndpointLoad:
    """Open dispatches of this node and learned prefill speeds, by endpoint.

    :param default_speed: tokens/s of an endpoint without observations.
    :param shared: shared speeds that replace those that this node learns by itself; ``None`` for
        none.
    """

    default_speed: float = DEFAULT_PREFILL_TOKENS_PER_S
    shared: SharedSpeeds | None = None
    _open_dispatches: dict[str, dict[int, Dispatch]] = field(default_factory=dict)
    _speeds: dict[str, _Speed] = field(default_factory=dict)
    _numbers: count = field(default_factory=lambda: count(1))

    def speed(self, endpoint: str) -> float:
        """Returns the learned prefill speed in tokens/s."""
        speed = self._speeds.get(endpoint)
        if speed is not None:
            return speed.tokens / speed.seconds
        return self.shared.speed(endpoint) if self.shared else self.default_speed

    def set_initial_speed(self, endpoint: str, tokens_per_s: float) -> None:
        """Sets the initial speed of one endpoint, in place of the default or the shared speed."""
        self._speeds[endpoint] = _Speed(tokens_per_s * SPEED_PRIOR_S, SPEED_PRIOR_S)

    def pending_tokens(self, endpoint: str, since: float) -> float:
        """Returns the tokens of open dispatches that were sent after ``since``."""
        open_dispatches = self._open_dispatches.get(endpoint)
        if not open_dispatches:
            return 0.0
        return sum(entry.tokens for entry in open_dispatches.values() if entry.sent_at > since)

    def record_dispatch(self, endpoint: str, tokens: float, ahead: float, now: float) -> int:
        """Records a dispatch and returns its number."""
        open_dispatches = self._open_dispatches.setdefault(endpoint, {})
        for number, entry in list(open_dispatches.items()):
            if now - entry.sent_at <= MAX_DISPATCH_AGE_S:
                break
            del open_dispatches[number]
        number = next(self._numbers)
        open_dispatches[number] = Dispatch(now, tokens, ahead)
        return number

    def complete_dispatch(self, endpoint: str, number: int) -> Dispatch | None:
        """Removes a dispatch and returns it; ``None`` if it is unknown or already removed."""
        return self._open_dispatches.get(endpoint, {}).pop(number, None)

    def learn_speed(self, endpoint: str, tokens: float, seconds: float) -> None:
        """Records one observation of ``tokens`` computed in ``seconds``."""
        if tokens < MIN_SPEED_TOKENS or seconds <= 0:
            return
        if self.shared is not None and endpoint not in self._speeds:
            self.shared.observe(endpoint, tokens, seconds)
            return
        prior = _Speed(self.default_speed * SPEED_PRIOR_S, SPEED_PRIOR_S)
        speed = self._speeds.setdefault(endpoint, prior)
        speed.tokens = speed.tokens * SPEED_DECAY + tokens
        speed.seconds = speed.seconds * SPEED_DECAY + seconds

    def forget(self, endpoint: str) -> None:
        """Drops the open dispatches of an endpoint that crashed."""
        self._open_dispatches.pop(endpoint, None)
