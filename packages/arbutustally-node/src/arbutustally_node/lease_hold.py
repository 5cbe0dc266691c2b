"""A lease that this node claims, renews and releases."""

import math
from collections.abc import Callable
from random import Random
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import LeaseLostError, LogUnavailableError
from arbutustally.lease import HeldLease, LeaseObserver
from arbutustally.logs import get_logger
from arbutustally.records import LeaseRecord, Record
from arbutustally.verdicts import Verdict

#: Fraction of the lease's duration after which a renewal is sent.
_RENEW_AFTER_FRACTION = 0.5
#: Longest interval between two polls of the state, as a fraction of the lease's duration.
_POLL_INTERVAL_FRACTION = 0.1
_RELEASE_TIMEOUT_S = 1.0
#: Bases whose send times are kept; only records with the latest few can still be accepted.
_MAX_SENT_BASES = 8

_log = get_logger("lease")


def always() -> bool:
    """Returns ``True``, for a lease that is always wanted."""
    return True


class LeaseHold:
    """Claims and renews one lease while it is wanted.

    Call ``valid()`` immediately before each effect.

    :param wanted: returns whether this node should hold the lease.
    :param duration_s: of the lease.
    :param spread_s: longest random delay of a claim after the lease became free.
    """

    def __init__(
        self,
        log: Any,
        name: str,
        holder: str,
        duration_s: float,
        clock: Clock,
        rng: Random,
        wanted: Callable[[], bool] = always,
        spread_s: float = 0.0,
    ) -> None:
        self._log = log
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._clock = clock
        self._rng = rng
        self._wanted = wanted
        self._spread_s = spread_s
        self._free_since: tuple[int, float] | None = None
        self._observer = LeaseObserver.from_config(duration_s)
        self._sent: dict[int, float] = {}
        self._held: HeldLease | None = None
        self._claimed_at = math.inf
        self._greenlet: gevent.Greenlet | None = None
        log.subscribe(self._on_record)

    @property
    def name(self) -> str:
        """Returns the name of the lease."""
        return self._name

    @property
    def epoch(self) -> int:
        """Returns the fencing number of the current tenure, -1 without one."""
        return self._held.epoch if self._held is not None else -1

    @property
    def fence(self) -> int:
        """Returns the fencing number of the current tenure, the same as ``epoch``."""
        return self.epoch

    @property
    def claimed_at(self) -> float:
        """Returns when this node read its accepted claim, monotonic seconds.

        Endpoints that check no fencing numbers are sent orders only some time after it.
        """
        return self._claimed_at

    @property
    def held(self) -> HeldLease | None:
        """Returns the lease as last accepted; it may have expired."""
        return self._held

    def valid(self, now: float | None = None) -> bool:
        """Returns whether an effect under the lease is allowed."""
        if self._held is None or not self._is_mine():
            return False
        return self._held.valid(self._clock() if now is None else now)

    def require(self) -> int:
        """Returns the fencing number.

        :raises LeaseLostError: if no effect is allowed.
        """
        if not self.valid():
            raise LeaseLostError(f"lease {self._name} is not held by this node; ask its holder")
        return self.epoch

    def set_wanted(self, wanted: Callable[[], bool]) -> None:
        """Replaces the function that returns whether this node should hold the lease."""
        self._wanted = wanted

    def start(self) -> None:
        """Starts to claim and renew, unless already started."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends all effects, then releases the lease, so that a successor need not wait."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        try:
            self.release()
        except LogUnavailableError:
            _log.info("lease not released; it ends when it expires", lease=self._name)

    def release(self) -> None:
        """Releases the lease.

        :raises LogUnavailableError: if the log did not confirm it; the lease then expires.
        """
        self._held = None
        if not self._is_mine():
            return
        base = self._log.state.lease(self._name).last_offset
        record = LeaseRecord(self._name, self._holder, base, release=True)
        self._log.append(record, timeout_s=_RELEASE_TIMEOUT_S)

    def _is_mine(self) -> bool:
        entry = self._log.state.lease(self._name)
        return entry is not None and entry.holder == self._holder and not entry.released

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except LogUnavailableError as error:
                _log.info("lease record not confirmed", lease=self._name, error=error.message)
            gevent.sleep(self._rng.uniform(0.8, 1.0) * _POLL_INTERVAL_FRACTION * self._duration_s)

    def step(self) -> None:
        """Polls the state once and claims, renews or releases.

        :raises LogUnavailableError: if the log did not confirm the record.
        """
        now = self._clock()
        entry = self._log.state.lease(self._name)
        if entry is not None:
            self._observer.record_read(self._name, entry.last_offset, now)
        if not self._log.ready:
            return
        if self._is_mine():
            self._keep(entry.last_offset, now)
        elif self._wanted() and self._is_free(entry, now):
            base = entry.last_offset if entry is not None else -1
            if self._is_my_turn(base, now):
                self._append(base)

    def _is_my_turn(self, base: int, now: float) -> bool:
        """Returns whether the random delay since the lease became free has passed."""
        if self._free_since is None or self._free_since[0] != base:
            self._free_since = (base, now + self._rng.uniform(0, self._spread_s))
        return now >= self._free_since[1]

    def _is_free(self, entry: Any, now: float) -> bool:
        if entry is None or entry.released:
            return True
        return self._observer.claimable(self._name, entry.last_offset, now)

    def _keep(self, base: int, now: float) -> None:
        if not self._wanted():
            self.release()
            return
        remaining = self._held.remaining(now) if self._held is not None else 0.0
        if remaining <= _RENEW_AFTER_FRACTION * self._duration_s:
            self._append(base)

    def _append(self, base: int) -> None:
        # Several records may be sent for one base, and any of them may be the accepted one, so
        # the lease counts from the time of the first.
        self._sent.setdefault(base, self._clock())
        while len(self._sent) > _MAX_SENT_BASES:
            del self._sent[min(self._sent)]
        record = LeaseRecord(self._name, self._holder, base)
        self._log.append(record, timeout_s=self._duration_s * _RENEW_AFTER_FRACTION)

    def _on_record(self, offset: int, record: Record | None, verdict: Verdict) -> None:
        body = record.body if record is not None else None
        if not verdict.accepted or not isinstance(body, LeaseRecord):
            return
        if body.name != self._name:
            return
        if body.holder != self._holder or body.release:
            self._held = None
            return
        sent_at = self._sent.get(body.base)
        if sent_at is None:
            return
        epoch = self._log.state.lease(self._name).epoch
        if epoch != self.epoch:
            self._claimed_at = self._clock()
        self._held = HeldLease(sent_at, self._duration_s, self._name, epoch)
