"""Datagrams between nodes: what arrives is what was sent, and malformed ones are refused."""

import unittest
import zlib

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.shared_reading import Change, ListNews
from arbutustally_node.gateway.peer_state import MAX_NEWS_BYTES, PeerState
from arbutustally_node.gateway.placed_log import MAX_TOLD, PlacedLog


def state(**changes) -> PeerState:
    return PeerState("n1", "i1", 7, "z1", "10.0.0.1:1", "10.0.0.1:2", True, 3, **changes)


class PeerStateTest(unittest.TestCase):
    def test_state_arrives_as_it_was_sent(self) -> None:
        changes = (Change(4, "e1", b"{}"), Change(6, "e2", None))
        sent = state(news=ListNews(3, 9, 0.5, 1.0, changes), loads={"e1": [1, 2, 3, 0]})
        received = PeerState.decode(sent.encode())
        self.assertEqual(received.news, sent.news)
        self.assertEqual(received.loads, sent.loads)

    def test_changes_that_resemble_each_other_take_little_room(self) -> None:
        """Replays weights that all of 70 engines have loaded: their entries change at once."""
        entry = b'{"service":"llm","address":"10.1.64.%d:8221","zone":"z1","slots":12}' * 3
        changes = tuple(Change(n, f"i-{n:010x}", entry % (n, n, n)) for n in range(70))
        sent = state(news=ListNews(0, 99, 0.0, 0.0, changes))
        self.assertLess(len(sent.encode()), sum(len(change.value) for change in changes) / 4)

    def test_news_that_unpack_to_too_much_are_refused(self) -> None:
        values = cbor2.loads(state(news=ListNews(0, 1, 0.0, 0.0, ())).encode())
        values[-1][-1] = zlib.compress(b"x" * (MAX_NEWS_BYTES + 1))
        self.assertIsNone(PeerState.decode(cbor2.dumps(values)))

    @given(st.binary(max_size=200))
    def test_bytes_of_others_are_refused(self, data) -> None:
        self.assertIsNone(PeerState.decode(data))

    @given(st.data())
    def test_damaged_datagrams_end_no_node(self, data) -> None:
        sent = bytearray(state(news=ListNews(0, 1, 0.0, 0.0, (Change(0, "e", b"{}"),))).encode())
        at = data.draw(st.integers(0, len(sent) - 1))
        sent[at] = data.draw(st.integers(0, 255))
        PeerState.decode(bytes(sent))


class PlacedLogTest(unittest.TestCase):
    def test_each_group_is_told_each_placement_once(self) -> None:
        log = PlacedLog()
        log.add(("e1", "s", [("a", 1)], True))
        self.assertEqual(len(log.take(0)), 1)
        log.add(("e2", "s", [("b", 1)], True))
        self.assertEqual([placed[0] for placed in log.take(0)], ["e2"])
        self.assertEqual([placed[0] for placed in log.take(1)], ["e1", "e2"])
        self.assertEqual(log.take(0), ())

    def test_datagram_has_the_latest_placements(self) -> None:
        log = PlacedLog()
        for number in range(1000):
            log.add((f"e{number}", "s", [], False))
        told = log.take(0)
        self.assertEqual((len(told), told[-1][0]), (MAX_TOLD, "e999"))
