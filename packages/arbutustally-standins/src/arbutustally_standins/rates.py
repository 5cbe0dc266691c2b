"""Rate limits of the platform's stand-ins."""

from arbutustally.clock import Clock


class RateLimit:
    """A token bucket.

    :param rate: units per second.
    :param burst: units that may be taken at once.
    """

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._level = burst
        self._updated = clock()

    def take(self, amount: float = 1.0) -> bool:
        """Takes units if the bucket holds them."""
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def delay(self, amount: float) -> float:
        """Takes units in any case and returns the seconds to wait for them."""
        self._refill()
        self._level -= amount
        return max(0.0, -self._level / self._rate)

    def _refill(self) -> None:
        now = self._clock()
        self._level = min(self._burst, self._level + (now - self._updated) * self._rate)
        self._updated = now
