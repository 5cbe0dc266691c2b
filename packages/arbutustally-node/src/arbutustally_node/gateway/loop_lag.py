"""Measures by how much the event loop's timers are late."""

import math
import time
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.instruments import Instruments

#: Interval between two measurements, seconds.
INTERVAL_S = 0.05
#: Delay above which a line is logged, seconds.
LOGGED_LAG_S = 0.25
#: Time after such a delay within which the loop reads what arrived meanwhile, seconds.
BACKLOG_S = 0.5


class LoopLagMonitor:
    """Records the delays of a periodic timer as the metric ``loop_lag``.

    Timers are also late if the process gets no processor time. The processor time in the log line
    distinguishes this from a long computation of the process itself.

    :param clock: monotonic seconds.
    """

    def __init__(self, log: DecisionLog, instruments: Instruments, clock: Clock) -> None:
        self._log = log
        self._instruments = instruments
        self._clock = clock
        self._greenlet: Any = None
        self._turn_at = math.inf
        self._stalled_from = -math.inf
        self._stalled_to = -math.inf

    def start(self) -> None:
        """Starts the measurements."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the measurements."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def earliest_arrival(self) -> float:
        """Returns the earliest time at which what is read now may have arrived, steady seconds.

        It is in the past while the loop stands still, e.g. since the process or the instance is
        suspended, and shortly after.
        """
        now = self._clock()
        if now - self._turn_at > INTERVAL_S + LOGGED_LAG_S:
            return self._turn_at
        return self._stalled_from if now - self._stalled_to < BACKLOG_S else now

    def record(self, lag_s: float, processor_s: float) -> None:
        """Records one delay.

        :param lag_s: delay of the timer, seconds.
        :param processor_s: processor time of the process in the interval and the delay, seconds.
        """
        self._instruments.duration("loop_lag", "", max(lag_s, 0.0))
        if lag_s > LOGGED_LAG_S:
            self._log.line(
                "loop_lag",
                lag_ms=round(lag_s * 1000),
                processor_ms=round(processor_s * 1000),
            )

    def _run(self) -> None:
        while True:
            began, processor_began = self._clock(), time.process_time()
            self._turn_at = began
            gevent.sleep(INTERVAL_S)
            ended = self._clock()
            lag_s = ended - began - INTERVAL_S
            if lag_s > LOGGED_LAG_S:
                if began - self._stalled_to >= BACKLOG_S:
                    self._stalled_from = began
                self._stalled_to = ended
            self.record(lag_s, time.process_time() - processor_began)
