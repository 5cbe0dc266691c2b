"""Retry policy after an attempt: another endpoint, or the final answer.

Load pattern: endpoints fail or are full while callers keep sending. A request that may have run is
repeated only if its route allows it, and all repeats share a budget proportional to the traffic, so
that a failure does not multiply the load on the remaining endpoints.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from arbutustally.clock import Clock
from arbutustally.gateway.configuration import Route

#: Shortest remaining time for which another attempt is made, seconds.
MIN_ATTEMPT_S = 0.02
#: Share of the fleet's budget that is used; a node counts only its own traffic.
BUDGET_USED = 0.8
#: Share of the budget reserved for repeats after a failed attempt: most hedged requests would
#: succeed without the hedge, while a failed request can succeed only by a repeat.
RESERVED_FROM_HEDGES = 0.5
#: Attempts of one request that ran nowhere; endpoints that are full reject it within a few ms.
MAX_SENDS = 4


class Outcome(StrEnum):
    """Result of an attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    MAY_HAVE_RUN = "may_have_run"


class Next(StrEnum):
    """Action after an attempt."""

    DELIVER = "deliver"
    REPEAT = "repeat"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass(frozen=True)
class RepeatBudget:
    """Limit on repeats of all nodes in a sliding window.

    :ivar window_s: length of the window, seconds.
    :ivar share: repeats as a share of the requests in the window.
    :ivar slack: additional repeats.
    """

    window_s: float
    share: float
    slack: float


class RepeatLedger:
    """Counts the recent requests and repeats of this node by service.

    :param clock: monotonic seconds.
    :param budget: limit that all nodes share.
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

    def set_node_count(self, nodes: int) -> None:
        """Sets the number of nodes that share the budget."""
        self._nodes = max(nodes, 1)

    def record_request(self, service: str) -> None:
        """Counts a request."""
        self._recent(self._requests, service).append(self._clock())

    def take(self, service: str) -> bool:
        """Counts a repeat if the budget allows it; returns whether it does."""
        if not self.left(service):
            return False
        self._repeats[service].append(self._clock())
        return True

    def take_for_hedge(self, service: str) -> bool:
        """Counts a repeat made while an attempt is still running.

        :returns: whether more than the share reserved for failed attempts was left.
        """
        if self.left(service) <= self._room(service) * RESERVED_FROM_HEDGES:
            return False
        return self.take(service)

    def left(self, service: str) -> int:
        """Returns the number of repeats that the budget allows now."""
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


def next_action(route: Route, outcome: Outcome, ran: int, sends: int, left_s: float) -> Next:
    """Returns the action after an attempt, regardless of the repeat budget.

    :param ran: number of endpoints on which the request may have run, this attempt included.
    :param sends: number of attempts, this one included.
    :param left_s: time until the caller's or the route's timeout, seconds.
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
