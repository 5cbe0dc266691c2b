"""The listener refuses malformed, oversized, slow and ambiguous requests and keeps serving."""

import json
import socket
import unittest
from unittest.mock import patch

import bottle
import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally.errors import OverloadedError
from arbutustally.metrics import Metrics
from arbutustally_node import http_body, http_server
from arbutustally_node.http_server import serve
from tests.fakes import node_options

GOOD = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"


def echo_app() -> bottle.Bottle:
    app = bottle.Bottle()
    app.route("/echo", ["GET", "POST"], lambda: bottle.request.body.read())
    return app


def post(*lines: str, body: bytes = b"", version: str = "1.1") -> bytes:
    head = [f"POST /echo HTTP/{version}", *lines]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


REFUSED = {
    "both length and coding": post(
        "Host: x", "Content-Length: 3", "Transfer-Encoding: chunked", body=b"0\r\n\r\n"
    ),
    "two equal lengths": post("Host: x", "Content-Length: 3", "Content-Length: 3", body=b"abc"),
    "two lengths": post("Host: x", "Content-Length: 3", "Content-Length: 4", body=b"abc"),
    "length list": post("Host: x", "Content-Length: 3, 3", body=b"abc"),
    "signed length": post("Host: x", "Content-Length: +3", body=b"abc"),
    "hexadecimal length": post("Host: x", "Content-Length: 0x3", body=b"abc"),
    "negative length": post("Host: x", "Content-Length: -1"),
    "empty length": post("Host: x", "Content-Length:", body=b"abc"),
    "coding identity": post("Host: x", "Transfer-Encoding: identity"),
    "coding list": post("Host: x", "Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"),
    "two codings": post(
        "Host: x", "Transfer-Encoding: chunked", "Transfer-Encoding: x", body=b"0\r\n\r\n"
    ),
    "coding with a control character": post(
        "Host: x", "Transfer-Encoding: \x0bchunked", body=b"0\r\n\r\n"
    ),
    "coding in HTTP/1.0": post("Transfer-Encoding: chunked", body=b"0\r\n\r\n", version="1.0"),
    "space before the colon": post("Host: x", "Content-Length : 3", body=b"abc"),
    "folded line": post("Host: x", "X-A: b", " c", "Content-Length: 3", body=b"abc"),
    "bare line feed": b"POST /echo HTTP/1.1\nHost: x\r\nContent-Length: 0\r\n\r\n",
    "line feed inside a value": post("Host: x\nContent-Length: 3", body=b"abc"),
    "null in a value": post("Host: x", "X-A: \x00"),
    "no host": post("Content-Length: 0"),
    "two hosts": post("Host: x", "Host: y"),
    "two keys": post("Host: x", "Authorization: Bearer a", "Authorization: Bearer b"),
    "bad request line": b"POST  /echo HTTP/1.1\r\nHost: x\r\n\r\n",
    "other protocol": b"POST /echo HTTP/2.0\r\nHost: x\r\n\r\n",
    "bad chunk size": post("Host: x", "Transfer-Encoding: chunked", body=b"zz\r\nabc\r\n"),
    "signed chunk size": post("Host: x", "Transfer-Encoding: chunked", body=b"+3\r\nabc\r\n"),
    "chunk longer than its size": post(
        "Host: x", "Transfer-Encoding: chunked", body=b"2\r\nabc\r\n0\r\n\r\n"
    ),
}
TOO_LARGE = {
    "head": post("Host: x", "X-A: " + "a" * 5000),
    "head without end": b"POST /echo HTTP/1.1\r\nX-A: " + b"a" * 100_000,
    "header count": post("Host: x", *[f"X-{n}: a" for n in range(101)]),
    "declared body": post("Host: x", "Content-Length: 5000", body=b"a" * 5000),
    "chunked body": post(
        "Host: x",
        "Transfer-Encoding: chunked",
        body=b"1000\r\n" + b"a" * 4096 + b"\r\nffffffff\r\n",
    ),
}


class HttpServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics()
        options = node_options(max_body_bytes=4096, max_header_bytes=4096, body_timeout_s=0.3)
        self.server = serve("127.0.0.1:0", echo_app(), options, self.metrics)
        self.addCleanup(self.server.stop)

    def exchange(self, data: bytes, ends: bool = False) -> bytes:
        host, port = self.server.address.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(data)
            if ends:
                sock.shutdown(socket.SHUT_WR)
            received = b""
            try:
                while part := sock.recv(65536):
                    received += part
                    if not ends and received.count(b"abc"):
                        break
            except ConnectionError:
                pass
            return received

    def assert_serves(self) -> None:
        self.assertTrue(self.exchange(GOOD).endswith(b"abc"))

    def refusal(self, data: bytes) -> dict:
        head, _, body = self.exchange(data).partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertIn(b"X-Request-Id: ", head)
        return json.loads(body)["error"]

    def test_ambiguous_requests_cannot_be_split_in_two_ways(self) -> None:
        for name, data in REFUSED.items():
            with self.subTest(name):
                # A smuggled second request must not be answered either.
                error = self.refusal(data + GOOD)
                self.assertEqual((error["code"], error["ran"]), ("bad_request", "not_run"))
        self.assertEqual(self.metrics.counts["refused.bad_request"], len(REFUSED))
        self.assert_serves()

    def test_oversized_requests_cannot_fill_memory(self) -> None:
        for name, data in TOO_LARGE.items():
            with self.subTest(name):
                self.assertEqual(self.refusal(data)["code"], "body_too_large")
        self.assertEqual(self.metrics.counts["refused.body_too_large"], len(TOO_LARGE))
        self.assert_serves()

    def test_draining_server_announces_that_it_closes(self) -> None:
        """Guards against a caller that sends its next request on a connection that is closed."""
        self.server.drain()
        head = self.exchange(GOOD).partition(b"\r\n\r\n")[0]
        self.assertIn(b"\r\nConnection: close", head)

    def test_slow_senders_cannot_hold_a_connection(self) -> None:
        for data in (GOOD[:20], GOOD[:-1], post("Host: x", "Transfer-Encoding: chunked")):
            self.assertEqual(self.refusal(data)["code"], "slow_sender")
        self.assertEqual(self.metrics.counts["refused.slow_sender"], 3)
        self.assert_serves()

    def test_chunked_body_and_next_request_on_one_connection(self) -> None:
        """Guards against bytes of one request that leak into the next."""
        chunked = post(
            "Host: x",
            "Transfer-Encoding: chunked",
            body=b"2;a=b\r\nxy\r\n1\r\nz\r\n0\r\nT: 1\r\n\r\n",
        )
        received = self.exchange(chunked + GOOD)
        self.assertEqual(received.count(b"200 OK"), 2)
        self.assertIn(b"xyz", received)
        self.assertTrue(received.endswith(b"abc"))

    def test_expect_continue_is_answered_before_the_body(self) -> None:
        received = self.exchange(
            post("Host: x", "Content-Length: 3", "Expect: 100-continue", body=b"abc")
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"))

    def test_idle_connections_are_closed(self) -> None:
        """Guards against callers that occupy all connections without sending a request."""
        with patch.object(http_server, "IDLE_TIMEOUT_S", 0.1):
            # The server closes first, so the read ends without a second request.
            self.assertTrue(self.exchange(GOOD.replace(b"abc", b"xyz")).endswith(b"xyz"))
            self.assertEqual(self.exchange(b""), b"")

    def test_bodies_of_all_connections_have_one_bound(self) -> None:
        """Guards against many callers that together exhaust the memory of a node."""
        budget = http_body.BodyBudget(5)
        budget.reserve(3)
        with self.assertRaises(OverloadedError):
            budget.reserve(3)
        budget.release(3)
        budget.reserve(5)
        for data in (GOOD, GOOD[:-1], post("Host: x", "Content-Length: 5000")):
            self.exchange(data, ends=True)
        gevent.sleep(0.01)
        self.assertEqual(self.server.buffered_bytes, 0)

    @settings(max_examples=60)
    @given(st.binary(max_size=400), st.booleans())
    def test_random_bytes_do_not_stop_the_listener(self, data: bytes, after_head: bool) -> None:
        prefix = b"POST /echo HTTP/1.1\r\nHost: x\r\n" if after_head else b""
        self.exchange(prefix + data + b"\r\n\r\n", ends=True)
        self.assert_serves()
