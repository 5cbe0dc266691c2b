"""Moves between versions: the share of requests on the new version and the controller of it."""

import math
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from arbutustally.breaker import TOLERATED_FAILURES, Accepted, Breaker, Trip, judge_tally
from arbutustally.evidence import EvidenceKey, Tally
from arbutustally.records import MoveStep
from arbutustally.rendezvous import uniform_hash

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
#: Answers of the new version that a step needs before the next one.
STEP_ANSWERS = 8
#: Steps of a move with a deadline need this part of the answers that their share of the traffic
#: should have given; fewer mean that the version does not answer. The last step needs all answers.
EXPECTED_PART = 0.5
#: Share of the old version's answers from which a route must be seen on the new version too, the
#: answers needed there (one in a move with a deadline), and the share from which they are needed:
#: at 1% a small route would take thousands of requests to show.
ROUTE_SHARE = 0.02
ROUTE_ANSWERS = 4
ROUTE_FROM_SHARE = 0.25
#: Bounds of the time at each step, in seconds; slow-onset faults need some, a deadline limits it.
STEP_BOUNDS_S = (0.5, 30.0)
#: Part of the time to the deadline that the remaining steps may plan to use.
DEADLINE_PART = 0.5
#: Time after the end of a move for which a fault of the new version still takes it back, seconds.
WATCH_S = 600.0
#: Share of requests that the old version takes while it is open why the new one is slow.
CONTROL_SHARE = 0.5


def share_picks(model: str, request_id: str, share: float) -> bool:
    """Returns whether a request belongs to the fixed part ``share`` of the hash space."""
    return uniform_hash(model.encode(), request_id) < share


def is_control(model: str, request_id: str) -> bool:
    """Returns whether the old version takes a request while the new one is doubted."""
    return uniform_hash(f"{model}/control".encode(), request_id) < CONTROL_SHARE


def in_use(move: MoveStep | None, wanted: str) -> str:
    """Returns the version that carries the requests outside a move's share."""
    if move is None:
        return wanted
    return move.version if move.step == "done" else move.previous


