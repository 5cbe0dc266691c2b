"""Connections to endpoints, with proof of whether a byte of a request was sent."""

import contextlib
import re
import select
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import AbstractContextManager, nullcontext
from typing import Any

import gevent
import urllib3
from gevent import monkey
from urllib3.connection import HTTPConnection

from arbutustally.clock import monotonic
from arbutustally.engine_client import connection_error
from arbutustally.errors import EndpointFailedError, EndpointTimeoutError, Ran
from arbutustally_node.bounded_head import BoundedConnection
from arbutustally_node.framing import ChunkedBody, OpenBody, SizedBody
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.silence import SilenceWatch

READ_BYTES = 65536
#: A read below this size means that the endpoint sends slower than the node reads.
PACED_BYTES = 2048
#: Reads after which other tasks have their turn, also if more has arrived.
READS_IN_A_ROW = 16
IDLE_CONNECTIONS_PER_ENDPOINT = 64
MAX_ENDPOINTS = 512
#: Largest answer that is read whole.
MAX_ANSWER_BYTES = 8 << 20
#: The kernel doubles the value; a stream whose caller is slow holds no more than that unread.
RECEIVE_BUFFER_BYTES = 64 << 10

#: Time after which sent bytes without an acknowledgement end a connection, milliseconds. Without
#: it, a connection that went silent holds its request until the caller gives up.
UNACKNOWLEDGED_MS = 1500

SocketOptions = Sequence[tuple[int, int, int]]

_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
_READ = 1
_KEEP_ALIVE = re.compile(r"timeout=([0-9]{1,6})")
#: Part of the announced idle time for which a connection is kept; the endpoint counts from earlier.
KEEP_ALIVE_PART = 0.6
# gevent's own poll yields to other greenlets; this check must not.
_poll = monkey.get_original("select", "poll")


class ExpiringConnection(BoundedConnection):
    """A connection that is not used again after the endpoint may have closed it."""

    idle_until: float | None = None

    @property
    def is_connected(self) -> bool:
        """Returns whether the connection is open and may be used for another request."""
        if self.idle_until is not None and monotonic() >= self.idle_until:
            return False
        return super().is_connected


class EndpointPool(urllib3.HTTPConnectionPool):
    """Connections to one endpoint."""

    ConnectionCls = ExpiringConnection


