"""Incremental decoders for the body framing of endpoint responses.

urllib3 decodes one chunk per call. For a stream of many small events it is cheaper to decode all
received data at once (bench/relay.py).
"""

from enum import Enum

from arbutustally.errors import EndpointFailedError, Ran

#: Longest chunk size line, including extensions.
MAX_CHUNK_LINE_BYTES = 256
MAX_SIZE_DIGITS = 8
#: Longest trailer section, summed over its lines.
MAX_TRAILER_BYTES = 8192
_HEX = b"0123456789abcdefABCDEF"


class _Part(Enum):
    SIZE = 0
    END = 1
    TRAILER = 2
    DONE = 3


class ChunkedBody:
    """Decoder of the chunked transfer coding."""

    def __init__(self) -> None:
        self._part = _Part.SIZE
        self._left = 0
        self._line = b""
        self._trailer_bytes = 0

    @property
    def done(self) -> bool:
        """Returns whether the last chunk and the trailer have been read."""
        return self._part is _Part.DONE

    @property
    def unread(self) -> bytes:
        """Returns bytes after the end of the body."""
        return self._line if self.done else b""

    def feed(self, data: bytes) -> bytes:
        """Returns the decoded bytes.

        :raises EndpointFailedError: if the coding is malformed.
        """
        if self._part is _Part.SIZE and not self._line:
            # Fast path: a stream slower than the reads delivers exactly one chunk per read.
            end = data.find(b"\r\n", 0, MAX_SIZE_DIGITS + 2)
            if end > 0 and (head := data[:end]).isalnum():
                size = _size(head)
                if size and len(data) == end + size + 4 and data.endswith(b"\r\n"):
                    return data[end + 2 : -2]
        return self._feed(data)

    def _feed(self, data: bytes) -> bytes:
        if self._line:
            data = self._line + data
            self._line = b""
        out: list[bytes] = []
        at = 0
        size = len(data)
        while at < size and self._part is not _Part.DONE:
            if self._left:
                piece = data[at : at + self._left]
                out.append(piece)
                at += len(piece)
                self._left -= len(piece)
                continue
            end = data.find(b"\r\n", at)
            if end < 0:
                break
            self._take_line(data[at:end])
            at = end + 2
        if at < size:
            self._line = data[at:]
            if len(self._line) > MAX_CHUNK_LINE_BYTES and not self.done:
                raise _malformed()
        return out[0] if len(out) == 1 else b"".join(out)

    def _take_line(self, line: bytes) -> None:
        if self._part is _Part.SIZE:
            self._left = _size(line if line.isalnum() else line.partition(b";")[0].rstrip(b" \t"))
            self._part = _Part.END if self._left else _Part.TRAILER
        elif self._part is _Part.END:
            if line:
                raise _malformed()
            self._part = _Part.SIZE
        elif not line:
            self._part = _Part.DONE
        else:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise _malformed()


class SizedBody:
    """A body of known length."""

    def __init__(self, length: int) -> None:
        self._left = length
        self._unread = b""

    @property
    def done(self) -> bool:
        """Returns whether the whole body has been read."""
        return not self._left

    @property
    def unread(self) -> bytes:
        """Returns bytes after the end of the body."""
        return self._unread

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes that belong to the body."""
        body = data[: self._left]
        self._unread = data[self._left :]
        self._left -= len(body)
        return body


class OpenBody:
    """A body delimited by the end of its connection."""

    done = False
    unread = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes."""
        return data


def _size(digits: bytes) -> int:
    # ``int`` alone would accept signs, spaces, underscores and the prefix 0x.
    if not digits or digits.strip(_HEX) or len(digits) > MAX_SIZE_DIGITS:
        raise _malformed()
    return int(digits, 16)


def _malformed() -> EndpointFailedError:
    return EndpointFailedError(
        "the endpoint's chunked coding is malformed; check the endpoint", ran=Ran.MAY_HAVE_RUN
    )
