"""The token bucket of one account at the issuer of its grants.

The bound ``tokens in any interval <= rate x interval + burst`` follows from one rule of the
issuer: ``level + outstanding <= burst`` at every instant, where a grant stays outstanding until
its holder has reported its use or its deadline has passed. The tokens that can be used after an
instant are then at most the outstanding grants, the level and the refill since.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

from arbutustally.clock import Clock
from arbutustally.grants import Grant, UsageReport

#: Largest deviation of a monotonic clock from true time: the kernel slews by at most 500 ppm.
CLOCK_SLEW = 0.0005


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


def apply_reports(budget: OwnerBudget, uses: Iterable[UsageReport]) -> None:
    """Applies a holder's usage reports to the issuer's budget."""
    for use in uses:
        budget.record_use(use.grant_id, use.spent)
        if use.closed:
            budget.settle(use.grant_id, use.unused)
