"""Service ``limits``: reserves tokens for requests, from grants by owners and share slots."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import Event as Signal
from gevent.lock import BoundedSemaphore

from arbutustally.clock import Clock, monotonic
from arbutustally.directory import HOME_WIDTH, ranking
from arbutustally.errors import (
    LimitUnavailableError,
    OverBurstError,
    RateLimitedError,
    RouterError,
)
from arbutustally.grant_pool import GrantPool, Reservation
from arbutustally.limit_issuer import Demand
from arbutustally.logs import get_logger
from arbutustally.metrics import Metrics, declare
from arbutustally.standing_shares import SLOTS
from arbutustally_node.grant_sources import GRANT, SHARE_GRANT, GrantSources, Refusal
from arbutustally_node.kernel import Kernel
from arbutustally_node.node_table import Node
from arbutustally_node.options import Options
from arbutustally_node.shard_owner import SLOT_EFFECTIVE, ShardOwner
from arbutustally_node.slot_holder import SlotHolder

#: Longest wait of a request for a grant, seconds.
WAIT_S = 0.5
#: Interval between two updates of the leases and slots, seconds.
MAINTENANCE_INTERVAL_S = 0.5
#: Interval between two checks for due reports and grants that end soon, seconds.
REPORT_INTERVAL_S = 0.25
#: Timeout of each step of stopping while the log or peers do not respond, seconds.
STOP_TIMEOUT_S = 2.0
#: Shortest wait between two attempts of one request, seconds.
MIN_RETRY_S = 0.01
#: Wait between two attempts while no issuer responds, seconds; one may soon respond again or
#: renew its lease.
UNAVAILABLE_RETRY_S = 0.1
#: After this long without an issuer, requests are refused at once instead of waiting for one,
#: seconds; without requests for as long, the next one waits again.
OUTAGE_S = 2.0

RATE_LIMITED = declare(
    "refused.rate_limited", "Requests beyond their account's rate and burst; raise them if wrong."
)
OVER_BURST = declare(
    "refused.over_burst", "Requests that alone exceed their account's burst; raise the burst."
)
LIMIT_UNAVAILABLE = declare(
    "refused.limit_unavailable",
    "Requests without a reachable owner or share of their account's limit; check log and peers.",
)
WITHIN_RATE = declare(
    "refused.within_rate",
    "Requests refused although their account's use was within its rate and burst.",
)
GRANT_RETRIED = declare(
    "retried.grant", "Requests for grants repeated while a caller's request waited."
)

_log = get_logger("limits")


@dataclass(frozen=True)
class _Outage:
    """Attempts in a row that found no issuer of an account.

    :ivar since: first of them, monotonic seconds.
    :ivar last: latest of them, monotonic seconds.
    """

    since: float
    last: float


class LimitsService:
    """Admits requests within their accounts' limits.

    :param log: returns the ``log`` service.
    :param peers: returns the ``peers`` service.
    :param membership: returns the ``membership`` service.
    """

    def __init__(
        self,
        options: Options,
        metrics: Metrics,
        log: Callable[[], Any],
        peers: Callable[[], Any],
        membership: Callable[[], Any],
        clock: Clock = monotonic,
    ) -> None:
        self._options = options
        self._metrics = metrics
        self._log = log
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._pool = GrantPool.from_config(clock)
        self._demand: dict[str, Demand] = {}
        self._locks: dict[str, BoundedSemaphore] = {}
        self._waiting: dict[str, float] = {}
        self._prefetching: set[str] = set()
        self._outages: dict[str, _Outage] = {}
        self._owners = [
            ShardOwner(shard, options.node_id, clock, log, self._call)
            for shard in range(options.shards)
        ]
        self._slots = [
            [SlotHolder(shard, slot, options.holder, clock, log) for slot in range(SLOTS)]
            for shard in range(options.shards)
        ]
        self._sources = GrantSources(
            options, clock, log, self._call, self._pool, self._owners, self._slots
        )
        self._maintaining: dict[int, gevent.Greenlet] = {}
        self._stopping = Signal()
        self._loops: list[gevent.Greenlet] = []

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "LimitsService":
        """Builds the service; it finds the others at call time."""
        return cls(
            options,
            kernel.lookup("metrics"),
            lambda: kernel.lookup("log"),
            lambda: kernel.lookup("peers"),
            lambda: kernel.lookup("membership"),
        )

    def start(self) -> None:
        """Registers the peer calls of the issuers and starts to maintain leases and slots."""
        peers = self._peers()
        peers.handle(GRANT, self._sources.on_grant)
        peers.handle(SHARE_GRANT, self._sources.on_share_grant)
        peers.handle(SLOT_EFFECTIVE, self._on_slot_effective)
        self._loops = [gevent.spawn(self._maintain_forever), gevent.spawn(self._report_forever)]

    def stop(self) -> None:
        """Returns unused grants and ends the loops.

        Leases under which grants are live are not released; they expire. A drain before
        the stop hands them over without that wait.
        """
        self._stopping.set()
        gevent.killall([*self._loops, *self._maintaining.values()], timeout=1)
        with gevent.Timeout(STOP_TIMEOUT_S, False):
            for account in self._pool.accounts():
                self._sources.report(account, everything=True)
        stops = [gevent.spawn(owner.stop) for owner in self._owners]
        gevent.joinall(stops, timeout=STOP_TIMEOUT_S)

    # Requests

    def reserve(self, account: str, tokens: float, trace: Any = None) -> Reservation:
        """Reserves tokens for a request, waiting up to ``WAIT_S`` for a grant.

        :param tokens: input estimate plus the output bound.
        :param trace: records the decision, with ``note(step, **fields)``; may be ``None``.
        :raises OverBurstError: if the request can never be admitted.
        :raises RateLimitedError: if the account's tokens are used up.
        :raises LimitUnavailableError: if no issuer of the account's limit can be reached.
        """
        limits = self._limits(account)
        if tokens > limits.burst:
            self._metrics.count(OVER_BURST)
            raise OverBurstError(
                f"the request needs {tokens:.0f} tokens, more than the burst of "
                f"{limits.burst:.0f}; shorten it or ask the operator for a larger burst"
            )
        reservation = self._pool.reserve(account, tokens)
        source = "held" if reservation is not None else "fetched"
        if reservation is None:
            reservation = self._wait(account, tokens)
        now = self._clock()
        self._demand.setdefault(account, Demand(now)).note(tokens, now)
        self._prefetch(account, tokens, limits.burst)
        if trace is not None:
            trace.note("limits", tokens=tokens, grant=source)
        return reservation

    def settle(self, reservation: Reservation, used_tokens: float) -> None:
        """Ends a reservation with the tokens really used."""
        self._pool.settle(reservation, used_tokens)

    def usable_shares(self) -> list[str]:
        """Returns the share slots that this node may use now, as ``shard/slot``."""
        return [
            f"{shard}/{slot}"
            for shard, holders in enumerate(self._slots)
            for slot, holder in enumerate(holders)
            if holder.is_usable
        ]

    def _limits(self, account: str) -> Any:
        limits = self._log().state.declarations.accounts.get(account)
        if limits is None:
            self._metrics.count(LIMIT_UNAVAILABLE)
            raise LimitUnavailableError(
                f"account {account!r} has no declared limit; declare [accounts.{account}]"
            )
        return limits

    def _wait(self, account: str, tokens: float) -> Reservation:
        deadline = self._clock() + WAIT_S
        lock = self._locks.setdefault(account, BoundedSemaphore())
        self._waiting[account] = self._waiting.get(account, 0.0) + tokens
        try:
            if not lock.acquire(timeout=WAIT_S):
                return self._reserve_last(account, tokens)
            try:
                return self._fetch_until(account, tokens, deadline)
            finally:
                lock.release()
        finally:
            self._waiting[account] -= tokens

    def _fetch_until(self, account: str, tokens: float, deadline: float) -> Reservation:
        attempts = 0
        while True:
            attempts += 1
            reservation = self._pool.reserve(account, tokens)
            if reservation is not None:
                return reservation
            needed = tokens - self._pool.available(account)
            wanted = max(needed, self._waiting[account]) + self._prefetch_tokens(account)
            refusal = self._sources.fetch(account, needed, wanted)
            is_outage = self._record_outage(account, refusal)
            if refusal is None:
                if self._clock() < deadline:
                    continue
                return self._reserve_last(account, tokens)
            pause = _pause_s(refusal)
            # On a node short of processor time, the first attempt alone may pass the deadline.
            is_repeated = attempts > 1 or not refusal.unavailable
            if is_outage or (is_repeated and self._clock() + pause > deadline):
                raise self._refused(account, tokens, refusal)
            self._metrics.count(GRANT_RETRIED)
            gevent.sleep(pause)

    def _record_outage(self, account: str, refusal: Refusal | None) -> bool:
        """Records the result of an attempt for ``_outages``.

        Returns whether no issuer has been reached for ``OUTAGE_S``, so that waiting is pointless.
        """
        if refusal is None or not refusal.unavailable:
            self._outages.pop(account, None)
            return False
        now = self._clock()
        known = self._outages.get(account)
        since = known.since if known is not None and now - known.last < OUTAGE_S else now
        self._outages[account] = _Outage(since, now)
        return now - since >= OUTAGE_S

    def _reserve_last(self, account: str, tokens: float) -> Reservation:
        """Reserves from the grants held at the end of a wait, which may have ended late.

        :raises RouterError: if they do not suffice.
        """
        reservation = self._pool.reserve(account, tokens)
        if reservation is None:
            raise self._refused(account, tokens, self._sources.last_refusal(account))
        return reservation

    def _refused(self, account: str, tokens: float, refusal: Refusal) -> RouterError:
        if refusal.within_rate:
            self._metrics.count(WITHIN_RATE)
        retry_after_s = refusal.retry_after_s if refusal.retry_after_s is not None else 1.0
        if refusal.unavailable:
            self._metrics.count(LIMIT_UNAVAILABLE)
            return LimitUnavailableError(
                f"no issuer of the limit of account {account!r} can be reached; retry, and check "
                "the log and the peer links if it lasts",
                retry_after_s=retry_after_s,
            )
        self._metrics.count(RATE_LIMITED)
        return RateLimitedError(
            f"account {account!r} has fewer than {tokens:.0f} tokens left; "
            f"retry after {retry_after_s:.1f} s",
            retry_after_s=retry_after_s,
        )

    # Prefetch of grants

    def _prefetch_tokens(self, account: str) -> float:
        demand = self._demand.get(account)
        burst = self._limits(account).burst
        return demand.prefetch_tokens(self._clock(), burst) if demand is not None else 0.0

    def _prefetch(self, account: str, tokens: float, burst: float) -> None:
        if account in self._prefetching or self._sources.is_owner(account):
            return
        available = self._pool.available(account)
        missing = self._demand[account].missing(available, tokens, self._clock(), burst)
        if missing > 0:
            self._prefetching.add(account)
            gevent.spawn(self._prefetch_missing, account, missing)

    def _prefetch_missing(self, account: str, missing: float) -> None:
        try:
            self._sources.ask_owner(account, 0.0, missing)
        except RouterError as error:
            _log.debug("grant prefetch failed", account=account, code=error.code)
        finally:
            self._prefetching.discard(account)

    # Leases, slots and reports

    def _maintain_forever(self) -> None:
        while not self._stopping.is_set():
            live = self._membership().live_nodes()
            draining = self._membership().draining
            for shard in range(self._options.shards):
                # An append that waits for the log blocks its own shard only.
                running = self._maintaining.get(shard)
                if running is None or running.dead:
                    self._maintaining[shard] = gevent.spawn(self.maintain, shard, live, draining)
            self._stopping.wait(MAINTENANCE_INTERVAL_S)

    def maintain(self, shard: int, live: list[Node], draining: bool) -> None:
        """Claims or hands over the lease and slots of a shard according to the live nodes."""
        ranked = ranking(shard, live)
        owner = self._owners[shard]
        if draining:
            owner.hand_over()
        owner.maintain(ranked)
        home_ids = [node.id for node in ranked[:HOME_WIDTH]]
        for holder in self._slots[shard]:
            holder.maintain(home_ids, draining)

    def _report_forever(self) -> None:
        while not self._stopping.is_set():
            for account in self._pool.accounts():
                self._sources.report(account)
            self._stopping.wait(REPORT_INTERVAL_S)

    def _on_slot_effective(self, _node_id: str, payload: list[int]) -> None:
        shard, slot, offset = payload
        self._slots[shard][slot].confirm_owner_lowered(offset)

    def _call(self, node_id: str, method: str, payload: Any, timeout_s: float) -> Any:
        return self._peers().call(node_id, method, payload, timeout_s)


def _pause_s(refusal: Refusal) -> float:
    """Returns how long to wait before the next attempt of a request, seconds."""
    if refusal.unavailable:
        return UNAVAILABLE_RETRY_S
    return max(refusal.retry_after_s or MIN_RETRY_S, MIN_RETRY_S)
