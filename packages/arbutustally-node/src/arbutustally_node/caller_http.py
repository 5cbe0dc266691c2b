"""HTTP interface for callers; section 14 of the design."""

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import bottle
import orjson

from arbutustally.errors import (
    DrainingError,
    ModelUnknownError,
    NoConfigurationError,
    Ran,
    RouterError,
)
from arbutustally.logs import get_logger
from arbutustally.stream_token import digest_request
from arbutustally_node.caller_routes import find_route, route_unknown
from arbutustally_node.caller_watch import CallerGoneError, CallerWatch
from arbutustally_node.calls import ModelCall, PlainCall
from arbutustally_node.credentials import (
    check_query,
    check_unrevealed,
    forwardable,
    secret_of,
)
from arbutustally_node.explain import Trace
from arbutustally_node.http_server import (
    ON_END_VARIABLE,
    SOCKET_VARIABLE,
    Server,
    error_body,
    serve,
)
from arbutustally_node.kernel import Kernel
from arbutustally_node.model_request import parse_model_request
from arbutustally_node.options import Options
from arbutustally_node.refusals import count_refusal

#: Account under which requests of open routes are accounted.
OPEN_ACCOUNT = "open"

_JSON = "application/json"
_EVENTS = "text/event-stream; charset=utf-8"
_REQUEST_ID = "X-Request-Id"
_EXPLAIN = "X-Arbutustally-Explain"
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

Handler = Callable[[Trace], bottle.HTTPResponse]


