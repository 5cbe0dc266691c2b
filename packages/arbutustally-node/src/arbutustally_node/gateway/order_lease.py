"""The lease under which one node at a time orders engines.

A claim is an append that succeeds only if no other record came in between; its offset is the
fencing number of every order. A lease that was not released may be claimed once a node has seen
its last record unchanged for the whole lease time, so the nodes that come next look at it early.
"""

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.lease import HeldLease, LeaseObserver
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
        self._unconfirmed: tuple[int, float] | None = None
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
        """Returns whether another holder's record was seen that is not released yet."""
        return self._is_open

    def drop(self) -> None:
        """Forgets a lease that another holder has taken over."""
        self._lease = None

    def watch(self) -> None:
        """Looks at the lease of another holder, at most every ``WATCH_S``.

        :raises StoreUnavailableError: if the store does not answer.
        """
        if self._boottime() - self._watched_at >= WATCH_S:
            self._last()

    def claim(self) -> bool:
        """Tries to become the holder.

        :raises StoreUnavailableError: if nobody knows whether the claim was appended; the next
            try finds it by its offset.
        """
        self._lease = None
        reading = self._last()
        last, end = reading.last, reading.end
        if last is not None and last.holder == self._holder and self._unconfirmed:
            offset, sent_at = self._unconfirmed
            if last.offset == offset:
                return self._hold(offset, sent_at, last.holder)
        sent_at = self._boottime()
        if self._is_open and not self._observer.claimable(NAME, last.offset, sent_at):
            return False
        self._unconfirmed = (end, sent_at)
        if not self._leases.append(self._holder, None, False, end).is_appended:
            self._unconfirmed = None
            self._log.line("weights_lease_lost_race", expected=end)
            return False
        return self._hold(end, sent_at, last.holder if last else "")

    def renew(self) -> None:
        """Renews the lease that this node holds.

        :raises StoreUnavailableError: if nobody knows whether it was renewed.
        """
        lease = self._lease
        reading = self._last()
        last, end = reading.last, reading.end
        if self._lease is not lease:
            return
        if last is None or last.fence != lease.epoch or last.holder != self._holder:
            self._lease = None
            self._log.line("weights_lease_lost", fence=lease.epoch)
            return
        sent_at = self._boottime()
        answer = self._leases.append(self._holder, lease.epoch, False, end)
        if answer.is_appended and self._lease is lease:
            self._lease = HeldLease(sent_at, self._lease_s, lease.name, lease.epoch)

    def release(self) -> None:
        """Gives the lease up, so that others need not wait for its end."""
        lease, self._lease = self._lease, None
        try:
            end = self._leases.last().end
            self._leases.append(self._holder, lease.epoch, True, end)
            self._log.line("weights_lease_released", fence=lease.epoch)
        except StoreUnavailableError as error:
            self._log.line("weights_lease_not_released", reason=error.message)

    def _last(self) -> LeaseReading:
        reading = self._leases.last()
        last = reading.last
        now = self._boottime()
        self._watched_at = now
        self._is_open = last is not None and not last.is_released
        if self._is_open:
            self._observer.observed(NAME, last.offset, now)
        return reading

    def _hold(self, fence: int, sent_at: float, previous: str) -> bool:
        self._unconfirmed = None
        self._lease = HeldLease(sent_at, self._lease_s, NAME, fence)
        self._log.line("weights_lease_claimed", fence=fence, previous=previous)
        return self.is_held
