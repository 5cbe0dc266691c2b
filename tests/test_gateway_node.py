"""A gateway node over real sockets: routes, keys, attempts, streams, weights, drain, trouble."""

import socket
import time
from dataclasses import replace
from random import Random
from unittest import mock

import gevent
from bottle import HTTPResponse

from arbutustally.gateway.shared_reading import READERS, Change, ListNews
from arbutustally_node.gateway.fleet_view import FORGET_GONE_S
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.node import GatewayNode
from arbutustally_node.gateway.request_run import FIRST_BYTE_S
from arbutustally_node.gateway.stream_relay import SILENT_GAP_S
from arbutustally_node.gateway.weights_service import LOADS_DUTY
from tests.gateway_fleet import GatewayCase, settings
from tests.platform_fakes import FakeStore, FakeWorker, configuration
from tests.ports import free_port


class ServingTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)

    def test_answer_of_the_worker_reaches_the_caller_unchanged(self) -> None:
        answer = self.call(self.node, "/book/a?b=c", "r1", b"two vans")
        self.assertEqual((answer.status, answer.data), (200, b"two vans"))
        self.assertRegex(answer.headers["Server-Stamp"], "stamp-d[12]")
        seen = next(worker for worker in self.desks if worker.ran).seen[0]
        self.assertEqual(seen["Tenant"], "school")
        self.assertNotIn("Authorization", seen)
        self.assertLessEqual(int(seen["Deadline-Ms"]), 1500)

    def test_headers_that_only_the_system_sets_are_never_the_callers(self) -> None:
        self.call(
            self.node,
            "/chat/x",
            "r1",
            Tenant="other",
            Cache_Salt="theirs",
            Kv_Hold="h",
            Pin_Ms="9",
            Kv_Backup="1.2.3.4:5",
            Kv_From="1.2.3.4:5/6",
        )
        seen = next(worker for worker in self.engines if worker.ran).seen[0]
        self.assertEqual((seen["Tenant"], seen["Cache-Salt"]), ("school", "1."))
        for name in ("Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From"):
            self.assertNotIn(name, seen)

    def test_stream_arrives_whole(self) -> None:
        answer = self.call(self.node, "/chat/x", "r1")
        self.assertEqual(answer.data.count(b"data: piece"), 5)

    def test_unknown_route_and_key_are_refused(self) -> None:
        self.assertEqual(self.call(self.node, "/none/x", "r1").status, 404)
        self.assertEqual(
            self.call(self.node, "/book/x", "r2", Authorization="Token no").status, 401
        )
        self.assertEqual([worker.ran for worker in self.desks], [[], []])

    def test_removed_key_stops_working(self) -> None:
        changed = configuration(2)
        changed["tenants"][0]["apiKeys"] = ["another"]
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.call(self.node, "/look/x", "r1").status == 401)

    def test_older_configuration_never_comes_back(self) -> None:
        self.store.put("keyed.op", "config", configuration(5))
        self.eventually(lambda: self.node._view.configuration.version == 5)
        self.store.put("keyed.op", "config", configuration(4, routes=[]))
        gevent.sleep(0.3)
        self.assertEqual(self.call(self.node, "/look/x", "r1").status, 200)

    def test_unreadable_records_harm_nobody(self) -> None:
        self.store.put_raw("keyed.op", "config", b"{broken")
        self.store.put_raw("keyed.servers", "d9", b"\xff\x00")
        self.store.put("keyed.servers", "d8", {"service": 5, "state": "ready"})
        self.store.put("keyed.servers", "d7", {**self.desks[0].entry(), "state": "dancing"})
        gevent.sleep(1.2)
        self.assertEqual(self.call(self.node, "/look/x", "r1").status, 200)
        self.assertIsNone(self.node._view.book.get("d7"))


class AttemptTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)

    def test_full_worker_is_replaced_by_another(self) -> None:
        self.desks[0].behave = lambda _headers: HTTPResponse(
            status=503, headers={"Not-Executed": "1"}
        )
        for number in range(6):
            self.assertEqual(self.call(self.node, "/book/x", f"r{number}").status, 200)
        self.assertEqual(len(self.desks[1].ran), 6)

    def test_booking_whose_answer_is_lost_is_not_sent_again(self) -> None:
        """Guards against a booking that runs twice."""

        def lose(headers):
            self.lost.append(headers["Request-Id"])
            raise ConnectionResetError

        self.lost: list[str] = []
        for desk in self.desks:
            desk.behave = lose
        answer = self.call(self.node, "/book/x", "r1")
        self.assertIn(answer.status, (500, 502))
        self.assertEqual(self.lost, ["r1"])

    def test_failure_of_an_idempotent_call_is_tried_elsewhere(self) -> None:
        def fail(headers):
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            return HTTPResponse(status=500, body=b"no", headers=fields)

        self.desks[0].behave = fail
        for number in range(4):
            self.assertEqual(self.call(self.node, "/look/x", f"r{number}").status, 200)

    def test_answer_of_another_request_is_not_delivered(self) -> None:
        def cross(_headers):
            fields = {"Request-Id": "someone-else", "Server-Stamp": "s"}
            return HTTPResponse(body=b"theirs", headers=fields)

        for desk in self.desks:
            desk.behave = cross
        answer = self.call(self.node, "/book/x", "r1")
        self.assertEqual(answer.status, 502)
        self.assertNotIn(b"theirs", answer.data)

    def test_unsigned_success_is_not_delivered(self) -> None:
        for desk in self.desks:
            desk.behave = lambda headers: HTTPResponse(
                body=b"x", headers={"Request-Id": headers["Request-Id"]}
            )
        self.assertEqual(self.call(self.node, "/book/x", "r1").status, 502)

    def test_broken_stream_goes_on_at_another_engine_without_gap_or_repeat(self) -> None:
        def break_off(headers):
            if headers.get("Last-Event-Id"):
                return None
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            body = self._broken()
            return HTTPResponse(
                body=body, headers={**fields, "Content-Length": "9999", "Connection": "close"}
            )

        for engine in self.engines:
            engine.behave = break_off
        answer = self.call(self.node, "/chat/x", "r1")
        pieces = [line for line in answer.data.decode().split("\n") if line.startswith("data")]
        self.assertEqual(pieces, [f"data: piece {number}" for number in range(1, 6)])

    def test_broken_stream_goes_on_at_new_weights(self) -> None:
        """Guards against a stream that is broken off by one load after the other."""
        third = FakeWorker("e3", "llm", "m")
        self.addCleanup(third.stop)
        self.store.put("keyed.servers", third.id, third.entry())
        self.wait_ready(self.node, 3)
        third.version = 2
        book = self.node._view.book
        book.get("e3").weights["m"] = 2
        book.get("e3").prompt_tokens = 1e6

        def break_off(headers):
            if headers.get("Last-Event-Id"):
                return None
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            body = self._broken()
            fields |= {"Content-Length": "9999", "Connection": "close"}
            return HTTPResponse(body=body, headers=fields)

        for engine in self.engines:
            engine.behave = break_off
        answer = self.call(self.node, "/chat/x", "r1")
        self.assertEqual(answer.data.count(b"data: piece"), 5)
        self.assertEqual(third.ran, ["r1"])

    def answer_with(self, stream) -> None:
        """Makes all engines answer a stream that begins anew with ``stream``."""

        def behave(headers):
            if headers.get("Last-Event-Id"):
                return None
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            return HTTPResponse(body=stream(), headers=fields)

        for engine in self.engines:
            engine.behave = behave

    def test_stream_that_sends_bytes_but_no_event_goes_on_elsewhere(self) -> None:
        """Guards against stalled streams that never end since a byte comes now and then."""

        def stalled():
            yield b"id: 1\ndata: piece 1\n\n"
            while True:
                yield b":"
                gevent.sleep(0.2)

        self.answer_with(stalled)
        began = time.monotonic()
        answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual(answer.data.count(b"data: piece"), 5)
        self.assertLess(time.monotonic() - began, SILENT_GAP_S + 0.7)

    def test_slow_but_sound_stream_is_not_cut(self) -> None:
        """Replays an engine at a fraction of its speed that sends each event in two parts."""

        def slow():
            for number in (1, 2):
                yield b"id: %d\ndata: pi" % number
                gevent.sleep(0.3)
                yield b"ece %d\n\n" % number
                gevent.sleep(0.3)

        self.answer_with(slow)
        answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual(answer.data.count(b"data: piece"), 2)
        self.assertEqual(sum(len(engine.seen) for engine in self.engines), 1)

    def test_late_first_event_is_waited_for_where_no_repeat_is_left(self) -> None:
        """Replays engines behind while the budget of repeats is used: giving up helps nobody."""

        def late():
            gevent.sleep(FIRST_BYTE_S + 0.3)
            yield b"id: 1\ndata: piece 1\n\n"

        self.answer_with(late)
        with mock.patch.object(self.node._services.state.repeats, "take", return_value=False):
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual((answer.status, answer.data.count(b"data: piece")), (200, 1))

    def test_paused_stream_is_waited_for_where_no_repeat_is_left(self) -> None:
        def paused():
            yield b"id: 1\ndata: piece 1\n\n"
            gevent.sleep(SILENT_GAP_S + 0.3)
            yield b"id: 2\ndata: piece 2\n\n"

        self.answer_with(paused)
        with mock.patch.object(self.node._services.state.repeats, "take", return_value=False):
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual((answer.status, answer.data.count(b"data: piece")), (200, 2))

    def _broken(self):
        yield b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\nda"

    def test_request_whose_service_is_unknown_costs_nothing(self) -> None:
        """Guards against an account that pays for requests that were not even placed."""
        changed = configuration(2)
        changed["services"] = [one for one in changed["services"] if one["name"] != "desk"]
        changed["tenants"][0] |= {"ratePerS": 1, "burst": 500}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        before = self.node._services.state.quota.admitted.get("school", 0.0)
        self.assertEqual(self.call(self.node, "/look/a", "r1").status, 503)
        self.assertEqual(self.node._services.state.quota.admitted.get("school", 0.0), before)

    def test_account_over_its_rate_is_told_when_to_return(self) -> None:
        """Sends more than the rate at any speed of the machine, in requests that engines can take."""
        changed = configuration(2)
        changed["tenants"][0] |= {"ratePerS": 100, "burst": 20_000}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        for number in range(100):
            answer = self.call(self.node, "/chat/x", f"r{number}", Token_Usage="2000,10")
            if answer.status == 429:
                break
            self.assertEqual(answer.status, 200)
        self.assertEqual(answer.status, 429)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)


