"""Copies of earlier responses on a kept connection are skipped, and the own response is read."""

from arbutustally.gateway.attempts import Outcome
from arbutustally_node.gateway.transport import AttemptResult
from tests.raw_worker import Close
from tests.test_cut_heads import TransportCase
from tests.test_unnamed_answers import DONE, refusal

_OLD = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: old\r\n"
COPIES = {
    "refusal": refusal(b"r0"),
    "length": _OLD + b"Content-Length: 3\r\n\r\nold",
    "chunked": _OLD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n4\r\nmore\r\n0\r\n\r\n",
}


class SkippedCopyTest(TransportCase):
    def after(self, copy: bytes, *answer: bytes | Close | float) -> AttemptResult:
        """Returns the result of the second request on a connection, whose first got ``copy``."""
        self.pool.stop()
        self.worker.seen.clear()
        self.send(copy, request_id="r0")
        result = self.send(*answer)
        self.assertEqual([one.on_connection for one in self.worker.seen], [0, 1])
        return result

    def test_answer_after_a_copy_is_delivered(self) -> None:
        """Guards against leaving a worker that runs the request, which then runs elsewhere."""
        for name, copy in COPIES.items():
            for size in (len(copy), 1, len(copy) - 1, len(copy) - 6):
                with self.subTest(copy=name, size=size):
                    parts = (copy[:size], 0.02, copy[size:], 0.02, DONE)
                    result = self.after(copy, *(one for one in parts if one))
                    self.assertIs(result.outcome, Outcome.ANSWERED)
                    self.assertEqual(result.body, b"0123456789")

    def test_answer_together_with_copies_is_delivered(self) -> None:
        """Guards against losing an answer that arrives in the same packet as a copy."""
        for name, copy in COPIES.items():
            with self.subTest(copy=name):
                result = self.after(copy, copy + copy + DONE)
                self.assertIs(result.outcome, Outcome.ANSWERED)
                self.assertEqual(str(result.reading), "length 10 complete reused named behind 2")
                self.assertEqual(result.body, b"0123456789")

    def test_refusal_after_a_copy_is_of_this_request(self) -> None:
        """Guards against a 502 for a request that its worker refused."""
        result = self.after(COPIES["refusal"], COPIES["refusal"], refusal(b"r1"))
        self.assertIs(result.outcome, Outcome.NOT_RUN)

    def test_copy_cut_at_any_byte_is_no_answer(self) -> None:
        """Guards against reading the rest of a copy as an answer."""
        for name, copy in COPIES.items():
            for how in Close:
                for size in range(1, len(copy) + 1):
                    with self.subTest(copy=name, how=how, size=size):
                        result = self.after(copy, copy[:size], how)
                        self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)

    def test_answer_of_a_request_of_another_connection_is_not_skipped(self) -> None:
        """Guards against waiting for an answer that was mixed up with another one."""
        result = self.after(COPIES["length"], COPIES["length"].replace(b"r0", b"r9"), DONE)
        self.assertEqual(result.reason, "crossed_answer")
