"""Odd answers of engines to control calls are no answers."""

import unittest

import orjson

from arbutustally_platform.engines import PlatformCacheEvents, PlatformEngines
from tests.raw_worker import RawWorker
from tests.test_cut_heads import endpoint

DEEP = b"[" * 1000 + b"]" * 1000
REPORT = {"sequence": 1, "busy": False, "models": [{"name": "m", "version": 2}]}
EVENTS = {"bootEpoch": 1, "next": 2, "lost": False, "events": [[1, "+", "s", "aa", 16, "m"]]}


def odd(fields: dict, name: str) -> list[bytes]:
    """Returns bodies in which a field has odd values."""
    values = [b"1e308", b"null", b'"x"', b"[[]]", b"{}", b"18446744073709551616", DEEP]
    plain = {key: value for key, value in fields.items() if key != name}
    return [orjson.dumps(plain)[:-1] + b',"%b":%b}' % (name.encode(), value) for value in values]


class OddReportTest(unittest.TestCase):
    """Guards against a task that ends because one engine answers oddly."""

    def setUp(self) -> None:
        self.body = b""
        self.worker = RawWorker(lambda asked: iter([self.answer(asked)]))
        self.addCleanup(self.worker.stop)

    def answer(self, asked) -> bytes:
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {asked.id}\r\nContent-Length: {len(self.body)}"
        return head.encode() + b"\r\n\r\n" + self.body

    def test_odd_report_is_no_report(self) -> None:
        engines, state = PlatformEngines(), endpoint(self.worker)
        self.body = orjson.dumps(REPORT)
        self.assertEqual(engines.report(state.entry).weights, {"m": 2})
        models = [b'[{"name":%b,"version":1}]' % DEEP, b'[{"name":"m","version":%b}]' % DEEP]
        for body in (
            *odd(REPORT, "sequence"),
            *(b'{"sequence":1,"busy":false,"models":%b}' % one for one in models),
        ):
            self.body = body
            self.assertIsNone(engines.report(state.entry), body[:80])

    def test_odd_cache_events_are_no_events(self) -> None:
        caches = PlatformCacheEvents()
        self.body = orjson.dumps(EVENTS)
        self.assertEqual(len(caches.changes(self.worker.address, 1, 0.0).changes), 1)
        for name in ("bootEpoch", "next"):
            for body in odd(EVENTS, name):
                self.body = body
                self.assertIsNone(caches.changes(self.worker.address, 1, 0.0), body[:80])
        for row in (b"[1,%b,%b,%b,1,1]" % (DEEP, DEEP, DEEP), b"[1]", b"{}", b"1"):
            self.body = b'{"bootEpoch":1,"next":2,"lost":false,"events":[%b]}' % row
            self.assertIsNone(caches.changes(self.worker.address, 1, 0.0), row[:80])
