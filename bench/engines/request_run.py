"""The attempts of one request at one node, until it is answered or given up."""

from typing import Protocol

from arbutustally.gateway.attempts import Next, Outcome, next_action
from arbutustally.gateway.configuration import Route, RouteKind
from arbutustally.gateway.requests import CallerRequest, shape_of
from arbutustally.placement_types import Observation
from arbutustally_node.gateway.attempt_load import AttemptLoad
from bench.engines.arrivals import Arrival
from bench.engines.experiment import MS, RequestSizes
from bench.engines.jobs import Job, Rejection
from bench.engines.node import MODEL, Node, Told
from bench.engines.placing import DEFAULT_RETRY_S, Placed, Placer, Refused
from bench.engines.sites import Site
from bench.engines.worker import WorkerJob

#: Longest wait for the first event at one endpoint where another one may be tried, seconds.
FIRST_EVENT_S = 1.2
#: Longest pause in a stream that may go on elsewhere, seconds.
SILENT_GAP_S = 0.8
#: Time kept for the answer's way to the caller, seconds.
ANSWER_MARGIN_S = 0.01
LEAST_PRIORITY = 9
#: An account's priority goes before that of the kind of request.
ACCOUNT_WEIGHT = 3

KINDS = {
    "stream": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "at_most_once": RouteKind.AT_MOST_ONCE,
}


class AnswerListener(Protocol):
    """The caller's side of a request."""

    def received(self, made: int, is_complete: bool) -> None:
        """Takes an event, or a whole answer."""

    def refused(self, retry_after_s: float) -> None:
        """Notes that the request did not run."""

    def failed(self) -> None:
        """Notes that the request may have run and has no answer."""


def route_of(sizes: RequestSizes) -> Route:
    """Returns the route of a kind of request."""
    return Route(
        sizes.name,
        "",
        "/",
        KINDS[sizes.kind],
        sizes.deadline_ms * MS,
        sizes.aim_ms * MS,
        sizes.priority,
        (),
        sizes.attempts,
        True,
        sizes.is_resumable,
    )


