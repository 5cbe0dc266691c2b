"""Passing of endpoints' responses on to the caller of one request."""

from collections.abc import Callable
from contextlib import AbstractContextManager

from arbutustally.errors import EndpointFailedError, Ran
from arbutustally.gateway.attempts import Outcome
from arbutustally.gateway.configuration import Route, RouteKind
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.caller_watch import CallerWatch
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.hedge import HedgeController
from arbutustally_node.gateway.learning import PlacedAttempt
from arbutustally_node.gateway.request_services import RequestServices, Trace
from arbutustally_node.gateway.stream_relay import RelayEnd, StreamRelay
from arbutustally_node.gateway.transport import AttemptResult


class AnswerDelivery:
    """Passes the responses of a request's endpoints on to its caller.

    :param left_s: returns the time until the deadline of the caller or of the route, seconds.
    """

    def __init__(
        self,
        services: RequestServices,
        request: CallerRequest,
        route: Route,
        connection: CallerConnection,
        watch: CallerWatch,
        trace: Trace,
        left_s: Callable[[], float],
    ) -> None:
        self._services = services
        self._request = request
        self._route = route
        self._connection = connection
        self._watch = watch
        self._trace = trace
        self._left_s = left_s
        self._relay: StreamRelay | None = None

    @property
    def is_resumable(self) -> bool:
        """Returns whether another endpoint can continue what the caller has received."""
        return self._relay is None or self._relay.is_resumable

    @property
    def resume_from(self) -> str:
        """Returns the id of the last event that the caller has, empty for none."""
        if self._relay is not None and self._relay.last_id:
            return self._relay.last_id
        return self._request.resume_from

    @property
    def resumed_after(self) -> str:
        """Returns the id that the next event must follow, empty for a new stream."""
        return self.resume_from if self._route.is_resumable else ""

    def continuing(self, result: AttemptResult) -> AttemptResult:
        """Returns the result, or a failure if it can't continue a response that has begun.

        Once a part of a stream was sent to the caller, only another stream can continue it.
        """
        has_head = result.outcome in (Outcome.ANSWERED, Outcome.FAILED)
        if not (has_head and self._connection.began):
            return result
        if self.is_stream(result) and self._relay.has_media_type(result.terms.headers):
            return result
        result.drop()
        return AttemptResult(Outcome.MAY_HAVE_RUN, result.reason, result.status, result.terms)

    def pass_on(
        self,
        attempt: PlacedAttempt,
        hedging: HedgeController,
        watching: Callable[[], AbstractContextManager[None]],
        endpoints_left: Callable[[], int],
    ) -> AttemptResult:
        """Passes a response on to the caller, as a stream or with its complete body.

        :param watching: returns the context manager for the wait for a part of a complete body.
        :param endpoints_left: returns the number of further endpoints that the route allows.
        """
        result = attempt.result
        if self.is_stream(result):
            return self._stream(attempt, hedging, endpoints_left)
        if result.response is not None:
            result = self.read_whole(result, watching)
        if result.outcome is Outcome.ANSWERED:
            self._send_whole(result)
        return result

    def read_whole(
        self, result: AttemptResult, watch: Callable[[], AbstractContextManager[None]]
    ) -> AttemptResult:
        """Reads the complete body of a response; each chunk restarts the silence timer.

        :param watch: returns the context manager that interrupts the wait for one chunk, e.g. if
            the endpoint is silent or the caller disconnects.
        """
        return self._services.transport.read_whole(
            result, self._left_s(), watch, self._connection.memory
        )

    def is_stream(self, result: AttemptResult) -> bool:
        """Returns whether a response is a stream of events."""
        return self._route.kind is RouteKind.STREAM and result.status == 200

    def deliver_error(self, result: AttemptResult) -> None:
        """Passes the endpoint's own error response on to the caller."""
        whole = self.read_whole(result, lambda: self._watch)
        if whole.outcome is Outcome.MAY_HAVE_RUN:
            raise EndpointFailedError("endpoint response was incomplete", ran=Ran.MAY_HAVE_RUN)
        self._trace.status = whole.status
        self._send_whole(whole)

    def _send_whole(self, result: AttemptResult) -> None:
        """Passes a response on with a length only if the endpoint marked the end of its body."""
        framing = result.reading.framing
        try:
            self._connection.send_whole(result.status, result.terms.headers, result.body, framing)
        finally:
            # Attempts refer to each other, so the body would stay until the next collection.
            result.body = b""

    def _stream(
        self, attempt: PlacedAttempt, hedging: HedgeController, endpoints_left: Callable[[], int]
    ) -> AttemptResult:
        result = attempt.result
        if self._relay is None:
            self._relay = StreamRelay(
                self._connection, result.terms.headers, self.resumed_after, self._services.clock
            )
        end = self._relay.run(
            result.response, self._left_s(), self._watch, attempt.load.first_event, hedging
        )
        self._trace.facts["gap_ms"] = round(self._relay.longest_gap_s * 1000)
        if end is RelayEnd.COMPLETE:
            return result
        self._record_stream_end(end, attempt, endpoints_left)
        return AttemptResult(Outcome.MAY_HAVE_RUN, str(end), result.status)

    def _record_stream_end(
        self, end: RelayEnd, attempt: PlacedAttempt, endpoints_left: Callable[[], int]
    ) -> None:
        """Adds to the log line why a stream ended early and how many endpoints were left."""
        self._trace.facts.update(
            stream_end=str(end),
            silent_ms=round(self._relay.silent_s * 1000),
            endpoints_left=endpoints_left(),
            engine_loading=attempt.placed.state.loading,
        )
