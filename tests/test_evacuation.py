"""Requests stay away from evacuated zones on all nodes, and return to them gradually."""

import itertools
import socket
import unittest

import gevent

from arbutustally.clock import VirtualClock
from arbutustally.gateway.evacuation import MAX_ZONES, RETURN_S, Evacuations, ZoneEvacuation
from arbutustally.gateway.shared_reading import Position
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.peer_state import Covers, OperatorUpdate, PeerState
from arbutustally_node.gateway.ports import Record
from arbutustally_node.gateway.snapshot import Snapshot
from arbutustally_platform.documents import PlatformDocuments
from tests.gateway_fleet import GatewayCase, settings
from tests.gateway_values import entry, member
from tests.platform_fakes import FakeStore
from tests.ports import free_port

ORDER, REMOVAL = ZoneEvacuation("z1", True), ZoneEvacuation("z1", False)
KEY = "evacuate/z1"
OPERATOR = "keyed.op"


class EvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.evacuations = Evacuations(self.clock)

    def share(self) -> float:
        ids = [f"r{number}" for number in range(1000)]
        return sum(self.evacuations.has_returned("z1", one) for one in ids) / len(ids)

    def test_latest_record_decides_in_any_order_of_arrival(self) -> None:
        """Guards against a removal that is undone by an order that arrives late, or twice."""
        records = [
            (ORDER, Position(1, 4)),
            (REMOVAL, Position(1, 9)),
            (ORDER, Position(2, 3)),
            (REMOVAL, Position(2, 5)),
        ]
        for count in range(1, len(records) + 1):
            for arrivals in itertools.permutations([*records[:count], records[0]]):
                evacuations = Evacuations(self.clock)
                for arrival in arrivals:
                    evacuations.apply(*arrival)
                    self.assertTrue(evacuations.is_known(*arrival))
                self.assertEqual(evacuations.is_evacuated("z1"), records[count - 1][0] == ORDER)

    def test_traffic_returns_gradually(self) -> None:
        """Guards against all traffic of a zone at once at endpoints that may be cold."""
        self.assertEqual(self.share(), 1.0)
        self.evacuations.apply(ORDER, Position(1, 1))
        self.clock.advance(RETURN_S * 2)
        self.assertEqual(self.share(), 0.0)
        self.evacuations.apply(REMOVAL, Position(1, 2))
        shares = []
        for _ in range(5):
            shares.append(self.share())
            self.clock.advance(RETURN_S / 4)
            self.evacuations.apply(REMOVAL, Position(1, 2))
        for index, share in enumerate(shares):
            self.assertAlmostEqual(share, index / 4, delta=0.05)

    def test_node_that_starts_after_the_removal_uses_the_zone_at_once(self) -> None:
        """Guards against a started node that keeps requests away from a zone in use."""
        self.evacuations.apply(REMOVAL, Position(1, 2))
        self.assertEqual(self.share(), 1.0)

    def test_removal_of_an_unknown_zone_is_remembered(self) -> None:
        """Guards against a late order that evacuates a zone again after its removal was heard."""
        for number in range(MAX_ZONES):
            self.evacuations.apply(ZoneEvacuation(f"z{number}", False), Position(1, number))
        self.evacuations.apply(ZoneEvacuation("new", False), Position(1, 900))
        self.evacuations.apply(ZoneEvacuation("new", True), Position(1, 899))
        self.assertFalse(self.evacuations.is_evacuated("new"))

    def test_orders_in_force_are_never_forgotten(self) -> None:
        """Guards against memory that grows with each name of a zone, and against lost orders."""
        for number in range(3 * MAX_ZONES):
            self.evacuations.apply(ZoneEvacuation(f"z{number}", number % 3 == 0), Position(1, 1))
        known = [self.evacuations.state(f"z{number}") for number in range(3 * MAX_ZONES)]
        self.assertEqual(sum(one is not None for one in known), MAX_ZONES)
        self.assertTrue(all(self.evacuations.is_evacuated(f"z{n}") for n in range(0, 96, 3)))


