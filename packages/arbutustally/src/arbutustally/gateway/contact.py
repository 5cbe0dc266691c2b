"""Whether a node has been in contact with its peers or the store without a gap.

A node that was suspended or cut off acts under the configuration that it had before, until it has
learned what changed meanwhile.
"""

import math

from arbutustally.clock import Clock

#: Time within which a node that hears from others again learns what it has missed, seconds.
CATCH_UP_S = 1.0


class Contact:
    """Records when this node heard from a peer or the store.

    :param clock: clock in seconds that keeps counting while the instance is suspended.
    :param bound_s: longest gap in which nothing counts as missed, seconds.
    """

    def __init__(self, clock: Clock, bound_s: float) -> None:
        self._clock = clock
        self._bound_s = bound_s
        self._heard_at = math.inf
        self._resumed_at = -math.inf

    def heard(self) -> None:
        """Records a message of a peer or an answer of the store."""
        now = self._clock()
        if now - self._heard_at > self._bound_s:
            self._resumed_at = now
        self._heard_at = now

    @property
    def is_current(self) -> bool:
        """Returns whether this node knows what others knew ``bound_s`` ago.

        Before the first contact nothing is known that could be out of date.
        """
        now = self._clock()
        is_in_contact = now - self._heard_at <= self._bound_s
        return is_in_contact and now - self._resumed_at >= CATCH_UP_S
