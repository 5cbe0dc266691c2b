"""The lease under which one node at a time orders engines.

A claim is a conditional append: it succeeds only if no other record was appended since the topic
was read. The store's era and the record's offset form the fencing number of every order. A lease
that was not released may be claimed once a node has seen its last record unchanged for the whole
lease duration, so the nodes next in order start to poll it early. In a new era the store may have
lost the holder's record, so a claimant waits for the lease duration there too; only the holder
itself may claim at once.
"""

from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.lease import HeldLease, LeaseObserver, era_of, fence_number
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import LeaseReading, LeaseTopic

NAME = "weights"
#: Fraction of the lease duration after which the lease is renewed.
RENEW_FRACTION = 0.4
#: Interval at which the nodes next in order poll another holder's lease, seconds.
POLL_S = 1.0


class OrderLease:
    """One node's view of the lease, and its own tenure if it is the holder.

    :param holder: name under which this node holds the lease, different after each start.
    :param boottime: clock in seconds that keeps running while the instance is suspended.
    :param lease_s: duration of the lease, seconds.
    """

    def __init__(
        self, holder: str, leases: LeaseTopic, log: DecisionLog, boottime: Clock, lease_s: float
    ) -> None:
        self._holder = holder
        self._leases = leases
        self._log = log
        self._boottime = boottime
        self._lease_s = lease_s
        self._observer = LeaseObserver.from_config(lease_s)
        self._lease: HeldLease | None = None
        self._unconfirmed: _Attempt | None = None
        self._era = 0
        # A store that states no era never changes era, so nothing has to be waited out.
        self._era_seen_at = float("-inf")
        self._read_at = float("-inf")
        self._is_open = False

    @property
    def holder(self) -> str:
        """Returns the name under which this node holds the lease."""
        return self._holder

    @property
    def is_held(self) -> bool:
        """Returns whether this node may send orders now."""
        return self._lease is not None and self._lease.valid(self._boottime())

    @property
    def fence(self) -> int:
        """Returns the fencing number of the lease that this node holds."""
        return self._lease.epoch

    @property
    def must_renew(self) -> bool:
        """Returns whether the lease that this node holds should be renewed."""
        left = self._lease.remaining(self._boottime())
        return left < self._lease_s * (1 - RENEW_FRACTION)

    @property
    def is_open(self) -> bool:
        """Returns whether the store has, or may have, a record of a lease not yet released."""
        return self._is_open

    def drop(self) -> None:
        """Drops this node's lease after another holder has taken it over."""
        self._lease = None

    def poll(self) -> None:
        """Reads the lease of another holder, at most once per ``POLL_S``.

        :raises StoreUnavailableError: if the store does not answer.
        """
        if self._boottime() - self._read_at >= POLL_S:
            self._read()

    def record_era(self, era: int) -> None:
        """Records that the store has begun an era.

        The holder of an earlier era, whose record the store may have lost, can regard its lease as
        valid for at most the lease duration from now on.
        """
        if era > self._era:
            self._era = era
            self._era_seen_at = self._boottime()
            # Have the lease read soon: its record must be seen unchanged for the whole lease duration
            # before another node may claim.
            self._is_open = True

    def claim(self) -> bool:
        """Tries to become the holder.

        :raises StoreUnavailableError: if it is unknown whether the claim was appended; the next
            attempt recognizes it by its offset.
        """
        self._lease = None
        reading = self._read()
        if self._is_confirmed(reading):
            return self._hold(self._unconfirmed, self._holder)
        return self._is_claimable(reading) and self._begin_tenure(reading)

    def renew(self) -> None:
        """Renews the lease that this node holds.

        :raises StoreUnavailableError: if it is unknown whether the lease was renewed.
        """
        lease = self._lease
        reading = self._read()
        if self._lease is not lease:
            return
        if reading.era > era_of(lease.epoch):
            self._carry_over(lease, reading)
            return
        if not self._is_own(reading, lease):
            self._lose(lease, reading.era)
            return
        sent_at = self._boottime()
        answer = self._leases.append(
            self._holder, reading.last.tenure, False, reading.era, reading.end
        )
        if self._lease is not lease:
            return
        if answer.era != reading.era:
            # The record that was read may be lost; the next claim reads the topic again.
            self._lose(lease, answer.era)
        elif answer.is_appended:
            self._lease = HeldLease(sent_at, self._lease_s, lease.name, lease.epoch)

    def release(self) -> None:
        """Releases the lease, so that other nodes need not wait until it expires."""
        lease, self._lease = self._lease, None
        try:
            reading = self._read()
            if not self._is_own(reading, lease):
                self._log.line("weights_lease_lost", fence=lease.epoch, era=reading.era)
                return
            self._leases.append(self._holder, reading.last.tenure, True, reading.era, reading.end)
            self._log.line("weights_lease_released", fence=lease.epoch)
        except StoreUnavailableError as error:
            self._log.line("weights_lease_not_released", reason=error.message)

    def _read(self) -> LeaseReading:
        reading = self._leases.last()
        self.record_era(reading.era)
        if reading.era < self._era:
            raise StoreUnavailableError("the lease was read in an era that is over; retry")
        now = self._boottime()
        self._read_at = now
        last = reading.last
        if last is not None:
            self._observer.record_read(NAME, fence_number(reading.era, last.offset), now)
        self._is_open = last is not None and not _is_released(reading)
        if self._is_open and last.is_released:
            self._is_open = not self._is_claimable(reading)
        return reading

    def _is_claimable(self, reading: LeaseReading) -> bool:
        """Returns whether no other node can regard itself as the holder.

        A record written in an earlier era does not show what the later records of that era said,
        and a delayed record of that era may be appended after those of this era. So even a release
        from an earlier era counts as not released.
        """
        now, last = self._boottime(), reading.last
        if last is None:
            return now - self._era_seen_at >= self._lease_s
        position = fence_number(reading.era, last.offset)
        return _is_released(reading) or self._observer.claimable(NAME, position, now)

    def _begin_tenure(self, reading: LeaseReading) -> bool:
        attempt = _Attempt(reading.era, reading.end, self._boottime())
        earlier = self._unconfirmed
        if earlier is not None and earlier.fence == attempt.fence:
            # It is unknown which of the two calls wrote the record, so the lease starts at the
            # earlier one.
            attempt = earlier
        self._unconfirmed = attempt
        answer = self._leases.append(self._holder, None, False, reading.era, reading.end)
        if not answer.is_appended or answer.era != reading.era:
            self._log.line("weights_lease_lost_race", expected=reading.end, era=answer.era)
            return False
        return self._hold(attempt, reading.last.holder if reading.last else "")

    def _carry_over(self, lease: HeldLease, reading: LeaseReading) -> None:
        """Claims the lease again in an era that began while this node held it.

        This is safe: other nodes wait longer than this node's lease lasts, and the append fails if
        another node claims now.
        """
        if self._is_confirmed(reading):
            self._hold(self._unconfirmed, self._holder)
            return
        if not lease.valid(self._boottime()) or not self._begin_tenure(reading):
            self._lose(lease, reading.era)

    def _is_confirmed(self, reading: LeaseReading) -> bool:
        """Returns whether the last record is this node's claim whose answer was lost."""
        last, attempt = reading.last, self._unconfirmed
        if last is None or attempt is None or last.holder != self._holder:
            return False
        return (reading.era, last.offset) == (attempt.era, attempt.offset)

    def _is_own(self, reading: LeaseReading, lease: HeldLease) -> bool:
        last = reading.last
        return (
            last is not None
            and last.holder == self._holder
            and fence_number(reading.era, last.tenure) == lease.epoch
        )

    def _lose(self, lease: HeldLease, era: int) -> None:
        self._lease = None
        self._log.line("weights_lease_lost", fence=lease.epoch, era=era)

    def _hold(self, attempt: "_Attempt", previous: str) -> bool:
        self._unconfirmed = None
        self._lease = HeldLease(attempt.sent_at, self._lease_s, NAME, attempt.fence)
        self._log.line("weights_lease_claimed", fence=attempt.fence, previous=previous)
        return self.is_held


@dataclass(frozen=True)
class _Attempt:
    """A claim that was sent.

    :ivar era: era in which the topic was read before the claim.
    :ivar offset: offset of the claim's record, if it was appended.
    :ivar sent_at: time on the clock that keeps running while the instance is suspended, seconds.
    """

    era: int
    offset: int
    sent_at: float

    @property
    def fence(self) -> int:
        """Returns the fencing number of the tenure."""
        return fence_number(self.era, self.offset)


def _is_released(reading: LeaseReading) -> bool:
    last = reading.last
    return last.is_released and last.era == reading.era