class RequestRun:
    """One attempt of a caller at a node; it listens to one endpoint at a time.

    :param made: events that the caller has of a stream that it resumes, in tokens.
    """

    def __init__(
        self,
        site: Site,
        node: Node,
        placer: Placer,
        arrival: Arrival,
        route: Route,
        left_s: float,
        made: int,
        caller: AnswerListener,
    ) -> None:
        self._site = site
        self._node = node
        self._placer = placer
        self._arrival = arrival
        self._route = route
        self._caller = caller
        self._made = made
        self._deadline = site.clock() + left_s - ANSWER_MARGIN_S
        self._ran = 0
        self._sends = 0
        self._tried: set[str] = set()
        self._placed: Placed | None = None
        self._load: AttemptLoad | None = None
        self._began = 0.0
        self._heard_at = 0.0
        self._attempt: _Attempt | None = None
        self._is_over = False
        self._cost = 0.0
        self._request = CallerRequest(
            str(arrival.number),
            "POST",
            "/",
            "",
            (),
            b"",
            "",
            left_s,
            MODEL if arrival.parts else "",
            arrival.prompt_tokens if arrival.parts else None,
            arrival.output_tokens,
            arrival.parts,
            "",
            site.clock(),
        )

    @property
    def _left_s(self) -> float:
        return self._deadline - self._site.clock()

    @property
    def _service(self) -> str:
        return self._arrival.sizes.service

    def start(self) -> None:
        """Takes the request's cost from its account and sends it."""
        if self._is_over:
            return
        account = self._arrival.account.name
        self._cost = float(self._request.tokens or 0)
        wait = self._node.quota.take(account, self._cost)
        if wait is not None:
            self._is_over = True
            self._caller.refused(wait)
            return
        self._node.repeats.record_request(self._service)
        self._site.loop.at(self._deadline, self._expire)
        self._next()

    def leave(self) -> None:
        """Ends the request since its caller has gone."""
        if self._is_over:
            return
        self._is_over = True
        if self._attempt is not None:
            self._end_attempt(Outcome.MAY_HAVE_RUN, is_failure=False)

    def _next(self) -> None:
        placed = self._placer.place(
            self._node, self._request, self._route.target_s, self._left_s, self._tried
        )
        if isinstance(placed, Refused):
            if self._ran:
                self._fail()
            else:
                self._refuse(placed.retry_after_s)
            return
        self._sends += 1
        self._tried.add(placed.state.id)
        self._placed = placed
        self._began = self._heard_at = self._site.clock()
        self._load = AttemptLoad(placed.state, self._request, placed.choice, self._route.may_repeat)
        if placed.choice is not None:
            told = Told(placed.state.id, placed.scope, self._request.parts, True)
            self._node.note_parts(told)
        attempt = self._attempt = _Attempt(self)
        self._site.send(self._node.zone, placed.state.id, lambda: self._submit(placed, attempt))
        if self._may_leave:
            self._watch_silence(attempt)

    @property
    def _may_leave(self) -> bool:
        return self._route.may_repeat and self._ran + 1 < self._route.max_attempts

    def _submit(self, placed: Placed, attempt: "_Attempt") -> None:
        if attempt is not self._attempt:
            return
        if not self._request.parts:
            attempt.job = WorkerJob(attempt, self._arrival.work_s)
        else:
            urgency = self._arrival.account.priority * ACCOUNT_WEIGHT + self._route.priority
            attempt.job = Job(
                attempt,
                placed.scope,
                placed.version,
                self._request.parts,
                self._request.output_tokens,
                min(urgency, LEAST_PRIORITY),
                self._site.part_place(placed.source.place) if placed.source else None,
                self._site.part_place(placed.save_to.name) if placed.save_to else None,
                self._made,
            )
        self._site.submit(placed.state.id, attempt.job)

    def _watch_silence(self, attempt: "_Attempt") -> None:
        limit = SILENT_GAP_S if self._load.first_at else FIRST_EVENT_S
        due = self._heard_at + limit

        def look() -> None:
            if attempt is not self._attempt or not self._may_leave:
                return
            if self._site.clock() < self._heard_at + (
                SILENT_GAP_S if self._load.first_at else FIRST_EVENT_S
            ):
                self._watch_silence(attempt)
            elif self._node.take_repeat(self._service):
                self._ran += 1
                self._end_attempt(Outcome.MAY_HAVE_RUN)
                self._follow(Outcome.MAY_HAVE_RUN, has_repeat=True)

        self._site.loop.at(due, look)

    def progressed(self, made: int, is_complete: bool) -> None:
        """Takes an event of the current attempt."""
        now = self._heard_at = self._site.clock()
        if not self._load.first_at:
            self._load.first_event(now)
            self._learn_first(now - self._began)
        self._made = made
        if is_complete:
            self._is_over = True
            self._node.book.answered(self._placed.state, now - self._began)
            self._end_attempt(Outcome.ANSWERED)
        self._caller.received(made, is_complete)

    def rejected(self, reason: Rejection, pause_s: float, version: int) -> None:
        """Takes the rejection of the current attempt."""
        state = self._placed.state
        if reason is Rejection.UNREACHABLE:
            self._node.book.unreachable(state)
        elif reason is Rejection.OTHER_WEIGHTS:
            self._node.learn_weights(state, version)
        elif pause_s:
            self._node.book.pause(state, pause_s, self._node.rng)
        self._end_attempt(Outcome.NOT_RUN)
        self._follow(Outcome.NOT_RUN)

    def broken(self) -> None:
        """Notes that the current attempt broke off."""
        self._ran += 1
        self._end_attempt(Outcome.MAY_HAVE_RUN)
        if self._made and not self._route.may_repeat:
            self._fail()
        else:
            self._follow(Outcome.MAY_HAVE_RUN)

    def _follow(self, outcome: Outcome, has_repeat: bool = False) -> None:
        following = next_action(self._route, outcome, self._ran, self._sends, self._left_s)
        if following is Next.REPEAT and (has_repeat or self._node.take_repeat(self._service)):
            self._next()
        elif outcome is Outcome.NOT_RUN and self._ran == 0:
            self._refuse(DEFAULT_RETRY_S)
        else:
            self._fail()

    def _expire(self) -> None:
        if self._is_over:
            return
        if self._attempt is not None:
            self._end_attempt(Outcome.MAY_HAVE_RUN)
        self._fail()

    def _refuse(self, retry_after: float) -> None:
        self._is_over = True
        self._node.quota.refund(self._arrival.account.name, self._cost)
        self._caller.refused(retry_after)

    def _fail(self) -> None:
        self._is_over = True
        self._caller.failed()

    def _end_attempt(self, outcome: Outcome, is_failure: bool = True) -> None:
        attempt, self._attempt = self._attempt, None
        self._load.end()
        placed = self._placed
        if attempt.job is not None:
            self._site.cancel(placed.state.id, attempt.job)
        if outcome is Outcome.MAY_HAVE_RUN and is_failure:
            self._node.book.failed(placed.state)
        if placed.choice is not None and not self._load.first_at:
            self._learn(None)
            self._node.holdings.cancel_expected(placed.state.id, placed.scope, self._request.parts)

    def _learn_first(self, first_s: float) -> None:
        """Learns from the first event."""
        placed = self._placed
        if placed.choice is None:
            return
        self._learn(first_s)
        told = Told(placed.state.id, placed.scope, self._request.parts, False)
        self._node.note_parts(told)
        if placed.save_to is not None:
            shared = self._request.parts[:-1]
            self._node.note_parts(Told(placed.save_to.name, placed.scope, shared, False))

    def _learn(self, first_s: float | None) -> None:
        placed = self._placed
        self._node.placement.learn(
            Observation(
                "",
                MODEL,
                str(placed.version),
                shape_of(self._request),
                placed.state.id,
                placed.state.entry.incarnation,
                placed.choice.expected_cached_tokens if first_s is not None else None,
                0,
                first_s,
                placed.choice.dispatch,
            )
        )


class _Attempt:
    """Passes on what an endpoint says while the attempt is the current one."""

    def __init__(self, run: RequestRun) -> None:
        self._run = run
        self.job: Job | WorkerJob | None = None

    @property
    def _is_current(self) -> bool:
        return self._run._attempt is self

    def progressed(self, made: int, is_complete: bool) -> None:
        """See ``JobListener``."""
        if self._is_current:
            self._run.progressed(made, is_complete)

    def rejected(self, reason: Rejection, pause_s: float, version: int) -> None:
        """See ``JobListener``."""
        if self._is_current:
            self._run.rejected(reason, pause_s, version)

    def broken(self) -> None:
        """See ``JobListener``."""
        if self._is_current:
            self._run.broken()
