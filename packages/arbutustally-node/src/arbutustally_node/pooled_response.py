"""A response of an endpoint whose body is read from a pooled connection."""

import contextlib
import io
import re
import select
import socket
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, nullcontext
from typing import Any, Protocol

import gevent
import urllib3
from gevent import monkey

from arbutustally.clock import monotonic
from arbutustally.errors import EndpointFailedError, EndpointTimeoutError, Ran
from arbutustally_node.framing import (
    FREE_FRAMING_BYTES,
    ChunkedBody,
    CloseDelimitedBody,
    SizedBody,
)
from arbutustally_node.loop_turn import wait_for_turn
from arbutustally_node.read_timeouts import ReadTimeouts
from arbutustally_node.response_reading import BodyEnd, ResponseReading
from arbutustally_node.socket_close import close_orderly, reset_on_close

READ_BYTES = 65536
#: A read below this size shows that the endpoint sends more slowly than the node reads.
PACED_READ_BYTES = 2048
#: Reads after which timers and other sockets get a turn, even if more data has arrived.
READS_BEFORE_YIELD = 4
#: Interval at which a response that waits for memory asks again, seconds.
MEMORY_WAIT_S = 0.05
#: Largest response body that is read into memory by default.
MAX_BODY_BYTES = 8 << 20
#: Fraction of the announced keep-alive time for which an idle connection is reused; the endpoint
#: starts counting earlier.
KEEP_ALIVE_FRACTION = 0.6

_READ = 1
_KEEP_ALIVE = re.compile(r"timeout=([0-9]{1,6})")
# gevent's own poll switches to other greenlets, which this check must not do.
_poll = monkey.get_original("select", "poll")


class AnswerMemory(Protocol):
    """Reserves the memory of responses that are read completely."""

    def try_answer(self, count: int) -> bool:
        """Reserves the bytes of a response; returns whether they are available now.

        :raises OverloadedError: if there will never be as many.
        """

    def reserve_answer(self, count: int) -> None:
        """Reserves further bytes of a response of unknown length.

        :raises OverloadedError: if they are not available.
        """


