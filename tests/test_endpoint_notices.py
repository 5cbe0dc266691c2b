"""Notices in endpoints' answers: that the endpoint is leaving, or that it asks for a pause."""

import time
import unittest
from random import Random

import gevent
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoints import MAX_PAUSE_SPREAD_S, PAUSE_SPREAD, EndpointBook
from arbutustally_platform.headers import MAX_PAUSE_S, PlatformCodec
from tests.gateway_fleet import GatewayCase
from tests.gateway_values import entry
from tests.platform_fakes import FakeWorker

#: Time that a notice takes to reach all nodes; later requests count as violations, seconds.
NOTICE_TIME_S = 0.5
#: Number of requests after which each of two workers has answered at least one.
MAX_TRIES = 40


class LeavingTest(GatewayCase):
    """Guards against new requests to a worker that announces only in its answers that it leaves."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes = self.start_nodes(2)
        for node in self.nodes:
            self.wait_ready(node)
        self.eventually(lambda: all(len(node._gossip.present) == 1 for node in self.nodes))

    def run_until_notice(self, worker: FakeWorker, path: str) -> int:
        """Sends requests until the worker has answered one; returns how many it has run."""
        worker.is_leaving = True
        for number in range(MAX_TRIES):
            if not worker.ran:
                self.call_with_own_prompt(path, number)
        self.assertTrue(worker.ran)
        return len(worker.ran)

    def call_with_own_prompt(self, path: str, number: int) -> None:
        """Sends a request that shares no prompt part with others, so that no engine caches one."""
        prompt = {"Prompt_Prefix": f"{number:x}:60,b{number:x}:40"}
        answer = self.call(self.nodes[0], path, f"r{number}", **prompt)
        self.assertEqual(answer.status, 200)

    def test_plain_worker_gets_nothing_new_from_the_first_answer_on(self) -> None:
        ran = self.run_until_notice(self.desks[0], "/book/x")
        for number in range(10):
            self.assertEqual(self.call(self.nodes[0], "/book/x", f"r{number}").status, 200)
        self.assertEqual(len(self.desks[0].ran), ran)

    def test_head_of_a_stream_counts(self) -> None:
        ran = self.run_until_notice(self.engines[0], "/chat/x")
        for number in range(MAX_TRIES, MAX_TRIES + 10):
            self.call_with_own_prompt("/chat/x", number)
        self.assertEqual(len(self.engines[0].ran), ran)

    def test_notice_reaches_the_fleet_at_once(self) -> None:
        self.run_until_notice(self.desks[0], "/book/x")
        other = self.nodes[1]._view.book.get("d1")
        self.eventually(lambda: other.is_leaving, NOTICE_TIME_S)

    def test_refusal_counts(self) -> None:
        desk = self.desks[0]
        desk.is_leaving, desk.pause_s = True, "0"
        state = self.nodes[0]._view.book.get("d1")
        for number in range(MAX_TRIES):
            self.assertEqual(self.call(self.nodes[0], "/look/x", f"r{number}").status, 200)
        self.assertTrue(state.is_leaving)
        self.assertEqual(len(desk.asked_at), 1)

    def test_report_counts_and_nothing_is_ordered(self) -> None:
        self.engines[0].is_leaving = True
        state = self.nodes[0]._view.book.get("e1")
        self.nodes[0]._weights.poll_weights(state)
        self.eventually(lambda: state.is_leaving, 2.0)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: self.engines[1].version == 2)
        gevent.sleep(NOTICE_TIME_S)
        self.assertEqual(self.engines[0].orders, [])

    def test_start_under_the_same_id_is_used_again(self) -> None:
        ran = self.run_until_notice(self.desks[0], "/book/x")
        self.desks[0].is_leaving = False
        self.store.put("keyed.servers", "d1", {**self.desks[0].entry(), "born": 2})
        self.eventually(lambda: self.nodes[1]._view.book.get("d1").entry.incarnation == "2")
        gevent.sleep(NOTICE_TIME_S)
        self.assertFalse(self.nodes[1]._view.book.get("d1").is_leaving)
        for number in range(20):
            self.call(self.nodes[1], "/book/x", f"r{number}")
        self.assertGreater(len(self.desks[0].ran), ran)


class PauseTest(GatewayCase):
    """Guards against requests to a worker that asked this node for a pause."""

    PAUSE_S = 1.5

    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)

    def asked_in_pause(self, worker: FakeWorker, since: float) -> int:
        return sum(since + NOTICE_TIME_S <= at < since + self.PAUSE_S for at in worker.asked_at)

    def test_worker_gets_nothing_for_the_time_it_asks(self) -> None:
        self.desks[0].pause_s = str(self.PAUSE_S)
        began = time.monotonic()
        number = 0
        while time.monotonic() < began + self.PAUSE_S:
            self.assertEqual(self.call(self.node, "/look/x", f"r{number}").status, 200)
            number += 1
        since = self.desks[0].asked_at[0]
        self.assertEqual(self.asked_in_pause(self.desks[0], since), 0)
        self.desks[0].pause_s = None
        gevent.sleep(self.PAUSE_S * PAUSE_SPREAD)
        for number in range(20):
            self.call(self.node, "/book/x", f"again-{number}")
        self.assertGreater(len(self.desks[0].ran), 0)

    def test_reports_orders_and_cache_events_pause_too(self) -> None:
        engine = self.engines[0]
        engine.pause_s = str(self.PAUSE_S)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        refused = len(engine.asked_at)
        self.eventually(lambda: len(engine.asked_at) > refused, 3.0)
        since = engine.asked_at[refused]
        for number in range(10):
            self.call(self.node, "/chat/x", f"r{number}")
            gevent.sleep(self.PAUSE_S / 10)
        # A call that was pending at the engine when it began to refuse was sent before the pause.
        self.assertEqual(self.asked_in_pause(engine, since), 0)

    def test_when_all_pause_callers_receive_retry_after_at_once(self) -> None:
        for desk in self.desks:
            desk.pause_s = "0.4"
        self.call(self.node, "/book/x", "first")
        began = time.monotonic()
        answer = self.call(self.node, "/book/x", "second")
        self.assertEqual(answer.status, 503)
        self.assertLess(time.monotonic() - began, 0.2)
        self.assertTrue(0 < float(answer.headers["Retry-After"]) <= 0.5)
        self.assertEqual(sum(len(desk.asked_at) for desk in self.desks), 2)


class PauseOfOneEndpointTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.book = EndpointBook.from_config(self.clock)
        self.book.put(entry("e1"))
        self.state = self.book.get("e1")

    def test_returns_of_nodes_are_spread_after_the_pause(self) -> None:
        returns = set()
        for seed in range(50):
            self.state.paused_until = 0.0
            self.book.pause(self.state, 10.0, Random(seed))
            returns.add(round(self.book.shortest_pause_s("s"), 1))
        self.assertGreaterEqual(min(returns), 10.0)
        self.assertLessEqual(max(returns), 10.0 + MAX_PAUSE_SPREAD_S)
        self.assertGreater(len(returns), 8)

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        self.book.pause(self.state, 10.0, Random(1))
        self.book.pause(self.state, 0.1, Random(1))
        self.clock.advance(9.9)
        self.assertEqual(self.book.usable("s"), [])

    def test_start_under_the_same_id_ends_it(self) -> None:
        self.book.pause(self.state, 3600.0, Random(1))
        self.book.put(entry("e1", incarnation="2"))
        self.assertEqual([state.id for state in self.book.usable("s")], ["e1"])


class NoticeCodecTest(unittest.TestCase):
    codec = PlatformCodec()

    def pause(self, status: int, text: str) -> float:
        return self.codec.decode_response(status, [("Retry-After", text)]).notice.pause_s

    def test_fractions_count_and_only_beside_a_refusal(self) -> None:
        self.assertEqual(self.pause(503, "1.25"), 1.25)
        self.assertEqual(self.pause(200, "1.25"), 0.0)
        self.assertEqual(self.pause(429, "1.25"), 0.0)

    def test_values_that_are_no_time_ask_for_nothing(self) -> None:
        for text in ("", "-1", "nan", "inf", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT"):
            self.assertEqual(self.pause(503, text), 0.0, text)

    @given(st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=30))
    def test_pause_is_bounded_whatever_is_sent(self, text) -> None:
        self.assertTrue(0.0 <= self.pause(503, text) <= MAX_PAUSE_S)
