"""Attempts that have not begun are left before the period of their weights ends."""

import math
import time
import unittest
from unittest import mock

import gevent
import urllib3
from bottle import HTTPResponse
from gevent import monkey

from arbutustally.clock import monotonic
from arbutustally_node.gateway.begin_watch import (
    CHECK_INTERVAL_S,
    LEAVE_MARGIN_S,
    LEAVE_SPREAD_S,
    BeginWatch,
)
from tests.engine_answers import events, signed, use_up_repeat_budget
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings

#: Tolerance for timers, seconds.
LATE_S = 0.15
#: Period in which requests may begin on replaced weights, seconds. Attempts are left before a hedge
#: is sent.
PERIOD_S = 1.4
QUEUE_TOKENS = 1e5
#: Callers that wait for the first engine.
CALLERS = 10
#: Time for which the whole process stands still, seconds.
STANDSTILL_S = 1.0

_block = monkey.get_original("time", "sleep")


class BeginWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.until = math.inf
        self.watch = BeginWatch(lambda _model, _version: self.until, monotonic)
        self.left_at: list[float] = []
        self.has_begun = False

    def begin(self, spread: float = 0.0):
        return self.watch.begin(
            "m", 1, lambda: self.left_at.append(monotonic()), lambda: self.has_begun, spread
        )

    def test_attempts_are_left_spread_over_the_time_before_the_margin(self) -> None:
        """Guards against all requests that arrive at the engines with new weights at once."""
        self.until = monotonic() + LEAVE_MARGIN_S + LEAVE_SPREAD_S + 0.1
        for spread in (0.0, 0.5, 1.0):
            self.begin(spread)
        gevent.sleep(0.1 + LEAVE_SPREAD_S + LATE_S)
        self.assertEqual(len(self.left_at), 3)
        for at, spread in zip(self.left_at, (1.0, 0.5, 0.0), strict=True):
            due = self.until - LEAVE_MARGIN_S - spread * LEAVE_SPREAD_S
            self.assertGreaterEqual(at, due - 0.01)
            self.assertLess(at, due + LATE_S)

    def test_naming_after_the_start_of_an_attempt_counts(self) -> None:
        """Guards against a request that waits longer than the whole period."""
        self.begin()
        gevent.sleep(0.05)
        self.assertEqual(self.left_at, [])
        self.until = monotonic() + LEAVE_MARGIN_S + 5.0
        self.watch.weights_changed("m")
        gevent.sleep(0.05)
        self.assertEqual(self.left_at, [])
        # A peer knows that the version was named earlier.
        self.until -= 5.0
        self.watch.weights_changed("m")
        gevent.sleep(LATE_S)
        self.assertEqual(len(self.left_at), 1)

    def test_naming_without_a_known_date_counts(self) -> None:
        """Guards against a request that waits without a bound while nobody can date the naming."""
        self.begin(0.0)
        self.begin(1.0)
        self.until = -math.inf
        self.watch.weights_changed("m")
        gevent.sleep(CHECK_INTERVAL_S + LATE_S)
        self.assertEqual(len(self.left_at), 2)

    def test_naming_that_a_peer_dates_at_once_leaves_its_period(self) -> None:
        """Guards against attempts that are left because a snapshot names weights without a date."""
        self.begin(1.0)
        self.until = -math.inf
        self.watch.weights_changed("m")
        gevent.sleep(0.1)
        self.until = monotonic() + LEAVE_MARGIN_S + 5.0
        self.watch.weights_changed("m")
        gevent.sleep(CHECK_INTERVAL_S + LATE_S)
        self.assertEqual(self.left_at, [])

    def test_attempt_that_has_begun_needs_no_timer(self) -> None:
        """Guards against a running stream that is cut, and against timers for each of them."""
        self.until = monotonic() + LEAVE_MARGIN_S + 0.05
        waiting = self.begin()
        self.has_begun = True
        gevent.sleep(0.05 + LATE_S)
        self.watch.weights_changed("m")
        self.assertIsNone(waiting.timer)
        self.assertEqual(self.left_at, [])

    def test_attempt_that_has_ended_is_not_left(self) -> None:
        self.until = monotonic() + LEAVE_MARGIN_S + 0.05
        self.begin().end()
        waiting = self.begin()
        gevent.sleep(0.05 + LATE_S)
        waiting.end()
        self.watch.weights_changed("m")
        gevent.sleep(0.05)
        self.assertEqual(len(self.left_at), 1)


