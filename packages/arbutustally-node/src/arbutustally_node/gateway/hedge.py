"""Hedging: a request at a silent endpoint is also sent to another one; the first response is used.

The first attempt of a plain request is abandoned only once another endpoint has answered, so hedging
costs it neither its place in a queue nor a response that has begun. A stream must not be generated
by two engines for long, so its hedge takes over a bounded time after it was sent, answered or not.
An attempt is also abandoned if its endpoint is silent and refuses connections. Connect timeouts
also occur at a working endpoint, so they count only if the request may run at another endpoint.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent import get_hub, getcurrent

from arbutustally.clock import Clock
from arbutustally.gateway.endpoint_state import EndpointState

#: Interval between two checks of a silent endpoint, seconds.
CHECK_INTERVAL_S = 0.3
#: Minimum silence before an attempt at an unreachable endpoint is abandoned, seconds.
UNREACHABLE_S = 1.2
#: Time after which the hedge of a stream takes over, seconds. Two engines may work on a stream for
#: 0.4 s at most; the rest is for the reset to reach the first one.
STREAM_TAKEOVER_S = 0.35


class OvertakenError(Exception):
    """Another endpoint has answered the request or takes it over."""


class WeightsExpiredError(Exception):
    """The endpoint has not begun the request, and its weights are about to expire."""


class UnreachableError(Exception):
    """The endpoint is silent and does not accept connections."""


class HedgeController:
    """Watches one attempt for silence and controls its hedge, an attempt at another endpoint.

    :param state: endpoint of the attempt.
    :param clock: steady clock, seconds.
    :param on_silent: called at each check of the silent endpoint, must not block.
    :param start_hedge: sends the hedge and returns the greenlet whose value is whether the other
        endpoint has answered; ``None`` if no other endpoint is available at present. Without it
        the attempt is abandoned only if its endpoint is unreachable.
    :param cancel_hedge: cancels the hedge, even if it has been answered.
    :param may_run_elsewhere: returns whether the request may run at another endpoint if this
        attempt is abandoned because connects to its endpoint time out.
    :param takeover_s: time after which a running hedge takes over although it has not answered,
        seconds; ``None`` if both attempts may go on.
    """

    def __init__(
        self,
        state: EndpointState,
        clock: Clock,
        on_silent: Callable[[EndpointState], None],
        start_hedge: Callable[[], gevent.Greenlet | None] = lambda: None,
        cancel_hedge: Callable[[], None] = lambda: None,
        may_run_elsewhere: Callable[[], bool] = lambda: False,
        takeover_s: float | None = None,
    ) -> None:
        self._state = state
        self._clock = clock
        self._on_silent = on_silent
        self._start_hedge = start_hedge
        self._cancel_hedge = cancel_hedge
        self._may_run_elsewhere = may_run_elsewhere
        self._takeover_s = takeover_s
        self._hedge_greenlet: gevent.Greenlet | None = None
        self._waiting: gevent.Greenlet | None = None
        self._is_overtaken = False
        self._is_expired = False
        self._waits = 0
        self._waits_since = clock()

    @contextmanager
    def watch(self, silent_s: float) -> Iterator[None]:
        """Guards a wait of the current greenlet for the endpoint.

        :param silent_s: time from now after which the endpoint counts as silent, seconds.
        :raises OvertakenError: if another endpoint has answered or takes the request over.
        :raises UnreachableError: if the endpoint is silent and unreachable.
        :raises WeightsExpiredError: if ``expire`` was called.
        """
        if self._is_expired:
            raise WeightsExpiredError
        if self._is_overtaken:
            raise OvertakenError
        timer = get_hub().loop.timer(max(silent_s, 0.0), CHECK_INTERVAL_S)
        self._waiting = getcurrent()
        self._waits += 1
        self._waits_since = self._clock()
        timer.start(self._check)
        try:
            yield
        finally:
            timer.stop()
            timer.close()
            self._waiting = None

    def record_data(self) -> None:
        """Records data from the endpoint and cancels the hedge, whose response is obsolete now."""
        self._state.last_data_at = self._clock()
        if self._hedge_greenlet is not None or self._is_overtaken:
            self._hedge_greenlet = None
            self._is_overtaken = False
            self._cancel_hedge()

    def expire(self) -> None:
        """Abandons the attempt, as its endpoint has not begun in time; not for the event loop."""
        self._is_expired = True
        self._interrupt(WeightsExpiredError())

    def _check(self) -> None:
        if self._is_gone():
            # Spawned, so that data waiting in the socket is read first.
            gevent.spawn(self._give_up, self._waits)
            return
        self._on_silent(self._state)
        if self._hedge_greenlet is None and not self._is_overtaken:
            # Spawned, as placement takes too long for a callback of the event loop.
            gevent.spawn(self._start, self._waits)

    def _is_gone(self) -> bool:
        state = self._state
        since = self._waits_since
        if not state.is_down or self._clock() - since < UNREACHABLE_S:
            return False
        return state.has_refused(since) or (
            state.has_failed_checks(since) and self._may_run_elsewhere()
        )

    def _give_up(self, wait: int) -> None:
        if wait == self._waits:
            self._interrupt(UnreachableError())

    def _start(self, wait: int) -> None:
        # The endpoint may have sent data since the timer expired.
        if self._hedge_greenlet is not None or self._waiting is None or wait != self._waits:
            return
        greenlet = self._start_hedge()
        if greenlet is not None:
            self._hedge_greenlet = greenlet
            greenlet.link(self._ended)
            if self._takeover_s is not None:
                gevent.spawn_later(self._takeover_s, self._take_over, greenlet)

    def _take_over(self, greenlet: gevent.Greenlet) -> None:
        """Abandons the attempt in favour of a hedge that is still running."""
        if greenlet is self._hedge_greenlet:
            self._overtake()

    def _ended(self, greenlet: Any) -> None:
        if greenlet is not self._hedge_greenlet:
            return
        self._hedge_greenlet = None
        # The value of a killed greenlet is an exception, hence the comparison with ``True``.
        if greenlet.value is True:
            self._overtake()

    def _overtake(self) -> None:
        self._is_overtaken = True
        self._interrupt(OvertakenError())

    def _interrupt(self, error: Exception) -> None:
        if self._waiting is not None:
            self._waiting.throw(error)
