"""Splitting of server-sent events without changing their bytes."""

import re

#: Longest event that is accepted, bytes.
MAX_EVENT_BYTES = 1 << 20
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

    Decimal ids must increase, but may skip numbers. The order of other ids is unknown; each must
    differ from the one before it. Decimal and other ids can't follow each other.

    :param resumed_after: id that the first id must exceed, empty for a new stream. All events of a
        resumed stream must have ids.
    """

    def __init__(self, resumed_after: str = "") -> None:
        self._rest = b""
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
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all events that are now complete.

        :raises EventTooLongError: if an event is too long.
        :raises EventOrderError: if the id of an event doesn't follow the one before it.
        :raises UnnumberedEventError: if an event of a resumed stream has no id.
        """
        # The earlier bytes contain no terminator, but may end with the beginning of one.
        searched = max(0, len(self._rest) - MAX_TERMINATOR_BYTES + 1)
        data = self._rest + data
        ends = [match.end() for match in _END.finditer(data, searched)]
        if not ends:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            return b""
        self._check(data, ends)
        self._rest = data[ends[-1] :]
        return data[: ends[-1]]

    def restart(self) -> None:
        """Discards an incomplete event; the next bytes belong to a resumed stream."""
        if _CONTENT_LINE.search(self._rest):
            self._is_event_missing = True
        self._rest = b""
        self._previous_id = self._last_id.encode("latin-1")
        self._is_resumed = bool(self._last_id)

    def _check(self, data: bytes, ends: list[int]) -> None:
        """Checks complete events; nothing is recorded if one of them is refused."""
        previous, is_resumable = self._previous_id, self._is_resumable
        start = 0
        for end in ends:
            event = data[start:end]
            start = end
            ids = _ID_LINE.findall(event)
            # A stream can't be resumed after an empty id.
            if ids and ids[-1]:
                if previous and not _follows(ids[-1], previous):
                    raise EventOrderError("the ids of a stream do not increase; check the endpoint")
                previous, is_resumable = ids[-1], True
            elif _CONTENT_LINE.search(event):
                if self._is_resumed:
                    raise UnnumberedEventError("a resumed stream has no id; check the endpoint")
                is_resumable = False
        self._is_resumable = is_resumable
        if previous != self._previous_id:
            self._is_event_missing = False
            self._previous_id = previous
            self._last_id = previous.decode("latin-1")


def _follows(number: bytes, previous: bytes) -> bool:
    if number.isdigit() and previous.isdigit():
        return _magnitude(number) > _magnitude(previous)
    return number != previous and not (number.isdigit() or previous.isdigit())


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    # ``int`` raises ValueError for numbers of several thousand digits.
    digits = digits.lstrip(b"0")
    return len(digits), digits
