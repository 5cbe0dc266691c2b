"""An answer that ends with its connection looks complete only if the node has passed all of it on."""

import socket
from collections.abc import Iterator

from tests.engine_answers import events
from tests.raw_gateway import EVENT_STREAM, SIGNED, RawGatewayCase
from tests.raw_worker import Close, RawRequest


class LeftOpenAnswerTest(RawGatewayCase):
    def test_stream_that_the_node_leaves_is_reset(self) -> None:
        """Guards against a beginning that looks complete to a caller that closed its own side."""
        with self._begin() as caller:
            caller.shutdown(socket.SHUT_WR)
            self._assert_not_complete(caller)

    def test_stream_is_reset_when_its_connection_is_closed(self) -> None:
        """Guards against a beginning that looks complete when the node ends."""
        with self._begin() as caller:
            for greenlet in list(self.node._listener._server.pool):
                greenlet.kill(block=False)
            self._assert_not_complete(caller)

    def _begin(self) -> socket.socket:
        """Returns a connection on which the first events have arrived."""
        self._reset_health()
        self._asks += 1
        self.answers, self.asked = (_answer,), []
        lines = f"Host: h.example\r\nRequest-Id: r{self._asks}\r\nContent-Length: 0\r\n"
        lines += "Authorization: Token key-school\r\nDeadline-Ms: 3000\r\n"
        lines += "Model: m\r\nToken-Usage: 10,5\r\n"
        host, _, port = self.node._options.caller_listen.rpartition(":")
        caller = socket.create_connection((host, int(port)), 5.0)
        caller.sendall(f"POST /chat/x HTTP/1.1\r\n{lines}\r\n".encode())
        received = b""
        while events(1, 2) not in received:
            received += caller.recv(65536)
        return caller

    def _assert_not_complete(self, caller: socket.socket) -> None:
        """Checks that the rest of the stream arrives, or that the connection is reset."""
        try:
            rest = caller.makefile("rb").read()
        except ConnectionResetError:
            return
        self.assertEqual(rest, events(3, 5))


def _answer(request: RawRequest) -> Iterator[bytes | Close | float]:
    yield f"{SIGNED.format(request.id)}{EVENT_STREAM}\r\n".encode() + events(1, 2)
    yield 0.5
    yield events(3, 5)
    yield Close.ORDERLY
