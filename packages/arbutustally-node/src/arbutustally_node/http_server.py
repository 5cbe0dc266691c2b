"""HTTP listener: gevent's WSGI server behind strict request checks.

A request reaches the application only after its head was checked and its complete body was
received within the limits, so an application never waits for its caller.
"""

import io
import socket
import uuid
from collections.abc import Callable
from typing import Any

import gevent
import orjson
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from arbutustally.clock import monotonic
from arbutustally.errors import RouterError
from arbutustally.logs import get_logger
from arbutustally.metrics import Counter, Metrics, declare
from arbutustally_node.caller_watch import CallerGoneError
from arbutustally_node.http_body import BodyBudget, RequestReader
from arbutustally_node.listening import listen as open_listener
from arbutustally_node.options import Options

IDLE_TIMEOUT_S = 75.0
#: Longest time a caller may take to accept one write.
WRITE_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4096
#: Time and bytes for which a refused connection is still read, because closing it while the caller
#: is sending would reset it and lose the error response.
LINGER_S = 1.0
LINGER_BYTES = 16 << 20
#: The kernel doubles this value; together with one read of 64 KiB it keeps the data that a node
#: buffers for a slow caller below 256 KiB.
SEND_BUFFER_BYTES = 96 << 10
#: WSGI environment variable with the connected socket.
SOCKET_VARIABLE = "arbutustally.socket"
#: WSGI environment variable with a list of functions that run before the socket can be closed.
ON_END_VARIABLE = "arbutustally.on_end"

BAD_REQUEST = declare(
    "refused.bad_request", "Malformed request; the caller has to correct what it sends."
)
BODY_TOO_LARGE = declare(
    "refused.body_too_large", "Head or body over its bound; raise the bound or send less."
)
SLOW_SENDER = declare(
    "refused.slow_sender", "Request not received in time; check the path to the caller."
)
BODY_BUDGET = declare(
    "refused.body_budget", "All body memory in use; add entry instances or lower max_body_bytes."
)

_COUNTERS: dict[str, Counter] = {
    "bad_request": BAD_REQUEST,
    "body_too_large": BODY_TOO_LARGE,
    "slow_sender": SLOW_SENDER,
    "overloaded": BODY_BUDGET,
}
_REASONS = {400: "Bad Request", 408: "Request Timeout", 413: "Content Too Large"}

Application = Callable[[dict[str, Any], Callable[..., Any]], Any]


def error_body(error: RouterError, request_id: str) -> dict[str, Any]:
    """Returns the JSON form of an error for a caller."""
    fields = {
        "code": error.code,
        "message": error.message,
        "type": "invalid_request_error" if error.status < 500 else "server_error",
        "ran": str(error.ran),
        "retry_after_s": error.retry_after_s,
        "request_id": request_id,
    }
    return {"error": fields}