class ViewTest(unittest.TestCase):
    """What a node believes after it has read the store again."""

    def setUp(self) -> None:
        clock = VirtualClock(100.0)
        self.view = FleetView(PlatformDocuments(), clock, DecisionLog({}, clock=clock))
        self.view.book.put(entry("a"))
        self.view.apply_operator(Record(KEY, b"{}", Position(1, 40)), "store")

    @property
    def usable(self) -> list[str]:
        return [state.id for state in self.view.book.usable("s")]

    def test_no_endpoint_of_the_zone_is_used_even_if_no_other_is_left(self) -> None:
        """Guards against an evacuated zone that is used as the last resort."""
        self.assertEqual(self.usable, [])
        self.view.book.put(entry("b", zone="z2"))
        self.view.book.get("b").is_down = True
        self.assertEqual(self.usable, ["b"])

    def test_record_missing_in_the_same_era_was_removed(self) -> None:
        """Guards against a removal that is lost with the store's history."""
        self.view.end_unlisted_evacuations((), Position(1, 30), "store")
        self.assertEqual(self.usable, [])
        self.view.end_unlisted_evacuations((), Position(1, 50), "store")
        self.assertEqual(self.usable, ["a"])

    def test_order_survives_an_older_copy_of_the_store(self) -> None:
        """Guards against an order that ends because the store lost it."""
        self.view.end_unlisted_evacuations((), Position(2, 50), "store")
        self.assertEqual(self.usable, [])
        self.view.apply_operator(Record(KEY, None, Position(2, 31)), "store")
        self.assertEqual(self.usable, ["a"])

    def test_odd_names_and_contents(self) -> None:
        """Guards against a reader that ends over an odd record."""
        self.view.apply_operator(Record("evacuate/", b"{}", Position(1, 1)), "store")
        self.view.apply_operator(Record("evacuate/" + "z" * 999, b"{}", Position(1, 2)), "store")
        self.view.apply_operator(Record("evacuate/z2", b"\xff[", Position(1, 3)), "store")
        self.assertEqual([one.key for one in self.view.evacuation_records], [KEY, "evacuate/z2"])

    def test_orders_and_removals_pass_between_nodes(self) -> None:
        """Guards against datagrams and snapshots that lose the removal or the position."""
        self.view.apply_operator(Record("evacuate/z2", None, Position(1, 41)), "store")
        records = self.view.operator_records
        passed = Snapshot.decode(Snapshot(None, records, ()).encode()).operator
        self.assertEqual(
            [(one, one.position) for one in passed], [(one, one.position) for one in records]
        )
        updates = tuple(OperatorUpdate(one.key, one.value, None, one.position) for one in records)
        sent = PeerState(member("n", "10.0.0.1"), "i", 1, Covers.NODE, operator=updates)
        self.assertEqual(PeerState.decode(sent.encode()), sent)
        self.assertEqual(sent.repeated, updates)


class NodesTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.store.era = 1
        self.store.put("keyed.servers", "d2", {**self.desks[1].entry(), "zone": "z2"})

    def start_pair(self, second_store: FakeStore):
        """Starts two nodes that are peers, the second one with another store."""
        port = free_port(kind=socket.SOCK_DGRAM)
        first = self.start_node(settings(self.store.address, internalPorts=[port, port]))
        self.wait_ready(first)
        fields = settings(second_store.address, "node-2", "127.0.0.2", internalPorts=[port, port])
        second = self.start_node({**fields, "seeds": [first._options.control_listen]})
        self.wait_ready(second)
        return first, second

    def assert_evacuated(self, nodes, expected: bool = True, within_s: float = 2.0) -> None:
        for node in nodes:
            evacuations = node._view.book.evacuations
            self.eventually(lambda e=evacuations: e.is_evacuated("z1") is expected, within_s)

    def test_node_without_the_store_learns_order_and_removal(self) -> None:
        """Guards against requests to an evacuated zone, and against a removal that is not heard."""
        refusing = FakeStore()
        self.addCleanup(refusing.stop)
        refusing.status = 503
        nodes = self.start_pair(refusing)
        self.store.put(OPERATOR, KEY, {"zone": "z1"})
        self.assert_evacuated(nodes)
        for number, node in itertools.product(range(6), nodes):
            self.assertEqual(self.call(node, "/look/a", f"a{number}").status, 200)
            answer = self.call(node, "/chat/a", f"c{number}", b"{}")
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
        self.assertEqual(self.desks[0].ran, [])
        self.store.put(OPERATOR, KEY, None)
        self.assert_evacuated(nodes, expected=False)
        for node in nodes:
            self.assertEqual(self.call(node, "/chat/a", "end", b"{}").status, 200)

    def test_restarted_node_learns_an_order_that_the_store_has_lost(self) -> None:
        """Guards against a node that starts from an older copy and uses the zone."""
        copy = self.store.take_copy()
        first = self.start_node()
        self.wait_ready(first)
        self.store.put(OPERATOR, KEY, {"zone": "z1"})
        self.assert_evacuated([first])
        self.store.return_to(copy)
        gevent.sleep(0.5)
        port = first._options.peer_port
        fields = settings(self.store.address, "node-2", "127.0.0.2", internalPorts=[port, port])
        second = self.start_node({**fields, "seeds": [first._options.control_listen]})
        self.assert_evacuated([first, second])

    def test_node_that_starts_reads_the_order(self) -> None:
        """Guards against a node that is ready before it knows of an evacuation."""
        self.store.put(OPERATOR, KEY, {"zone": "z1"})
        node = self.start_node()
        self.wait_ready(node)
        self.assert_evacuated([node], within_s=0.0)
