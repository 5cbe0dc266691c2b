"""Moves between versions: two controllers, one of which may be frozen, share a log."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutustally.evidence import EvidenceKey, Tally
from arbutustally.records import MoveStep
from arbutustally.trips import Trip
from arbutustally.versions import (
    STEPS,
    EndpointVersions,
    FleetEvidence,
    MoveController,
    MoveView,
    OrderLoad,
    WriteStep,
    pick_version,
)

MODEL = "marelle"
KEY = EvidenceKey(MODEL, "2", "chat", "chat")
OLD_KEY = EvidenceKey(MODEL, "1", "chat", "chat")
TRIP = Trip(KEY, "failures", 3, 3, 0.02)
LEASE_S = 10.0
MAX_LOADS = 1
BASELINE = MoveStep(MODEL, "1", "", "done", 1.0, 0)


def view(**changes) -> MoveView:
    base = {
        "model": MODEL,
        "wanted": "2",
        "move": BASELINE,
        "fence": 1,
        "lease_valid": True,
        "unfenced_from": 0.0,
        "deadline": None,
        "max_concurrent_loads": MAX_LOADS,
        "endpoints": tuple(
            EndpointVersions(f"w{number}", frozenset({"1", "2"}), True) for number in range(4)
        ),
    }
    return MoveView(**{**base, **changes})


def evidence(new: int = 0, old: int = 100, trip: Trip | None = None) -> FleetEvidence:
    return FleetEvidence({KEY: Tally(answers=new)}, {OLD_KEY: Tally(answers=old)}, trip)


class MoveMachine(RuleBasedStateMachine):
    """Model: a log that rejects steps with a fence below the current one, and a fault flag."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.controllers = [MoveController(), MoveController()]
        self.fences = [1, 0]
        self.sent_at = [0.0, -LEASE_S]
        self.seen: list[MoveStep] = [BASELINE, BASELINE]
        self.log = [BASELINE]
        self.log_down = False
        self.versions = {f"w{number}": {"1"} for number in range(4)}
        self.loading: dict[str, float] = {}
        self.answers = 0
        self.bad = False
        self.stale_orders: list[str] = []
        self.tripped_at: int | None = None

    def holds(self, number: int) -> bool:
        return self.now < self.sent_at[number] + LEASE_S * 0.99

    @rule(number=st.integers(0, 1))
    def act(self, number: int) -> None:
        """One controller takes a step, possibly on a stale view of the log."""
        trip = TRIP if self.bad and self.answers else None
        state = view(
            move=self.seen[number],
            fence=self.fences[number],
            lease_valid=self.holds(number),
            endpoints=tuple(
                EndpointVersions(name, frozenset(versions), True)
                for name, versions in self.versions.items()
            ),
            loading=frozenset(self.loading),
        )
        for action in self.controllers[number].step(
            state, evidence(self.answers, 1000, trip), self.now
        ):
            if isinstance(action, OrderLoad):
                if self.fences[number] < max(self.fences):
                    self.stale_orders.append(action.endpoint)
                self.loading[action.endpoint] = self.now
            elif not self.log_down and action.step.fence >= max(self.fences):
                self.log.append(action.step)

    @rule()
    def take_over(self) -> None:
        """The lease of the frozen holder has expired and the other one claims it."""
        holder = self.fences.index(max(self.fences))
        if not self.log_down and not self.holds(holder):
            other = 1 - holder
            self.fences[other] = max(self.fences) + 1
            self.sent_at[other] = self.now

    @rule(number=st.integers(0, 1))
    def renew(self, number: int) -> None:
        if not self.log_down and self.holds(number):
            self.sent_at[number] = self.now

    @rule(number=st.integers(0, 1))
    def read(self, number: int) -> None:
        if not self.log_down:
            self.seen[number] = self.log[-1]

    @rule(seconds=st.sampled_from((0.5, 5.0, 20.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for name in [name for name, at in self.loading.items() if self.now - at >= 1.0]:
            self.versions[name].add("2")
            del self.loading[name]

    @rule(count=st.integers(1, 20))
    def serve(self, count: int) -> None:
        if self.log[-1].share > 0:
            self.answers += count

    @rule(number=st.integers(0, 1))
    def run_quietly(self, number: int) -> None:
        """A holder works for a while without faults, so that moves advance far."""
        for _ in range(4):
            self.renew(number)
            self.wait(5.0)
            self.read(number)
            self.serve(10)
            self.act(number)

    @rule(down=st.booleans())
    def set_log(self, down: bool) -> None:
        self.log_down = down

    @rule()
    def turn_bad(self) -> None:
        self.bad = True

    @invariant()
    def shares_rise_by_one_step(self) -> None:
        ladder = (0.0, *STEPS)
        for before, after in zip(self.log, self.log[1:], strict=False):
            if after.step == "raised" and before.step in ("started", "raised"):
                if before.share == after.share:
                    continue
                assert ladder.index(after.share) == ladder.index(before.share) + 1, (before, after)

    @invariant()
    def nothing_follows_taken_back(self) -> None:
        steps = [step.step for step in self.log]
        if "taken_back" in steps:
            assert set(steps[steps.index("taken_back") :]) == {"taken_back"}

    @invariant()
    def share_has_its_endpoints(self) -> None:
        holders = sum("2" in versions for versions in self.versions.values())
        assert holders >= self.log[-1].share * len(self.versions) or self.log[-1].version == "1"

    @invariant()
    def frozen_holder_orders_nothing(self) -> None:
        assert not self.stale_orders

    @invariant()
    def loads_stay_within_bound(self) -> None:
        assert len(self.loading) <= MAX_LOADS


MoveMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, phases=[Phase.generate]
)
MoveMachineTest = MoveMachine.TestCase


class MoveControllerTest(unittest.TestCase):
    def follow(self, seconds: float, per_second: int, **changes) -> list[MoveStep]:
        """Runs one controller once a second; its steps take effect at once."""
        controller, move, answers = MoveController(), BASELINE, 0
        steps: list[MoveStep] = []
        for second in range(int(seconds)):
            answers += int(per_second * move.share) if move.version == "2" else 0
            for action in controller.step(
                view(move=move, **changes), evidence(answers, 1000 + second * per_second), second
            ):
                if isinstance(action, WriteStep):
                    move = action.step
                    steps.append(move)
        return steps

    def test_good_version_is_done_before_its_deadline(self) -> None:
        """Guards against steps that take longer than the time to the deadline."""
        steps = self.follow(60, 1000, deadline=60.0)
        self.assertEqual(steps[-1].step, "done")
        self.assertEqual([step.share for step in steps], [0.0, *STEPS, 1.0])

    def test_version_without_proof_is_taken_back_at_its_deadline(self) -> None:
        """Guards against a version that never responds and keeps its share."""
        steps = self.follow(60, 0, deadline=30.0)
        self.assertEqual(steps[-1].step, "taken_back")
        self.assertIn("deadline", steps[-1].evidence["reason"])

    def test_trip_takes_back_and_says_why(self) -> None:
        """Guards against a fleet that keeps raising a version that a node has stopped."""
        raised = MoveStep(MODEL, "2", "1", "raised", 0.25, 1)
        (action,) = MoveController().step(view(move=raised), evidence(9, trip=TRIP), 5.0)
        self.assertEqual(action.step.step, "taken_back")
        self.assertIn("3 of 3", action.step.evidence["reason"])

    def test_fault_after_the_end_takes_back(self) -> None:
        """Guards against ignoring a fault that a version shows after its move is done."""
        done = MoveStep(MODEL, "2", "1", "done", 1.0, 1)
        (action,) = MoveController().step(view(move=done), evidence(9, trip=TRIP), 5.0)
        self.assertEqual(action.step.step, "taken_back")

    def test_expired_lease_allows_nothing(self) -> None:
        """Guards against a controller that was paused and acts after its lease has expired."""
        raised = MoveStep(MODEL, "2", "1", "raised", 0.25, 1)
        state = view(move=raised, lease_valid=False)
        self.assertEqual(MoveController().step(state, evidence(9, trip=TRIP), 5.0), [])

    def test_endpoint_that_ignores_fencing_waits(self) -> None:
        """Guards against orders concurrent with those of a frozen holder that are still pending."""
        endpoints = (EndpointVersions("w0", frozenset({"1"}), False),)
        started = MoveStep(MODEL, "2", "1", "started", 0.0, 1)
        state = view(move=started, endpoints=endpoints, unfenced_from=15.0)
        controller = MoveController()
        self.assertEqual(controller.step(state, evidence(), 14.9), [])
        self.assertEqual(controller.step(state, evidence(), 15.0), [OrderLoad("w0", "2", 1)])

    def test_share_waits_for_endpoints_and_loads_are_bounded(self) -> None:
        """Guards against a share that one endpoint must serve, and against loading all at once."""
        endpoints = tuple(
            EndpointVersions(f"w{number}", frozenset({"1"} if number else {"1", "2"}), True)
            for number in range(4)
        )
        raised = MoveStep(MODEL, "2", "1", "raised", 0.5, 1)
        controller = MoveController()
        state = view(move=raised, endpoints=endpoints)
        controller.step(state, evidence(0), 0.0)
        actions = controller.step(state, evidence(500), 100.0)
        self.assertEqual(actions, [OrderLoad("w1", "2", 1)])

    def test_ended_load_does_not_hold_up_the_next(self) -> None:
        """Guards against an order that counts as pending although its endpoint has loaded."""
        endpoints = tuple(
            EndpointVersions(f"w{number}", frozenset({"1"} if number else {"1", "2"}), True)
            for number in range(3)
        )
        raised = MoveStep(MODEL, "2", "1", "raised", 0.25, 1)
        state = view(move=raised, endpoints=endpoints, loading=frozenset({"w0"}))
        actions = MoveController().step(state, evidence(9), 0.0)
        self.assertEqual(actions, [OrderLoad("w1", "2", 1)])

    def test_previous_version_declared_again_takes_back(self) -> None:
        """Guards against a move that an operator cannot cancel."""
        raised = MoveStep(MODEL, "2", "1", "raised", 0.25, 1)
        (action,) = MoveController().step(view(wanted="1", move=raised), evidence(), 5.0)
        self.assertEqual((action.step.step, action.step.version), ("taken_back", "2"))

    def test_share_of_requests_is_fixed_without_messages(self) -> None:
        """Guards against nodes that pick different versions for one request, or a wrong share."""
        raised = MoveStep(MODEL, "2", "1", "raised", 0.25, 1)
        ids = [f"request-{number}" for number in range(4000)]
        picks = [pick_version(MODEL, name, raised, "2", False) for name in ids]
        self.assertAlmostEqual(picks.count("2") / len(ids), 0.25, delta=0.03)
        self.assertEqual(picks, [pick_version(MODEL, name, raised, "2", False) for name in ids])

    def test_tripped_version_gets_nothing(self) -> None:
        """Guards against using a stopped version while the log still assigns it a share."""
        full = MoveStep(MODEL, "2", "1", "raised", 1.0, 1)
        self.assertEqual(pick_version(MODEL, "request-1", full, "2", True), "1")