class WeightsTest(GatewayCase):
    def test_engines_are_brought_to_named_weights_and_requests_follow(self) -> None:
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
        """Replays inc-27e7: engines loaded a version that was replaced while they were emptied."""
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: node._weights._ordering)
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
        """Guards against two holders that order in turns."""
        lease = {"holder": "node-9~x", "fence": None, "released": False}
        self.store.put("keyed.weights-lease", "lease", lease)
        node = self.start_node()
        self.wait_ready(node)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        gevent.sleep(0.7)
        self.assertEqual(self.engines[0].orders + self.engines[1].orders, [])
        self.eventually(lambda: [engine.version for engine in self.engines] == [2, 2])

    def test_nodes_agree_on_who_orders_first(self) -> None:
        """Guards against loads that wait since no node takes itself for the first."""
        nodes = self.start_nodes(4)
        for node in nodes:
            self.eventually(lambda node=node: self.ready_peers(node) == 3)
        self.assertEqual(sorted(node._gossip.rank(LOADS_DUTY) for node in nodes), [0, 1, 2, 3])

    def ready_peers(self, node: GatewayNode) -> int:
        return sum(state.is_ready for state in node._gossip.present)

    def test_node_that_has_not_heard_of_new_weights_learns_them_from_the_engine(self) -> None:
        """Guards against refusals of a node that is cut off while engines move on."""
        node = self.start_node()
        self.wait_ready(node)
        for engine in self.engines:
            engine.version = 3
        self.eventually(lambda: self.call(node, "/chat/x", "r1").status == 200, 3.0)
        seen = next(engine for engine in self.engines if engine.ran).seen[-1]
        self.assertEqual(seen["Expect-Version"], "3")

    def test_engines_ahead_of_the_list_serve_while_another_holds_the_lease(self) -> None:
        """Guards against refusals until the lease of a holder that was killed has lapsed."""
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


