"""Clocks; decisions take a clock as an argument so that replays run on virtual time."""

import time
from collections.abc import Callable

#: Returns monotonic seconds.
Clock = Callable[[], float]


def boottime() -> float:
    """Returns seconds since boot, including suspension of the instance."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


#: Steady clock of all decisions. What a peer, an endpoint or a caller may expect after some time
#: does not wait for an instance that is suspended.
monotonic: Clock = boottime


class VirtualClock:
    """A clock that advances only by calls of its methods.

    :param now: initial time in seconds.
    """

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def __call__(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the clock.

        :param seconds: a non-negative duration.
        :raises ValueError: if the duration is negative.
        """
        if seconds < 0:
            raise ValueError("a monotonic clock cannot be set back; pass a non-negative duration")
        self._now += seconds

    def advance_to(self, instant: float) -> None:
        """Advances the clock to an instant that is not in the past."""
        self.advance(instant - self._now)
