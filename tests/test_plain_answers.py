"""Answers of plain services that may be cut or belong to another call are not passed on."""

import unittest
from random import Random

from arbutustally.clock import monotonic
from arbutustally.errors import EndpointFailedError, Ran, RouterError
from arbutustally_node.booking_service import BookingService
from arbutustally_node.calls import PlainCall, PlainResponse
from tests.fake_booking_log import LogService, PlatformLog
from tests.fakes import Endpoint, FakeMembership, node_kernel, node_options
from tests.raw_worker import Close, RawRequest, RawWorker
from tests.test_bookings import NOW_S, uuid7

BODY = b"0123456789"


def head(request: RawRequest, *fields: str, is_named: bool = True) -> bytes:
    """Returns the head of a success."""
    name = [f"X-Request-Id: {request.headers['x-request-id']}"] if is_named else []
    return "\r\n".join(["HTTP/1.1 200 OK", *name, *fields]).encode() + b"\r\n\r\n"


def sized(request: RawRequest, body: bytes = BODY, is_named: bool = True) -> bytes:
    """Returns a complete answer with a length."""
    return head(request, f"Content-Length: {len(body)}", is_named=is_named) + body


class PlainAnswerCase(unittest.TestCase):
    """Starts one node's path of plain calls and one scripted service."""

    def setUp(self) -> None:
        self.worker = RawWorker(lambda request: self.answer(request))
        self.addCleanup(self.worker.stop)
        membership = FakeMembership(Endpoint("w", self.worker.address, "quotes"))
        options = node_options(endpoint_read_timeout_s=2.0)
        log = LogService(PlatformLog(), lambda: None)
        self.kernel = node_kernel(membership, options, log)
        self.service = BookingService(self.kernel, options, monotonic, lambda: NOW_S, Random(7))
        self.service.start()
        self.addCleanup(self.service.stop)

    def answer(self, request: RawRequest):
        """Yields the steps of the service's answer."""
        raise NotImplementedError

    def call(self, key: str = "") -> PlainResponse | RouterError:
        """Sends a booking if a key is given, otherwise a call that may be repeated."""
        explain = self.kernel.lookup("explain")
        trace = explain.begin(explain.new_request_id(), "school", "quotes")
        call = PlainCall(
            request_id=trace.request_id,
            account="school",
            route="quotes",
            service="quotes",
            method="POST" if key else "GET",
            path="/quotes",
            headers={},
            body=b"",
            idempotent=not key,
            idempotency_key=key,
            trace=trace,
        )
        try:
            return self.service.submit(call)
        except RouterError as error:
            return error


class CutAnswerTest(PlainAnswerCase):
    def answer(self, request: RawRequest):
        yield head(request) + BODY[:4]
        yield Close.ORDERLY

    def test_booking_answer_without_a_marked_end_is_not_recorded(self) -> None:
        """Guards against a cut answer that the log repeats to callers as the complete one."""
        key = uuid7(NOW_S)
        for _ in range(2):
            answer = self.call(key)
            self.assertIsInstance(answer, RouterError)
            self.assertIs(answer.ran, Ran.MAY_HAVE_RUN)
        self.assertEqual(len(self.worker.seen), 1)

    def test_answer_without_a_marked_end_is_not_passed_on(self) -> None:
        """Guards against a cut answer that gets a length from the node."""
        self.assertIsInstance(self.call(), EndpointFailedError)


class LateCopyTest(PlainAnswerCase):
    """The service writes a second copy of its first answer in place of the next answer."""

    is_named = True

    def answer(self, request: RawRequest):
        if request.on_connection == 0:
            yield sized(request, b"first", self.is_named)
        elif request.target == "/quotes":
            yield sized(request, b"copy of the first", is_named=False)

    def test_answer_without_an_id_on_a_kept_connection_is_refused(self) -> None:
        """Guards against the answer of an earlier call."""
        self.assertEqual(self.call().body, b"first")
        self.assertIsInstance(self.call(), EndpointFailedError)
        self.assertEqual([one.on_connection for one in self.worker.seen], [0, 1])

    def test_connection_of_a_service_without_ids_is_not_kept(self) -> None:
        """Guards against refusing a service that never returns ids."""
        self.is_named = False
        for _ in range(3):
            self.assertEqual(self.call().body, b"first")
        self.assertEqual([one.on_connection for one in self.worker.seen], [0, 0, 0])
