"""Moves between versions: the new version's share of requests and its controller."""

import math
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from arbutustally.breaker import Breaker
from arbutustally.evidence import EvidenceKey, Tally
from arbutustally.records import MoveStep
from arbutustally.rendezvous import uniform_hash
from arbutustally.trips import TOLERATED_FAILURES, Accepted, Trip, judge_tally

__all__ = [
    "Breaker",
    "MoveController",
    "Trip",
    "in_use",
    "is_control",
    "pick_version",
    "share_picks",
]

#: Shares of requests on the new version, in order.
STEPS = (0.01, 0.05, 0.25, 0.5, 1.0)
#: Responses of the new version that a step needs before the next one.
STEP_RESPONSES = 8
#: Steps of a move with a deadline need this fraction of the responses expected from their share of
#: the traffic; fewer mean that the version does not respond. The last step needs
#: ``STEP_RESPONSES``.
EXPECTED_RESPONSES_FRACTION = 0.5
#: A route with at least this share of the old version's responses needs responses of the new
#: version too; their number (1 in a move with a deadline); and the new version's share of requests
#: from which they are needed, as at 1% a small route would need thousands of requests.
MIN_ROUTE_SHARE = 0.02
ROUTE_RESPONSES = 4
ROUTE_CHECK_SHARE = 0.25
#: Shortest and longest time at each step, seconds. Faults that develop slowly need some time to
#: appear; a deadline limits it.
STEP_BOUNDS_S = (0.5, 30.0)
#: Fraction of the time to the deadline that is planned for the remaining steps.
DEADLINE_FRACTION = 0.5
#: Time after the end of a move in which a fault of the new version still rolls it back, seconds.
WATCH_S = 600.0
#: Share of requests sent to the old version while it is undecided why the new one is slow.
CONTROL_SHARE = 0.5


def share_picks(model: str, request_id: str, share: float) -> bool:
    """Returns whether a request's hash lies in the fixed fraction ``share`` of the hash space."""
    return uniform_hash(model.encode(), request_id) < share


def is_control(model: str, request_id: str) -> bool:
    """Returns whether a request is sent to the old version while the new one is doubted."""
    return uniform_hash(f"{model}/control".encode(), request_id) < CONTROL_SHARE


def in_use(move: MoveStep | None, wanted: str) -> str:
    """Returns the version that serves the requests outside a move's share."""
    if move is None:
        return wanted
    return move.version if move.step == "done" else move.previous


def pick_version(
    model: str, request_id: str, move: MoveStep | None, wanted: str, tripped: bool
) -> str:
    """Returns the version for a request.

    :param tripped: ``move.version`` must not be used, and the previous one is still available.
    """
    if move is None:
        return wanted
    if move.step == "taken_back" or (tripped and move.previous):
        return move.previous
    if move.step == "done" or share_picks(model, request_id, move.share):
        return move.version
    return move.previous


@dataclass(frozen=True)
class EndpointVersions:
    """The controller's view of an endpoint.

    :ivar versions: weights versions that it has loaded.
    :ivar checks_fencing: it rejects orders with an old fencing number.
    """

    id: str
    versions: frozenset[str]
    checks_fencing: bool


@dataclass(frozen=True)
class MoveView:
    """State on which a step of the controller depends.

    :ivar wanted: declared version.
    :ivar move: last accepted step of the model in the log, ``None`` without one.
    :ivar fence: fencing number of the held lease.
    :ivar lease_valid: the lease is valid at this instant.
    :ivar unfenced_from: instant from which orders may be sent to endpoints that ignore fencing:
        when this node read its own claim, plus lease duration and longest order timeout.
    :ivar deadline: monotonic instant of ``move_by``, ``None`` without one.
    :ivar loading: endpoints with a load order in progress.
    """

    model: str
    wanted: str
    move: MoveStep | None
    fence: int
    lease_valid: bool
    unfenced_from: float
    deadline: float | None
    max_concurrent_loads: int
    endpoints: tuple[EndpointVersions, ...]
    loading: frozenset[str] = frozenset()


