"""Method, target, header values and body of a request reach the endpoint as the caller sent them."""

import string
import unittest

import gevent
from gevent.server import StreamServer
from hypothesis import example, given, settings
from hypothesis import strategies as st

from arbutustally.errors import BadRequestError
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.http_head import parse_head
from arbutustally_node.pool import PoolService
from arbutustally_platform.headers import PlatformCodec
from tests.fakes import Endpoint

_TARGET_CHARACTERS = "".join(map(chr, range(0x21, 0x7F))).replace("#", "")
#: Characters that libraries normalize are drawn more often than in ``_TARGET_CHARACTERS``.
_TARGETS = st.lists(
    st.sampled_from(["%2f", "%2F", "%zz", "%", "..", ".", "//", "/", "?", "[", "|", '"', "\\"])
    | st.text(_TARGET_CHARACTERS, max_size=8),
    max_size=8,
).map(lambda parts: "/" + "".join(parts))
_VALUES = st.text("".join(map(chr, [9, *range(0x20, 0x7F), *range(0x80, 0x100)])), max_size=20).map(
    lambda value: value.strip(" \t")
)
_METHODS = st.text(string.ascii_uppercase, min_size=1, max_size=16)
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class RequestTargetTest(unittest.TestCase):
    """Guards against a request that an endpoint runs with another target or body."""

    def setUp(self) -> None:
        self.received = b""
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.endpoint = Endpoint("e", f"127.0.0.1:{self.server.server_port}")
        self.pool = PoolService(1.0, 2.0)
        self.addCleanup(self.pool.stop)

    def _serve(self, sock, _address) -> None:
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
            head, end, body = data.partition(b"\r\n\r\n")
            lengths = [
                line[16:] for line in head.split(b"\r\n") if line[:16] == b"Content-Length: "
            ]
            if end and len(body) >= int(lengths[0] if lengths else 0):
                self.received, data = data, b""
                sock.sendall(_ANSWER)

    def forward(self, method: str, target: str, value: str, body: bytes) -> None:
        """Sends a caller's request on to the endpoint as an attempt does."""
        lines = [f"{method} {target} HTTP/1.1", "Host: h", "Request-Id: r", f"X-Value: {value}"]
        head = parse_head("\r\n".join(lines).encode("latin-1"), 1 << 20)
        codec = PlatformCodec()
        request = codec.decode_request(head, body, 0.0)
        headers = codec.attempt_headers(request, AttemptTerms("e", "a", 1.0))
        with gevent.Timeout(5.0):
            self.pool.open(
                self.endpoint, request.method, request.target, headers, request.body or None
            ).read_whole()

    @settings(deadline=None)
    @example("GET", "/look/a%2fb?q=%c3%a9", "v", b"")
    @example("POST", "//x/../y?a=[|]", "v", b"b")
    @given(_METHODS, _TARGETS, _VALUES, st.binary(max_size=200))
    def test_every_accepted_request_is_forwarded_unchanged(
        self, method: str, target: str, value: str, body: bytes
    ) -> None:
        self.forward(method, target, value, body)
        head, _, received = self.received.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        self.assertEqual(lines[0], f"{method} {target} HTTP/1.1".encode())
        values = [line.partition(b": ")[2] for line in lines if line[:9].lower() == b"x-value: "]
        self.assertEqual(values, [value.encode("latin-1")])
        self.assertEqual(received, body)

    def test_fragment_is_refused_with_the_reason(self) -> None:
        """Guards against a target of which the endpoint sees only a part."""
        with self.assertRaisesRegex(BadRequestError, "fragment"):
            self.forward("GET", "/look/a#b", "v", b"")
