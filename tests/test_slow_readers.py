"""Callers that read a large answer slowly, or not at all."""

import socket
from collections.abc import Iterator
from unittest import mock

import gevent

from arbutustally_node.gateway import caller_write
from tests.raw_gateway import SIGNED, RawGatewayCase, _parse
from tests.raw_worker import Close, RawRequest

#: Longest time without progress in these tests, and interval of the looks, seconds.
NO_PROGRESS_S = 0.6
CHECK_S = 0.15
#: Larger than the kernel's queues of a connection.
BODY = b"b" * (7 << 20)
#: Bytes that a slow caller reads at a time, and its pause, seconds. It needs about 3 s.
READ_BYTES = 96 << 10
PAUSE_S = 0.04


def answer(request: RawRequest) -> Iterator[bytes | Close | float]:
    yield f"{SIGNED.format(request.id)}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


class SlowReaderTest(RawGatewayCase):
    def setUp(self) -> None:
        super().setUp()
        for name, value in (("NO_PROGRESS_S", NO_PROGRESS_S), ("CHECK_S", CHECK_S)):
            patch = mock.patch.object(caller_write, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def begin(self) -> socket.socket:
        """Sends a request on a connection with small queues."""
        self._asks += 1
        self.answers, self.asked = (answer,), []
        lines = f"Host: h.example\r\nRequest-Id: r{self._asks}\r\nContent-Length: 0\r\n"
        lines += "Authorization: Token key-school\r\nDeadline-Ms: 9000\r\n"
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        caller.settimeout(5.0)
        host, _, port = self.node._options.caller_listen.rpartition(":")
        caller.connect((host, int(port)))
        caller.sendall(f"POST /book/x HTTP/1.1\r\n{lines}\r\n".encode())
        return caller

    def read_slowly(self, caller: socket.socket) -> bytes:
        """Returns what a caller gets that reads steadily."""
        data = bytearray()
        while not _parse(bytes(data[:400]))[0] or len(data) < len(BODY):
            data += caller.recv(READ_BYTES)
            gevent.sleep(PAUSE_S)
        return _parse(bytes(data))[0]

    def test_answer_to_a_caller_that_reads_slowly_is_whole(self) -> None:
        """Guards against an answer that is cut some time after it began, though it is read."""
        self.assertEqual(len(self.read_slowly(self.begin())), len(BODY))

    def test_answer_goes_on_while_the_node_is_being_stopped(self) -> None:
        caller = self.begin()
        caller.recv(1)
        stop = gevent.spawn(self.node.drain)
        body = self.read_slowly(caller)
        # The first byte was read above.
        self.assertEqual(len(body), len(BODY))
        stop.kill()

    def test_caller_that_reads_nothing_is_left(self) -> None:
        """Guards against answers that are held for callers that have stopped reading."""
        caller = self.begin()
        self.eventually(lambda: self.node._listener.running == 1, 2.0)
        self.eventually(lambda: self.node._listener.running == 0, 4 * NO_PROGRESS_S + 2.0)
        caller.close()
