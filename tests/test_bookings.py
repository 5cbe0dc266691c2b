"""Bookings: each key runs at most once, and an answer "not run" is true."""

import unittest
import uuid
from random import Random
from unittest.mock import patch

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from arbutustally.bookings import check_window, key_time_s
from arbutustally.clock import VirtualClock
from arbutustally.errors import (
    EndpointFailedError,
    IdempotencyKeyRequiredError,
    KeyExpiredError,
    KeyReusedError,
    LogUnavailableError,
    NoEndpointError,
    OutcomeUnknownError,
    Ran,
    RouterError,
)
from arbutustally_node import booking_service, log_batcher
from arbutustally_node.booking_service import BookingService
from arbutustally_node.calls import PlainCall
from tests.fake_booking_log import LogService, PlatformLog
from tests.fakes import Endpoint, FakeMembership, node_kernel, node_options

NOW_S = 1_800_000_000.0
SHORT_TIMEOUTS = (
    patch.object(booking_service, "CLAIM_WAIT_S", 0.05),
    patch.object(booking_service, "OUTCOME_WAIT_S", 0.05),
    patch.object(booking_service, "OUTCOME_READ_S", 0.02),
    patch.object(log_batcher, "MIN_INTERVAL_S", 0.0005),
    patch.object(log_batcher, "MAX_INTERVAL_S", 0.002),
    patch.object(log_batcher, "RETRY_DELAY_S", 0.002),
)


def setUpModule() -> None:  # noqa: N802
    for item in SHORT_TIMEOUTS:
        item.start()


def tearDownModule() -> None:  # noqa: N802
    for item in SHORT_TIMEOUTS:
        item.stop()


