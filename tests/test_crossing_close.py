"""Requests that arrive while the node closes idle connections before a shutdown."""

import socket

import gevent

from arbutustally.clock import monotonic
from arbutustally.gateway.stop_plan import StopPlan
from tests.gateway_fleet import GatewayCase

REQUEST = (
    b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
    b"Authorization: Token key-school\r\nDeadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbook"
)


class CrossingCloseTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)
        host, _, port = self.node._options.caller_listen.rpartition(":")
        self.caller = socket.create_connection((host, int(port)), 5.0)
        self.addCleanup(self.caller.close)

    def ask(self, request_id: bytes) -> bytes:
        self.caller.sendall(REQUEST % request_id)
        return self.caller.recv(65536)

    def refuse_new(self) -> None:
        """Lets the node reject requests as late in a stop, where none can end before it."""
        now = monotonic()
        self.node._exchange.plan_stop(StopPlan(now, now, now, now, 0.0))

    def ran(self) -> list[str]:
        return [name for desk in self.desks for name in desk.ran]

    def test_request_that_crosses_the_close_is_refused_and_not_run(self) -> None:
        """Guards against a booking that runs while its caller sees a closed connection."""
        self.assertIn(b" 200 ", self.ask(b"r1"))
        gevent.sleep(0.05)
        self.refuse_new()
        # Both happen before the node's next read.
        self.caller.sendall(REQUEST % b"r2")
        self.node._listener.close_idle()
        answer = self.caller.recv(65536)
        gevent.sleep(0.1)
        self.assertEqual(self.ran(), ["r1"])
        self.assertIn(b" 503 ", answer)

    def test_connection_without_a_request_is_closed(self) -> None:
        """Guards against a shutdown that waits for idle callers."""
        self.assertIn(b" 200 ", self.ask(b"r1"))
        gevent.sleep(0.05)
        self.refuse_new()
        self.node._listener.close_idle()
        self.assertEqual(self.caller.recv(65536), b"")
        self.eventually(lambda: self.node._listener.connections == 0, 1.0)
