"""The lease under which one node at a time orders engines.

A claim is an append that succeeds only if no other record came in between; the store's era and
the record's offset make the fencing number of every order. A lease that was not released may be
claimed once a node has seen its last record unchanged for the whole lease time, so the nodes that
come next look at it early. In an era that is new the store may have lost the holder's record, so
a claimant waits out the lease time there too; only the holder itself may claim at once.
"""

from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.lease import HeldLease, LeaseObserver, era_of, fence_number
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import LeaseReading, LeaseTopic

NAME = "weights"
#: Part of the lease after which it is renewed.
RENEW_PART = 0.4
#: Interval at which the nodes that come next look at another holder's lease, seconds.
WATCH_S = 1.0


class OrderLease:
    """One node's view of the lease, and its hold on it.

    :param holder: name under which this node holds it, different after each start.
    :param boottime: seconds that go on while the instance is suspended.
    :param lease_s: duration of the lease.
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
        # A store that tells no era has always been in one.
        self._era_seen_at = float("-inf")
        self._watched_at = float("-inf")
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
        return left < self._lease_s * (1 - RENEW_PART)

    @property
    def is_open(self) -> bool:
        """Returns whether a record was seen, or may be there, that is not released yet."""
        return self._is_open

    def drop(self) -> None:
        """Forgets a lease that another holder has taken over."""
        self._lease = None

    def watch(self) -> None:
        """Looks at the lease of another holder, at most every ``WATCH_S``.

        :raises StoreUnavailableError: if the store does not answer.
        """
        if self._boottime() - self._watched_at >= WATCH_S:
            self._read()

    def note_era(self, era: int) -> None:
        """Notes that the store has begun an era.

        The holder of an earlier era, whose record the store may have lost, believes its lease for
        at most the lease time from now on.
        """
        if era > self._era:
            self._era = era
            self._era_seen_at = self._boottime()
            # What the store has now must be seen early: it may have to stay unchanged for a while.
            self._is_open = True

    def claim(self) -> bool:
        """Tries to become the holder.

        :raises StoreUnavailableError: if nobody knows whether the claim was appended; the next
            try finds it by its offset.
        """
        self._lease = None
        reading = self._read()
        if self._is_confirmed(reading):
            return self._hold(self._unconfirmed, self._holder)
        return self._is_claimable(reading) and self._begin_tenure(reading)

    def renew(self) -> None:
        """Renews the lease that this node holds.

        :raises StoreUnavailableError: if nobody knows whether it was renewed.
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
            # The record that was read may be gone; the next claim reads what the store has.
            self._lose(lease, answer.era)
        elif answer.is_appended:
            self._lease = HeldLease(sent_at, self._lease_s, lease.name, lease.epoch)

    def release(self) -> None:
        """Gives the lease up, so that others need not wait for its end."""
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
        self.note_era(reading.era)
        if reading.era < self._era:
            raise StoreUnavailableError("the lease was read in an era that is over; retry")
        now = self._boottime()
        self._watched_at = now
        last = reading.last
        if last is not None:
            self._observer.observed(NAME, fence_number(reading.era, last.offset), now)
        self._is_open = last is not None and not _is_released(reading)
        if self._is_open and last.is_released:
            self._is_open = not self._is_claimable(reading)
        return reading

    def _is_claimable(self, reading: LeaseReading) -> bool:
        """Returns whether no other node can believe that it holds the lease.

        A record that was written in an earlier era tells nothing of what that era's later records
        said, and a late one may follow those of this era; so it counts like one not released.
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
            # Which of two calls wrote the record is not known, so the first one's time counts.
            attempt = earlier
        self._unconfirmed = attempt
        answer = self._leases.append(self._holder, None, False, reading.era, reading.end)
        if not answer.is_appended or answer.era != reading.era:
            self._log.line("weights_lease_lost_race", expected=reading.end, era=answer.era)
            return False
        return self._hold(attempt, reading.last.holder if reading.last else "")

    def _carry_over(self, lease: HeldLease, reading: LeaseReading) -> None:
        """Claims the lease anew in an era that began while this node held it.

        Others wait longer than this node's lease lasts, and the append fails if one claims now.
        """
        if self._is_confirmed(reading):
            self._hold(self._unconfirmed, self._holder)
            return
        if not lease.valid(self._boottime()) or not self._begin_tenure(reading):
            self._lose(lease, reading.era)

    def _is_confirmed(self, reading: LeaseReading) -> bool:
        """Returns whether a claim whose answer was lost is the last record."""
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

    :ivar era: in which the topic was read before.
    :ivar offset: at which the claim is, if it was appended.
    :ivar sent_at: seconds of the clock that goes on while the instance is suspended.
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
