"""One request from its decoded head to the last byte of its answer."""

import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from arbutustally.clock import Clock
from arbutustally.errors import (
    DrainingError,
    EndpointFailedError,
    EndpointTimeoutError,
    NoConfigurationError,
    NoEndpointError,
    OverloadedError,
    Ran,
    RateLimitedError,
    RouterError,
)
from arbutustally.gateway.admission import must_reject, retry_after_s
from arbutustally.gateway.attempts import Next, Outcome, RepeatLedger, after
from arbutustally.gateway.choice import (
    PartSource,
    best_source,
    choose_engine,
    choose_plain,
    expected_wait_s,
    must_save,
    weights_to_use,
)
from arbutustally.gateway.configuration import (
    ClientAccount,
    Configuration,
    Route,
    RouteKind,
    Service,
)
from arbutustally.gateway.endpoints import EndpointState
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.quota import QuotaLedger
from arbutustally.gateway.requests import CallerRequest, shape_of
from arbutustally.placement import Choice, Observation, Placement
from arbutustally.rendezvous import unit
from arbutustally_node.caller_watch import CallerGoneError, CallerWatch
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.stream_relay import RelayEnd, StreamRelay
from arbutustally_node.gateway.transport import OTHER_ENDPOINT, OTHER_WEIGHTS, Attempt, Transport

#: Return of callers where nothing tells when a request can be served, seconds.
DEFAULT_RETRY_S = 0.25
#: Return of callers that only need another node, seconds.
ELSEWHERE_S = 0.02
#: Time before the bound on old weights at which they are no longer used, seconds.
WEIGHTS_MARGIN_S = 0.8
#: Longest wait for the first byte at one endpoint where another one may be tried, seconds.
FIRST_BYTE_S = 1.2
#: Time kept for the answer's way to the caller, seconds.
ANSWER_MARGIN_S = 0.01
LEAST_PRIORITY = 9
#: Part of a route's target that a request waits for engines with new weights.
BEARABLE_PART = 0.3


@dataclass
class Trace:
    """What happened to one request, for its decision line.

    :ivar attempts: endpoint, reason and seconds of each attempt.
    """

    request_id: str
    route: str = ""
    account: str = ""
    outcome: str = ""
    status: int = 0
    attempts: list[tuple[str, str, float]] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)


@dataclass
class Placed:
    """Where an attempt goes.

    :ivar choice: placement's choice, ``None`` for a plain service.
    :ivar version: weights that it runs on, ``None`` for a plain service.
    :ivar cache_scope: scope of the cached parts that it may use.
    :ivar source: place from which the engine fetches parts that it lacks.
    """

    state: EndpointState
    choice: Choice | None = None
    version: int | None = None
    cache_scope: str = ""
    source: PartSource | None = None


