"""Callers: deadline, retries, and leaving after a pause."""

from collections.abc import Callable

from bench.engines.arrivals import Arrival
from bench.engines.experiment import MS
from bench.engines.request_run import RequestRun
from bench.engines.tally import Ending, Tally
from bench.replay.loop import EventLoop

#: Shortest pause after which a caller leaves a stream, seconds.
LEAVE_AFTER_S = 2.0
#: The same as multiples of the aims for the first event and for a pause.
LEAVE_AFTER_AIMS = 4.0
LEAVE_AFTER_GAPS = 8.0
#: Part of the time left that a caller waits at most when it is asked to come back.
MOST_WAIT_PART = 1 / 3

#: Starts an attempt: node, seconds left, tokens that the caller has, and the caller.
StartAttempt = Callable[[int, float, int, "Caller"], RequestRun]


class Caller:
    """One caller with one request."""

    def __init__(self, loop: EventLoop, arrival: Arrival, tally: Tally, start: StartAttempt):
        self._loop = loop
        self._arrival = arrival
        self._tally = tally
        self._start = start
        self._deadline = arrival.at + arrival.sizes.deadline_ms * MS
        self._attempts = 0
        self._run: RequestRun | None = None
        self._first_s: float | None = None
        self._heard_at = arrival.at
        self._longest_gap_s = 0.0
        self._made = 0
        self._is_over = False

    def begin(self) -> None:
        """Sends the first attempt."""
        self._loop.at(self._deadline, lambda: self._leave(Ending.FAILED))
        if self._arrival.sizes.kind == "stream":
            self._watch()
        self._send()

    def _send(self) -> None:
        if self._is_over:
            return
        node = self._arrival.nodes[self._attempts]
        self._attempts += 1
        left_s = self._deadline - self._loop.clock()
        self._run = self._start(node, left_s, self._made, self)

    def received(self, made: int, is_complete: bool) -> None:
        """See ``AnswerListener``."""
        if self._is_over:
            return
        now = self._loop.clock()
        if self._first_s is None:
            self._first_s = now - self._arrival.at
        else:
            self._longest_gap_s = max(self._longest_gap_s, now - self._heard_at)
        self._heard_at = now
        self._made = made
        if is_complete:
            self._end(Ending.ON_TIME if self._is_on_time else Ending.LATE)

    @property
    def _is_on_time(self) -> bool:
        sizes = self._arrival.sizes
        is_steady = sizes.kind != "stream" or self._longest_gap_s <= sizes.gap_aim_ms * MS
        return self._first_s <= sizes.aim_ms * MS and is_steady

    def refused(self, retry_after_s: float) -> None:
        """See ``AnswerListener``."""
        left_s = self._deadline - self._loop.clock()
        self._retry(min(retry_after_s, left_s * MOST_WAIT_PART), Ending.REFUSED)

    def failed(self) -> None:
        """See ``AnswerListener``."""
        sizes = self._arrival.sizes
        if sizes.kind == "idempotent" or sizes.is_resumable:
            self._retry(0.0, Ending.FAILED)
        elif not self._is_over:
            self._end(Ending.FAILED)

    def _retry(self, wait_s: float, ending: Ending) -> None:
        if self._is_over:
            return
        if self._attempts > self._arrival.sizes.retries or wait_s < 0:
            self._end(ending)
            return
        self._run = None
        self._loop.after(wait_s, self._send)

    def _watch(self) -> None:
        sizes = self._arrival.sizes
        patience_s = max(
            LEAVE_AFTER_S,
            LEAVE_AFTER_AIMS * sizes.aim_ms * MS,
            LEAVE_AFTER_GAPS * sizes.gap_aim_ms * MS,
        )
        seen_at = self._heard_at

        def look() -> None:
            if self._heard_at > seen_at:
                self._watch()
            else:
                self._leave(Ending.FAILED)

        self._loop.at(seen_at + patience_s, look)

    def _leave(self, ending: Ending) -> None:
        if self._is_over:
            return
        self._end(ending)
        if self._run is not None:
            self._run.leave()

    def _end(self, ending: Ending) -> None:
        self._is_over = True
        self._tally.ended(self._arrival, ending, self._first_s)
