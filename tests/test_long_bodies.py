"""Requests with long bodies at workers that read them late."""

import contextlib
import unittest
from typing import Any

import gevent
from gevent.server import StreamServer

from arbutustally_node.bounded_call import CallTarget
from arbutustally_node.pool import PoolService

#: Longer than the buffers of a connection, bytes.
LONG_BODY = 16 << 20
CONNECT_S = 0.2
DONE = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ndone"


class LateReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = PoolService(CONNECT_S, 5.0)
        self.addCleanup(self.pool.stop)
        self.received = 0

    def serve(self, late_s: float) -> CallTarget:
        """Starts a worker that begins to read a request after a pause."""

        def handle(connection: Any, _address: Any) -> None:
            gevent.sleep(late_s)
            with contextlib.suppress(OSError):
                head, _, body = connection.recv(65536).partition(b"\r\n\r\n")
                self.received = len(body)
                while self.received < LONG_BODY and (data := connection.recv(1 << 20)):
                    self.received += len(data)
                connection.sendall(DONE)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop, 0)
        return CallTarget(f"127.0.0.1:{server.server_port}")

    def send(self, target: CallTarget) -> bytes:
        headers = {"Request-Id": "r1"}
        response = self.pool.open(target, "POST", "/x", headers, b"x" * LONG_BODY, 5.0)
        return response.read_whole()

    def test_body_is_sent_beyond_the_connect_timeout(self) -> None:
        """Guards against leaving a worker that reads slowly, whose request then runs elsewhere."""
        self.assertEqual(self.send(self.serve(CONNECT_S * 3)), b"done")
        self.assertEqual(self.received, LONG_BODY)
