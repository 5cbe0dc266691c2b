"""A graceful shutdown under load interrupts no request that the node has begun to read."""

import socket

import gevent

from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings

#: Longest time that a shutdown may take in these tests, seconds.
GRACE_S = 8
BODY = b"two vans, please"


class PlannedStopTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        slow = configuration(2)
        slow["limits"]["headerTimeoutMs"] = 1000 * GRACE_S
        self.store.put("keyed.op", "config", slow)
        fields = settings(self.store.address)
        fields["bounds"]["graceS"] = GRACE_S
        self.node = self.start_node(fields)
        self.wait_ready(self.node)

    def connect(self) -> socket.socket:
        host, port = self.node._options.caller_listen.split(":")
        sock = socket.create_connection((host, int(port)), 2.0)
        self.addCleanup(sock.close)
        return sock

    def head(self) -> bytes:
        lines = (
            "POST /book/x HTTP/1.1",
            "Host: h.example",
            "Request-Id: r1",
            "Authorization: Token key-school",
            "Deadline-Ms: 7000",
            f"Content-Length: {len(BODY)}",
        )
        return "\r\n".join((*lines, "", "")).encode()

    def answer(self, sock: socket.socket) -> bytes:
        sock.settimeout(GRACE_S)
        return sock.recv(65536)

    def test_request_whose_body_is_half_read_is_answered(self) -> None:
        """Guards against a shutdown that treats a node as idle while it reads a body."""
        sock = self.connect()
        sock.sendall(self.head() + BODY[:4])
        self.eventually(lambda: self.node._listener.connections == 1)
        drain = gevent.spawn(self.node.drain)
        gevent.sleep(self.node._ttl_s * 3 + 0.5)
        self.assertFalse(drain.ready(), "the drain ended while a request body was being read")
        sock.sendall(BODY[4:])
        self.assertRegex(self.answer(sock), rb"^HTTP/1.1 (200|503) ")
        drain.join(GRACE_S)
        self.assertTrue(drain.ready())

    def test_request_on_a_connection_opened_in_the_stop_is_answered(self) -> None:
        drain = gevent.spawn(self.node.drain)
        gevent.sleep(self.node._ttl_s * 3 - 0.2)
        sock = self.connect()
        sock.sendall(self.head() + BODY)
        self.assertRegex(self.answer(sock), rb"^HTTP/1.1 (200|503) ")
        drain.join(GRACE_S)
        self.assertTrue(drain.ready())

    def test_caller_of_a_kept_connection_learns_that_it_ends(self) -> None:
        """Guards against a caller that sends its next request on a connection that is closed."""
        idle, busy = self.connect(), self.connect()
        for sock in (idle, busy):
            sock.sendall(self.head() + BODY)
            self.assertNotIn(b"Connection: close", self.answer(sock))
        for desk in self.desks:
            desk.behave = lambda _headers: gevent.sleep(0.3)
        busy.sendall(self.head() + BODY)
        self.eventually(lambda: self.node._listener.running == 1)
        drain = gevent.spawn(self.node.drain)
        gevent.sleep(0.1)
        idle.sendall(self.head() + BODY)
        for sock in (idle, busy):
            answer = self.answer(sock)
            self.assertRegex(answer, rb"^HTTP/1.1 200 ")
            self.assertIn(b"\r\nConnection: close\r\n", answer)
        drain.join(GRACE_S)

    def test_stop_waits_for_no_call_to_the_store(self) -> None:
        """Guards against callers that are held up by a store that does not answer."""
        self.node._weights.stop = lambda: gevent.sleep(GRACE_S)
        sock = self.connect()
        sock.sendall(self.head() + BODY)
        self.answer(sock)
        drain = gevent.spawn(self.node.drain)
        gevent.sleep(0.1)
        sock.sendall(self.head() + BODY)
        self.assertIn(b"\r\nConnection: close\r\n", self.answer(sock))
        drain.join(GRACE_S / 2)
        self.assertTrue(drain.ready())

    def test_caller_that_never_ends_its_body_does_not_hold_the_stop_up(self) -> None:
        sock = self.connect()
        sock.sendall(self.head() + BODY[:4])
        self.eventually(lambda: self.node._listener.connections == 1)
        drain = gevent.spawn(self.node.drain)
        drain.join(GRACE_S)
        self.assertTrue(drain.ready())
