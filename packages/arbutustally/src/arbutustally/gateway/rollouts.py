"""Canary roll-outs of a service's releases: routing of requests, and the decision to keep or not.

The canary is the release that the operator's order names; the baseline is every other release that
was not rolled back.

Load pattern: a canary fails or answers several times slower, immediately or later, on all routes or
on one, while each node sees only a few of its answers. Few requests are routed to it until the
order's time is nearly over. The answers of all nodes are summed and compared by route with those of
the baseline in the same period.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import astuple, dataclass
from enum import StrEnum

from arbutustally.evidence import tail_probability
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.rendezvous import uniform_hash

#: Share of the requests routed to the canary while it is evaluated.
CANARY_SHARE = 0.06
#: Minimum answers of the canary, on one route or in total, before its failures are evaluated.
MIN_ANSWERS = 8
#: Minimum answers of the canary before it may be kept.
MIN_ANSWERS_TO_KEEP = 20
#: Minimum response times of the canary on one route before they are compared.
MIN_CANARY_TIMES = 5
#: Minimum response times of the baseline on one route before they are compared.
MIN_BASELINE_TIMES = 20
#: Failure rate allowed for a sound canary however low the baseline's is.
MIN_FAILURE_RATE = 0.04
#: Failure rate allowed for a sound canary, as a multiple of the baseline's.
FAILURE_FACTOR = 2.0
#: Significance level: probability below which the observed failures are not due to chance.
SIGNIFICANCE = 1e-4
#: Factor by which the answers of a sound canary may take longer, since its caches are cold.
ALLOWED_SLOWDOWN = 1.3
#: Combined z-score of all routes above which the canary counts as slow.
SLOW_Z = 3.1
#: Z-score of one route above which the canary counts as slow.
SLOW_ROUTE_Z = 4.0
#: Combined z-score below which the canary may be kept.
SOUND_Z = 1.5
#: Share of the canary's response times that must be on routes with enough of them to compare, for
#: it to be kept.
MIN_COMPARED_SHARE = 0.5
#: Time before the end of the order at which all new requests are routed to a sound canary, seconds;
#: meanwhile the baseline finishes its running requests.
MOVE_S = 1.2
#: Observation time at the start of that period, before which the canary is not kept, seconds.
WATCH_S = 0.5
#: Time before the end at which the decision to keep the canary is made although the baseline still
#: runs requests, seconds.
KEEP_S = 0.4
#: Lower limit of a response time before its logarithm is taken, seconds.
MIN_TIME_S = 1e-4
#: Lower limit of the variance of log times; keeps z-scores finite where all times are equal.
MIN_VARIANCE = 0.01

#: Separates a release and the duration of the order in the name of a trial.
TRIAL_SEPARATOR = "\x1e"


class RolloutState(StrEnum):
    """Progress state of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service's requests to a release.

    :ivar target: release that is the canary.
    :ivar duration_s: time within which the roll-out must end, seconds.
    """

    service: str
    target: str
    duration_s: float


@dataclass(frozen=True)
class RolloutProgress:
    """Latest decision of the node that decides on roll-outs.

    :ivar share: share of the requests that are routed to the canary.
    :ivar order_s: duration of the order in force at the decision, seconds; ``None`` if the node that
        decided runs a program that does not tell.
    :ivar retrial_s: duration of the order with which this trial of the release began, seconds;
        ``None`` in the first trial.
    """

    service: str
    target: str
    state: RolloutState
    share: float
    order_s: float | None = None
    retrial_s: float | None = None

    @property
    def is_final(self) -> bool:
        """Returns whether no further decision follows."""
        return self.state is not RolloutState.RUNNING


@dataclass(frozen=True)
class AnswerTally:
    """Statistics of the answers of one release on one route.

    :ivar answers: number of answers.
    :ivar failures: failed ones of these.
    :ivar timed: number of recorded response times; includes those of running requests that already
        take long.
    :ivar log_sum: sum of the logarithms of these times in seconds.
    :ivar log_squares: sum of the squares of these logarithms.
    """

    answers: float = 0
    failures: float = 0
    timed: float = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    @classmethod
    def of_time(cls, seconds: float) -> "AnswerTally":
        """Returns the tally of a single response time."""
        log = math.log(max(seconds, MIN_TIME_S))
        return cls(timed=1, log_sum=log, log_squares=log * log)

    @property
    def mean(self) -> float:
        """Returns the mean of the log times."""
        return self.log_sum / self.timed

    @property
    def variance(self) -> float:
        """Returns the variance of the log times, at least ``MIN_VARIANCE``."""
        return max(self.log_squares / self.timed - self.mean**2, MIN_VARIANCE)

    def plus(self, other: "AnswerTally") -> "AnswerTally":
        """Returns the sum of both tallies."""
        return AnswerTally(*(a + b for a, b in zip(astuple(self), astuple(other), strict=True)))

    def minus(self, other: "AnswerTally") -> "AnswerTally":
        """Returns the difference to an earlier tally."""
        return AnswerTally(*(a - b for a, b in zip(astuple(self), astuple(other), strict=True)))


#: Tallies by route.
Tallies = Mapping[str, AnswerTally]


def add_tallies(tables: Iterable[Tallies]) -> dict[str, AnswerTally]:
    """Returns the sums of tallies by route."""
    total: dict[str, AnswerTally] = {}
    for table in tables:
        for route, tally in table.items():
            total[route] = total.get(route, AnswerTally()).plus(tally)
    return total


def subtract(now: Tallies, before: Tallies) -> dict[str, AnswerTally]:
    """Returns the differences to earlier tallies by route."""
    return {route: tally.minus(before.get(route, AnswerTally())) for route, tally in now.items()}


def is_bad(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether the canary is worse than the baseline, on any route or in total.

    :param canary: answers of the canary.
    :param baseline: answers of the baseline in the same period.
    """
    pairs = [(tally, baseline.get(route, AnswerTally())) for route, tally in canary.items()]
    whole = (_total(canary), _total(baseline))
    if any(_fails_more(one, other) for one, other in (*pairs, whole)):
        return True
    z_scores = _z_scores(canary, baseline)
    return any(one > SLOW_ROUTE_Z for one in z_scores) or _combined_z(z_scores) > SLOW_Z


