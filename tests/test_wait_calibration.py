"""Expected times to the first event, corrected by observed ones."""

import unittest

from arbutustally.clock import VirtualClock
from arbutustally.gateway.admission import must_reject
from arbutustally.gateway.wait_calibration import MIN_FACTOR, WaitCalibration

#: Time that callers wait for the answer, seconds.
TIMEOUT_S = 5.0


class WaitCalibrationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.waits = WaitCalibration.from_config(self.clock)

    def replay(self, route: str, expected_s: float, taken_s: float, requests: int) -> int:
        """Plays requests that arrive every 0.1 s; returns how many of them are rejected."""
        rejected = 0
        for _ in range(requests):
            self.clock.advance(0.1)
            if must_reject(expected_s * self.waits.factor(route), TIMEOUT_S):
                rejected += 1
            else:
                self.waits.observe(route, expected_s, taken_s)
        return rejected

    def test_urgent_requests_that_overtake_the_queue_are_not_rejected(self) -> None:
        """Guards against rejected chats while engines are short and begin chats first.

        The expected wait grows with the queue of long prompts, which the chats do not wait for.
        """
        for expected_s in (1.0, 2.0, 3.0, 6.0, 12.0):
            self.assertEqual(self.replay("chat", expected_s, 0.2, 20), 0, expected_s)

    def test_requests_that_wait_as_expected_are_rejected(self) -> None:
        """Guards against requests that wait until their timeout although this was foreseen."""
        self.replay("long", 2.5, 2.5, 20)
        self.assertEqual(self.replay("long", 4.0, 4.0, 20), 20)

    def test_correction_is_forgotten(self) -> None:
        """Guards against a correction that outlives the load in which it was learned."""
        self.replay("long", 2.0, 0.2, 30)
        self.assertLess(self.waits.factor("long"), 0.3)
        self.clock.advance(60.0)
        self.assertGreater(self.waits.factor("long"), 0.99)

    def test_routes_do_not_share_their_correction(self) -> None:
        """Guards against long prompts that are accepted since chats are begun first."""
        self.replay("chat", 4.0, 0.1, 50)
        self.assertEqual(self.waits.factor("long"), 1.0)

    def test_correction_stays_within_its_limits(self) -> None:
        """Guards against absurd corrections from absurd expectations."""
        self.waits.observe("a", 1e6, 0.001)
        self.assertEqual(self.waits.factor("a"), MIN_FACTOR)
        self.waits.observe("b", 0.001, 1e6)
        self.assertEqual(self.waits.factor("b"), 1.0)
