"""Nodes and engines of one replay, driven by the event loop."""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from time import perf_counter

from arbutustally.directory import addresses
from arbutustally.errors import OverloadedError
from arbutustally.fairness import MIN_COMPUTED_SHARE, FairQueue, QueueLimits, Ticket, TicketState
from arbutustally.grant_pool import GrantPool, Reservation
from arbutustally.grants import grant_for_receiver
from arbutustally.owner_budget import OwnerBudget, apply_reports
from arbutustally.placement import COMPUTED_SHARE_WEIGHT
from arbutustally_standins.engine_model import EngineModel, EngineModelOptions, ModelRequest
from arbutustally_standins.engine_types import FINISHED, FIRST_TOKEN
from bench.replay.calls import Call, Result
from bench.replay.loop import EventLoop
from bench.replay.policies import Aim, Decision, Maker, View

#: Interval at which load reports are sampled, in seconds.
REPORT_INTERVAL_S = 0.25
#: Interval at which nodes refresh their queue bounds, in seconds.
REFRESH_S = 0.1
#: Longest wait of a call within its rate for a grant, in seconds.
GRANT_WAIT_S = 0.5
#: Lifetime of a grant in seconds, the duration of a lease.
GRANT_S = 10.0
#: Time between calls and the end of a trace after which everything must have finished.
TAIL_S = 60.0


@dataclass(frozen=True)
class Setup:
    """One cell of a replay.

    :ivar lag_s: lag of load reports.
    :ivar lost: share of answers whose cached count never reaches placement.
    :ivar fair: use the fair queue; otherwise calls go to the engines at once.
    :ivar restarts: (instant, engine number) of engine restarts.
    """

    maker: Maker
    target: Aim
    engines: int
    nodes: int
    rtt_s: float
    accounts: dict[str, dict[str, float]]
    seed: int = 1
    lag_s: float = 0.25
    lost: float = 0.0
    fair: bool = True
    prefill_tokens_per_s: float = 8000.0
    cache_blocks: int = 4096
    restarts: tuple[tuple[float, int], ...] = ()


@dataclass(frozen=True)
class NodeName:
    """What the directory needs of a node."""

    id: str
    zone: str
    caller_address: str


@dataclass
class _Running:
    result: Result
    decision: Decision
    view: View
    node: "_Node"
    ticket: Ticket | None
    reservation: Reservation
    sent_at: float


class _Engine:
    """An engine with its history of load reports."""

    def __init__(self, loop: EventLoop, options: EngineModelOptions, lag_s: float) -> None:
        self.model = EngineModel.from_config(options, loop.clock)
        self.name = options.engine
        self._loop = loop
        self._lag_s = lag_s
        self._reports: deque[tuple[float, float]] = deque([(0.0, 0.0)])
        self._wake_at: float | None = None
        self.running: dict[int, _Running] = {}

    def queued(self) -> float:
        """Returns the prompt tokens still to compute, at this instant."""
        return float(self.model.load_report().queued_tokens)

    def sample(self) -> None:
        """Takes a load report."""
        self._reports.append((self._loop.clock(), self.queued()))

    def view(self) -> View:
        """Returns what a node sees, with the lag of reports."""
        now = self._loop.clock()
        if self._lag_s == 0:
            return View(self.name, self.model.incarnation, self.queued(), 0.0)
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._lag_s:
            self._reports.popleft()
        at, queued = self._reports[0]
        return View(self.name, self.model.incarnation, queued, now - at)


@dataclass
class _Node:
    name: NodeName
    policy: object
    queue: FairQueue
    pool: GrantPool
    waiting: list = field(default_factory=list)


