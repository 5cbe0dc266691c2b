"""Nodes that communicate over sockets after the store was restored from an older copy."""

import socket
from unittest import mock

import gevent
from gevent.event import Event

from arbutustally.gateway.shared_reading import ListUpdate
from arbutustally_node.gateway.node import GatewayNode
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings
from tests.platform_fakes import FakeStore, FakeWorker
from tests.ports import free_port

SERVERS = "keyed.servers"
OPERATOR = "keyed.op"
#: Number of heartbeats after which offsets of the new era exceed those of the old one.
MANY_HEARTBEATS = 10
#: Time within which all nodes agree after a return of the store, seconds.
AGREED_S = 3.0
#: Time within which a record that the operator writes is in force, seconds.
IN_FORCE_S = 2.0
#: Time after the store's return for which endpoints that it lacks stay in use, and the time after
#: which they are out of use at the latest, seconds.
KEPT_S = 2.5
LATEST_GONE_S = 5.0
#: Offset or era far above any that a store reaches.
HUGE = 1 << 60


class ReturnCase(GatewayCase):
    """Simulates returns of the store that nodes can detect only by its answers."""

    def heartbeats(self, count: int = MANY_HEARTBEATS) -> None:
        for _ in range(count):
            self.store.put(SERVERS, "e1", self.engines[0].entry())

    def drain(self, worker: FakeWorker) -> None:
        self.store.put(SERVERS, worker.id, worker.entry("draining"))

    def lose_heartbeats(self) -> None:
        """Restores the store from a copy that lacks heartbeats which all nodes have read."""
        copy = self.store.take_copy()
        self.heartbeats()
        gevent.sleep(1.5)
        self.store.return_to(copy)

    def is_used(self, node: GatewayNode, endpoint_id: str) -> bool:
        return any(state.id == endpoint_id for state in node._view.book.usable("desk"))

    def start_connected(self, count: int) -> list[GatewayNode]:
        """Starts nodes and waits until each receives messages from all others."""
        nodes = self.start_nodes(count)
        for node in nodes:
            self.wait_ready(node)
            self.eventually(lambda node=node: len(node._gossip.present) == count - 1)
        return nodes


