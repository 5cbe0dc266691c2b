"""Prompt parts whose requests are rejected, since they end the endpoints that answer them.

All nodes hold the same verdicts: each change of a verdict gets the next number, and nodes keep the
one with the highest number that they have seen. From time to time one request is let through as a
trial; an answer to it releases the part.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from arbutustally.clock import Clock

#: Times until the first, second and later trials, seconds. A part that may be sound, as the crashes
#: did not tell it apart from another one, is tried early once.
TRIAL_INTERVALS_S = (60.0, 240.0, 960.0, 3600.0)
EARLY_TRIAL_S = 3.0
#: Verdicts kept; those that were released go first, then the oldest.
MAX_VERDICTS = 32
#: Limits of the time after which a rejected caller should ask again, seconds.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0


@dataclass(frozen=True)
class Verdict:
    """The verdict on one part.

    :ivar number: increases with each change.
    :ivar trial_at: time from which on a request may be let through, seconds.
    :ivar trials: requests that were let through.
    """

    part: bytes
    number: int
    is_active: bool
    trial_at: float
    trials: int = 0


class Quarantine:
    """Verdicts that one node knows.

    :param clock: seconds; advances while the instance is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._verdicts: dict[bytes, Verdict] = {}

    @classmethod
    def from_config(cls, clock: Clock) -> "Quarantine":
        """Builds a quarantine without verdicts."""
        return cls(clock)

    @property
    def verdicts(self) -> tuple[Verdict, ...]:
        """Returns all verdicts, those on released parts included."""
        return tuple(self._verdicts.values())

    @property
    def active(self) -> frozenset[bytes]:
        """Returns the parts whose requests are rejected."""
        return frozenset(one.part for one in self._verdicts.values() if one.is_active)

    def blocking(self, parts: Iterable[bytes]) -> list[Verdict]:
        """Returns the verdicts for which a prompt with these parts is rejected."""
        if not self._verdicts:
            return []
        found = (self._verdicts.get(part) for part in parts)
        return [one for one in found if one is not None and one.is_active]

    def convict(self, part: bytes, may_be_sound: bool) -> None:
        """Adds a part.

        :param may_be_sound: whether to try it early.
        """
        known = self._verdicts.get(part)
        if known is not None and known.is_active:
            return
        number = known.number + 1 if known else 1
        first_s = EARLY_TRIAL_S if may_be_sound else TRIAL_INTERVALS_S[0]
        # An early trial is one more, so that the next one comes after the usual first interval.
        trials = -1 if may_be_sound else 0
        self._put(Verdict(part, number, True, self._clock() + first_s, trials))

    def is_trial_due(self, verdict: Verdict) -> bool:
        """Returns whether a request may be let through."""
        return self._clock() >= verdict.trial_at

    def begin_trial(self, verdict: Verdict) -> None:
        """Records that a request is let through; the next one follows much later."""
        trials = verdict.trials + 1
        interval_s = TRIAL_INTERVALS_S[min(trials, len(TRIAL_INTERVALS_S) - 1)]
        self._put(
            replace(
                verdict,
                number=verdict.number + 1,
                trial_at=self._clock() + interval_s,
                trials=trials,
            )
        )

    def release(self, part: bytes) -> None:
        """Ends the verdict on a part."""
        known = self._verdicts.get(part)
        if known is not None and known.is_active:
            self._put(replace(known, number=known.number + 1, is_active=False))

    def merge(self, verdict: Verdict) -> bool:
        """Takes a peer's verdict if it is newer; returns whether it was."""
        known = self._verdicts.get(verdict.part)
        if known is not None and _order(known) >= _order(verdict):
            return False
        self._put(verdict)
        return True

    def retry_after_s(self, verdict: Verdict) -> float:
        """Returns when a rejected caller should ask again, seconds."""
        return min(max(verdict.trial_at - self._clock(), MIN_RETRY_S), MAX_RETRY_S)

    def _put(self, verdict: Verdict) -> None:
        self._verdicts.pop(verdict.part, None)
        self._verdicts[verdict.part] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            released = [one.part for one in self._verdicts.values() if not one.is_active]
            del self._verdicts[released[0] if released else next(iter(self._verdicts))]


def _order(verdict: Verdict) -> tuple[int, bool]:
    return verdict.number, verdict.is_active
