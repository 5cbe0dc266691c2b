"""Reading of the endpoints' list by a few nodes for the whole fleet."""

import unittest
from dataclasses import replace

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.shared_reading import (
    CLAIM_PAUSE_S,
    CLAIM_S,
    MAX_CHANGES_BYTES,
    READERS,
    RESEND_S,
    STALE_SHARE,
    Change,
    ListUpdate,
    Position,
    SharedReading,
)

LEAVING_S = 2.0
STALE_S = LEAVING_S * STALE_SHARE
#: Interval between two readings of a reader, and between two of its messages to peers, seconds.
READ_S = 0.7
TELL_S = 0.2


class FakeList:
    """List in the store: each offset is a heartbeat or a change."""

    def __init__(self) -> None:
        self.era = 1
        self.end = 0
        self.changes: dict[int, Change] = {}

    def heartbeats(self, count: int) -> None:
        self.end += count

    def change(self, key: str, value: bytes | None = b"{}") -> None:
        self.changes[self.end] = Change(self.end, key, value)
        self.end += 1

    def since(self, start: int) -> list[Change]:
        return [change for offset, change in self.changes.items() if offset >= start]


class Node:
    """One node with its copy of the list, and the number of its readings."""

    def __init__(self, clock: VirtualClock, listed: FakeList, rank: int) -> None:
        self.reading = SharedReading.from_config(clock, LEAVING_S)
        self._clock = clock
        self._listed = listed
        self._rank = rank
        self._next_read = 0.0
        self.known: dict[str, bytes | None] = {}
        self.reads = 0

    def step(self) -> None:
        if self._clock() < self._next_read or not self.reading.is_due(self._rank):
            return
        self.reads += 1
        self._next_read = self._clock() + READ_S
        start = self.reading.position
        if start is None or start.era != self._listed.era:
            self.known.clear()
            found = self._listed.since(0)
            self.reading.read_whole(Position(self._listed.era, self._listed.end))
        else:
            found = self._listed.since(start.offset)
            self.reading.read(self._listed.end, found)
        self._apply(found)

    def receive(self, other: "Node") -> None:
        updates = other.reading.updates(0.0)
        if updates is not None:
            self._apply(self.reading.take(updates))

    def _apply(self, changes) -> None:
        for change in changes:
            self.known[change.key] = change.value


class SharedReadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.listed = FakeList()

    def fleet(self, size: int) -> list[Node]:
        return [Node(self.clock, self.listed, rank) for rank in range(size)]

    def simulate(self, nodes: list[Node], seconds: float, with_updates: bool = True) -> None:
        """Advances time: heartbeats are written, readers read, and every node informs the others.

        :param with_updates: whether nodes send updates to each other.
        """
        for _ in range(round(seconds / TELL_S)):
            self.listed.heartbeats(10)
            for node in nodes:
                node.step()
            for node in nodes if with_updates else ():
                for other in nodes:
                    if other is not node:
                        other.receive(node)
            self.clock.advance(TELL_S)

    def test_large_fleet_reads_as_often_as_a_small_one(self) -> None:
        """Guards against one store call per node and interval; simulates 60 idle nodes."""
        small, large = self.fleet(4), self.fleet(60)
        self.simulate(small, 20.0)
        self.simulate(large, 20.0)
        readings = sum(node.reads for node in large) - len(large)
        self.assertLessEqual(readings, sum(node.reads for node in small) + READERS)

    def test_every_node_knows_a_change_within_the_bound(self) -> None:
        nodes = self.fleet(30)
        self.simulate(nodes, 3.0)
        self.listed.change("e1", None)
        self.simulate(nodes, READ_S + 2 * TELL_S)
        self.assertTrue(all(node.known == {"e1": None} for node in nodes))

    def test_loss_of_all_readers_is_noticed_in_time(self) -> None:
        nodes = self.fleet(30)
        self.simulate(nodes, 3.0)
        left = nodes[READERS:]
        self.listed.change("e1", None)
        self.simulate(left, 1.4)
        self.assertTrue(all("e1" in node.known for node in left))

    def test_lost_datagrams_lose_no_change(self) -> None:
        nodes = self.fleet(6)
        self.simulate(nodes, 3.0)
        self.listed.change("e1")
        self.simulate(nodes[:READERS], RESEND_S / 2)
        self.listed.change("e2")
        self.simulate(nodes, 1.0)
        self.assertTrue(all(set(node.known) == {"e1", "e2"} for node in nodes))

    def test_node_that_missed_changes_reads_itself(self) -> None:
        """Guards against a node that treats a list as current although it lacks a change."""
        nodes = self.fleet(6)
        self.simulate(nodes, 3.0)
        asleep, awake = nodes[-1], nodes[:-1]
        self.listed.change("e1")
        self.simulate(awake, 2 * RESEND_S)
        asleep.receive(nodes[0])
        self.assertTrue(asleep.reading.has_missed)
        self.assertNotIn("e1", asleep.known)
        asleep.step()
        self.assertIn("e1", asleep.known)
        self.assertFalse(asleep.reading.has_missed)

    def test_many_changes_do_not_outgrow_a_datagram(self) -> None:
        nodes = self.fleet(3)
        self.simulate(nodes, 1.0)
        for number in range(100):
            self.listed.change(f"e{number}", b"x" * 300)
        self.simulate(nodes, READ_S + 1.0)
        sent = nodes[0].reading.updates(0.0).changes
        self.assertLessEqual(sum(len(change.value) for change in sent), MAX_CHANGES_BYTES)
        self.assertTrue(all(len(node.known) == 100 for node in nodes))

    def test_node_without_a_recent_reading_sends_no_news(self) -> None:
        """Guards against an old list that is sent as current after a suspension."""
        node = self.fleet(1)[0]
        node.step()
        self.assertIsNotNone(node.reading.updates(0.0))
        self.clock.advance(STALE_S)
        self.assertIsNone(node.reading.updates(0.0))


