"""Which idle connections end while callers have all connections of a node."""

import unittest

from arbutustally_node.gateway.idle_connections import (
    LEAST_IDLE_S,
    IdleConnection,
    longest_idle,
)


class LongestIdleTest(unittest.TestCase):
    def test_connections_of_a_crowd_come_first(self) -> None:
        """Guards against a crowd that makes other callers lose their connections."""
        idle = {
            "single": IdleConnection("a", 0.0),
            "newer": IdleConnection("crowd", 8.0),
            "older": IdleConnection("crowd", 5.0),
        }
        order = longest_idle(idle, {"a": 1, "crowd": 50}, 20.0)
        self.assertEqual(order, ["older", "newer", "single"])

    def test_connection_that_was_just_used_stays(self) -> None:
        """Guards against closing a connection before its caller could send."""
        idle = {"new": IdleConnection("crowd", 20.0 - LEAST_IDLE_S / 2)}
        self.assertEqual(longest_idle(idle, {"crowd": 50}, 20.0), [])
