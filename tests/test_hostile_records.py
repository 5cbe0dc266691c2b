"""Records of the log with any content are decided alike by every reader, or refused."""

import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally import claim_table
from arbutustally.bookings import BODY_DROPPED
from arbutustally.errors import BadRequestError, Ran
from arbutustally.records import (
    Change,
    Claim,
    KeyIssue,
    LeaseRecord,
    MoveStep,
    Outcome,
    decode,
    wrap,
)
from arbutustally.state import ControlState
from arbutustally.verdicts import Reason

WINDOW_S = 100.0
ACCOUNT = {"rate": 10.0, "burst": 100.0}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
VALID = {
    "change": {"base": -1, "set": {"accounts/a": ACCOUNT}, "remove": [], "author": "x"},
    "key_issue": {"key_id": "k", "digest": "0" * 64, "account": "a"},
    "key_withdraw": {"key_id": "k"},
    "lease": {"name": "move/m", "holder": "n", "base": -1, "release": False},
    "share": {"shard": 0, "slot": 0, "holder": "n", "base": -1},
    "claim": {"key": "k", "request_digest": "d", "holder": "n", "key_time_s": 5.0},
    "outcome": {
        "key": "k",
        "ran": "ran",
        "status": 200,
        "content_type": "",
        "body": "",
        "claim": -1,
    },
    "move": {
        "model": "m",
        "version": "v",
        "previous": "",
        "step": "started",
        "share": 0,
        "fence": 0,
        "evidence": {},
    },
    "checkpoint": {"upto": 1, "part": 0, "parts": 1, "data": "x"},
}
KINDS = st.sampled_from([*VALID, "other"])
FIELDS = st.sampled_from(sorted({name for body in VALID.values() for name in body}))


class HostileRecordTest(unittest.TestCase):
    """Guards against records that stop a reader or that two readers apply differently."""

    @settings(max_examples=400)
    @given(st.lists(st.tuples(KINDS, st.dictionaries(FIELDS, JSON, max_size=2)), max_size=6))
    def test_any_record_is_decided_or_refused(self, drawn_records: list) -> None:
        one, other = ControlState(WINDOW_S), ControlState(WINDOW_S)
        for offset, (kind, fields) in enumerate(drawn_records):
            data = {"id": str(offset), "kind": kind, "body": {**VALID.get(kind, {}), **fields}}
            known = {name: data["body"][name] for name in VALID.get(kind, {})}
            data["body"] = {**known, **{name: fields[name] for name in fields if name in known}}
            try:
                record = decode(data)
            except BadRequestError:
                record = None
            self.assertEqual(one.apply(offset, record), other.apply(offset, record))
            other = ControlState.restore(other.snapshot(), WINDOW_S)
        self.assertEqual(one.snapshot(), other.snapshot())

    @settings(max_examples=200)
    @given(JSON)
    def test_any_json_is_decoded_or_refused(self, data: object) -> None:
        try:
            decode(data)
        except BadRequestError:
            return

    def test_lower_offset_is_refused(self) -> None:
        state = ControlState()
        state.apply(5, None)
        for offset in (4, 5):
            with self.assertRaises(ValueError):
                state.apply(offset, None)

    def test_longer_window_does_not_revive_dropped_claims(self) -> None:
        """Guards against a second run of a booking whose claim a node had dropped."""
        state = ControlState(10.0)
        state.apply(0, wrap(Claim("old", "d", "n1", 100.0)))
        state.apply(1, wrap(Claim("new", "d", "n1", 200.0)))
        self.assertIsNone(state.claim("old"))
        restored = ControlState.restore(state.snapshot(), 1000.0)
        self.assertEqual(
            restored.apply(2, wrap(Claim("old", "d", "n2", 100.0))).reason, Reason.KEY_EXPIRED
        )

    def test_repeat_of_refused_issue_stays_without_effect(self) -> None:
        """Guards against a key that becomes valid after its issue was refused to the operator."""
        state = ControlState()
        issue = wrap(KeyIssue("k", "0" * 64, "a"))
        self.assertEqual(state.apply(0, issue).reason, Reason.ACCOUNT_UNKNOWN)
        self.assertTrue(state.apply(1, wrap(Change(-1, {"accounts/a": ACCOUNT}))).accepted)
        self.assertFalse(state.apply(2, issue).accepted)

    def test_repeat_of_a_move_step_stays_without_effect(self) -> None:
        """Guards against a duplicate step that sends traffic to a bad version again."""
        state = ControlState()
        state.apply(0, wrap(LeaseRecord("move/m", "n1#1", -1)))
        start = wrap(MoveStep("m", "v2", "v1", "started", 0.01, 0))
        self.assertTrue(state.apply(1, start).accepted)
        back = wrap(MoveStep("m", "v2", "v1", "taken_back", 0.0, 0))
        self.assertTrue(state.apply(2, back).accepted)
        self.assertEqual(state.apply(3, start).reason, Reason.DUPLICATE)
        self.assertEqual(state.move("m").step, "taken_back")

    def test_claim_without_a_usable_time_is_refused(self) -> None:
        """Guards against one record that moves the booking window past all keys."""
        state = ControlState()
        for offset, key_time_s in enumerate((math.inf, math.nan, -math.inf)):
            verdict = state.apply(offset, wrap(Claim("k", "d", "n1", key_time_s)))
            self.assertEqual(verdict.reason, Reason.MALFORMED)
        self.assertTrue(state.apply(9, wrap(Claim("k", "d", "n1", 5.0))).accepted)

    def test_oldest_answers_are_dropped_the_same_way_everywhere(self) -> None:
        """Guards against response bodies of bookings that fill the memory of every node."""
        self.addCleanup(setattr, claim_table, "MAX_KEPT_CHARACTERS", 8 << 20)
        claim_table.MAX_KEPT_CHARACTERS = 100
        one, other = ControlState(), ControlState()
        for number in range(5):
            claim = wrap(Claim(f"k{number}", "d", "n1", 1.0 + number))
            outcome = wrap(Outcome(f"k{number}", Ran.RAN, 200, "text/plain", "x" * 40, 2 * number))
            for state in (one, other):
                state.apply(2 * number, claim)
                state.apply(2 * number + 1, outcome)
            other = ControlState.restore(other.snapshot())
        self.assertEqual(one.snapshot(), other.snapshot())
        kept = [one.claim(f"k{number}").outcome.body != "" for number in range(5)]
        self.assertEqual(kept, [False, False, False, True, True])
        self.assertEqual(one.claim("k0").outcome.content_type, BODY_DROPPED)
        self.assertEqual(one.claim("k0").outcome.status, 200)

    def test_outcome_turns_from_unknown_to_known_only(self) -> None:
        """Guards against a late record that hides a response or frees a dispatched booking."""
        state = ControlState()
        state.apply(0, wrap(Claim("k", "d", "n1", 1.0)))
        self.assertTrue(state.apply(1, wrap(Outcome("k", Ran.MAY_HAVE_RUN, claim=0))).accepted)
        self.assertFalse(state.apply(2, wrap(Outcome("k", Ran.NOT_RUN, claim=0))).accepted)
        self.assertTrue(state.apply(3, wrap(Outcome("k", Ran.RAN, 200, claim=0))).accepted)
        self.assertFalse(state.apply(4, wrap(Outcome("k", Ran.MAY_HAVE_RUN, claim=0))).accepted)
        self.assertEqual(state.claim("k").outcome.status, 200)
