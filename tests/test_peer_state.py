"""Datagrams between nodes decode to what was encoded, and malformed ones are rejected."""

import itertools
import math
import unittest
import zlib
from dataclasses import replace

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.relaying import Member
from arbutustally.gateway.shared_reading import Change, ListUpdate
from arbutustally_node.gateway.peer_state import MAX_CONTENT_BYTES, Covers, PeerState
from arbutustally_node.gateway.placement_log import MAX_ANNOUNCED, PlacementLog
from arbutustally_node.gateway.snapshot import Snapshot

MEMBER = Member("n1", "10.0.0.1", "z1", "10.0.0.1:1", "10.0.0.1:2", True, 3, 20)


def state(**changes) -> PeerState:
    return PeerState(MEMBER, "i1", 7, Covers.NODE, **changes)


class PeerStateTest(unittest.TestCase):
    def test_level_of_a_program_arrives_where_earlier_programs_read_readiness(self) -> None:
        """Guards against members that nodes of level 1 refuse or read as not ready."""
        for level, is_ready in ((1, True), (2, True), (7, True), (1, False)):
            member = replace(MEMBER, level=level, is_ready=is_ready)
            data = replace(state(), sender=member).encode()
            self.assertEqual(PeerState.decode(data).sender, member)
            row = cbor2.loads(data[1:])[0]
            self.assertEqual((len(row), bool(row[5])), (8, is_ready))
        starting = replace(MEMBER, level=2, is_ready=False)
        self.assertFalse(
            PeerState.decode(replace(state(), sender=starting).encode()).sender.is_ready
        )

    def test_odd_levels_are_refused_or_count_as_the_first(self) -> None:
        content = cbor2.loads(state().encode()[1:])
        for odd in (1.5, "x", -3, 0, 1 << 70, None, [2], math.nan):
            content[0][5] = odd
            decoded = PeerState.decode(b"p" + cbor2.dumps(content))
            self.assertTrue(decoded is None or decoded.sender.level == 1)

    def test_state_arrives_as_it_was_sent(self) -> None:
        changes = (Change(4, "e1", b"{}"), Change(6, "e2", None))
        sent = state(
            updates=ListUpdate(2, 3, 9, 0.5, 1.0, changes),
            loads={"e1": (1, 2.0, 3.0, 0)},
            admitted={"school": 7.0},
            weights={"m": {2: 0.5}},
            engines={"e1": {"m": 2}},
            loading=("e1",),
            placed=(("e1", "s", [("aa", 60)], True),),
            members=(MEMBER,),
            peers=("10.0.0.2",),
            counted={"n2": 9},
        )
        self.assertEqual(PeerState.decode(sent.encode()), sent)

    def test_large_message_takes_little_room(self) -> None:
        """Encodes the message of a relay that lists all of 195 nodes."""
        members = tuple(
            replace(MEMBER, node=f"front-zone-{n}", ip=f"10.1.0.{n}") for n in range(195)
        )
        self.assertLess(len(state(members=members).encode()), 195 * 25)

    def test_changes_that_resemble_each_other_take_little_room(self) -> None:
        """Encodes the changes of 70 engines that have all loaded weights at the same time."""
        entry = b'{"service":"llm","address":"10.1.64.%d:8221","zone":"z1","slots":12}' * 3
        changes = tuple(Change(n, f"i-{n:010x}", entry % (n, n, n)) for n in range(70))
        sent = state(updates=ListUpdate(1, 0, 99, 0.0, 0.0, changes))
        self.assertLess(len(sent.encode()), sum(len(change.value) for change in changes) / 4)

    def test_datagrams_that_unpack_to_too_much_are_refused(self) -> None:
        self.assertIsNone(PeerState.decode(b"z" + zlib.compress(b"x" * (MAX_CONTENT_BYTES + 1))))

    def test_fields_of_another_type_are_refused(self) -> None:
        """Guards against foreign messages that pass decoding and fail only where they are used."""
        values = cbor2.loads(state(loads={"e1": (1, 2.0, 3.0, 0)}).encode()[1:])
        self.assertIsNotNone(PeerState.decode(b"p" + cbor2.dumps(values)))
        for place, wrong in itertools.product(range(len(values)), (b"x", "x", [1], {1: 1}, -1.5)):
            if isinstance(wrong, type(values[place])) or values[place] is None:
                continue
            changed = [*values[:place], wrong, *values[place + 1 :]]
            received = PeerState.decode(b"p" + cbor2.dumps(changed))
            self.assertTrue(received is None or received.encode(), (place, wrong))

    def test_numbers_that_no_store_has_are_refused(self) -> None:
        """Guards against an era or offset that ends the receiving task or floods the log."""
        for wrong in (float("inf"), float("nan"), 1.5, -1, 1 << 64, "1", None):
            for numbers in ((wrong, 0, 1), (1, wrong, 1), (1, 0, wrong)):
                updates = ListUpdate(*numbers, 0.0, 0.0, ())
                self.assertIsNone(PeerState.decode(state(updates=updates).encode()), numbers)
            counted = state(counted={"n2": wrong})
            self.assertTrue(wrong != float("inf") or PeerState.decode(counted.encode()) is None)

    def test_numbers_out_of_range_are_refused(self) -> None:
        """Guards against a number that the log, a sum or another peer's message can't take."""
        for wrong in (1 << 63, 10**400, math.inf, -math.inf, math.nan, "1", "9" * 5000, True, None):
            member = replace(MEMBER, config=wrong)
            whole = (
                state(weights={"m": {wrong: 0.5}}),
                state(engines={"e1": {"m": wrong}}),
                state(counted={"n2": wrong}),
                state(loads={"e1": (wrong, 2.0, 3.0, 0)}),
                state(placed=(("e1", "s", [("aa", wrong)], True),)),
                state(members=(member,)),
                replace(state(), sender=member),
                replace(state(), number=wrong),
            )
            real = (
                state(weights={"m": {2: wrong}}),
                state(admitted={"school": wrong}),
                state(speeds={"e1": (wrong, 1.0)}),
                state(loads={"e1": (1, wrong, 3.0, 0)}),
                state(updates=ListUpdate(1, 0, 1, wrong, 0.0, ())),
                state(updates=ListUpdate(1, 0, 1, 0.0, wrong, ())),
            )
            for sent in (*whole, *real):
                self.assertIsNone(PeerState.decode(sent.encode()), (wrong, sent))

    def test_addresses_of_other_forms_are_refused(self) -> None:
        """Guards against a lookup, or an error other than ``OSError``, when a node sends."""
        for wrong in ("", "localhost", "a\0b", "x" * 300, "1.2", "0.0.0.0", "::1", "10.0.0.999"):
            member = replace(MEMBER, ip=wrong)
            for sent in (state(members=(member,)), replace(state(), sender=member)):
                self.assertIsNone(PeerState.decode(sent.encode()), wrong)
            self.assertIsNone(PeerState.decode(state(peers=(wrong,)).encode()), wrong)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_refused(self, data) -> None:
        self.assertIsNone(PeerState.decode(data))

    @given(st.data())
    def test_damaged_datagrams_raise_no_error(self, data) -> None:
        sent = bytearray(
            state(updates=ListUpdate(1, 0, 1, 0.0, 0.0, (Change(0, "e", b"{}"),))).encode()
        )
        at = data.draw(st.integers(0, len(sent) - 1))
        sent[at] = data.draw(st.integers(0, 255))
        PeerState.decode(bytes(sent))


