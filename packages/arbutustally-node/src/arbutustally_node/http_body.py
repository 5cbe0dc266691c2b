"""Reads requests from a connection with limits on size and time."""

import contextlib
import io
import re
from collections.abc import Callable
from typing import Any, Protocol

from arbutustally.clock import Clock
from arbutustally.errors import (
    BadRequestError,
    BodyTooLargeError,
    OverloadedError,
    SlowSenderError,
)
from arbutustally_node.framing import FREE_FRAMING_BYTES
from arbutustally_node.http_head import RequestHead, parse_head
from arbutustally_node.loop_turn import wait_for_turn

READ_BYTES = 65536
#: Bytes of a request from which it counts as large.
LARGE_BYTES = 128 << 10
MAX_CHUNK_LINE_BYTES = 256
#: Chunks of a body after which timers and other sockets get a turn.
CHUNKS_PER_TURN = 256
#: Line breaks around the content of a chunk, bytes.
FIXED_FRAMING_BYTES = 4
#: Interval at which the pace of a request is checked while nothing arrives, seconds.
PACE_CHECK_S = 0.5
#: Bytes of request bodies that all connections of a listener may buffer at once.
MAX_BUFFERED_BYTES = 128 << 20

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~]*)?")


# All readers receive into this buffer, whose bytes are copied before another greenlet runs. A buffer
# for each call, shrunk to what has arrived, would fragment the memory of the process.
_received = bytearray(READ_BYTES)
_view = memoryview(_received)


class Budget(Protocol):
    """Reserves the bytes that one reader or several buffer."""

    def reserve(self, count: int) -> None:
        """Reserves bytes.

        :raises OverloadedError: if they are not available.
        """

    def release(self, count: int) -> None:
        """Releases reserved bytes."""


#: Returns whether a request arrives too slowly, from the seconds since its first byte and since its
#: last one, and the bytes received.
TooSlow = Callable[[float, float, int], bool]


def never_too_slow(_elapsed_s: float, _silent_s: float, _received: int) -> bool:
    """Allows any rate within the timeout of the request."""
    return False


class BodyBudget:
    """Limits the bytes of request bodies that one listener buffers.

    :param limit: bytes.
    """

    def __init__(self, limit: int = MAX_BUFFERED_BYTES) -> None:
        self._limit = limit
        self._reserved = 0

    def reserve(self, count: int) -> None:
        """Reserves bytes.

        :raises OverloadedError: if the limit would be exceeded.
        """
        if self._reserved + count > self._limit:
            raise OverloadedError(
                "the node buffers too many request bodies; send the request again later",
                retry_after_s=1.0,
            )
        self._reserved += count

    def release(self, count: int) -> None:
        """Releases reserved bytes."""
        self._reserved -= count

    @property
    def reserved(self) -> int:
        """Returns the reserved bytes."""
        return self._reserved


