"""Late copies of earlier answers of the store on kept connections."""

import contextlib
import json
import struct
import unittest
from collections.abc import Iterator
from urllib.parse import parse_qs, urlsplit

from arbutustally.errors import StoreUnavailableError
from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_topics import StoreKeyedTopic, StoreLeaseTopic
from tests.raw_worker import Close, RawRequest, RawWorker
from tests.stuttering_worker import StutteringWorker, response


def records(end: int, *values: bytes) -> bytes:
    body = struct.pack(">QQ", end, 0)
    for value in values:
        content = b"\x01k" + value
        body += struct.pack(">I", len(content)) + content
    return body


class LateStoreAnswerTest(unittest.TestCase):
    """Guards against a copy of an earlier answer of the store that is read as the next one."""

    def start(self, answers: list[tuple[int, bytes]]) -> StoreClient:
        stuttering = StutteringWorker(answers, echoes=False)
        self.addCleanup(stuttering.worker.stop)
        return StoreClient(stuttering.worker.address)

    def test_copy_of_records_is_not_applied_twice(self) -> None:
        values = [b"1", b"2", b"3", b"4", b"5", b"6"]
        copies = [b""]

        def script(asked: RawRequest) -> Iterator[bytes]:
            start = int(parse_qs(urlsplit(asked.target).query)["from"][0])
            if asked.on_connection:
                yield copies[-1]
            end = min(len(values), start + 2)
            copies.append(response(200, records(end, *values[start:end])))
            yield copies[-1]

        worker = RawWorker(script)
        self.addCleanup(worker.stop)
        topic = StoreKeyedTopic(StoreClient(worker.address), "keyed.t")
        offset, seen = 0, []
        for _ in range(8):
            with contextlib.suppress(StoreUnavailableError):
                batch = topic.since(offset, 0.1)
                seen += [record.value for record in batch.records]
                offset = batch.next_offset
        self.assertEqual(seen, values)

    def test_copy_of_an_append_is_not_the_answer_to_the_next(self) -> None:
        fields = {"offset": 0, "end": 1}
        answers = [(200, json.dumps(fields).encode()), (412, b'{"end": 9}')]
        leases = StoreLeaseTopic(StoreKeyedTopic(self.start(answers), "keyed.l"))
        self.assertTrue(leases.append("n1", None, False, 0, 0).is_appended)
        with contextlib.suppress(StoreUnavailableError):
            self.assertFalse(leases.append("n1", 0, False, 0, 5).is_appended)

    def test_copy_of_a_refusal_is_not_the_answer_to_the_next(self) -> None:
        answers = [(412, b'{"end": 7}'), (200, b'{"offset": 7, "end": 8}')]
        leases = StoreLeaseTopic(StoreKeyedTopic(self.start(answers), "keyed.l"))
        self.assertFalse(leases.append("n1", None, False, 0, 4).is_appended)
        with self.assertRaises(StoreUnavailableError):
            leases.append("n1", None, False, 0, 7)

    def test_records_cut_by_an_orderly_close_skip_none(self) -> None:
        whole = records(3, b"1", b"2", b"3")
        for cut in range(16, len(whole)):

            def script(_asked: RawRequest, cut: int = cut) -> Iterator[bytes]:
                yield b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + whole[:cut]
                yield Close.ORDERLY

            worker = RawWorker(script)
            self.addCleanup(worker.stop)
            batch = StoreKeyedTopic(StoreClient(worker.address), "keyed.t").since(0, 0.1)
            values = [record.value for record in batch.records]
            self.assertEqual(values, [b"1", b"2", b"3"][: len(values)])
            self.assertEqual(batch.next_offset, len(values))
