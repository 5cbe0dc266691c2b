"""Issuer of grants: the budgets of one shard's accounts under one lease or share slot."""

from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from typing import Any, Protocol

from arbutustally.clock import Clock
from arbutustally.errors import LeaseLostError
from arbutustally.grants import Grant, UsageReport
from arbutustally.owner_budget import OwnerBudget, apply_reports

#: Longest and shortest lifetime of a grant, seconds. With long ones the unused tokens of finished
#: requests return to a live grant; short ones free tokens that a holder does not use.
MAX_LIFETIME_S = 10.0
MIN_LIFETIME_S = 0.5
#: Lifetime as a fraction of the time in which the burst refills, as outstanding grants limit the
#: level.
LIFETIME_REFILL_FRACTION = 0.5
#: Fraction of the level beyond the need that one holder may prefetch; the rest is left for the
#: other holders.
PREFETCH_LEVEL_FRACTION = 0.25
#: Time constant of the exponential average of recent use, seconds.
USE_AVERAGE_S = 2.0
#: Prefetched grants of a node cover its recent average use for this time, seconds.
PREFETCH_S = 1.0
#: Largest fraction of the burst that a node prefetches, as tokens held by one node are not
#: available to the others.
MAX_PREFETCH_BURST_FRACTION = 1 / 16


class Tenure(Protocol):
    """A lease or share slot, as seen by its holder."""

    @property
    def epoch(self) -> int:
        """Offset of the record that began the tenure."""

    def remaining(self, now: float) -> float:
        """Returns seconds for which its holder may act, 0 or less when it has lapsed."""


@dataclass(frozen=True)
class GrantRequest:
    """A node's request for tokens, sent to an issuer.

    :ivar needed: tokens for which a request waits; granted in full or not at all.
    :ivar wanted: tokens including prefetched ones, at least ``needed``.
    :ivar uses: usage reports on earlier grants of the same issuer.
    """

    account: str
    needed: float
    wanted: float
    uses: tuple[UsageReport, ...] = ()

    def to_payload(self) -> list[Any]:
        """Returns the payload of a peer message."""
        uses = [[use.grant_id, use.spent, use.closed, use.unused] for use in self.uses]
        return [self.account, self.needed, self.wanted, uses]

    @classmethod
    def from_payload(cls, payload: list[Any]) -> "GrantRequest":
        """Parses the payload of a peer message."""
        account, needed, wanted, uses = payload
        return cls(account, needed, wanted, tuple(UsageReport(*use) for use in uses))


@dataclass(frozen=True)
class GrantResponse:
    """An issuer's response.

    :ivar tokens: granted tokens, 0 for a refusal.
    :ivar lifetime_s: from issue to deadline on the issuer's clock, seconds.
    :ivar retry_after_s: for a refusal, seconds until the need can be met; ``None`` if never.
    :ivar within_rate: the refusal is caused by tokens held elsewhere, not by the account's use.
    """

    grant_id: str
    tokens: float
    lifetime_s: float
    epoch: int
    retry_after_s: float | None = None
    within_rate: bool = False

    def to_payload(self) -> list[Any]:
        """Returns the payload of a peer message."""
        return [
            self.grant_id,
            self.tokens,
            self.lifetime_s,
            self.epoch,
            self.retry_after_s,
            self.within_rate,
        ]

    def to_grant(self, account: str, holder: str, until: float) -> Grant:
        """Returns the grant as held by its receiver."""
        return Grant(self.grant_id, account, holder, self.tokens, until, self.epoch)


