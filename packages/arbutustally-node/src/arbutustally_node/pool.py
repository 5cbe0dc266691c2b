"""Connections to endpoints; errors state whether any byte of the request may have been sent."""

import math
import socket
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from arbutustally.bounded_head import BoundedConnection
from arbutustally.clock import monotonic
from arbutustally.engine_client import connection_error
from arbutustally_node.earlier_responses import EarlierRequests, SkippingHead
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.pooled_response import PooledResponse
from arbutustally_node.read_timeouts import ReadTimeouts
from arbutustally_node.socket_close import reset_on_close

#: Header of the product's own interface that states the id of a request and of its response.
REQUEST_ID_HEADER = "X-Request-Id"
IDLE_CONNECTIONS_PER_ENDPOINT = 64
MAX_ENDPOINTS = 512
#: The kernel doubles this value; it bounds the unread data of a stream whose caller is slow.
RECEIVE_BUFFER_BYTES = 64 << 10

#: Time in milliseconds after which a connection with unacknowledged sent data is closed. Without
#: it, a connection to an unreachable peer blocks its request until the caller's deadline.
UNACKNOWLEDGED_MS = 1500
_UNACKNOWLEDGED_LIMIT = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
#: Longest body to which that applies, bytes. With its head it fits in the usual receive buffers.
MAX_LIMITED_BODY_BYTES = 32 << 10

SocketOptions = Sequence[tuple[int, int, int]]

_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (*_UNACKNOWLEDGED_LIMIT, UNACKNOWLEDGED_MS),
]


class ExpiringConnection(BoundedConnection):
    """A connection that is not reused once the endpoint may have closed it.

    :param send_timeout_s: timeout for sending a request, ``None`` for none.
    :param id_header: header that states the id of a request and of its response; copies of the
        responses to earlier requests are then skipped.
    """

    idle_until: float | None = None
    _requests = 0
    _awaits_response = False
    _is_limit_lifted = False

    def __init__(
        self,
        *arguments: Any,
        send_timeout_s: float | None = None,
        id_header: str = "",
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._send_timeout_s = send_timeout_s
        self._earlier = EarlierRequests(id_header)
        self.response_class = partial(SkippingHead, is_copy=self._earlier.has_answer_in)

    @property
    def is_reused(self) -> bool:
        """Returns whether the connection has carried more than one request."""
        return self._requests > 1

    def connect(self) -> None:
        """Opens the connection."""
        self._requests = 0
        self._is_limit_lifted = False
        self._earlier.clear()
        super().connect()

    def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        **options: Any,
    ) -> None:
        """Sends a request, on a new connection if there is none or it has carried the id."""
        headers = headers or {}
        if self._earlier.have_id_of(headers):
            # A copy of the earlier response would pass for the response to this request.
            self.close()
        if self.sock is None:
            self.connect()
        self._earlier.begin(headers)
        self._limit_unacknowledged(len(body or b""))
        # urllib3 has set the connect timeout, which does not bound sending.
        self.timeout = self._send_timeout_s
        self._awaits_response = True
        try:
            super().request(method, url, body, headers, **options)
        finally:
            # The response is read although a part of the request could not be sent.
            self._requests += 1

    def _limit_unacknowledged(self, body_bytes: int) -> None:
        """Lifts the limit on unacknowledged data for a long body, and restores it for others.

        The kernel also applies it to a peer that acknowledges everything but has no room for more,
        and then ends the connection without telling the peer, whose request may be running.
        """
        is_lifted = body_bytes > MAX_LIMITED_BODY_BYTES
        if is_lifted == self._is_limit_lifted:
            return
        self._is_limit_lifted = is_lifted
        for level, name, value in self.socket_options or ():
            if (level, name) == _UNACKNOWLEDGED_LIMIT:
                self.sock.setsockopt(level, name, 0 if is_lifted else value)

    def getresponse(self) -> urllib3.HTTPResponse:
        """Returns the response, whose reader then decides how the connection ends."""
        response = super().getresponse()
        self._awaits_response = False
        return response

    def close(self) -> None:
        """Closes the connection, by a reset while a request may be running.

        After an orderly close, an endpoint is not told before it has read all of the request, and
        one that does not read while it works is not told at all.
        """
        if self._awaits_response and self.sock is not None:
            reset_on_close(self.sock)
        self._awaits_response = False
        super().close()

    @property
    def is_connected(self) -> bool:
        """Returns whether the connection is open and may be used for another request."""
        if self.idle_until is not None and monotonic() >= self.idle_until:
            return False
        return super().is_connected


