"""Answers that have begun reach their end, or another endpoint has taken the request before."""

import errno
import socket
import time
from contextlib import suppress
from unittest import mock

import gevent
import urllib3
from bottle import HTTPResponse
from gevent.pool import Pool
from gevent.server import StreamServer

from arbutustally.gateway.endpoints import FailedCheck
from arbutustally_node.gateway import endpoint_check, stream_relay
from arbutustally_node.gateway.node import GatewayNode
from arbutustally_node.gateway.request_run import FIRST_BYTE_S
from arbutustally_node.gateway.stream_relay import SILENT_GAP_S
from arbutustally_node.gateway.weights_service import LOADS_DUTY
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeWorker, configuration

#: Longer than any pause after which a node may look for another endpoint, seconds.
LONG_PAUSE_S = 2.4

#: What checks of endpoints end with.
REFUSED = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
TIMED_OUT = TimeoutError("timed out")


def events(first: int, last: int) -> bytes:
    """Returns whole events of a stream."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(first, last + 1)
    )


class CutAnswerTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)
        self.first: str | None = None
        self.asked = 0

    def answer_first_with(self, stream, others) -> None:
        """Makes the engine that is asked first answer with ``stream``, any other with ``others``."""

        def answer(engine_id: str, headers: dict[str, str]):
            self.first = self.first or engine_id
            behave = stream if engine_id == self.first else others
            return behave(headers)

        for engine in self.engines:
            engine.behave = lambda headers, engine_id=engine.id: answer(engine_id, headers)

    def ask(self):
        return self.call(self.node, "/chat/x", "r1", Deadline_Ms="6000")

    def set_routes(self, **changes) -> None:
        """Puts a configuration in force in which the streaming route has other terms."""
        changed = configuration(2)
        changed["routes"][0] |= {"timeoutMs": 6000, **changes}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)

    def paused(self, pause_s: float, begins_with_events: bool = True):
        def stream(headers):
            self.asked += 1
            after = int(headers.get("Last-Event-Id") or 0)

            def body():
                if begins_with_events and not after:
                    yield events(1, 2)
                gevent.sleep(pause_s)
                yield events(max(after + 1, 3 if begins_with_events else 1), 5)

            return signed(headers, body())

        return stream

    def test_paused_stream_is_kept_where_no_other_engine_takes_it(self) -> None:
        """Guards against a stream that is given up before another engine has taken it."""
        self.set_routes()
        self.answer_first_with(self.paused(SILENT_GAP_S + 0.6), full)
        answer = self.ask()
        self.assertEqual((self.asked, answer.data), (1, events(1, 5)))

    def test_paused_stream_is_kept_on_its_last_endpoint(self) -> None:
        """Replays inc1: a pause at the last endpoint that a route allows cut the answer."""
        self.set_routes(maxAttempts=1, resumable=False)
        self.answer_first_with(self.paused(LONG_PAUSE_S), full)
        answer = self.ask()
        self.assertEqual(answer.data, events(1, 5))

    def test_paused_stream_is_kept_where_the_other_engine_begins_again(self) -> None:
        """Guards against events 1, 2, 1 to 5 from an engine that ignores Last-Event-Id."""
        self.set_routes()

        def begins_again(headers):
            return signed(headers, iter([events(1, 5)]))

        self.answer_first_with(self.paused(SILENT_GAP_S + 0.8), begins_again)
        self.assertEqual(self.ask().data, events(1, 5))

    def test_broken_stream_does_not_go_on_at_an_engine_that_begins_again(self) -> None:
        """Guards against an answer that has events twice and looks complete."""
        self.set_routes()

        def begins_again(headers):
            asked.append(headers)
            is_first = len(asked) == 1
            body = events(1, 2 if is_first else 5)
            size = str(len(body) + is_first)
            fields = {**head(headers), "Content-Length": size, "Connection": "close"}
            return HTTPResponse(body=iter([body]), headers=fields)

        asked: list[dict[str, str]] = []
        self.answer_first_with(begins_again, begins_again)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.ask()
        self.assertEqual([one.get("Last-Event-Id") for one in asked], [None, "2"])

    def test_late_first_event_is_waited_for_where_other_engines_are_full(self) -> None:
        """Guards against a request that loses its place at an engine and finds no other."""
        self.set_routes()
        self.answer_first_with(self.paused(FIRST_BYTE_S + 0.6, begins_with_events=False), full)
        answer = self.ask()
        self.assertEqual((answer.status, self.asked, answer.data), (200, 1, events(1, 5)))

    def test_stream_that_goes_on_drops_the_other_engine(self) -> None:
        """Guards against two engines that work on one request, and against mixed events."""
        self.set_routes()

        def slow(headers):
            def body():
                gevent.sleep(SILENT_GAP_S + 1.0)
                yield events(3, 5)

            return signed(headers, body())

        self.answer_first_with(self.paused(SILENT_GAP_S + 0.4), slow)
        answer = self.ask()
        self.assertEqual((self.asked, answer.data), (1, events(1, 5)))
        states = self.node._view.book.of_service("llm")
        self.eventually(lambda: sum(state.running for state in states) == 0)

    def test_late_head_drops_the_other_engine(self) -> None:
        """Guards against a withdrawn attempt that counts as the other engine's answer."""
        self.set_routes()

        def late(headers):
            gevent.sleep(FIRST_BYTE_S + 0.3)

            def body():
                yield b"id: 1\n"
                gevent.sleep(0.4)
                yield b"data: piece 1\n\n" + events(2, 5)

            return signed(headers, body())

        self.answer_first_with(late, self.paused(5.0, begins_with_events=False))
        self.assertEqual(self.ask().data, events(1, 5))

    def test_other_engine_counts_from_its_first_event(self) -> None:
        """Guards against leaving an engine for one that has answered nothing but a head."""
        self.set_routes()

        def only_head(headers):
            def body():
                yield b"id: 3\n"
                gevent.sleep(4.0)
                yield b"data: piece 3\n\n" + events(4, 5)

            return signed(headers, body())

        self.answer_first_with(self.paused(SILENT_GAP_S + 0.7), only_head)
        began = time.monotonic()
        self.assertEqual(self.ask().data, events(1, 5))
        self.assertLess(time.monotonic() - began, 3.0)

    def test_short_pause_of_an_engine_that_could_not_be_reached_is_borne(self) -> None:
        """Guards against one failed check that ends a stream whose events still come."""
        self.set_routes(maxAttempts=1, resumable=False)
        paused = self.paused(SILENT_GAP_S + 0.3)

        def reached_no_more(headers):
            book = self.node._view.book
            for state in book.of_service("llm"):
                book.unreachable(state)
                state.failed_checks.extend([FailedCheck(time.monotonic() - 5.0, True)] * 2)
            return paused(headers)

        self.answer_first_with(reached_no_more, full)
        with connects_fail(REFUSED):
            self.assertEqual(self.ask().data, events(1, 5))

    def test_hedged_run_on_its_last_endpoint_counts_as_unrepeatable(self) -> None:
        """Guards against an order that breaks off a run whose other attempt was withdrawn."""
        self.set_routes()
        counts = []

        def slow(headers):
            def body():
                gevent.sleep(SILENT_GAP_S + 0.4)
                yield events(1, 2)
                gevent.sleep(0.2)
                states = self.node._view.book.of_service("llm")
                counts.append((sum(one.running for one in states), total(states)))
                yield events(3, 5)

            return signed(headers, body())

        def total(states) -> int:
            return sum(one.unrepeatable for one in states)

        late = self.paused(9.0, begins_with_events=False)
        self.answer_first_with(slow, late)
        with mock.patch.object(stream_relay, "SILENT_START_S", SILENT_GAP_S):
            self.assertEqual(self.ask().data, events(1, 5))
        self.assertEqual(counts, [(1, 1)])

    def test_stream_of_a_dead_engine_ends_soon(self) -> None:
        """Guards against a caller that is held until its deadline by an engine that is gone."""
        self.set_routes(maxAttempts=1, resumable=False)
        self.answer_first_with(self.paused(5.0), full)
        began = time.monotonic()
        with (
            connects_fail(REFUSED),
            self.assertRaises(urllib3.exceptions.ProtocolError),
        ):
            self.ask()
        self.assertLess(time.monotonic() - began, 4.0)

    def test_last_endpoint_is_waited_for_though_connects_time_out(self) -> None:
        """Guards against giving up the only endpoint left, which works on the request."""
        self.set_routes()

        def breaks_off(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(SILENT_GAP_S + 0.4)

            fields = {**head(headers), "Content-Length": "9999", "Connection": "close"}
            return HTTPResponse(body=body(), headers=fields)

        def late(headers):
            gevent.sleep(3.5)
            return signed(headers, iter([events(3, 5)]))

        self.answer_first_with(breaks_off, late)
        with connects_fail(TIMED_OUT):
            self.assertEqual(self.ask().data, events(1, 5))

    def test_run_on_its_last_endpoint_counts_as_unrepeatable(self) -> None:
        """Guards against an order to load weights that breaks off a run that can't go on."""
        counts = []

        def last(headers):
            states = self.node._view.book.of_service("llm")
            counts.append(sum(state.unrepeatable for state in states))

        self.answer_first_with(
            lambda headers: HTTPResponse(status=500, headers=head(headers)), last
        )
        answer = self.ask()
        self.assertEqual((answer.status, counts), (200, [1]))

    def test_hedges_leave_repeats_for_streams_that_broke_off(self) -> None:
        """Guards against 502 after a failed engine since streams that paused took all repeats."""
        self.set_routes()
        asked: set[str] = set()

        def paused(headers):
            if headers["Request-Id"] in asked:
                return full(headers)
            asked.add(headers["Request-Id"])
            return self.paused(2.5)(headers)

        def fails_first(headers):
            if headers["Request-Id"] in asked:
                return signed(headers, iter([events(1, 5)]))
            asked.add(headers["Request-Id"])
            return HTTPResponse(body=b"x")

        self.answer_first_with(paused, paused)
        calls = [
            gevent.spawn(self.call, self.node, "/chat/x", f"p{number}", Deadline_Ms="6000")
            for number in range(10)
        ]
        gevent.sleep(1.5)
        self.answer_first_with(fails_first, fails_first)
        answer = self.call(self.node, "/chat/x", "c1", Deadline_Ms="3000")
        gevent.joinall(calls)
        self.assertEqual(answer.data, events(1, 5))
        self.assertEqual([call.value.data for call in calls], [events(1, 5)] * 10)


class FailedChecksTest(GatewayCase):
    """Checks of an endpoint that fail although it works on the request."""

    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)
        changed = configuration(2)
        for route in changed["routes"]:
            route |= {"timeoutMs": 20000, "maxAttempts": 1}
        changed["routes"][0]["resumable"] = False
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)

    def check_engines(self) -> None:
        for state in self.engine_states():
            self.node._services.exchange._services.on_silent(state)

    def engine_states(self):
        return self.node._view.book.of_service("llm")

    def test_booking_at_work_is_waited_for(self) -> None:
        """Guards against 502 for a booking that its worker, slow to accept connects, makes."""

        def books(headers):
            gevent.sleep(3.5)
            return HTTPResponse(headers=head(headers), body=b"booked")

        for desk in self.desks:
            desk.behave = books
        with connects_fail(TIMED_OUT):
            answer = self.call(self.node, "/book/x", "b1", b"{}", Deadline_Ms="5000")
        self.assertEqual(answer.data, b"booked")

    def test_data_that_wait_for_a_slow_caller_are_passed_on(self) -> None:
        """Guards against counting the time in which the caller does not read as silence."""

        def stream(headers):
            def body():
                for number in range(1, 3001):
                    yield b"id: %d\ndata: %b\n\n" % (number, b"p" * 1200)
                    gevent.sleep(0.0005)

            return signed(headers, body())

        for engine in self.engines:
            engine.behave = stream
        caller = self.connect_slow_caller()
        got = caller.recv(1000)
        with connects_fail(REFUSED):
            self.check_engines()
            gevent.sleep(4.5)
            caller.settimeout(6.0)
            with suppress(OSError):
                while not got.endswith(b"0\r\n\r\n") and (data := caller.recv(65536)):
                    got = got[-100:] + data
        self.assertTrue(got.endswith(b"0\r\n\r\n"), got[-60:])

    def connect_slow_caller(self) -> gevent.socket.socket:
        """Returns a connection on which a stream was asked for and that takes little unread."""
        host, _, port = self.node._options.caller_listen.rpartition(":")
        caller = gevent.socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((host, int(port)))
        caller.sendall(
            b"POST /chat/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
            b"Authorization: Token key-school\r\nDeadline-Ms: 15000\r\nModel: m\r\n"
            b"Token-Usage: 100,5\r\nPrompt-Prefix: aa:60,bb:40\r\nContent-Length: 0\r\n\r\n"
        )
        return caller

    def test_checks_before_the_silence_do_not_count(self) -> None:
        """Guards against an endpoint that pauses, so is not checked, and is given up for that."""

        def stream(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(LONG_PAUSE_S)
                yield events(3, 5)

            return signed(headers, body())

        for engine in self.engines:
            engine.behave = stream
        with connects_fail(REFUSED) as connect_error:
            self.check_engines()
            self.eventually(
                lambda: all(len(one.failed_checks) >= 2 for one in self.engine_states())
            )
            connect_error.return_value = None
            call = gevent.spawn(self.call, self.node, "/chat/x", "r1", Deadline_Ms="6000")
            gevent.sleep(0.05)
            for state in self.engine_states():
                state.paused_until = time.monotonic() + 5.0
            call.join()
        self.assertEqual(call.value and call.value.data, events(1, 5))


class StoppedRefusalTest(GatewayCase):
    """An endpoint that refuses, and whose refusal stops inside its body."""

    def setUp(self) -> None:
        super().setUp()
        node = self.start_node()
        self.wait_ready(node)
        changed = configuration(2)
        changed["routes"][2] |= {"timeoutMs": 6000, "maxAttempts": 1}
        self.store.put("keyed.op", "config", changed)
        server = StreamServer(("127.0.0.1", 0), self._refuse, spawn=Pool())
        server.start()
        self.addCleanup(server.stop, 0)
        address = f"127.0.0.1:{server.server_port}"
        for desk in self.desks:
            entry = desk.entry() | {"address": address, "sequence": 9}
            self.store.put("keyed.servers", desk.id, entry)
        states = node._view.book.of_service("desk")
        self.eventually(lambda: all(one.address == address for one in states))
        self.eventually(lambda: node._view.configuration.version == 2)
        self.node = node

    def _refuse(self, sock, _address) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            if not (piece := sock.recv(65536)):
                return
            data += piece
        request_id = data.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
        start = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: "
        start += request_id + b"\r\nTransfer-Encoding: chunked\r\nX: "
        # The head fills the reader's buffer, so that the size line is left in the socket.
        start += b"x" * (8192 - 1 - 4 - len(start)) + b"\r\n\r\n"
        sock.sendall(start + b"1000")
        gevent.sleep(9.0)

    def test_its_request_is_answered_at_once(self) -> None:
        """Guards against a caller that is held beyond its deadline by the rest of a refusal."""
        began = time.monotonic()
        answer = self.call(self.node, "/look/x", "r1", Deadline_Ms="1000")
        self.assertEqual(answer.status, 503)
        self.assertLess(time.monotonic() - began, 2.0)


class DeadOtherEndpointTest(GatewayCase):
    """Replays an engine that ends, without a word, after a request was sent to it as well."""

    def setUp(self) -> None:
        super().setUp()
        self.http = urllib3.PoolManager(retries=False, timeout=9.0)
        third = FakeWorker("e3", "llm", "m")
        self.addCleanup(third.stop)
        self.store.put("keyed.servers", third.id, third.entry())
        self.engines.append(third)
        self.node = self.start_node()
        self.wait_ready(self.node, 3)
        changed = configuration(2)
        changed["routes"][0] |= {"timeoutMs": 8000, "maxAttempts": 3}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        self.asked: list[str] = []

    def ask(self, first, begins_head: bool = False) -> float:
        """Sends a request whose first engine answers ``first`` and whose second one has ended.

        :param begins_head: the second one has sent the head of its answer before.
        :return: time until the whole answer had come, seconds.
        """

        def part():
            yield b"id: 3\n"
            gevent.sleep(9.0)

        def behave(engine: FakeWorker, headers: dict[str, str]):
            self.asked.append(engine.id)
            if len(self.asked) == 1:
                return first(headers)
            if len(self.asked) == 2 and begins_head:
                return signed(headers, part())
            if len(self.asked) == 2:
                gevent.sleep(9.0)
            return signed(headers, iter([events(3, 5)]))

        for engine in self.engines:
            engine.behave = lambda headers, engine=engine: behave(engine, headers)
        with mock.patch.object(endpoint_check, "_connect_error", self._connect_error):
            began = time.monotonic()
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="7000")
            took_s = time.monotonic() - began
        self.assertEqual(answer.data, events(1, 5))
        return took_s

    def _connect_error(self, address: str) -> OSError | None:
        dead = self.asked[1] if len(self.asked) > 1 else ""
        is_dead = any(engine.address == address for engine in self.engines if engine.id == dead)
        return TIMED_OUT if is_dead else None

    def test_it_is_not_waited_for_after_the_first_one_has_broken_off(self) -> None:
        """Guards against a caller that waits for a dead endpoint while a third one is idle."""

        def breaks_off(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(SILENT_GAP_S + 0.4)

            fields = {**head(headers), "Content-Length": "9999", "Connection": "close"}
            return HTTPResponse(body=body(), headers=fields)

        self.assertLess(self.ask(breaks_off), 4.5)

    def test_it_does_not_keep_a_third_one_from_being_asked(self) -> None:
        """Guards against a silent endpoint beside which only one other, dead, is ever asked."""

        def hangs(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(9.0)

            return signed(headers, body())

        self.assertLess(self.ask(hangs, begins_head=True), 4.5)


class LoadOrderTest(GatewayCase):
    """Replays weights that are named while a stream runs, at engines that may break it off."""

    EVENTS = 20
    EVENT_S = 0.25

    def setUp(self) -> None:
        super().setUp()
        changed = configuration()
        changed["routes"][0] |= {"timeoutMs": 8000}
        self.store.put("keyed.op", "config", changed)
        self.running = ""
        self.strategies: list[str] = []
        for engine in self.engines:
            engine.behave = lambda headers, engine=engine: self._stream(engine, headers)
            engine.note_order = lambda order, engine=engine: self._ordered(engine, order)

    def _stream(self, engine: FakeWorker, headers: dict[str, str]) -> HTTPResponse:
        self.running = engine.id
        after = int(headers.get("Last-Event-Id") or 0)

        def body():
            for number in range(after + 1, self.EVENTS + 1):
                gevent.sleep(self.EVENT_S)
                if self.running != engine.id:
                    return
                yield events(number, number)
            self.running = ""

        fields = {**head(headers), "Connection": "close"}
        size = len(events(after + 1, self.EVENTS))
        return HTTPResponse(body=body(), headers={**fields, "Content-Length": str(size)})

    def _ordered(self, engine: FakeWorker, order: dict) -> None:
        if self.running != engine.id:
            return
        self.strategies.append(order["strategy"])
        if order["strategy"] == "truncate":
            self.running = ""

    def name_weights_while_a_stream_runs_at(self, node: GatewayNode) -> bytes:
        """Returns the whole answer."""
        call = gevent.spawn(self.call, node, "/chat/x", "r1", Deadline_Ms="7500")
        self.eventually(lambda: self.running)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        return call.get().data

    def test_stream_is_broken_off_if_it_can_go_on_elsewhere(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        answer = self.name_weights_while_a_stream_runs_at(node)
        self.assertEqual((answer, self.strategies), (events(1, self.EVENTS), ["truncate"]))

    def test_stream_ends_first_where_the_budget_of_repeats_is_used(self) -> None:
        """Guards against an order that breaks off an answer which no repeat can finish."""
        node = self.start_node()
        self.wait_ready(node)
        use_up(node)
        answer = self.name_weights_while_a_stream_runs_at(node)
        self.assertEqual((answer, self.strategies), (events(1, self.EVENTS), ["queue"]))

    def test_stream_ends_first_where_the_budget_of_another_node_is_used(self) -> None:
        """Guards against an order by a node with a budget, for a stream of one without."""
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
            self.eventually(lambda node=node: len(node._gossip.present) == 1)
        orderer, other = sorted(nodes, key=lambda node: node._gossip.rank(LOADS_DUTY))
        use_up(other)
        answer = self.name_weights_while_a_stream_runs_at(other)
        self.assertTrue(orderer._services.state.repeats.take("llm"))
        self.assertEqual((answer, self.strategies), (events(1, self.EVENTS), ["queue"]))


class SilentEngineTest(GatewayCase):
    """Replays requests that wait longer for one engine than another one takes to answer them."""

    REQUESTS = 5
    #: Requests before, so that half of the repeat budget has room for all of the burst.
    EARLIER = 50
    LATE_S = FIRST_BYTE_S + 1.0

    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)
        changed = configuration(2)
        changed["routes"][0] |= {"timeoutMs": 6000}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        for _ in range(self.EARLIER):
            self.node._services.exchange._services.repeats.requested("llm")

    def send_to_first_engine(self, running) -> None:
        """Sends requests that get no head in time beside one that runs there.

        :param running: behaviour of the engine towards the request that runs.
        """

        def late(headers):
            if headers["Request-Id"] == "running":
                return running(headers)
            gevent.sleep(self.LATE_S)
            return None

        self.engines[0].behave = late
        first, second = (self.node._view.book.get(engine.id) for engine in self.engines)
        second.prompt_tokens += 1e5
        calls = [gevent.spawn(self.ask, "running")]
        self.eventually(lambda: first.running == 1)
        gevent.sleep(0.3)
        calls += [gevent.spawn(self.ask, f"r{number}") for number in range(self.REQUESTS)]
        self.eventually(lambda: first.running == self.REQUESTS + 1)
        second.prompt_tokens -= 1e5
        gevent.joinall(calls[1:], raise_error=True)
        self.assertEqual(sorted(self.engines[1].ran)[: self.REQUESTS], self.names())

    def names(self) -> list[str]:
        return [f"r{number}" for number in range(self.REQUESTS)]

    def ask(self, request_id: str) -> None:
        answer = self.call(self.node, "/chat/x", request_id, Deadline_Ms="5000")
        self.assertEqual(answer.status, 200)

    def usable(self) -> list[str]:
        return sorted(state.id for state in self.node._view.book.usable("llm"))

    def test_engine_that_is_behind_goes_on_to_be_chosen(self) -> None:
        """Replays a burst that an engine takes up late while what runs there goes on.

        Guards against a burst that takes engines away from those that follow, which makes the rest
        late as well.
        """

        self.send_to_first_engine(goes_on)
        self.assertEqual(self.usable(), ["e1", "e2"])

    def test_engine_at_work_at_the_callers_deadlines_goes_on_to_be_chosen(self) -> None:
        """Replays long answers with short deadlines: each stream goes on when its time is over."""

        for engine in self.engines:
            engine.behave = goes_on
        calls = [gevent.spawn(self.ask_briefly, f"r{number}") for number in range(10)]
        gevent.joinall(calls, raise_error=True)
        self.assertEqual(self.usable(), ["e1", "e2"])
        failures = [state.failures for state in self.node._view.book.of_service("llm")]
        self.assertEqual(failures, [0.0, 0.0])

    def ask_briefly(self, request_id: str) -> None:
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.call(self.node, "/chat/x", request_id, Deadline_Ms="1000")

    def test_engine_that_hangs_is_avoided(self) -> None:
        """Guards against callers that are sent to an engine which stopped in the middle."""

        def hangs(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(9.0)

            return signed(headers, body())

        self.send_to_first_engine(hangs)
        self.assertEqual(self.usable(), ["e2"])


def connects_fail(error: OSError):
    """Makes all checks of endpoints fail."""
    return mock.patch.object(endpoint_check, "_connect_error", return_value=error)


def use_up(node: GatewayNode) -> None:
    """Uses up a node's budget of repeats at the engines."""
    while node._services.state.repeats.take("llm"):
        pass


def goes_on(headers: dict[str, str]) -> HTTPResponse:
    """Answers a stream of three seconds without a pause."""

    def body():
        for number in range(1, 31):
            gevent.sleep(0.1)
            yield events(number, number)

    return signed(headers, body())


def head(headers: dict[str, str]) -> dict[str, str]:
    return {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}


def signed(headers: dict[str, str], body) -> HTTPResponse:
    return HTTPResponse(body=body, headers=head(headers))


def full(headers: dict[str, str]) -> HTTPResponse:
    return HTTPResponse(status=503, headers={**head(headers), "Not-Executed": "1"})
