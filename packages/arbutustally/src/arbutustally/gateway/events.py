"""Splitting of server-sent events without changing their bytes."""

import re
from itertools import islice

#: Longest event that is accepted, bytes.
MAX_EVENT_BYTES = 1 << 20
#: Events that one call of ``WholeEvents.feed`` checks at most.
MAX_EVENTS_PER_FEED = 1024
#: Length of the longest event terminator, bytes.
MAX_TERMINATOR_BYTES = 4

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
#: A line with content; comments and the delay of reconnections are not part of the stream.
_CONTENT_LINE = re.compile(rb"(?:^|\n)(?!:|retry:)[^\r\n]")
_END = re.compile(rb"\r?\n\r?\n")


class EventError(ValueError):
    """The events of an endpoint can't be forwarded."""


class EventTooLongError(EventError):
    """An event exceeds ``MAX_EVENT_BYTES``; the endpoint must send shorter events."""


class EventOrderError(EventError):
    """The ids of a stream don't increase; a resumed one must continue after the last event."""


class UnnumberedEventError(EventError):
    """A resumed stream has content without an id, which nothing shows to continue the stream."""


class WholeEvents:
    """Forwards complete events only, so that another endpoint can continue the stream after any.

    Comments and empty lines are forwarded together with the event that follows them, and count as
    a part of it.

    Decimal ids must increase, but may skip numbers. The order of other ids is unknown; each must
    differ from the one before it. Decimal and other ids can't follow each other.

    :param resumed_after: id that the first id must exceed, empty for a new stream. All events of a
        resumed stream must have ids.
    """

    def __init__(self, resumed_after: str = "") -> None:
        self._rest: bytes | bytearray = b""
        self._held = bytearray()
        self._has_more = False
        self._last_id = resumed_after
        self._previous_id = resumed_after.encode("latin-1")
        self._is_resumed = bool(resumed_after)
        self._is_resumable = True
        self._is_event_missing = False

    @property
    def last_id(self) -> str:
        """Returns the id of the last complete event that had one, at first ``resumed_after``."""
        return self._last_id

    @property
    def is_resumable(self) -> bool:
        """Returns whether the last complete event, if there is one, had an id."""
        return self._is_resumable

    @property
    def is_event_missing(self) -> bool:
        """Returns whether only the beginning of the next event arrived before the last restart."""
        return self._is_event_missing

    @property
    def rest(self) -> bytes:
        """Returns the bytes of the incomplete last event."""
        return bytes(self._rest)

    @property
    def held(self) -> bytes:
        """Returns complete comments and empty lines behind the last complete event."""
        return bytes(self._held)

    @property
    def has_more(self) -> bool:
        """Returns whether received bytes remain to be checked, by ``feed(b"")``."""
        return self._has_more

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all events that are now complete.

        Checks up to ``MAX_EVENTS_PER_FEED`` events.

        :raises EventTooLongError: if an event is too long.
        :raises EventOrderError: if the id of an event doesn't follow the one before it.
        :raises UnnumberedEventError: if an event of a resumed stream has no id.
        """
        searched = 0
        if self._rest:
            # The earlier bytes contain no terminator, but may end with the beginning of one.
            if not self._has_more:
                searched = max(0, len(self._rest) - MAX_TERMINATOR_BYTES + 1)
            data = self._joined(data)
        found = islice(_END.finditer(data, searched), MAX_EVENTS_PER_FEED)
        ends = [match.end() for match in found]
        self._has_more = len(ends) == MAX_EVENTS_PER_FEED
        if not ends:
            self._rest = data
            self._check_length()
            return b""
        data = bytes(data)
        content_end = self._check(data, ends)
        self._rest = data[ends[-1] :]
        whole = data[:content_end]
        if content_end and self._held:
            whole = bytes(self._held) + whole
            self._held.clear()
        if content_end < ends[-1]:
            self._held += data[content_end : ends[-1]]
            self._check_length()
        return whole

    def _joined(self, data: bytes) -> bytearray:
        if not isinstance(self._rest, bytearray):
            self._rest = bytearray(self._rest)
        self._rest += data
        return self._rest

    def _check_length(self) -> None:
        if len(self._held) + (0 if self._has_more else len(self._rest)) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")

    def restart(self) -> None:
        """Discards an incomplete event; the next bytes belong to a resumed stream."""
        if _CONTENT_LINE.search(self._rest):
            self._is_event_missing = True
        self._rest = b""
        self._held.clear()
        self._has_more = False
        self._previous_id = self._last_id.encode("latin-1")
        self._is_resumed = bool(self._last_id)

    def _check(self, data: bytes, ends: list[int]) -> int:
        """Checks complete events; nothing is recorded if one of them is refused.

        Returns the end of the last one with content, 0 without one.
        """
        previous, is_resumable = self._previous_id, self._is_resumable
        start = content_end = 0
        for end in ends:
            event = data[start:end]
            start = end
            ids = _ID_LINE.findall(event)
            # A stream can't be resumed after an empty id.
            if ids and ids[-1]:
                if previous and not _follows(ids[-1], previous):
                    raise EventOrderError("the ids of a stream do not increase; check the endpoint")
                previous, is_resumable = ids[-1], True
                content_end = end
            elif _CONTENT_LINE.search(event):
                if self._is_resumed:
                    raise UnnumberedEventError("a resumed stream has no id; check the endpoint")
                is_resumable = False
                content_end = end
        self._is_resumable = is_resumable
        if previous != self._previous_id:
            self._is_event_missing = False
            self._previous_id = previous
            self._last_id = previous.decode("latin-1")
        return content_end


def _follows(number: bytes, previous: bytes) -> bool:
    if number.isdigit() and previous.isdigit():
        return _magnitude(number) > _magnitude(previous)
    return number != previous and not (number.isdigit() or previous.isdigit())


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    # ``int`` raises ValueError for numbers of several thousand digits.
    digits = digits.lstrip(b"0")
    return len(digits), digits