class OneNodeTest(ReturnCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)

    def test_records_at_offsets_that_were_given_out_again_are_read(self) -> None:
        """Guards against a reader that continues at its offset and skips records it never read."""
        copy = self.store.take_copy()
        self.heartbeats(MANY_HEARTBEATS)
        gevent.sleep(1.5)
        self.store.return_to(copy)
        self.drain(self.desks[0])
        self.heartbeats(MANY_HEARTBEATS)
        self.eventually(lambda: not self.is_used(self.node, "d1"), AGREED_S)

    def test_configuration_at_an_offset_that_was_given_out_again_comes_into_force(self) -> None:
        """Guards against a wait at an offset that the awaited record will never have."""
        copy = self.store.take_copy()
        self.store.put(OPERATOR, "version/m", {"model": "m", "version": 1})
        self.eventually(lambda: "m" in self.node._view.weights)
        self.store.return_to(copy)
        self.store.put(OPERATOR, "config", configuration(2, routes=[]))
        self.eventually(lambda: self.node._view.configuration.version == 2, IN_FORCE_S)

    def test_wait_that_the_store_does_not_end_is_ended_by_the_era(self) -> None:
        """Guards against a wait of several seconds at an offset of the old era."""
        copy = self.store.take_copy()
        self.eventually(lambda: self.store.waiting[OPERATOR] == 1)
        # The pending read is woken neither by the return nor by later records.
        self.store._changed = Event()
        self.store.return_to(copy)
        self.store.put(OPERATOR, "config", configuration(2, routes=[]))
        self.eventually(lambda: self.node._view.configuration.version == 2, IN_FORCE_S)

    def test_endpoint_that_drains_does_not_come_back_by_its_older_entry(self) -> None:
        copy = self.store.take_copy()
        self.drain(self.desks[0])
        self.eventually(lambda: not self.is_used(self.node, "d1"))
        self.store.return_to(copy)
        gevent.sleep(1.5)
        self.assertFalse(self.is_used(self.node, "d1"))
        self.assertEqual(self.node._endpoints.position.era, 2)
        self.store.put(SERVERS, "d1", {**self.desks[0].entry(), "born": 2})
        self.eventually(lambda: self.is_used(self.node, "d1"), AGREED_S)

    def test_endpoint_that_stays_after_all_is_used_by_its_newer_entry(self) -> None:
        """Guards against an endpoint that stays excluded because it once was draining."""
        copy = self.store.take_copy()
        self.drain(self.desks[0])
        self.eventually(lambda: not self.is_used(self.node, "d1"))
        self.store.return_to(copy)
        gevent.sleep(1.5)
        self.assertFalse(self.is_used(self.node, "d1"))
        self.store.put(SERVERS, "d1", self.desks[0].entry())
        self.eventually(lambda: self.is_used(self.node, "d1"), AGREED_S)

    def test_endpoint_that_leaves_and_stays_in_the_new_era_is_used(self) -> None:
        """Replays seed 35 of the soak test: both plain workers left and were listed again."""
        self.store.return_to(self.store.take_copy())
        self.eventually(lambda: self.node._endpoints.position.era == 2)
        self.drain(self.desks[0])
        self.eventually(lambda: not self.is_used(self.node, "d1"))
        self.store.put(SERVERS, "d1", None)
        gevent.sleep(0.5)
        self.store.put(SERVERS, "d1", self.desks[0].entry())
        self.eventually(lambda: self.is_used(self.node, "d1"), AGREED_S)

    def test_endpoint_that_was_removed_comes_back_only_by_a_newer_entry(self) -> None:
        copy = self.store.take_copy()
        self.store.put(SERVERS, "d1", None)
        self.eventually(lambda: not self.is_used(self.node, "d1"))
        self.store.return_to(copy)
        gevent.sleep(1.5)
        self.assertFalse(self.is_used(self.node, "d1"))
        self.assertEqual(self.node._endpoints.position.era, 2)
        self.store.put(SERVERS, "d1", self.desks[0].entry())
        self.eventually(lambda: self.is_used(self.node, "d1"), AGREED_S)

    def test_endpoint_that_started_again_is_not_replaced_by_its_earlier_start(self) -> None:
        copy = self.store.take_copy()
        self.store.put(SERVERS, "d1", {**self.desks[0].entry(), "born": 2})
        book = self.node._view.book
        self.eventually(lambda: book.get("d1").entry.incarnation == "2")
        self.store.return_to(copy)
        gevent.sleep(1.5)
        self.assertEqual(book.get("d1").entry.incarnation, "2")
        self.assertEqual(self.node._endpoints.position.era, 2)

    def test_endpoint_that_the_copy_lacks_stays_in_use_for_a_while(self) -> None:
        copy = self.store.take_copy()
        third = FakeWorker("d3", "desk")
        self.addCleanup(third.stop)
        self.store.put(SERVERS, "d3", third.entry())
        self.eventually(lambda: self.is_used(self.node, "d3"))
        self.store.return_to(copy)
        gevent.sleep(KEPT_S - 1.0)
        self.assertTrue(self.is_used(self.node, "d3"))
        self.eventually(lambda: not self.is_used(self.node, "d3"), LATEST_GONE_S)

    def test_what_the_operator_wrote_never_goes_back(self) -> None:
        """Replays the loss of a configuration that withdrew a key, and of named weights."""
        copy = self.store.take_copy()
        changed = configuration(5)
        changed["tenants"][0]["apiKeys"] = ["another"]
        self.store.put(OPERATOR, "config", changed)
        self.store.put(OPERATOR, "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: "m" in self.node._view.weights)
        self.store.return_to(copy)
        self.store.put(OPERATOR, "version/m", {"model": "m", "version": 1})
        gevent.sleep(1.5)
        self.assertEqual(self.call(self.node, "/look/x", "r1").status, 401)
        self.assertEqual(self.node._view.weights["m"].version, 2)
        self.store.write_again()
        self.store.put(OPERATOR, "config", configuration(6))
        self.eventually(lambda: self.call(self.node, "/look/x", "r2").status == 200, IN_FORCE_S)

    def test_two_returns_in_a_row(self) -> None:
        first = self.store.take_copy()
        self.heartbeats()
        second = self.store.take_copy()
        self.heartbeats()
        gevent.sleep(1.5)
        self.store.return_to(second)
        gevent.sleep(0.3)
        self.store.return_to(first)
        self.drain(self.desks[0])
        self.heartbeats(3 * MANY_HEARTBEATS)
        self.eventually(lambda: not self.is_used(self.node, "d1"), AGREED_S)

    def test_first_era_is_no_return(self) -> None:
        """Guards against a node that reads the operator's records twice at its start."""
        self.assertFalse(self.node._services.store.operator_reader._woken.is_set())

    def test_requests_are_served_through_a_return(self) -> None:
        self.lose_heartbeats()
        for number in range(20):
            self.assertEqual(self.call(self.node, "/look/x", f"r{number}").status, 200)
            gevent.sleep(0.1)


class FleetTest(ReturnCase):
    def test_all_nodes_agree_after_a_return(self) -> None:
        """Guards against comparing offsets of two eras between readers and other nodes."""
        nodes = self.start_connected(4)
        self.lose_heartbeats()
        self.drain(self.desks[0])
        self.heartbeats(3 * MANY_HEARTBEATS)
        for node in nodes:
            self.eventually(lambda node=node: not self.is_used(node, "d1"), AGREED_S)

    def test_change_after_a_return_reaches_all(self) -> None:
        nodes = self.start_connected(4)
        self.lose_heartbeats()
        gevent.sleep(AGREED_S)
        self.drain(self.desks[0])
        for node in nodes:
            self.eventually(lambda node=node: not self.is_used(node, "d1"), 2.0)

    def test_node_cut_off_from_the_store_agrees_too(self) -> None:
        refusing = FakeStore()
        self.addCleanup(refusing.stop)
        port = free_port(kind=socket.SOCK_DGRAM)
        first = self.start_node({**settings(self.store.address), "internalPorts": [port, port]})
        self.wait_ready(first)
        refusing.status = 503
        fields = settings(refusing.address, "node-2", "127.0.0.2", internalPorts=[port, port])
        node = self.start_node({**fields, "seeds": [first._options.control_listen]})
        self.wait_ready(node)
        self.lose_heartbeats()
        self.drain(self.desks[0])
        self.heartbeats(3 * MANY_HEARTBEATS)
        self.eventually(lambda: not self.is_used(node, "d1"), AGREED_S)
        self.store.put(SERVERS, "d2", self.desks[1].entry("draining"))
        self.eventually(lambda: not self.is_used(node, "d2"), AGREED_S)

    def test_restart_of_all_in_a_return(self) -> None:
        nodes = self.start_connected(2)
        self.lose_heartbeats()
        self.drain(self.desks[0])
        for node in nodes:
            node.stop()
        for node in self.start_nodes(2):
            self.wait_ready(node)
            self.eventually(lambda node=node: not self.is_used(node, "d1"), AGREED_S)

    def test_false_era_of_a_peer_does_no_harm(self) -> None:
        """Guards against a datagram that hides changes from a node, or makes it poll forever."""
        node = self.start_node()
        self.wait_ready(node)
        self.store.reads.clear()
        calls = self.store.calls
        for _ in range(20):
            node._endpoints.take(ListUpdate(HUGE, 0, HUGE, 0.0, 0.0, ()), "node-2")
            gevent.sleep(0.1)
        self.assertEqual(node._endpoints.position.era, 1)
        self.assertFalse(node._endpoints.has_missed)
        self.assertLess(self.store.calls - calls, 12)
        self.drain(self.desks[0])
        self.eventually(lambda: not self.is_used(node, "d1"), 2.0)

    def test_return_that_the_readers_have_not_seen_yet(self) -> None:
        """Simulates two readers whose calls hang: others must not revert to the state they send."""
        nodes = self.start_connected(4)
        self.eventually(lambda: sum(node._endpoints.is_reader for node in nodes) == 2)
        self.lose_heartbeats()
        slow = [node for node in nodes if node._endpoints.is_reader]
        patches = [
            mock.patch.object(node._endpoints._topic, "since", lambda *_args: gevent.sleep(9))
            for node in slow
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.drain(self.desks[0])
        self.heartbeats(3 * MANY_HEARTBEATS)
        for node in nodes:
            if node not in slow:
                self.eventually(lambda node=node: not self.is_used(node, "d1"), AGREED_S)
