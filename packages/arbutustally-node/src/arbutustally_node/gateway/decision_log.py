"""Log of decisions on standard output: rate-limited and non-blocking.

Lines are buffered in memory for a greenlet that writes them. If the reader of the output is slow
or the rate is too high, lines are dropped, and a later line contains their number.
"""

import os
from collections import deque
from typing import Any

import gevent
import orjson

from arbutustally.clock import Clock, monotonic

#: Maximum number of buffered lines.
MAX_WAITING_LINES = 2000
#: Sustained rate, lines a second, and burst size, lines.
LINES_PER_S = 400.0
LINES_AT_ONCE = 1200.0
#: Pause between two writes, seconds.
WRITE_INTERVAL_S = 0.05
STDOUT = 1


class DecisionLog:
    """Writes one JSON line for each decision.

    :param fields: fields added to every line.
    :param descriptor: file descriptor of the output.
    :param clock: steady clock, seconds.
    """

    def __init__(
        self, fields: dict[str, Any], descriptor: int = STDOUT, clock: Clock = monotonic
    ) -> None:
        self._fields = fields
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._dropped = 0
        self._allowance = LINES_AT_ONCE
        self._filled_at = clock()
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts the greenlet that writes lines."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the greenlet and writes the buffered lines that the output accepts now."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self.flush()

    @property
    def dropped(self) -> int:
        """Returns the number of lines dropped and not yet reported in a later line."""
        return self._dropped

    def line(self, event: str, **fields: Any) -> None:
        """Adds a line, or drops it if the rate or the buffer limit is exceeded."""
        if not self._may_write():
            self._dropped += 1
            return
        if self._dropped:
            fields["lines_dropped_before"] = self._dropped
            self._dropped = 0
        entry = {"t": round(self._clock(), 4), "event": event, **self._fields, **fields}
        self._lines.append(_encode(entry) + b"\n")

    def flush(self) -> None:
        """Writes as much as the output accepts without blocking."""
        while self._lines or self._partial:
            data = self._partial or b"".join(self._lines)
            if not self._partial:
                self._lines.clear()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                # The reader has closed the output; the node keeps serving without a log.
                self._partial = b""
                return
            self._partial = data[written:]

    def _may_write(self) -> bool:
        now = self._clock()
        gained = (now - self._filled_at) * LINES_PER_S
        self._allowance = min(LINES_AT_ONCE, self._allowance + gained)
        self._filled_at = now
        if self._allowance < 1 or len(self._lines) >= MAX_WAITING_LINES:
            return False
        self._allowance -= 1
        return True

    def _run(self) -> None:
        while True:
            gevent.sleep(WRITE_INTERVAL_S)
            if self._lines or self._partial:
                self.flush()


def _encode(entry: dict[str, Any]) -> bytes:
    """Returns a line; a value that JSON can't represent is replaced by the name of its type."""
    try:
        return orjson.dumps(entry, default=str)
    except (TypeError, RecursionError):
        return orjson.dumps({name: _representable(value) for name, value in entry.items()})


def _representable(value: Any) -> Any:
    try:
        orjson.dumps(value)
    except (TypeError, RecursionError):
        return f"unencodable {type(value).__name__}"
    return value