class Exchange:
    """Serves requests; one object for all of a node.

    :param zone: of the node; endpoints there go first among equals.
    :param weights_s: after this time no request may begin on weights older than those named.
    :param on_other_weights: called for an engine that has other weights than expected.
    :param on_unreachable: called for an endpoint to which no connection could be made.
    """

    def __init__(
        self,
        view: FleetView,
        transport: Transport,
        placement: Placement,
        holdings: Holdings,
        quota: QuotaLedger,
        repeats: RepeatLedger,
        log: DecisionLog,
        instruments: Instruments,
        clock: Clock,
        rng: Random,
        zone: str,
        weights_s: float,
        on_other_weights: Callable[[EndpointState], None],
        on_unreachable: Callable[[EndpointState], None],
    ) -> None:
        self._view = view
        self._transport = transport
        self._placement = placement
        self._quota = quota
        self._repeats = repeats
        self._log = log
        self._instruments = instruments
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._weights_s = weights_s
        self._on_other_weights = on_other_weights
        self._on_unreachable = on_unreachable
        self._holdings = holdings
        self._is_refusing = False
        self.placed_lately: list[tuple[str, str, list[tuple[str, int]], bool]] = []

    def refuse_new(self) -> None:
        """Sends callers of new requests elsewhere: the node stops soon."""
        self._is_refusing = True

    def serve(
        self, request: CallerRequest, connection: CallerConnection, watch: CallerWatch
    ) -> None:
        """Answers one request."""
        trace = Trace(request.request_id)
        try:
            self._serve(request, connection, watch, trace)
        except CallerGoneError:
            trace.outcome = "caller_gone"
            connection.keep = False
        except OSError as error:
            trace.outcome = "caller_unwritable"
            trace.facts["error"] = type(error).__name__
            connection.abort()
        except RouterError as error:
            self._refuse(connection, error, trace)
        except Exception as error:
            # A fault of this program; the caller gets an answer and the log its cause.
            self._log.line("fault", id=request.request_id, error=traceback.format_exc(limit=-4))
            failed = EndpointFailedError(
                f"internal fault {type(error).__name__}; report it", ran=Ran.MAY_HAVE_RUN
            )
            self._refuse(connection, failed, trace)
        finally:
            self._record(request, trace)

    def _serve(
        self,
        request: CallerRequest,
        connection: CallerConnection,
        watch: CallerWatch,
        trace: Trace,
    ) -> None:
        if self._is_refusing:
            raise DrainingError("not run: the node stops; use another", retry_after_s=ELSEWHERE_S)
        configuration = self._view.configuration
        if configuration is None or not self._view.is_complete:
            raise NoConfigurationError("no configuration yet; retry", retry_after_s=DEFAULT_RETRY_S)
        route = configuration.route_of(request.host, request.path)
        trace.route = route.name
        account = configuration.account_of(route, request.key)
        trace.account = account.name if account else ""
        trace.facts["config"] = configuration.version
        run = _Run(self, request, configuration, route, account, connection, watch, trace)
        self._within_limit(run)
        run.serve()

    def _within_limit(self, run: "_Run") -> None:
        account = run.account
        if account is None:
            return
        run.cost = account.cost(run.request.tokens)
        wait = self._quota.take(account.name, run.cost)
        if wait is not None:
            run.trace.facts.update(cost=run.cost, level=round(self._quota.level(account.name)))
            raise RateLimitedError("the account has used its rate", retry_after_s=round(wait, 3))

    def _refuse(self, connection: CallerConnection, error: RouterError, trace: Trace) -> None:
        trace.outcome = error.code
        trace.status = error.status
        if connection.began:
            connection.abort()
            return
        headers = [("Content-Type", "text/plain")]
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{error.retry_after_s:g}"))
        try:
            connection.send_whole(error.status, headers, error.message.encode())
        except OSError:
            connection.abort()

    def _record(self, request: CallerRequest, trace: Trace) -> None:
        took = self._clock() - request.arrived_at
        self._instruments.count("requests", trace.outcome)
        self._instruments.duration("request", trace.route, took)
        for _endpoint, reason, _took in trace.attempts:
            self._instruments.count("attempts", reason)
        self._log.line(
            "request",
            id=trace.request_id,
            route=trace.route,
            account=trace.account,
            outcome=trace.outcome,
            status=trace.status,
            took_ms=round(took * 1000, 1),
            attempts=trace.attempts,
            **trace.facts,
        )


