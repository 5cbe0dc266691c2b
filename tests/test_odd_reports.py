"""Odd values in an engine's report or in the changes of a cache end no task of a node."""

import unittest
from collections.abc import Iterator

from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally_node.gateway.ports import CacheChange
from arbutustally_platform.engines import PlatformCacheEvents, PlatformEngines
from tests.raw_worker import RawRequest, RawWorker

#: Values with which a body is no JSON.
NO_JSON = {"infinite": b"1e400", "half of a character": b'"\\ud800"'}
ODD_VALUES = {
    "deeply nested": b"[" * 1000 + b"]" * 1000,
    "larger than 64 bits": b"1e300",
    "negative": b"-1",
    "truth value": b"true",
    "null": b"null",
}
_REPORT = b'{"sequence":2,"busy":false,"models":[{"name":"m","version":1}]}'
_CHANGES = (
    b'{"bootEpoch":7,"next":9,"lost":false,'
    b'"events":[[8,"+","s","aa",3,"m"],[9,"-","t","bb",4,"m"]]}'
)


class OddReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.body = b""
        self.worker = RawWorker(self._answer)
        self.addCleanup(self.worker.stop)

    def test_odd_report_is_refused(self) -> None:
        """Guards against a task that ends by one engine's report."""
        engines = PlatformEngines()
        entry = EndpointEntry("raw", "llm", self.worker.address, "z1", 4, False, {}, "1", "")
        for name, odd in (ODD_VALUES | NO_JSON).items():
            for field in (b":2", b':"m"', b":1", b":["):
                with self.subTest(value=name, field=field):
                    rest = b',"x":[' if field == b":[" else b""
                    self.body = _REPORT.replace(field, b":" + odd + rest)
                    self.assertIsNone(engines.report(entry))
        self.body = _REPORT
        self.assertEqual(engines.report(entry).weights, {"m": 1})

    def test_odd_list_of_changes_is_refused(self) -> None:
        """Guards against a number that no call can ask for."""
        for name, odd in (ODD_VALUES | NO_JSON).items():
            for field in (b":7", b":9"):
                with self.subTest(value=name, field=field):
                    self.body = _CHANGES.replace(field, b":" + odd)
                    self.assertIsNone(PlatformCacheEvents().changes(self.worker.address, 1, 0.0))

    def test_odd_change_does_not_hide_the_others(self) -> None:
        """Guards against a task that ends by one cache's change, or stays at it."""
        for name, odd in ODD_VALUES.items():
            for field in (b'"s"', b'"aa"', b'3,"m"', b'[8,"+","s","aa",3,"m"]'):
                with self.subTest(value=name, field=field):
                    rest = b',"m"' if field.startswith(b"3") else b""
                    self.body = _CHANGES.replace(field, odd + rest)
                    batch = PlatformCacheEvents().changes(self.worker.address, 1, 0.0)
                    self.assertIsNotNone(batch, "the list of changes was refused")
                    self.assertEqual(batch.changes, (CacheChange(False, "t", "bb", 4),))

    def _answer(self, _request: RawRequest) -> Iterator[bytes]:
        yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
        yield self.body
