"""Work and memory that one answer of the store may cost a node."""

import struct
import unittest

import orjson

from arbutustally.errors import StoreUnavailableError
from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_responses import (
    MAX_PAGE_ROWS,
    MAX_READ_KB,
    MAX_READ_RECORDS,
    StoreResponse,
    is_read_from,
    read_records,
)
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.platform_fakes import FakeStore

#: Rows of a page that the store sends.
PAGE_ROWS = 500


def read_answer(contents: list[bytes], end: int = 0) -> bytes:
    """Returns the body of a read.

    :param end: end of the topic, 0 for that of the contents.
    """
    records = b"".join(struct.pack(">I", len(one)) + one for one in contents)
    return struct.pack(">QQ", end or len(contents), 0) + records


class ReadTest(unittest.TestCase):
    def test_one_read_decodes_a_bounded_number_of_records(self) -> None:
        """Guards against a read of legal size whose short records block the event loop."""
        count = (MAX_READ_KB << 10) // 7
        data = read_answer([b"\1ab"] * count)
        self.assertEqual(len(read_records(data)), MAX_READ_RECORDS)

    def test_next_read_continues_behind_the_decoded_records(self) -> None:
        """Guards against records that are skipped because their read was decoded in part."""
        store = FakeStore()
        self.addCleanup(store.stop)
        count = MAX_READ_RECORDS + 10
        for number in range(count):
            store.put_raw("keyed.op", f"k{number}", b"v")
        topic = _topic(store)
        first = topic.since(0, 0.0)
        rest = topic.since(first.next_offset, 0.0)
        keys = [record.key for record in (*first.records, *rest.records)]
        self.assertEqual(keys, [f"k{number}" for number in range(count)])
        self.assertEqual((first.unread, rest.unread), (10, 0))

    def test_copy_of_an_earlier_read_is_recognized(self) -> None:
        """Guards against a late copy that is taken for an answer because not all records count."""
        contents = [b"\1ab"] * 60
        whole, cut = read_answer(contents), read_answer(contents, end=100)
        self.assertTrue(is_read_from(StoreResponse(200, whole, 1), 0))
        self.assertFalse(is_read_from(StoreResponse(200, whole, 1), 60))
        self.assertFalse(is_read_from(StoreResponse(200, cut, 1), 60))


class PageTest(unittest.TestCase):
    def test_page_with_too_many_rows_is_refused(self) -> None:
        """Guards against a page of millions of elements that blocks the event loop."""
        page = orjson.dumps({"items": [0] * (MAX_PAGE_ROWS + 1), "hasMore": False, "end": 1})
        topic = StoreKeyedTopic(_Answers(page), "keyed.op")
        with self.assertRaises(StoreUnavailableError):
            topic.newest()

    def test_pages_that_never_end_are_refused(self) -> None:
        """Guards against a store that promises another page for ever."""
        answers = _EndlessPages()
        with self.assertRaises(StoreUnavailableError):
            StoreKeyedTopic(answers, "keyed.op").newest()
        self.assertLess(answers.pages * PAGE_ROWS, 100_000)


class _Answers:
    """Stands in for the client; it returns one page."""

    def __init__(self, page: bytes) -> None:
        self._page = page

    def call(self, *_arguments, **_options) -> StoreResponse:
        return StoreResponse(200, self._page, 1)


class _EndlessPages:
    """Stands in for the client; each page has new keys and promises another one."""

    def __init__(self) -> None:
        self.pages = 0

    def call(self, *_arguments, **_options) -> StoreResponse:
        self.pages += 1
        if self.pages > 1000:
            raise AssertionError("the pages are read for ever")
        start = self.pages * PAGE_ROWS
        rows = [
            {"key": f"{number:09}", "value": "", "offset": number}
            for number in range(start, start + PAGE_ROWS)
        ]
        return StoreResponse(200, orjson.dumps({"items": rows, "hasMore": True, "end": 9}), 1)


def _topic(store: FakeStore) -> StoreKeyedTopic:
    return StoreKeyedTopic(StoreClient(store.address), "keyed.op")