class EraTest(unittest.TestCase):
    """News of other eras at a node of a rank that does not read by default."""

    RANK = 5

    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.reading = SharedReading.from_config(self.clock, LEAVING_S)
        self.reading.read_whole(Position(2, 10))

    def receive(self, era: int, *changes: Change) -> tuple[Change, ...]:
        return self.reading.take(ListUpdate(era, 0, 99, 0.0, 0.0, changes))

    def test_news_of_an_older_era_are_ignored(self) -> None:
        """Guards against late updates that revert a node to the state before the store's return."""
        self.assertEqual(self.receive(1, Change(20, "e1", None)), ())
        self.assertEqual(self.reading.position, Position(2, 10))
        self.assertFalse(self.reading.has_missed)

    def test_news_of_an_older_era_do_not_count_as_a_reading(self) -> None:
        """Guards against a node that never reads because readers of an older era keep sending."""
        for _ in range(20):
            self.receive(1)
            self.clock.advance(0.1)
        self.assertTrue(self.reading.is_due(self.RANK))

    def test_news_of_a_newer_era_only_cause_a_query(self) -> None:
        self.assertEqual(self.receive(3, Change(20, "e1", None)), ())
        self.assertEqual(self.reading.position, Position(2, 10))
        self.assertTrue(self.reading.has_missed)
        self.clock.advance(0.3)
        self.assertTrue(self.reading.is_due(self.RANK))
        self.reading.read_whole(Position(3, 4))
        self.assertFalse(self.reading.has_missed)
        self.assertFalse(self.reading.is_due(self.RANK))

    def test_denied_era_is_not_queried_again_soon(self) -> None:
        """Guards against a peer whose false era makes all nodes query the store for ever."""
        asked = 0
        for _ in range(round(2 * CLAIM_PAUSE_S / 0.1)):
            self.receive(1 << 60)
            self.receive(2)
            if self.reading.is_due(self.RANK):
                asked += 1
                self.reading.read(10, ())
            self.clock.advance(0.1)
        self.assertIn(asked, (1, 2))

    def test_claim_of_an_era_expires_unless_repeated(self) -> None:
        self.receive(3)
        self.clock.advance(CLAIM_S)
        self.assertFalse(self.reading.has_missed)

    def test_whole_list_of_the_store_replaces_any_state(self) -> None:
        """Guards against a node that keeps an era which the store never had."""
        self.reading.adopt_list(Position(1 << 60, 1))
        self.reading.read_whole(Position(2, 11))
        self.assertEqual(self.reading.position, Position(2, 11))


class ListedAgainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.book = EndpointBook(lambda: self.now)
        self.ready = EndpointEntry("d1", "desk", "10.0.0.1:1", "z1", 4, False, {}, "1")
        self.book.put(self.ready)
        self.book.put(replace(self.ready, is_leaving=True))

    def test_endpoint_that_stays_after_all_is_used_again(self) -> None:
        """Guards against an endpoint that stays excluded after it cancelled its leaving."""
        self.book.put(self.ready)
        self.assertEqual([state.id for state in self.book.usable("desk")], ["d1"])

    def test_endpoint_that_leaves_is_not_used_by_an_older_entry(self) -> None:
        """Guards against new requests to a leaving endpoint after the store has returned."""
        self.assertTrue(self.book.is_outdated(self.ready))
        self.assertFalse(self.book.is_outdated(replace(self.ready, is_leaving=True)))
        self.assertEqual(self.book.usable("desk"), [])