class Fleet:
    """Runs the calls of a trace through limits, fair queue, placement and engines."""

    def __init__(self, setup: Setup, calls: list[Call]) -> None:
        self._setup = setup
        self._loop = EventLoop()
        self._rng = Random(setup.seed)
        self._calls = calls
        # Every policy gets the same estimate, so that the queue differs by placement only.
        self._computed_share = 1.0
        self._engines = {name: self._engine(name) for name in self._engine_names()}
        self._nodes = {f"node-{number}": self._node(number) for number in range(setup.nodes)}
        self._store: set[bytes] = set()
        self._owners = {
            name: OwnerBudget.from_config(
                account["rate"], account["burst"], self._loop.clock, name, 0, -1000.0
            )
            for name, account in setup.accounts.items()
        }
        self._exact = {name: (account["burst"], 0.0) for name, account in setup.accounts.items()}
        self.over_admission = 0.0
        self.results = [Result(call) for call in calls]

    def _engine_names(self) -> list[str]:
        return [f"engine-{number}" for number in range(self._setup.engines)]

    def _engine(self, name: str) -> _Engine:
        options = EngineModelOptions(
            engine=name,
            prefill_tokens_per_s=self._setup.prefill_tokens_per_s,
            cache_blocks=self._setup.cache_blocks,
            report_lag_s=0.0,
        )
        return _Engine(self._loop, options, self._setup.lag_s)

    def _node(self, number: int) -> _Node:
        name = NodeName(f"node-{number}", f"zone-{number % 4}", f"node-{number}:1")
        policy = self._setup.maker(Random(self._setup.seed * 1000 + number), self._loop.clock)
        weights = {name: account["rate"] for name, account in self._setup.accounts.items()}
        queue = FairQueue(self._loop.clock, self._limits(0.0, 0.0), weights)
        return _Node(name, policy, queue, GrantPool.from_config(self._loop.clock))

    def _limits(self, reported: float, own: float) -> QueueLimits:
        setup = self._setup
        share = self._computed_share
        limits = QueueLimits.from_config(
            setup.target, setup.engines, setup.prefill_tokens_per_s, share
        )
        others = max(reported / max(share, MIN_COMPUTED_SHARE) - own, 0.0)
        return limits.for_node(others, setup.nodes)

    def run(self) -> list[Result]:
        """Runs the whole trace and returns the results."""
        for result in self.results:
            self._loop.at(result.call.at, lambda result=result: self._arrive(result))
        for instant, number in self._setup.restarts:
            name = f"engine-{number % self._setup.engines}"
            self._loop.at(instant, lambda name=name: self._restart(name))
        end = self._calls[-1].at + TAIL_S
        self._loop.at(0.0, lambda: self._sample(end))
        self._loop.at(0.0, lambda: self._refresh(end))
        self._loop.run(end)
        return self.results

    def _sample(self, end: float) -> None:
        for engine in self._engines.values():
            engine.sample()
        if self._loop.clock() < end:
            self._loop.after(REPORT_INTERVAL_S, lambda: self._sample(end))

    def _refresh(self, end: float) -> None:
        reported = sum(engine.view().queued for engine in self._engines.values())
        for node in self._nodes.values():
            node.queue.configure(self._limits(reported, node.queue.in_flight), node_weights(self))
            node.queue.expire()
        if self._loop.clock() < end:
            self._loop.after(REFRESH_S, lambda: self._refresh(end))

    def _arrive(self, result: Result) -> None:
        names = [node.name for node in self._nodes.values()]
        homes = addresses(result.call.account, "zone-0", names, 2)
        node = self._nodes[self._rng.choice(homes).partition(":")[0]]
        self._reserve(result, node, result.call.at + GRANT_WAIT_S)

    def _reserve(self, result: Result, node: _Node, give_up: float) -> None:
        call = result.call
        reservation = node.pool.reserve(call.account, call.tokens)
        if reservation is not None:
            self._admitted(call)
            self._gate(result, node, reservation)
            return
        sent_at = self._loop.clock()
        self._loop.after(
            self._setup.rtt_s / 2, lambda: self._ask_owner(result, node, give_up, sent_at)
        )

    def _ask_owner(self, result: Result, node: _Node, give_up: float, sent_at: float) -> None:
        call, now = result.call, self._loop.clock()
        owner = self._owners[call.account]
        apply_reports(owner, node.pool.reports(call.account, 0))
        grant = owner.grant(node.name.id, call.tokens, now + GRANT_S)
        if grant is not None:
            node.pool.add(grant_for_receiver(grant, GRANT_S, sent_at))
            self._loop.after(self._setup.rtt_s / 2, lambda: self._reserve(result, node, give_up))
            return
        wait = owner.wait_s(call.tokens)
        if wait is None or now + wait > give_up:
            result.refused = "rate_limited"
            return
        self._loop.after(
            max(wait, 0.005), lambda: self._ask_owner(result, node, give_up, self._loop.clock())
        )

    def _admitted(self, call: Call) -> None:
        """Checks the admission against one exact bucket of the whole fleet."""
        account = self._setup.accounts[call.account]
        level, at = self._exact[call.account]
        now = self._loop.clock()
        level = min(account["burst"], level + (now - at) * account["rate"]) - call.tokens
        self._exact[call.account] = (level, now)
        self.over_admission = max(self.over_admission, -level)

    def _gate(self, result: Result, node: _Node, reservation: Reservation) -> None:
        if not self._setup.fair:
            self._place(result, node, None, reservation)
            return
        call = result.call
        deadline = self._loop.clock() + node.queue.limits.wait_s
        holder: list[Ticket] = []

        def changed() -> None:
            # The queue may settle the ticket before ``submit`` has returned it or has refused it.
            self._loop.after(
                0.0, lambda: holder and self._settled(holder[0], result, node, reservation)
            )

        try:
            holder.append(node.queue.submit(call.account, call.prompt_tokens, deadline, changed))
        except OverloadedError:
            self._refuse(result, node, reservation)
            return
        self._loop.at(deadline + 1e-6, node.queue.expire)

    def _settled(
        self, ticket: Ticket, result: Result, node: _Node, reservation: Reservation
    ) -> None:
        if ticket.state is TicketState.ADMITTED:
            self._place(result, node, ticket, reservation)
        elif ticket.state is TicketState.SHED:
            self._refuse(result, node, reservation)

    def _refuse(self, result: Result, node: _Node, reservation: Reservation) -> None:
        result.refused = "overloaded"
        level, at = self._exact[result.call.account]
        self._exact[result.call.account] = (level + result.call.tokens, at)
        node.pool.settle(reservation, 0.0)

    def _place(
        self, result: Result, node: _Node, ticket: Ticket | None, reservation: Reservation
    ) -> None:
        call = result.call
        views = [engine.view() for engine in self._engines.values()]
        began = perf_counter()
        decision = node.policy.choose(call, views)
        result.placed_s = perf_counter() - began
        engine = self._engines[decision.engine]
        view = next(view for view in views if view.name == decision.engine)
        held = self._held_blocks(call) if decision.import_kv else 0
        engine.model.submit(
            ModelRequest(
                str(call.number),
                call.blocks,
                call.prompt_tokens,
                call.output_tokens,
                0,
                import_blocks=held,
            )
        )
        result.engine = int(engine.name.partition("-")[2])
        engine.running[call.number] = _Running(
            result, decision, view, node, ticket, reservation, self._loop.clock()
        )
        self._wake(engine)

    def _held_blocks(self, call: Call) -> int:
        held = 0
        while held < call.whole_piece_blocks and call.blocks[held] in self._store:
            held += 1
        return held

    def _wake(self, engine: _Engine) -> None:
        due = engine.model.next_event_at()
        if due is None or (engine._wake_at is not None and engine._wake_at <= due):
            return
        engine._wake_at = due
        self._loop.at(due, lambda: self._step(engine, due))

    def _step(self, engine: _Engine, due: float) -> None:
        if engine._wake_at != due:
            return
        engine._wake_at = None
        for event in engine.model.advance_to(self._loop.clock()):
            if event.kind == FIRST_TOKEN:
                self._first_token(engine, int(event.ticket.request.request_id), event.ticket)
            elif event.kind == FINISHED:
                self._finished(engine, int(event.ticket.request.request_id))
        self._wake(engine)

    def _first_token(self, engine: _Engine, number: int, ticket: object) -> None:
        entry = engine.running[number]
        result, now = entry.result, self._loop.clock()
        result.cached = ticket.cached_tokens
        result.imported = ticket.imported_tokens
        result.first_token_s = now - result.call.at
        computed = result.computed / result.call.prompt_tokens
        self._computed_share += (computed - self._computed_share) * COMPUTED_SHARE_WEIGHT
        if entry.ticket is not None:
            entry.node.queue.release(entry.ticket)
        self._store.update(result.call.blocks[: result.call.whole_piece_blocks])
        if self._rng.random() >= self._setup.lost:
            entry.node.policy.answered(
                result.call, entry.decision, entry.view, result.cached, now - entry.sent_at
            )

    def _finished(self, engine: _Engine, number: int) -> None:
        entry = engine.running.pop(number)
        entry.node.pool.settle(entry.reservation, entry.result.call.tokens)

    def _restart(self, name: str) -> None:
        """Restarts an engine; its calls without a first token are sent again by their nodes."""
        engine = self._engines[name]
        incarnation = engine.model.incarnation
        engine.model.restart()
        engine._wake_at = None
        lost, engine.running = engine.running, {}
        for node in self._nodes.values():
            node.policy.dropped(name, incarnation)
        for entry in lost.values():
            if entry.result.first_token_s is None:
                self._place(entry.result, entry.node, entry.ticket, entry.reservation)


def node_weights(fleet: Fleet) -> dict[str, float]:
    """Returns the weights of accounts, their declared rates."""
    return {name: account["rate"] for name, account in fleet._setup.accounts.items()}
