"""HTTP listener for callers: reads each request completely, then calls the request handler."""

import contextlib
import resource
import socket
from collections.abc import Callable
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer

from arbutustally.clock import monotonic
from arbutustally.errors import BadRequestError, RouterError
from arbutustally.gateway.configuration import CallerLimits
from arbutustally.gateway.memory_account import MemoryAccount
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.caller_watch import CallerGoneError, CallerWatch
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.connection_memory import ConnectionMemory
from arbutustally_node.gateway.idle_connections import IdleConnections
from arbutustally_node.gateway.ports import HttpCodec
from arbutustally_node.gateway.receive_queues import QueueSizes, ReceiveQueues
from arbutustally_node.gateway.running_requests import RunningRequests
from arbutustally_node.http_body import RequestReader
from arbutustally_node.http_head import RequestHead

BACKLOG = 1024
MAX_CONNECTIONS = 3000
#: Descriptors that connections of callers leave for the store, peers, endpoints and operators.
RESERVED_DESCRIPTORS = 512
#: Fraction of the descriptors that callers may use if fewer than twice the reserved ones exist.
DESCRIPTOR_FRACTION = 0.5
#: Fraction of the descriptors that are reserved, and that running requests always may use, if few
#: exist.
LEAST_RESERVED_FRACTION = 0.25
LEAST_RUNNING_FRACTION = 0.125
#: Fraction of the reserved descriptors for requests of callers that have few others.
FEW_CALLERS_FRACTION = 0.125
#: Longest time to read from a caller that keeps sending after its request was refused, seconds.
LINGER_S = 0.3
#: Longest time to wait until a caller has read an answer that ends with its connection, seconds.
ANSWER_LINGER_S = 2.0

Handler = Callable[[CallerRequest, CallerConnection, CallerWatch], None]


