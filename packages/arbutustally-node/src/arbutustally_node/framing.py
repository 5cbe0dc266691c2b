"""Incremental decoders for the body framing of endpoint responses.

urllib3 decodes one chunk per call. For a stream of many small events it is cheaper to decode all
received data at once (bench/relay.py).
"""

from enum import Enum, StrEnum

from arbutustally.errors import EndpointFailedError, Ran

#: Longest chunk size line, including extensions.
MAX_CHUNK_LINE_BYTES = 256
MAX_SIZE_DIGITS = 8
#: Longest trailer section, summed over its lines.
MAX_TRAILER_BYTES = 8192
#: Lines of the coding that one call of ``ChunkedBody.feed`` decodes at most. The cost of decoding
#: grows with the number of chunks, not with their bytes.
MAX_LINES_PER_FEED = 1024
#: Bytes of chunk framing that any body may have, and those allowed for each byte of content.
#: Framing without content would otherwise keep a node busy without end.
FREE_FRAMING_BYTES = 64 << 10
MAX_FRAMING_RATIO = 4
_HEX = b"0123456789abcdefABCDEF"


class Framing(StrEnum):
    """How the end of a response body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class _State(Enum):
    SIZE = 0
    END = 1
    TRAILER = 2
    DONE = 3


class ChunkedBody:
    """Decoder of the chunked transfer coding."""

    framing = Framing.CHUNKED

    def __init__(self) -> None:
        self._state = _State.SIZE
        self._remaining = 0
        self._buffer = b""
        self._trailer_bytes = 0
        self._framing_left = FREE_FRAMING_BYTES
        self._has_more = False

    @property
    def has_more(self) -> bool:
        """Returns whether received bytes can be decoded without further ones, by ``feed(b"")``."""
        return self._has_more

    @property
    def done(self) -> bool:
        """Returns whether the last chunk and the trailer have been read."""
        return self._state is _State.DONE

    @property
    def unread(self) -> bytes:
        """Returns bytes after the end of the body."""
        return self._buffer if self.done else b""

    def feed(self, data: bytes) -> bytes:
        """Returns the decoded bytes of up to ``MAX_LINES_PER_FEED`` lines.

        :param data: received bytes, empty while ``has_more``.
        :raises EndpointFailedError: if the coding is malformed or far longer than the content.
        """
        if self._state is _State.SIZE and not self._buffer:
            # Fast path: a stream slower than the reads delivers exactly one chunk per read.
            end = data.find(b"\r\n", 0, MAX_SIZE_DIGITS + 2)
            if end > 0 and (head := data[:end]).isalnum():
                size = _size(head)
                if size and len(data) == end + size + 4 and data.endswith(b"\r\n"):
                    return data[end + 2 : -2]
        return self._feed(data)

    def _feed(self, data: bytes) -> bytes:
        if self._buffer:
            data = self._buffer + data
            self._buffer = b""
        out: list[bytes] = []
        at = lines = decoded = 0
        size = len(data)
        while at < size and self._state is not _State.DONE:
            if self._remaining:
                chunk = data[at : at + self._remaining]
                out.append(chunk)
                at += len(chunk)
                decoded += len(chunk)
                self._remaining -= len(chunk)
                continue
            if lines == MAX_LINES_PER_FEED:
                break
            end = data.find(b"\r\n", at)
            if end < 0:
                break
            self._take_line(data[at:end])
            at = end + 2
            lines += 1
        self._has_more = lines == MAX_LINES_PER_FEED and at < size and not self.done
        self._count_framing(at - decoded, decoded)
        if at < size:
            self._buffer = data[at:]
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES and not (self.done or self._has_more):
                raise _malformed()
        return out[0] if len(out) == 1 else b"".join(out)

    def _count_framing(self, framing: int, content: int) -> None:
        self._framing_left += MAX_FRAMING_RATIO * content - framing
        if self._framing_left < 0:
            raise EndpointFailedError(
                "the endpoint's chunks are too small; make it send longer ones",
                ran=Ran.MAY_HAVE_RUN,
            )

    def _take_line(self, line: bytes) -> None:
        if self._state is _State.SIZE:
            self._remaining = _size(
                line if line.isalnum() else line.partition(b";")[0].rstrip(b" \t")
            )
            self._state = _State.END if self._remaining else _State.TRAILER
        elif self._state is _State.END:
            if line:
                raise _malformed()
            self._state = _State.SIZE
        elif not line:
            self._state = _State.DONE
        else:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise _malformed()


class SizedBody:
    """A body of known length."""

    framing = Framing.LENGTH
    has_more = False

    def __init__(self, length: int) -> None:
        self._remaining = length
        self._unread = b""

    @property
    def done(self) -> bool:
        """Returns whether the whole body has been read."""
        return not self._remaining

    @property
    def unread(self) -> bytes:
        """Returns bytes after the end of the body."""
        return self._unread

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes that belong to the body."""
        body = data[: self._remaining]
        self._unread = data[self._remaining :]
        self._remaining -= len(body)
        return body


class CloseDelimitedBody:
    """A body delimited by the end of its connection."""

    framing = Framing.CLOSE
    has_more = False
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
