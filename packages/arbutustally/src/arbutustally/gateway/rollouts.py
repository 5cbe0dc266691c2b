"""Roll-outs of a service's releases: which requests go to the new one, and whether it is kept.

Load pattern: a new release fails or answers several times slower, at once or later, for all or on
one route, while each node sees only a few of its answers. Few requests go to it until the order's
time is nearly over; the answers of all nodes are added up and compared with those of the release
before, at the same time and by route.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import astuple, dataclass
from enum import StrEnum

from arbutustally.evidence import tail_probability
from arbutustally.gateway.endpoints import EndpointBook, EndpointState
from arbutustally.rendezvous import unit

#: Part of the requests that a release gets while it is judged.
TRIAL_SHARE = 0.06
#: Answers of a release on one route, or on all, before its failures are judged.
MIN_ANSWERS = 8
#: Answers that a release must have given before it may be kept.
MIN_ANSWERS_TO_KEEP = 20
#: Times of answers on one route before they are compared, of the new release and of the old one.
MIN_TIMED = 5
MIN_USUAL = 20
#: Part of a sound release's answers that may fail, at least, and in multiples of the old one's.
LEAST_FAILURE_CHANCE = 0.04
FAILURE_FACTOR = 2.0
#: Probability below which chance does not explain the failures that were seen.
SIGNIFICANCE = 1e-4
#: Factor by which the answers of a sound release may take longer, for its caches are cold.
BEARABLE_FACTOR = 1.3
#: Standard errors beyond that factor at which a release is slow: on all routes, and on one of them;
#: and below which it may be kept.
SLOW_DEVIATION = 3.1
SLOW_ROUTE_DEVIATION = 4.0
SOUND_DEVIATION = 1.5
#: Part of a release's answers on routes with enough of them, for it to be kept.
COMPARED_PART = 0.5
#: Time before the end of the order at which all new requests go to a sound release, seconds; the
#: release before finishes what it runs meanwhile.
MOVE_S = 1.2
#: Time after that for which a release is watched in any case, seconds.
WATCH_S = 0.5
#: Time before the end at which the release is kept although the one before still runs requests.
KEEP_S = 0.4


#: Shortest time that is told apart, seconds, and the least variance of logarithms of times.
LEAST_S = 1e-4
LEAST_VARIANCE = 0.01


class RolloutState(StrEnum):
    """How far a roll-out is."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """The operator wants a service's requests moved to a release.

    :ivar duration_s: time in which it should be done.
    """

    service: str
    target: str
    duration_s: float


@dataclass(frozen=True)
class RolloutProgress:
    """What the node that decides has decided last.

    :ivar share: part of the requests that go to the target.
    """

    service: str
    target: str
    state: RolloutState
    share: float

    @property
    def is_final(self) -> bool:
        """Returns whether nothing more will be decided."""
        return self.state is not RolloutState.RUNNING


@dataclass(frozen=True)
class AnswerTally:
    """Answers of one release on one route.

    :ivar timed: answers, or runs that already take long, whose time was noted.
    :ivar log_sum: sum of the logarithms of these times in seconds.
    :ivar log_squares: sum of their squares.
    """

    answers: float = 0
    failures: float = 0
    timed: float = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    @classmethod
    def of_time(cls, seconds: float) -> "AnswerTally":
        """Returns the tally of one time."""
        log = math.log(max(seconds, LEAST_S))
        return cls(timed=1, log_sum=log, log_squares=log * log)

    @property
    def mean(self) -> float:
        """Returns the mean logarithm of the times."""
        return self.log_sum / self.timed

    @property
    def variance(self) -> float:
        """Returns the variance of the logarithms."""
        return max(self.log_squares / self.timed - self.mean**2, LEAST_VARIANCE)

    def plus(self, other: "AnswerTally") -> "AnswerTally":
        """Returns the sum."""
        return AnswerTally(*(a + b for a, b in zip(astuple(self), astuple(other), strict=True)))

    def minus(self, other: "AnswerTally") -> "AnswerTally":
        """Returns what was added since an earlier tally."""
        return AnswerTally(*(a - b for a, b in zip(astuple(self), astuple(other), strict=True)))


#: Tallies by route.
Tallies = Mapping[str, AnswerTally]


def add_tallies(tables: Iterable[Tallies]) -> dict[str, AnswerTally]:
    """Returns the sums by route."""
    total: dict[str, AnswerTally] = {}
    for table in tables:
        for route, tally in table.items():
            total[route] = total.get(route, AnswerTally()).plus(tally)
    return total


def since(now: Tallies, before: Tallies) -> dict[str, AnswerTally]:
    """Returns what was added to tallies since earlier ones."""
    return {route: tally.minus(before.get(route, AnswerTally())) for route, tally in now.items()}


def is_bad(new: Tallies, old: Tallies) -> bool:
    """Returns whether a release is worse than the one before, on any route or on all.

    :param new: answers of the release.
    :param old: answers of the release before at the same time.
    """
    pairs = [(tally, old.get(route, AnswerTally())) for route, tally in new.items()]
    whole = (_whole(new), _whole(old))
    if any(_fails_more(one, other) for one, other in (*pairs, whole)):
        return True
    deviations = _deviations(new, old)
    return any(one > SLOW_ROUTE_DEVIATION for one in deviations) or (
        _together(deviations) > SLOW_DEVIATION
    )


def is_sound(new: Tallies, old: Tallies) -> bool:
    """Returns whether enough answers say that a release is as good as the one before."""
    if _whole(new).answers < MIN_ANSWERS_TO_KEEP or is_bad(new, old):
        return False
    compared = [tally for route, tally in new.items() if _is_compared(tally, old.get(route))]
    if sum(tally.timed for tally in compared) < _whole(new).timed * COMPARED_PART:
        return False
    return bool(compared) and _together(_deviations(new, old)) < SOUND_DEVIATION


def _is_compared(new: AnswerTally, old: AnswerTally | None) -> bool:
    return old is not None and new.timed >= MIN_TIMED and old.timed >= MIN_USUAL


def _whole(tallies: Tallies) -> AnswerTally:
    return add_tallies([{"": tally} for tally in tallies.values()]).get("", AnswerTally())


def _fails_more(new: AnswerTally, old: AnswerTally) -> bool:
    if new.answers < MIN_ANSWERS:
        return False
    old_share = old.failures / old.answers if old.answers else 0.0
    chance = min(0.9, max(LEAST_FAILURE_CHANCE, old_share * FAILURE_FACTOR))
    return tail_probability(round(new.failures), round(new.answers), chance) < SIGNIFICANCE


def _deviations(new: Tallies, old: Tallies) -> list[float]:
    """Returns by how many standard errors the times of each route are beyond what is bearable."""
    found = []
    for route, tally in new.items():
        usual = old.get(route)
        if not _is_compared(tally, usual):
            continue
        error = math.sqrt(usual.variance * (1 / tally.timed + 1 / usual.timed))
        found.append((tally.mean - usual.mean - math.log(BEARABLE_FACTOR)) / error)
    return found


def _together(deviations: Sequence[float]) -> float:
    return sum(deviations) / math.sqrt(len(deviations)) if deviations else 0.0


def next_progress(
    order: RolloutOrder,
    current: RolloutProgress | None,
    left_s: float,
    new: Tallies,
    old: Tallies,
    is_found_bad: bool,
    old_runs: int,
) -> RolloutProgress:
    """Returns what holds from now on.

    :param left_s: time until the order's end.
    :param new: answers of the release so far.
    :param old: answers of the release before.
    :param is_found_bad: its latest answers alone say that the release is bad.
    :param old_runs: requests that the release before still runs.
    """
    if current is not None and current.is_final:
        return current
    if is_found_bad or is_bad(new, old):
        return _progress(order, RolloutState.ROLLED_BACK, 0.0)
    has_moved = current is not None and current.share == 1.0
    if has_moved and (left_s <= KEEP_S or not old_runs and left_s <= MOVE_S - WATCH_S):
        is_kept = is_sound(new, old)
        end = RolloutState.COMPLETED if is_kept else RolloutState.ROLLED_BACK
        return _progress(order, end, 1.0 if is_kept else 0.0)
    if has_moved or (left_s <= MOVE_S and is_sound(new, old)):
        return _progress(order, RolloutState.RUNNING, 1.0)
    return _progress(order, RolloutState.RUNNING, TRIAL_SHARE)


def _progress(order: RolloutOrder, state: RolloutState, share: float) -> RolloutProgress:
    return RolloutProgress(order.service, order.target, state, share)


@dataclass(frozen=True)
class KnownOrder:
    """An order and when it became known in the fleet, monotonic seconds."""

    order: RolloutOrder
    known_at: float


class RolloutBook:
    """Orders and progress by service, as one node knows them."""

    def __init__(self) -> None:
        self._orders: dict[str, KnownOrder] = {}
        self._progress: dict[str, RolloutProgress] = {}
        self._bad: dict[str, set[str]] = {}

    @property
    def orders(self) -> list[KnownOrder]:
        """Returns the newest order of each service."""
        return list(self._orders.values())

    def progress(self, service: str) -> RolloutProgress | None:
        """Returns what was decided on the newest order of a service, ``None`` for nothing yet."""
        return self._progress.get(service)

    def order(self, order: RolloutOrder, known_at: float) -> bool:
        """Takes an order; returns whether it is new."""
        known = self._orders.get(order.service)
        if known is not None and known.order == order:
            return False
        self._orders[order.service] = KnownOrder(order, known_at)
        self._bad.get(order.service, set()).discard(order.target)
        progress = self._progress.get(order.service)
        if progress is not None and progress.target != order.target:
            del self._progress[order.service]
        return True

    def take(self, progress: RolloutProgress) -> bool:
        """Takes a decision; returns whether it is news. A final one is never taken back."""
        known = self._orders.get(progress.service)
        if known is not None and known.order.target != progress.target:
            return False
        current = self._progress.get(progress.service)
        if current == progress:
            return False
        is_later = current is not None and current.target == progress.target
        if is_later and not self._may_follow(current, progress):
            return False
        self._progress[progress.service] = progress
        if progress.state is RolloutState.ROLLED_BACK:
            self._bad.setdefault(progress.service, set()).add(progress.target)
        return True

    @staticmethod
    def _may_follow(current: RolloutProgress, progress: RolloutProgress) -> bool:
        """Returns whether a decision may replace one on the same order."""
        return not current.is_final and (progress.is_final or progress.share >= current.share)

    def is_judged(self, service: str) -> bool:
        """Returns whether the answers of a service's releases are being compared."""
        progress = self._progress.get(service)
        return service in self._orders and (progress is None or not progress.is_final)

    def target(self, service: str) -> str | None:
        """Returns the release that the newest order of a service names."""
        known = self._orders.get(service)
        return known.order.target if known else None

    def is_new(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has the release that its service's newest order names."""
        return state.entry.release == self.target(state.entry.service)

    def is_usual(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has a release that is neither on trial nor taken back."""
        is_bad = state.entry.release in self._bad.get(state.entry.service, ())
        return not is_bad and not self.is_new(state)

    def allowed(
        self, book: EndpointBook, service: str, request_id: str, is_first: bool
    ) -> list[EndpointState]:
        """Returns the usable endpoints of the release that a request should go to.

        :param is_first: no attempt of the request was made; later ones prefer the release that is
            known to be sound.
        """
        if service not in self._orders:
            return book.usable(service)
        progress = self._progress.get(service)
        share = progress.share if progress is not None else 0.0
        is_on_trial = is_first and unit(service.encode(), request_id) < share
        if (share >= 1.0 or is_on_trial) and (new := book.usable(service, self.is_new)):
            return new
        if old := book.usable(service, self.is_usual):
            return old
        # While endpoints of the usual release only pause, the one on trial does not replace them.
        has_usual = book.has_any(service, self.is_usual)
        is_out = progress is not None and progress.state is RolloutState.ROLLED_BACK
        return [] if has_usual or is_out else book.usable(service, self.is_new)
