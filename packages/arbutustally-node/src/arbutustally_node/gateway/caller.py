"""Writing of responses to a caller's connection."""

from collections.abc import Sequence
from http import HTTPStatus
from http.client import responses
from typing import Any

from arbutustally_node.framing import Framing
from arbutustally_node.gateway.caller_write import write
from arbutustally_node.gateway.connection_memory import ConnectionMemory
from arbutustally_node.socket_close import close_orderly, reset_on_close

#: Body up to which a response is written together with its head, bytes; a larger one is not copied.
JOINED_BYTES = 65536

_BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)

Headers = Sequence[tuple[str, str]]


class CallerConnection:
    """Connection of a caller, for the response to its current request.

    :param sock: connected gevent socket.
    :param keep: whether to keep the connection open for another request.
    :param memory: memory of the connection, ``None`` for a connection without an account.
    """

    def __init__(
        self, sock: Any, keep: bool = True, memory: ConnectionMemory | None = None
    ) -> None:
        self._sock = sock
        self._memory = memory
        self.keep = keep
        #: Whether the request is a HEAD request, whose response has no body.
        self.is_head_only = False
        self._began = False
        self._framing = Framing.LENGTH
        self._ends_answer = False

    @property
    def began(self) -> bool:
        """Returns whether writing of a response has begun."""
        return self._began

    @property
    def memory(self) -> ConnectionMemory | None:
        """Returns the memory of the connection, ``None`` without an account."""
        return self._memory

    @property
    def framing(self) -> Framing:
        """Returns how the end of the response that has begun is marked."""
        return self._framing

    @property
    def ends_answer(self) -> bool:
        """Returns whether closing the connection completes the response."""
        return self._ends_answer

    def send_whole(
        self, status: int, headers: Headers, body: bytes, framing: Framing = Framing.LENGTH
    ) -> None:
        """Writes a complete response.

        :param framing: ``CLOSE`` if the end of the body is marked only by that of the connection,
            otherwise the response states its length.
        """
        self._began = True
        if self.is_head_only or status in _BODILESS:
            self._write(self._head(status, headers))
            return
        if framing is Framing.CLOSE:
            self.begin(status, headers, body, framing)
            self.end()
            return
        headers = [*headers, ("Content-Length", str(len(body)))]
        head = self._head(status, headers)
        if len(body) <= JOINED_BYTES:
            self._write(head + body)
            return
        self._write(head)
        self._write(body)

    def begin(
        self, status: int, headers: Headers, first: bytes, framing: Framing = Framing.CHUNKED
    ) -> None:
        """Writes the head and the first bytes of a streamed response.

        :param framing: ``CLOSE`` or ``CHUNKED``.
        """
        self._began = True
        if self.is_head_only:
            self._write(self._head(status, headers))
            return
        self._framing = framing
        if framing is Framing.CLOSE:
            self.keep = False
            # However the connection ends before ``end``, the response must not look complete.
            reset_on_close(self._sock)
        else:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        head = self._head(status, headers)
        self._write(head + self._framed(first) if first else head)

    def send_part(self, data: bytes) -> None:
        """Writes bytes of a streamed response."""
        if not self.is_head_only:
            self._write(self._framed(data))

    def end(self) -> None:
        """Marks a streamed response as complete, or lets the end of its connection do so."""
        if self.is_head_only:
            return
        if self._framing is Framing.CHUNKED:
            self._write(b"0\r\n\r\n")
            return
        close_orderly(self._sock)
        self._ends_answer = True

    def abort(self) -> None:
        """Makes closing reset the connection, so that the response does not look complete."""
        self.keep = False
        self._ends_answer = False
        reset_on_close(self._sock)

    def _head(self, status: int, headers: Headers) -> bytes:
        lines = [f"HTTP/1.1 {status} {responses.get(status, 'Unknown')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.keep:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        write(self._sock, data, self._memory)

    def _framed(self, data: bytes) -> bytes:
        if self._framing is Framing.CLOSE:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
