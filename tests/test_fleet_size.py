"""The size of the fleet: what it rests on, its record in the store, and its use for limits."""

import socket
import time
import unittest
from contextlib import suppress

import gevent

from arbutustally.clock import VirtualClock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.fleet_size import RECORD_VALID_S, FleetSize
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_size_recorder import CONFIRM_S, KEY, FleetSizeRecorder
from arbutustally_node.gateway.fleet_table import MAX_SETTLING_S
from arbutustally_node.gateway.ports import Batch, Record
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings
from tests.ports import free_port

TOPIC = "keyed.fleet-size"
RATE = 100_000
#: Share by which a node may exceed its part of the rate.
OVERAGE = 0.1


class FakeTopic:
    """In-memory topic with one record of each key."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.reads = 0
        self.writes: list[int] = []
        self.is_away = False

    def newest(self) -> Batch:
        if self.is_away:
            raise StoreUnavailableError("no answer")
        self.reads += 1
        return Batch(tuple(Record(key, value) for key, value in self.records.items()), 0)

    def put(self, key: str, value: bytes | None, expected: int | None = None) -> int | None:
        if self.is_away:
            raise StoreUnavailableError("no answer")
        self.records[key] = value
        self.writes.append(int(value))
        return len(self.writes)


class RecordedSizeCase(unittest.TestCase):
    """One node with a record of the fleet's size."""

    def setUp(self) -> None:
        self.clock = VirtualClock(50.0)
        self.topic = FakeTopic()
        self.peers = 0
        self.is_writer = False
        self.is_discovering = False
        self.changes: list[int] = []
        self.size = FleetSize(self.clock, lambda: self.peers, lambda: self.is_discovering)
        self.recorder = FleetSizeRecorder(
            self.topic,
            self.size,
            DecisionLog({}, clock=self.clock),
            self.clock,
            lambda: self.is_writer,
            lambda: self.changes.append(self.size.nodes),
        )

    def step(self, after_s: float = 0.5) -> None:
        self.clock.advance(after_s)
        self.recorder._compare()
        with suppress(StoreUnavailableError):
            self.recorder._step()


class FleetSizeTest(RecordedSizeCase):
    def test_recorded_size_counts_until_the_nodes_are_heard_or_it_is_old(self) -> None:
        """Guards against limits that stay divided among nodes that no longer exist."""
        self.topic.records[KEY] = b"6"
        self.peers = 3
        self.step()
        self.assertEqual(self.size.nodes, 6)
        self.assertEqual(self.changes, [4, 6])
        self.step(RECORD_VALID_S - 1.0)
        self.assertEqual(self.size.nodes, 6)
        self.step(1.5)
        self.assertEqual(self.size.nodes, 4)
        self.assertEqual(self.changes, [4, 6, 4])

    def test_nodes_that_are_still_being_found_share_with_those_heard(self) -> None:
        """Guards against callers that are refused while all nodes start again."""
        self.topic.records[KEY] = b"6"
        self.is_discovering = True
        self.peers = 3
        self.step()
        self.assertEqual(self.size.sharing_nodes, 4)
        self.is_discovering = False
        self.step()
        self.assertEqual(self.size.sharing_nodes, 6)
        self.assertEqual(self.changes, [4, 6])

    def test_writer_writes_no_size_of_nodes_still_being_found(self) -> None:
        self.topic.records[KEY] = b"6"
        self.is_discovering = self.is_writer = True
        self.peers = 1
        self.step()
        self.assertEqual(self.topic.records[KEY], b"6")

    def test_heard_nodes_beyond_the_record_count(self) -> None:
        self.topic.records[KEY] = b"6"
        self.peers = 8
        self.step()
        self.assertEqual(self.size.nodes, 9)

    def test_a_node_that_could_not_read_at_its_start_reads_later(self) -> None:
        self.topic.records[KEY] = b"6"
        self.topic.is_away = True
        self.step()
        self.assertEqual(self.size.nodes, 1)
        self.topic.is_away = False
        self.step()
        self.assertEqual(self.size.nodes, 6)

    def test_unusable_records_are_ignored(self) -> None:
        """Guards against a record that makes limits vanish or ends the node."""
        for value in (b"", b"0", b"-3", b"x", b"1e9", b"9" * 400, b"100001", "\u0663".encode()):
            self.setUp()
            self.topic.records[KEY] = value
            with self.subTest(value=value[:9]):
                self.step()
                self.assertEqual(self.size.nodes, 1)


class RecordTest(RecordedSizeCase):
    def test_only_the_writer_writes_and_only_what_changes(self) -> None:
        self.peers = 5
        self.step()
        self.assertEqual(self.topic.writes, [])
        self.is_writer = True
        for _ in range(100):
            self.step()
        self.assertEqual(self.topic.writes, [6])
        self.peers = 6
        self.step()
        self.assertEqual(self.topic.writes, [6, 7])
        self.assertLessEqual(self.topic.reads, 3 + 50 / CONFIRM_S)

    def test_writer_corrects_what_another_node_wrote(self) -> None:
        """Guards against the size of a part of the fleet, written while its nodes found each other."""
        self.peers, self.is_writer = 5, True
        self.step()
        self.topic.records[KEY] = b"2"
        self.step(CONFIRM_S)
        self.assertEqual(self.topic.records[KEY], b"6")

    def test_writer_writes_again_what_the_store_has_lost(self) -> None:
        self.peers, self.is_writer = 5, True
        self.step()
        self.topic.records.clear()
        self.recorder.era_changed(2)
        self.step()
        self.assertEqual(self.topic.records[KEY], b"6")

    def test_restarted_writer_keeps_a_larger_record_at_first(self) -> None:
        """Guards against a second restart that finds only the nodes that the first one heard."""
        self.topic.records[KEY] = b"6"
        self.peers, self.is_writer = 3, True
        self.step()
        self.assertEqual(self.topic.records[KEY], b"6")
        self.step(RECORD_VALID_S + 1.0)
        self.assertEqual(self.topic.records[KEY], b"4")


class RestartedNodeTest(GatewayCase):
    """Nodes that start again while they do not hear the others."""

    def setUp(self) -> None:
        super().setUp()
        account = {
            "name": "school",
            "apiKeys": ["key-school"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "isolated": False,
            "ratePerS": RATE,
            "burst": 100 * RATE,
        }
        self.store.put("keyed.op", "config", configuration(tenants=[account]))

    def rate(self, node) -> float:
        """Returns the tokens per second by which the account's bucket is filled at a node."""
        quota = node._services.state.quota
        level, at = quota.level("school"), time.monotonic()
        gevent.sleep(1.0)
        return (quota.level("school") - level) / (time.monotonic() - at)

    def test_limit_is_shared_with_nodes_heard_before_the_restart(self) -> None:
        """Guards against nodes on both sides of a cut that give an account more than its limit."""
        nodes = self.start_nodes(3)
        for node in nodes:
            self.wait_ready(node)
            self.eventually(lambda node=node: len(node._gossip.present) == 2)
        gevent.sleep(2.0)
        for node in nodes:
            node.stop()
        port = free_port(kind=socket.SOCK_DGRAM)
        again = self.start_node(settings(self.store.address, internalPorts=[port, port]))
        self.wait_ready(again)
        gevent.sleep(MAX_SETTLING_S)
        self.assertLessEqual(self.rate(again), RATE * (1 + OVERAGE) / 3)

    def test_whole_limit_at_the_only_node(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.assertGreaterEqual(self.rate(node), RATE * (1 - OVERAGE))


if __name__ == "__main__":
    unittest.main()
