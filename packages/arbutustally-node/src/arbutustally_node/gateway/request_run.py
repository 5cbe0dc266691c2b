"""The attempts of one request, until it is answered or given up."""

from arbutustally.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    OverloadedError,
    Ran,
    RateLimitedError,
    RouterError,
)
from arbutustally.gateway.admission import retry_after_s
from arbutustally.gateway.attempts import Next, Outcome, after
from arbutustally.gateway.configuration import (
    ClientAccount,
    Configuration,
    Route,
    RouteKind,
    Service,
)
from arbutustally.gateway.requests import CallerRequest, shape_of
from arbutustally.placement import Observation
from arbutustally_node.caller_watch import CallerGoneError, CallerWatch
from arbutustally_node.gateway.attempt_load import AttemptLoad
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.placer import DEFAULT_RETRY_S, Placed, Placer
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.request_services import RequestServices, Trace
from arbutustally_node.gateway.stream_relay import RelayEnd, StreamRelay
from arbutustally_node.gateway.transport import OTHER_ENDPOINT, OTHER_WEIGHTS, Attempt

#: Longest wait for the first byte at one endpoint where another one may be tried, seconds.
FIRST_BYTE_S = 1.2
#: Time kept for the answer's way to the caller, seconds.
ANSWER_MARGIN_S = 0.01
LEAST_PRIORITY = 9


