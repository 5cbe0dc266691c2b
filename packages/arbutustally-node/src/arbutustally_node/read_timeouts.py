"""Read timeouts for connections to endpoints.

A periodic sweep checks all waiting reads. A timer for each read took a fifth of the CPU time of a
relayed event (bench/relay.py).
"""

import math
from typing import Any, Protocol

import gevent

from arbutustally.clock import Clock

#: Sweeps per read timeout; a read times out at most two sweeps late.
SWEEPS_PER_TIMEOUT = 8
MAX_SWEEP_S = 1.0


class Reader(Protocol):
    """A reader that waits for data of an endpoint."""

    def time_out(self) -> None:
        """Aborts the wait because of the read timeout."""


class ReadTimeouts:
    """Aborts reads that wait longer than the read timeout.

    :param timeout_s: read timeout, infinite for none.
    """

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._waiting: dict[Reader, float] = {}
        self._greenlet: Any = None

    def stop(self) -> None:
        """Stops the sweeps."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def begin_read(self, reader: Reader) -> None:
        """Records the start of a read; its waiting time counts from the next sweep."""
        self._waiting[reader] = 0.0
        if self._greenlet is None and math.isfinite(self._timeout_s):
            self._greenlet = gevent.spawn(self._sweep)

    def end_read(self, reader: Reader) -> None:
        """Records the end of a read."""
        del self._waiting[reader]

    def _sweep(self) -> None:
        while True:
            gevent.sleep(min(MAX_SWEEP_S, self._timeout_s / SWEEPS_PER_TIMEOUT))
            now = self._clock()
            for reader, since in list(self._waiting.items()):
                if not since:
                    self._waiting[reader] = now
                elif now - since >= self._timeout_s:
                    reader.time_out()
