"""Connections whose memory is taken for other callers."""

import socket
import unittest

import gevent

from arbutustally.clock import monotonic
from arbutustally.errors import OverloadedError, SlowSenderError
from arbutustally.gateway.memory_account import MemoryAccount
from arbutustally_node.gateway.caller import CallerConnection
from arbutustally_node.gateway.connection_memory import REQUEST_BYTES, ConnectionMemory
from arbutustally_node.http_body import RequestReader

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"
LIMIT = 250_000
PAUSE_S = 0.1


class ConnectionMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account = MemoryAccount(LIMIT, 10 * LIMIT)

    def pair(self) -> tuple[socket.socket, socket.socket]:
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        return near, far

    def read(self, sent: bytes, caller: str) -> gevent.Greenlet:
        """Starts reading a request; returns the greenlet, whose value is the body or the error."""
        near, far = self.pair()
        far.sendall(sent)
        return gevent.spawn(self._read, near, caller)

    def _read(self, near: socket.socket, caller: str) -> bytes | Exception:
        memory = ConnectionMemory(self.account, caller)
        reader = RequestReader(near, monotonic, memory, 4096, 1 << 20, 5.0, 5.0, memory.is_too_slow)
        try:
            with memory.reading():
                return reader.read_body(reader.read_head())
        except (OverloadedError, SlowSenderError) as error:
            return error
        finally:
            memory.close()

    def test_newest_request_of_a_crowd_is_rejected_for_another_caller(self) -> None:
        """Guards against a crowd that keeps others out, and against a rejection without reason."""
        crowd = []
        for _ in range(2):
            crowd.append(self.read(HEAD + b"x" * 89_999, "crowd"))
            gevent.sleep(PAUSE_S)
        single = self.read(HEAD + b"y" * 90_000, "single")
        self.assertEqual(single.get(timeout=2.0), b"y" * 90_000)
        self.assertFalse(crowd[0].ready())
        error = crowd[1].get(timeout=2.0)
        self.assertIsInstance(error, OverloadedError)
        self.assertEqual((error.status, error.retry_after_s), (503, 1.0))

    def test_request_that_pauses_is_rejected_while_memory_is_scarce(self) -> None:
        """Guards against senders that hold memory until their timeout."""
        error = self.read(HEAD + b"x" * 89_999 + b"", "a")
        other = ConnectionMemory(self.account, "b")
        other.reserve(LIMIT // 2)
        self.assertIsInstance(error.get(timeout=3.0), SlowSenderError)

    def test_unread_answer_is_ended_for_another_caller(self) -> None:
        """Guards against answers that hold memory while their callers do not read."""
        near, _far = self.pair()
        writing = gevent.spawn(self._write, near)
        other = ConnectionMemory(self.account, "crowd")
        other.reserve(1000)
        gevent.sleep(1.0 + 2 * PAUSE_S)
        ConnectionMemory(self.account, "single").reserve(LIMIT // 2)
        self.assertIsInstance(writing.get(timeout=2.0), ConnectionAbortedError)

    def _write(self, near: socket.socket) -> Exception | None:
        memory = ConnectionMemory(self.account, "crowd")
        self.assertTrue(memory.try_answer(LIMIT - 3 * REQUEST_BYTES))
        try:
            CallerConnection(near, True, memory).send_whole(200, (), b"a" * (8 << 20))
        except OSError as error:
            return error
        return None