class _Run:
    """The attempts of one request."""

    def __init__(
        self,
        exchange: Exchange,
        request: CallerRequest,
        configuration: Configuration,
        route: Route,
        account: ClientAccount | None,
        connection: CallerConnection,
        watch: CallerWatch,
        trace: Trace,
    ) -> None:
        self._exchange = exchange
        self.request = request
        self._configuration = configuration
        self._route = route
        self.account = account
        self._connection = connection
        self._watch = watch
        self.trace = trace
        self.cost = 0.0
        limit = route.timeout_s
        if request.time_left_s is not None:
            limit = min(limit, request.time_left_s)
        self._deadline = request.arrived_at + limit - ANSWER_MARGIN_S
        self._tried: set[str] = set()
        self._ran = 0
        self._sends = 0
        self._relay: StreamRelay | None = None
        self._service = self._pick_service()

    @property
    def left_s(self) -> float:
        """Returns the time until the caller or the route gives up."""
        return self._deadline - self._exchange._clock()

    def serve(self) -> None:
        """Sends the request until it is answered or given up.

        :raises RouterError: if it is given up before the head of an answer was written.
        """
        self._exchange._repeats.requested(self._service.name)
        try:
            self._attempts()
        except RouterError as error:
            if self.account and error.ran is Ran.NOT_RUN:
                self._exchange._quota.give_back(self.account.name, self.cost)
            raise

    def _attempts(self) -> None:
        while True:
            placed = self._place()
            attempt = self._attempt(placed)
            following = after(self._route, attempt.outcome, self._ran, self._sends, self.left_s)
            if following is Next.REPEAT and not self._exchange._repeats.take(self._service.name):
                self.trace.facts["repeat_budget"] = "used"
                is_not_run = attempt.outcome is Outcome.NOT_RUN and self._ran == 0
                following = Next.REFUSE if is_not_run else Next.FAIL
            if following is Next.REPEAT:
                if attempt.response is not None:
                    attempt.response.close()
                continue
            self._finish(following, attempt)
            return

    def _finish(self, following: Next, attempt: Attempt) -> None:
        if following is Next.DELIVER:
            self.trace.outcome = "answered"
            self.trace.status = attempt.status
            return
        if following is Next.REFUSE:
            wait = retry_after_s(DEFAULT_RETRY_S, self.left_s, self._exchange._rng)
            raise OverloadedError(f"not run: {attempt.reason}; retry", retry_after_s=wait)
        if attempt.outcome is Outcome.FAILED and attempt.response is not None:
            self._deliver_whole(attempt)
            self.trace.outcome = "endpoint_failed"
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
        self._tried.add(state.id)
        began = self._exchange._clock()
        if placed.choice is not None:
            self._exchange._holdings.expect(state.id, placed.cache_scope, self.request.parts)
            self._tell_parts(placed, True)
        load = _Load(state, self.request, placed.choice, self._route.may_repeat)
        try:
            attempt = self._send(placed)
            if attempt.outcome in (Outcome.ANSWERED, Outcome.FAILED):
                self._ran += 1
                if attempt.outcome is Outcome.ANSWERED:
                    attempt = self._pass_on(attempt, placed, load)
            elif attempt.outcome is Outcome.MAY_HAVE_RUN:
                self._ran += 1
        except CallerGoneError:
            self._ran += 1
            self.trace.attempts.append((state.id, "caller_gone", self._since(began)))
            raise
        finally:
            load.end()
        self.trace.attempts.append((state.id, attempt.reason, self._since(began)))
        self._learn(placed, attempt, began, load)
        return attempt

    def _send(self, placed: Placed) -> Attempt:
        left = max(self.left_s, 0.001)
        head_s = left
        if self._route.may_repeat and self._ran + 1 < self._route.max_attempts:
            head_s = min(left, FIRST_BYTE_S)
        terms = AttemptTerms(
            endpoint_id=placed.state.id,
            account=self.account.name if self.account else "",
            left_s=left,
            cache_scope=placed.cache_scope,
            weights=placed.version,
            priority=None if placed.version is None else min(self._urgency(), LEAST_PRIORITY),
            resume_from=self._resume_from(),
            fetch_from=placed.source.address if placed.source else "",
            save_to=self._save_to(placed),
        )
        return self._exchange._transport.send(
            self.request, placed.state, terms, head_s, self._watch
        )

    def _pass_on(self, attempt: Attempt, placed: Placed, load: "_Load") -> Attempt:
        """Passes an answer on to the caller, as a stream or whole."""
        if self._route.kind is RouteKind.STREAM and attempt.status == 200:
            return self._stream(attempt, placed, load)
        attempt = self._exchange._transport.read_whole(attempt, self.left_s, self._watch)
        if attempt.outcome is Outcome.ANSWERED:
            self._connection.send_whole(attempt.status, attempt.terms.headers, attempt.body)
        return attempt

    def _deliver_whole(self, attempt: Attempt) -> None:
        """Delivers an endpoint's own failure."""
        status, headers = attempt.status, attempt.terms.headers
        whole = self._exchange._transport.read_whole(attempt, self.left_s, self._watch)
        if whole.outcome is Outcome.MAY_HAVE_RUN:
            raise EndpointFailedError("the endpoint's answer broke off", ran=Ran.MAY_HAVE_RUN)
        self.trace.status = status
        self._connection.send_whole(status, headers, whole.body)

    def _stream(self, attempt: Attempt, placed: Placed, load: "_Load") -> Attempt:
        if self._relay is None:
            self._relay = StreamRelay(
                self._connection, attempt.terms.headers, self._exchange._clock
            )
        end = self._relay.run(
            attempt.response, self.left_s, self._watch, load.first_event, self._route.may_repeat
        )
        if end is RelayEnd.COMPLETE:
            return attempt
        self.trace.facts["stream_end"] = str(end)
        if self._relay.began and not self._route.is_resumable:
            self._connection.abort()
            raise EndpointFailedError(
                f"the stream broke off ({end}); it can't be resumed", ran=Ran.MAY_HAVE_RUN
            )
        return Attempt(Outcome.MAY_HAVE_RUN, str(end), attempt.status)

    def _place(self) -> Placed:
        exchange = self._exchange
        able = exchange._view.book.usable(self._service.name)
        fresh = [state for state in able if state.id not in self._tried]
        able = fresh or able
        if not able:
            raise self._nothing_able("no_endpoint")
        if self._service.engine is None or not self.request.model:
            return Placed(choose_plain(able, exchange._zone, exchange._rng))
        return self._place_at_engine(able)

    def _place_at_engine(self, able: list[EndpointState]) -> Placed:
        exchange = self._exchange
        model = self.request.model
        named = exchange._view.weights.get(model)
        version = named.version if named else 0
        bound_s = exchange._weights_s - WEIGHTS_MARGIN_S
        oldest = named.oldest_allowed(exchange._clock(), bound_s) if named else 0
        needed = (self.request.prompt_tokens or 0) + self.request.output_tokens
        version, able = weights_to_use(
            able,
            model,
            version,
            oldest,
            lambda state: expected_wait_s(exchange._placement, state, needed, self._service),
            self._route.target_s * BEARABLE_PART,
        )
        if not able:
            raise self._nothing_able("no_engine_with_weights")
        scope = f"{version}.{self._wall()}"
        source = best_source(
            exchange._holdings, scope, self.request.parts, able, self._configuration.part_stores
        )
        choice = choose_engine(
            exchange._placement,
            exchange._holdings,
            self.request,
            self._service,
            able,
            version,
            self._wall(),
            scope,
            source.tokens if source else 0,
            self._route.target_s,
        )
        if source is not None and source.tokens <= choice.expected_cached_tokens:
            source = None
        if source is not None:
            self.trace.facts["fetched"] = source.tokens
            self.trace.facts["source"] = source.place
        self.trace.facts["expected_ms"] = round(choice.estimate_s * 1000)
        self.trace.facts["cached"] = choice.expected_cached_tokens
        self.trace.facts["weights"] = version
        if self._sends == 0 and must_reject(choice.estimate_s, self.left_s):
            wait = retry_after_s(choice.estimate_s, self.left_s, exchange._rng)
            raise OverloadedError("not run: engines are behind; retry", retry_after_s=wait)
        state = next(entry for entry in able if entry.id == choice.endpoint)
        return Placed(state, choice, version, scope, source)

    def _nothing_able(self, reason: str) -> RouterError:
        self.trace.facts["nothing_able"] = reason
        if self._ran:
            return EndpointFailedError(
                "the endpoint failed and no other is left", ran=Ran.MAY_HAVE_RUN
            )
        wait = retry_after_s(DEFAULT_RETRY_S, self.left_s, self._exchange._rng)
        return NoEndpointError("not run: no endpoint can take it; retry", retry_after_s=wait)

    def _learn(self, placed: Placed, attempt: Attempt, began: float, load: "_Load") -> None:
        exchange = self._exchange
        state = placed.state
        now = exchange._clock()
        if attempt.outcome is Outcome.ANSWERED:
            exchange._view.book.answered(state, now - began)
        elif attempt.reason == OTHER_ENDPOINT:
            exchange._view.book.replaced(state)
            exchange._log.line("endpoint_replaced", endpoint=state.id, by=attempt.terms.endpoint_id)
        elif attempt.reason == OTHER_WEIGHTS:
            exchange._on_other_weights(state)
        elif attempt.is_unreachable:
            exchange._on_unreachable(state)
        elif attempt.outcome is not Outcome.NOT_RUN and exchange._view.book.failed(state):
            exchange._log.line(
                "endpoint_avoided", endpoint=state.id, failures=round(state.failures, 1)
            )
        if placed.choice is not None:
            self._learn_engine(placed, attempt, began, load)

    def _learn_engine(self, placed: Placed, attempt: Attempt, began: float, load: "_Load") -> None:
        exchange = self._exchange
        first_s = load.first_at - began if load.first_at else None
        shape = shape_of(self.request)
        exchange._placement.learn(
            Observation(
                self._wall(),
                self.request.model,
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
            exchange._holdings.unexpect(placed.state.id, placed.cache_scope, self.request.parts)
        else:
            exchange._instruments.duration("first_event", self._route.name, first_s)
            self._note_parts(placed)
        terms = attempt.terms
        if terms is not None and terms.weights is not None and not terms.is_mismatched:
            known = placed.state.weights
            known[self.request.model] = max(known.get(self.request.model, 0), terms.weights)

    def _pick_service(self) -> Service:
        shares = self._route.shares
        total = sum(share.weight for share in shares) or 1.0
        point = unit(self._route.name.encode(), self.request.request_id) * total
        for share in shares:
            point -= share.weight
            if point < 0:
                break
        service = self._configuration.services.get(share.service)
        if service is None:
            raise NoEndpointError(
                "not run: the route's service is unknown", retry_after_s=DEFAULT_RETRY_S
            )
        return service

    def _wall(self) -> str:
        return self.account.name if self.account and self.account.is_isolated else ""

    def _note_parts(self, placed: Placed) -> None:
        """Notes, here and for the peers, that an engine has read the prompt's parts."""
        exchange = self._exchange
        parts = self.request.parts
        exchange._holdings.assume(placed.state.id, placed.cache_scope, parts)
        self._tell_parts(placed, False)

    def _tell_parts(self, placed: Placed, is_pending: bool) -> None:
        told = [(part.id, part.tokens) for part in self.request.parts]
        self._exchange.placed_lately.append((placed.state.id, placed.cache_scope, told, is_pending))

    def _save_to(self, placed: Placed) -> str:
        """Returns the address of the store that gets the parts, empty for none."""
        stores = self._configuration.part_stores
        if placed.choice is None or not stores:
            return ""
        holdings, parts = self._exchange._holdings, self.request.parts
        if not must_save(holdings, placed.cache_scope, parts, stores[0]):
            return ""
        return stores[0].part_store.address

    def _urgency(self) -> int:
        account = self.account.priority if self.account else 0
        return account * 3 + self._route.priority

    def _resume_from(self) -> str:
        if self._relay is not None and self._relay.last_id:
            return self._relay.last_id
        return self.request.resume_from

    def _since(self, began: float) -> float:
        return round(self._exchange._clock() - began, 4)


class _Load:
    """Counts an attempt at its endpoint while it runs."""

    def __init__(
        self,
        state: EndpointState,
        request: CallerRequest,
        choice: Choice | None,
        may_repeat: bool,
    ) -> None:
        self._state = state
        total = request.prompt_tokens or 0
        self._unread = float(total - choice.expected_cached_tokens) if choice else 0.0
        self._memory = float(total + request.output_tokens) if choice else 0.0
        self._unrepeatable = 0 if may_repeat else 1
        self.first_at = 0.0
        state.running += 1
        state.unrepeatable += self._unrepeatable
        state.prompt_tokens += self._unread
        state.memory_tokens += self._memory

    def first_event(self, now: float) -> None:
        """Notes that the prompt has been read."""
        self.first_at = self.first_at or now
        self._state.prompt_tokens -= self._unread
        self._unread = 0.0

    def end(self) -> None:
        """Takes the attempt off its endpoint."""
        self._state.running -= 1
        self._state.unrepeatable -= self._unrepeatable
        self._state.prompt_tokens -= self._unread
        self._state.memory_tokens -= self._memory
        self._unread = self._memory = 0.0
