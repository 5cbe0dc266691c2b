"""Messages of the largest sizes that are read do not block the event loop.

Guards against one answer of the store, one snapshot of a peer or a burst of datagrams that keeps a
node from all its other work until it is decoded and applied.
"""

import struct
import unittest
from collections.abc import Callable, Iterator

from arbutustally.errors import StoreUnavailableError
from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_responses import MAX_READ_KB, MAX_RESPONSE_BYTES
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.test_endless import MAX_HELD_UP_S, OK, EndlessServer, longest_delay_during


class LargestMessagesTest(unittest.TestCase):
    def assert_turns(self, work: Callable[[], object]) -> None:
        self.assertLess(longest_delay_during(work), MAX_HELD_UP_S)

    def server(self, head: bytes, body: bytes) -> EndlessServer:
        def response() -> Iterator[bytes]:
            yield OK + head + b"Content-Length: %d\r\n\r\n" % len(body) + body

        server = EndlessServer(response)
        self.addCleanup(server.stop)
        return server

    def test_read_of_short_records(self) -> None:
        """Guards against a read of legal size in very many records."""
        count = (MAX_READ_KB << 10) // 6
        body = struct.pack(">QQ", count, 0) + b"\0\0\0\2\1a" * count
        topic = StoreKeyedTopic(StoreClient(self.server(b"", body).address), "keyed.op")
        batches = []
        self.assert_turns(lambda: batches.append(topic.since(0, 0.0)))
        self.assertEqual(batches[0].records[0].key, "a")

    def test_page_of_many_elements(self) -> None:
        """Guards against a page of the largest size whose elements are no rows."""
        body = b'{"hasMore":false,"end":1,"items":[0'
        body += b",0" * ((MAX_RESPONSE_BYTES - len(body) - 8) // 2) + b"]}"
        topic = StoreKeyedTopic(StoreClient(self.server(b"", body).address), "keyed.op")

        def read() -> None:
            with self.assertRaises(StoreUnavailableError):
                topic.newest()

        self.assert_turns(read)
