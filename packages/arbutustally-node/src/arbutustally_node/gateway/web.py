"""HTTP applications of a node: readiness, caller addresses, metrics, snapshots for peers."""

import contextlib
import resource
import zlib
from collections.abc import Callable
from http.client import LineTooLong
from typing import Any, BinaryIO

import gevent
from bottle import Bottle, HTTPResponse, request, response
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from arbutustally.errors import RouterError
from arbutustally_node.addresses import is_host_address
from arbutustally_node.bounded_call import CallPools, call
from arbutustally_node.gateway.idle_connections import IdleConnections
from arbutustally_node.gateway.snapshot import MAX_SNAPSHOT_BYTES, Snapshot
from arbutustally_node.response_budget import ResponseBudget

SNAPSHOT_PATH = "/snapshot"
#: Timeout for fetching a peer's snapshot, seconds.
SNAPSHOT_TIMEOUT_S = 1.0
BACKLOG = 256
#: Connections of one listener that are served at once; others wait in its backlog.
MAX_CONNECTIONS = 1024
#: Part of the process's descriptors that one listener may use at most, as a divisor.
DESCRIPTOR_DIVISOR = 16
#: Fraction of its connections above which a listener closes each after its next answer.
CROWDED_FRACTION = 0.875
#: Longest request head, bytes, as callers' requests have by default. The standard library alone
#: would keep 100 lines of 64 KiB for each connection.
MAX_HEAD_BYTES = 16384
#: Longest wait for a part of a request, and for a caller that does not read its answer, seconds.
IDLE_TIMEOUT_S = 15.0
#: Longest time from the start of reading a request to the end of its answer, seconds.
REQUEST_TIMEOUT_S = 30.0


class _Server(WSGIServer):
    """A server whose idle connections yield to new ones."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.idle = IdleConnections()
        self._room: Any = None

    @property
    def is_crowded(self) -> bool:
        """Returns whether few places are left for further connections."""
        return len(self.pool) > self.pool.size * CROWDED_FRACTION

    def start(self) -> None:
        """Starts accepting connections."""
        super().start()
        self._room = gevent.spawn(self.idle.keep_room, self.pool)

    def stop(self, timeout: float | None = None) -> None:
        """Stops accepting connections and ends the open ones."""
        if self._room is not None:
            self._room.kill()
        super().stop(timeout)


def serve(address: str, app: Bottle) -> WSGIServer:
    """Starts a server for an application.

    :param address: ``host:port`` to listen on.
    """
    host, _, port = address.rpartition(":")
    server = _Server(
        (host, int(port)),
        app,
        log=None,
        error_log=None,
        backlog=BACKLOG,
        spawn=Pool(_connection_limit()),
        handler_class=_Handler,
    )
    server.start()
    return server


def _connection_limit() -> int:
    descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return max(1, min(MAX_CONNECTIONS, descriptors // DESCRIPTOR_DIVISOR))


class _Handler(WSGIHandler):
    """A connection that ends if its caller stops sending or reading."""

    def handle(self) -> None:
        """Serves the connection until it ends or is idle for too long."""
        self.socket.settimeout(IDLE_TIMEOUT_S)
        sock, caller = self.socket, self.client_address[0]
        try:
            with self.server.idle.connected(caller):
                super().handle()
        finally:
            self.server.idle.end(sock)

    def handle_one_request(self) -> Any:
        """Serves one request, or closes the connection if that takes too long."""
        with contextlib.suppress(TimeoutError), gevent.Timeout(REQUEST_TIMEOUT_S, False):
            return super().handle_one_request()
        return None

    def read_requestline(self) -> str:
        """Returns the first line of a request; the connection is idle until it arrives."""
        self.server.idle.begin(self.socket, self.client_address[0])
        try:
            return super().read_requestline()
        finally:
            self.server.idle.end(self.socket)

    def finalize_headers(self) -> None:
        """Announces the end of the connection if others need its place."""
        if self.server.is_crowded:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def read_request(self, raw_requestline: str) -> Any:
        """Reads a head; a late one is refused without the traceback of a fault.

        :raises ValueError: if the head does not arrive.
        """
        try:
            return super().read_request(raw_requestline)
        except TimeoutError:
            raise ValueError("the request head did not arrive in time") from None

    def MessageClass(self, file: BinaryIO, *arguments: Any) -> Any:  # noqa: N802
        """Returns the header fields of a head; a longer one than ``MAX_HEAD_BYTES`` is refused."""
        left = MAX_HEAD_BYTES - len(self.requestline)
        return super().MessageClass(_BoundedLines(file, left), *arguments)


class _BoundedLines:
    """Lines of one request head.

    :param left: bytes that they may have together.
    """

    def __init__(self, file: BinaryIO, left: int) -> None:
        self._file = file
        self._left = left

    def readline(self, limit: int) -> bytes:
        """Returns the next line.

        :raises LineTooLong: if the head is too long.
        """
        line = self._file.readline(min(limit, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            raise LineTooLong("request head")
        return line


def ready_app(path: str, is_ready: Callable[[], bool]) -> Bottle:
    """Returns an application that answers 200 while the node is ready and 503 otherwise."""
    app = Bottle()

    @app.get(path)
    def ready() -> HTTPResponse:
        return HTTPResponse(status=200 if is_ready() else 503)

    return app


def directory_app(path: str, answer: Callable[[str], bytes | None]) -> Bottle:
    """Returns an application that serves the node addresses that callers should use.

    :param answer: returns the response body for a caller's zone, ``None`` if there is no address.
    """
    app = Bottle()

    @app.get(path)
    def addresses() -> Any:
        body = answer(request.query.get("zone", ""))
        if body is None:
            return HTTPResponse(status=503, headers={"Retry-After": "1"})
        response.content_type = "application/json"
        return body

    return app


def metrics_app(text: Callable[[], str]) -> Bottle:
    """Returns an application that serves counters and histograms as text."""
    app = Bottle()

    @app.get("/metrics")
    def metrics() -> str:
        response.content_type = "text/plain"
        return text()

    return app


def snapshot_app(take: Callable[[], Snapshot]) -> Bottle:
    """Returns an application that serves this node's documents to peers without store access."""
    app = Bottle()

    @app.get(SNAPSHOT_PATH)
    def snapshot() -> bytes:
        response.content_type = "application/cbor"
        return take().encode()

    return app


def fetch_snapshot(address: str) -> Snapshot | None:
    """Fetches the documents of a peer; returns ``None`` if it provides none."""
    if not is_host_address(address):
        return None
    pools = CallPools(SNAPSHOT_TIMEOUT_S, SNAPSHOT_TIMEOUT_S)
    try:
        answer = call(
            pools,
            address,
            "GET",
            SNAPSHOT_PATH,
            max_bytes=MAX_SNAPSHOT_BYTES,
            total_s=SNAPSHOT_TIMEOUT_S,
            budget=ResponseBudget(MAX_SNAPSHOT_BYTES),
        )
        return Snapshot.decode(answer.body) if answer.status == 200 else None
    except (RouterError, zlib.error, ValueError):
        return None
    finally:
        pools.stop()
