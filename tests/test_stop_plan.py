"""Requests around the end of the time for which a node that is being stopped takes all of them."""

import os
import signal
import socket
import time
import unittest

import gevent

from arbutustally.gateway.stop_plan import StopPlan
from arbutustally_node.signal_handlers import SignalHandlers
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings
from tests.node_process import NodeProcessCase
from tests.soak.program import PORTS

#: Grace period of the nodes in these tests, seconds.
GRACE_S = 8
#: A request that is sent later after the signal must not be cut when the node ends, seconds.
EXCUSED_S = 3.0
#: Deadlines of a request that may outlast the node, and of one that may not, milliseconds.
LONG_MS, SHORT_MS = 12_000, 1_000
ANSWER_S = 10.0


def request(path: str, request_id: str, deadline_ms: int, length: int = 0) -> bytes:
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"Request-Id: {request_id}",
        "Authorization: Token key-school",
        f"Deadline-Ms: {deadline_ms}",
        f"Content-Length: {length}",
    )
    return "\r\n".join((*lines, "", "")).encode()


def busy(seconds: float) -> None:
    """Keeps the interpreter from all other greenlets."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass


class StopPlanTest(unittest.TestCase):
    def test_request_that_ends_before_the_node_is_taken_late(self) -> None:
        plan = StopPlan.from_config(100.0, GRACE_S, ttl_s=1.0)
        self.assertTrue(plan.takes(103.2, 105.0))
        self.assertFalse(plan.takes(103.2, 108.0))

    def test_no_long_request_is_taken_later_than_excused_though_the_signal_is_noted_late(self):
        """Guards against a stop whose times count from when the program learns of it."""
        for grace_s in (4, 6, 8, 30):
            for late_s in (0.0, 0.04):
                plan = StopPlan.from_config(100.0 + late_s, grace_s, ttl_s=1.0)
                self.assertFalse(plan.takes(100.0 + EXCUSED_S, 100.0 + 2 * grace_s))

    def test_short_ttl_does_not_refuse_callers_that_resolved_late(self) -> None:
        """Guards against requests that are refused since the TTL is short, with grace left."""
        plan = StopPlan.from_config(100.0, GRACE_S, ttl_s=0.2)
        self.assertTrue(plan.takes(100.7, 112.0))

    def test_running_requests_are_ended_in_the_last_sixth_of_any_grace(self) -> None:
        """Guards against requests that are cut earlier than excused as the grace is short."""
        for grace_s in (0.5, 1, 2, 3, 3.5, 8, 60):
            plan = StopPlan.from_config(100.0, grace_s, ttl_s=1.0)
            self.assertGreaterEqual(plan.end_at - 100.0, grace_s * 5 / 6)
            self.assertLess(plan.end_at - 100.0 + plan.last_answers_s, grace_s)


class SignalHandlersTest(unittest.TestCase):
    def test_signal_is_noted_though_the_loop_is_busy(self) -> None:
        """Guards against a signal that is noted only after all greenlets that are due."""
        noted = []
        before = signal.getsignal(signal.SIGUSR1)
        handlers = SignalHandlers.install({signal.SIGUSR1: noted.append})
        self.addCleanup(signal.signal, signal.SIGUSR1, before)
        self.addCleanup(handlers.uninstall)
        sent = time.clock_gettime(time.CLOCK_BOOTTIME)
        gevent.spawn(os.kill, os.getpid(), signal.SIGUSR1)
        for _ in range(5):
            gevent.spawn(busy, 0.1)
        gevent.sleep(1.0)
        self.assertEqual(len(noted), 1)
        self.assertLess(noted[0] - sent, 0.05)

    def test_signals_in_a_row_are_all_handled(self) -> None:
        noted = []
        before = signal.getsignal(signal.SIGUSR1)
        handlers = SignalHandlers.install({signal.SIGUSR1: noted.append})
        self.addCleanup(signal.signal, signal.SIGUSR1, before)
        self.addCleanup(handlers.uninstall)
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGUSR1)
            busy(0.001)
        gevent.sleep(0.05)
        self.assertEqual(len(noted), 3)


class LateRequestTest(GatewayCase):
    """Guards against streams that a stopping node takes after the third second, and cuts."""

    def setUp(self) -> None:
        super().setUp()
        slow = configuration(2)
        for route in slow["routes"]:
            route["timeoutMs"] = LONG_MS
        slow["limits"]["headerTimeoutMs"] = 1000 * GRACE_S
        self.store.put("keyed.op", "config", slow)
        fields = settings(self.store.address)
        fields["bounds"]["graceS"] = GRACE_S
        self.node = self.start_node(fields)
        self.wait_ready(self.node)
        self.eventually(lambda: self.node._view.configuration.version == 2)

    def connect(self) -> socket.socket:
        host, port = self.node._options.caller_listen.split(":")
        sock = socket.create_connection((host, int(port)), 2.0)
        sock.settimeout(ANSWER_S)
        self.addCleanup(sock.close)
        return sock

    def ran(self) -> list[str]:
        return [name for desk in self.desks for name in desk.ran]

    def sleep_until(self, after_s: float) -> None:
        gevent.sleep(self.signalled + after_s - time.monotonic())

    def request_stop(self) -> None:
        self.signalled = time.monotonic()
        self.node.request_stop()

    def assert_refused(self, answer: bytes) -> None:
        self.assertRegex(answer, rb"^HTTP/1.1 503 ")
        self.assertIn(b"\r\nConnection: close\r\n", answer)
        self.assertIn(b"not run", answer)

    def test_drain_that_begins_late_takes_no_request_longer(self) -> None:
        self.request_stop()
        self.sleep_until(0.4)
        drain = gevent.spawn(self.node.drain)
        self.sleep_until(EXCUSED_S)
        sock = self.connect()
        sock.sendall(request("/book/x", "late", LONG_MS))
        self.assert_refused(sock.recv(65536))
        self.assertEqual(self.ran(), [])
        drain.join(GRACE_S)
        self.assertTrue(drain.ready())

    def test_second_signal_does_not_begin_the_stop_anew(self) -> None:
        """Guards against a second signal that moves the time from which requests are refused."""
        self.request_stop()
        drain = gevent.spawn(self.node.drain)
        self.sleep_until(1.0)
        self.node.request_stop()
        self.sleep_until(EXCUSED_S)
        sock = self.connect()
        sock.sendall(request("/book/x", "late", LONG_MS))
        self.assert_refused(sock.recv(65536))
        drain.join(GRACE_S)
        self.assertEqual(self.ran(), [])

    def test_body_that_ends_late_is_refused(self) -> None:
        self.request_stop()
        gevent.spawn(self.node.drain)
        self.sleep_until(EXCUSED_S - 0.2)
        sock = self.connect()
        sock.sendall(request("/book/x", "late", LONG_MS, 4) + b"bo")
        self.sleep_until(EXCUSED_S + 0.2)
        sock.sendall(b"ok")
        self.assert_refused(sock.recv(65536))
        self.assertEqual(self.ran(), [])

    def test_request_that_ends_in_time_is_served_late(self) -> None:
        """Guards against callers that are sent away though their request would have ended."""
        self.request_stop()
        gevent.spawn(self.node.drain)
        self.sleep_until(EXCUSED_S - 0.03)
        sock = self.connect()
        sock.sendall(request("/book/x", "short", SHORT_MS))
        self.assertRegex(sock.recv(65536), rb"^HTTP/1.1 200 ")
        self.assertEqual(self.ran(), ["short"])


class StoppedProcessTest(NodeProcessCase):
    """Guards against streams that a stopping node takes after the third second, and cuts."""

    def test_no_long_request_is_taken_after_the_third_second(self) -> None:
        slow = configuration(2)
        for route in slow["routes"]:
            route["timeoutMs"] = LONG_MS
        self.store.put("keyed.op", "config", slow)
        fields = settings(self.store.address)["bounds"]
        self.start_process(bounds={**fields, "graceS": GRACE_S})
        # The first of them keeps the node from ending early; it is sent before the signal.
        for desk in self.desks:
            desk.behave = lambda _headers: gevent.sleep(GRACE_S)
        held = self.send("held")
        gevent.sleep(0.2)
        signalled = time.monotonic()
        self.program.popen.send_signal(signal.SIGTERM)
        gevent.sleep(signalled + EXCUSED_S - time.monotonic())
        late = []
        while time.monotonic() < signalled + EXCUSED_S + 0.1:
            late.append(self.send(f"late{len(late)}"))
            gevent.sleep(0.001)
        for sock in late:
            self.assertRegex(sock.recv(65536), rb"^HTTP/1.1 503 ")
        self.assertGreater(len(late), 10)
        ran = [name for desk in self.desks for name in desk.ran if name.startswith("late")]
        self.assertEqual(ran, [])
        held.close()

    def send(self, request_id: str) -> socket.socket:
        sock = socket.create_connection((self.ip, PORTS["front"]), 2.0)
        sock.settimeout(ANSWER_S)
        self.addCleanup(sock.close)
        sock.sendall(request("/book/x", request_id, LONG_MS))
        return sock