def is_sound(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether enough answers show that the canary is as good as the baseline."""
    if _total(canary).answers < MIN_ANSWERS_TO_KEEP or is_bad(canary, baseline):
        return False
    compared = [
        tally for route, tally in canary.items() if _is_compared(tally, baseline.get(route))
    ]
    if sum(tally.timed for tally in compared) < _total(canary).timed * MIN_COMPARED_SHARE:
        return False
    return bool(compared) and _combined_z(_z_scores(canary, baseline)) < SOUND_Z


def _is_compared(canary: AnswerTally, baseline: AnswerTally | None) -> bool:
    return (
        baseline is not None
        and canary.timed >= MIN_CANARY_TIMES
        and baseline.timed >= MIN_BASELINE_TIMES
    )


def _total(tallies: Tallies) -> AnswerTally:
    return add_tallies([{"": tally} for tally in tallies.values()]).get("", AnswerTally())


def _fails_more(canary: AnswerTally, baseline: AnswerTally) -> bool:
    if canary.answers < MIN_ANSWERS:
        return False
    baseline_share = baseline.failures / baseline.answers if baseline.answers else 0.0
    chance = min(0.9, max(MIN_FAILURE_RATE, baseline_share * FAILURE_FACTOR))
    return tail_probability(round(canary.failures), round(canary.answers), chance) < SIGNIFICANCE


def _z_scores(canary: Tallies, baseline: Tallies) -> list[float]:
    """Returns by how many standard errors each compared route exceeds the bearable slowdown."""
    z_scores = []
    for route, tally in canary.items():
        other = baseline.get(route)
        if not _is_compared(tally, other):
            continue
        error = math.sqrt(other.variance * (1 / tally.timed + 1 / other.timed))
        z_scores.append((tally.mean - other.mean - math.log(ALLOWED_SLOWDOWN)) / error)
    return z_scores


def _combined_z(z_scores: Sequence[float]) -> float:
    """Returns the combined z-score of all routes by Stouffer's method."""
    return sum(z_scores) / math.sqrt(len(z_scores)) if z_scores else 0.0


def next_progress(
    order: RolloutOrder,
    current: RolloutProgress | None,
    left_s: float,
    canary: Tallies,
    baseline: Tallies,
    is_bad_lately: bool,
    baseline_running: int,
    retrial_s: float | None = None,
) -> RolloutProgress:
    """Returns the progress that applies from now on.

    A canary may turn bad late in the roll-out, so all requests are moved to it only shortly before
    the end.

    :param left_s: time until the order's end, seconds.
    :param canary: answers of the canary so far.
    :param baseline: answers of the baseline in the same period.
    :param is_bad_lately: whether the canary's answers of the last 3 s alone are bad.
    :param baseline_running: number of requests that endpoints of other releases still run.
    :param retrial_s: see ``RolloutProgress``.
    """

    def progress(state: RolloutState, share: float) -> RolloutProgress:
        return RolloutProgress(
            order.service, order.target, state, share, order.duration_s, retrial_s
        )

    if current is not None and current.is_final:
        return current
    if is_bad_lately or is_bad(canary, baseline):
        return progress(RolloutState.ROLLED_BACK, 0.0)
    has_moved = current is not None and current.share == 1.0
    is_watched = left_s <= MOVE_S - WATCH_S
    is_drained = baseline_running == 0
    must_end = left_s <= KEEP_S
    if has_moved and (must_end or (is_watched and is_drained)):
        is_kept = is_sound(canary, baseline)
        end = RolloutState.COMPLETED if is_kept else RolloutState.ROLLED_BACK
        return progress(end, 1.0 if is_kept else 0.0)
    if has_moved or (left_s <= MOVE_S and is_sound(canary, baseline)):
        return progress(RolloutState.RUNNING, 1.0)
    return progress(RolloutState.RUNNING, CANARY_SHARE)


def _differs(progress: RolloutProgress, order: RolloutOrder) -> bool:
    """Returns whether a decision was made under another order for the same release."""
    return progress.order_s != order.duration_s


@dataclass(frozen=True)
class KnownOrder:
    """An order and the time at which it became known in the fleet.

    :ivar known_at: monotonic seconds.
    """

    order: RolloutOrder
    known_at: float


class RolloutBook:
    """Roll-out orders and progress by service, as one node knows them.

    An order for the release that runs already, with another duration, continues the trial. An order
    for a release that was rolled back begins another trial, which is judged on its own answers. A
    release that was kept stays kept. Orders of one release are distinguished by their durations:
    after a return of the store the operator writes the same order again at another position.
    """

    def __init__(self) -> None:
        self._orders: dict[str, KnownOrder] = {}
        self._progress: dict[str, RolloutProgress] = {}
        self._rolled_back: dict[str, set[str]] = {}
        self._retrials: dict[str, float] = {}

    @property
    def orders(self) -> list[KnownOrder]:
        """Returns the newest order of each service."""
        return list(self._orders.values())

    def progress(self, service: str) -> RolloutProgress | None:
        """Returns the latest decision on a service's newest order, ``None`` if there is none."""
        return self._progress.get(service)

    def add_order(self, order: RolloutOrder, known_at: float) -> bool:
        """Adds an order; returns whether it is new."""
        known = self._orders.get(order.service)
        if known is not None and known.order == order:
            return False
        self._orders[order.service] = KnownOrder(order, known_at)
        self._rolled_back.get(order.service, set()).discard(order.target)
        if known is not None and known.order.target != order.target:
            self._set_retrial(order.service, None)
        progress = self._progress.get(order.service)
        if progress is not None and progress.target != order.target:
            del self._progress[order.service]
        elif progress is not None and progress.state is RolloutState.ROLLED_BACK:
            # A decision without a duration, known before any order, may be that on this order.
            is_earlier = (
                known is not None if progress.order_s is None else _differs(progress, order)
            )
            if is_earlier:
                self._begin_retrial(order)
            else:
                self._rolled_back.setdefault(order.service, set()).add(order.target)
        return True

    def _begin_retrial(self, order: RolloutOrder) -> None:
        self._progress.pop(order.service, None)
        self._set_retrial(order.service, order.duration_s)

    def _set_retrial(self, service: str, retrial_s: float | None) -> None:
        if retrial_s is None:
            self._retrials.pop(service, None)
        else:
            self._retrials[service] = retrial_s

    def apply(self, progress: RolloutProgress) -> bool:
        """Applies a decision; returns whether it changes anything.

        A final decision on the same order is never replaced.
        """
        known = self._orders.get(progress.service)
        if known is not None and known.order.target != progress.target:
            return False
        current = self._progress.get(progress.service)
        if current == progress:
            return False
        is_later = current is not None and current.target == progress.target
        is_same_trial = progress.retrial_s == self.retrial_s(progress.service)
        if is_later and not self._may_follow(current, progress, is_same_trial):
            return False
        if known is not None and not self._is_current(progress, known.order):
            return False
        self._progress[progress.service] = progress
        if progress.state is RolloutState.RUNNING and not is_same_trial:
            self._set_retrial(progress.service, progress.retrial_s)
        if progress.state is RolloutState.ROLLED_BACK:
            self._rolled_back.setdefault(progress.service, set()).add(progress.target)
        return True

    @staticmethod
    def _may_follow(
        current: RolloutProgress, progress: RolloutProgress, is_same_trial: bool
    ) -> bool:
        """Returns whether a decision may replace an earlier one on the same order."""
        is_raised = progress.share >= current.share or not is_same_trial
        return not current.is_final and (progress.is_final or is_raised)

    def _is_current(self, progress: RolloutProgress, order: RolloutOrder) -> bool:
        """Returns whether a decision is on the newest order, and not on an earlier trial.

        If it ended the trial that this node has under an earlier order, the newest begins another.
        """
        own_s = self.retrial_s(order.service)
        if progress.state is RolloutState.COMPLETED:
            return True
        if progress.state is RolloutState.RUNNING:
            # Another trial follows the first one, or is that on the newest order.
            return own_s in (None, progress.retrial_s) or not _differs(progress, order)
        if progress.order_s is None:
            # A node of the program before this one decided, which ends any trial that runs. Before
            # a trial runs, the decision is that on the trial before.
            return own_s is None or order.service in self._progress
        if not _differs(progress, order):
            return True
        if own_s is None or progress.retrial_s == own_s != order.duration_s:
            self._begin_retrial(order)
        return False

    def retrial_s(self, service: str) -> float | None:
        """Returns the duration of the order with which a trial began, ``None`` in the first."""
        return self._retrials.get(service)

    def trial(self, service: str) -> str:
        """Returns the name under which the answers of a service's trial are counted.

        That of the first trial is the release, as in the program before this one.
        """
        target, retrial_s = self.target(service) or "", self.retrial_s(service)
        return target if retrial_s is None else f"{target}{TRIAL_SEPARATOR}{retrial_s}"

    def is_judged(self, service: str) -> bool:
        """Returns whether the answers of a service's canary and baseline are being compared."""
        progress = self._progress.get(service)
        return service in self._orders and (progress is None or not progress.is_final)

    def target(self, service: str) -> str | None:
        """Returns the release that the newest order of a service names, ``None`` without one."""
        known = self._orders.get(service)
        return known.order.target if known else None

    def is_canary(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has the release that its service's newest order names."""
        return state.entry.release == self.target(state.entry.service)

    def is_baseline(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has a release that is neither canary nor rolled back."""
        is_bad = state.entry.release in self._rolled_back.get(state.entry.service, ())
        return not is_bad and not self.is_canary(state)

    def allowed(
        self, book: EndpointBook, service: str, request_id: str, is_first: bool
    ) -> list[EndpointState]:
        """Returns the usable endpoints of the canary or the baseline, to which a request is routed.

        :param is_first: whether this is the first attempt; later ones prefer the baseline.
        """
        if service not in self._orders:
            return book.usable(service)
        progress = self._progress.get(service)
        share = progress.share if progress is not None else 0.0
        is_sampled = is_first and uniform_hash(service.encode(), request_id) < share
        if (share >= 1.0 or is_sampled) and (canary := book.usable(service, self.is_canary)):
            return canary
        if baseline := book.usable(service, self.is_baseline):
            return baseline
        # If endpoints of the baseline are merely paused, the canary does not replace them.
        has_baseline = book.has_any(service, self.is_baseline)
        is_out = progress is not None and progress.state is RolloutState.ROLLED_BACK
        return [] if has_baseline or is_out else book.usable(service, self.is_canary)
