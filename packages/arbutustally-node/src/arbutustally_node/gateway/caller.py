"""Writing of responses to a caller's connection."""

import contextlib
import socket
import struct
from collections.abc import Sequence
from http.client import responses
from typing import Any

#: Longest time that a caller may take to accept one write, seconds.
WRITE_TIMEOUT_S = 5.0

Headers = Sequence[tuple[str, str]]


class CallerConnection:
    """Connection of a caller, for the response to its current request.

    :param sock: connected gevent socket.
    :param keep: whether to keep the connection open for another request.
    """

    def __init__(self, sock: Any, keep: bool = True) -> None:
        self._sock = sock
        self.keep = keep
        self._began = False

    @property
    def began(self) -> bool:
        """Returns whether writing of a response has begun."""
        return self._began

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response with a ``Content-Length``."""
        self._began = True
        head = self._head(status, [*headers, ("Content-Length", str(len(body)))])
        self._write(head + body)

    def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Writes the head and the first chunk of a streamed response."""
        self._began = True
        head = self._head(status, [*headers, ("Transfer-Encoding", "chunked")])
        self._write(head + _chunk(first) if first else head)

    def send_chunk(self, chunk: bytes) -> None:
        """Writes a chunk of a streamed response."""
        self._write(_chunk(chunk))

    def end(self) -> None:
        """Writes the last chunk, which marks a streamed response as complete."""
        self._write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Makes closing reset the connection, so that the response does not look complete."""
        self.keep = False
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def _head(self, status: int, headers: Headers) -> bytes:
        lines = [f"HTTP/1.1 {status} {responses.get(status, 'Unknown')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.keep:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        self._sock.settimeout(WRITE_TIMEOUT_S)
        self._sock.sendall(data)


def _chunk(chunk: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(chunk), chunk)
