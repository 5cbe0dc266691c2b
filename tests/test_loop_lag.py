"""The metric and the log line for a blocked event loop."""

import time
import unittest
from unittest.mock import Mock

import gevent
from gevent import monkey

from arbutustally.clock import monotonic
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.loop_lag import (
    BACKLOG_S,
    INTERVAL_S,
    LOGGED_LAG_S,
    LoopLagMonitor,
)

_block = monkey.get_original("time", "sleep")


class LoopLagTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log, self.instruments = Mock(), Instruments()
        self.monitor = LoopLagMonitor(self.log, self.instruments, monotonic)

    def test_only_long_delays_are_logged(self) -> None:
        """Guards against lines for usual delays, and against long ones without a line."""
        self.monitor.record(LOGGED_LAG_S - 0.01, 0.0)
        self.log.line.assert_not_called()
        self.monitor.record(LOGGED_LAG_S + 0.05, 0.28)
        self.log.line.assert_called_once_with("loop_lag", lag_ms=300, processor_ms=280)
        self.assertIn('loop_lag_seconds_count{label=""} 2', self.instruments.text())

    def test_blocked_loop_is_noticed(self) -> None:
        """Guards against a monitor that measures nothing while the loop is blocked."""
        self.monitor.start()
        gevent.sleep(INTERVAL_S / 2)
        _block(LOGGED_LAG_S + 2 * INTERVAL_S)
        until = time.monotonic() + 2.0
        while not self.log.line.called and time.monotonic() < until:
            gevent.sleep(INTERVAL_S)
        self.monitor.stop()
        self.log.line.assert_called_once()

    def test_what_is_read_after_a_standstill_may_have_arrived_before(self) -> None:
        """Guards against answers that count as new since their node could not read them earlier."""
        self.monitor.start()
        self.addCleanup(self.monitor.stop)
        gevent.sleep(INTERVAL_S)
        began = monotonic()
        _block(LOGGED_LAG_S + 2 * INTERVAL_S)
        for _ in range(2):
            # Before and after the monitor's timer has fired.
            self.assertLessEqual(self.monitor.earliest_arrival(), began)
            self.assertGreater(self.monitor.earliest_arrival(), began - 2 * INTERVAL_S)
            gevent.sleep(2 * INTERVAL_S)
        gevent.sleep(BACKLOG_S)
        self.assertGreater(self.monitor.earliest_arrival(), monotonic() - INTERVAL_S)
