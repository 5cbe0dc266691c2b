"""Handler for callers' requests: finds route and account, runs the attempts and reports errors."""

import traceback

from arbutustally.errors import (
    DrainingError,
    EndpointFailedError,
    EndpointTimeoutError,
    NoConfigurationError,
    Ran,
    RouterError,
)
from arbutustally.gateway.configuration import Route
from arbutustally.gateway.requests import CallerRequest
from arbutustally.gateway.stop_plan import StopPlan
from arbutustally_node.caller_watch import CallerGoneError, CallerWatch, NodeStoppingError
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.placer import DEFAULT_RETRY_S
from arbutustally_node.gateway.request_run import RequestRun
from arbutustally_node.gateway.request_services import RequestServices, Trace

#: Retry delay suggested to callers that only have to use another node, seconds.
OTHER_NODE_RETRY_S = 0.02


class RequestHandler:
    """Serves all requests of a node.

    :param services: services that the requests share.
    """

    def __init__(self, services: RequestServices) -> None:
        self._services = services
        self._stop_plan: StopPlan | None = None

    def plan_stop(self, plan: StopPlan) -> None:
        """Takes from now on only the requests that the plan of the node's stop allows."""
        self._stop_plan = plan

    def serve(
        self, request: CallerRequest, connection: CallerConnection, watch: CallerWatch
    ) -> None:
        """Answers one request.

        :param request: the decoded request.
        :param connection: receives the response.
        :param watch: detects that the caller disconnects.
        """
        trace = Trace(request.request_id)
        try:
            self._serve(request, connection, watch, trace)
        except CallerGoneError:
            trace.outcome = "caller_gone"
            connection.keep = False
        except NodeStoppingError:
            stopping = EndpointTimeoutError(
                "the node stops before the endpoint has answered; it may have run",
                ran=Ran.MAY_HAVE_RUN,
            )
            self._refuse(connection, stopping, trace)
            trace.outcome = "node_stopping"
        except OSError as error:
            trace.outcome = "caller_unwritable"
            trace.facts["error"] = type(error).__name__
            connection.abort()
        except RouterError as error:
            self._refuse(connection, error, trace)
        except Exception as error:
            # A bug in this program: the caller receives an error and the log a traceback.
            self._services.log.line(
                "fault", id=request.request_id, error=traceback.format_exc(limit=-4)
            )
            failed = EndpointFailedError(
                f"internal error {type(error).__name__}; report it", ran=Ran.MAY_HAVE_RUN
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
        configuration = self._services.view.configuration
        if configuration is None or not self._services.is_complete():
            raise NoConfigurationError("the node is starting; retry", retry_after_s=DEFAULT_RETRY_S)
        route = configuration.route_of(request.host, request.path)
        trace.route = route.name
        self._check_stop(request, route, trace)
        account = configuration.account_of(route, request.key)
        trace.account = account.name if account else ""
        trace.facts["config"] = configuration.version
        trace.facts["target_ms"] = round(route.target_s * 1000)
        run = RequestRun(
            self._services, request, configuration, route, account, connection, watch, trace
        )
        run.serve()

    def _check_stop(self, request: CallerRequest, route: Route, trace: Trace) -> None:
        """Rejects a request that may last longer than a node that is being stopped.

        :raises DrainingError: if its caller has to use another node.
        """
        plan, now = self._stop_plan, self._services.clock()
        if plan is None:
            return
        trace.facts["stop_ms"] = round((now - plan.signalled_at) * 1000)
        if not plan.takes(now, request.latest_end(route.timeout_s)):
            raise DrainingError(
                "not run: the node is shutting down; use another", retry_after_s=OTHER_NODE_RETRY_S
            )

    def _refuse(self, connection: CallerConnection, error: RouterError, trace: Trace) -> None:
        trace.outcome = error.code
        trace.status = error.status
        if connection.began:
            trace.facts["is_cut"] = True
            self._services.instruments.count("cut_answers", trace.facts.get("stream_end", ""))
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
        took = self._services.clock() - request.arrived_at
        self._services.instruments.count("requests", trace.outcome)
        self._services.instruments.duration("request", trace.route, took)
        for attempt in trace.attempts:
            self._services.instruments.count("attempts", attempt.reason)
        self._services.log.line(
            "request",
            id=trace.request_id,
            route=trace.route,
            account=trace.account,
            outcome=trace.outcome,
            status=trace.status,
            took_ms=round(took * 1000, 1),
            attempts=[tuple(attempt) for attempt in trace.attempts],
            **trace.facts,
        )
