"""Gaps in a node's contact with its peers and the store."""

import unittest

from arbutustally.clock import VirtualClock
from arbutustally.gateway.contact import CATCH_UP_S, Contact

BOUND_S = 2.0


class ContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.contact = Contact(self.clock, BOUND_S)

    def test_node_that_starts_is_current(self) -> None:
        """Guards against parts that each restarted node reads again."""
        self.assertTrue(self.contact.is_current)
        self.contact.heard()
        self.assertTrue(self.contact.is_current)

    def test_regular_contact_has_no_gap(self) -> None:
        """Guards against gaps that are none."""
        for _ in range(20):
            self.contact.heard()
            self.clock.advance(BOUND_S * 0.9)
            self.assertTrue(self.contact.is_current)

    def test_gap_ends_some_time_after_the_first_message(self) -> None:
        """Guards against a message of before the gap that counts as the end of it."""
        self.contact.heard()
        self.clock.advance(BOUND_S * 2)
        self.assertFalse(self.contact.is_current)
        self.contact.heard()
        self.assertFalse(self.contact.is_current)
        self.clock.advance(CATCH_UP_S)
        self.contact.heard()
        self.assertTrue(self.contact.is_current)
