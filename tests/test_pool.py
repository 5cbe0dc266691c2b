"""Connections to endpoints: framing, unread bytes, timeouts and errors with ``NOT_RUN``."""

import socket
import struct
import time
import unittest

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.errors import EndpointFailedError, EndpointTimeoutError, Ran, RouterError
from arbutustally_node.framing import ChunkedBody
from arbutustally_node.pool import PoolService
from arbutustally_node.relay import EventSplitter
from tests.fakes import Endpoint

OK = b"HTTP/1.1 200 OK\r\n"


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve, spawn=Pool())
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.endpoint = Endpoint("e", f"127.0.0.1:{self.server.server_port}")
        self.pool = PoolService(0.5, 0.2)
        self.addCleanup(self.pool.stop)

    def _serve(self, sock, _address) -> None:
        self.connections += 1
        late = b""
        while data := sock.recv(65536):
            path = data.split()[1].decode()
            if path == "/cut":
                sock.sendall(OK + b"Content-Length: 30\r\n\r\nabc")
                return
            if path == "/reset":
                return
            if path == "/silent":
                gevent.sleep(5)
            if path == "/stalled":
                sock.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
                gevent.sleep(5)
            if path == "/closing":
                closing = OK + b"Connection: close\r\nContent-Length: 3\r\n\r\n"
                sock.sendall(closing)
                gevent.sleep(0.02)
                sock.sendall(b"abc")
                return
            if path == "/open-ended":
                sock.sendall(OK + b"Connection: close\r\n\r\nabc")
                return
            if path == "/open-reset":
                sock.sendall(OK + b"Connection: close\r\n\r\nabc")
                gevent.sleep(0.05)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            if path == "/refusal":
                sock.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                continue
            if path == "/half-end":
                sock.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
                gevent.sleep(5)
            body = b"3\r\nabc\r\n0\r\n\r\n"
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
            if path == "/extra":
                # The end of the stray response is sent together with the next response.
                late = extra[40:]
                body += extra[:40]
                sock.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n" + body)
                continue
            sock.sendall(late + OK + b"Transfer-Encoding: chunked\r\n\r\n" + body)

    def get(self, path: str, **options) -> bytes:
        return self.pool.open(self.endpoint, "GET", path, {}, None, **options).read_whole()

    def failure(self, path: str) -> RouterError:
        with self.assertRaises(RouterError) as caught:
            self.get(path)
        return caught.exception

    def test_connection_with_unread_bytes_is_closed(self) -> None:
        """Guards against the rest of one response read as the head of the next."""
        self.assertEqual([self.get("/a"), self.get("/a")], [b"abc", b"abc"])
        self.assertEqual(self.connections, 1)
        self.assertEqual([self.get("/extra"), self.get("/a")], [b"abc", b"abc"])
        self.assertEqual(self.connections, 2)

    def test_answer_that_ends_its_connection_is_read_whole(self) -> None:
        self.assertEqual(self.get("/closing"), b"abc")
        self.assertEqual(self.get("/open-ended"), b"abc")

    def test_reset_does_not_end_a_body_without_a_length(self) -> None:
        self.assertIsInstance(self.failure("/open-reset"), EndpointFailedError)

    def test_fresh_connection_is_never_an_idle_one(self) -> None:
        self.get("/a")
        self.get("/a", fresh=True)
        self.get("/a", fresh=True)
        self.assertEqual(self.connections, 3)

    def test_settle_keeps_a_connection_whose_body_has_ended(self) -> None:
        """Guards against a connection closed after each refusal and against waiting for its end."""
        for path, connections in (("/refusal", 1), ("/half-end", 1), ("/refusal", 2)):
            response = self.pool.open(self.endpoint, "GET", path, {}, None)
            began = time.monotonic()
            response.settle()
            self.assertLess(time.monotonic() - began, 0.1)
            self.assertEqual(self.connections, connections)

    def test_only_a_failed_connect_is_reported_as_not_run(self) -> None:
        """Guards against ``NOT_RUN`` for a request that an endpoint has read."""
        for path, kind in {
            "/cut": EndpointFailedError,
            "/reset": EndpointFailedError,
            "/silent": EndpointTimeoutError,
            "/stalled": EndpointTimeoutError,
        }.items():
            with self.subTest(path):
                error = self.failure(path)
                self.assertEqual((type(error), error.ran), (kind, Ran.MAY_HAVE_RUN))
        self.server.stop(0)
        self.endpoint = Endpoint("gone", "127.0.0.1:1")
        self.assertEqual(self.failure("/a").ran, Ran.NOT_RUN)


class FramingTest(unittest.TestCase):
    @given(
        st.lists(st.binary(min_size=1, max_size=40), max_size=8),
        st.lists(st.integers(1, 20), min_size=1),
        st.sampled_from((b"", b";a=b", b" ")),
        st.binary(max_size=10),
    )
    def test_any_split_decodes_to_the_same_body(self, chunks, cuts, extension, after) -> None:
        """Guards against bytes lost or decoded twice at the boundary of two reads."""
        data = b"".join(b"%x%s\r\n%s\r\n" % (len(c), extension, c) for c in chunks)
        data += b"0\r\n\r\n" + after
        body = ChunkedBody()
        decoded, at, number = b"", 0, 0
        while at < len(data):
            cut = cuts[number % len(cuts)]
            if body.done:
                break
            decoded += body.feed(data[at : at + cut])
            at, number = at + cut, number + 1
        self.assertTrue(body.done)
        self.assertEqual(decoded, b"".join(chunks))
        self.assertEqual(body.unread + data[at:], after)

    def test_malformed_sizes_are_refused(self) -> None:
        for line in (b"+3", b"-3", b" 3", b"0x3", b"3_0", b"g", b"", b"123456789", b"a" * 300):
            with self.subTest(line), self.assertRaises(EndpointFailedError):
                ChunkedBody().feed(line + b"\r\nabc\r\n")

    @given(
        st.lists(st.text(st.characters(codec="utf-8", exclude_characters="\r\n")), max_size=6),
        st.lists(st.integers(1, 30), min_size=1),
    )
    def test_any_split_gives_the_same_events(self, texts, cuts) -> None:
        data = b"".join(b"data: %s\n\n" % text.encode() for text in texts)
        splitter = EventSplitter()
        events, at, number = [], 0, 0
        while at < len(data):
            cut = cuts[number % len(cuts)]
            events += splitter.feed(data[at : at + cut])
            at, number = at + cut, number + 1
        self.assertEqual(events, [text.encode() for text in texts])
