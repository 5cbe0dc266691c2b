"""Service ``limits``: reserves tokens for requests, from grants of the owner and of shares."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event as Signal
from gevent.lock import BoundedSemaphore

from arbutustally.clock import Clock, monotonic
from arbutustally.errors import (
    LimitUnavailableError,
    OverBurstError,
    RateLimitedError,
)
from arbutustally.limit_issuer import Demand
from arbutustally.limits import SLOTS, GrantPool, Reservation
from arbutustally.logs import get_logger
from arbutustally.metrics import Metrics, declare
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.shard_owner import SLOT_EFFECTIVE, ShardOwner
from arbutustally_node.slot_holder import SlotHolder

#: Longest wait of a request for a grant, seconds.
WAIT_S = 0.5
#: Bound for one call to an issuer, seconds.
CALL_TIMEOUT_S = 0.25
#: An issuer that did not answer is not asked again for this long, seconds.
ISSUER_PAUSE_S = 1.0
#: Interval in which leases, slots and reports are tended, seconds.
TEND_INTERVAL_S = 0.5
#: Shortest wait between two attempts of one request, seconds.
MIN_RETRY_S = 0.01

GRANT = "limits.grant"
SHARE_GRANT = "limits.share_grant"

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
        self._fetching: set[str] = set()
        self._paused: dict[str, float] = {}
        self._owners = [
            ShardOwner(shard, options.node_id, clock, log, lambda *args: self._peers().call(*args))
            for shard in range(options.shards)
        ]
        self._slots = {
            (shard, slot): SlotHolder(shard, slot, options.holder, clock, log)
            for shard in range(options.shards)
            for slot in range(SLOTS)
        }
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
        """Registers the calls of issuers and begins to tend leases and slots."""
        peers = self._peers()
        peers.handle(GRANT, self._on_grant)
        peers.handle(SHARE_GRANT, self._on_share_grant)
        peers.handle(SLOT_EFFECTIVE, self._on_slot_effective)
        self._loops = [gevent.spawn(self._tend_forever), gevent.spawn(self._report_forever)]

    def stop(self) -> None:
        """Ends the loops; leases that were not handed over in the drain expire."""
        self._stopping.set()
        gevent.killall(self._loops, timeout=1)

    # Requests

    def reserve(self, account: str, tokens: float, trace: Any = None) -> Reservation:
        """Sets tokens aside for a request, waiting up to ``WAIT_S`` for a grant.

        :param tokens: input estimate plus the output bound.
        :param trace: notes the decision, with ``note(step, **fields)``; may be ``None``.
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
        source = "held"
        if reservation is None:
            source = "fetched"
            reservation = self._wait(account, tokens)
        now = self._clock()
        self._demand.setdefault(account, Demand(now)).note(tokens, now)
        self._fetch_ahead(account)
        if trace is not None:
            trace.note("limits", tokens=tokens, grant=source)
        return reservation

    def settle(self, reservation: Reservation, used_tokens: float) -> None:
        """Ends a reservation with the tokens really used."""
        self._pool.settle(reservation, used_tokens)

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
                raise self._refused(account, tokens, RateLimitedError, WAIT_S, True)
            try:
                return self._fetch_until(account, tokens, deadline)
            finally:
                lock.release()
        finally:
            self._waiting[account] -= tokens

    def _fetch_until(self, account: str, tokens: float, deadline: float) -> Reservation:
        while True:
            reservation = self._pool.reserve(account, tokens)
            if reservation is not None:
                return reservation
            refusal = self._fetch(account, tokens)
            if refusal is None:
                continue
            pause = max(refusal.retry_after_s or MIN_RETRY_S, MIN_RETRY_S)
            if self._clock() + pause > deadline:
                raise self._refused(
                    account, tokens, refusal.error, refusal.retry_after_s, refusal.within_rate
                )
            self._metrics.count(GRANT_RETRIED)
            gevent.sleep(pause)
