"""Splitting of server-sent events without changing their bytes."""

import re

#: Longest event that is accepted, bytes.
MAX_EVENT_BYTES = 1 << 20
#: Longest end of an event, bytes.
LONGEST_END = 4

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")


class EventError(ValueError):
    """The events of an endpoint can't be passed on."""


class EventTooLongError(EventError):
    """An event exceeds ``MAX_EVENT_BYTES``; the endpoint has to send shorter ones."""


class RepeatedEventError(EventError):
    """A resumed stream begins at an event that was passed on; the endpoint has to go on after it."""


class WholeEvents:
    """Passes on whole events only, so that a stream can go on elsewhere after any of them.

    :param resumed_after: id that the first id must exceed, empty for a new stream. Only decimal ids
        are compared: others, and events without an id, are passed on as they come.
    """

    def __init__(self, resumed_after: str = "") -> None:
        self._rest = b""
        self._last_id = ""
        self._resumed_after = resumed_after

    @property
    def last_id(self) -> str:
        """Returns the id of the last whole event that had one."""
        return self._last_id

    @property
    def rest(self) -> bytes:
        """Returns the bytes of an event whose end has not arrived."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all whole events.

        :raises EventTooLongError: if an event is too long.
        :raises RepeatedEventError: if a resumed stream does not go on after its last event.
        """
        # What came before has no end, except for the beginning of one.
        searched = max(0, len(self._rest) - LONGEST_END + 1)
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
        """Drops the beginning of an event that broke off; the next one is of a resumed stream."""
        self._rest = b""
        self._resumed_after = self._last_id


def _is_repeated(first: bytes, last: bytes) -> bool:
    return first.isdigit() and last.isdigit() and _magnitude(first) <= _magnitude(last)


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    # ``int`` refuses numbers of several thousand digits.
    digits = digits.lstrip(b"0")
    return len(digits), digits
