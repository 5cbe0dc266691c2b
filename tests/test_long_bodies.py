"""Requests with long bodies at workers that read them late."""

import contextlib
import socket
import unittest
from typing import Any, BinaryIO

import gevent
from gevent.server import StreamServer

from arbutustally_node.bounded_call import CallTarget
from arbutustally_node.pool import UNACKNOWLEDGED_MS, PoolService

#: Longer than the buffers of a connection, bytes.
LONG_BODY = 16 << 20
CONNECT_S = 0.2
DONE = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ndone"


EXPECTED = [UNACKNOWLEDGED_MS, 0, UNACKNOWLEDGED_MS, UNACKNOWLEDGED_MS]


def _read_rest(reader: BinaryIO) -> int:
    """Reads the rest of a request; returns the length of its body."""
    length = 0
    while (line := reader.readline().strip().lower()) != b"":
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return len(reader.read(length))


class LateReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = PoolService(CONNECT_S, 5.0)
        self.addCleanup(self.pool.stop)
        self.received = 0

    def serve(self, late_s: float) -> CallTarget:
        """Starts a worker that begins to read a request after a pause."""

        def handle(connection: Any, _address: Any) -> None:
            gevent.sleep(late_s)
            reader = connection.makefile("rb")
            with contextlib.suppress(OSError):
                while reader.readline():
                    self.received = _read_rest(reader)
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

    def test_body_is_sent_to_a_worker_that_reads_after_two_seconds(self) -> None:
        """Guards against a kernel timeout that ends a connection without telling the worker."""
        self.assertEqual(self.send(self.serve(2.5)), b"done")
        self.assertEqual(self.received, LONG_BODY)

    def test_short_request_keeps_the_limit_on_unacknowledged_data(self) -> None:
        """Guards against requests that wait for an unreachable worker until their deadline."""
        target = self.serve(0.0)
        self.assertEqual(self._limits(target, (b"x" * 10, b"x" * LONG_BODY, b"", b"y")), EXPECTED)

    def _limits(self, target: CallTarget, bodies: tuple[bytes, ...]) -> list[int]:
        """Returns the limit in force during each request, all on one connection, milliseconds."""
        found = []
        for body in bodies:
            response = self.pool.open(target, "POST", "/x", {"Request-Id": "r1"}, body, 5.0)
            option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            found.append(response._socket.getsockopt(*option))
            self.assertEqual(response.reading.is_reused, len(found) > 1)
            response.read_whole()
        return found
