"""Account limits: the token bucket of an issuer and the grants held by a node.

The bound ``tokens in any interval <= rate x interval + burst`` follows from one rule of the
issuer: ``level + outstanding <= burst`` at every instant, where a grant stays outstanding until
its holder has reported its use or its deadline has passed. The tokens that can be used after an
instant are then at most the outstanding grants, the level and the refill since.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count

from arbutustally.clock import Clock

#: Largest deviation of a monotonic clock from true time: the kernel slews by at most 500 ppm.
CLOCK_SLEW = 0.0005
#: Clocks of two nodes may differ in rate by this fraction; a holder shortens the lifetime of its
#: grants by it.
CLOCK_RATE_MARGIN = 0.01
#: Fraction of an account's rate and burst that each recorded standing share slot has.
SLOT_FRACTION = 0.125
#: Standing share slots of a shard.
SLOTS = 2


@dataclass(frozen=True)
class Grant:
    """Tokens that a node may use until a deadline.

    :ivar grant_id: unique among all grants of the fleet.
    :ivar until: deadline on the clock of the process that holds this object, seconds.
    :ivar epoch: lease epoch of the issuer, or offset of the share slot.
    """

    grant_id: str
    account: str
    holder: str
    tokens: float
    until: float
    epoch: int


@dataclass
class _Outstanding:
    tokens: float
    until: float


class OwnerBudget:
    """Token bucket of one account at an issuer, with its outstanding grants.

    :param rate: tokens/s.
    :param burst: tokens.
    :param epoch: lease epoch of the issuer, or offset of its share slot.
    :param since: instant at which the bucket was empty, seconds on ``clock``.
    """

    def __init__(
        self, rate: float, burst: float, clock: Clock, account: str, epoch: int, since: float
    ) -> None:
        self._clock = clock
        self._account = account
        self._epoch = epoch
        self._burst = burst
        # The bound must hold in true time, and a fast clock would refill faster.
        self._rate = rate / (1 + CLOCK_SLEW)
        self._level = 0.0
        self._refreshed = since
        self._grants: dict[str, _Outstanding] = {}
        self._expiries: list[tuple[float, str]] = []
        self._outstanding = 0.0
        self._serials = count()

    @classmethod
    def from_config(
        cls,
        rate: float,
        burst: float,
        clock: Clock,
        account: str = "",
        epoch: int = 0,
        since: float | None = None,
    ) -> "OwnerBudget":
        """Builds a bucket that was empty at ``since``, by default now.

        It starts empty because the previous issuer may have granted the burst just before.
        """
        return cls(rate, burst, clock, account, epoch, clock() if since is None else since)

    @property
    def burst(self) -> float:
        """Returns the upper bound of the level plus the outstanding grants, tokens."""
        return self._burst

    @property
    def level(self) -> float:
        """Returns the tokens that can be granted now."""
        self._refresh()
        return self._level

    @property
    def outstanding(self) -> float:
        """Returns the tokens of live grants whose use has not been reported."""
        self._refresh()
        return self._outstanding

    def resize(self, rate: float, burst: float) -> None:
        """Changes rate and burst from now on; existing grants are kept."""
        self._refresh()
        self._rate = rate / (1 + CLOCK_SLEW)
        self._burst = burst
        self._level = min(self._level, self._max_level())

    def grant(self, holder: str, tokens: float, until: float) -> Grant | None:
        """Grants tokens from the level.

        :param until: deadline on this clock; the holder must stop no later.
        :returns: the grant, or ``None`` if the level is too low or the deadline has passed.
        """
        self._refresh()
        if tokens <= 0 or tokens > self._level or until <= self._refreshed:
            return None
        grant_id = f"{holder}/{self._account}/{self._epoch}/{next(self._serials)}"
        self._level -= tokens
        self._outstanding += tokens
        self._grants[grant_id] = _Outstanding(tokens, until)
        heapq.heappush(self._expiries, (until, grant_id))
        return Grant(grant_id, self._account, holder, tokens, until, self._epoch)

    def settle(self, grant_id: str, unused: float) -> None:
        """Closes a grant and returns its unused tokens to the level.

        A grant that is no longer live is ignored: its tokens were written off at its deadline or
        returned when it was closed.
        """
        self._refresh()
        entry = self._grants.pop(grant_id, None)
        if entry is None:
            return
        self._outstanding -= entry.tokens
        self._level += min(max(unused, 0.0), entry.tokens)

    def record_use(self, grant_id: str, tokens: float) -> None:
        """Records tokens of a live grant as used for good, so they no longer limit the level."""
        self._refresh()
        entry = self._grants.get(grant_id)
        if entry is None:
            return
        tokens = min(max(tokens, 0.0), entry.tokens)
        entry.tokens -= tokens
        self._outstanding -= tokens

    def wait_s(self, tokens: float) -> float | None:
        """Returns seconds until the level reaches ``tokens``; ``None`` if it never does.

        Only refill and expiries are considered; usage reports can shorten the wait.
        """
        self._refresh()
        if tokens > self._burst:
            return None
        missing = tokens - self._level
        if missing <= 0:
            return 0.0
        wait = missing / self._rate if self._rate > 0 else None
        freed = self._max_level()
        for until, grant_id in sorted(self._expiries):
            if freed >= tokens:
                break
            entry = self._grants.get(grant_id)
            if entry is not None:
                freed += entry.tokens
                wait = max(wait or 0.0, until - self._refreshed)
        return wait

    def _max_level(self) -> float:
        return max(self._burst - self._outstanding, 0.0)

    def _refresh(self) -> None:
        now = self._clock()
        # The refill up to each expiry is limited by the bound that held until then: a grant may
        # have been used in full just before its deadline, so the tokens that it kept from the
        # level are not refilled for the time before.
        while self._expiries and self._expiries[0][0] <= now:
            until, grant_id = heapq.heappop(self._expiries)
            self._refill(until)
            entry = self._grants.pop(grant_id, None)
            if entry is not None:
                self._outstanding -= entry.tokens
        self._refill(now)
        if not self._grants:
            # Clears rounding errors of the running sum.
            self._outstanding = 0.0

    def _refill(self, instant: float) -> None:
        if instant <= self._refreshed:
            return
        refilled = self._level + self._rate * (instant - self._refreshed)
        self._level = min(refilled, self._max_level())
        self._refreshed = instant


@dataclass(frozen=True)
class GrantPart:
    """Tokens of a reservation that came from one grant."""

    grant_id: str
    tokens: float


@dataclass(frozen=True)
class Reservation:
    """Tokens reserved for one request.

    :ivar tokens: estimated input tokens plus the bound on output tokens.
    """

    reservation_id: int
    account: str
    tokens: float
    parts: tuple[GrantPart, ...]


@dataclass(frozen=True)
class UsageReport:
    """A holder's usage report on one grant, sent to its issuer.

    :ivar spent: tokens used since the last report; these cannot return.
    :ivar closed: the holder will use no more tokens of the grant.
    :ivar unused: tokens returned to the issuer if ``closed``.
    """

    grant_id: str
    spent: float
    closed: bool = False
    unused: float = 0.0


@dataclass
class _HeldGrant:
    grant: Grant
    left: float
    reserved: float = 0.0
    spent: float = 0.0
    reported: float = 0.0


class GrantPool:
    """Grants held by this node, by account.

    :param clock: clock of this node, to which deadlines of added grants refer.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, dict[str, _HeldGrant]] = {}
        self._debts: dict[str, float] = {}
        self._open: set[int] = set()
        self._serials = count()

    @classmethod
    def from_config(cls, clock: Clock) -> "GrantPool":
        """Builds an empty pool."""
        return cls(clock)

    def add(self, grant: Grant) -> None:
        """Adds a grant; one whose deadline has passed is discarded."""
        if grant.until <= self._clock():
            return
        held = _HeldGrant(grant, grant.tokens)
        self._held.setdefault(grant.account, {})[grant.grant_id] = held
        self._pay_debt(grant.account)

    def available(self, account: str) -> float:
        """Returns the tokens that can be reserved now."""
        return sum(held.left for held in self._live(account))

    def debt(self, account: str) -> float:
        """Returns tokens used beyond their reservations and not yet paid from grants."""
        return self._debts.get(account, 0.0)

    def reserve(self, account: str, tokens: float) -> Reservation | None:
        """Reserves tokens, from the grants with the earliest deadlines first; all or nothing."""
        live = self._live(account)
        if sum(held.left for held in live) < tokens:
            return None
        parts = []
        missing = tokens
        for held in sorted(live, key=lambda held: held.grant.until):
            taken = min(held.left, missing)
            if taken <= 0:
                continue
            held.left -= taken
            held.reserved += taken
            missing -= taken
            parts.append(GrantPart(held.grant.grant_id, taken))
        reservation = Reservation(next(self._serials), account, tokens, tuple(parts))
        self._open.add(reservation.reservation_id)
        return reservation

    def settle(self, reservation: Reservation, used: float) -> None:
        """Ends a reservation with the number of tokens that were used.

        Unused tokens return only to the grant from which they were taken, and only while it is
        live: after its deadline the issuer has refilled its level by as many. A second call for
        the same reservation does nothing.
        """
        if reservation.reservation_id not in self._open:
            return
        self._open.remove(reservation.reservation_id)
        grants = self._held.get(reservation.account, {})
        live = {held.grant.grant_id for held in self._live(reservation.account)}
        remaining = min(used, reservation.tokens)
        for part in reservation.parts:
            spent = min(part.tokens, remaining)
            remaining -= spent
            if part.grant_id not in live:
                continue
            held = grants[part.grant_id]
            held.reserved -= part.tokens
            held.spent += spent
            held.left += part.tokens - spent
        if used > reservation.tokens:
            excess = used - reservation.tokens
            self._debts[reservation.account] = self.debt(reservation.account) + excess
            self._pay_debt(reservation.account)

    def reports(
        self, account: str, epoch: int, closing: float = float("-inf")
    ) -> list[UsageReport]:
        """Returns the use since the last call of the grants of one issuer's epoch.

        :param closing: grants with a deadline up to this instant are closed, as are used-up ones;
            tokens of their open reservations count as used because the requests are admitted.
        """
        uses = []
        for held in self._live(account):
            if held.grant.epoch != epoch:
                continue
            ending = held.grant.until <= closing
            closed = ending or (held.left <= 0 and held.reserved <= 0)
            spent = held.spent - held.reported + (held.reserved if ending else 0.0)
            if spent <= 0 and not closed:
                continue
            held.reported = held.spent
            if closed:
                del self._held[account][held.grant.grant_id]
            uses.append(
                UsageReport(held.grant.grant_id, spent, closed, held.left if closed else 0.0)
            )
        return uses

    def has_expiring_tokens(self, account: str, epoch: int, closing: float) -> bool:
        """Returns whether a grant that still has unused tokens expires by ``closing``."""
        return any(
            held.grant.epoch == epoch and held.left > 0 and held.grant.until <= closing
            for held in self._live(account)
        )

    def epochs(self, account: str) -> set[int]:
        """Returns the epochs of the live grants of an account."""
        return {held.grant.epoch for held in self._live(account)}

    def accounts(self) -> list[str]:
        """Returns the accounts with grants."""
        return list(self._held)

    def _live(self, account: str) -> list[_HeldGrant]:
        grants = self._held.get(account)
        if not grants:
            return []
        now = self._clock()
        for grant_id in [key for key, held in grants.items() if held.grant.until <= now]:
            del grants[grant_id]
        return list(grants.values())

    def _pay_debt(self, account: str) -> None:
        debt = self._debts.get(account, 0.0)
        for held in self._live(account):
            paid = min(held.left, debt)
            held.left -= paid
            held.spent += paid
            debt -= paid
        self._debts[account] = debt
        if debt <= 0:
            del self._debts[account]


def grant_for_receiver(grant: Grant, lifetime_s: float, sent_at: float) -> Grant:
    """Returns a grant with its deadline on the receiver's clock.

    :param lifetime_s: time from issue to deadline on the issuer's clock.
    :param sent_at: when the receiver sent its request, on the receiver's clock; the grant was
        issued later, so the receiver's deadline is earlier than the issuer's.
    """
    return replace(grant, until=sent_at + lifetime_s * (1 - CLOCK_RATE_MARGIN))


def apply_reports(budget: OwnerBudget, uses: Iterable[UsageReport]) -> None:
    """Applies a holder's usage reports to the issuer's budget."""
    for use in uses:
        budget.record_use(use.grant_id, use.spent)
        if use.closed:
            budget.settle(use.grant_id, use.unused)
