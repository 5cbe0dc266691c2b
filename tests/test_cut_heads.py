"""Response heads that end or are spoiled before their empty line are no answers."""

import unittest
from contextlib import nullcontext

from arbutustally.gateway.attempts import Outcome
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.transport import AttemptResult, Transport
from arbutustally_node.pool import PoolService
from arbutustally_platform.headers import PlatformCodec
from tests.raw_worker import Close, RawWorker

BODY = b"0123456789"
SIGNED = (b"Request-Id: r1", b"Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1")
LENGTH = b"Content-Length: 10"
CHUNKED = b"Transfer-Encoding: chunked"
ANSWERS = {
    "length": (b"HTTP/1.1 200 OK", (*SIGNED, LENGTH), BODY),
    "length first": (b"HTTP/1.1 200 OK", (LENGTH, *SIGNED), BODY),
    "chunked": (b"HTTP/1.1 200 OK", (*SIGNED, CHUNKED), b"a\r\n" + BODY + b"\r\n0\r\n\r\n"),
    "refusal": (b"HTTP/1.1 503 Busy", (b"Not-Executed: 1", SIGNED[0], LENGTH), BODY),
    "mismatch": (b"HTTP/1.1 421 Misdirected", (SIGNED[0], LENGTH), BODY),
    "failure": (b"HTTP/1.1 500 Error", (*SIGNED, LENGTH), BODY),
}


def request(request_id: str = "r1") -> CallerRequest:
    """Returns a request of a caller."""
    return CallerRequest(
        request_id=request_id,
        method="GET",
        target="/x",
        host="h.example",
        headers=(("request-id", request_id),),
        body=b"",
        key="",
        time_left_s=None,
        model="",
        prompt_tokens=None,
        output_tokens=0,
        parts=(),
        resume_from="",
        arrived_at=0.0,
    )


def endpoint(worker: RawWorker) -> EndpointState:
    """Returns the state of a worker's endpoint."""
    entry = EndpointEntry(
        id=worker.id,
        service=worker.service,
        address=worker.address,
        zone="z1",
        slots=4,
        is_leaving=False,
        weights={},
        incarnation="1",
        release="v1",
    )
    return EndpointState(entry)


class TransportCase(unittest.TestCase):
    """Sends attempts to a scripted worker."""

    def setUp(self) -> None:
        self.answer: list[bytes | Close | float] = []
        self.worker = RawWorker(lambda _asked: iter(self.answer))
        self.addCleanup(self.worker.stop)
        codec = PlatformCodec()
        self.pool = PoolService(1.0, 2.0, id_header=codec.id_header)
        self.addCleanup(self.pool.stop)
        self.transport = Transport(self.pool, codec)
        self.state = endpoint(self.worker)

    def send(self, *answer: bytes | Close | float, request_id: str = "r1") -> AttemptResult:
        """Returns the result of an attempt, with the body of an answer read."""
        self.answer = list(answer)
        terms = AttemptTerms(endpoint_id=self.worker.id, account="", left_s=2.0)
        result = self.transport.send(request(request_id), self.state, terms, nullcontext())
        if result.response is not None:
            result = self.transport.read_whole(result, 2.0, nullcontext)
        return result


class CutHeadTest(TransportCase):
    def test_head_cut_at_any_byte_is_no_answer(self) -> None:
        """Guards against an empty success, a cut signature, and a refusal that nobody made."""
        for name, (status, headers, _body) in ANSWERS.items():
            head = b"\r\n".join((status, *headers)) + b"\r\n\r\n"
            for how in Close:
                for size in range(len(head)):
                    with self.subTest(answer=name, how=how, size=size):
                        result = self.send(head[:size], how)
                        self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)

    def test_body_cut_at_any_byte_is_no_answer(self) -> None:
        """Guards against an answer that looks complete."""
        for name, (status, headers, body) in ANSWERS.items():
            if name in ("refusal", "mismatch"):
                continue
            head = b"\r\n".join((status, *headers)) + b"\r\n\r\n"
            for how in Close:
                for size in range(len(body)):
                    with self.subTest(answer=name, how=how, size=size):
                        result = self.send(head + body[:size], how)
                        self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)

    def test_whole_answers_are_answers(self) -> None:
        """Shows that the tests above cut answers that would count."""
        expected = {
            "refusal": Outcome.NOT_RUN,
            "mismatch": Outcome.NOT_RUN,
            "failure": Outcome.FAILED,
        }
        for name, (status, headers, body) in ANSWERS.items():
            with self.subTest(answer=name):
                head = b"\r\n".join((status, *headers)) + b"\r\n\r\n"
                result = self.send(head + body, Close.ORDERLY)
                self.assertIs(result.outcome, expected.get(name, Outcome.ANSWERED))


class SpoiledHeadTest(TransportCase):
    def test_spoiled_head_is_no_answer(self) -> None:
        """Guards against headers, also of the framing, that a malformed line hides."""
        spoiled = {
            "line without a colon": (*SIGNED, b"garbage", LENGTH),
            "control bytes": (*SIGNED, b"\x00\x01\x02", LENGTH),
            "space before the colon": (*SIGNED, b"Content-Length : 10"),
            "continued line": (*SIGNED, b"X: 1", b" 2", LENGTH),
            "second status line": (*SIGNED, b"HTTP/1.1 200 OK", LENGTH),
            "length with letters": (*SIGNED, b"Content-Length: 1x"),
            "negative length": (*SIGNED, b"Content-Length: -1"),
            "signed length": (*SIGNED, b"Content-Length: +10"),
            "two lengths": (*SIGNED, LENGTH, b"Content-Length: 5"),
            "length and chunks": (*SIGNED, LENGTH, CHUNKED),
            "other coding": (*SIGNED, b"Transfer-Encoding: gzip"),
            "two codings": (*SIGNED, b"Transfer-Encoding: gzip, chunked"),
            "two ids": (*SIGNED, b"Request-Id: r2", LENGTH),
            "two signatures": (*SIGNED, b"Server-Stamp: other", LENGTH),
        }
        for name, headers in spoiled.items():
            with self.subTest(head=name):
                head = b"\r\n".join((b"HTTP/1.1 200 OK", *headers)) + b"\r\n\r\n"
                result = self.send(head + BODY, Close.ORDERLY)
                self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)


class NoAnswerTest(TransportCase):
    def test_bytes_that_are_no_answer_are_no_answer(self) -> None:
        """Guards against an error of the program for a malformed status line."""
        spoiled = (
            b"garbage",
            b"\r\n",
            b"HTTP/1.1",
            b"HTTP/1.1 OK 200",
            b"HTTP/1.1 99 Low",
            b"HTTP/1.1 2000 High",
            b"HTTP/3.0 200 OK",
            b"ICY 200 OK",
            b"x" * 70_000,
        )
        for line in spoiled:
            for how in Close:
                with self.subTest(line=line[:20], how=how):
                    result = self.send(line + b"\r\nContent-Length: 0\r\n\r\n", how)
                    self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)


class ResetAfterHeadTest(TransportCase):
    def test_body_without_a_length_that_is_reset_at_once_is_no_answer(self) -> None:
        """Guards against an empty success: after a reset, the socket reads as if it had ended."""
        head = b"\r\n".join((b"HTTP/1.1 200 OK", *SIGNED)) + b"\r\n\r\n"
        for _ in range(20):
            result = self.send(head, Close.RESET)
            self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)
