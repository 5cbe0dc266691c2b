"""No byte of a body follows the head of a response that never has one."""

import socket
from collections.abc import Iterator

from tests.raw_gateway import EVENT_STREAM, SIGNED, RawGatewayCase
from tests.raw_worker import Close, RawRequest


class BodilessPassedOnTest(RawGatewayCase):
    def test_response_to_head_ends_with_its_head(self) -> None:
        """Guards against bytes that the caller takes for the next response."""
        for path in ("/none/x", "/book/x", "/chat/x"):
            with self.subTest(path=path):
                _head, body = self._ask("HEAD", path, b"200 OK")
                self.assertEqual(body, b"")

    def test_response_without_a_body_states_no_length(self) -> None:
        """Guards against a length that such a response must not have, or of another body."""
        for status in (b"204 No Content", b"304 Not Modified"):
            with self.subTest(status=status):
                head, body = self._ask("POST", "/book/x", status)
                self.assertNotIn(b"Content-Length", head)
                self.assertEqual(body, b"")

    def _ask(self, method: str, path: str, status: bytes) -> tuple[bytes, bytes]:
        """Returns the head of the response, and what follows it within a short time."""
        self._reset_health()
        self._asks += 1
        self._status = status
        self.answers, self.asked = (self._answer,), []
        lines = f"Host: h.example\r\nRequest-Id: r{self._asks}\r\nContent-Length: 0\r\n"
        lines += "Authorization: Token key-school\r\nDeadline-Ms: 1500\r\n"
        lines += "Model: m\r\nToken-Usage: 10,5\r\n"
        host, _, port = self.node._options.caller_listen.rpartition(":")
        with socket.create_connection((host, int(port)), 5.0) as caller:
            caller.sendall(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode())
            received = caller.recv(65536)
            caller.settimeout(0.1)
            try:
                while data := caller.recv(65536):
                    received += data
            except TimeoutError:
                pass
        head, _, body = received.partition(b"\r\n\r\n")
        return head, body

    def _answer(self, request: RawRequest) -> Iterator[bytes | Close | float]:
        _ok, _, fields = SIGNED.format(request.id).encode().partition(b"\r\n")
        yield b"HTTP/1.1 %b\r\n%b%b\r\n" % (self._status, fields, EVENT_STREAM.encode())
