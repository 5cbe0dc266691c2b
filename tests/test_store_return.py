"""A store that comes back from an older copy: the stand-in, and what the adapter tells of it."""

import unittest
from random import Random

import gevent
import urllib3

from tests.platform_fakes import FakeStore

TOPIC = "keyed.op"


class FakeStoreTest(unittest.TestCase):
    """Guards the stand-in: a return that it plays wrongly would prove nothing."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)

    def read(self, start: int, wait_ms: int = 0) -> urllib3.BaseHTTPResponse:
        query = f"topic={TOPIC}&part=0&from={start}&waitMs={wait_ms}"
        return self.http.request(
            "GET", f"http://{self.store.address}/arbutustally/log-read?{query}"
        )

    def test_all_answers_carry_the_era(self) -> None:
        copy = self.store.take_copy()
        self.assertEqual(self.read(0).headers["Store-Era"], "1")
        self.store.return_to(copy)
        self.assertEqual(self.read(0).headers["Store-Era"], "2")
        gone = self.read(5)
        self.assertEqual((gone.status, gone.headers["Store-Era"]), (410, "2"))
        self.store.status = 503
        refused = self.read(0)
        self.assertEqual((refused.status, refused.headers["Store-Era"]), (503, "2"))

    def test_read_that_waits_beyond_the_end_is_woken_by_the_return(self) -> None:
        copy = self.store.take_copy()
        self.store.put(TOPIC, "config", 1)
        waiting = gevent.spawn(self.read, 1, 4000)
        gevent.sleep(0.1)
        self.store.return_to(copy)
        self.assertEqual(waiting.get(timeout=1).status, 410)

    def test_authors_write_again_at_new_offsets(self) -> None:
        self.store.put(TOPIC, "a", 1)
        copy = self.store.take_copy()
        self.store.put_raw("keyed.weights-lease", "lease", b"own")
        for key, value in (("a", 2), ("b", 3), ("c", 4), ("c", None)):
            self.store.put(TOPIC, key, value)
        self.store.return_to(copy)
        self.assertEqual(self.store.newest(TOPIC), {"a": (0, b"1")})
        self.store.write_again(Random(1), 0.01)
        values = {key: data for key, (_offset, data) in self.store.newest(TOPIC).items()}
        self.assertEqual(values, {"a": b"2", "b": b"3"})
        self.assertEqual(len(self.store.topics[TOPIC]), 3)
        self.assertEqual(self.store.topics["keyed.weights-lease"], [])
