"""Leaves engines that have not begun a request when its weights are about to expire.

An engine that is silent for a while begins, when it goes on, what it was sent before. So the end of
the period in which requests may begin on replaced weights also binds attempts that are under way:
those without a first event are left before it, and their requests go on at engines with newer
weights.
"""

import math
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally_node.loop_turn import wait_for_turn

#: Attempts that have not begun are left this long before the period ends, seconds: a reset has to
#: reach the engine, and the node may have learned of the newer weights late.
LEAVE_MARGIN_S = 0.4
#: Time before that over which attempts are left, seconds. The engines with newer weights would
#: otherwise get all of them at once.
LEAVE_SPREAD_S = 0.3
#: Longest time between two looks at the clock, seconds: timers stand still while the instance is
#: suspended.
CHECK_INTERVAL_S = 0.5


class WaitingAttempt:
    """An attempt that waits for its first event.

    :param leave: leaves the engine.
    :param has_begun: returns whether the first event has come.
    :param lead_s: part of ``LEAVE_SPREAD_S`` by which it is left earlier than others, seconds.
    """

    def __init__(
        self,
        watch: "BeginWatch",
        model: str,
        version: int,
        leave: Callable[[], None],
        has_begun: Callable[[], bool],
        lead_s: float,
    ) -> None:
        self.model = model
        self.version = version
        self.leave = leave
        self.has_begun = has_begun
        self.lead_s = lead_s
        self.timer: Any = None
        self._watch = watch

    def end(self) -> None:
        """Ends the wait; does nothing if it has ended."""
        self._watch.end(self)


class BeginWatch:
    """Leaves the attempts of a node that have not begun in time.

    :param weights_until: returns until when requests may begin on a version of a model, steady
        seconds.
    :param clock: steady clock, seconds.
    """

    def __init__(self, weights_until: Callable[[str, int], float], clock: Clock) -> None:
        self._weights_until = weights_until
        self._clock = clock
        self._waiting: dict[str, set[WaitingAttempt]] = {}

    def begin(
        self,
        model: str,
        version: int,
        leave: Callable[[], None],
        has_begun: Callable[[], bool],
        spread: float,
    ) -> WaitingAttempt:
        """Adds an attempt that is about to be sent.

        :param leave: called in a greenlet of its own, at most once and only before the first event.
        :param has_begun: returns whether the first event has come.
        :param spread: number from 0 to 1 that spreads the attempts.
        """
        lead_s = spread * LEAVE_SPREAD_S
        waiting = WaitingAttempt(self, model, version, leave, has_begun, lead_s)
        self._waiting.setdefault(model, set()).add(waiting)
        self._schedule(waiting)
        return waiting

    def end(self, waiting: WaitingAttempt) -> None:
        """Removes an attempt that has begun or ended."""
        self._waiting[waiting.model].discard(waiting)
        if waiting.timer is not None:
            waiting.timer.kill(block=False)
            waiting.timer = None

    def weights_changed(self, model: str) -> None:
        """Takes into account that a version was named, or earlier than was known."""
        for waiting in tuple(self._waiting.get(model, ())):
            self._schedule(waiting)

    def _left_s(self, waiting: WaitingAttempt) -> float:
        until = self._weights_until(waiting.model, waiting.version)
        return until - LEAVE_MARGIN_S - waiting.lead_s - self._clock()

    def _schedule(self, waiting: WaitingAttempt) -> None:
        if waiting.timer is not None:
            waiting.timer.kill(block=False)
            waiting.timer = None
        left_s = self._left_s(waiting)
        if left_s == math.inf or waiting.has_begun():
            return
        if left_s == -math.inf:
            # A peer usually tells soon when a version was named that this node cannot date.
            left_s = CHECK_INTERVAL_S - waiting.lead_s
        delay_s = min(max(0.0, left_s), CHECK_INTERVAL_S)
        waiting.timer = gevent.spawn_later(delay_s, self._leave, waiting)

    def _leave(self, waiting: WaitingAttempt) -> None:
        """Leaves an attempt if it is time; otherwise looks again later."""
        if self._left_s(waiting) > 0:
            waiting.timer = None
            self._schedule(waiting)
            return
        # A first event that lies in the socket is read first.
        wait_for_turn()
        if waiting not in self._waiting[waiting.model]:
            return
        waiting.timer = None
        if not waiting.has_begun():
            self._waiting[waiting.model].discard(waiting)
            waiting.leave()