def uuid7(time_s: float, number: int = 0) -> str:
    value = (int(time_s * 1000) << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


class Worker:
    """A booking worker that counts the runs of each key.

    :ivar fault: ``lost`` closes after the run, ``crossed`` responds with another request's id,
        ``late`` responds after 0.1 s, ``busy`` responds with status 503.
    """

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}
        self.request_ids: set[str] = set()
        self.fault = ""
        self.server = StreamServer(("127.0.0.1", 0), self._serve, spawn=Pool())
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, _address) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(65536)
        lines = data.decode().split("\r\n\r\n")[0].split("\r\n")[1:]
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        key, request_id = headers["idempotency-key"], headers["x-request-id"]
        self.runs[key] = self.runs.get(key, 0) + 1
        self.request_ids.add(request_id)
        fault, self.fault = self.fault, ""
        if fault == "late":
            gevent.sleep(0.1)
        if fault == "crossed":
            request_id = "another"
        if fault != "lost":
            status = 503 if fault == "busy" else 200
            body = f"run {self.runs[key]} of {key}".encode()
            head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n"
            sock.sendall(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        sock.close()


class BookingFleet:
    """Two nodes, one log, one worker and one address without a listener."""

    def __init__(self) -> None:
        self.platform = PlatformLog()
        self.worker = Worker()
        self.clock = VirtualClock()
        self.wall_s = NOW_S
        self.pause_s = 0.0
        self.membership = FakeMembership(
            Endpoint("dead", "127.0.0.1:1", "quotes", running=0),
            Endpoint("w", self.worker.address, "quotes", running=1),
        )
        self.logs = []
        self.nodes = []
        self.services: list[BookingService] = []
        for name in ("n1", "n2"):
            options = node_options(node_id=name, endpoint_read_timeout_s=0.05)
            log = LogService(self.platform, self._pause)
            kernel = node_kernel(self.membership, options, log)
            service = BookingService(kernel, options, self.clock, lambda: self.wall_s, Random(7))
            service.start()
            self.logs.append(log)
            self.nodes.append(kernel)
            self.services.append(service)

    def _pause(self) -> None:
        self.clock.advance(self.pause_s)
        self.pause_s = 0.0

    def reach_worker(self, running: bool) -> None:
        """Makes the worker reachable or not; marks of instances without incarnation expire."""
        address = self.worker.address if running else "127.0.0.1:1"
        self.membership.states["w"].address = address
        self.membership.dead.clear()

    def sync(self) -> None:
        for log in self.logs:
            log.sync()

    def submit(self, node: int, key: str, body: bytes = b"b"):
        explain = self.nodes[node].lookup("explain")
        trace = explain.begin(explain.new_request_id(), "school", "quotes")
        call = PlainCall(
            trace.request_id,
            "school",
            "quotes",
            "quotes",
            "POST",
            "/quotes",
            {},
            body,
            False,
            key,
            trace,
        )
        try:
            return trace.request_id, self.services[node].submit(call)
        except RouterError as error:
            return trace.request_id, error

    def stop(self) -> None:
        for service in self.services:
            service.stop()
        self.worker.server.stop(timeout=0)


class BookingMachine(RuleBasedStateMachine):
    """Callers book at two nodes while log, worker and nodes fail."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = BookingFleet()
        self.results = []
        self.keys = [uuid7(NOW_S, number) for number in range(3)]

    @rule(
        node=st.integers(0, 1),
        key=st.integers(0, 2),
        log_fault=st.sampled_from(("", "", "", "lost_answer", "late", "down")),
        worker_fault=st.sampled_from(("", "", "", "lost", "late", "crossed", "busy")),
        pause_s=st.sampled_from((0.0, 0.0, 0.0, 100.0)),
        both=st.booleans(),
    )
    def book(self, node, key, log_fault, worker_fault, pause_s, both) -> None:
        fleet = self.fleet
        fleet.platform.fault, fleet.worker.fault, fleet.pause_s = log_fault, worker_fault, pause_s
        nodes = (node, 1 - node, node) if both else (node,)
        jobs = [gevent.spawn(fleet.submit, number, self.keys[key]) for number in nodes]
        gevent.joinall(jobs, raise_error=True)
        self.results.extend(job.get() for job in jobs)
        fleet.platform.fault = ""

    @rule(position=st.integers(0, 7))
    def late_record_arrives(self, position: int) -> None:
        self.fleet.platform.deliver(position)
        self.fleet.sync()

    @rule()
    def logs_are_read(self) -> None:
        self.fleet.sync()
        gevent.sleep(0.005)

    @rule(running=st.booleans())
    def worker_is_reachable(self, running: bool) -> None:
        self.fleet.reach_worker(running)

    @rule(seconds=st.sampled_from((10.0, 10.0, 10.0, 4000.0)))
    def time_passes(self, seconds: float) -> None:
        self.fleet.wall_s += seconds

    @invariant()
    def a_key_runs_at_most_once(self) -> None:
        assert all(runs <= 1 for runs in self.fleet.worker.runs.values()), self.fleet.worker.runs

    @invariant()
    def not_run_is_true(self) -> None:
        for request_id, result in self.results:
            if result.ran is Ran.NOT_RUN:
                assert request_id not in self.fleet.worker.request_ids, result

    def teardown(self) -> None:
        while self.fleet.platform.late:
            self.fleet.platform.deliver(0)
        self.fleet.sync()
        gevent.sleep(0.01)
        self.a_key_runs_at_most_once()
        self.not_run_is_true()
        self.fleet.stop()


class BookingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = BookingFleet()
        self.addCleanup(self.fleet.stop)
        self.key = uuid7(NOW_S)

    def test_machine(self) -> None:
        """Guards against second runs and untrue refusals under any mix of faults."""
        run_state_machine_as_test(
            BookingMachine, settings=settings(max_examples=150, stateful_step_count=16)
        )

    def book(self, node: int = 0, **changes):
        return self.fleet.submit(node, self.key, **changes)[1]

    def test_repeated_key_gets_the_recorded_answer_from_any_node(self) -> None:
        first = self.book()
        self.fleet.sync()
        self.assertEqual((first.status, first.ran), (200, Ran.RAN))
        self.assertEqual([self.book(0).body, self.book(1).body], [first.body] * 2)
        self.assertIsInstance(self.book(body=b"other"), KeyReusedError)
        self.assertEqual(self.fleet.worker.runs, {self.key: 1})

    def test_repeated_key_waits_for_an_outcome_that_this_node_has_not_read(self) -> None:
        """Guards against reporting that a booking may have run to a caller who has its response, at
        another node that has read only the claim."""
        first = self.book()
        self.fleet.logs[1].sync(upto=1)
        with patch.object(booking_service, "OUTCOME_READ_S", 10.0):
            again = gevent.spawn(self.book, 1)
            gevent.sleep(0.05)
            self.fleet.sync()
            answer = again.get()
        self.assertEqual((answer.status, answer.body), (first.status, first.body))
        self.assertEqual(self.fleet.worker.runs, {self.key: 1})

    def test_repeated_key_does_not_wait_for_a_log_that_is_down(self) -> None:
        """Guards against a caller who waits for an outcome that cannot come."""
        self.book()
        self.fleet.logs[1].sync(upto=1)
        self.fleet.logs[1].is_reachable = False
        with patch.object(booking_service, "OUTCOME_READ_S", 10.0), gevent.Timeout(5.0):
            self.assertIsInstance(self.book(1), OutcomeUnknownError)

    def test_lost_answer_of_the_worker_is_never_repeated(self) -> None:
        for fault in ("lost", "late", "crossed"):
            with self.subTest(fault):
                self.key = uuid7(NOW_S, hash(fault) & 0xFFFF)
                self.fleet.worker.fault = fault
                self.assertEqual(self.book().ran, Ran.MAY_HAVE_RUN)
                self.fleet.sync()
                again = self.book(1)
                self.assertIsInstance(again, OutcomeUnknownError)
                self.assertEqual(again.ran, Ran.MAY_HAVE_RUN)
        self.assertEqual(set(self.fleet.worker.runs.values()), {1})

    def test_frozen_claimant_gives_up_before_dispatch(self) -> None:
        """Guards against a dispatch long after the claim, when the caller has tried elsewhere."""
        self.fleet.pause_s = 100.0
        refused = self.book()
        self.assertEqual((type(refused), refused.ran), (LogUnavailableError, Ran.NOT_RUN))
        self.assertEqual(self.fleet.worker.runs, {})
        gevent.sleep(0.02)
        self.fleet.sync()
        self.assertEqual(self.book(1).status, 200)

    def test_late_claim_of_a_given_up_attempt_is_released(self) -> None:
        """Guards against a key that stays unknown although its claimant gave up."""
        for fault in ("late", "lost_answer"):
            with self.subTest(fault):
                self.key = uuid7(NOW_S, len(fault))
                self.fleet.platform.fault = fault
                self.assertEqual(self.book().ran, Ran.NOT_RUN)
                self.fleet.platform.fault = ""
                self.fleet.platform.deliver(0)
                self.fleet.sync()
                gevent.sleep(0.02)
                self.fleet.sync()
                self.assertEqual(self.book(1).status, 200)

    def test_unreachable_worker_leaves_the_key_free(self) -> None:
        self.fleet.reach_worker(False)
        refused = self.book()
        self.assertEqual((type(refused), refused.ran), (NoEndpointError, Ran.NOT_RUN))
        self.fleet.reach_worker(True)
        self.fleet.sync()
        self.assertEqual(self.book(1).status, 200)

    def test_answer_reaches_the_caller_while_the_log_is_down(self) -> None:
        """Guards against an answered booking reported as unknown at the node that ran it."""
        original = self.fleet.worker._serve

        def break_log(sock, address):
            self.fleet.platform.fault = "down"
            original(sock, address)

        self.fleet.worker.server.set_handle(break_log)
        self.assertEqual(self.book().status, 200)
        self.assertEqual(self.book().status, 200)
        self.assertIsInstance(self.book(1), (OutcomeUnknownError, LogUnavailableError))
        self.fleet.platform.fault = ""
        gevent.sleep(0.05)
        self.fleet.sync()
        self.assertEqual(self.book(1).status, 200)
        self.assertEqual(self.fleet.worker.runs, {self.key: 1})

    def test_keys_outside_the_window_are_refused(self) -> None:
        """Guards against a key whose claim the log no longer holds."""
        for time_s in (NOW_S - 3601, NOW_S + 301):
            self.key = uuid7(time_s)
            self.assertIsInstance(self.book(), KeyExpiredError)
        for key in ("", "x", str(uuid.UUID(int=4 << 76)), "{" + uuid7(NOW_S) + "}"):
            self.key = key
            self.assertIsInstance(self.book(), IdempotencyKeyRequiredError)
        check_window(key_time_s(uuid7(NOW_S)), NOW_S, 3600.0)

    def test_failed_answer_is_kept_as_may_have_run(self) -> None:
        self.fleet.worker.fault = "busy"
        first = self.book()
        self.assertEqual((first.status, first.ran), (503, Ran.MAY_HAVE_RUN))
        self.fleet.sync()
        self.assertEqual(
            self.book(1), first.__class__(503, {"content-type": ""}, first.body, first.ran)
        )
        self.assertNotIsInstance(first, EndpointFailedError)
