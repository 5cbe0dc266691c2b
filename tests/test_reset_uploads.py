"""Answers that a worker gives before it has read an upload, and whose connection it then resets.

The uploads are larger than the kernel's buffers, so the node is still writing at the reset. Its
failed write takes the error of the socket, and later reads see an orderly end.
"""

import unittest
from collections.abc import Iterator

import gevent
from urllib3.exceptions import HTTPError

from arbutustally.bounded_head import bounded_pools
from arbutustally.errors import EndpointFailedError
from arbutustally.gateway.attempts import MAX_SENDS
from arbutustally_node.bounded_call import CallTarget
from arbutustally_node.pool import PoolService
from arbutustally_node.pooled_response import PooledResponse
from tests.engine_answers import events
from tests.raw_gateway import Answer, End, RawGatewayCase, Received
from tests.raw_worker import Close, RawRequest, RawWorker
from tests.test_unframed_answers import chunked, unframed

UPLOAD = b"u" * (6 << 20)
#: Bytes of the upload that the workers read, and pauses before they reset, seconds.
READS = (0, 4096, 200_000)
PAUSES_S = (0.0, 0.1)
PART = b"p" * 700


def early(
    request: RawRequest, status: str, framing: str, body: bytes, pause_s: float, how: Close
) -> Iterator[bytes | Close | float]:
    """Answers with a complete or cut body, and ends the connection after a pause.

    :param framing: header lines that tell the end of the body.
    """
    head = f"HTTP/1.1 {status}\r\nRequest-Id: {request.id}\r\nServer-Stamp: s\r\n{framing}\r\n"
    yield head.encode() + body
    yield pause_s
    yield how


