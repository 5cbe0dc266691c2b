"""Evidence on prompt parts that end endpoints: what makes a culprit of a part, and what clears it."""

import unittest
from itertools import count
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.crash_evidence import (
    CRASH_S,
    CULPRIT_CRASHES,
    MAX_CRASHES,
    MAX_PARTS,
    MAX_PROOFS,
    SETTLE_S,
    SUSPECT_S,
    TIED_CRASHES,
    TURNED_ANSWERS,
    TURNED_CRASHES,
    Crash,
    CrashEvidence,
)

SHARED, BAD, OTHER = b"a" * 8, b"b" * 8, b"c" * 8
GAP_S = 0.5


class EvidenceCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.evidence = CrashEvidence.from_config(self.clock)
        self.numbers = count()

    def crash(self, *parts: bytes) -> Crash:
        crash = Crash(next(self.numbers).to_bytes(8, "big"), self.clock(), frozenset(parts))
        self.evidence.record_crash(crash)
        return crash

    def crashes(self, number: int, *parts: bytes) -> None:
        for _ in range(number):
            self.clock.advance(GAP_S)
            self.crash(*parts)

    def culprits(self) -> tuple[bytes, ...]:
        self.clock.advance(SETTLE_S + 0.01)
        return self.evidence.culprits()


class CulpritTest(EvidenceCase):
    def test_part_that_was_never_answered_is_told_from_the_one_that_all_share(self) -> None:
        for _ in range(CULPRIT_CRASHES):
            self.clock.advance(GAP_S)
            self.crash(SHARED, BAD)
            self.evidence.record_answer([SHARED, OTHER])
        self.assertEqual(self.culprits(), (BAD,))

    def test_shared_part_is_not_named_while_no_endpoint_is_left_to_answer(self) -> None:
        """Guards against a lock-out of sound prompts when all endpoints are down."""
        self.evidence.record_answer([SHARED, OTHER])
        self.crashes(3 * CULPRIT_CRASHES, SHARED, BAD)
        self.assertEqual(self.culprits(), (BAD,))
        self.evidence.explain([BAD])
        self.assertEqual(self.culprits(), ())

    def test_crashes_that_have_nothing_in_common_name_no_part(self) -> None:
        for number in range(20):
            self.clock.advance(GAP_S)
            self.crash(b"part%04d" % number, b"part%04d" % (number + 1))
        self.assertEqual(self.culprits(), ())

    def test_part_that_is_answered_between_crashes_is_no_culprit(self) -> None:
        """Guards against a lock-out of a popular prompt that is in most crashes by its share."""
        for number in range(2 * TURNED_CRASHES):
            self.clock.advance(GAP_S)
            self.crash(SHARED, b"own%05d" % number)
            self.clock.advance(0.1)
            self.evidence.record_answer([SHARED, OTHER])
        self.assertEqual(self.culprits(), ())

    def test_rack_that_fails_at_once_counts_as_one_crash(self) -> None:
        for _ in range(50):
            self.clock.advance(0.001)
            self.crash(SHARED, BAD)
        self.assertEqual(self.culprits(), ())

    def test_endpoints_that_keep_ending_for_another_reason_name_no_part_that_was_answered(
        self,
    ) -> None:
        """Guards against a lock-out of popular prompts by crashes that no prompt causes."""
        self.evidence.record_answer([SHARED, OTHER])
        self.crashes(3 * TURNED_CRASHES, SHARED, OTHER)
        self.assertEqual(self.culprits(), ())

    def test_part_that_has_turned_bad_is_named_by_more_crashes(self) -> None:
        self.evidence.record_answer([BAD])
        for number in range(TURNED_CRASHES):
            self.assertEqual(self.culprits(), (), number)
            self.clock.advance(GAP_S)
            self.crash(BAD)
            self.evidence.record_answer([OTHER])
        self.assertGreaterEqual(TURNED_CRASHES, TURNED_ANSWERS)
        self.assertEqual(self.culprits(), (BAD,))

    def test_parts_that_always_come_together_are_both_named_after_one_crash_more(self) -> None:
        self.crashes(CULPRIT_CRASHES, SHARED, BAD)
        self.assertEqual(self.culprits(), ())
        self.crashes(TIED_CRASHES - CULPRIT_CRASHES, SHARED, BAD)
        self.assertEqual(self.culprits(), (SHARED, BAD))

    def test_proofs_of_other_nodes_have_time_to_arrive(self) -> None:
        self.crashes(CULPRIT_CRASHES, SHARED)
        self.assertEqual(self.evidence.culprits(), ())
        self.evidence.record_proof(SHARED, self.clock())
        self.assertEqual(self.culprits(), ())

    def test_old_crashes_do_not_count(self) -> None:
        self.crashes(CULPRIT_CRASHES - 1, BAD)
        self.clock.advance(CRASH_S + 1.0)
        self.crashes(1, BAD)
        self.assertEqual(self.culprits(), ())
        self.assertFalse(self.evidence.is_suspect(BAD))

    def test_part_of_two_crashes_is_a_suspect_for_a_while(self) -> None:
        self.crashes(1, BAD)
        self.assertFalse(self.evidence.is_suspect(BAD))
        self.crashes(1, BAD)
        self.assertTrue(self.evidence.is_suspect(BAD))
        self.clock.advance(SUSPECT_S)
        self.assertFalse(self.evidence.is_suspect(BAD))

    def test_answer_clears_a_suspect(self) -> None:
        self.crashes(2, SHARED)
        self.evidence.record_answer([SHARED])
        self.assertFalse(self.evidence.is_suspect(SHARED))


