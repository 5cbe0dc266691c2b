"""Standing shares: when the holder of a recorded share slot may use it."""

from collections.abc import Callable
from typing import Protocol

from arbutustally.grants import CLOCK_RATE_MARGIN

#: Fraction of an account's rate and burst that each recorded standing share slot has.
SLOT_FRACTION = 0.125
#: Standing share slots of a shard.
SLOTS = 2
#: Longest use of a slot, counted from when the log read that last confirmed it was sent, seconds.
#: It bounds how long a slot stays usable during an outage of the log.
SHARE_VALIDITY_S = 7200.0
#: A successor waits this long unless its predecessor released the slot, seconds. The margin covers
#: clocks that run at different rates.
SUCCESSION_WAIT_S = SHARE_VALIDITY_S * (1 + CLOCK_RATE_MARGIN)


class ShareEntry(Protocol):
    """A slot in the fold of the log.

    :ivar holder: node incarnation, empty when released.
    :ivar last_offset: offset of the last accepted record of the slot.
    :ivar previous_holder: holder when this assignment was accepted, empty if none or released.
    """

    holder: str
    last_offset: int
    previous_holder: str


def owner_fraction(recorded_slots: int) -> float:
    """Returns the fraction of rate and burst that the owner of a shard has.

    :param recorded_slots: slots that were ever assigned; a released one stays deducted because
        its next holder may start at once.
    """
    return 1 - SLOT_FRACTION * recorded_slots


class SlotTenure:
    """One slot, as seen by its holder; a ``Tenure`` of an issuer.

    :param holder: this node's incarnation as recorded in the log.
    :param entry: returns the slot's entry in the current fold.
    :param confirmed_at: returns when the last log read that reached the tail was sent.
    """

    def __init__(
        self,
        holder: str,
        entry: Callable[[], ShareEntry | None],
        confirmed_at: Callable[[], float],
    ) -> None:
        self._holder = holder
        self._entry = entry
        self._confirmed_at = confirmed_at
        self._seen_offset = -1
        self._seen_at = 0.0
        self._effective_offset = -1
        self._ends_at = float("inf")

    @property
    def epoch(self) -> int:
        """Returns the offset of the assignment, -1 without one."""
        entry = self._entry()
        return entry.last_offset if entry is not None and entry.holder == self._holder else -1

    @property
    def ends_at(self) -> float:
        """Returns when use ends before a release, infinite without one."""
        return self._ends_at

    def confirm_owner_lowered(self, offset: int) -> None:
        """Records that the owner has lowered its own budget for this assignment."""
        self._effective_offset = max(self._effective_offset, offset)

    def end_at(self, instant: float) -> None:
        """Sets when use ends before a release; grants expire by then too."""
        self._ends_at = min(self._ends_at, instant)

    def observe(self, now: float) -> None:
        """Records a new assignment.

        It must be called often because a succession wait starts when the assignment is recorded.
        """
        if self.epoch != self._seen_offset:
            self._seen_offset = self.epoch
            self._seen_at = now
            self._ends_at = float("inf")

    def usable(self, now: float) -> bool:
        """Returns whether the predecessor can no longer use the slot.

        Only then may this holder release it, because the next holder of a released slot starts at
        once.
        """
        self.observe(now)
        entry = self._entry()
        if entry is None or entry.holder != self._holder:
            return False
        if entry.previous_holder:
            return now >= self._seen_at + SUCCESSION_WAIT_S
        return self._effective_offset >= entry.last_offset

    def remaining(self, now: float) -> float:
        """Returns seconds for which the slot may be used, 0 or less if it may not."""
        if not self.usable(now):
            return 0.0
        return min(self._confirmed_at() + SHARE_VALIDITY_S, self._ends_at) - now