class RequestReader:
    """Reads requests from one connection and buffers bytes of the next one.

    :param sock: connected gevent socket.
    :param clock: monotonic seconds.
    :param idle_s: timeout for the first byte of a request.
    :param send_s: timeout from the first byte of a request to its last.
    :param is_too_slow: ends a request before its timeout.
    :param on_large: called once ``LARGE_BYTES`` of a request have arrived.
    """

    def __init__(
        self,
        sock: Any,
        clock: Clock,
        budget: Budget,
        max_header_bytes: int,
        max_body_bytes: int,
        idle_s: float,
        send_s: float,
        is_too_slow: TooSlow = never_too_slow,
        on_large: Callable[[], None] = lambda: None,
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._budget = budget
        self.set_limits(max_header_bytes, max_body_bytes, idle_s, send_s)
        self._is_too_slow = is_too_slow
        self._on_large = on_large
        self._buffer = bytearray()
        self._began_at = 0.0
        self._received_at = 0.0
        self._received_bytes = 0
        self._reserved = 0

    def set_limits(
        self, max_header_bytes: int, max_body_bytes: int, idle_s: float, send_s: float
    ) -> None:
        """Sets the limits of the requests that begin from now on, as in the constructor."""
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._idle_s = idle_s
        self._send_s = send_s

    def read_head(self, on_begin: Callable[[], None] = lambda: None) -> RequestHead | None:
        """Returns the next head, or ``None`` if the connection ends or is idle too long before it.

        :param on_begin: called once the request has begun; it may set the limits.
        :raises RouterError: if the head is refused.
        """
        if not self._buffer:
            self._sock.settimeout(self._idle_s)
            try:
                count = self._sock.recv_into(_received)
            except OSError:
                return None
            if not count:
                return None
            self._take(count)
        on_begin()
        self._began_at = self._received_at = self._clock()
        self._received_bytes = len(self._buffer)
        head = self._read_until(b"\r\n\r\n", self._max_header_bytes, "the request head")
        return parse_head(head, self._max_body_bytes)

    def read_body(self, head: RequestHead) -> bytes:
        """Returns the whole decoded body.

        :raises RouterError: if the body is refused.
        """
        if head.content_length is None:
            return self._read_chunked()
        return self._read_exactly(head.content_length)

    def release(self) -> None:
        """Releases the bytes of the last request, but not those of the next one."""
        kept = len(self._buffer)
        self._budget.release(self._reserved - kept)
        self._reserved = kept

    def close(self) -> None:
        """Discards what has arrived and releases its bytes."""
        self._buffer = bytearray()
        self.release()

    def _read_chunked(self) -> bytes:
        body = io.BytesIO()
        total = framing = chunks = 0
        while True:
            chunks += 1
            if chunks % CHUNKS_PER_TURN == 0:
                wait_for_turn()
            line = self._read_until(b"\r\n", MAX_CHUNK_LINE_BYTES, "a chunk size line")
            match = _CHUNK_LINE.fullmatch(line)
            if match is None:
                raise BadRequestError("a chunk size is malformed; send it in hexadecimal digits")
            size = int(match[1], 16)
            if not size:
                self._skip_trailers()
                return body.getvalue()
            total += size
            framing += len(line) + FIXED_FRAMING_BYTES
            is_framed_too_much = framing > self._max_body_bytes + FREE_FRAMING_BYTES
            if total > self._max_body_bytes or is_framed_too_much:
                raise BodyTooLargeError(
                    f"the body or its framing exceeds {self._max_body_bytes} bytes; "
                    "send a smaller one or longer chunks"
                )
            body.write(self._read_exactly(size))
            if self._read_exactly(2) != b"\r\n":
                raise BadRequestError("a chunk is longer than its size; correct the chunk size")

    def _skip_trailers(self) -> None:
        left = self._max_header_bytes
        while line := self._read_until(b"\r\n", left, "the trailer"):
            left -= len(line) + 2

    def _read_exactly(self, count: int) -> bytes:
        while len(self._buffer) < count:
            self._receive()
        if len(self._buffer) == count:
            data = bytes(self._buffer)
            self._buffer = bytearray()
            return data
        with memoryview(self._buffer) as arrived:
            data = bytes(arrived[:count])
        del self._buffer[:count]
        return data

    def _read_until(self, end: bytes, limit: int, what: str) -> bytes:
        searched = 0
        while (found := self._buffer.find(end, searched)) < 0:
            if len(self._buffer) > limit:
                break
            searched = max(0, len(self._buffer) - len(end) + 1)
            self._receive()
        if found < 0 or found > limit:
            raise BodyTooLargeError(f"{what} exceeds {limit} bytes; send a smaller one")
        data = bytes(self._buffer[:found])
        del self._buffer[: found + len(end)]
        return data

    def _receive(self) -> None:
        count = None
        while count is None:
            self._check_pace()
            self._sock.settimeout(min(PACE_CHECK_S, max(self._left_s(), 0.001)))
            with contextlib.suppress(TimeoutError):
                count = self._sock.recv_into(_received)
        if not count:
            raise ConnectionResetError("caller closed the connection inside a request")
        self._take(count)
        self._received_at = self._clock()
        was_large = self._received_bytes >= LARGE_BYTES
        self._received_bytes += count
        if not was_large and self._received_bytes >= LARGE_BYTES:
            self._on_large()

    def _take(self, count: int) -> None:
        self._buffer += _view[:count]
        self._budget.reserve(count)
        self._reserved += count

    def _left_s(self) -> float:
        return self._began_at + self._send_s - self._clock()

    def _check_pace(self) -> None:
        now = self._clock()
        elapsed_s, silent_s = now - self._began_at, now - self._received_at
        if elapsed_s >= self._send_s or self._is_too_slow(
            elapsed_s, silent_s, self._received_bytes
        ):
            raise self._too_slow()

    def _too_slow(self) -> SlowSenderError:
        return SlowSenderError(
            f"the request did not arrive within {self._send_s:g} s, or not fast enough for a loaded "
            "node; send it faster",
            retry_after_s=1.0,
        )