class ExchangeTest(EvidenceCase):
    @given(seed=st.integers(0, 1000), repeats=st.integers(1, 3))
    def test_order_and_number_of_messages_do_not_matter(self, seed: int, repeats: int) -> None:
        rng, clock = Random(seed), VirtualClock(100.0)
        parts = [b"part%04d" % number for number in range(6)]
        crashes = [
            Crash(b"end%05d" % n, 90.0 + n * GAP_S, frozenset(rng.sample(parts, 3)))
            for n in range(8)
        ]
        proofs = [(part, 90.0 + rng.random() * 8) for part in rng.sample(parts, 3)]
        named = set()
        for _ in range(3):
            evidence = CrashEvidence.from_config(clock)
            messages = (crashes + proofs) * repeats
            rng.shuffle(messages)
            for message in messages:
                if isinstance(message, Crash):
                    evidence.record_crash(message)
                else:
                    evidence.record_proof(*message)
            named.add(evidence.culprits())
        self.assertEqual(len(named), 1)

    def test_parts_that_several_nodes_saw_at_one_crash_are_joined(self) -> None:
        crash = self.crash(SHARED)
        self.assertTrue(
            self.evidence.record_crash(Crash(crash.endpoint, crash.at + 1.0, frozenset([BAD])))
        )
        self.assertFalse(self.evidence.record_crash(crash))
        (joined,) = self.evidence.recent_crashes(10.0, 10)
        self.assertEqual(joined, Crash(crash.endpoint, crash.at, frozenset([SHARED, BAD])))

    def test_crash_of_many_endpoints_is_bounded(self) -> None:
        for number in range(3000):
            self.evidence.record_answer([b"own%05d" % number, b"two%05d" % number])
            self.crash(*(b"part%04d" % (number + one) for one in range(2 * MAX_PARTS)))
        self.assertEqual(len(self.evidence._crashes), MAX_CRASHES)
        self.assertLessEqual(
            max(len(one.parts) for one in self.evidence._crashes.values()), MAX_PARTS
        )
        self.assertLessEqual(len(self.evidence._proofs), MAX_PROOFS)
        self.assertLessEqual(len(self.evidence.recent_crashes(CRASH_S, 16)), 16)

    def test_candidates_that_were_answered_give_way_first(self) -> None:
        known = [b"known%03d" % number for number in range(MAX_PARTS)]
        self.evidence.record_answer(known)
        crash = Crash(b"endpoint", self.clock(), frozenset([*known, BAD]))
        self.evidence.record_crash(crash)
        self.assertIn(BAD, self.evidence._crashes[b"endpoint"].parts)
