"""Endpoints that can't be connected to, and the requests running there."""

import socket
import time
from contextlib import suppress
from unittest import mock

import gevent
import urllib3
from bottle import HTTPResponse
from gevent.pool import Pool
from gevent.server import StreamServer

from arbutustally_node.gateway import endpoint_check
from arbutustally_node.gateway.stream_relay import SILENT_GAP_S
from tests.engine_answers import (
    LONG_PAUSE_S,
    REFUSED,
    TIMED_OUT,
    connects_fail,
    events,
    head,
    signed,
)
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeWorker


class FailedChecksTest(GatewayCase):
    """Checks of an endpoint that fail although it is running the request."""

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
        """Guards against 502 for a booking in progress at a worker that accepts connects slowly."""

        def books(headers):
            gevent.sleep(3.5)
            return HTTPResponse(headers=head(headers), body=b"booked")

        for desk in self.desks:
            desk.behave = books
        with connects_fail(TIMED_OUT):
            answer = self.call(self.node, "/book/x", "b1", b"{}", Deadline_Ms="5000")
        self.assertEqual(answer.data, b"booked")

    def test_data_that_wait_for_a_slow_caller_are_passed_on(self) -> None:
        """Guards against counting time in which the caller does not read as endpoint silence."""

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
        """Requests a stream; returns its connection, which has a small receive buffer."""
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
        """Guards against abandoning a paused endpoint, which is not checked, for older failures."""

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
    """An endpoint that refuses a request and stops within the body of the refusal."""

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
        # The head fills the reader's buffer, so that the chunk size line remains in the socket.
        start += b"x" * (8192 - 1 - 4 - len(start)) + b"\r\n\r\n"
        sock.sendall(start + b"1000")
        gevent.sleep(9.0)

    def test_its_request_is_answered_at_once(self) -> None:
        """Guards against blocking a caller beyond its deadline while the refusal is read."""
        began = time.monotonic()
        answer = self.call(self.node, "/look/x", "r1", Deadline_Ms="1000")
        self.assertEqual(answer.status, 503)
        self.assertLess(time.monotonic() - began, 2.0)


class DeadOtherEndpointTest(GatewayCase):
    """Replays an engine that dies silently after a hedge was sent to it."""

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
        """Sends a request whose first engine answers ``first`` and whose second one dies.

        :param begins_head: whether the second one sends a response head before.
        :return: time until the complete response had arrived, seconds.
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
        """Guards against a dead endpoint's hedge that keeps a third endpoint from being used."""

        def hangs(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(9.0)

            return signed(headers, body())

        self.assertLess(self.ask(hangs, begins_head=True), 4.5)
