"""An answer that ends with its connection arrives whole, also if the caller sent more bytes."""

import socket
from collections.abc import Iterator

import gevent

from tests.raw_gateway import EVENT_STREAM, SIGNED, RawGatewayCase
from tests.raw_worker import Close, RawRequest

_EVENTS = b"".join(b"id: %d\ndata: %b\n\n" % (number, b"x" * 100_000) for number in range(1, 20))
_LATE_REQUEST = b"GET /book/y HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late\r\n\r\n"


class UnreadCallerTest(RawGatewayCase):
    def test_unread_bytes_of_the_caller_do_not_cut_the_answer(self) -> None:
        """Guards against a reset by the kernel, which discards what the caller hasn't read."""
        for path in ("/book/x", "/chat/x"):
            for extra in (b"\r\n", _LATE_REQUEST):
                with self.subTest(path=path, extra=extra):
                    received = self._ask_and_send(path, extra)
                    self.assertEqual(received.partition(b"\r\n\r\n")[2], _EVENTS)

    def test_caller_that_sends_late_gets_the_whole_answer(self) -> None:
        """Guards against a node that stops waiting for a slow caller before its time is over."""
        received = self._ask_and_send("/book/x", b"", 1.3, b"\r\n")
        self.assertEqual(received.partition(b"\r\n\r\n")[2], _EVENTS)

    def _ask_and_send(
        self, path: str, extra: bytes, pause_s: float = 0.5, late: bytes = b""
    ) -> bytes:
        """Returns what a slow caller receives that sends more bytes before the answer.

        :param pause_s: time until it begins to read, seconds.
        :param late: bytes that it sends shortly before that.
        """
        self._reset_health()
        self._asks += 1
        self.answers, self.asked = (_answer,), []
        lines = f"Host: h.example\r\nRequest-Id: r{self._asks}\r\nContent-Length: 0\r\n"
        lines += "Authorization: Token key-school\r\nDeadline-Ms: 3000\r\n"
        lines += "Model: m\r\nToken-Usage: 10,5\r\n"
        host, _, port = self.node._options.caller_listen.rpartition(":")
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
            caller.settimeout(5.0)
            caller.connect((host, int(port)))
            caller.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())
            gevent.sleep(0.05)
            caller.sendall(extra)
            gevent.sleep(pause_s)
            caller.sendall(late)
            gevent.sleep(0.1)
            return caller.makefile("rb").read()


def _answer(request: RawRequest) -> Iterator[bytes | Close | float]:
    yield 0.1
    yield f"{SIGNED.format(request.id)}{EVENT_STREAM}\r\n".encode() + _EVENTS
    yield Close.ORDERLY