class ExpiringWeightsTest(GatewayCase):
    """A node whose first engine does not begin; the second one has the named weights."""

    def setUp(self) -> None:
        super().setUp()
        bounds = {"versionMs": PERIOD_S * 1000, "leaseTtlMs": 1000, "graceS": 3, "ttl_max_s": 1}
        self.node = self.start_node(settings(self.store.address, bounds=bounds))
        self.wait_ready(self.node)
        # From then on the node knows when records are written.
        reader = self.node._services.store.operator_reader
        self.eventually(lambda: reader._unread_since == math.inf)
        self.old, self.new = (self.node._view.book.get(engine.id) for engine in self.engines)
        # Until the naming, only the first engine is free.
        self.new.prompt_tokens += QUEUE_TOKENS
        self.pause_s = 4.0
        self.is_head_early = False
        self.engines[0].behave = self.begin_late
        # The first engine is not ordered to load meanwhile.
        lease = {"holder": "node-9~x", "fence": None, "released": False}
        self.store.put("keyed.weights-lease", "lease", lease)

    def begin_late(self, headers) -> HTTPResponse:
        def body():
            if self.is_head_early:
                yield b": no event\n"
                gevent.sleep(self.pause_s)
            yield events(1, 5)

        if not self.is_head_early:
            gevent.sleep(self.pause_s)
        return signed(headers, body())

    def ask(self, request_id: str = "r1", **route) -> urllib3.BaseHTTPResponse:
        """Sends a stream to the first engine, then names weights that the second one has."""
        changed = configuration(2)
        changed["routes"][0] |= {"timeoutMs": 6000, **route}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        asking = gevent.spawn(self.call, self.node, "/chat/x", request_id, Deadline_Ms="5000")
        self.eventually(lambda: self.old.running == 1)
        self.name()
        self.new.prompt_tokens -= QUEUE_TOKENS
        return asking.get()

    def name(self) -> None:
        """Names weights that the second engine has."""
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: "m" in self.node._view.weights)
        self.engines[1].version = self.new.weights["m"] = 2

    def left(self) -> int:
        """Returns how many attempts were left since their weights expired."""
        return self.node._services.state.instruments.value("attempts", "weights_expired")

    def test_request_goes_on_at_an_engine_with_new_weights(self) -> None:
        """Guards against a request that begins on replaced weights after their period."""
        self.assertEqual(self.ask().data, events(1, 5))
        self.assertEqual((self.engines[1].ran, self.left()), (["r1"], 1))
        self.assertEqual(self.old.failures, 0.0)

    def test_head_without_an_event_is_no_begin(self) -> None:
        self.is_head_early = True
        self.assertEqual(self.ask().data, events(1, 5))
        self.assertEqual((self.engines[1].ran, self.left()), (["r1"], 1))

    def test_suspension_of_the_node_counts(self) -> None:
        """Guards against a clock that stands still while the instance is suspended."""
        read_clock = time.clock_gettime

        def after_suspension(which: int) -> float:
            suspended_s = PERIOD_S if which == time.CLOCK_BOOTTIME else 0.0
            return read_clock(which) + suspended_s

        self.engines[0].behave = None
        self.name()
        # The first engine is preferred as long as its weights are allowed.
        self.new.prompt_tokens -= 0.94 * QUEUE_TOKENS
        self.assertEqual(self.call(self.node, "/chat/x", "r1").status, 200)
        with mock.patch("time.clock_gettime", after_suspension):
            self.assertEqual(self.call(self.node, "/chat/x", "r2").status, 200)
        self.assertEqual([engine.ran for engine in self.engines], [["r1"], ["r2"]])

    def test_naming_while_the_node_stands_still_is_dated_before_it_goes_on(self) -> None:
        """Guards against a period that begins late at a node that was suspended when it began."""
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        named_at = monotonic()
        _block(STANDSTILL_S)
        self.eventually(lambda: "m" in self.node._view.weights)
        known_at = self.node._view.weights["m"].known_at[2]
        self.assertLess(known_at, named_at + LATE_S)
        self.assertGreater(known_at, named_at - LATE_S)

    def test_stream_that_may_not_run_again_is_left_and_promises_nothing(self) -> None:
        """Guards against 503 for a request that may have run, and against a second run."""
        self.assertEqual(self.ask(resumable=False).status, 502)
        self.assertEqual((self.engines[1].ran, self.left()), ([], 1))

    def test_left_attempts_take_from_the_repeat_budget(self) -> None:
        """Guards against repeats beyond the budget when many attempts are left."""
        use_up_repeat_budget(self.node)
        self.assertEqual(self.ask().status, 502)
        self.assertEqual((self.engines[1].ran, self.left()), ([], 1))

    def test_hedge_whose_answer_is_being_read_has_begun(self) -> None:
        """Guards against an answer that is broken off by the end of its weights' period."""

        def answer_slowly(headers) -> HTTPResponse:
            def body():
                yield b"first part, "
                gevent.sleep(PERIOD_S)
                yield b"second part"

            return signed(headers, body())

        self.engines[1].behave = answer_slowly
        changed = configuration(2)
        changed["routes"][0] |= {"kind": "idempotent", "timeoutMs": 6000}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        asking = gevent.spawn(self.call, self.node, "/chat/x", "r1", Deadline_Ms="5000")
        self.eventually(lambda: self.old.running == 1)
        self.new.prompt_tokens -= QUEUE_TOKENS
        self.eventually(lambda: self.new.running == 1)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        answer = asking.get()
        self.assertEqual((answer.status, answer.data), (200, b"first part, second part"))
        # Only the first engine had not begun.
        self.assertEqual(self.left(), 1)

    def test_callers_that_leave_as_their_attempts_are_left(self) -> None:
        """Guards against load that stays counted, and internal errors, if both happen at once."""
        self.pause_s = 6.0
        host, _, port = self.node._options.caller_listen.rpartition(":")
        callers = []
        for number in range(CALLERS):
            caller = gevent.socket.create_connection((host, int(port)))
            caller.sendall(
                b"POST /chat/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\n"
                b"Authorization: Token key-school\r\nDeadline-Ms: 5000\r\nModel: m\r\n"
                b"Token-Usage: 100,5\r\nPrompt-Prefix: aa:60,b%d:40\r\n"
                b"Content-Length: 0\r\n\r\n" % (number, number)
            )
            callers.append(caller)
        self.eventually(lambda: self.old.running == CALLERS)
        self.name()
        self.new.prompt_tokens -= QUEUE_TOKENS
        begins = self.node._services.requests.begins
        due = sorted(monotonic() + begins._left_s(waiting) for waiting in begins._waiting["m"])
        for at, caller in zip(due, callers, strict=True):
            gevent.sleep(max(0.0, at - monotonic()))
            caller.close()
        self.eventually(lambda: self.old.running + self.new.running == 0, 3.0)
        self.assertEqual(begins._waiting["m"], set())
        count = self.node._services.state.instruments.value
        # A caller that closes while its answer is written is found by the write.
        outcomes = ("answered", "caller_gone", "caller_unwritable")
        self.eventually(lambda: sum(count("requests", one) for one in outcomes) == CALLERS)
        self.assertGreater(self.left(), 0)

    def test_event_that_arrives_as_the_attempt_is_left(self) -> None:
        """Guards against pieces that are missing or come twice if the engine begins just then."""
        first_s = PERIOD_S - LEAVE_MARGIN_S - LEAVE_SPREAD_S
        for number in range(8):
            with self.subTest(number=number):
                if number:
                    self.doCleanups()
                    self.setUp()
                self.pause_s = first_s + LEAVE_SPREAD_S * number / 7
                self.assertEqual(self.ask(f"r{number}").data, events(1, 5))


class StandstillAmongPeersTest(GatewayCase):
    def test_naming_after_a_standstill_is_new_where_peers_date_it(self) -> None:
        """Guards against a fleet that refuses older weights since one of its nodes stood still."""
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
            reader = node._services.store.operator_reader
            self.eventually(lambda reader=reader: reader._unread_since == math.inf)
            self.eventually(lambda node=node: node._services.gossip.known == 1)
        _block(STANDSTILL_S)
        named_at = monotonic()
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        for node in nodes:
            self.eventually(lambda node=node: "m" in node._view.weights)
        gevent.sleep(LATE_S)
        for node in nodes:
            self.assertGreater(node._view.weights["m"].known_at[2], named_at - LATE_S)
