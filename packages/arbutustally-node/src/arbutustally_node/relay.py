"""Checks on a relayed stream: own request id, right incarnation and version, next index."""

from enum import StrEnum

from arbutustally.engine_client import Usage, parse_chunk

#: Longest event of an engine.
MAX_EVENT_BYTES = 1 << 20


class Fault(StrEnum):
    """Why a stream cannot be read on from its connection."""

    BROKEN = "connection_broken"
    CROSSED = "crossed_answer"
    MALFORMED = "malformed_event"
    OTHER_INCARNATION = "other_incarnation"
    OTHER_VERSION = "other_version"
    REPEATED = "repeated_index"
    SILENT = "endpoint_silent"
    SKIPPED = "skipped_index"
    TRUNCATED = "truncated_stream"


class EventSplitter:
    """Splits server-sent events out of large reads."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes] | None:
        """Returns the data of all whole events, or ``None`` if an event is too long."""
        if not self._rest and data.startswith(b"data: ") and data.find(b"\n\n") == len(data) - 2:
            # A paced stream delivers exactly one event a read.
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
    """What is known of one stream, across all connections that carry it.

    :param request_id: id that every chunk has to echo.
    :param version: weights version that every chunk has to name.
    :param next_index: index of the next token.
    :param complete_text: the texts of all earlier tokens are held, so another engine can continue.
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

    @property
    def next_index(self) -> int:
        """Returns the index of the next token."""
        return self._next_index

    @property
    def texts(self) -> list[str]:
        """Returns the texts of the tokens taken."""
        return self._texts

    @property
    def can_continue(self) -> bool:
        """Returns whether another engine can continue from the tokens taken."""
        return self._complete_text

    @property
    def finish_reason(self) -> str | None:
        """Returns the reason for which the stream ended, ``None`` before that."""
        return self._finish_reason

    @property
    def usage(self) -> Usage | None:
        """Returns the token counts of the last event."""
        return self._usage

    @property
    def finished(self) -> bool:
        """Returns whether the engine said that the answer is whole."""
        return self._finish_reason is not None or self._usage is not None

    def expect(self, incarnation: str) -> None:
        """Sets the incarnation of the next chunks; empty takes that of the first."""
        self._incarnation = incarnation

    @property
    def incarnation(self) -> str:
        """Returns the incarnation whose chunks are taken."""
        return self._incarnation

    def take(self, payload: bytes) -> Fault | int:
        """Takes one event if it is the next of this stream.

        :returns: the index of its token, -1 for an event without one, or the fault.
        """
        chunk = parse_chunk(payload)
        if chunk is None:
            return Fault.MALFORMED
        if chunk.request_id != self._request_id:
            return Fault.CROSSED
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
        return index
