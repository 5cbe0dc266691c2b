"""Runs one request: sends, retries and hedges it until it is answered or fails.

An attempt sends the request to one endpoint. A hedge is an attempt that is sent to another endpoint
while the first one is silent.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from arbutustally.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    OverloadedError,
    Ran,
    RouterError,
)
from arbutustally.gateway.admission import retry_after_s
from arbutustally.gateway.attempts import Next, Outcome, next_action
from arbutustally.gateway.configuration import (
    ClientAccount,
    Configuration,
    Route,
    RouteKind,
)
from arbutustally.gateway.part_keys import shared_part_keys
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.caller_watch import CallerWatch
from arbutustally_node.gateway.answer_delivery import AnswerDelivery
from arbutustally_node.gateway.attempt_record import reason_to_withdraw
from arbutustally_node.gateway.attempt_sender import AttemptSender
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.hedge import STREAM_TAKEOVER_S, HedgeController
from arbutustally_node.gateway.learning import PlacedAttempt
from arbutustally_node.gateway.placer import DEFAULT_RETRY_S, Placer
from arbutustally_node.gateway.request_admission import admit, take_cost
from arbutustally_node.gateway.request_attempts import RequestAttempts
from arbutustally_node.gateway.request_hedge import HEDGE_DELAY_S, RequestHedge
from arbutustally_node.gateway.request_services import RequestServices, Trace
from arbutustally_node.gateway.transport import AttemptResult

#: Part of the deadline reserved for sending the response to the caller, seconds.
ANSWER_MARGIN_S = 0.01


class RequestRun:
    """Runs the attempts of one request and passes a response on to the caller.

    :param account: client account, ``None`` on a public route without a key.
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
        self._watch = watch
        self._trace = trace
        self._deadline = request.latest_end(route.timeout_s) - ANSWER_MARGIN_S
        self._placer = Placer(services, request, configuration, route, account, trace)
        self._shared_parts = shared_part_keys(request) if request.model else ()
        self._delivery = AnswerDelivery(
            services, request, route, connection, watch, trace, lambda: self.left_s
        )
        self._sender = AttemptSender(
            services, request, route, account, self._delivery, lambda: self.left_s
        )
        self._attempts = RequestAttempts(
            services,
            request,
            route,
            self._placer,
            self._delivery,
            self._shared_parts,
            trace,
        )
        self._hedge = RequestHedge(
            services,
            watch,
            self._placer,
            self._delivery,
            self._sender,
            self._attempts,
            lambda: self.left_s,
        )

    @property
    def left_s(self) -> float:
        """Returns the time until the deadline of the caller or of the route, seconds."""
        return self._deadline - self._services.clock()

    def serve(self) -> None:
        """Sends the request until it is answered or fails.

        :raises RouterError: if it fails; part of a streamed response may have been written.
        """
        admit(self._services, self._shared_parts, self._trace)
        cost = take_cost(self._services, self._account, self._request, self._trace)
        self._services.repeats.record_request(self._placer.service.name)
        try:
            self._run_attempts()
        except RouterError as error:
            if self._account and error.ran is Ran.NOT_RUN:
                self._services.quota.refund(self._account.name, cost)
            raise
        finally:
            self._hedge.cancel()

    def _run_attempts(self) -> None:
        while True:
            attempt = self._hedge.take_answered() or self._attempts.begin(
                self._placer.place(self.left_s, self._attempts.ran > 0)
            )
            result = self._complete(attempt)
            if result.outcome is not Outcome.ANSWERED and self._hedge.await_answer():
                result.drop()
                continue
            following = self._following(result)
            if following is not Next.REPEAT:
                self._finish(following, result)
                return
            result.drop()

    def _following(self, result: AttemptResult) -> Next:
        """Returns what follows an attempt; takes a repeat from the budget if it is a repeat."""
        # A hedge without a response counts, as its endpoint may be running the request.
        ran = self._attempts.ran + (self._attempts.hedge is not None)
        following = next_action(self._route, result.outcome, ran, self._attempts.sends, self.left_s)
        if following is not Next.REPEAT:
            return following
        if not self._delivery.is_resumable:
            return Next.FAIL
        if not self._attempts.may_run_again():
            self._trace.facts["quarantine"] = "no_repeat"
        elif not self._take_repeat():
            self._trace.facts["repeat_budget"] = "used"
        else:
            return Next.REPEAT
        is_not_run = result.outcome is Outcome.NOT_RUN and ran == 0
        return Next.REFUSE if is_not_run else Next.FAIL

    def _take_repeat(self) -> bool:
        return self._services.repeats.take(self._placer.service.name)

    def _finish(self, following: Next, result: AttemptResult) -> None:
        if following is Next.DELIVER:
            self._trace.outcome = "answered"
            self._trace.status = result.status
            return
        if following is Next.REFUSE:
            wait = retry_after_s(DEFAULT_RETRY_S, self.left_s, self._services.rng)
            raise OverloadedError(f"not run: {result.reason}; retry", retry_after_s=wait)
        if result.outcome is Outcome.FAILED and result.response is not None:
            self._delivery.deliver_error(result)
            self._trace.outcome = "endpoint_failed"
            return
        if self.left_s <= ANSWER_MARGIN_S:
            raise EndpointTimeoutError("no answer in time; it may have run", ran=Ran.MAY_HAVE_RUN)
        raise EndpointFailedError(
            f"the endpoint failed ({result.reason}); the request may have run",
            ran=Ran.MAY_HAVE_RUN,
        )

    def _complete(self, attempt: PlacedAttempt) -> AttemptResult:
        """Sends the request, passes the response on and records the result.

        An answered hedge already has a result and is not sent again.
        """
        hedging = self._create_hedging(attempt)
        self._attempts.current = attempt
        waiting = self._sender.await_begin(attempt, hedging)
        try:
            if attempt.result is None:
                attempt.result = self._sender.send(attempt, self._watching(hedging))
            if waiting is not None and not self._delivery.is_stream(attempt.result):
                waiting.end()
            if attempt.result.outcome is not Outcome.NOT_RUN:
                self._attempts.ran += 1
            if attempt.result.outcome is Outcome.ANSWERED:
                attempt.result = self._pass_on(attempt, hedging)
        except BaseException as error:
            if attempt.result is None:
                self._attempts.ran += 1
            self._attempts.withdraw(attempt, reason_to_withdraw(error))
            raise
        finally:
            attempt.load.end()
            if waiting is not None:
                waiting.end()
        self._attempts.end(attempt)
        return attempt.result

    def _pass_on(self, attempt: PlacedAttempt, hedging: HedgeController) -> AttemptResult:
        return self._delivery.pass_on(
            attempt,
            hedging,
            lambda: self._watching(hedging),
            lambda: max(0, self._route.max_attempts - self._attempts.ran),
        )

    def _create_hedging(self, attempt: PlacedAttempt) -> HedgeController:
        is_stream = self._route.kind is RouteKind.STREAM
        return HedgeController(
            attempt.placed.state,
            self._services.clock,
            self._services.on_silent,
            self._hedge.start,
            self._hedge.cancel,
            takeover_s=STREAM_TAKEOVER_S if is_stream else None,
        )

    @contextmanager
    def _watching(self, hedging: HedgeController) -> Iterator[None]:
        with self._watch, hedging.watch(HEDGE_DELAY_S):
            yield
