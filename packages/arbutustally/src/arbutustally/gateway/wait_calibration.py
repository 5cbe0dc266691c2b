"""Correction of the expected time to the first event by the times that requests took.

Load pattern: there are too few engines, and placement expects a request to wait for all work that
is queued at its engine. Engines begin urgent requests before others and fetch cached parts instead
of reading them, so many requests wait far shorter; if the uncorrected expectation decided, they
would be rejected although they could be served in time. Corrections are kept by route, since routes
differ in urgency and in the prompts that they bring.
"""

import math
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Time constant of the exponential decay of observations, seconds.
DECAY_S = 5.0
#: Weight of the uncorrected expectation, seconds of expected time. With few observations, the
#: factor stays near 1.
PRIOR_S = 2.0
#: Smallest factor by which an expectation is corrected.
MIN_FACTOR = 0.05


@dataclass
class _Sums:
    expected_s: float
    taken_s: float
    at: float


class WaitCalibration:
    """Compares expected with observed times by route; older observations decay.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sums: dict[str, _Sums] = {}

    @classmethod
    def from_config(cls, clock: Clock) -> "WaitCalibration":
        """Builds a calibration without observations."""
        return cls(clock)

    def observe(self, route: str, expected_s: float, taken_s: float) -> None:
        """Adds the expected and the observed time to the first event of a request."""
        expected, taken = self._decayed(route)
        self._sums[route] = _Sums(expected + expected_s, taken + taken_s, self._clock())

    def factor(self, route: str) -> float:
        """Returns the factor for expected times of a route, at most 1.

        A larger one would reject requests that placement expects to be in time.
        """
        expected, taken = self._decayed(route)
        factor = (taken + PRIOR_S) / (expected + PRIOR_S)
        return min(1.0, max(MIN_FACTOR, factor))

    def _decayed(self, route: str) -> tuple[float, float]:
        sums = self._sums.get(route)
        if sums is None:
            return 0.0, 0.0
        left = math.exp((sums.at - self._clock()) / DECAY_S)
        return sums.expected_s * left, sums.taken_s * left