def pick_version(
    model: str, request_id: str, move: MoveStep | None, wanted: str, tripped: bool
) -> str:
    """Returns the version for a request.

    :param tripped: ``move.version`` must not be used and the previous one still can be.
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
    """An endpoint as the controller sees it.

    :ivar versions: weights versions that it has loaded.
    :ivar checks_fencing: it refuses orders with an old fencing number.
    """

    id: str
    versions: frozenset[str]
    checks_fencing: bool


@dataclass(frozen=True)
class MoveView:
    """The state that a step of the controller depends on.

    :ivar wanted: declared version.
    :ivar move: last accepted step of the model in the log, ``None`` without one.
    :ivar fence: fencing number of the held lease.
    :ivar lease_valid: the lease is valid at this instant.
    :ivar unfenced_from: instant from which endpoints that ignore fencing may get orders: the
        reading of the own claim plus lease duration and longest order timeout.
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

    It remembers only since when it has seen the current step, so a successor that starts from the
    log alone repeats at most the waiting time of one step.
    """

    def __init__(self) -> None:
        self._seen: MoveStep | None = None
        self._seen_at = 0.0
        self._new_before = 0
        self._old_before = 0

    def step(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        """Returns the actions that are due.

        :param now: monotonic seconds.
        """
        if not view.lease_valid:
            return []
        self._notice(view.move, evidence, now)
        if view.move is None:
            return [self._write(view, "done", 1.0, "", {"reason": "first version"})]
        if view.wanted != view.move.version:
            return self._redirect(view)
        if view.move.step == "taken_back":
            return []
        if view.move.step == "done":
            return self._watch(view, evidence, now)
        return self._advance(view, evidence, now)

    def _notice(self, move: MoveStep | None, evidence: FleetEvidence, now: float) -> None:
        if move == self._seen:
            return
        self._seen = move
        self._seen_at = now
        self._new_before = _answers(evidence.new)
        self._old_before = _answers(evidence.old)

    def _write(
        self, view: MoveView, step: str, share: float, previous: str, evidence: dict[str, Any]
    ) -> WriteStep:
        return WriteStep(
            MoveStep(view.model, view.wanted, previous, step, share, view.fence, evidence)
        )

    def _redirect(self, view: MoveView) -> list[Action]:
        """Starts the move to another declared version, or ends one that was called off."""
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

    def _watch(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        if now - self._seen_at > WATCH_S or not view.move.previous:
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
            return [self._take_back(view, {"reason": reason, **_figures(evidence)})]
        following = self._following_share(view.move)
        if following is None:
            return self._finish(view, evidence, now)
        needed = math.ceil(following * len(view.endpoints))
        if len(_holders(view, view.wanted)) < max(needed, 1):
            return self._loads(view, max(needed, 1), now)
        if not self._proved(view, evidence, now):
            return []
        figures = _figures(evidence)
        return [self._write(view, "raised", following, view.move.previous, figures)]

    def _finish(self, view: MoveView, evidence: FleetEvidence, now: float) -> list[Action]:
        if not self._proved(view, evidence, now):
            return []
        figures = _figures(evidence)
        return [self._write(view, "done", 1.0, view.move.previous, figures)]

    def _following_share(self, move: MoveStep) -> float | None:
        return next((share for share in STEPS if share > move.share), None)

    def _loads(self, view: MoveView, needed: int, now: float) -> list[Action]:
        """Orders loads up to the number needed, at most the declared number at once."""
        holders = _holders(view, view.wanted)
        # An order stays noted for a while after its load has ended.
        loading = view.loading.difference(holders)
        free = view.max_concurrent_loads - len(loading)
        missing = needed - len(holders) - len(loading)
        open_for_orders = [
            entry
            for entry in view.endpoints
            if view.wanted not in entry.versions
            and entry.id not in view.loading
            and (entry.checks_fencing or now >= view.unfenced_from)
        ]
        count = max(0, min(free, missing))
        return [OrderLoad(entry.id, view.wanted, view.fence) for entry in open_for_orders[:count]]

    def _proved(self, view: MoveView, evidence: FleetEvidence, now: float) -> bool:
        if view.move.share <= 0.0:
            return True
        planned = self._step_time(view)
        if now - self._seen_at < planned:
            return False
        answers = _answers(evidence.new) - self._new_before
        hurried = view.deadline is not None
        if view.move.share < 1.0 and hurried:
            return answers >= self._expected(view, evidence)
        if view.move.share < ROUTE_FROM_SHARE:
            return answers >= STEP_ANSWERS
        needed = 1 if hurried else ROUTE_ANSWERS
        return answers >= STEP_ANSWERS and _routes_seen(evidence, needed)

    def _expected(self, view: MoveView, evidence: FleetEvidence) -> float:
        """Returns the answers that show, at little traffic, that the new version answers at all."""
        old = _answers(evidence.old) - self._old_before
        new = _answers(evidence.new) - self._new_before
        return min(math.floor((old + new) * view.move.share * EXPECTED_PART), STEP_ANSWERS)

    def _step_time(self, view: MoveView) -> float:
        low, high = STEP_BOUNDS_S
        if view.deadline is None:
            return high
        left = sum(share >= view.move.share for share in STEPS)
        return min(max((view.deadline - self._seen_at) * DEADLINE_PART / left, low), high)

    def _trip(self, evidence: FleetEvidence) -> Trip | None:
        if evidence.trip is not None:
            return evidence.trip
        for key, tally in evidence.new.items():
            old = _old_tally(evidence, key)
            # Over a whole move only failures add up: the cold start makes early answers slow.
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


def _routes_seen(evidence: FleetEvidence, needed: int) -> bool:
    total = _answers(evidence.old)
    seen = {(key.class_name, key.route): tally.answers for key, tally in evidence.new.items()}
    return all(
        seen.get((key.class_name, key.route), 0) >= needed
        for key, tally in evidence.old.items()
        if tally.answers >= ROUTE_SHARE * total
    )


def _answers(tallies: Mapping[EvidenceKey, Tally]) -> int:
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


def _figures(evidence: FleetEvidence) -> dict[str, Any]:
    total = Tally()
    for tally in evidence.new.values():
        total = total.plus(tally)
    return asdict(total)
