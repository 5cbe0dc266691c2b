"""Limits of the directory, readiness, control and metrics listeners."""

import contextlib
import socket
import time
import unittest
from unittest.mock import patch

import gevent

from arbutustally_node.gateway import web

REQUEST = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"


class WebLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = web.serve("127.0.0.1:0", web.ready_app("/ready", lambda: True))
        self.addCleanup(self.server.stop, 0)

    def connect(self) -> socket.socket:
        caller = socket.create_connection(("127.0.0.1", self.server.server_port), 5.0)
        self.addCleanup(caller.close)
        return caller

    def test_connection_that_stops_inside_a_head_is_closed(self) -> None:
        """Guards against callers that hold all connections of a listener."""
        with patch.object(web, "IDLE_TIMEOUT_S", 0.1):
            for sent in (b"", REQUEST[:-2], REQUEST):
                with self.subTest(sent=sent):
                    caller = self.connect()
                    caller.sendall(sent)
                    while caller.recv(4096):
                        continue

    def test_head_that_trickles_is_ended(self) -> None:
        """Guards against callers that stay just below the idle timeout."""
        with patch.object(web, "REQUEST_TIMEOUT_S", 0.3):
            caller = self.connect()
            caller.sendall(REQUEST[:-2])
            with self.assertRaises(OSError):
                for _ in range(100):
                    caller.sendall(b"A: b\r\n")
                    time.sleep(0.05)

    def test_head_of_many_long_lines_is_refused(self) -> None:
        """Guards against heads that take megabytes for each connection."""
        for line in (b"A: " + b"a" * 60_000 + b"\r\n", b"A: " + b"a" * 1000 + b"\r\n"):
            with self.subTest(line=len(line)):
                caller = self.connect()
                with contextlib.suppress(OSError):
                    caller.sendall(REQUEST[:-2] + line * (web.MAX_HEAD_BYTES // len(line) + 1))
                self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 400"))

    def test_largest_head_is_served(self) -> None:
        """Guards against a limit that refuses heads inside it."""
        filling = web.MAX_HEAD_BYTES - len(REQUEST) - len(b"A: \r\n")
        caller = self.connect()
        caller.sendall(REQUEST[:-2] + b"A: " + b"a" * filling + b"\r\n\r\n")
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))

    def test_requests_are_answered(self) -> None:
        """Guards against limits that end sound requests of one connection."""
        caller = self.connect()
        for _ in range(3):
            caller.sendall(REQUEST)
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))


class FullListenerTest(unittest.TestCase):
    """Guards against callers that keep their connections and shut out all others."""

    LIMIT = 16

    def setUp(self) -> None:
        patch_limit = patch.object(web, "_connection_limit", lambda: self.LIMIT)
        patch_limit.start()
        self.addCleanup(patch_limit.stop)
        self.server = web.serve("127.0.0.1:0", web.ready_app("/ready", lambda: True))
        self.addCleanup(self.server.stop, 0)
        self.kept = [self.connect() for _ in range(2 * self.LIMIT)]

    def connect(self) -> socket.socket:
        caller = socket.create_connection(("127.0.0.1", self.server.server_port), 5.0)
        caller.settimeout(4.0)
        self.addCleanup(caller.close)
        return caller

    def assert_newcomer_is_served(self) -> None:
        caller = self.connect()
        caller.sendall(REQUEST)
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))

    def test_newcomer_is_served_beside_callers_that_ask_often(self) -> None:
        asking = [gevent.spawn(self.ask_often, caller) for caller in self.kept]
        gevent.sleep(0.5)
        self.assert_newcomer_is_served()
        gevent.killall(asking)

    def ask_often(self, caller: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller.sendall(REQUEST)
                if not caller.recv(4096):
                    return
                gevent.sleep(0.1)

    def test_newcomer_is_served_beside_callers_that_ask_nothing(self) -> None:
        self.assert_newcomer_is_served()

    def test_caller_of_a_full_listener_learns_that_its_connection_ends(self) -> None:
        """Guards against a next request that its caller sends on a connection that is closed."""
        caller = self.kept[0]
        caller.sendall(REQUEST)
        answer = caller.recv(4096)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"\r\nConnection: close\r\n", answer)
        self.assertEqual(caller.recv(4096), b"")
