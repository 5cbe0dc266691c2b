"""A gateway node over real sockets: attempts, and streams continued at another endpoint."""

import time
from unittest import mock

import gevent
from bottle import HTTPResponse

from arbutustally_node.gateway.request_run import HEDGE_DELAY_S
from arbutustally_node.gateway.stream_relay import SILENT_GAP_S
from tests.engine_answers import full
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeWorker


class AttemptTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)

    def test_full_worker_is_replaced_by_another(self) -> None:
        self.desks[0].behave = full
        for number in range(6):
            self.assertEqual(self.call(self.node, "/book/x", f"r{number}").status, 200)
        self.assertEqual(len(self.desks[1].ran), 6)

    def test_booking_whose_answer_is_lost_is_not_sent_again(self) -> None:
        """Guards against a booking that runs twice."""

        def lose(headers):
            self.lost.append(headers["Request-Id"])
            raise ConnectionResetError

        self.lost: list[str] = []
        for desk in self.desks:
            desk.behave = lose
        answer = self.call(self.node, "/book/x", "r1")
        self.assertIn(answer.status, (500, 502))
        self.assertEqual(self.lost, ["r1"])

    def test_failure_of_an_idempotent_call_is_tried_elsewhere(self) -> None:
        def fail(headers):
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            return HTTPResponse(status=500, body=b"no", headers=fields)

        self.desks[0].behave = fail
        for number in range(4):
            self.assertEqual(self.call(self.node, "/look/x", f"r{number}").status, 200)

    def test_answer_of_another_request_is_not_delivered(self) -> None:
        def cross(_headers):
            fields = {"Request-Id": "someone-else", "Server-Stamp": "s"}
            return HTTPResponse(body=b"theirs", headers=fields)

        for desk in self.desks:
            desk.behave = cross
        answer = self.call(self.node, "/book/x", "r1")
        self.assertEqual(answer.status, 502)
        self.assertNotIn(b"theirs", answer.data)

    def test_unsigned_success_is_not_delivered(self) -> None:
        for desk in self.desks:
            desk.behave = lambda headers: HTTPResponse(
                body=b"x", headers={"Request-Id": headers["Request-Id"]}
            )
        self.assertEqual(self.call(self.node, "/book/x", "r1").status, 502)

    def test_broken_stream_goes_on_at_another_engine_without_gap_or_repeat(self) -> None:
        def break_off(headers):
            if headers.get("Last-Event-Id"):
                return None
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            body = self._broken()
            return HTTPResponse(
                body=body, headers={**fields, "Content-Length": "9999", "Connection": "close"}
            )

        for engine in self.engines:
            engine.behave = break_off
        answer = self.call(self.node, "/chat/x", "r1")
        pieces = [line for line in answer.data.decode().split("\n") if line.startswith("data")]
        self.assertEqual(pieces, [f"data: piece {number}" for number in range(1, 6)])

    def test_broken_stream_goes_on_at_new_weights(self) -> None:
        """Guards against a stream that is interrupted by one load of weights after another."""
        third = FakeWorker("e3", "llm", "m")
        self.addCleanup(third.stop)
        self.store.put("keyed.servers", third.id, third.entry())
        self.wait_ready(self.node, 3)
        third.version = 2
        book = self.node._view.book
        book.get("e3").weights["m"] = 2
        book.get("e3").prompt_tokens = 1e6

        def break_off(headers):
            if headers.get("Last-Event-Id"):
                return None
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            body = self._broken()
            fields |= {"Content-Length": "9999", "Connection": "close"}
            return HTTPResponse(body=body, headers=fields)

        for engine in self.engines:
            engine.behave = break_off
        answer = self.call(self.node, "/chat/x", "r1")
        self.assertEqual(answer.data.count(b"data: piece"), 5)
        self.assertEqual(third.ran, ["r1"])

    def answer_with(self, stream) -> None:
        """Makes all engines answer a new stream with ``stream``; resumed ones run normally."""

        def behave(headers):
            if headers.get("Last-Event-Id"):
                return None
            fields = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            return HTTPResponse(body=stream(), headers=fields)

        for engine in self.engines:
            engine.behave = behave

    def test_stream_that_sends_bytes_but_no_event_goes_on_elsewhere(self) -> None:
        """Guards against stalled streams kept alive by an occasional byte."""

        def stalled():
            yield b"id: 1\ndata: piece 1\n\n"
            while True:
                yield b":"
                gevent.sleep(0.2)

        self.answer_with(stalled)
        began = time.monotonic()
        answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual(answer.data.count(b"data: piece"), 5)
        self.assertLess(time.monotonic() - began, SILENT_GAP_S + 0.7)

    def test_slow_but_sound_stream_is_not_cut(self) -> None:
        """Replays an engine at a fraction of its normal speed, which sends events in two parts."""

        def slow():
            for number in (1, 2):
                yield b"id: %d\ndata: pi" % number
                gevent.sleep(0.3)
                yield b"ece %d\n\n" % number
                gevent.sleep(0.3)

        self.answer_with(slow)
        answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual(answer.data.count(b"data: piece"), 2)
        self.assertEqual(sum(len(engine.seen) for engine in self.engines), 1)

    def test_late_first_event_is_waited_for_where_no_repeat_is_left(self) -> None:
        """Replays overloaded engines while the repeat budget is used up.

        Abandoning the request would only lose its place in the queue.
        """

        def late():
            gevent.sleep(HEDGE_DELAY_S + 0.3)
            yield b"id: 1\ndata: piece 1\n\n"

        self.answer_with(late)
        with mock.patch.object(self.node._services.state.repeats, "take", return_value=False):
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual((answer.status, answer.data.count(b"data: piece")), (200, 1))

    def test_paused_stream_is_waited_for_where_no_repeat_is_left(self) -> None:
        def paused():
            yield b"id: 1\ndata: piece 1\n\n"
            gevent.sleep(SILENT_GAP_S + 0.3)
            yield b"id: 2\ndata: piece 2\n\n"

        self.answer_with(paused)
        with mock.patch.object(self.node._services.state.repeats, "take", return_value=False):
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4000")
        self.assertEqual((answer.status, answer.data.count(b"data: piece")), (200, 2))

    def _broken(self):
        yield b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\nda"

    def test_request_whose_service_is_unknown_costs_nothing(self) -> None:
        """Guards against charging an account for requests that were never placed."""
        changed = configuration(2)
        changed["services"] = [one for one in changed["services"] if one["name"] != "desk"]
        changed["tenants"][0] |= {"ratePerS": 1, "burst": 500}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        before = self.node._services.state.quota.admitted.get("school", 0.0)
        self.assertEqual(self.call(self.node, "/look/a", "r1").status, 503)
        self.assertEqual(self.node._services.state.quota.admitted.get("school", 0.0), before)

    def test_account_over_its_rate_is_told_when_to_return(self) -> None:
        """Exceeds the rate on a machine of any speed, with requests that engines can accept."""
        changed = configuration(2)
        changed["tenants"][0] |= {"ratePerS": 100, "burst": 20_000}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        for number in range(100):
            answer = self.call(self.node, "/chat/x", f"r{number}", Token_Usage="2000,10")
            if answer.status == 429:
                break
            self.assertEqual(answer.status, 200)
        self.assertEqual(answer.status, 429)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
