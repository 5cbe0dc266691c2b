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

    def _ask_and_send(self, path: str, extra: bytes) -> bytes:
        """Returns what a slow caller receives that sends more bytes before the answer."""
        self._reset_health()
        self._asks += 1
        self.answers, self.asked = (_answer,), []
        lines = f"Host: h.example\r\nRequest-Id: r{self._asks}\r\nContent-Length: 0\r\n"
        lines += "Authorization: Token key-school\r\nDeadline-Ms: 3000\r\n"
        lines += "Model: m\r\nToken-Usage: 10,5\r\n"
        host, _, port = self.node._options.caller_listen.rpartition(":")
        with socket.create_connection((host, int(port)), 5.0) as caller:
            caller.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())
            gevent.sleep(0.05)
            caller.sendall(extra)
            gevent.sleep(0.5)
            return caller.makefile("rb").read()


def _answer(request: RawRequest) -> Iterator[bytes | Close | float]:
    yield 0.1
    yield f"{SIGNED.format(request.id)}{EVENT_STREAM}\r\n".encode() + _EVENTS
    yield Close.ORDERLY