class _ReferenceBucket:
    """Token bucket without grants for the same use, which shows the cause of a refusal."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = now

    def refresh(self, now: float) -> None:
        self.level = min(self.level + self.rate * (now - self.at), self.burst)
        self.at = now


class Issuer:
    """Grants tokens of a shard's accounts while its tenure lasts.

    :param fraction: returns the fraction of the accounts' rate and burst that this issuer has,
        0 to 1; called at each request.
    """

    def __init__(self, clock: Clock, tenure: Tenure, fraction: Callable[[], float]) -> None:
        self._clock = clock
        self._tenure = tenure
        self._fraction = fraction
        self._began = clock()
        self._epoch = tenure.epoch
        self._budgets: dict[str, OwnerBudget] = {}
        self._references: dict[str, _ReferenceBucket] = {}

    @classmethod
    def from_config(cls, clock: Clock, tenure: Tenure, fraction: Callable[[], float]) -> "Issuer":
        """Builds an issuer whose buckets are empty now."""
        return cls(clock, tenure, fraction)

    @property
    def epoch(self) -> int:
        """Returns the epoch of the tenure under which it was built."""
        return self._epoch

    @property
    def outstanding(self) -> float:
        """Returns the tokens of all live grants, over all accounts."""
        return sum(budget.outstanding for budget in self._budgets.values())

    def budget(self, account: str) -> OwnerBudget | None:
        """Returns the budget of an account, to apply reports; ``None`` before its first request."""
        return self._budgets.get(account)

    def apply_fraction(self) -> bool:
        """Applies the current fraction and returns whether every budget is within it."""
        for account, reference in self._references.items():
            self._budget(account, reference.rate, reference.burst)
        return all(
            budget.level + budget.outstanding <= budget.burst for budget in self._budgets.values()
        )

    def answer(
        self, holder: str, request: GrantRequest, rate: float, burst: float
    ) -> GrantResponse:
        """Applies a holder's usage reports and grants the requested tokens if the level allows.

        :param rate: whole rate of the account, tokens/s; this issuer has its fraction of it.
        :param burst: whole burst of the account, tokens; likewise.
        :raises LeaseLostError: if the tenure has lapsed; the holder then asks the next issuer.
        """
        budget = self._budget(request.account, rate, burst)
        reference = self._references[request.account]
        reference.refresh(self._clock())
        apply_reports(budget, request.uses)
        returned = sum(use.unused for use in request.uses if use.closed)
        reference.level = min(reference.level + returned, reference.burst)
        if request.needed <= 0 and request.wanted <= 0:
            return GrantResponse("", 0.0, 0.0, self._epoch)
        tokens = self._grant_size(budget, request)
        lifetime_s = self._lifetime_s(rate, burst)
        grant = None
        if lifetime_s > 0 and tokens > 0:
            grant = budget.grant(holder, tokens, self._clock() + lifetime_s)
        if grant is None:
            within = 0 < request.needed <= reference.level
            return GrantResponse("", 0.0, 0.0, self._epoch, budget.wait_s(request.needed), within)
        reference.level -= tokens
        return GrantResponse(grant.grant_id, tokens, lifetime_s, self._epoch)

    def _budget(self, account: str, rate: float, burst: float) -> OwnerBudget:
        fraction = self._fraction()
        budget = self._budgets.get(account)
        if budget is None:
            budget = OwnerBudget.from_config(
                rate * fraction, burst * fraction, self._clock, account, self._epoch, self._began
            )
            self._budgets[account] = budget
            self._references[account] = _ReferenceBucket(rate, burst, self._clock())
        budget.resize(rate * fraction, burst * fraction)
        reference = self._references[account]
        reference.rate, reference.burst = rate, burst
        return budget

    def _grant_size(self, budget: OwnerBudget, request: GrantRequest) -> float:
        level = budget.level
        if level < request.needed:
            return 0.0
        prefetch = max(request.wanted - request.needed, 0.0)
        return request.needed + min(prefetch, (level - request.needed) * PREFETCH_LEVEL_FRACTION)

    def _lifetime_s(self, rate: float, burst: float) -> float:
        """Returns the lifetime of a new grant.

        :raises LeaseLostError: if the tenure has lapsed or is another one.
        """
        remaining = self._tenure.remaining(self._clock())
        if remaining <= 0 or self._tenure.epoch != self._epoch:
            raise LeaseLostError(
                "this node no longer holds the lease of the account's shard; ask its new holder",
                retry_after_s=1.0,
            )
        refill_s = burst / rate if rate > 0 else MAX_LIFETIME_S
        wanted = min(max(refill_s * LIFETIME_REFILL_FRACTION, MIN_LIFETIME_S), MAX_LIFETIME_S)
        return min(wanted, remaining)


class Demand:
    """Average of a node's recent use of one account.

    :param now: start, seconds.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._at = now

    def note(self, tokens: float, now: float) -> None:
        """Records an admission."""
        self._rate = self.rate(now) + tokens / USE_AVERAGE_S
        self._at = now

    def rate(self, now: float) -> float:
        """Returns the average use in tokens/s."""
        return self._rate * exp(-(now - self._at) / USE_AVERAGE_S)

    def prefetch_tokens(self, now: float, burst: float) -> float:
        """Returns the tokens to hold in advance of requests.

        :param burst: of the account, tokens.
        """
        return min(self.rate(now) * PREFETCH_S, burst * MAX_PREFETCH_BURST_FRACTION)

    def missing(self, available: float, last_tokens: float, now: float, burst: float) -> float:
        """Returns the tokens to prefetch now, 0 for none.

        :param available: tokens of live grants.
        :param last_tokens: size of the last request; prefetching fewer tokens saves no message.
        """
        target = self.prefetch_tokens(now, burst)
        if target < last_tokens or available >= target / 2:
            return 0.0
        return target - available