class CallerHttp:
    """Serves callers.

    :param kernel: finds ``log``, ``keys``, ``streams``, ``bookings``, ``directory``, ``explain``,
        ``membership`` and ``metrics``.
    """

    def __init__(self, kernel: Kernel, options: Options) -> None:
        self._kernel = kernel
        self._options = options
        self._server: Server | None = None
        self._logger = get_logger("caller_http")
        self._app = self._build()

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "CallerHttp":
        """Builds the service for a node."""
        return cls(kernel, options)

    @property
    def app(self) -> bottle.Bottle:
        """Returns the WSGI application."""
        return self._app

    @property
    def address(self) -> str:
        """Returns the bound address."""
        return self._server.address if self._server else self._options.caller_listen

    @property
    def running(self) -> int:
        """Returns the number of requests in progress."""
        return self._server.running if self._server else 0

    def start(self) -> None:
        """Binds the listener and serves."""
        metrics = self._kernel.lookup("metrics")
        self._server = serve(self._options.caller_listen, self._app, self._options, metrics)

    def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.stop()

    def drain(self) -> None:
        """Closes each connection after its next response; requests are still served."""
        if self._server is not None:
            self._server.drain()

    # Routes.

    def _build(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/healthz", "GET", self._healthz)
        app.route("/readyz", "GET", self._readyz)
        app.route("/entry", "GET", lambda: self._respond("entry", self._entry))
        app.route("/v1/models", "GET", lambda: self._respond("models", self._models))
        app.route("/<_path:path>", _METHODS, lambda _path: self._respond("", self._routed))
        app.route("/", _METHODS, lambda: self._respond("", self._routed))
        app.default_error_handler = self._format_bottle_error
        return app

    def _healthz(self) -> bottle.HTTPResponse:
        return _json(200, {"status": "ok"}, "")

    def _readyz(self) -> bottle.HTTPResponse:
        if self._kernel.lookup("membership").draining:
            return self._error(DrainingError("the node is shutting down; use another node"), "")
        if not self._is_configured():
            return self._error(_no_configuration(), "")
        return _json(200, {"status": "ready"}, "")

    def _entry(self, trace: Trace) -> bottle.HTTPResponse:
        account = self._authenticate(trace, "entry")
        addresses, ttl_s = self._kernel.lookup("directory").entry(account)
        return _json(200, {"addresses": list(addresses), "ttl_s": ttl_s}, trace.request_id)

    def _models(self, trace: Trace) -> bottle.HTTPResponse:
        self._authenticate(trace, "models")
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "arbutustally"}
            for name in sorted(self._declarations().models)
        ]
        return _json(200, {"object": "list", "data": models}, trace.request_id)

    def _routed(self, trace: Trace) -> bottle.HTTPResponse:
        name, route = self._route()
        if route.kind == "model":
            return self._model(trace, name, route)
        return self._plain(trace, name, route)

    def _model(self, trace: Trace, name: str, route: Any) -> bottle.HTTPResponse:
        account = OPEN_ACCOUNT if route.open else self._authenticate(trace, name)
        environ = bottle.request.environ
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        check_unrevealed(secret_of(environ.get("HTTP_AUTHORIZATION", "")), path, body)
        request = parse_model_request(path, body)
        declarations = self._declarations()
        if request.model not in declarations.models:
            raise ModelUnknownError("the model is not declared; see GET /v1/models for the names")
        watch = CallerWatch(environ.get(SOCKET_VARIABLE))
        environ.get(ON_END_VARIABLE, []).append(watch.stop)
        call = ModelCall(
            request_id=trace.request_id,
            account=account,
            route=name,
            class_name=route.class_,
            service=route.service,
            target=declarations.classes[route.class_],
            path=path,
            model=request.model,
            fields=request.fields,
            prompt=request.prompt,
            prompt_bytes=len(body),
            output_tokens=request.output_tokens,
            digest=digest_request(path, body),
            trace=trace,
            watch=watch,
            last_event_id=environ.get("HTTP_LAST_EVENT_ID", "") if request.stream else "",
        )
        streams = self._kernel.lookup("streams")
        if not request.stream:
            return _json(200, streams.complete_whole(call), trace.request_id)
        events = streams.complete(call)
        first = next(events)
        headers = {"Content-Type": _EVENTS, "Cache-Control": "no-cache"}
        headers[_REQUEST_ID] = trace.request_id
        return bottle.HTTPResponse(_EventBody(first, events, self, trace), 200, headers)

    def _plain(self, trace: Trace, name: str, route: Any) -> bottle.HTTPResponse:
        account = OPEN_ACCOUNT if route.open else self._authenticate(trace, name)
        environ = bottle.request.environ
        secret = secret_of(environ.get("HTTP_AUTHORIZATION", ""))
        body = environ["wsgi.input"].read()
        path = bottle.request.urlparts.path
        check_unrevealed(secret, path, body)
        if query := environ.get("QUERY_STRING", ""):
            path = f"{path}?{query}"
        call = PlainCall(
            request_id=trace.request_id,
            account=account,
            route=name,
            service=route.service,
            method=environ["REQUEST_METHOD"],
            path=path,
            headers=forwardable(_headers(environ), secret),
            body=body,
            idempotent=route.idempotent,
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            trace=trace,
        )
        response = self._kernel.lookup("bookings").submit(call)
        headers = dict(response.headers) | {_REQUEST_ID: trace.request_id}
        return bottle.HTTPResponse(response.body, response.status, headers)

    # Code shared by all handlers.

    def _respond(self, name: str, handler: Handler) -> bottle.HTTPResponse:
        explain = self._kernel.lookup("explain")
        trace = explain.begin(explain.new_request_id(), "", name)
        try:
            check_query(bottle.request.environ.get("QUERY_STRING", ""))
            if self._kernel.lookup("membership").draining:
                self.drain()
            if not self._is_configured():
                raise _no_configuration()
            response = handler(trace)
            response.headers.update(self._summary(trace))
            return response
        except RouterError as error:
            self.refuse(trace, error)
            return self._error(error, trace.request_id, self._summary(trace))
        except CallerGoneError:
            trace.note("caller_gone")
            return _json(499, {}, trace.request_id)
        except Exception as error:
            self._logger.error("handler failed", request_id=trace.request_id, exc_info=True)
            failure = _internal(error)
            self.refuse(trace, failure)
            return self._error(failure, trace.request_id)

    def refuse(self, trace: Trace, error: RouterError) -> None:
        """Counts, traces and logs a refusal."""
        count_refusal(self._kernel.lookup("metrics"), error)
        trace.refuse(error)
        self._logger.info(
            "request refused", request_id=trace.request_id, code=error.code, ran=str(error.ran)
        )

    def _authenticate(self, trace: Trace, route: str) -> str:
        header = bottle.request.environ.get("HTTP_AUTHORIZATION", "")
        account = self._kernel.lookup("keys").authenticate(header)
        trace.identify(account, route)
        trace.note("authenticated", account=account, route=route)
        return account

    def _route(self) -> tuple[str, Any]:
        environ = bottle.request.environ
        routes = self._declarations().routes
        return find_route(routes, environ["REQUEST_METHOD"], environ["PATH_INFO"])

    def _is_configured(self) -> bool:
        log = self._kernel.lookup("log")
        return log.ready and log.state.version >= 0

    def _declarations(self) -> Any:
        return self._kernel.lookup("log").state.declarations

    def _summary(self, trace: Trace) -> dict[str, str]:
        if bottle.request.environ.get("HTTP_X_ARBUTUSTALLY_EXPLAIN") != "1":
            return {}
        return {_EXPLAIN: trace.summary()}

    def _error(
        self, error: RouterError, request_id: str, headers: Mapping[str, str] | None = None
    ) -> bottle.HTTPResponse:
        response = _json(error.status, error_body(error, request_id), request_id, headers)
        if error.retry_after_s is not None:
            response.set_header("Retry-After", str(max(1, math.ceil(error.retry_after_s))))
        return response

    def _format_bottle_error(self, result: bottle.HTTPError) -> bytes:
        """Formats errors raised by bottle itself like all other errors of the interface."""
        explain = self._kernel.lookup("explain")
        trace = explain.begin(explain.new_request_id(), "", "")
        error: RouterError = route_unknown()
        if result.status_code >= 500:
            error = _internal(result)
        self.refuse(trace, error)
        result.status = error.status
        result.set_header("Content-Type", _JSON)
        result.set_header(_REQUEST_ID, trace.request_id)
        return orjson.dumps(error_body(error, trace.request_id))


