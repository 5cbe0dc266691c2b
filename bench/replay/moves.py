"""Replay of moves between versions: breakers, broadcast, controller and log on a virtual clock."""

from dataclasses import dataclass, field
from random import Random

from arbutustally.breaker import Breaker, Report
from arbutustally.evidence import EvidenceKey, Sample
from arbutustally.records import MoveStep
from arbutustally.rendezvous import order
from arbutustally.versions import (
    Action,
    EndpointVersions,
    FleetEvidence,
    MoveController,
    MoveView,
    OrderLoad,
    pick_version,
)
from arbutustally_standins.engine_model import EngineModel, EngineModelOptions, ModelRequest
from arbutustally_standins.engine_types import FINISHED
from arbutustally_standins.tokens import block_chain, prompt_text
from bench.replay.calls import Call, load
from bench.replay.loop import EventLoop
from bench.workloads import DEPLOYMENTS, messages

OLD, NEW = "1", "2"
MODEL = "model"
#: Interval of the controller and of evidence reports, as in ``arbutustally_node.version_service``.
STEP_S = 0.5
#: Time from an append until every node has read the record, in seconds.
LOG_S = 0.05
#: Time after which an engine reports a failure, in seconds.
FAILURE_S = 0.02
TAIL_S = 40.0


@dataclass
class MoveResult:
    """What became of a move.

    :ivar harmed: calls that the new version failed or slowed down.
    :ivar ended: ``done`` or ``taken_back``, empty if neither.
    :ivar ended_s: seconds from the declaration to that record.
    :ivar late: calls sent to the new version after it was taken back.
    """

    calls: int = 0
    on_new: int = 0
    harmed: int = 0
    ended: str = ""
    ended_s: float = 0.0
    reason: str = ""
    late: int = 0
    in_time: bool = False


@dataclass
class _Node:
    breaker: Breaker = field(default_factory=Breaker)