class EndpointPool(urllib3.HTTPConnectionPool):
    """Connections to one endpoint, on which request targets are sent byte for byte."""

    ConnectionCls = ExpiringConnection

    def _make_request(
        self, conn: ExpiringConnection, method: str, _url: str, *, target: str, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        # ``urlopen`` normalizes its URL, e.g. the case of percent escapes, and passes unknown
        # options on unchanged.
        return super()._make_request(conn, method, target, **options)


class PoolService:
    """urllib3 connection pools by endpoint address.

    :param connect_s: connect timeout.
    :param read_s: read timeout.
    :param socket_options: options set on each socket.
    :param id_header: as for ``ExpiringConnection``.
    """

    def __init__(
        self,
        connect_s: float,
        read_s: float,
        socket_options: SocketOptions = _SOCKET_OPTIONS,
        id_header: str = "",
    ) -> None:
        self._id_header = id_header
        self._socket_options = socket_options
        self._connect_s = connect_s
        self._read_s = read_s
        self._read_timeouts = ReadTimeouts(monotonic, read_s)
        self._pools: OrderedDict[str, urllib3.HTTPConnectionPool] = OrderedDict()

    @classmethod
    def from_config(cls, _kernel: Kernel, options: Options) -> "PoolService":
        """Builds the service for a node."""
        return cls(
            options.endpoint_connect_timeout_s,
            options.endpoint_read_timeout_s,
            id_header=REQUEST_ID_HEADER,
        )

    def start(self) -> None:
        """Does nothing; connections are opened on demand."""

    def stop(self) -> None:
        """Closes idle connections."""
        self._read_timeouts.stop()
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def open(
        self,
        endpoint: Any,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout_s: float = 0.0,
        fresh: bool = False,
    ) -> PooledResponse:
        """Sends a request and returns the response with its body unread.

        :param endpoint: ``EndpointState``; its ``address`` is used.
        :param path: request target, sent byte for byte; ASCII without spaces.
        :param timeout_s: timeout for the response head, 0 for the read timeout of the pool.
        :param fresh: use a new connection. An idle one may have been closed by the endpoint, and
            then it is unknown whether the endpoint read the request.
        :raises EndpointFailedError: ``NOT_RUN`` only if the connection was never established.
        :raises EndpointTimeoutError: ``MAY_HAVE_RUN``, if no response head arrived in time.
        """
        address = endpoint.address
        timeout = urllib3.Timeout(connect=self._connect_s, read=timeout_s or self._read_s)
        pool = self._new_pool(address, 1) if fresh else self._pool(address)
        try:
            response = pool.urlopen(
                method,
                "/",
                target=path,
                body=body,
                headers=dict(headers),
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise connection_error(error, address) from error
        return PooledResponse(response, address, not fresh, self._read_timeouts)

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._new_pool(address, IDLE_CONNECTIONS_PER_ENDPOINT)
            if len(self._pools) > MAX_ENDPOINTS:
                self._pools.popitem(last=False)[1].close()
        self._pools.move_to_end(address)
        return pool

    def _new_pool(self, address: str, size: int) -> urllib3.HTTPConnectionPool:
        host, _, port = address.rpartition(":")
        return EndpointPool(
            host,
            int(port),
            maxsize=size,
            block=False,
            socket_options=self._socket_options,
            send_timeout_s=self._read_s if math.isfinite(self._read_s) else None,
            id_header=self._id_header,
        )
