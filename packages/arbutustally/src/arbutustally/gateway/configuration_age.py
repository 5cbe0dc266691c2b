"""Age of what a node knows of the operator's records.

The store may reject some instances while it serves the operator and the others. So neither its
failures nor the number of peers that see the same show that nothing was written meanwhile; only a
read shows which records existed when it was sent.
"""

import math

from arbutustally.clock import Clock


class ConfigurationAge:
    """Records when all records of the operator were last known to this node.

    A read that waits at the store for the next record returns as soon as there is one. While it
    waits, any answer of the store shows that none was written before the call of that answer.

    :param clock: clock in seconds that keeps counting while the instance is suspended.
    :param earliest_arrival: returns the earliest time at which a message that is read now may have
        arrived, by default now.
    """

    def __init__(self, clock: Clock, earliest_arrival: Clock | None = None) -> None:
        self._clock = clock
        self._earliest_arrival = earliest_arrival or clock
        self._own_at = -math.inf
        self._peers_at = -math.inf
        self._ignored_until = -math.inf
        self._is_following = False

    @property
    def age_s(self) -> float:
        """Returns the time since this node certainly knew all records, seconds."""
        return self._clock() - max(self._own_at, self._peers_at)

    @property
    def own_age_s(self) -> float:
        """Returns the same by this node's own reads alone, seconds."""
        return self._clock() - self._own_at

    def records_read(self, current_at: float) -> bool:
        """Records that all records were read, and that a read waits for the next one.

        :param current_at: when they certainly were all records, seconds.
        :returns: whether no read waited before.
        """
        was_following = self._is_following
        self._is_following = True
        self._own_at = max(self._own_at, current_at)
        return not was_following

    def store_answered(self, asked_at: float) -> bool:
        """Records another answer of the store; returns whether a read waits meanwhile.

        :param asked_at: when the store was asked, seconds.
        """
        if self._is_following:
            self._own_at = max(self._own_at, asked_at)
        return self._is_following

    def following_ended(self) -> None:
        """Records that a waiting read has ended, or that its connection may no longer work."""
        self._is_following = False

    def peer_read(self, age_s: float) -> None:
        """Records that a peer knew all records, and that this node has the same configuration.

        :param age_s: time between that and the peer's message, seconds.
        """
        if self._clock() >= self._ignored_until:
            self._peers_at = max(self._peers_at, self._earliest_arrival() - age_s)

    def forget(self, ignore_peers_s: float) -> None:
        """Drops everything after a gap in which this node stood still or heard nobody.

        :param ignore_peers_s: time in which messages of before the gap may still arrive, seconds.
        """
        self._own_at = self._peers_at = -math.inf
        self._is_following = False
        self._ignored_until = self._clock() + ignore_peers_s