class PooledResponse:
    """An endpoint's answer whose body is read from its connection.

    :param response: urllib3 response without preloaded content.
    :param pool: pool that gets the connection back, or ``None`` to close it.
    """

    def __init__(
        self, response: urllib3.HTTPResponse, address: str, pooled: bool, silence: SilenceWatch
    ) -> None:
        self._response = response
        self._address = address
        self._pooled = pooled
        self._silence = silence
        self._headers = {name.lower(): value for name, value in response.headers.items()}
        self._original = response._fp
        self._socket = _socket_of(response)
        self._body = self._framing()
        self._arrived = self._arrived_with_head()
        self._put_back = b""
        self._closed = False
        self._silenced = False
        self._was_reset = False
        # Reading before anything has arrived costs a failed call and an exception.
        self._is_paced = False
        self._reads = 0
        self._hub = gevent.get_hub()
        self._readable = self._hub.loop.io(self._socket.fileno(), _READ) if self._socket else None

    @property
    def status(self) -> int:
        """Returns the HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Returns the headers by lower-case name."""
        return self._headers

    @property
    def header_items(self) -> list[tuple[str, str]]:
        """Returns all headers as sent, in order."""
        return list(self._response.headers.iteritems())

    def read(self) -> bytes:
        """Returns the bytes of the body that have arrived, waiting for the first; empty at its end.

        :raises EndpointFailedError: ``MAY_HAVE_RUN``, if the connection breaks inside the body.
        :raises EndpointTimeoutError: ``MAY_HAVE_RUN``, if the endpoint is silent.
        """
        if self._put_back:
            data, self._put_back = self._put_back, b""
            return data
        while not self._closed:
            if self._body.done:
                self._finish()
                break
            received = self._receive()
            if not received:
                if isinstance(self._body, OpenBody) and not self._was_reset:
                    break
                raise self._broken()
            decoded = self._body.feed(received)
            if decoded:
                return decoded
        return b""

    def put_back(self, data: bytes) -> None:
        """Makes bytes of the body that were read the first ones to be read."""
        self._put_back = data + self._put_back

    def _receive(self) -> bytes:
        if self._arrived:
            received, self._arrived = self._arrived, b""
            return received
        self._silence.waits(self)
        try:
            self._reads += 1
            if self._is_paced:
                self._hub.wait(self._readable)
            elif self._reads % READS_IN_A_ROW == 0:
                gevent.sleep(0)
            received = self._socket.recv(READ_BYTES)
        except OSError:
            # Unlike an orderly end, a reset can't end a body without a length.
            self._was_reset = True
            received = b""
        finally:
            self._silence.received(self)
        self._is_paced = len(received) < PACED_BYTES
        if not received:
            self.close()
            if self._silenced:
                raise EndpointTimeoutError(
                    f"endpoint {self._address} fell silent; check its load", ran=Ran.MAY_HAVE_RUN
                )
        return received

    def silence(self) -> None:
        """Ends a read that has waited too long."""
        self._silenced = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def read_whole(
        self,
        limit: int = MAX_ANSWER_BYTES,
        watch: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> bytes:
        """Returns the whole body.

        :param watch: returns what watches the wait for a piece of it.
        :raises EndpointFailedError: as ``read``, and if the body exceeds ``limit`` bytes.
        """
        parts = []
        size = 0
        while True:
            with watch():
                part = self.read()
            if not part:
                break
            parts.append(part)
            size += len(part)
            if size > limit:
                self.close()
                raise EndpointFailedError(
                    f"the answer of endpoint {self._address} exceeds {limit} bytes; "
                    "make the service answer in smaller parts",
                    ran=Ran.MAY_HAVE_RUN,
                )
        return b"".join(parts)

    def __iter__(self) -> Iterator[bytes]:
        while part := self.read():
            yield part

    def settle(self) -> None:
        """Ends an answer whose content is complete; never waits for more of it.

        The connection is kept only if the end of the body has arrived and nothing after it.
        """
        if self._closed:
            return
        with contextlib.suppress(EndpointFailedError, EndpointTimeoutError):
            if self._ends_now():
                self._finish()
        self.close()

    def _ends_now(self) -> bool:
        """Returns whether the end of the body has arrived and no content before it."""
        while not self._body.done:
            if not (self._arrived or self._is_readable()):
                return False
            received = self._receive()
            if not received or self._body.feed(received):
                return False
        return not self._put_back

    def close(self) -> None:
        """Closes the connection; unread bytes never reach another request."""
        if self._closed:
            return
        self._closed = True
        self._stop_watching()
        connection = self._response.connection
        self._original.close()
        self._response.close()
        if connection is not None:
            connection.close()
            self._response.release_conn()

    def _finish(self) -> None:
        reusable = self._pooled and not self._original.will_close
        if not reusable or self._body.unread or self._is_readable():
            self.close()
            return
        self._closed = True
        self._stop_watching()
        connection = self._response.connection
        if connection is not None:
            connection.idle_until = self._idle_until()
        self._original.close()
        self._response.release_conn()

    def _idle_until(self) -> float | None:
        match = _KEEP_ALIVE.search(self._headers.get("keep-alive", ""))
        return monotonic() + int(match[1]) * KEEP_ALIVE_PART if match else None

    def _stop_watching(self) -> None:
        if self._readable is not None:
            self._readable.stop()
            self._readable.close()

    def _is_readable(self) -> bool:
        if self._socket is None:
            return True
        poll = _poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _framing(self) -> ChunkedBody | SizedBody | OpenBody:
        if self._original.fp is None:
            return SizedBody(0)
        if self._original.chunked:
            return ChunkedBody()
        if self._original.length is not None:
            return SizedBody(self._original.length)
        return OpenBody()

    def _arrived_with_head(self) -> bytes:
        """Returns bytes of the body that were read together with the head.

        Later reads go to the socket, where one call returns everything that has arrived.
        """
        if self._original.fp is None or self._socket is None:
            return b""
        self._socket.settimeout(0.0)
        arrived = self._original.fp.peek(READ_BYTES)
        # The watch on silence takes the place of a timer for each read.
        self._socket.settimeout(None)
        return arrived

    def _broken(self) -> EndpointFailedError:
        return EndpointFailedError(
            f"the connection to endpoint {self._address} broke; check that it runs",
            ran=Ran.MAY_HAVE_RUN,
        )


def _socket_of(response: urllib3.HTTPResponse) -> Any:
    connection = response.connection
    if connection is not None and connection.sock is not None:
        return connection.sock
    # An answer that ends its connection takes the socket away from the connection object.
    reader = response._fp.fp
    return reader.raw._sock if reader is not None else None


class PoolService:
    """urllib3 connection pools by endpoint address.

    :param connect_s: time to connect.
    :param read_s: longest silence of an endpoint.
    :param socket_options: of each connection.
    """

    def __init__(
        self, connect_s: float, read_s: float, socket_options: SocketOptions = _SOCKET_OPTIONS
    ) -> None:
        self._socket_options = socket_options
        self._connect_s = connect_s
        self._read_s = read_s
        self._silence = SilenceWatch(monotonic, read_s)
        self._pools: OrderedDict[str, urllib3.HTTPConnectionPool] = OrderedDict()

    @classmethod
    def from_config(cls, _kernel: Kernel, options: Options) -> "PoolService":
        """Builds the service for a node."""
        return cls(options.endpoint_connect_timeout_s, options.endpoint_read_timeout_s)

    def start(self) -> None:
        """Does nothing; connections are made when they are needed."""

    def stop(self) -> None:
        """Closes idle connections."""
        self._silence.stop()
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
        """Sends a request and returns the answer with its body unread.

        :param endpoint: ``EndpointState``; its ``address`` is used.
        :param timeout_s: longest wait for the head of the answer, 0 for that of the node.
        :param fresh: use a new connection. An idle one may have been closed by the endpoint, and
            then nobody can tell whether the request was read.
        :raises EndpointFailedError: ``NOT_RUN`` only if the connection was never established.
        :raises EndpointTimeoutError: ``MAY_HAVE_RUN``, if no answer began in time.
        """
        address = endpoint.address
        timeout = urllib3.Timeout(connect=self._connect_s, read=timeout_s or self._read_s)
        pool = self._new_pool(address, 1) if fresh else self._pool(address)
        try:
            response = pool.urlopen(
                method,
                path,
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
        return PooledResponse(response, address, not fresh, self._silence)

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
            host, int(port), maxsize=size, block=False, socket_options=self._socket_options
        )
