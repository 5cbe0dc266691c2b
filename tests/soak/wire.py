"""Messages of HTTP/1.1 on a socket, read and written byte by byte by workers and raw callers."""

import re
import socket
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from gevent.select import POLLIN, poll

READ_BYTES = 65_536
#: Longest head that is read; more bytes without an end are no head.
MAX_HEAD_BYTES = 16_384
_HEADER = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")

Headers = tuple[tuple[str, str], ...]


class Framing(StrEnum):
    """How the end of a body is marked."""

    LENGTH = "length"
    CHUNKED = "chunks"
    CLOSE = "close"


class CutError(Exception):
    """The other side ended the connection inside a message."""


class NotHttpError(Exception):
    """The bytes are no message of the protocol."""


@dataclass(frozen=True)
class Head:
    """First line and headers of a message."""

    first: str
    headers: Headers

    def all(self, name: str) -> list[str]:
        """Returns the values of a header, whose name is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def get(self, name: str) -> str:
        """Returns the value of a header, empty if it is absent."""
        return ", ".join(self.all(name))

    @property
    def framing(self) -> Framing:
        """Returns how the end of a response body is marked.

        :raises NotHttpError: if that is ambiguous.
        """
        lengths, codings = self.all("content-length"), self.all("transfer-encoding")
        if len(lengths) + len(codings) > 1 or codings not in ([], ["chunked"]):
            raise NotHttpError(f"framing {lengths} {codings}")
        if lengths and not lengths[0].isdecimal():
            raise NotHttpError(f"length {lengths[0]!r}")
        return Framing.LENGTH if lengths else Framing.CHUNKED if codings else Framing.CLOSE


@dataclass(frozen=True)
class Answer:
    """A response as a worker means to send it.

    :ivar parts: of the body, which are sent one after another.
    :ivar is_framing_first: the framing header comes first in the head, otherwise last.
    """

    status: int
    headers: Headers
    parts: tuple[bytes, ...]
    framing: Framing = Framing.LENGTH
    is_framing_first: bool = False

    def head(self) -> bytes:
        """Returns the bytes of the head."""
        headers = list(self.headers)
        length = ("Content-Length", str(sum(map(len, self.parts))))
        framing = length if self.framing is Framing.LENGTH else ("Transfer-Encoding", "chunked")
        if self.framing is not Framing.CLOSE:
            headers.insert(0 if self.is_framing_first else len(headers), framing)
        lines = [f"HTTP/1.1 {self.status} Status", *(f"{name}: {text}" for name, text in headers)]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def pieces(self) -> Iterator[bytes]:
        """Yields the bytes of the body's parts, with their framing."""
        for part in self.parts:
            is_chunk = self.framing is Framing.CHUNKED
            yield b"%x\r\n%b\r\n" % (len(part), part) if is_chunk else part
        if self.framing is Framing.CHUNKED:
            yield b"0\r\n\r\n"

    def whole(self) -> bytes:
        """Returns all bytes."""
        return self.head() + b"".join(self.pieces())

    def without(self, name: str) -> "Answer":
        """Returns the answer without a header."""
        return replace(self, headers=tuple(one for one in self.headers if one[0] != name))


class Wire:
    """A connection with a buffer of what was read.

    :ivar buffer: bytes received that belong to no message read so far.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.buffer = b""

    def read_head(self) -> Head | None:
        """Returns the next head, ``None`` if the connection ends before it.

        :raises CutError: if the connection ends inside it.
        :raises NotHttpError: if it is malformed.
        """
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise NotHttpError(f"no head in {self.buffer[:60]!r}")
            if not self._fill():
                if self.buffer:
                    raise CutError(f"inside the head {self.buffer[:60]!r}")
                return None
        text, self.buffer = self.buffer[:end].decode("latin-1"), self.buffer[end + 4 :]
        first, *lines = text.split("\r\n")
        matches = [_HEADER.fullmatch(line) for line in lines]
        if not all(matches):
            raise NotHttpError(f"header lines of {text[:200]!r}")
        return Head(first, tuple((match[1], match[2]) for match in matches))

    def read_body(self, head: Head) -> Iterator[bytes]:
        """Yields the body of a response, or of a request with a length, as it arrives.

        :raises CutError: if it does not come to the end that the head announced.
        :raises NotHttpError: if chunks are malformed.
        """
        if head.framing is Framing.LENGTH:
            yield from self._exactly(int(head.get("content-length")))
        elif head.framing is Framing.CHUNKED:
            yield from self._chunks()
        else:
            while self.buffer or self._fill():
                data, self.buffer = self.buffer, b""
                yield data

    def _chunks(self) -> Iterator[bytes]:
        while size := self._chunk_size():
            yield from self._exactly(size)
            self._end_line()
        self._end_line()

    def _chunk_size(self) -> int:
        while b"\r\n" not in self.buffer:
            self._fill_or_cut()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        if not re.fullmatch(rb"[0-9A-Fa-f]{1,8}", line):
            raise NotHttpError(f"chunk size {line[:60]!r}")
        return int(line, 16)

    def _end_line(self) -> None:
        end = b"".join(self._exactly(2))
        if end != b"\r\n":
            raise NotHttpError(f"{end!r} after a chunk")

    def _exactly(self, size: int) -> Iterator[bytes]:
        while size:
            if not self.buffer:
                self._fill_or_cut()
            data, self.buffer = self.buffer[:size], self.buffer[size:]
            size -= len(data)
            yield data

    def _fill_or_cut(self) -> None:
        if not self._fill():
            raise CutError("inside the body")

    def _fill(self) -> bool:
        data = self.sock.recv(READ_BYTES)
        self.buffer += data
        return bool(data)

    def peek(self, within_s: float = 0.0) -> bytes | None:
        """Returns bytes that wait to be read, empty if the other side closed, or ``None``.

        :param within_s: how long to wait for them.
        :raises OSError: if the connection was reset.
        """
        if self.buffer:
            return self.buffer
        # Unlike ``select``, ``poll`` takes the many sockets of a large fleet.
        poller = poll()
        poller.register(self.sock, POLLIN)
        is_readable = poller.poll(within_s * 1000)
        return self.sock.recv(READ_BYTES, socket.MSG_PEEK) if is_readable else None