class _EventBody:
    """Body of a streamed response; closing it cancels the stream at the engine."""

    def __init__(
        self, first: bytes, events: Iterator[bytes], service: CallerHttp, trace: Trace
    ) -> None:
        self._events = events
        self._items = self._with_final_error(first)
        self._service = service
        self._trace = trace

    def __iter__(self) -> Iterator[bytes]:
        return self._items

    def close(self) -> None:
        """Ends the stream."""
        self._items.close()
        self._events.close()

    def _with_final_error(self, first: bytes) -> Iterator[bytes]:
        yield first
        try:
            yield from self._events
        except RouterError as error:
            self._service.refuse(self._trace, error)
            yield b"data: %s\n\n" % orjson.dumps(error_body(error, self._trace.request_id))
        except CallerGoneError:
            self._trace.note("caller_gone")


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if content_type := environ.get("CONTENT_TYPE"):
        headers["content-type"] = content_type
    return headers


def _json(
    status: int, data: Any, request_id: str, headers: Mapping[str, str] | None = None
) -> bottle.HTTPResponse:
    fields = {"Content-Type": _JSON} | dict(headers or {})
    if request_id:
        fields[_REQUEST_ID] = request_id
    return bottle.HTTPResponse(orjson.dumps(data), status, fields)


def _no_configuration() -> NoConfigurationError:
    return NoConfigurationError(
        "the node has no configuration yet; use another node or send the request again later",
        retry_after_s=1.0,
    )


def _internal(error: Exception) -> RouterError:
    return RouterError(
        f"internal error of the router ({type(error).__name__}); report it with the request id",
        ran=Ran.MAY_HAVE_RUN,
    )
