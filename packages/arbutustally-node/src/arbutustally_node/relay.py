"""Checks of a relayed stream: request id, incarnation, weights version and token index."""

from enum import StrEnum

from arbutustally.engine_completions import Usage, parse_chunk

#: Longest event accepted from an engine.
MAX_EVENT_BYTES = 1 << 20


class Fault(StrEnum):
    """Why a stream cannot be read further from its connection."""

    BROKEN = "connection_broken"
    OTHER_REQUEST = "crossed_answer"
    MALFORMED = "malformed_event"
    OTHER_INCARNATION = "other_incarnation"
    OTHER_VERSION = "other_version"
    REPEATED = "repeated_index"
    READ_TIMEOUT = "endpoint_silent"
    SKIPPED = "skipped_index"
    TRUNCATED = "truncated_stream"


class EventSplitter:
    """Splits received data into server-sent events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes] | None:
        """Returns the data of all complete events, or ``None`` if an event is too long."""
        if not self._rest and data.startswith(b"data: ") and data.find(b"\n\n") == len(data) - 2:
            # Fast path: a stream slower than the reads delivers exactly one event per read.
            payload = data[6:-2]
            if b"\n" not in payload:
                return [payload]
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        if self._rest:
            data = self._rest + data
        *events, self._rest = data.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            return None
        payloads = []
        for event in events:
            if event.startswith(b"data: ") and b"\n" not in event:
                payloads.append(event[6:])
            else:
                payloads.extend(_payloads(event))
        return payloads


def _payloads(event: bytes) -> list[bytes]:
    lines = [line[5:].lstrip(b" ") for line in event.split(b"\n") if line.startswith(b"data:")]
    return [b"\n".join(lines)] if lines else []


class StreamCursor:
    """State of one stream across all connections that carry it.

    :param request_id: id that every chunk must echo.
    :param version: weights version that every chunk must carry.
    :param next_index: index of the next token.
    :param complete_text: the texts of all earlier tokens are known, so another engine can continue.
    """

    def __init__(
        self, request_id: str, version: str, next_index: int = 0, complete_text: bool = True
    ) -> None:
        self._request_id = request_id
        self._version = version
        self._incarnation = ""
        self._next_index = next_index
        self._complete_text = complete_text
        self._texts: list[str] = []
        self._finish_reason: str | None = None
        self._usage: Usage | None = None
        self._is_final = False

    @property
    def next_index(self) -> int:
        """Returns the index of the next token."""
        return self._next_index

    @property
    def texts(self) -> list[str]:
        """Returns the texts of the accepted tokens."""
        return self._texts

    @property
    def can_continue(self) -> bool:
        """Returns whether another engine can continue from the accepted tokens."""
        return self._complete_text

    @property
    def finish_reason(self) -> str | None:
        """Returns why generation ended, ``None`` before that."""
        return self._finish_reason

    @property
    def usage(self) -> Usage | None:
        """Returns the token counts of the last event."""
        return self._usage

    @property
    def finished(self) -> bool:
        """Returns whether the engine has marked the response as complete."""
        return self._finish_reason is not None or self._is_final

    def expect(self, incarnation: str) -> None:
        """Sets the incarnation of the next chunks; if empty, that of the first chunk is used."""
        self._incarnation = incarnation

    @property
    def incarnation(self) -> str:
        """Returns the incarnation whose chunks are accepted."""
        return self._incarnation

    def take(self, payload: bytes) -> Fault | int:
        """Accepts one event if it is the next one of this stream.

        :returns: the index of its token, -1 for an event without one, or the fault.
        """
        chunk = parse_chunk(payload)
        if chunk is None:
            return Fault.MALFORMED
        if chunk.request_id != self._request_id:
            return Fault.OTHER_REQUEST
        if chunk.version != self._version:
            return Fault.OTHER_VERSION
        if chunk.incarnation != self._incarnation:
            if self._incarnation or type(chunk.incarnation) is not str:
                return Fault.OTHER_INCARNATION
            self._incarnation = chunk.incarnation
        index = chunk.index
        if index >= 0:
            if index != self._next_index:
                return Fault.SKIPPED if index > self._next_index else Fault.REPEATED
            if self._finish_reason is not None:
                return Fault.MALFORMED
            self._next_index = index + 1
            self._texts.append(chunk.text)
        elif chunk.text:
            return Fault.MALFORMED
        if chunk.finish_reason is not None:
            self._finish_reason = chunk.finish_reason
        if chunk.usage is not None:
            self._usage = chunk.usage
            # Engines may also state the usage so far with each token.
            self._is_final = index < 0
        return index
