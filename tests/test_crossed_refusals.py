"""Refusals of engines are not taken for those of later requests."""

import json
import unittest
from collections.abc import Iterator

import urllib3

from tests.fakes import Endpoint, FakeMembership, node_kernel, node_options
from tests.raw_worker import RawRequest, RawWorker
from tests.test_early_stream_ends import USAGE, event

REFUSAL = b'{"error":{"code":"prompt_too_long"}}'


def refuse(*fields: str) -> bytes:
    """Returns a complete refusal."""
    lines = ["HTTP/1.1 400 Bad Request", f"Content-Length: {len(REFUSAL)}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + REFUSAL


def complete(request: RawRequest) -> bytes:
    """Returns a complete stream of one token."""
    data = event(0, "stop", USAGE).replace(b'"r1"', json.dumps(_id(request)).encode())
    body = b"data: " + data + b"\n\ndata: [DONE]\n\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def _id(request: RawRequest) -> str:
    return request.headers["x-request-id"]


class CrossedRefusalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = RawWorker(lambda request: self.answer(request))
        self.addCleanup(self.engine.stop)
        membership = FakeMembership(Endpoint("e1", self.engine.address))
        kernel = node_kernel(membership, node_options(caller_listen="127.0.0.1:0"))
        kernel.start()
        self.addCleanup(kernel.stop)
        self.url = f"http://{kernel.lookup('caller_http').address}/v1/completions"
        self.copy = refuse()
        self.is_bad = True
        self.is_crossed = False

    def answer(self, request: RawRequest) -> Iterator[bytes]:
        """Writes a copy of its first refusal in place of the next answer on a connection."""
        if request.on_connection > 0 or self.is_crossed:
            yield self.copy
        elif self.is_bad:
            yield refuse()
        else:
            yield complete(request)

    def ask(self) -> int:
        """Returns the status of a request."""
        fields = {"model": "marelle", "prompt": "p", "max_tokens": 1}
        headers = {"Authorization": "Bearer key-of-school"}
        return urllib3.request("POST", self.url, json=fields, headers=headers, retries=False).status

    def test_copy_of_a_refusal_does_not_refuse_another_request(self) -> None:
        """Guards against telling a caller to correct a request that an engine runs."""
        for name, copy in {"no id": refuse(), "other id": refuse("X-Request-Id: r0")}.items():
            with self.subTest(copy=name):
                self.copy, self.is_bad = copy, True
                self.assertEqual(self.ask(), 400)
                self.is_bad = False
                self.assertEqual(self.ask(), 200)

    def test_refusal_of_another_request_on_a_new_connection_is_not_passed_on(self) -> None:
        self.copy, self.is_crossed = refuse("X-Request-Id: r0"), True
        self.assertEqual(self.ask(), 502)

    def test_refusal_without_an_id_is_passed_on(self) -> None:
        for _ in range(3):
            self.assertEqual(self.ask(), 400)

    def test_refusals_without_an_id_are_not_asked_for_twice(self) -> None:
        """Guards against more load on an engine that refuses because of its load."""
        for _ in range(4):
            self.assertEqual(self.ask(), 400)
        self.assertEqual(len(self.engine.seen), 4)

    def test_refusal_behind_an_answer_does_not_refuse_another_request(self) -> None:
        """Guards against the same where the connection was kept after an answer."""
        for name, copy in {"no id": refuse(), "other id": refuse("X-Request-Id: r0")}.items():
            with self.subTest(copy=name):
                self.copy, self.is_bad = copy, False
                self.engine.seen.clear()
                self.assertEqual([self.ask() for _ in range(3)], [200] * 3)
                self.assertIn(1, [request.on_connection for request in self.engine.seen])
