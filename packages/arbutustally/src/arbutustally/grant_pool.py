"""Grants that a node holds, and reservations from them."""

from dataclasses import dataclass
from itertools import count

from arbutustally.clock import Clock
from arbutustally.grants import Grant, UsageReport


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
