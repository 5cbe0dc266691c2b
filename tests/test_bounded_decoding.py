"""Work of the decoders per call, in elements, and their limits on bytes without content."""

import socket
import unittest
from collections.abc import Callable
from typing import TypeVar

import gevent
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import monotonic
from arbutustally.errors import BodyTooLargeError, EndpointFailedError
from arbutustally.gateway.events import EventTooLongError, WholeEvents
from arbutustally_node.bounded_call import CallTarget
from arbutustally_node.framing import FREE_FRAMING_BYTES, ChunkedBody
from arbutustally_node.http_body import BodyBudget, RequestReader
from arbutustally_node.loop_turn import wait_for_turn
from arbutustally_node.pool import PoolService
from tests.raw_worker import RawWorker

T = TypeVar("T")

READ_BYTES = 65536
#: Elements that one call may decode; one takes about a microsecond.
MAX_ELEMENTS = 2048


def passes_during(work: Callable[[], T]) -> tuple[T, int]:
    """Returns the result of some work, and the passes of the event loop while it ran."""
    passes = 0

    def watch() -> None:
        nonlocal passes
        while True:
            wait_for_turn()
            passes += 1

    watcher = gevent.spawn(watch)
    try:
        return work(), passes
    finally:
        watcher.kill()


class ChunkedUnitsTest(unittest.TestCase):
    def test_one_call_decodes_a_bounded_number_of_chunks(self) -> None:
        """Guards against a read of tiny chunks that blocks the event loop until all are decoded."""
        body = ChunkedBody()
        data = b"2\r\nab\r\n" * (READ_BYTES // 7)
        parts = [body.feed(data)]
        while body.has_more:
            parts.append(body.feed(b""))
        self.assertEqual(b"".join(parts), b"ab" * (READ_BYTES // 7))
        self.assertLess(max(map(len, parts)), MAX_ELEMENTS)

    def test_framing_is_limited(self) -> None:
        """Guards against framing without end around next to no content."""
        for chunk in (b"1\r\n \r\n", b"1;" + b"x" * 200 + b"\r\n \r\n"):
            body = ChunkedBody()
            received = 0
            with self.subTest(chunk[:8]), self.assertRaises(EndpointFailedError):
                while received < 8 * FREE_FRAMING_BYTES:
                    body.feed(b"" if body.has_more else chunk * 64)
                    received += len(chunk) * 64

    def test_short_chunks_of_a_stream_are_not_limited(self) -> None:
        """Guards against long streams that are cut because each token is a chunk."""
        body = ChunkedBody()
        chunk = b"9\r\ndata: x\n\n\r\n"
        for _ in range(400):
            body.feed(chunk * 64)
        self.assertFalse(body.has_more)


class EventUnitsTest(unittest.TestCase):
    def test_one_call_checks_a_bounded_number_of_events(self) -> None:
        """Guards against a read of tiny events that blocks the event loop until all are checked."""
        events = WholeEvents()
        data = b"a\n\n" * (READ_BYTES // 3)
        parts = [events.feed(data)]
        while events.has_more:
            parts.append(events.feed(b""))
        self.assertEqual(b"".join(parts), data)
        self.assertLess(max(map(len, parts)), 3 * MAX_ELEMENTS)

    def test_endless_bytes_without_an_event_are_refused(self) -> None:
        """Guards against line breaks and comments that pass for events and never end."""
        for piece in (b"\n", b":\n\n", b"retry: 5\r\n\r\n"):
            events = WholeEvents()
            fed = 0
            with self.subTest(piece), self.assertRaises(EventTooLongError):
                while fed < 4 << 20:
                    data = b"" if events.has_more else piece * 4096
                    fed += len(data)
                    self.assertEqual(events.feed(data), b"")

    @given(
        st.lists(st.sampled_from((b"\n", b": a\n\n", b"retry: 1\n\n", b"data: b\n\n"))),
        st.lists(st.integers(1, 9), min_size=1),
    )
    def test_every_byte_is_kept_in_order(self, pieces, sizes) -> None:
        """Guards against bytes without content that are lost, repeated or moved."""
        events, data = WholeEvents(), b"".join(pieces)
        out, at, number = b"", 0, 0
        while at < len(data):
            size = sizes[number % len(sizes)]
            whole = events.feed(data[at : at + size])
            self.assertTrue(not whole or b"data: b\n\n" in whole)
            out, at, number = out + whole, at + size, number + 1
        self.assertEqual(out + events.held + events.rest, data)


class ResponseTurnsTest(unittest.TestCase):
    def test_other_sockets_get_turns_while_a_response_is_decoded(self) -> None:
        """Guards against a response in tiny chunks that stops a node (review/1)."""
        number = 12_000
        body = b"2\r\nab\r\n" * number + b"0\r\n\r\n"

        def script(_asked):
            yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body

        worker = RawWorker(script)
        self.addCleanup(worker.stop)
        pool = PoolService(1.0, 5.0)
        self.addCleanup(pool.stop)
        response = pool.open(CallTarget(worker.address), "GET", "/", {}, None, 5.0)
        # What has arrived is decoded without a wait for the sender.
        gevent.sleep(0.2)
        whole, passes = passes_during(response.read_whole)
        self.assertEqual(whole, b"ab" * number)
        self.assertGreater(passes, number // MAX_ELEMENTS)


class CallerBodyTest(unittest.TestCase):
    HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

    def read(self, chunk: bytes, number: int, limit: int) -> tuple[bytes, int]:
        """Returns a body of equal chunks, and the passes of the event loop while it was read."""
        near, far = socket.socketpair()
        sender = gevent.spawn(far.sendall, self.HEAD + chunk * number + b"0\r\n\r\n")
        with near, far:
            try:
                reader = RequestReader(near, monotonic, BodyBudget(), 4096, limit, 5.0, 5.0)
                return passes_during(lambda: reader.read_body(reader.read_head()))
            finally:
                sender.kill()

    def test_other_sockets_get_turns_while_chunks_are_decoded(self) -> None:
        """Guards against a body in tiny chunks that blocks the event loop."""
        number = 12_000
        body, passes = self.read(b"2\r\nab\r\n", number, 1 << 20)
        self.assertEqual(body, b"ab" * number)
        self.assertGreater(passes, number // MAX_ELEMENTS)

    def test_framing_counts_toward_the_limit(self) -> None:
        """Guards against a short body that costs far more bytes than the limit allows."""
        with self.assertRaises(BodyTooLargeError):
            self.read(b"1;" + b"x" * 100 + b"\r\na\r\n", 4000, 1 << 16)
