"""Tests a store restored from an older copy: the fake, the adapter and gateway nodes."""

import socket
import unittest
from random import Random
from unittest import mock

import gevent
import urllib3
from bottle import request

from arbutustally.errors import HoleFoundError, StoreUnavailableError
from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_topics import StoreKeyedTopic, StoreLeaseTopic
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeStore

TOPIC = "keyed.op"


class FakeStoreTest(unittest.TestCase):
    """Tests the fake store, since a return that it simulates wrongly would prove nothing."""

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

    def test_of_two_appends_at_one_offset_the_one_that_comes_whole_first_wins(self) -> None:
        """Guards against two holders of one fence that are an artifact of the fake store."""
        host, _, port = self.store.address.rpartition(":")
        query = f"topic={TOPIC}&part=0&at=0"
        head = f"POST /arbutustally/log-append?{query} HTTP/1.1\r\nHost: s\r\nContent-Length: 8\r\n"
        with socket.create_connection((host, int(port))) as slow:
            slow.sendall(head.encode() + b"\r\n" + bytes([0, 0, 0, 4]))
            gevent.sleep(0.1)
            url = f"http://{self.store.address}/arbutustally/log-append?{query}"
            body = bytes([0, 0, 0, 4, 1]) + b"key"
            self.assertEqual(self.http.request("POST", url, body=body).status, 200)
            slow.sendall(bytes([1]) + b"key")
            self.assertIn(b" 412 ", slow.recv(4096))
        self.assertEqual(len(self.store.topics[TOPIC]), 1)

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


class PagedStore(FakeStore):
    """A store that may return to a copy before it sends the second page of a list."""

    returns_between_pages = False

    def _newest(self):
        if self.returns_between_pages and "after" in request.query:
            self.return_to(self.take_copy())
        return super()._newest()


class AdapterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = PagedStore()
        self.addCleanup(self.store.stop)
        self.client = StoreClient(self.store.address)
        self.topic = StoreKeyedTopic(self.client, TOPIC)
        self.eras: list[int] = []
        self.client.era.watch(self.eras.append)

    def test_every_answer_states_its_era(self) -> None:
        """Guards against offsets of two eras that cannot be distinguished."""
        leases = StoreLeaseTopic(StoreKeyedTopic(self.client, "keyed.l"))
        for era in (1, 2):
            if era > 1:
                self.store.return_to(self.store.take_copy())
            self.store.put(TOPIC, "a", era)
            self.assertEqual(self.topic.newest().era, era)
            self.assertEqual(self.topic.since(0, 0.1).era, era)
            self.assertEqual(leases.last().era, era)
            self.assertEqual(leases.append("n", None, False, era, 99).era, era)
            self.assertEqual(leases.append("n", None, False, era, leases.last().end).era, era)
        self.assertEqual((self.eras, self.client.era.newest), ([1, 2], 2))

    def test_read_beyond_the_end_states_the_era(self) -> None:
        self.store.put(TOPIC, "a", 1)
        copy = self.store.take_copy()
        self.store.put(TOPIC, "a", 2)
        self.store.return_to(copy)
        with self.assertRaises(HoleFoundError) as caught:
            self.topic.since(2, 0.1)
        self.assertEqual((caught.exception.era, caught.exception.oldest), (2, 0))

    def test_refusals_state_the_era(self) -> None:
        """Guards against missing a new era because the store refuses calls after its return."""
        self.store.return_to(self.store.take_copy())
        self.store.status = 503
        with self.assertRaises(StoreUnavailableError):
            self.topic.newest()
        self.assertEqual(self.eras, [2])

    def test_missing_or_unreadable_era_counts_as_none(self) -> None:
        for era in (None, "", "x", "-3", "1.5", "9" * 30, 1 << 40):
            self.store.era = era
            self.assertEqual(self.topic.newest().era, 0, era)
        self.assertEqual(self.client.era.newest, 0)

    def test_pages_of_two_eras_are_read_again(self) -> None:
        """Guards against a list of which one page predates the return."""
        self.store.put(TOPIC, "b", 1)
        self.store.page_size = 1
        self.store.put(TOPIC, "a", 1)
        self.assertEqual(len(self.topic.newest().records), 2)
        self.store.returns_between_pages = True
        with self.assertRaises(StoreUnavailableError):
            self.topic.newest()


class NodeTest(GatewayCase):
    def test_announcement_that_was_lost_is_written_again(self) -> None:
        """Guards against new nodes that find no peers since the store lost the announcements."""
        copy = self.store.take_copy()
        node = self.start_node()
        self.eventually(lambda: self.store.newest("keyed.nodes"))
        written = self.store.newest("keyed.nodes")
        self.store.return_to(copy)
        self.assertFalse(self.store.newest("keyed.nodes"))
        self.eventually(lambda: self.store.newest("keyed.nodes") == written)
        self.assertEqual(node._services.state.instruments.value("store_returns"), 1)

    def test_operators_can_tell_what_was_read_and_written_again(self) -> None:
        """Guards against a return of the store that a node does not log."""
        node = self.start_node()
        self.wait_ready(node)
        self.eventually(lambda: self.store.newest("keyed.nodes"))
        with mock.patch.object(node._services.state.log, "line") as line:
            self.store.return_to(self.store.take_copy())
            expected = {
                "store_returned",
                "endpoints_read_anew",
                "operator_records_read_anew",
                "announced_again",
            }
            self.eventually(lambda: expected <= {call.args[0] for call in line.call_args_list})
        told = {call.args[0]: call.kwargs for call in line.call_args_list}
        for name in expected - {"announced_again"}:
            self.assertEqual((told[name]["era"], told[name]["previous"]), (2, 1), name)

    def test_weights_are_loaded_with_a_higher_fence_after_a_return(self) -> None:
        """Guards against engines that refuse all orders after a return of the store."""
        node = self.start_node()
        self.wait_ready(node)
        for version in (2, 3):
            copy = self.store.take_copy()
            self.store.put("keyed.op", "version/m", {"model": "m", "version": version})
            self.eventually(lambda v=version: all(e.version == v for e in self.engines))
            self.eventually(lambda: not node._weights.is_holder)
            self.store.return_to(copy)
            self.store.write_again()
        fences = [order["fence"] for order in self.engines[0].orders]
        self.assertEqual(fences, sorted(set(fences)))
        self.assertEqual(len(fences), 2)
