"""Validity of leases, for the holder and for a claimant."""

from dataclasses import dataclass, field

#: Fraction of the duration by which a holder stops early, because the clocks of two machines run
#: at different rates.
RATE_MARGIN = 0.01
#: Additional seconds for the time between the check and the effect.
FIXED_MARGIN_S = 0.05
#: Bits of a fencing number that hold the offset. With the bits of the era it stays below 2^53, so
#: that every JSON reader represents it exactly.
FENCE_OFFSET_BITS = 33
FENCE_ERA_BITS = 20


def fence_number(era: int, offset: int) -> int:
    """Returns the fencing number of a record; it increases with each record and each era.

    :param era: number of times that the store was restored from an older copy.
    :param offset: of the record; a new era may assign it again.
    """
    return (era << FENCE_OFFSET_BITS) + offset


def era_of(fence: int) -> int:
    """Returns the era of a fencing number."""
    return fence >> FENCE_OFFSET_BITS


@dataclass(frozen=True)
class HeldLease:
    """The holder's view of its lease.

    :ivar sent_at: when the last accepted renewal was sent, monotonic seconds. Validity starts at
        the time of sending, because a claimant can have read the record at any time after it.
    :ivar duration: of the lease, seconds.
    :ivar name: name of the lease.
    :ivar epoch: fencing number.
    """

    sent_at: float
    duration: float
    name: str = ""
    epoch: int = -1

    def remaining(self, now: float) -> float:
        """Returns the seconds for which effects are still allowed, at least 0."""
        usable = self.duration * (1 - RATE_MARGIN) - FIXED_MARGIN_S
        return max(0.0, self.sent_at + usable - now)

    def valid(self, now: float) -> bool:
        """Returns whether an effect is allowed; check immediately before each effect."""
        return self.remaining(now) > 0


@dataclass
class LeaseObserver:
    """A claimant's view of the leases of others.

    :ivar duration: of the leases, seconds.
    """

    duration: float
    _first_read: dict[str, tuple[int, float]] = field(default_factory=dict)

    @classmethod
    def from_config(cls, duration: float) -> "LeaseObserver":
        """Builds an observer of leases of one duration in seconds."""
        return cls(duration)

    def record_read(self, name: str, last_offset: int, now: float) -> None:
        """Records when the last record of a lease was first read; later readings change nothing."""
        first_read = self._first_read.get(name)
        if first_read is None or first_read[0] != last_offset:
            self._first_read[name] = (last_offset, now)

    def claimable(self, name: str, last_offset: int, now: float) -> bool:
        """Returns whether this observer has seen no newer record for a whole duration."""
        self.record_read(name, last_offset, now)
        return now - self._first_read[name][1] >= self.duration