class MoveReplay:
    """Runs the calls of a trace while the new version is moved to.

    :param trace: trace with one ``version_start`` event, whose rules describe the new version.
    """

    def __init__(self, trace: list[dict], seed: int = 1) -> None:
        self._loop = EventLoop()
        self._rng = Random(seed)
        self._deployment = DEPLOYMENTS[trace[0]["deployment"]["name"]]
        self._start = next(event for event in trace if event["kind"] == "version_start")
        self._rules = self._start["rules"]
        self._calls = load(trace)
        self._new_blocks = {
            call.number: block_chain(prompt_text({"messages": messages(event)}), "new", MODEL, NEW)
            for call, event in zip(
                self._calls, (e for e in trace if e["kind"] == "completion"), strict=True
            )
        }
        self._engines = [
            EngineModel.from_config(
                EngineModelOptions(engine=f"engine-{number}", load_s=self._deployment.load_s),
                self._loop.clock,
            )
            for number in range(self._deployment.model_workers)
        ]
        self._wakes: dict[int, float] = {}
        self._open: list[dict[str, tuple[Call, str, _Node, float]]] = [{} for _ in self._engines]
        self._nodes = [_Node() for _ in range(self._deployment.entry_nodes)]
        self._controller = MoveController()
        self._move: MoveStep | None = MoveStep(MODEL, OLD, "", "done", 1.0, 1)
        self._wanted = OLD
        self._loading: dict[str, float] = {}
        self.steps: list[tuple[float, MoveStep]] = []
        self.result = MoveResult(len(self._calls))

    def run(self) -> MoveResult:
        """Runs the trace and returns the result."""
        for call in self._calls:
            self._loop.at(call.at, lambda call=call: self._arrive(call))
        self._loop.at(self._start["at"], self._declare)
        end = self._calls[-1].at + TAIL_S
        self._loop.at(0.0, lambda: self._tick(end))
        self._loop.run(end)
        last = self._move
        if last.version == NEW and last.step in ("done", "taken_back"):
            self.result.ended = last.step
            self.result.reason = str(last.evidence.get("reason", ""))
            at = next(at for at, step in self.steps if step == last)
            self.result.ended_s = at - self._start["at"]
            self.result.in_time = at <= self._start["move_by_s"]
        return self.result

    def _declare(self) -> None:
        self._wanted = NEW

    def _arrive(self, call: Call) -> None:
        node = self._rng.choice(self._nodes)
        move = self._move
        tripped = node.breaker.tripped(MODEL, move.version) is not None and bool(move.previous)
        version = pick_version(MODEL, f"{call.number}", move, self._wanted, tripped)
        if version == NEW:
            self.result.on_new += 1
            self.result.late += move.step == "taken_back"
        able = [n for n, engine in enumerate(self._engines) if version in engine.versions]
        names = [f"{number}" for number in able]
        home = int(order(call.account.encode() + call.shape.levels[0].hash, names)[0])
        loads = {number: self._engines[number].load_report().queued_tokens for number in able}
        if loads[home] > call.prompt_tokens:
            home = min(loads, key=lambda number: loads[number])
        self._send(call, version, home, node)

    def _send(self, call: Call, version: str, number: int, node: _Node) -> None:
        engine = self._engines[number]
        rule = self._active_rule(call, engine) if version == NEW else None
        if rule and rule.get("rate") and self._rng.random() < rule["rate"]:
            self.result.harmed += 1
            self._loop.after(FAILURE_S, lambda: self._observe(node, call, version, False, None))
            return
        if version == NEW:
            factor = rule.get("slow_factor", 1.0) if rule else 1.0
            engine.set_slow_factor(factor, NEW)
            self.result.harmed += factor > 1.0
        blocks = call.blocks if version == OLD else self._new_blocks[call.number]
        request = ModelRequest(
            str(call.number), blocks, call.prompt_tokens, call.output_tokens, 0, version
        )
        queued = engine.load_report().queued_tokens
        missed = call.prompt_tokens - engine.lookup(blocks)
        engine.submit(request)
        work = queued + missed
        self._open[number][request.request_id] = (call, version, node, work)
        self._wake(number)

    def _active_rule(self, call: Call, engine: EngineModel) -> dict | None:
        for rule in self._rules:
            if self._loop.clock() < self._start["at"] + rule.get("after_s", 0.0):
                continue
            if engine.running <= rule.get("above_running", -1):
                continue
            if rule.get("route", call.route) == call.route:
                return rule
        return None

    def _wake(self, number: int) -> None:
        due = self._engines[number].next_event_at()
        if due is not None and self._wakes.get(number) != due:
            self._wakes[number] = due
            self._loop.at(due, lambda: self._step(number, due))

    def _step(self, number: int, due: float) -> None:
        if self._wakes.get(number) != due:
            return
        del self._wakes[number]
        for event in self._engines[number].advance_to(self._loop.clock()):
            if event.kind == FINISHED:
                self._finished(number, event.ticket)
        self._wake(number)

    def _finished(self, number: int, ticket) -> None:
        call, version, node, work = self._open[number].pop(ticket.request.request_id)
        first = ticket.first_token_at - ticket.submitted_at
        gaps = (ticket.finished_at - ticket.first_token_at) / max(ticket.emitted - 1, 1)
        self._observe(node, call, version, True, first, gaps, work)

    def _observe(
        self,
        node: _Node,
        call: Call,
        version: str,
        ok: bool,
        first: float | None,
        gap: float | None = None,
        work: float | None = None,
    ) -> None:
        previous = self._move.previous if version == self._move.version else ""
        key = EvidenceKey(MODEL, version, "class", call.route)
        trip = node.breaker.observe(key, Sample(ok, first, gap, work), previous)
        if trip is not None:
            self._loop.after(
                self._rtt(), lambda: [other.breaker.trip(trip) for other in self._nodes]
            )
        if not ok and previous:
            self._tell(node, version)

    def _tell(self, node: _Node, version: str) -> None:
        """Sends a node's counts to its peers."""
        reports = node.breaker.reports(MODEL, version)
        name = str(self._nodes.index(node))
        others = [other for other in self._nodes if other is not node]
        self._loop.after(self._rtt(), lambda: [self._hear(o, name, reports) for o in others])

    def _hear(self, node: _Node, name: str, reports: list[Report]) -> None:
        for report in reports:
            version = report.key.version
            previous = self._move.previous if version == self._move.version else ""
            node.breaker.add_peer_reports(name, [report], previous)

    def _rtt(self) -> float:
        return self._deployment.rtt_ms / 1000

    def _tick(self, end: float) -> None:
        for node in self._nodes:
            for version in (OLD, NEW):
                self._tell(node, version)
        self._control()
        if self._loop.clock() < end:
            self._loop.after(STEP_S, lambda: self._tick(end))

    def _control(self) -> None:
        now = self._loop.clock()
        breaker = self._nodes[0].breaker
        self._loading = {
            name: at
            for name, at in self._loading.items()
            if NEW not in self._engines[int(name)].versions
        }
        view = MoveView(
            MODEL,
            self._wanted,
            self._move,
            1,
            True,
            0.0,
            self._start["move_by_s"],
            self._deployment.full_speed_loads,
            tuple(
                EndpointVersions(f"{number}", frozenset(engine.versions), True)
                for number, engine in enumerate(self._engines)
            ),
            frozenset(self._loading),
        )
        evidence = FleetEvidence(
            breaker.totals(MODEL, self._move.version),
            breaker.totals(MODEL, self._move.previous),
            breaker.tripped(MODEL, self._move.version),
        )
        for action in self._controller.step(view, evidence, now):
            self._act(action)

    def _act(self, action: Action) -> None:
        if isinstance(action, OrderLoad):
            self._loading[action.endpoint] = self._loop.clock()
            number = int(action.endpoint)
            self._engines[number].load(action.version)
            self._wake(number)
            return
        self._loop.after(LOG_S, lambda: self._record(action.step))

    def _record(self, step: MoveStep) -> None:
        if step.step == "started":
            for node in self._nodes:
                node.breaker.reset(MODEL, step.version)
        self._move = step
        self.steps.append((self._loop.clock(), step))
