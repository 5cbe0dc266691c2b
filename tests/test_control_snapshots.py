"""Damaged, mixed and unrelated snapshots and checkpoints of the control state are refused."""

import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from arbutustally import declarations
from arbutustally.checkpoint import CheckpointAssembler, split_snapshot
from arbutustally.errors import ConfigurationInvalidError, SnapshotInvalidError
from arbutustally.records import Change, wrap
from arbutustally.snapshots import encode_snapshot
from arbutustally.state import ControlState

ACCOUNT = {"rate": 10.0, "burst": 100.0}


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
