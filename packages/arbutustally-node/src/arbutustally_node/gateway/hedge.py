"""Hedging: a request at a silent endpoint is sent to another one, and the first answer counts.

The silent endpoint is left only once another one has answered, so looking for another one never
costs the request its place or an answer that has begun. An endpoint that is silent and refuses
connections is given up. Connects that time out also happen at an endpoint that works, so they count
only where the request may be left to others.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent import get_hub, getcurrent

from arbutustally.clock import Clock
from arbutustally.gateway.endpoints import EndpointState

#: Pause between two looks at a silent endpoint, seconds.
LOOK_S = 0.3
#: Least silence after which an endpoint that can't be connected to is given up, seconds.
UNREACHABLE_S = 1.2


class OvertakenError(Exception):
    """Another endpoint has answered the request."""


class UnreachableError(Exception):
    """The endpoint is silent and can't be connected to."""


class Hedge:
    """Watches one attempt for silence, and the attempt at another endpoint beside it.

    :param state: endpoint of the attempt.
    :param on_silent: called at each look at the silent endpoint, must not block.
    :param start_other: sends the request to another endpoint and returns the greenlet whose value
        is whether that endpoint has answered; ``None`` if there is no other, or not now. Without
        it the attempt is only given up when its endpoint can't be reached.
    :param cancel_other: ends the attempt at the other endpoint, also if it has answered.
    :param may_go_on: whether the request may go on elsewhere if the endpoint is given up because
        connects to it time out.
    """

    def __init__(
        self,
        state: EndpointState,
        clock: Clock,
        on_silent: Callable[[EndpointState], None],
        start_other: Callable[[], gevent.Greenlet | None] = lambda: None,
        cancel_other: Callable[[], None] = lambda: None,
        may_go_on: Callable[[], bool] = lambda: False,
    ) -> None:
        self._state = state
        self._clock = clock
        self._on_silent = on_silent
        self._start_other = start_other
        self._cancel_other = cancel_other
        self._may_go_on = may_go_on
        self._other: gevent.Greenlet | None = None
        self._waiting: gevent.Greenlet | None = None
        self._is_overtaken = False
        self._waits = 0
        self._waits_since = clock()

    @contextmanager
    def watch(self, silent_s: float) -> Iterator[None]:
        """Watches a wait for the endpoint, in the current greenlet.

        :param silent_s: time from now after which the endpoint counts as silent.
        :raises OvertakenError: if another endpoint has answered.
        :raises UnreachableError: if the endpoint is silent and can't be reached.
        """
        if self._is_overtaken:
            raise OvertakenError
        timer = get_hub().loop.timer(max(silent_s, 0.0), LOOK_S)
        self._waiting = getcurrent()
        self._waits += 1
        self._waits_since = self._clock()
        timer.start(self._look)
        try:
            yield
        finally:
            timer.stop()
            timer.close()
            self._waiting = None

    def heard(self) -> None:
        """Notes that the endpoint has gone on: what another one might answer is out of date."""
        self._state.heard_at = self._clock()
        if self._other is not None or self._is_overtaken:
            self._other = None
            self._is_overtaken = False
            self._cancel_other()

    def _look(self) -> None:
        if self._is_gone():
            # Data that wait in the socket are read before the spawned greenlet runs.
            gevent.spawn(self._give_up, self._waits)
            return
        self._on_silent(self._state)
        if self._other is None and not self._is_overtaken:
            # Placement takes too long for a callback of the event loop.
            gevent.spawn(self._start, self._waits)

    def _is_gone(self) -> bool:
        state = self._state
        since = self._waits_since
        if not state.is_down or self._clock() - since < UNREACHABLE_S:
            return False
        return state.has_refused(since) or (state.has_failed_checks(since) and self._may_go_on())

    def _give_up(self, wait: int) -> None:
        if wait == self._waits:
            self._interrupt(UnreachableError())

    def _start(self, wait: int) -> None:
        # The endpoint may have gone on since the timer expired.
        if self._other is not None or self._waiting is None or wait != self._waits:
            return
        other = self._start_other()
        if other is not None:
            self._other = other
            other.link(self._ended)

    def _ended(self, other: Any) -> None:
        if other is not self._other:
            return
        self._other = None
        # The value of a greenlet that was killed is an exception.
        if other.value is True:
            self._is_overtaken = True
            self._interrupt(OvertakenError())

    def _interrupt(self, error: Exception) -> None:
        if self._waiting is not None:
            self._waiting.throw(error)
