"""Answers that arrive while the request is still being sent."""

import contextlib
import unittest
from typing import Any

from gevent.server import StreamServer

from arbutustally_node.pool import PoolService
from tests.test_unnamed_answers import UNNAMED, refusal


class _Target:
    """The part of an endpoint that the pool uses."""

    def __init__(self, address: str) -> None:
        self.address = address


class EarlyRefusalTest(unittest.TestCase):
    """A worker that writes a copy and ends the connection while it is sent a long body."""

    def setUp(self) -> None:
        self.pool = PoolService(1.0, 2.0)
        self.addCleanup(self.pool.stop)
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        self.addCleanup(server.stop, 0)
        self.address = f"127.0.0.1:{server.server_port}"

    def _serve(self, connection: Any, _address: Any) -> None:
        with contextlib.suppress(OSError):
            for answer in (refusal(b"r0"), UNNAMED["refusal"]):
                data = b""
                while b"\r\n\r\n" not in data and (piece := connection.recv(512)):
                    data += piece
                connection.sendall(answer)
        connection.close()

    def test_connection_counts_a_request_that_was_not_sent_completely(self) -> None:
        """Guards against taking a copy for the first answer of its connection."""
        headers = {"Request-Id": "r0"}
        target = _Target(self.address)
        self.pool.open(target, "POST", "/x", headers, None, 2.0).settle()
        response = self.pool.open(target, "POST", "/x", headers, b"x" * (16 << 20), 2.0)
        self.addCleanup(response.close)
        self.assertEqual(response.status, 503)
        self.assertTrue(response.reading.is_reused)