class RequestRun:
    """The attempts of one request.

    :param account: ``None`` on a public route without a key.
    """

    def __init__(
        self,
        services: RequestServices,
        request: CallerRequest,
        configuration: Configuration,
        route: Route,
        account: ClientAccount | None,
        connection: CallerConnection,
        watch: CallerWatch,
        trace: Trace,
    ) -> None:
        self._services = services
        self._request = request
        self._route = route
        self._account = account
        self._connection = connection
        self._watch = watch
        self._trace = trace
        limit = route.timeout_s
        if request.time_left_s is not None:
            limit = min(limit, request.time_left_s)
        self._deadline = request.arrived_at + limit - ANSWER_MARGIN_S
        self._ran = 0
        self._sends = 0
        self._has_repeat = False
        self._saved_to: Service | None = None
        self._relay: StreamRelay | None = None
        self._placer = Placer(services, request, configuration, route, account, trace)

    @property
    def left_s(self) -> float:
        """Returns the time until the caller or the route gives up."""
        return self._deadline - self._services.clock()

    def serve(self) -> None:
        """Sends the request until it is answered or given up.

        :raises RouterError: if it is given up before the head of an answer was written.
        """
        cost = self._take_cost()
        self._services.repeats.requested(self._placer.service.name)
        try:
            self._attempts()
        except RouterError as error:
            if self._account and error.ran is Ran.NOT_RUN:
                self._services.quota.give_back(self._account.name, cost)
            raise

    def _take_cost(self) -> float:
        """Takes what the request costs from the account's rate.

        :raises RateLimitedError: if the account has used its rate and burst.
        """
        if self._account is None:
            return 0.0
        quota = self._services.quota
        cost = self._account.cost(self._request.tokens)
        wait = quota.take(self._account.name, cost)
        if wait is not None:
            self._trace.facts.update(cost=cost, level=round(quota.level(self._account.name)))
            raise RateLimitedError("the account has used its rate", retry_after_s=round(wait, 3))
        return cost

    def _attempts(self) -> None:
        while True:
            placed = self._placer.place(self.left_s, self._ran > 0)
            attempt = self._attempt(placed)
            following = after(self._route, attempt.outcome, self._ran, self._sends, self.left_s)
            if following is Next.REPEAT and not self._use_repeat():
                self._trace.facts["repeat_budget"] = "used"
                is_not_run = attempt.outcome is Outcome.NOT_RUN and self._ran == 0
                following = Next.REFUSE if is_not_run else Next.FAIL
            if following is Next.REPEAT:
                if attempt.response is not None:
                    attempt.response.close()
                continue
            self._finish(following, attempt)
            return

    def _reserve_repeat(self) -> bool:
        """Takes a repeat from the budget for the next attempt, unless one is kept for it."""
        self._has_repeat = self._has_repeat or self._services.repeats.take(
            self._placer.service.name
        )
        return self._has_repeat

    def _use_repeat(self) -> bool:
        """Returns whether the budget allows the next attempt."""
        is_allowed = self._reserve_repeat()
        self._has_repeat = False
        return is_allowed

    def _finish(self, following: Next, attempt: Attempt) -> None:
        if following is Next.DELIVER:
            self._trace.outcome = "answered"
            self._trace.status = attempt.status
            return
        if following is Next.REFUSE:
            wait = retry_after_s(DEFAULT_RETRY_S, self.left_s, self._services.rng)
            raise OverloadedError(f"not run: {attempt.reason}; retry", retry_after_s=wait)
        if attempt.outcome is Outcome.FAILED and attempt.response is not None:
            self._deliver_whole(attempt)
            self._trace.outcome = "endpoint_failed"
            return
        if self.left_s <= ANSWER_MARGIN_S:
            raise EndpointTimeoutError("no answer in time; it may have run", ran=Ran.MAY_HAVE_RUN)
        raise EndpointFailedError(
            f"the endpoint failed ({attempt.reason}); the request may have run",
            ran=Ran.MAY_HAVE_RUN,
        )

    def _attempt(self, placed: Placed) -> Attempt:
        state = placed.state
        self._sends += 1
        began = self._services.clock()
        if placed.choice is not None:
            self._services.holdings.expect(state.id, placed.cache_scope, self._request.parts)
            self._tell_parts(placed, True)
        load = AttemptLoad(state, self._request, placed.choice, self._route.may_repeat)
        try:
            attempt = self._send(placed)
            self._heed(placed, attempt)
            if attempt.outcome in (Outcome.ANSWERED, Outcome.FAILED):
                self._ran += 1
                if attempt.outcome is Outcome.ANSWERED:
                    attempt = self._pass_on(attempt, placed, load)
            elif attempt.outcome is Outcome.MAY_HAVE_RUN:
                self._ran += 1
        except CallerGoneError:
            self._ran += 1
            self._trace.attempts.append((state.id, "caller_gone", self._since(began)))
            self._services.holdings.unexpect(state.id, placed.cache_scope, self._request.parts)
            raise
        finally:
            load.end()
        self._trace.attempts.append((state.id, attempt.reason, self._since(began)))
        self._learn(placed, attempt, began, load)
        return attempt

    def _heed(self, placed: Placed, attempt: Attempt) -> None:
        """Takes what the endpoint says of itself, before its answer is passed on."""
        if attempt.terms is not None and attempt.reason != OTHER_ENDPOINT:
            self._services.on_notice(placed.state, attempt.terms.notice)

    def _send(self, placed: Placed) -> Attempt:
        left = max(self.left_s, 0.001)
        self._saved_to = self._placer.save_to(placed)
        head_s = FIRST_BYTE_S if self._may_repeat_after_run else None
        terms = AttemptTerms(
            endpoint_id=placed.state.id,
            account=self._account.name if self._account else "",
            left_s=left,
            cache_scope=placed.cache_scope,
            weights=placed.version,
            priority=None if placed.version is None else min(self._urgency(), LEAST_PRIORITY),
            resume_from=self._resume_from(),
            fetch_from=placed.source.address if placed.source else "",
            save_to=self._saved_to.part_store.address if self._saved_to else "",
        )
        return self._services.transport.send(
            self._request,
            placed.state,
            terms,
            head_s,
            self._reserve_repeat,
            self._watch,
            placed.was_tried,
        )

    @property
    def _may_repeat_after_run(self) -> bool:
        """Returns whether another endpoint may be tried although this one may run the request."""
        return self._route.may_repeat and self._ran + 1 < self._route.max_attempts

    def _pass_on(self, attempt: Attempt, placed: Placed, load: AttemptLoad) -> Attempt:
        """Passes an answer on to the caller, as a stream or whole."""
        if self._route.kind is RouteKind.STREAM and attempt.status == 200:
            return self._stream(attempt, placed, load)
        attempt = self._services.transport.read_whole(attempt, self.left_s, self._watch)
        if attempt.outcome is Outcome.ANSWERED:
            self._connection.send_whole(attempt.status, attempt.terms.headers, attempt.body)
        return attempt

    def _deliver_whole(self, attempt: Attempt) -> None:
        """Delivers an endpoint's own failure."""
        status, headers = attempt.status, attempt.terms.headers
        whole = self._services.transport.read_whole(attempt, self.left_s, self._watch)
        if whole.outcome is Outcome.MAY_HAVE_RUN:
            raise EndpointFailedError("the endpoint's answer broke off", ran=Ran.MAY_HAVE_RUN)
        self._trace.status = status
        self._connection.send_whole(status, headers, whole.body)

    def _stream(self, attempt: Attempt, placed: Placed, load: AttemptLoad) -> Attempt:
        if self._relay is None:
            self._relay = StreamRelay(self._connection, attempt.terms.headers, self._services.clock)
        # The attempt whose stream this is has been counted as run.
        may_go_on = self._route.may_repeat and self._ran < self._route.max_attempts
        end = self._relay.run(
            attempt.response,
            self.left_s,
            self._watch,
            load.first_event,
            self._reserve_repeat if may_go_on else None,
        )
        self._trace.facts["gap_ms"] = round(self._relay.longest_gap_s * 1000)
        if end is RelayEnd.COMPLETE:
            return attempt
        self._note_end(end, placed)
        if self._relay.began and not self._route.is_resumable:
            self._connection.abort()
            raise EndpointFailedError(
                f"the stream broke off ({end}); it can't be resumed", ran=Ran.MAY_HAVE_RUN
            )
        return Attempt(Outcome.MAY_HAVE_RUN, str(end), attempt.status)

    def _note_end(self, end: RelayEnd, placed: Placed) -> None:
        """Notes for the decision line why a stream ended early and what was left to do."""
        self._trace.facts.update(
            stream_end=str(end),
            silent_ms=round(self._relay.silent_s * 1000),
            endpoints_left=max(0, self._route.max_attempts - self._ran),
            engine_loading=placed.state.loading,
        )

    def _learn(self, placed: Placed, attempt: Attempt, began: float, load: AttemptLoad) -> None:
        services = self._services
        state = placed.state
        now = services.clock()
        if attempt.outcome is Outcome.ANSWERED:
            services.view.book.answered(state, now - began)
        elif attempt.reason == OTHER_ENDPOINT:
            services.view.book.replaced(state)
            services.log.line("endpoint_replaced", endpoint=state.id, by=attempt.terms.endpoint_id)
        elif attempt.reason == OTHER_WEIGHTS:
            services.on_other_weights(state)
        elif attempt.is_unreachable:
            services.on_unreachable(state)
        elif attempt.outcome is not Outcome.NOT_RUN and services.view.book.failed(state):
            services.log.line(
                "endpoint_avoided", endpoint=state.id, failures=round(state.failures, 1)
            )
        if placed.choice is not None:
            self._learn_engine(placed, attempt, began, load)

    def _learn_engine(
        self, placed: Placed, attempt: Attempt, began: float, load: AttemptLoad
    ) -> None:
        services = self._services
        first_s = load.first_at - began if load.first_at else None
        shape = shape_of(self._request)
        services.placement.learn(
            Observation(
                self._placer.wall,
                self._request.model,
                str(placed.version),
                shape,
                placed.state.id,
                placed.state.entry.incarnation,
                placed.choice.expected_cached_tokens if first_s is not None else None,
                0,
                first_s,
                placed.choice.dispatch,
            )
        )
        if first_s is None:
            services.holdings.unexpect(placed.state.id, placed.cache_scope, self._request.parts)
        else:
            services.instruments.duration("first_event", self._route.name, first_s)
            self._trace.facts["first_ms"] = round(first_s * 1000)
            self._note_parts(placed)
        terms = attempt.terms
        if terms is not None and terms.weights is not None and not terms.is_mismatched:
            known = placed.state.weights
            known[self._request.model] = max(known.get(self._request.model, 0), terms.weights)

    def _note_parts(self, placed: Placed) -> None:
        """Notes, here and for the peers, that an engine has read the prompt's parts."""
        services = self._services
        parts = self._request.parts
        services.holdings.assume(placed.state.id, placed.cache_scope, parts)
        self._tell_parts(placed, False)
        if self._saved_to is not None:
            shared = parts[:-1]
            services.holdings.assume(self._saved_to.name, placed.cache_scope, shared)
            told = [(part.id, part.tokens) for part in shared]
            services.placed.add((self._saved_to.name, placed.cache_scope, told, False))

    def _tell_parts(self, placed: Placed, is_pending: bool) -> None:
        told = [(part.id, part.tokens) for part in self._request.parts]
        self._services.placed.add((placed.state.id, placed.cache_scope, told, is_pending))

    def _urgency(self) -> int:
        account = self._account.priority if self._account else 0
        return account * 3 + self._route.priority

    def _resume_from(self) -> str:
        if self._relay is not None and self._relay.last_id:
            return self._relay.last_id
        return self._request.resume_from

    def _since(self, began: float) -> float:
        return round(self._services.clock() - began, 4)
