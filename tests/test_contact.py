"""Gaps in a node's contact with its peers and the store."""

import unittest

from arbutustally.clock import VirtualClock
from arbutustally.gateway.contact import CATCH_UP_S, Contact

BOUND_S = 2.0


class ContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.are_peers_level = True
        self.contact = Contact(self.clock, BOUND_S, lambda: self.are_peers_level)

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

    def end_gap(self) -> None:
        self.contact.heard()
        self.clock.advance(BOUND_S * 2)
        self.contact.heard()
        self.clock.advance(CATCH_UP_S)
        self.contact.heard()

    def test_node_behind_its_peers_has_not_caught_up(self) -> None:
        """Guards against a node that counts as current since a time has passed."""
        self.are_peers_level = False
        self.end_gap()
        self.assertFalse(self.contact.is_current)
        self.are_peers_level = True
        self.assertTrue(self.contact.is_current)

    def test_node_has_caught_up_once_it_has_read_the_configuration(self) -> None:
        self.are_peers_level = False
        self.end_gap()
        self.contact.configuration_read(self.clock())
        self.assertTrue(self.contact.is_current)

    def test_reading_that_began_in_the_gap_proves_nothing(self) -> None:
        self.are_peers_level = False
        self.end_gap()
        self.contact.configuration_read(self.clock() - CATCH_UP_S - 0.1)
        self.assertFalse(self.contact.is_current)

    def test_peers_that_are_ahead_later_change_nothing(self) -> None:
        """Guards against parts that are read again at each change of the configuration."""
        self.end_gap()
        self.assertTrue(self.contact.is_current)
        self.are_peers_level = False
        self.assertTrue(self.contact.is_current)

    def test_node_that_hears_others_without_a_reader_is_not_current(self) -> None:
        """Guards against peers that count as a proof that nothing was written."""
        is_known = True
        contact = Contact(self.clock, BOUND_S, is_configuration_known=lambda: is_known)
        contact.heard()
        self.assertTrue(contact.is_current)
        is_known = False
        self.assertFalse(contact.is_current)