class CallerListener:
    """Accepts connections of callers and serves the requests on each one after another.

    :param address: ``host:port`` to listen on.
    :param codec: decodes requests.
    :param handler: answers a request.
    :param limits: returns the limits in force.
    :param memory: account of the process's memory.
    :param queue_sizes: of the connections' receive queues, ``None`` to leave them to the system.
    :param on_refused: called for each request that is refused as descriptors are few.
    """

    def __init__(
        self,
        address: str,
        codec: HttpCodec,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        memory: MemoryAccount,
        queue_sizes: QueueSizes | None = None,
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._codec = codec
        self._handler = handler
        self._limits = limits
        self._memory = memory
        self._queues = ReceiveQueues(queue_sizes)
        self._pool = Pool(connection_limit())
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=BACKLOG, spawn=self._pool
        )
        self._idle = IdleConnections()
        self._room: Any = None
        self._connections = 0
        self._running = 0
        self._requests = RunningRequests(few_callers_reserve(), on_refused)
        self._watches: set[CallerWatch] = set()
        self._open: set[CallerConnection] = set()
        self._draining = False

    @property
    def address(self) -> tuple[str, int]:
        """Returns the host and port of the listener."""
        return self._server.address[:2]

    @property
    def running(self) -> int:
        """Returns the number of requests being read or answered."""
        return self._running

    @property
    def connections(self) -> int:
        """Returns the number of open connections."""
        return self._connections

    def start(self) -> None:
        """Starts accepting connections."""
        self._server.init_socket()
        self._queues.bound_listener(self._server.socket)
        self._server.start()
        self._room = gevent.spawn(self._idle.keep_room, self._pool)

    def stop(self) -> None:
        """Closes the listening socket; open connections are not affected."""
        self._server.stop_accepting()
        self._server.close()
        if self._room is not None:
            self._room.kill()

    def drain(self) -> None:
        """Closes each connection after its next response."""
        self._draining = True
        for connection in self._open:
            connection.keep = False

    def end_running(self) -> None:
        """Ends the requests that wait for an endpoint; those without an answer get an error."""
        for watch in list(self._watches):
            watch.node_stops()

    def close_idle(self) -> None:
        """Closes the connections on which no request has begun or arrived."""
        self._idle.close_all()

    def _serve(self, sock: Any, address: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limits = self._limits()
        caller = address[0] if address else ""
        memory = ConnectionMemory(self._memory, caller)
        self._queues.bound_accepted(sock, self._connections)
        reader = RequestReader(
            sock,
            monotonic,
            memory,
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.idle_timeout_s,
            limits.header_timeout_s,
            memory.is_too_slow,
            lambda: self._queues.widen(sock),
        )
        self._connections += 1
        try:
            with self._idle.connected(caller):
                while self._serve_one(sock, reader, memory, caller):
                    continue
        except (OSError, gevent.Timeout, CallerGoneError):
            return
        finally:
            self._connections -= 1
            self._queues.forget(sock)
            memory.close()
            sock.close()

    def _serve_one(
        self, sock: Any, reader: RequestReader, memory: ConnectionMemory, caller: str
    ) -> bool:
        connection = CallerConnection(sock, not self._draining, memory)
        self._open.add(connection)
        try:
            return self._serve_on(connection, sock, reader, caller)
        finally:
            self._open.discard(connection)

    def _serve_on(
        self, connection: CallerConnection, sock: Any, reader: RequestReader, caller: str
    ) -> bool:
        """Serves one request; returns whether the connection is kept for another one."""
        try:
            with connection.memory.reading():
                head = self._read_head(sock, reader, caller)
        except RouterError as error:
            reader.close()
            _refuse(sock, connection, error)
            return False
        if head is None:
            return False
        connection.is_head_only = head.method == b"HEAD"
        # From here on, a shutdown of the node waits for the request.
        self._running += 1
        try:
            is_kept = self._serve_request(sock, reader, head, connection, caller)
        finally:
            self._running -= 1
        if connection.ends_answer:
            _linger(sock, ANSWER_LINGER_S)
        return is_kept

    def _serve_request(
        self,
        sock: Any,
        reader: RequestReader,
        head: RequestHead,
        connection: CallerConnection,
        caller: str,
    ) -> bool:
        with contextlib.ExitStack() as place:
            try:
                with connection.memory.reading():
                    request = self._read_rest(sock, reader, head)
                limit = running_limit(self._connections)
                place.enter_context(self._requests.running(caller, limit))
            except RouterError as error:
                reader.close()
                _refuse(sock, connection, error)
                return False
            self._handle(sock, reader, request, connection)
        return connection.keep

    def _handle(
        self,
        sock: Any,
        reader: RequestReader,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> None:
        watch = CallerWatch(sock)
        self._watches.add(watch)
        try:
            self._handler(request, connection, watch)
        finally:
            self._watches.discard(watch)
            watch.stop()
            request.release_body()
            connection.memory.end_request()
            reader.release()

    def _read_head(self, sock: Any, reader: RequestReader, caller: str) -> RequestHead | None:
        self._idle.begin(sock, caller)
        self._apply_limits(reader)
        try:
            # The configuration may change while the connection is idle.
            return reader.read_head(lambda: self._begin(sock, reader, caller))
        finally:
            self._idle.end(sock)

    def _begin(self, sock: Any, reader: RequestReader, caller: str) -> None:
        """Notes that a request has begun on a connection."""
        self._idle.begin(sock, caller)
        self._apply_limits(reader)

    def _apply_limits(self, reader: RequestReader) -> None:
        limits = self._limits()
        reader.set_limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.idle_timeout_s,
            limits.header_timeout_s,
        )

    def _read_rest(self, sock: Any, reader: RequestReader, head: RequestHead) -> CallerRequest:
        arrived_at = monotonic()
        if head.expects_continue:
            sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = reader.read_body(head)
        if head.minor == 0:
            raise BadRequestError("HTTP/1.0 is not supported; send HTTP/1.1")
        return self._codec.decode_request(head, body, arrived_at)


def connection_limit() -> int:
    """Returns the number of connections that callers may have at once."""
    descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    left = max(descriptors - RESERVED_DESCRIPTORS, int(descriptors * DESCRIPTOR_FRACTION))
    return min(MAX_CONNECTIONS, left)


def running_limit(connections: int) -> float:
    """Returns the number of requests that may run at once.

    Each may need a connection to an endpoint besides that of its caller.

    :param connections: open connections of callers.
    """
    descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return float("inf")
    left = descriptors - _reserved(descriptors) - connections
    return max(left, int(descriptors * LEAST_RUNNING_FRACTION))


def few_callers_reserve() -> int:
    """Returns the number of requests of callers with few that may run beyond that limit."""
    descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return 0
    return int(_reserved(descriptors) * FEW_CALLERS_FRACTION)


def _reserved(descriptors: int) -> int:
    return min(RESERVED_DESCRIPTORS, int(descriptors * LEAST_RESERVED_FRACTION))


def _refuse(sock: Any, connection: CallerConnection, error: RouterError) -> None:
    # The frames of the traceback hold what has arrived, whose memory is released.
    error.with_traceback(None)
    connection.keep = False
    headers = []
    if error.retry_after_s is not None:
        headers.append(("Retry-After", f"{error.retry_after_s:g}"))
    connection.send_whole(error.status, headers, error.message.encode())
    _linger(sock, LINGER_S)


def _linger(sock: Any, longest_s: float) -> None:
    """Discards input until the caller closes: closing with unread data would reset the connection.

    The reset could destroy the response before the caller has read it.
    """
    with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(longest_s):
        sock.settimeout(None)
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(65536):
            continue
