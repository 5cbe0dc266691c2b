"""Tests over real sockets that gateway nodes update engines to the named weights."""

import socket

import gevent

from arbutustally.clock import monotonic
from arbutustally_node.gateway.node import GatewayNode
from arbutustally_node.gateway.weights_service import LOADS_DUTY
from tests.gateway_fleet import GatewayCase, settings
from tests.ports import free_port


class WeightsTest(GatewayCase):
    def test_engines_load_named_weights_and_requests_follow(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: [engine.version for engine in self.engines] == [2, 2])
        self.assertEqual(self.call(node, "/chat/x", "r1").status, 200)
        seen = next(engine for engine in self.engines if engine.ran).seen[-1]
        self.assertEqual((seen["Expect-Version"], seen["Cache-Salt"]), ("2", "2."))
        fences = {order["fence"] for engine in self.engines for order in engine.orders}
        holders = {order["holder"] for engine in self.engines for order in engine.orders}
        self.assertEqual((len(fences), len(holders)), (1, 1))

    def test_version_that_the_next_one_overtakes_is_not_ordered(self) -> None:
        """Replays inc-27e7: engines loaded a version that was replaced while they drained."""
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: node._weights._loading_engines)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 3})
        self.eventually(lambda: [engine.version for engine in self.engines] == [3, 3])
        versions = [order["version"] for engine in self.engines for order in engine.orders]
        self.assertEqual(versions, [3, 3])

    def test_lost_answer_to_the_claim_does_not_stop_the_move(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.store.lose_next_answer = True
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: [engine.version for engine in self.engines] == [2, 2])

    def test_lease_of_another_holder_is_waited_out(self) -> None:
        """Guards against two holders that order engines alternately."""
        lease = {"holder": "node-9~x", "fence": None, "released": False}
        self.store.put("keyed.weights-lease", "lease", lease)
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        gevent.sleep(0.7)
        self.assertEqual(self.engines[0].orders + self.engines[1].orders, [])
        self.eventually(lambda: [engine.version for engine in self.engines] == [2, 2])

    def test_nodes_agree_on_who_orders_first(self) -> None:
        """Guards against delayed loads because no node ranks itself first."""
        nodes = self.start_nodes(4)
        for node in nodes:
            self.eventually(lambda node=node: self.ready_peers(node) == 3)
        self.assertEqual(sorted(node._gossip.rank(LOADS_DUTY) for node in nodes), [0, 1, 2, 3])

    def ready_peers(self, node: GatewayNode) -> int:
        return sum(state.is_ready for state in node._gossip.present)

    def test_node_that_has_not_heard_of_new_weights_learns_them_from_the_engine(self) -> None:
        """Guards against refusals by a node that is cut off while engines load newer weights."""
        node = self.start_node()
        self.wait_ready(node)
        for engine in self.engines:
            engine.version = 3
        self.eventually(lambda: self.call(node, "/chat/x", "r1").status == 200, 3.0)
        seen = next(engine for engine in self.engines if engine.ran).seen[-1]
        self.assertEqual(seen["Expect-Version"], "3")

    def test_one_response_with_too_high_a_version_is_not_believed(self) -> None:
        """Guards against an engine that gets no requests and no order to load any more."""
        engine = self.engines[0]
        self.engines[1].stop()
        self.store.put("keyed.servers", self.engines[1].id, None)
        node = self.start_node()
        self.wait_ready(node, engines=1)
        engine.stated_version = 99
        self.assertEqual(self.call(node, "/chat/x", "r1").status, 200)
        engine.stated_version = None
        gevent.sleep(0.5)
        self.assertEqual(node._view.book.get(engine.id).weights, {"m": 1})
        self.assertEqual(self.call(node, "/chat/x", "r2").status, 200)

    def test_started_node_learns_of_versions_whose_records_are_gone(self) -> None:
        """Guards against requests on weights that were replaced twice: only the last has a date."""
        port = free_port(kind=socket.SOCK_DGRAM)

        def start(number: int) -> GatewayNode:
            name, ip = f"node-{number}", f"127.0.0.{number}"
            fields = settings(self.store.address, name, ip, internalPorts=[port, port])
            node = self.start_node(fields)
            self.wait_ready(node)
            return node

        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        older = start(1)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 3})
        self.eventually(lambda: 3 in older._view.weights["m"].dated)
        younger = start(2)
        self.eventually(lambda: 3 in younger._view.weights["m"].dated)
        now = monotonic()
        for node in (older, younger):
            self.assertEqual(node._view.weights["m"].oldest_allowed(now, 60.0), 2)
        self.assertEqual(list(younger._view.weights["m"].dated), [3])

    def test_engines_ahead_of_the_list_serve_while_another_holds_the_lease(self) -> None:
        """Guards against refusals until the lease of a killed holder has expired."""
        for engine in self.engines:
            engine.version = 2
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        lease = {"holder": "node-9~x", "fence": None, "released": False}
        self.store.put("keyed.weights-lease", "lease", lease)
        fields = settings(self.store.address)
        node = self.start_node({**fields, "bounds": {**fields["bounds"], "leaseTtlMs": 60_000}})
        self.wait_ready(node)
        self.eventually(lambda: self.call(node, "/chat/a", "r1").status == 200, 2.0)

    def test_endpoint_whose_address_has_another_is_left_out_for_good(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        self.desks[0].id = "d9"
        for number in range(8):
            self.assertEqual(self.call(node, "/book/x", f"r{number}").status, 200)
        self.assertLessEqual(len(self.desks[0].seen), 1)
