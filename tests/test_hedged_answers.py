"""Hedged requests: one complete response, correct refusals and balanced load counts."""

import time
from contextlib import suppress
from unittest import mock

import gevent
from bottle import HTTPResponse

from arbutustally.gateway.attempts import RepeatLedger
from arbutustally_node.gateway.request_run import HEDGE_DELAY_S
from tests.engine_answers import events, full, head, signed
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase

#: A pause long enough for the node to send a hedge, seconds.
PAUSE_S = 1.6
STREAM_ROUTE = 0
PLAIN_ROUTE = 2


def paused_stream(headers):
    """Returns a stream that pauses after two of its five events."""

    def body():
        yield events(1, 2)
        gevent.sleep(PAUSE_S)
        yield events(3, 5)

    return signed(headers, body())


def late_full(headers):
    """Refuses the request after a hedge was sent."""
    gevent.sleep(HEDGE_DELAY_S + 0.3)
    return full(headers)


class HedgedAnswerTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)
        self.first: str | None = None

    def answer_first_with(self, first, others, workers=None) -> None:
        """Makes the first worker to get a request answer with ``first``, others with ``others``."""

        def answer(worker_id, headers):
            self.first = self.first or worker_id
            return (first if worker_id == self.first else others)(headers)

        for worker in workers or self.engines:
            worker.behave = lambda headers, worker_id=worker.id: answer(worker_id, headers)

    def set_timeout(self, number: int) -> None:
        """Applies a configuration in which a route has a timeout of six seconds."""
        changed = configuration(2)
        changed["routes"][number]["timeoutMs"] = 6000
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)

    def connect(self, path: bytes) -> gevent.socket.socket:
        """Sends a request and returns its connection."""
        host, _, port = self.node._options.caller_listen.rpartition(":")
        caller = gevent.socket.create_connection((host, int(port)))
        caller.sendall(
            b"POST " + path + b" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
            b"Authorization: Token key-school\r\nDeadline-Ms: 6000\r\nModel: m\r\n"
            b"Token-Usage: 100,5\r\nPrompt-Prefix: aa:60,bb:40\r\nContent-Length: 0\r\n\r\n"
        )
        return caller

    def raw_chat(self) -> bytes:
        """Returns all bytes that the caller of a stream receives."""
        caller = self.connect(b"/chat/x")
        caller.settimeout(3.0)
        got = b""
        with suppress(OSError):
            while data := caller.recv(65536):
                got += data
        caller.close()
        return got

    def test_failure_of_a_second_endpoint_is_not_written_into_a_stream(self) -> None:
        """Guards against a second response head inside the body of a response that has begun."""
        self.set_timeout(STREAM_ROUTE)

        def breaks(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(0.1)
                raise OSError

            return signed(headers, body())

        def failing(headers):
            return HTTPResponse(status=500, headers=head(headers), body=b"own failure")

        self.answer_first_with(breaks, failing)
        self.assertEqual(self.raw_chat().count(b"HTTP/1.1"), 1)

    def test_other_status_does_not_end_a_stream_that_has_begun(self) -> None:
        """Guards against abandoning a working stream for a response that can't continue it."""
        self.set_timeout(STREAM_ROUTE)

        def unknown(headers):
            return HTTPResponse(status=404, headers=head(headers), body=b"no such stream")

        self.answer_first_with(paused_stream, unknown)
        got = self.raw_chat()
        self.assertEqual(got.count(b"HTTP/1.1"), 1)
        self.assertIn(b"piece 5", got)

    def test_request_at_work_elsewhere_is_not_called_not_run(self) -> None:
        """Guards against reporting a request as not run while another endpoint is running it."""
        self.set_timeout(PLAIN_ROUTE)

        def works(_headers):
            gevent.sleep(6.0)

        statuses = []
        for number in range(5):
            self.first = None
            self.answer_first_with(late_full, works, self.desks)
            answer = self.call(self.node, "/look/x", f"r{number}", Deadline_Ms="2500")
            statuses.append(answer.status)
        self.assertEqual(statuses, [504] * 5)

    def test_load_is_even_after_both_attempts_failed(self) -> None:
        """Guards against a count below zero, which would let an order interrupt a run for good.

        An order to load weights may interrupt runs only if they can be repeated.
        """
        self.set_timeout(STREAM_ROUTE)

        def unsigned(_headers):
            gevent.sleep(HEDGE_DELAY_S + 0.3)
            return HTTPResponse(body=b"x")

        def full_at_last(headers):
            gevent.sleep(0.7)
            return full(headers)

        self.answer_first_with(unsigned, full_at_last)
        self.call(self.node, "/chat/x", "r1", Deadline_Ms="6000")
        states = self.node._view.book.of_service("llm")
        self.eventually(lambda: sum(state.running for state in states) == 0)
        self.assertEqual([state.unrepeatable for state in states], [0, 0])

    def test_whole_answer_that_arrives_is_not_left_for_a_head(self) -> None:
        """Guards against abandoning a response for an endpoint that has sent only a head."""
        self.set_timeout(PLAIN_ROUTE)

        def steady(headers):
            def body():
                for _ in range(10):
                    yield b"x" * 1000
                    gevent.sleep(0.2)

            return signed(headers, body())

        def only_head(headers):
            def body():
                yield b"y"
                gevent.sleep(20.0)
                yield b"y"

            return signed(headers, body())

        self.answer_first_with(steady, only_head, self.desks)
        answer = self.call(self.node, "/look/x", "r1", Deadline_Ms="4000")
        self.assertEqual((answer.status, answer.data), (200, b"x" * 10000))

    def test_other_stream_without_a_whole_event_does_not_count(self) -> None:
        """Guards against abandoning a working stream for a broken one."""
        self.set_timeout(STREAM_ROUTE)
        self.answer_first_with(paused_stream, lambda headers: signed(headers, iter([b"id: 3\n"])))
        self.assertIn(b"piece 5", self.raw_chat())

    def test_other_endpoint_goes_on_until_the_silent_one_gave_an_event(self) -> None:
        """Guards against cancelling the hedge when the silent endpoint has sent only a head."""
        self.set_timeout(STREAM_ROUTE)

        def late_head_only(headers):
            gevent.sleep(HEDGE_DELAY_S + 0.3)

            def body():
                yield b"id: 1\n"
                gevent.sleep(20.0)
                yield b"data: x\n\n"

            return signed(headers, body())

        def good(headers):
            def body():
                gevent.sleep(0.6)
                yield events(1, 5)

            return signed(headers, body())

        self.answer_first_with(late_head_only, good)
        answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="4500")
        self.assertEqual(answer.data, events(1, 5))

    def test_endpoint_that_got_nothing_does_not_count_as_tried(self) -> None:
        """Guards against excluding an endpoint for which the repeat budget was used up once."""
        self.set_timeout(STREAM_ROUTE)

        def late(headers):
            gevent.sleep(4.0)
            return signed(headers, iter([events(1, 5)]))

        self.answer_first_with(late, lambda headers: signed(headers, iter([events(1, 5)])))
        takes = []

        def take(_ledger, _service):
            takes.append(time.monotonic())
            return len(takes) > 1

        began = time.monotonic()
        with mock.patch.object(RepeatLedger, "take", take):
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="6000")
        self.assertEqual(answer.data, events(1, 5))
        self.assertLess(time.monotonic() - began, 2.5)

    def test_caller_that_leaves_is_noticed_after_the_other_attempt_broke(self) -> None:
        """Guards against missing the caller's disconnection after the hedge's body broke off.

        The endpoint would go on working on a request whose caller is gone.
        """
        self.set_timeout(PLAIN_ROUTE)

        def works(_headers):
            gevent.sleep(6.0)

        def breaks(headers):
            def body():
                yield b"x" * 100
                gevent.sleep(0.2)
                raise OSError

            return signed(headers, body())

        self.answer_first_with(works, breaks, self.desks)
        caller = self.connect(b"/look/x")
        states = self.node._view.book.of_service("desk")
        self.eventually(lambda: sum(state.running for state in states) == 2)
        self.eventually(lambda: sum(state.running for state in states) == 1)
        caller.close()
        gevent.sleep(1.0)
        self.assertEqual([state.running for state in states], [0, 0])