@dataclass(frozen=True)
class FleetEvidence:
    """Counts of both versions over all nodes, and the first trip that a node reported."""

    new: Mapping[EvidenceKey, Tally] = field(default_factory=dict)
    old: Mapping[EvidenceKey, Tally] = field(default_factory=dict)
    trip: Trip | None = None


@dataclass(frozen=True)
class OrderLoad:
    """Orders an endpoint to load a version."""

    endpoint: str
    version: str
    fence: int


@dataclass(frozen=True)
class WriteStep:
    """Appends a step of the move to the log."""

    step: MoveStep


Action = OrderLoad | WriteStep


class MoveController:
    """Decides the next actions of the move of one model.

    It keeps only when it first saw the current step and the responses counted by then, so a
    successor that starts from the log alone repeats at most the waiting time of one step.
    """

    def __init__(self) -> None:
        self._current_step: MoveStep | None = None
        self._step_began = 0.0
        self._new_at_start = 0
        self._old_at_start = 0

    def step(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        """Returns the actions that are due.

        :param now: monotonic seconds.
        """
        if not view.lease_valid:
            return []
        self._track_step(view.move, evidence, now)
        if view.move is None:
            return [self._write(view, "done", 1.0, "", {"reason": "first version"})]
        if view.wanted != view.move.version:
            return self._change_version(view)
        if view.move.step == "taken_back":
            return []
        if view.move.step == "done":
            return self._watch_finished(view, evidence, now)
        return self._advance(view, evidence, now)

    def _track_step(self, move: MoveStep | None, evidence: FleetEvidence, now: float) -> None:
        if move == self._current_step:
            return
        self._current_step = move
        self._step_began = now
        self._new_at_start = _count_responses(evidence.new)
        self._old_at_start = _count_responses(evidence.old)

    def _write(
        self, view: MoveView, step: str, share: float, previous: str, evidence: dict[str, Any]
    ) -> WriteStep:
        return WriteStep(
            MoveStep(view.model, view.wanted, previous, step, share, view.fence, evidence)
        )

    def _change_version(self, view: MoveView) -> list[Action]:
        """Starts the move to another declared version, or rolls back a cancelled one."""
        current = in_use(view.move, view.wanted)
        if current != view.wanted:
            return [self._write(view, "started", 0.0, current, {"reason": "declared"})]
        if view.move.step == "taken_back":
            return []
        return [self._take_back(view, {"reason": "the previous version is declared again"})]

    def _take_back(self, view: MoveView, evidence: dict[str, Any]) -> WriteStep:
        move = view.move
        return WriteStep(
            MoveStep(
                view.model, move.version, move.previous, "taken_back", 0.0, view.fence, evidence
            )
        )

    def _watch_finished(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        if now - self._step_began > WATCH_S or not view.move.previous:
            return []
        if not _holders(view, view.move.previous):
            return []
        trip = self._trip(evidence)
        return [self._take_back(view, _trip_evidence(trip))] if trip else []

    def _advance(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        trip = self._trip(evidence)
        if trip is not None:
            return [self._take_back(view, _trip_evidence(trip))]
        if view.deadline is not None and now >= view.deadline:
            reason = "the deadline passed before the version was proved good"
            return [self._take_back(view, {"reason": reason, **_new_totals(evidence)})]
        next_share = self._next_share(view.move)
        if next_share is None:
            return self._finish(view, evidence, now)
        needed = math.ceil(next_share * len(view.endpoints))
        if len(_holders(view, view.wanted)) < max(needed, 1):
            return self._order_loads(view, max(needed, 1), now)
        if not self._can_advance(view, evidence, now):
            return []
        figures = _new_totals(evidence)
        return [self._write(view, "raised", next_share, view.move.previous, figures)]

    def _finish(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        if not self._can_advance(view, evidence, now):
            return []
        figures = _new_totals(evidence)
        return [self._write(view, "done", 1.0, view.move.previous, figures)]

    def _next_share(self, move: MoveStep) -> float | None:
        return next((share for share in STEPS if share > move.share), None)

    def _order_loads(self, view: MoveView, needed: int, now: float) -> list[Action]:
        """Orders loads up to the number needed, at most the declared number at once."""
        holders = _holders(view, view.wanted)
        # ``loading`` still contains an order for a while after its load has ended.
        loading = view.loading.difference(holders)
        free = view.max_concurrent_loads - len(loading)
        missing = needed - len(holders) - len(loading)
        orderable = [
            entry
            for entry in view.endpoints
            if view.wanted not in entry.versions
            and entry.id not in view.loading
            and (entry.checks_fencing or now >= view.unfenced_from)
        ]
        count = max(0, min(free, missing))
        return [OrderLoad(entry.id, view.wanted, view.fence) for entry in orderable[:count]]

    def _can_advance(self, view: MoveView, evidence: FleetEvidence, now: float) -> bool:
        if view.move.share <= 0.0:
            return True
        planned = self._step_time(view)
        if now - self._step_began < planned:
            return False
        answers = _count_responses(evidence.new) - self._new_at_start
        has_deadline = view.deadline is not None
        if view.move.share < 1.0 and has_deadline:
            return answers >= self._expected_responses(view, evidence)
        if view.move.share < ROUTE_CHECK_SHARE:
            return answers >= STEP_RESPONSES
        needed = 1 if has_deadline else ROUTE_RESPONSES
        return answers >= STEP_RESPONSES and _routes_have_responses(evidence, needed)

    def _expected_responses(self, view: MoveView, evidence: FleetEvidence) -> float:
        """Returns how many responses show, at little traffic, that the version responds."""
        old = _count_responses(evidence.old) - self._old_at_start
        new = _count_responses(evidence.new) - self._new_at_start
        return min(
            math.floor((old + new) * view.move.share * EXPECTED_RESPONSES_FRACTION), STEP_RESPONSES
        )

    def _step_time(self, view: MoveView) -> float:
        low, high = STEP_BOUNDS_S
        if view.deadline is None:
            return high
        left = sum(share >= view.move.share for share in STEPS)
        return min(max((view.deadline - self._step_began) * DEADLINE_FRACTION / left, low), high)

    def _trip(self, evidence: FleetEvidence) -> Trip | None:
        if evidence.trip is not None:
            return evidence.trip
        for key, tally in evidence.new.items():
            old = _old_tally(evidence, key)
            # Over a whole move only failures are counted, as the cold start slows early responses.
            failed = Tally(tally.answers, tally.failures)
            share = old.failures / old.answers if old.answers else 0.0
            trip = judge_tally(key, failed, Accepted(max(share, TOLERATED_FAILURES)))
            if trip is not None:
                return trip
        return None


def _old_tally(evidence: FleetEvidence, key: EvidenceKey) -> Tally:
    for other, tally in evidence.old.items():
        if (other.class_name, other.route) == (key.class_name, key.route):
            return tally
    return Tally()


def _routes_have_responses(evidence: FleetEvidence, needed: int) -> bool:
    total = _count_responses(evidence.old)
    seen = {(key.class_name, key.route): tally.answers for key, tally in evidence.new.items()}
    return all(
        seen.get((key.class_name, key.route), 0) >= needed
        for key, tally in evidence.old.items()
        if tally.answers >= MIN_ROUTE_SHARE * total
    )


def _count_responses(tallies: Mapping[EvidenceKey, Tally]) -> int:
    return sum(tally.answers for tally in tallies.values())


def _holders(view: MoveView, version: str) -> list[str]:
    return [entry.id for entry in view.endpoints if version in entry.versions]


def _trip_evidence(trip: Trip) -> dict[str, Any]:
    return {
        "reason": trip.describe(),
        "bad": trip.bad,
        "answers": trip.answers,
        "accepted": trip.accepted,
    }


def _new_totals(evidence: FleetEvidence) -> dict[str, Any]:
    total = Tally()
    for tally in evidence.new.values():
        total = total.plus(tally)
    return asdict(total)
