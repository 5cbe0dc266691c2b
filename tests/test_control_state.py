"""The fold of the log gives every reader the same verdicts for any content of the log."""

import math
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from arbutustally import claim_table, declarations
from arbutustally.bookings import BODY_DROPPED
from arbutustally.checkpoint import CheckpointAssembler, split_snapshot
from arbutustally.errors import (
    BadRequestError,
    ConfigurationInvalidError,
    Ran,
    SnapshotInvalidError,
)
from arbutustally.records import (
    Change,
    Claim,
    KeyIssue,
    KeyWithdraw,
    LeaseRecord,
    MoveStep,
    Outcome,
    Record,
    ShareRecord,
    decode,
    wrap,
)
from arbutustally.snapshots import decode_snapshot, encode_snapshot
from arbutustally.state import ControlState
from arbutustally.verdicts import Reason

WINDOW_S = 100.0
ACCOUNT = {"rate": 10.0, "burst": 100.0}
KEYS = st.sampled_from(["key-a", "key-b", "key-c"])
NODES = st.sampled_from(["n1#1", "n2#1", "n3#1"])
#: A claim with the last time expires claims with the first one.
KEY_TIMES = st.sampled_from([1000.0, 1000.0, 1000.0, 1060.0, 1101.0])
ITEMS = st.sampled_from(["accounts/a", "accounts/b"])


def content(state: ControlState) -> dict:
    """Returns the content of a state without its offset and history."""
    data = decode_snapshot(state.snapshot())
    return {name: value for name, value in data.items() if name not in ("offset", "history")}


class FoldMachine(RuleBasedStateMachine):
    """Several readers, two operators and three nodes on one log.

    ``reference`` applies every record first and gives the expected verdicts. Nodes dispatch a
    booking only after an accepted claim and append ``not_run`` only for claims that they have not
    dispatched.
    """

    claims = Bundle("claims")

    def __init__(self) -> None:
        super().__init__()
        self.log: list[Record | None] = []
        self.oldest = 0
        self.reference = ControlState(WINDOW_S)
        self.verdicts: list = []
        self.readers = [ControlState(WINDOW_S) for _ in range(3)]
        self.known_versions = [-1, -1]
        self.dispatched: dict[str, int] = {}
        self.withdrawn: set[str] = set()
        self.parts: list[tuple[int, object]] = []

    def append(self, record: Record | None):
        offset = len(self.log)
        self.log.append(record)
        verdict = self.reference.apply(offset, record)
        self.verdicts.append(verdict)
        return offset, verdict

    @rule(operator=st.integers(0, 1), item=ITEMS, rate=st.sampled_from([1.0, 2.0, -1.0]))
    def change(self, operator: int, item: str, rate: float) -> None:
        """An operator changes an item based on the version that it last read."""
        base, current = self.known_versions[operator], self.reference.version
        body = Change(base=base, set={item: {**ACCOUNT, "rate": rate}})
        offset, verdict = self.append(wrap(body))
        assert verdict.accepted == (base == current and rate > 0)
        if verdict.reason == Reason.STALE_BASE:
            assert verdict.beaten_by == current
        if verdict.accepted:
            assert self.reference.version == offset

    @rule(operator=st.integers(0, 1))
    def read_version(self, operator: int) -> None:
        self.known_versions[operator] = self.reference.version

    @rule(key=KEYS, account=st.sampled_from(["a", "b"]))
    def issue(self, key: str, account: str) -> None:
        self.append(wrap(KeyIssue(key, "0" * 64, account)))

    @rule(key=KEYS)
    def withdraw(self, key: str) -> None:
        self.append(wrap(KeyWithdraw(key)))
        self.withdrawn.add(key)

    @rule(node=NODES, is_outdated=st.booleans(), release=st.booleans())
    def lease(self, node: str, is_outdated: bool, release: bool) -> None:
        entry = self.reference.lease("move/m")
        base = entry.last_offset if entry is not None and not is_outdated else -1
        self.append(wrap(LeaseRecord("move/m", node, base, release)))

    @rule(node=st.sampled_from(["", "n1#1", "n2#1"]), is_outdated=st.booleans())
    def share(self, node: str, is_outdated: bool) -> None:
        entry = self.reference.share(0, 0)
        base = entry.last_offset if entry is not None and not is_outdated else -1
        self.append(wrap(ShareRecord(0, 0, node, base)))

    @rule(share=st.sampled_from([0.05, 1.0, math.nan, 2.0]), stale=st.booleans())
    def step(self, share: float, stale: bool) -> None:
        entry = self.reference.lease("move/m")
        fence = entry.epoch - stale if entry is not None else -1
        _, verdict = self.append(wrap(MoveStep("m", "v2", "v1", "raised", share, fence)))
        if verdict.accepted:
            assert not stale and not entry.released and 0 <= share <= 1

    @rule(target=claims, node=NODES, key_time_s=KEY_TIMES)
    def claim(self, node: str, key_time_s: float):
        """A node claims a booking; equal times give equal keys."""
        name = f"booking@{key_time_s}"
        offset, verdict = self.append(wrap(Claim(name, "digest", node, key_time_s)))
        return name, offset, verdict.accepted

    @rule(claim=consumes(claims))
    def dispatch(self, claim: tuple) -> None:
        name, _, is_winner = claim
        if is_winner:
            self.dispatched[name] = self.dispatched.get(name, 0) + 1
            assert self.dispatched[name] == 1, f"{name} was dispatched twice"

    @rule(claim=consumes(claims), names_claim=st.booleans(), repeats=st.integers(1, 2))
    def append_not_run(self, claim: tuple, names_claim: bool, repeats: int) -> None:
        """A claimant that has not dispatched appends ``not_run``, once or twice with new ids."""
        name, offset, _ = claim
        base = offset if names_claim else -1
        for _ in range(repeats):
            self.append(wrap(Outcome(name, Ran.NOT_RUN, claim=base)))

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """An append whose response was lost is repeated with the same id."""
        records = [record for record in self.log if record is not None]
        if not records:
            return
        before = content(self.reference)
        _, verdict = self.append(data.draw(st.sampled_from(records)))
        assert not verdict.accepted
        assert content(self.reference) == before

    @rule()
    def append_undecodable(self) -> None:
        assert not self.append(None)[1].accepted

    @rule(number=st.integers(0, 2), count=st.integers(1, 10))
    def read(self, number: int, count: int) -> None:
        reader = self.readers[number]
        start = reader.offset + 1
        if start < self.oldest:
            return
        for offset in range(start, min(start + count, len(self.log))):
            assert reader.apply(offset, self.log[offset]) == self.verdicts[offset]

    @rule(number=st.integers(0, 2))
    def install_peer_snapshot(self, number: int) -> None:
        restored = ControlState.restore(self.reference.snapshot(), WINDOW_S)
        if restored.offset > self.readers[number].offset:
            self.readers[number] = restored

    @rule()
    def write_checkpoint(self) -> None:
        self.parts = list(split_snapshot(self.reference.snapshot(), self.reference.offset, 200))

    @rule(number=st.integers(0, 2))
    def restart_from_checkpoint(self, number: int) -> None:
        """The head of the log is dropped and a reader starts from the checkpoint."""
        if not self.parts:
            return
        self.oldest = self.parts[0].upto + 1
        assembler = CheckpointAssembler()
        found = [assembler.add(part) for part in reversed(self.parts)]
        assert [snapshot is not None for snapshot in found[:-1]] == [False] * (len(found) - 1)
        restored = ControlState.restore(found[-1], WINDOW_S)
        if restored.offset >= self.readers[number].offset:
            self.readers[number] = restored

    @invariant()
    def readers_agree(self) -> None:
        for reader in self.readers:
            if reader.offset == self.reference.offset:
                assert reader.snapshot() == self.reference.snapshot()

    @invariant()
    def withdrawn_keys_stay_withdrawn(self) -> None:
        for key in self.withdrawn:
            assert self.reference.key(key).withdrawn


FoldMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)


class FoldTest(FoldMachine.TestCase):
    """Guards against diverging readers, lost updates and bookings that run twice."""


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


class SnapshotTest(unittest.TestCase):
    """Guards against damaged, mixed and unrelated snapshots."""

    def setUp(self) -> None:
        state = ControlState()
        state.apply(0, wrap(Change(-1, {f"accounts/a{n}": ACCOUNT for n in range(50)})))
        self.data = state.snapshot()

    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_damage_of_any_byte_is_found(self, place: int, flip: int) -> None:
        damaged = bytearray(self.data)
        damaged[place % len(damaged)] ^= flip
        with self.assertRaises(SnapshotInvalidError):
            ControlState.restore(bytes(damaged))

    def test_accepted_configuration_outlives_a_tighter_rule(self) -> None:
        """Guards against an upgrade after which no node can load its own snapshot."""
        refusal = ConfigurationInvalidError("a rule of a later release")
        with patch.object(declarations, "check_item", side_effect=refusal):
            restored = ControlState.restore(self.data)
        self.assertEqual(len(restored.declarations.accounts), 50)

    def test_cut_and_foreign_data_is_refused(self) -> None:
        wrong = encode_snapshot({"offset": "x"}), encode_snapshot([1]), b"", self.data[:-1]
        for data in (*wrong, self.data + b"x", b"PK" + self.data):
            with self.subTest(len(data)), self.assertRaises(SnapshotInvalidError):
                ControlState.restore(data)

    def test_parts_of_two_checkpoints_are_not_mixed(self) -> None:
        """Guards against a state that no prefix of the log produces."""
        other = ControlState()
        other.apply(0, wrap(Change(-1, {f"accounts/b{n}": ACCOUNT for n in range(50)})))
        one = split_snapshot(self.data, 0, 100)
        two = split_snapshot(other.snapshot(), 0, 100)
        assembler = CheckpointAssembler()
        found = [assembler.add(part) for part in two[:1] + one[1:] + one[:1]]
        self.assertEqual([entry for entry in found if entry], [self.data])

    def test_damaged_checkpoint_is_refused_and_next_is_taken(self) -> None:
        """Guards against a damaged part that blocks a reader permanently."""
        parts = split_snapshot(self.data, 0, 100)
        bad = type(parts[0])(0, 0, len(parts), parts[1].data, parts[0].digest)
        assembler = CheckpointAssembler()
        with self.assertRaises(SnapshotInvalidError):
            for part in [bad, *parts[1:]]:
                assembler.add(part)
        self.assertEqual([assembler.add(part) for part in parts][-1], self.data)
