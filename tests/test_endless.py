"""Faulty servers that send endless data: calls end in time and don't block other greenlets.

The servers run on native threads, so that they send faster than the node reads.
"""

import time
import unittest
from collections.abc import Callable, Iterator

import gevent
from gevent import monkey

from arbutustally.errors import EndpointFailedError, RouterError, StoreUnavailableError
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally_node.framing import MAX_TRAILER_BYTES, ChunkedBody
from arbutustally_node.gateway.web import fetch_snapshot
from arbutustally_node.pool import PoolService
from arbutustally_node.pooled_response import MAX_BODY_BYTES
from arbutustally_platform.engines import RESPONSE_TIMEOUT_S as ENGINE_TIMEOUT_S
from arbutustally_platform.engines import PlatformCacheEvents, PlatformEngines
from arbutustally_platform.store import RESPONSE_TIMEOUT_S, StoreClient
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.gateway_values import entry

_socket = monkey.get_original("socket", "socket")
#: Tolerance for the end of a call beyond its own time limit, seconds.
SLACK_S = 1.0
#: Longest time for which another greenlet may be blocked, seconds.
MAX_HELD_UP_S = 0.5

OK = b"HTTP/1.1 200 OK\r\n"


def repeat(piece: bytes) -> Iterator[bytes]:
    while True:
        yield piece


def endless_head_line() -> Iterator[bytes]:
    yield OK + b"X: "
    yield from repeat(b"x" * 4096)


def endless_headers() -> Iterator[bytes]:
    yield OK
    yield from repeat(b"X: y\r\n" * 512)


def endless_informational() -> Iterator[bytes]:
    yield from repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 256)


def endless_body() -> Iterator[bytes]:
    yield OK + b"\r\n"
    yield from repeat(b"x" * 65536)


def endless_chunks() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"400\r\n" + b"x" * 1024 + b"\r\n")


def endless_small_chunks() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"1\r\n \r\n" * 8192)


def endless_chunk_size() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"0" * 4096)


def endless_trailer() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    yield from repeat(b"X: y\r\n" * 512)


def endless_nonsense() -> Iterator[bytes]:
    yield from repeat(b"\0\xff" * 2048)


ENDLESS_RESPONSES = (
    endless_head_line,
    endless_headers,
    endless_informational,
    endless_body,
    endless_chunks,
    endless_small_chunks,
    endless_chunk_size,
    endless_trailer,
    endless_nonsense,
)


class EndlessServer:
    """Sends one kind of endless data on each connection until it is closed."""

    def __init__(self, response: Callable[[], Iterator[bytes]]) -> None:
        self._response = response
        self._listener = _socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent = 0
        self.closed = 0
        self._pool = gevent.get_hub().threadpool
        self._pool.spawn(self._serve)

    def stop(self) -> None:
        # Wakes the thread that is blocked in ``accept``.
        self._response = None
        waker = _socket()
        waker.connect(self._listener.getsockname())
        waker.close()

    def _serve(self) -> None:
        while self._response is not None:
            connection, _address = self._listener.accept()
            connection.settimeout(10.0)
            try:
                connection.recv(65536)
                for piece in self._response() if self._response else ():
                    connection.sendall(piece)
                    self.sent += len(piece)
            except OSError:
                self.closed += 1
            finally:
                connection.close()
        self._listener.close()


def longest_delay_during(call: Callable[[], object]) -> float:
    """Returns the longest time for which a call blocked other greenlets, seconds."""
    longest = 0.0

    def watch() -> None:
        nonlocal longest
        while True:
            before = time.monotonic()
            gevent.sleep(0.01)
            longest = max(longest, time.monotonic() - before)

    watcher = gevent.spawn(watch)
    gevent.sleep(0.05)
    try:
        call()
    finally:
        gevent.sleep(0.02)
        watcher.kill()
    return longest


class EndlessTest(unittest.TestCase):
    def check_each_response(self, check: Callable[[str], None]) -> None:
        """Runs a check against each kind of endless data."""
        for response in ENDLESS_RESPONSES:
            server = EndlessServer(response)
            with self.subTest(response=response.__name__):
                check(server.address)
            server.stop()

    def assert_ends(self, call: Callable[[], object], within_s: float) -> None:
        """Asserts that a call ends in time and does not block other greenlets.

        :param within_s: time limit of the call, seconds.
        """
        began = time.monotonic()
        longest = longest_delay_during(call)
        took = time.monotonic() - began
        self.assertLess(took, within_s + SLACK_S)
        self.assertLess(longest, MAX_HELD_UP_S)

    def test_store(self) -> None:
        def check(address: str) -> None:
            topic = StoreKeyedTopic(StoreClient(address), "keyed.op")
            with self.assertRaises(StoreUnavailableError):
                self.assert_ends(lambda: topic.since(0, 0.0), RESPONSE_TIMEOUT_S)

        self.check_each_response(check)

    def test_engine_calls(self) -> None:
        def check(address: str) -> None:
            state = entry("e1", address=address)
            self.assert_ends(lambda: PlatformEngines().report(state), ENGINE_TIMEOUT_S)
            events = PlatformCacheEvents()
            self.assert_ends(lambda: events.changes(address, 0, 0.0), ENGINE_TIMEOUT_S)

        self.check_each_response(check)

    def test_snapshot_of_a_peer(self) -> None:
        self.check_each_response(
            lambda address: self.assert_ends(lambda: fetch_snapshot(address), 1.0)
        )

    def test_answer_to_a_request(self) -> None:
        def check(address: str) -> None:
            pool = PoolService(0.5, 1.0)
            self.addCleanup(pool.stop)
            state = EndpointState(entry("e1", address=address))

            def ask() -> None:
                with gevent.Timeout(2.0, _TooLateError):
                    response = pool.open(state, "GET", "/", {}, None, 2.0)
                    try:
                        response.read_whole(MAX_BODY_BYTES)
                    finally:
                        response.close()

            with self.assertRaises((RouterError, _TooLateError)):
                self.assert_ends(ask, 2.0)

        self.check_each_response(check)


class ManyChangesTest(unittest.TestCase):
    def test_changes_of_a_cache_are_decoded_in_turns(self) -> None:
        """Guards against a short list in many elements that blocks the event loop."""
        body = b'{"bootEpoch":1,"next":1,"lost":false,"events":[0' + b",0" * 1_500_000 + b"]}"

        def response() -> Iterator[bytes]:
            yield OK + b"Content-Length: %d\r\n\r\n" % len(body) + body

        server = EndlessServer(response)
        self.addCleanup(server.stop)
        batches = []
        longest = longest_delay_during(
            lambda: batches.append(PlatformCacheEvents().changes(server.address, 0, 0.0))
        )
        self.assertEqual(batches[0].next_number, 1)
        self.assertLess(longest, MAX_HELD_UP_S)


class TrailerTest(unittest.TestCase):
    def test_trailer_is_bounded(self) -> None:
        body = ChunkedBody()
        body.feed(b"0\r\n")
        with self.assertRaises(EndpointFailedError):
            for _ in range(MAX_TRAILER_BYTES):
                body.feed(b"X: y\r\n")


class _TooLateError(Exception):
    """The response did not end in time."""
