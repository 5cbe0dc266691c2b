"""Splitting of server-sent events without changing their bytes."""

import re

#: Longest event that is accepted, bytes.
MAX_EVENT_BYTES = 1 << 20
#: Longest end of an event, bytes.
LONGEST_END = 4

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")


class EventTooLongError(ValueError):
    """An event exceeds ``MAX_EVENT_BYTES``; the endpoint has to send shorter ones."""


class WholeEvents:
    """Passes on whole events only, so that a stream can go on elsewhere after any of them."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id = ""

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
            self._last_id = ids[-1].decode("latin-1")
        return whole

    def restart(self) -> None:
        """Drops the beginning of an event that broke off."""
        self._rest = b""
