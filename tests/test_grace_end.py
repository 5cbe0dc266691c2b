"""End of the grace period: requests that come late in it, or still run at its end."""

import socket
import time

import gevent

from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings

#: Grace period of the nodes in these tests, seconds.
GRACE_S = 3
#: Part of the grace period from which on new requests are rejected.
REFUSING_SHARE = 0.5
#: Longest wait for an answer that was sent already or is sent at once, seconds.
ANSWER_S = 0.2


class GraceEndTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        slow = configuration(2)
        for route in slow["routes"]:
            route["timeoutMs"] = 2000 * GRACE_S
        self.store.put("keyed.op", "config", slow)
        fields = settings(self.store.address)
        fields["bounds"]["graceS"] = GRACE_S
        self.node = self.start_node(fields)
        self.wait_ready(self.node)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        for worker in (*self.engines, *self.desks):
            worker.behave = self.work_on
        self.began = 0

    def work_on(self, _headers: dict[str, str]) -> None:
        """Works on every request beyond the end of the grace period."""
        self.began += 1
        gevent.sleep(2 * GRACE_S)

    def send(self, path: str) -> socket.socket:
        host, port = self.node._options.caller_listen.split(":")
        sock = socket.create_connection((host, int(port)), 2.0)
        self.addCleanup(sock.close)
        lines = (
            f"POST {path} HTTP/1.1",
            "Host: h.example",
            "Request-Id: r1",
            "Authorization: Token key-school",
            "Model: m",
            "Token-Usage: 100,5",
            "Prompt-Prefix: aa:60,bb:40",
            f"Deadline-Ms: {2000 * GRACE_S}",
            "Content-Length: 0",
        )
        sock.sendall("\r\n".join((*lines, "", "")).encode())
        return sock

    def answer(self, sock: socket.socket) -> bytes:
        sock.settimeout(ANSWER_S)
        try:
            return sock.recv(65536)
        except TimeoutError:
            return b""

    def test_booking_that_runs_at_the_end_of_the_grace_is_answered(self) -> None:
        """Guards against a connection that ends without an answer in a planned stop."""
        self.assert_answered_at_the_end("/book/x")

    def test_stream_without_an_event_at_the_end_of_the_grace_is_answered(self) -> None:
        self.assert_answered_at_the_end("/chat/x")

    def assert_answered_at_the_end(self, path: str) -> None:
        sock = self.send(path)
        self.eventually(lambda: self.began)
        stop = gevent.spawn(self.drain_and_stop)
        stop.join()
        # The process ends here, and with it all connections.
        self.assertRegex(self.answer(sock), rb"^HTTP/1.1 504 ")

    def test_request_that_comes_late_in_the_grace_does_not_run(self) -> None:
        """Guards against a request that begins in a stop although it may not end before it."""
        # The node stops early if no request runs.
        self.send("/book/x")
        self.eventually(lambda: self.began)
        stop = gevent.spawn(self.drain_and_stop)
        gevent.sleep(GRACE_S * REFUSING_SHARE + 0.2)
        self.assertRegex(self.answer(self.send("/book/x")), rb"^HTTP/1.1 503 ")
        self.assertEqual(self.began, 1)
        stop.join()

    def test_stop_ends_within_the_grace(self) -> None:
        self.send("/book/x")
        self.eventually(lambda: self.began)
        before = time.monotonic()
        self.drain_and_stop()
        self.assertLess(time.monotonic() - before, GRACE_S)

    def drain_and_stop(self) -> None:
        self.node.drain()
        self.node.stop()
