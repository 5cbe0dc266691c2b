"""A gateway node over real sockets: routes, keys, bad requests, start-up and shutdown."""

import socket
from dataclasses import replace
from unittest import mock

import gevent

from arbutustally.clock import monotonic
from arbutustally_node.gateway.gossip import Gossip
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings


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
        """Guards against a stream that is cut at the end of the grace period."""
        node = self.start_node(settings(self.store.address))
        self.wait_ready(node)
        for desk in self.desks:
            desk.behave = lambda _headers: gevent.sleep(1.7)
        node._options = replace(node._options, bounds=replace(node._options.bounds, grace_s=4.5))
        stopping = gevent.spawn(node.drain)
        gevent.sleep(1.8)
        self.assertFalse(node.is_ready())
        first = gevent.spawn(lambda: self.call(node, "/book/x", "r1", Deadline_Ms="5000").status)
        self.eventually(lambda: monotonic() >= node._stop_plan.take_all_until)
        # Its route allows it 2 s, and the node ends the running requests 1.7 s later.
        late = self.call(node, "/book/x", "r2", Deadline_Ms="5000")
        self.assertEqual(late.status, 503)
        self.assertIn("Retry-After", late.headers)
        stopping.join()
        self.assertEqual(first.get(), 200)

    def test_starting_node_knows_its_seeds_before_its_services_run(self) -> None:
        """Guards against a starting node that assumes it is the only one in the fleet."""
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
