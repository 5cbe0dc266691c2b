"""Encoding of the documents that nodes provide to each other."""

import struct
import tracemalloc
import unittest
import zlib

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.shared_reading import Position
from arbutustally_node.gateway.ports import Record
from arbutustally_node.gateway.snapshot import MAX_RECORDS, MAX_SNAPSHOT_BYTES, Snapshot
from arbutustally_node.loop_turn import MAX_ELEMENTS
from tests.test_bounded_decoding import passes_during

NUMBERS = st.integers(0, (1 << 63) - 1)
POSITIONS = st.builds(Position, NUMBERS, NUMBERS)
KEYS = st.text(max_size=9)
RECORDS = st.lists(
    st.one_of(
        st.builds(Record, KEYS, st.binary(max_size=300), st.one_of(st.none(), POSITIONS)),
        st.builds(Record, KEYS.filter(bool), st.none(), POSITIONS),
    ),
    max_size=20,
).map(tuple)


class SnapshotTest(unittest.TestCase):
    @given(st.one_of(st.none(), POSITIONS), RECORDS, RECORDS)
    def test_decoded_snapshot_is_the_encoded_one(self, position, operator, endpoints) -> None:
        """Guards against records that are lost, moved or changed on their way to a peer."""
        sent = Snapshot(position, operator, endpoints)
        found = Snapshot.decode(sent.encode())
        self.assertEqual(found, sent)
        self.assertEqual([one.position for one in found.operator], [o.position for o in operator])

    @given(RECORDS, st.data())
    def test_damaged_snapshot_is_refused_or_decoded(self, operator, data) -> None:
        """Guards against other errors, which would end the task that fetches snapshots."""
        content = bytearray(zlib.decompress(Snapshot(None, operator, ()).encode()))
        at = data.draw(st.integers(0, len(content) - 1))
        content[at] = data.draw(st.integers(0, 255))
        try:
            Snapshot.decode(zlib.compress(bytes(content)))
        except ValueError:
            return

    def test_malformed_snapshots_are_refused(self) -> None:
        """Guards against rows without content, cut rows, and contents of other programs."""
        row = struct.Struct(">BHIQQ")
        start = row.pack(0, 0, 0, 0, 0)
        wrong = {
            "empty": b"",
            "no value": start + row.pack(0, 1, 0, 0, 0) + b"k",
            "value without a flag": start + row.pack(4, 1, 1, 0, 0) + b"kv",
            "unknown flag": start + row.pack(8, 1, 0, 0, 0) + b"k",
            "number out of range": start + row.pack(6, 1, 0, 1 << 63, 0) + b"k",
            "cut": start + row.pack(2, 1, 9, 0, 0) + b"kv",
            "CBOR": cbor2.dumps([None, [["k", b"v"]], []]),
        }
        for name, content in wrong.items():
            with self.subTest(name), self.assertRaises(ValueError):
                Snapshot.decode(zlib.compress(content))
        with self.assertRaises(ValueError):
            Snapshot.decode(Snapshot(None, (), ()).encode()[:-5])

    def test_small_body_costs_little_memory(self) -> None:
        """Guards against a short body that decodes into more memory than a node has."""
        bodies = {
            "elements": cbor2.dumps([None, [[]] * (15 << 20), []]),
            "rows": bytes(MAX_SNAPSHOT_BYTES - 1),
        }
        for name, content in bodies.items():
            body = zlib.compress(content)
            tracemalloc.start()
            with self.subTest(name), self.assertRaises(ValueError):
                Snapshot.decode(body)
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertLess(peak, 3 * MAX_SNAPSHOT_BYTES)

    def test_other_sockets_get_turns(self) -> None:
        """Guards against a snapshot that blocks the event loop until it is encoded or decoded."""
        records = tuple(Record(f"{number:x}", b"v" * 40) for number in range(MAX_RECORDS - 1))
        body, passes = passes_during(Snapshot(None, records, ()).encode)
        self.assertGreater(passes, MAX_RECORDS // MAX_ELEMENTS // 2)
        _snapshot, passes = passes_during(lambda: Snapshot.decode(body))
        self.assertGreater(passes, MAX_RECORDS // MAX_ELEMENTS // 2)
