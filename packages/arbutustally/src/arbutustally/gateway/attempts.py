"""What follows a failed attempt: another endpoint, or the final answer at once.

Load pattern: endpoints fail or are full while callers keep sending. A request that may have run is
repeated only where its route allows it, and all repeats share a budget that is a part of the
traffic, so that a fault does not multiply the load on the endpoints that remain.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from arbutustally.clock import Clock
from arbutustally.gateway.configuration import Route

#: Least time for which another attempt is worth its cost, seconds.
MIN_ATTEMPT_S = 0.02
#: Part of the fleet's budget that is used; nodes count their own traffic only.
BUDGET_USED = 0.8
#: Part of the budget that is kept for attempts that have ended: most requests that are hedged would
#: end well without it, while those whose endpoint failed have no other way.
KEPT_FROM_HEDGES = 0.5
#: Sends of one request that ran nowhere; endpoints that are full say so within a few ms.
MAX_SENDS = 4


class Outcome(StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    MAY_HAVE_RUN = "may_have_run"


class Next(StrEnum):
    """What to do after an attempt."""

    DELIVER = "deliver"
    REPEAT = "repeat"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass(frozen=True)
class RepeatBudget:
    """Bound on repeats in a sliding window over all nodes.

    :ivar share: of the requests in the window.
    :ivar slack: repeats in addition.
    """

    window_s: float
    share: float
    slack: float


class RepeatLedger:
    """Repeats and requests of this node by service.

    :param nodes: returns the number of nodes that share the budget.
    """

    def __init__(self, clock: Clock, budget: RepeatBudget) -> None:
        self._clock = clock
        self._budget = budget
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}
        self._nodes = 1

    @classmethod
    def from_config(cls, clock: Clock, budget: RepeatBudget) -> "RepeatLedger":
        """Builds an empty ledger."""
        return cls(clock, budget)

    def share_among(self, nodes: int) -> None:
        """Notes the number of nodes that share the budget."""
        self._nodes = max(nodes, 1)

    def requested(self, service: str) -> None:
        """Counts a request."""
        self._recent(self._requests, service).append(self._clock())

    def take(self, service: str) -> bool:
        """Counts a repeat if the budget has room for it."""
        if not self.left(service):
            return False
        self._repeats[service].append(self._clock())
        return True

    def take_for_hedge(self, service: str) -> bool:
        """Counts a repeat beside an attempt at work if more than the part to be kept is left."""
        if self.left(service) <= self._room(service) * KEPT_FROM_HEDGES:
            return False
        return self.take(service)

    def left(self, service: str) -> int:
        """Returns the repeats for which the budget has room now."""
        repeats = len(self._recent(self._repeats, service))
        return max(0, math.floor(self._room(service) - repeats))

    def _room(self, service: str) -> float:
        requests = len(self._recent(self._requests, service))
        slack = self._budget.slack / self._nodes
        return (requests * self._budget.share + slack) * BUDGET_USED

    def _recent(self, table: dict[str, deque[float]], service: str) -> deque[float]:
        entries = table.setdefault(service, deque())
        oldest = self._clock() - self._budget.window_s
        while entries and entries[0] < oldest:
            entries.popleft()
        return entries


def after(route: Route, outcome: Outcome, ran: int, sends: int, left_s: float) -> Next:
    """Returns what follows an attempt, budget aside.

    :param ran: endpoints on which the request may have run so far, this attempt included.
    :param sends: attempts so far, this one included.
    :param left_s: time until the caller or the route gives up.
    """
    if outcome is Outcome.ANSWERED:
        return Next.DELIVER
    has_time = left_s > MIN_ATTEMPT_S
    if outcome is Outcome.NOT_RUN:
        if has_time and sends < MAX_SENDS:
            return Next.REPEAT
        return Next.REFUSE if ran == 0 else Next.FAIL
    if route.may_repeat and has_time and ran < route.max_attempts:
        return Next.REPEAT
    return Next.FAIL
