"""Tests gateway nodes over real sockets: state read from the store or received from peers."""

import socket
from random import Random
from unittest import mock

import gevent

from arbutustally.gateway.shared_reading import READERS, Change, ListUpdate
from arbutustally_node.gateway.fleet_view import FORGET_GONE_S
from arbutustally_node.gateway.node import GatewayNode
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings
from tests.platform_fakes import FakeStore
from tests.ports import free_port


class StoreOutageTest(GatewayCase):
    def test_keeps_serving_without_the_store(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.store.status = 503
        gevent.sleep(0.5)
        self.assertEqual(self.call(node, "/book/x", "r1").status, 200)
        self.store.status = 200
        self.store.put("keyed.op", "config", configuration(2, routes=[]))
        self.eventually(lambda: self.call(node, "/book/x", "r2").status == 404)

    def test_without_any_configuration_nothing_is_denied(self) -> None:
        self.store.status = 503
        node = self.start_node()
        gevent.sleep(0.2)
        answer = self.call(node, "/book/x", "r1")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertFalse(node.is_ready())

    def test_forgotten_history_is_read_anew(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.op", "config", configuration(2, routes=[]))
        self.store.drop_history("keyed.op")
        self.store.drop_history("keyed.servers")
        self.eventually(lambda: self.call(node, "/book/x", "r1").status == 404)

    def test_entries_that_lapsed_with_the_store_are_kept_for_a_while(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.store.status = 503
        gevent.sleep(2.0)
        for worker in self.desks:
            self.store.put("keyed.servers", worker.id, None)
        self.store.status = 200
        gevent.sleep(1.2)
        self.assertEqual(self.call(node, "/book/x", "r1").status, 200)
        self.eventually(lambda: self.call(node, "/book/x", "r2").status == 503)

    def test_node_without_the_store_learns_of_changes_from_peers(self) -> None:
        """Guards against requests to workers that left while a node cannot reach the store."""
        refusing = FakeStore()
        self.addCleanup(refusing.stop)
        refusing.status = 503
        port = free_port(kind=socket.SOCK_DGRAM)
        first = self.start_node({**settings(self.store.address), "internalPorts": [port, port]})
        self.wait_ready(first)
        fields = settings(refusing.address, "node-2", "127.0.0.2", internalPorts=[port, port])
        node = self.start_node({**fields, "seeds": [first._options.control_listen]})
        self.wait_ready(node)
        self.store.put("keyed.servers", "d1", self.desks[0].entry("draining"))
        self.eventually(lambda: node._view.book.get("d1").entry.is_leaving, 2.0)
        for number in range(6):
            self.assertEqual(self.call(node, "/look/a", f"r{number}").status, 200)
        self.assertEqual(self.desks[0].ran, [])

    def test_changes_from_peers_remove_endpoints_that_are_gone(self) -> None:
        """Guards against a memory leak per replaced endpoint on nodes that do not read the store."""
        node = self.start_node()
        self.wait_ready(node)
        book = node._view.book
        position = node._endpoints.position
        era, offset = position.era, position.offset
        updates = ListUpdate(era, offset, offset + 1, 0.0, 0.0, (Change(offset, "d1", None),))
        node._endpoints.take(updates, "node-2")
        book.get("d1").gone_at -= 2 * FORGET_GONE_S
        node._endpoints.take(ListUpdate(era, offset, offset + 1, 0.0, 0.0, ()), "node-2")
        self.assertIsNone(book.get("d1"))

    def test_only_few_nodes_read_the_list(self) -> None:
        nodes = self.start_nodes(4)
        for node in nodes:
            self.eventually(lambda node=node: len(node._gossip.present) == 3)
        heartbeats = gevent.spawn(self.write_heartbeats)
        self.addCleanup(heartbeats.kill)
        self.eventually(
            lambda: sum(node._endpoints._reading.updates(0) is not None for node in nodes)
            == READERS
        )
        self.store.put("keyed.servers", "d1", self.desks[0].entry("draining"))
        for node in nodes:
            self.eventually(lambda node=node: node._view.book.get("d1").entry.is_leaving, 2.0)

    def start_settled(self, count: int) -> list[GatewayNode]:
        """Starts nodes and waits until ``READERS`` of them read the store for all."""
        patch = mock.patch("arbutustally_node.gateway.operator_reader.WAIT_S", 1.0)
        patch.start()
        self.addCleanup(patch.stop)
        nodes = self.start_nodes(count)
        for node in nodes:
            self.eventually(lambda node=node: len(node._gossip.present) == count - 1)
        self.eventually(lambda: sum(node._endpoints.is_reader for node in nodes) == READERS)
        self.eventually(lambda: self.store.waiting["keyed.op"] == READERS)
        return nodes

    def test_configuration_that_few_nodes_read_is_in_force_on_all(self) -> None:
        nodes = self.start_settled(5)
        before = self.store.reads["keyed.op"]
        self.store.put("keyed.op", "config", configuration(2, routes=[]))
        for node in nodes:
            self.eventually(lambda node=node: node._view.configuration.version == 2, 1.0)
        gevent.sleep(0.2)
        # Each reader waits for the next record, and may have needed two calls to get this one.
        self.assertLess(self.store.reads["keyed.op"] - before, len(nodes))

    def test_configuration_that_is_larger_than_a_datagram_is_in_force_on_all(self) -> None:
        """Replays a configuration that grew beyond a datagram through many routes."""
        nodes = self.start_settled(5)
        rng = Random(5)
        first = configuration()["routes"][0]
        routes = [
            {**first, "name": f"r{n}", "pathPrefix": f"/{rng.getrandbits(256):x}/"}
            for n in range(1400)
        ]
        self.store.put("keyed.op", "config", configuration(2, routes=routes))
        for node in nodes:
            self.eventually(lambda node=node: node._view.configuration.version == 2, 2.0)

    def test_configuration_is_in_force_in_time_though_its_readers_are_lost(self) -> None:
        """Replays the loss of both readers just before a configuration is written."""
        nodes = self.start_settled(5)
        for node in nodes:
            if node._endpoints.is_reader:
                for greenlet in (
                    *node._gossip._greenlets,
                    node._services.store.operator_reader._greenlet,
                ):
                    greenlet.kill()
                node._endpoints.stop()
        left = [node for node in nodes if not node._gossip._greenlets[0].dead]
        self.assertEqual(len(left), 5 - READERS)
        self.store.put("keyed.op", "config", configuration(2, routes=[]))
        for node in left:
            self.eventually(lambda node=node: node._view.configuration.version == 2, 2.0)

    def test_weights_that_a_peer_has_read_are_known_with_their_age(self) -> None:
        """Guards against nodes that use replaced weights longer than the readers do."""
        nodes = self.start_settled(5)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        for node in nodes:
            self.eventually(lambda node=node: "m" in node._view.weights, 1.0)
        known = [node._view.weights["m"].known_at[2] for node in nodes]
        self.assertLess(max(known) - min(known), 0.5)

    def test_node_that_begins_to_read_keeps_the_age_of_weights(self) -> None:
        """Guards against engines left out because their weights appear to be long replaced."""
        nodes = self.start_settled(3)
        # A node that started before it knew the others has read once itself.
        self.eventually(lambda: not all(node._endpoints.is_reader for node in nodes))
        node = next(node for node in nodes if not node._endpoints.is_reader)
        gevent.sleep(1.0)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: "m" in node._view.weights)
        known_at = node._view.weights["m"].known_at[2]
        for other in nodes:
            if other is not node:
                other.stop()
        self.eventually(lambda: node._endpoints.is_reader)
        gevent.sleep(0.5)
        self.assertAlmostEqual(node._view.weights["m"].known_at[2], known_at, delta=0.1)

    def test_few_nodes_are_announced_and_all_find_each_other(self) -> None:
        nodes = self.start_nodes(3)
        for node in nodes:
            self.eventually(lambda node=node: len(node._gossip.present) == 2)
        late = self.start_node(
            settings(
                self.store.address,
                "node-9",
                "127.0.0.9",
                internalPorts=[nodes[0]._options.peer_port] * 2,
            )
        )
        self.eventually(lambda: len(late._gossip.present) == 3, 4.0)

    def write_heartbeats(self) -> None:
        while True:
            gevent.sleep(0.1)
            self.store.put("keyed.servers", "e1", self.engines[0].entry())

    def test_leaving_worker_gets_no_new_requests(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.servers", "d1", self.desks[0].entry("draining"))
        self.eventually(lambda: node._view.book.get("d1").entry.is_leaving)
        before = len(self.desks[0].seen)
        for number in range(6):
            self.assertEqual(self.call(node, "/book/x", f"r{number}").status, 200)
        self.assertEqual(len(self.desks[0].seen), before)