class StoreTroubleTest(GatewayCase):
    def test_serves_on_without_the_store(self) -> None:
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
        """Guards against requests to workers that left while one node has no store."""
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

    def test_node_that_hears_of_the_list_forgets_endpoints_that_are_gone(self) -> None:
        """Guards against memory that grows with each replaced endpoint on nodes that do not read."""
        node = self.start_node()
        self.wait_ready(node)
        book = node._view.book
        position = node._endpoints.position
        era, offset = position.era, position.offset
        news = ListNews(era, offset, offset + 1, 0.0, 0.0, (Change(offset, "d1", None),))
        node._endpoints.take(news, "node-2")
        book.get("d1").gone_at -= 2 * FORGET_GONE_S
        node._endpoints.take(ListNews(era, offset, offset + 1, 0.0, 0.0, ()), "node-2")
        self.assertIsNone(book.get("d1"))

    def test_only_few_nodes_read_the_list(self) -> None:
        nodes = self.start_nodes(4)
        for node in nodes:
            self.eventually(lambda node=node: len(node._gossip.present) == 3)
        heartbeats = gevent.spawn(self.write_heartbeats)
        self.addCleanup(heartbeats.kill)
        self.eventually(
            lambda: sum(node._endpoints._reading.news(0) is not None for node in nodes) == READERS
        )
        self.store.put("keyed.servers", "d1", self.desks[0].entry("draining"))
        for node in nodes:
            self.eventually(lambda node=node: node._view.book.get("d1").entry.is_leaving, 2.0)

    def start_settled(self, count: int) -> list[GatewayNode]:
        """Starts nodes and waits until two of them read the store for all."""
        patch = mock.patch("arbutustally_node.gateway.follower.WAIT_S", 1.0)
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
        # Each reader waits for the next record, and may have waited for this one in two calls.
        self.assertLess(self.store.reads["keyed.op"] - before, len(nodes))

    def test_configuration_that_is_larger_than_a_datagram_is_in_force_on_all(self) -> None:
        """Replays a configuration that grows by many routes."""
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
                for greenlet in (*node._gossip._greenlets, node._services.store.follower._greenlet):
                    greenlet.kill()
                node._endpoints.stop()
        left = [node for node in nodes if not node._gossip._greenlets[0].dead]
        self.assertEqual(len(left), 5 - READERS)
        self.store.put("keyed.op", "config", configuration(2, routes=[]))
        for node in left:
            self.eventually(lambda node=node: node._view.configuration.version == 2, 2.0)

    def test_weights_that_a_peer_has_read_are_known_with_their_age(self) -> None:
        """Guards against nodes that use replaced weights for longer than the readers do."""
        nodes = self.start_settled(5)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        for node in nodes:
            self.eventually(lambda node=node: "m" in node._view.weights, 1.0)
        known = [node._view.weights["m"].known_at[2] for node in nodes]
        self.assertLess(max(known) - min(known), 0.5)

    def test_node_that_begins_to_read_keeps_the_age_of_weights(self) -> None:
        """Guards against engines that are left out since their weights seem long replaced."""
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

    def test_few_nodes_are_announced_and_all_find_together(self) -> None:
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