class PlacedLogTest(unittest.TestCase):
    def test_each_group_receives_each_placement_once(self) -> None:
        log = PlacementLog()
        log.add(("e1", "s", [("a", 1)], True))
        self.assertEqual(len(log.take(0)), 1)
        log.add(("e2", "s", [("b", 1)], True))
        self.assertEqual([placed[0] for placed in log.take(0)], ["e2"])
        self.assertEqual([placed[0] for placed in log.take(1)], ["e1", "e2"])
        self.assertEqual(log.take(0), ())

    def test_datagram_has_the_latest_placements(self) -> None:
        log = PlacementLog()
        for number in range(1000):
            log.add((f"e{number}", "s", [], False))
        told = log.take(0)
        self.assertEqual((len(told), told[-1][0]), (MAX_ANNOUNCED, "e999"))


class RecordBytesTest(unittest.TestCase):
    def test_numbers_in_place_of_bytes_are_refused(self) -> None:
        """Guards against ``bytes`` of a number, which allocates that much memory."""
        for rows in ([["e1", 1 << 20]], [["e1", None]], [[1, b"{}"]], [["e1"]]):
            for content in ([None, rows, []], [None, [], rows]):
                with self.assertRaises((TypeError, ValueError)):
                    Snapshot.decode(zlib.compress(cbor2.dumps(content)))
        updates = ListUpdate(1, 0, 1, 0.0, 0.0, (Change(0, "e1", 1 << 20),))
        self.assertIsNone(PeerState.decode(state(updates=updates).encode()))
