"""What the answers of the store and of peers show of the operator's records."""

import math
import unittest

from arbutustally.clock import VirtualClock
from arbutustally.gateway.configuration_age import ConfigurationAge
from arbutustally_node.gateway.peer_state import OperatorUpdate
from arbutustally_node.gateway.reading_record import decode_reading, encode_reading, is_reading


class ConfigurationAgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.arrived_at = math.inf
        self.age = ConfigurationAge(self.clock, lambda: min(self.arrived_at, self.clock()))

    def test_nothing_is_known_before_the_first_read(self) -> None:
        self.age.store_answered(100.0)
        self.assertEqual(self.age.age_s, math.inf)

    def test_records_are_known_as_of_the_question(self) -> None:
        self.assertTrue(self.age.records_read(99.5))
        self.assertEqual(self.age.age_s, 0.5)

    def test_answers_beside_a_waiting_read_renew_its_age(self) -> None:
        self.age.records_read(100.0)
        self.clock.advance(3.0)
        self.assertTrue(self.age.store_answered(102.9))
        self.assertAlmostEqual(self.age.age_s, 0.1)

    def test_read_that_may_have_lost_its_connection_proves_nothing(self) -> None:
        """Guards against a silent connection whose other calls succeed again."""
        self.age.records_read(100.0)
        self.age.following_ended()
        self.clock.advance(3.0)
        self.assertFalse(self.age.store_answered(102.9))
        self.assertEqual(self.age.age_s, 3.0)
        self.assertTrue(self.age.records_read(102.9))
        self.assertAlmostEqual(self.age.age_s, 0.1)

    def test_reading_of_a_peer_is_as_old_as_it_says(self) -> None:
        self.age.peer_read(0.7)
        self.assertAlmostEqual(self.age.age_s, 0.7)
        self.assertEqual(self.age.own_age_s, math.inf)

    def test_older_reading_changes_nothing(self) -> None:
        self.age.peer_read(0.2)
        self.age.peer_read(1.5)
        self.assertAlmostEqual(self.age.age_s, 0.2)

    def test_message_that_waited_here_is_older(self) -> None:
        """Guards against a reading that a busy node takes for new when it comes to read it."""
        self.arrived_at = 100.0
        self.clock.advance(0.8)
        self.age.peer_read(0.1)
        self.assertAlmostEqual(self.age.age_s, 0.9)

    def test_messages_of_before_a_gap_prove_nothing(self) -> None:
        self.age.records_read(100.0)
        self.clock.advance(5.0)
        self.age.forget(1.0)
        self.age.peer_read(0.1)
        self.assertEqual(self.age.age_s, math.inf)
        self.clock.advance(1.0)
        self.age.peer_read(0.1)
        self.assertAlmostEqual(self.age.age_s, 0.1)


class ReadingRecordTest(unittest.TestCase):
    def test_record_names_the_version(self) -> None:
        update = encode_reading(7, 0.4)
        self.assertTrue(is_reading(update))
        self.assertEqual((decode_reading(update), update.age_s), (7, 0.4))

    def test_malformed_records_are_refused(self) -> None:
        key = encode_reading(7, 0.4).key
        for value, age_s in ((b"x", 0.1), (b"", 0.1), (b"7", -1.0), (b"7", None), (b"9" * 99, 0.1)):
            with self.subTest(value=value, age_s=age_s):
                self.assertIsNone(decode_reading(OperatorUpdate(key, value, age_s)))