class _Handler(WSGIHandler):
    """One connection; each request is read completely before gevent's handler processes it."""

    def __init__(self, sock: Any, address: Any, server: "_WsgiServer") -> None:
        super().__init__(sock, address, server, rfile=io.BytesIO())
        self._reader = server.new_reader(sock)
        self._on_end: list[Callable[[], None]] = []

    def handle(self) -> None:
        """Serves the connection until it ends."""
        try:
            super().handle()
        finally:
            # A caller that disconnects inside a body must not keep its part of the budget reserved.
            self._reader.close()

    def handle_one_request(self) -> Any:
        """Reads one request and serves it."""
        try:
            head = self._reader.read_head()
            if head is None:
                return None
            if head.expects_continue:
                self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            body = self._reader.read_body(head)
        except RouterError as error:
            self._refuse(error)
            return None
        except OSError:
            return None
        finally:
            self.socket.settimeout(WRITE_TIMEOUT_S)
        self.rfile = io.BytesIO(head.with_length(len(body)) + body)
        del body
        with self.server.running():
            try:
                result = super().handle_one_request()
            finally:
                self._end_request()
        return None if self.server.draining else result

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket, which an application watches for the caller's disconnect."""
        environ = super().get_environ()
        environ[SOCKET_VARIABLE] = self.socket
        environ[ON_END_VARIABLE] = self._on_end
        return environ

    def _end_request(self) -> None:
        # libev ends the process if a descriptor is closed while a watcher is active on it, so
        # watchers of the application stop here, before the socket can be closed.
        while self._on_end:
            self._on_end.pop()()
        self._reader.release()

    def finalize_headers(self) -> None:
        """Closes the connection after this response if the listener is draining."""
        if self.server.draining:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _sendall(self, data: bytes) -> None:
        """Sends data; most fits into the send buffer, where ``sendall`` costs twice as much."""
        sent = self.socket.send(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])
        self.response_length += len(data)

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Logs an exception of the application instead of printing its traceback to stderr."""
        if isinstance(value, (OSError, gevent.Timeout, CallerGoneError)):
            self.close_connection = True
            return
        self.server.logger.error("request failed", error=kind.__name__, reason=str(value))
        super().handle_error(kind, value, trace)

    def _refuse(self, error: RouterError) -> None:
        self._reader.release()
        self.server.count(error)
        request_id = f"refused~{uuid.uuid4().hex}"
        body = orjson.dumps(error_body(error, request_id))
        reason = _REASONS.get(error.status, "Service Unavailable")
        lines = [
            f"HTTP/1.1 {error.status} {reason}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            f"X-Request-Id: {request_id}",
            "Connection: close",
        ]
        if error.retry_after_s is not None:
            lines.append(f"Retry-After: {max(1, round(error.retry_after_s))}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        try:
            self.socket.settimeout(LINGER_S)
            self.socket.sendall(head + body)
            self._linger()
        except OSError:
            pass

    def _linger(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)
        left = LINGER_BYTES
        with gevent.Timeout(LINGER_S, False):
            while left > 0 and (received := self.socket.recv(65536)):
                left -= len(received)


class _Running:
    """Counts requests in progress."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *_error: Any) -> None:
        self.count -= 1


class _WsgiServer(WSGIServer):
    """gevent's server with the limits of a listener."""

    handler_class = _Handler

    def __init__(
        self, listener: Any, app: Application, options: Options, metrics: Metrics | None
    ) -> None:
        super().__init__(
            listener, app, spawn=Pool(MAX_CONNECTIONS), log=None, error_log=None, environ=None
        )
        self.logger = get_logger("http")
        self.draining = False
        self._options = options
        self._metrics = metrics or Metrics()
        self._budget = BodyBudget()
        self._running = _Running()

    def new_reader(self, sock: Any) -> RequestReader:
        """Returns a reader for a new connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return RequestReader(
            sock,
            monotonic,
            self._budget,
            self._options.max_header_bytes,
            self._options.max_body_bytes,
            IDLE_TIMEOUT_S,
            self._options.body_timeout_s,
        )

    @property
    def buffered_bytes(self) -> int:
        """Returns the bytes of request bodies that are buffered."""
        return self._budget.reserved

    def running(self) -> _Running:
        """Returns the context manager that counts a request as in progress."""
        return self._running

    def count(self, error: RouterError) -> None:
        """Counts a refusal by its code."""
        self._metrics.count(_COUNTERS[error.code])


class Server:
    """A listener that serves until it is stopped."""

    def __init__(self, wsgi: _WsgiServer) -> None:
        self._wsgi = wsgi
        self._address = f"{wsgi.server_host}:{wsgi.server_port}"

    @property
    def address(self) -> str:
        """Returns ``host:port`` with the bound port."""
        return self._address

    @property
    def running(self) -> int:
        """Returns the number of requests in progress."""
        return self._wsgi.running().count

    @property
    def buffered_bytes(self) -> int:
        """Returns the bytes of request bodies that are buffered."""
        return self._wsgi.buffered_bytes

    def drain(self) -> None:
        """Closes each connection after its next response; requests are still served."""
        self._wsgi.draining = True

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._wsgi.stop(timeout=0)


def serve(
    listen: str, app: Application, options: Options, metrics: Metrics | None = None
) -> Server:
    """Starts a listener that serves a WSGI application.

    :param listen: ``host:port``; port 0 selects a free one.
    :param options: gives ``max_body_bytes``, ``max_header_bytes`` and ``body_timeout_s``.
    :param metrics: counts refusals; ``None`` counts them for this listener only.
    :raises OSError: if the address cannot be bound in ``listening.PORT_WAIT_S``.
    """
    # Accepted connections inherit the buffer size of their listener.
    listener = open_listener(listen, SEND_BUFFER_BYTES)
    wsgi = _WsgiServer(listener, app, options, metrics)
    wsgi.start()
    return Server(wsgi)
