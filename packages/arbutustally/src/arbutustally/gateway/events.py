"""Splitting of server-sent events without changing their bytes."""

import re

#: Longest event that is accepted, bytes.
MAX_EVENT_BYTES = 1 << 20
#: Length of the longest event terminator, bytes.
MAX_TERMINATOR_BYTES = 4

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")


class EventError(ValueError):
    """The events of an endpoint can't be forwarded."""


class EventTooLongError(EventError):
    """An event exceeds ``MAX_EVENT_BYTES``; the endpoint must send shorter events."""


class RepeatedEventError(EventError):
    """A resumed stream repeats a forwarded event; the endpoint must continue after it."""


class WholeEvents:
    """Forwards complete events only, so that another endpoint can continue the stream after any.

    :param resumed_after: id that the first id must exceed, empty for a new stream. Only decimal ids
        are compared; others, and events without an id, are forwarded unchecked.
    """

    def __init__(self, resumed_after: str = "") -> None:
        self._rest = b""
        self._last_id = ""
        self._resumed_after = resumed_after

    @property
    def last_id(self) -> str:
        """Returns the id of the last complete event that had one."""
        return self._last_id

    @property
    def rest(self) -> bytes:
        """Returns the bytes of the incomplete last event."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all events that are now complete.

        :raises EventTooLongError: if an event is too long.
        :raises RepeatedEventError: if a resumed stream does not continue after its last event.
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
        whole, self._rest = data[: ends[-1]], data[ends[-1] :]
        ids = _ID_LINE.findall(whole)
        if ids:
            if _is_repeated(ids[0], self._resumed_after.encode("latin-1")):
                raise RepeatedEventError("a resumed stream begins again")
            self._resumed_after = ""
            self._last_id = ids[-1].decode("latin-1")
        return whole

    def restart(self) -> None:
        """Discards an incomplete event; the next bytes belong to a resumed stream."""
        self._rest = b""
        self._resumed_after = self._last_id


def _is_repeated(first: bytes, last: bytes) -> bool:
    return first.isdigit() and last.isdigit() and _magnitude(first) <= _magnitude(last)


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    # ``int`` raises ValueError for numbers of several thousand digits.
    digits = digits.lstrip(b"0")
    return len(digits), digits