class ResetUploadTest(RawGatewayCase):
    """Guards against a part of an answer that its caller gets as a whole one."""

    body_read = 0
    max_body_bytes = 2 * len(UPLOAD)

    def upload(self, path: str, *answers: Answer, body_read: int = 0) -> Received:
        """Uploads a body of which the workers read a part; the attempts get an answer each."""
        for worker in self.workers:
            worker.body_read = body_read
        return self.ask(path, *answers, body=UPLOAD)

    def assert_each(self, check, *framings: str) -> None:
        """Runs a check for all framings, bytes read and pauses."""
        for framing in framings:
            for body_read in READS:
                for pause_s in PAUSES_S:
                    with self.subTest(framing=framing, body_read=body_read, pause_s=pause_s):
                        check(framing, body_read, pause_s)

    def test_cut_answer_without_a_length_is_not_delivered(self) -> None:
        def check(framing: str, body_read: int, pause_s: float) -> None:
            found = self.upload(
                "/book/x",
                lambda asked: early(asked, "200 OK", framing, PART, pause_s, Close.RESET),
                body_read=body_read,
            )
            self.assertEqual(found.status, 502)
            self.assertEqual(len(self.asked), 1)

        self.assert_each(check, "", "Connection: close\r\n")

    def test_answer_without_a_length_is_not_delivered_if_it_is_closed_over_unread_bytes(self):
        """The kernel resets a connection that is closed while bytes of the upload are unread."""
        found = self.upload(
            "/book/x", lambda asked: early(asked, "200 OK", "", PART, 0.1, Close.UNREAD)
        )
        self.assertEqual(found.status, 502)

    def test_whole_early_answer_with_a_marked_end_is_delivered(self) -> None:
        """Guards against refusals that callers never see since they were still sending."""

        def check(framing: str, body_read: int, pause_s: float) -> None:
            body = PART if "Length" in framing else b"2bc\r\n%b\r\n0\r\n\r\n" % PART
            found = self.upload(
                "/book/x",
                lambda asked: early(asked, "413 Too Large", framing, body, pause_s, Close.RESET),
                body_read=body_read,
            )
            self.assertEqual((found.status, found.body), (413, PART))

        length = f"Content-Length: {len(PART)}\r\n"
        self.assert_each(check, length, length + "Connection: close\r\n")
        self.assert_each(check, "Transfer-Encoding: chunked\r\n")

    def test_cut_answer_with_a_marked_end_is_not_delivered(self) -> None:
        def check(framing: str, body_read: int, pause_s: float) -> None:
            body = PART if "Length" in framing else b"2bc\r\n%b" % PART
            found = self.upload(
                "/book/x",
                lambda asked: early(asked, "200 OK", framing, body, pause_s, Close.RESET),
                body_read=body_read,
            )
            self.assertEqual(found.status, 502)

        self.assert_each(
            check, f"Content-Length: {len(PART) + 1}\r\n", "Transfer-Encoding: chunked\r\n"
        )

    def test_answer_that_ends_before_the_reset_is_delivered(self) -> None:
        """An orderly end that arrives before the reset is the end of an answer without a length."""

        def end_then_reset(asked: RawRequest) -> Iterator[bytes | Close | float]:
            yield from early(asked, "200 OK", "", PART, 0.0, Close.HALF)
            yield 0.1
            yield Close.RESET

        found = self.upload("/book/x", end_then_reset)
        self.assertEqual((found.status, found.body), (200, PART))

    def test_refusal_without_a_length_is_still_one(self) -> None:
        """Guards against a request that its worker has not run, and that fails for its caller."""

        def refuse(asked: RawRequest) -> Iterator[bytes | Close | float]:
            return early(asked, "503 Full", "Not-Executed: 1\r\n", b"", 0.0, Close.RESET)

        found = self.upload("/book/x", *[refuse] * MAX_SENDS)
        self.assertEqual(found.status, 503)

    def test_cut_stream_goes_on_elsewhere(self) -> None:
        def check(framing: str, body_read: int, pause_s: float) -> None:
            found = self.upload(
                "/chat/x",
                lambda asked: early(asked, "200 OK", framing, events(1, 2), pause_s, Close.RESET),
                lambda asked: chunked(asked, events(3, 5), Close.RESET),
                body_read=body_read,
            )
            self.assertEqual(len(self.asked), 2)
            self.assertEqual(self.asked[1].headers.get("last-event-id"), "2")
            self.assertEqual(found.body, events(1, 5))

        self.assert_each(check, "")

    def test_cut_stream_that_no_other_continues_does_not_look_complete(self) -> None:
        found = self.upload(
            "/chat/x",
            lambda asked: unframed(asked, events(1, 2), Close.RESET),
            lambda asked: iter([Close.RESET]),
        )
        self.assertEqual(found.end, End.RESET)

    def test_connection_of_a_failed_upload_is_not_used_again(self) -> None:
        framing = f"Content-Length: {len(PART)}\r\n"
        found = self.upload(
            "/book/x",
            lambda asked: early(asked, "413 Too Large", framing, PART, 0.3, Close.RESET),
        )
        self.assertEqual(found.status, 413)
        gevent.sleep(0.1)
        found = self.upload(
            "/book/x", lambda asked: early(asked, "200 OK", framing, PART, 0.1, Close.RESET)
        )
        self.assertEqual((found.status, found.body), (200, PART))
        self.assertEqual(self.asked[0].on_connection, 0)


class ResetCallTest(unittest.TestCase):
    """The same at the other clients: the product's own path, and calls to control interfaces."""

    def setUp(self) -> None:
        self.framing = ""
        self.worker = RawWorker(
            lambda asked: early(asked, "200 OK", self.framing, PART, 0.1, Close.RESET), body_read=0
        )
        self.addCleanup(self.worker.stop)

    def open(self) -> PooledResponse:
        pools = PoolService(1.0, 5.0)
        self.addCleanup(pools.stop)
        return pools.open(CallTarget(self.worker.address), "POST", "/x", {}, UPLOAD)

    def call(self) -> bytes:
        with bounded_pools(retries=False, timeout=5.0) as manager:
            return manager.request("POST", f"http://{self.worker.address}/x", body=UPLOAD).data

    def test_cut_answer_without_a_length_is_an_error(self) -> None:
        with self.assertRaises(EndpointFailedError):
            self.open().read_whole()
        with self.assertRaises(HTTPError):
            self.call()

    def test_whole_answer_with_a_length_is_read(self) -> None:
        self.framing = f"Content-Length: {len(PART)}\r\n"
        self.assertEqual(self.open().read_whole(), PART)
        self.assertEqual(self.call(), PART)