class PooledResponse:
    """An endpoint's response whose body is read from its connection.

    :param response: urllib3 response without preloaded content.
    :param pooled: the connection returns to its pool after the body; otherwise it is closed.
    :param read_timeouts: enforces the read timeout.
    """

    def __init__(
        self,
        response: urllib3.HTTPResponse,
        address: str,
        pooled: bool,
        read_timeouts: ReadTimeouts,
    ) -> None:
        self._response = response
        self._address = address
        self._pooled = pooled
        self._read_timeouts = read_timeouts
        self._headers = {name.lower(): value for name, value in response.headers.items()}
        self._raw_response = response._fp
        self._socket = _socket_of(response)
        self._length: int | None = self._raw_response.length
        self._body = self._framing()
        self._reading = ResponseReading(
            self._body.framing,
            getattr(response.connection, "is_reused", False),
            getattr(self._raw_response, "copies", 0),
        )
        self._put_back = b""
        self._closed = False
        self._timed_out = False
        # A reset while the request was sent has been reported to that write, not to a read.
        self._was_reset = getattr(response.connection, "was_reset", False)
        self._arrived = self._arrived_with_head()
        # Reading before data has arrived costs a failed system call and an exception.
        self._is_paced = False
        self._reads = 0
        self._received_bytes = 0
        self._hub = gevent.get_hub()
        self._readable = self._hub.loop.io(self._socket.fileno(), _READ) if self._socket else None

    @property
    def address(self) -> str:
        """Returns the address of the endpoint."""
        return self._address

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

    @property
    def length(self) -> int | None:
        """Returns the stated length of the body, ``None`` if none is stated, bytes."""
        return self._length

    @property
    def reading(self) -> ResponseReading:
        """Returns how the response has arrived so far."""
        return self._reading

    def forgo_reuse(self) -> None:
        """Makes the connection close after the body: a later response could not be told apart."""
        self._pooled = False

    def read(self) -> bytes:
        """Returns the bytes of the body that have arrived, waiting for the first; empty at its end.

        :raises EndpointFailedError: ``MAY_HAVE_RUN``, if the connection breaks inside the body.
        :raises EndpointTimeoutError: ``MAY_HAVE_RUN``, if no data arrives within the read timeout.
        """
        if self._put_back:
            data, self._put_back = self._put_back, b""
            return data
        while not self._closed:
            if self._body.done:
                self._finish()
                break
            if self._body.has_more:
                decoded = self._decode_more()
            else:
                received = self._receive()
                if not received:
                    if isinstance(self._body, CloseDelimitedBody) and not self._was_reset:
                        break
                    raise self._broken()
                decoded = self._body.feed(received)
            if decoded:
                self._reading.body_bytes += len(decoded)
                return decoded
        return b""

    def put_back(self, data: bytes) -> None:
        """Returns bytes of the body to the response; the next ``read`` yields them first."""
        self._put_back = data + self._put_back

    def _decode_more(self) -> bytes:
        wait_for_turn()
        return b"" if self._closed else self._body.feed(b"")

    def _receive(self) -> bytes:
        if self._arrived:
            received, self._arrived = self._arrived, b""
            self._received_bytes += len(received)
            return received
        self._read_timeouts.begin_read(self)
        try:
            self._reads += 1
            if self._is_paced:
                self._hub.wait(self._readable)
            elif self._reads % READS_BEFORE_YIELD == 0:
                wait_for_turn()
            received = self._socket.recv(READ_BYTES)
        except OSError:
            # A reset, unlike an orderly close, is never the end of a body without a length.
            self._was_reset = True
            received = b""
        finally:
            self._read_timeouts.end_read(self)
        self._is_paced = len(received) < PACED_READ_BYTES
        self._received_bytes += len(received)
        if not received:
            self._reading.ended(self._end_of_input())
            self.close()
            if self._timed_out:
                raise EndpointTimeoutError(
                    f"endpoint {self._address} sent no data before the read timeout; "
                    "check its load",
                    ran=Ran.MAY_HAVE_RUN,
                )
        return received

    def _end_of_input(self) -> BodyEnd:
        if self._timed_out:
            return BodyEnd.TIMED_OUT
        return BodyEnd.RESET if self._was_reset else BodyEnd.CLOSED

    def time_out(self) -> None:
        """Aborts the current read because of the read timeout."""
        self._timed_out = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def read_whole(
        self,
        limit: int = MAX_BODY_BYTES,
        watch: Callable[[], AbstractContextManager[None]] = nullcontext,
        memory: AnswerMemory | None = None,
    ) -> bytes:
        """Returns the complete body.

        :param limit: largest body in bytes, to which its framing counts beyond
            ``FREE_FRAMING_BYTES``.
        :param watch: returns a context manager that is entered for each wait for a chunk.
        :param memory: reserves the memory of the body, ``None`` to read it in any case.
        :raises EndpointFailedError: as ``read``, and if the body exceeds ``limit`` bytes.
        :raises OverloadedError: if there is no memory for the body.
        """
        if self._length is not None and self._length > limit:
            raise self._too_long(limit)
        if memory is not None and self._length:
            self._await_memory(memory, watch)
        # Unlike joined chunks, its content is never held twice.
        whole = io.BytesIO()
        while True:
            with watch():
                chunk = self.read()
            if not chunk:
                break
            if memory is not None and not self._length:
                memory.reserve_answer(len(chunk))
            whole.write(chunk)
            size = whole.tell()
            if size > limit or self._received_bytes > limit + FREE_FRAMING_BYTES:
                raise self._too_long(limit)
        return whole.getvalue()

    def _too_long(self, limit: int) -> EndpointFailedError:
        """Closes the connection and returns the error of a body that exceeds a limit."""
        self.close()
        return EndpointFailedError(
            f"the response of endpoint {self._address} exceeds {limit} bytes; "
            "make the service send smaller responses",
            ran=Ran.MAY_HAVE_RUN,
        )

    def _await_memory(
        self, memory: AnswerMemory, watch: Callable[[], AbstractContextManager[None]]
    ) -> None:
        """Waits without reading, so that the endpoint stops sending.

        It is not silent meanwhile, so ``watch`` only shows that the caller is still there.
        """
        while not memory.try_answer(self._length):
            with watch():
                pass
            gevent.sleep(MEMORY_WAIT_S)

    def __iter__(self) -> Iterator[bytes]:
        while chunk := self.read():
            yield chunk

    def settle(self) -> None:
        """Ends a response whose content is complete, without waiting for further data.

        The connection is kept only if the end of the body has arrived and no data after it.
        """
        if self._closed:
            return
        with contextlib.suppress(EndpointFailedError, EndpointTimeoutError):
            if self._end_has_arrived():
                self._finish()
        self.close()

    def _end_has_arrived(self) -> bool:
        """Returns whether the end of the body has arrived with no unread content before it."""
        while not self._body.done:
            if not (self._arrived or self._is_readable()):
                return False
            received = self._receive()
            if not received or self._body.feed(received) or self._body.has_more:
                return False
        return not self._put_back

    def close(self) -> None:
        """Closes the connection, so that unread bytes cannot reach another request.

        A response that has not ended is reset, so that the endpoint stops working on the request.
        """
        if self._closed:
            return
        self._closed = True
        self._reading.ended(BodyEnd.LEFT)
        self._stop_watching()
        if self._reading.end in (BodyEnd.LEFT, BodyEnd.TIMED_OUT):
            reset_on_close(self._socket)
        else:
            close_orderly(self._socket)
        connection = self._response.connection
        self._raw_response.close()
        self._response.close()
        if connection is not None:
            connection.close()
            self._response.release_conn()

    def _finish(self) -> None:
        self._reading.ended(BodyEnd.COMPLETE)
        reusable = self._pooled and not (self._raw_response.will_close or self._was_reset)
        if not reusable or self._arrived or self._body.unread or self._is_readable():
            self.close()
            return
        self._closed = True
        self._stop_watching()
        connection = self._response.connection
        if connection is not None:
            connection.idle_until = self._idle_until()
        self._raw_response.close()
        self._response.release_conn()

    def _idle_until(self) -> float | None:
        match = _KEEP_ALIVE.search(self._headers.get("keep-alive", ""))
        return monotonic() + int(match[1]) * KEEP_ALIVE_FRACTION if match else None

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

    def _framing(self) -> ChunkedBody | SizedBody | CloseDelimitedBody:
        if self._raw_response.fp is None:
            return SizedBody(0)
        # A response that never has a body (to HEAD, 204, 304) may name the coding.
        if self._raw_response.length is not None:
            return SizedBody(self._raw_response.length)
        return ChunkedBody() if self._raw_response.chunked else CloseDelimitedBody()

    def _arrived_with_head(self) -> bytes:
        """Returns bytes of the body that were read together with the response head.

        Later reads use the socket directly, where one call returns all data that has arrived.
        """
        if self._raw_response.fp is None or self._socket is None:
            return b""
        self._socket.settimeout(0.0)
        try:
            arrived = self._raw_response.fp.peek(READ_BYTES)
        except OSError:
            # The next read of the socket would return an orderly end.
            self._was_reset = True
            arrived = b""
        # ``ReadTimeouts`` enforces the read timeout instead of a timer for each read.
        self._socket.settimeout(None)
        return arrived

    def _broken(self) -> EndpointFailedError:
        return EndpointFailedError(
            f"the connection to endpoint {self._address} failed; check that the endpoint runs",
            ran=Ran.MAY_HAVE_RUN,
        )


def _socket_of(response: urllib3.HTTPResponse) -> Any:
    connection = response.connection
    if connection is not None and connection.sock is not None:
        return connection.sock
    # For a response that closes its connection, http.client detaches the socket from the
    # connection object.
    reader = response._fp.fp
    return reader.raw._sock if reader is not None else None