class DirectoryTest(GatewayCase):
    def test_callers_are_told_of_ready_nodes_only(self) -> None:
        node = self.start_node(settings(self.store.address))
        self.wait_ready(node)
        url = f"http://{node._options.directory_listen}/arbutustally/resolve?name=h&zone=z1"
        answer = self.http.request("GET", url)
        self.assertEqual(answer.json()["addresses"], [node._options.caller_listen])
        node._status.begin_drain()
        self.assertEqual(self.http.request("GET", url).status, 503)

    def test_stopping_node_finishes_what_runs(self) -> None:
        node = self.start_node(settings(self.store.address))
        self.wait_ready(node)
        answers = []

        def slow(_headers):
            gevent.sleep(0.8)

        for desk in self.desks:
            desk.behave = slow
        caller = gevent.spawn(lambda: answers.append(self.call(node, "/book/x", "r1").status))
        gevent.sleep(0.2)
        node.drain()
        caller.join()
        self.assertEqual(answers, [200])

    def test_request_that_comes_late_in_the_stop_is_sent_elsewhere(self) -> None:
        """Guards against a stream that is cut when the grace period ends."""
        node = self.start_node(settings(self.store.address))
        self.wait_ready(node)
        for desk in self.desks:
            desk.behave = lambda _headers: gevent.sleep(1.7)
        node._options = replace(node._options, bounds=replace(node._options.bounds, grace_s=6.0))
        stopping = gevent.spawn(node.drain)
        gevent.sleep(1.8)
        self.assertFalse(node.is_ready())
        first = gevent.spawn(lambda: self.call(node, "/book/x", "r1", Deadline_Ms="5000").status)
        self.eventually(lambda: node._exchange._is_refusing)
        late = self.call(node, "/book/x", "r2")
        self.assertEqual(late.status, 503)
        self.assertIn("Retry-After", late.headers)
        stopping.join()
        self.assertEqual(first.get(), 200)

    def test_starting_node_knows_its_seeds_before_its_services_run(self) -> None:
        """Guards against a starting node that takes itself for the only one of the fleet."""
        settled = []

        def start(gossip: Gossip) -> None:
            settled.append(gossip.is_settled)
            bind(gossip)

        bind = Gossip.start
        fields = settings(self.store.address, seeds=["127.0.0.9:1"])
        with mock.patch.object(Gossip, "start", start):
            self.start_node(fields)
        self.assertEqual(settled, [False])


class BadInputTest(GatewayCase):
    """Each bad input is refused, and the node still serves."""

    def send(self, node, data: bytes) -> bytes:
        host, _, port = node._options.caller_listen.rpartition(":")
        with socket.create_connection((host, int(port)), 3.0) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            answer = b""
            while part := sock.recv(65536):
                answer += part
        return answer

    def test_bad_requests_run_nowhere(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        usual = b"Host: h.example\r\nRequest-Id: bad\r\nAuthorization: Token key-school\r\n"
        for data, status in (
            (b"GARBAGE\r\n\r\n", b"400"),
            (b"POST /book/x HTTP/1.1\r\n" + usual + b"Content-Length: nine\r\n\r\n", b"400"),
            (
                b"POST /book/x HTTP/1.1\r\n" + usual + b"Content-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /book/y HTTP/1.1\r\n\r\n",
                b"400",
            ),
            (b"POST /book/x HTTP/1.1\r\n" + usual + b"Content-Length: 99999999\r\n\r\n", b"413"),
            (b"GET /book/x HTTP/1.1\r\nX: " + b"a" * 20000 + b"\r\n\r\n", b"413"),
            (b"GET /book/x HTTP/1.1\r\nHost: h.example\r\n\r\n", b"400"),
            (b"GET /book/x HTTP/1.1\r\nRequest-Id: bad\r\nHost: none.example\r\n\r\n", b"404"),
            (b"GET /book/x HTTP/1.0\r\n" + usual + b"\r\n", b"400"),
        ):
            self.assertIn(status, self.send(node, data)[:20], data[:60])
        self.assertEqual([worker.ran for worker in self.desks], [[], []])
        self.assertEqual(self.call(node, "/book/x", "good").status, 200)
