"""Whether a node has been in contact with its peers or the store without a gap.

A node that was suspended or cut off acts under the configuration that it had before, until it has
learned what changed meanwhile.
"""

import math
from collections.abc import Callable

from arbutustally.clock import Clock

#: Time in which a node that hears from others again learns which configuration they have, seconds.
CATCH_UP_S = 1.0


class Contact:
    """Records when this node heard from a peer or the store, and whether it has caught up.

    :param clock: clock in seconds that keeps counting while the instance is suspended.
    :param bound_s: longest gap in which nothing counts as missed, seconds.
    :param are_peers_level: returns whether peers are present, and none has a newer configuration.
    :param is_configuration_known: returns whether this node, or a peer that it hears, has read the
        operator's records within ``bound_s``.
    """

    def __init__(
        self,
        clock: Clock,
        bound_s: float,
        are_peers_level: Callable[[], bool] = lambda: False,
        is_configuration_known: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._bound_s = bound_s
        self._are_peers_level = are_peers_level
        self._is_configuration_known = is_configuration_known
        self._heard_at = math.inf
        self._resumed_at = -math.inf
        self._has_caught_up = True
        self._has_read = False
        self._watchers: list[Callable[[], None]] = []

    def watch_gaps(self, watcher: Callable[[], None]) -> None:
        """Calls a function at the end of each gap."""
        self._watchers.append(watcher)

    def heard(self) -> None:
        """Records a message of a peer or an answer of the store."""
        now = self._clock()
        if now - self._heard_at > self._bound_s:
            self._resumed_at = now
            self._has_caught_up = self._has_read = False
            for watcher in self._watchers:
                watcher()
        self._heard_at = now

    def configuration_read(self, current_at: float) -> None:
        """Records that all records of the operator were read from the store.

        :param current_at: when they certainly were all records, seconds.
        """
        self._has_read = self._has_read or current_at >= self._resumed_at

    @property
    def is_current(self) -> bool:
        """Returns whether this node knows what others knew ``bound_s`` ago.

        Before the first contact nothing is known that could be out of date.
        """
        now = self._clock()
        if now - self._heard_at > self._bound_s:
            return False
        if not self._has_caught_up and now - self._resumed_at >= CATCH_UP_S:
            self._has_caught_up = self._has_read or self._are_peers_level()
        return self._has_caught_up and self._is_configuration_known()
