"""Ends reads from endpoints that have been silent for too long.

One sweep over all waiting reads replaces a timer for each of them, which took a fifth of the
processor time of a relayed event (bench/relay.py).
"""

import math
from typing import Any, Protocol

import gevent

from arbutustally.clock import Clock

#: Sweeps within the longest accepted silence; a read ends at most two sweeps late.
SWEEPS = 8
MAX_SWEEP_S = 1.0


class Reader(Protocol):
    """Something that waits for an endpoint."""

    def silence(self) -> None:
        """Ends the wait."""


class SilenceWatch:
    """Knows since which sweep each read waits.

    :param limit_s: longest accepted silence, infinite for no limit.
    """

    def __init__(self, clock: Clock, limit_s: float) -> None:
        self._clock = clock
        self._limit_s = limit_s
        self._waiting: dict[Reader, float] = {}
        self._greenlet: Any = None

    def stop(self) -> None:
        """Stops to sweep."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def waits(self, reader: Reader) -> None:
        """Notes the begin of a read; its time counts from the next sweep."""
        self._waiting[reader] = 0.0
        if self._greenlet is None and math.isfinite(self._limit_s):
            self._greenlet = gevent.spawn(self._sweep)

    def received(self, reader: Reader) -> None:
        """Notes the end of a read."""
        del self._waiting[reader]

    def _sweep(self) -> None:
        while True:
            gevent.sleep(min(MAX_SWEEP_S, self._limit_s / SWEEPS))
            now = self._clock()
            for reader, since in list(self._waiting.items()):
                if not since:
                    self._waiting[reader] = now
                elif now - since >= self._limit_s:
                    reader.silence()
