"""Answers that state no request's id are trusted only as the first ones of their connection."""

from arbutustally.gateway.attempts import Outcome
from tests.test_cut_heads import LENGTH, SIGNED, TransportCase

EMPTY = b"Content-Length: 0"
NOT_RUN = b"Not-Executed: 1"
DONE = b"\r\n".join((b"HTTP/1.1 200 OK", *SIGNED, LENGTH, b"", b"0123456789"))
#: Answers without an id; the later ones would count as not run or as a success.
UNNAMED = {
    "refusal": b"\r\n".join((b"HTTP/1.1 503 Busy", NOT_RUN, EMPTY, b"", b"")),
    "limited": b"\r\n".join((b"HTTP/1.1 429 Slow", NOT_RUN, EMPTY, b"", b"")),
    "mismatch": b"\r\n".join((b"HTTP/1.1 421 Misdirected", EMPTY, b"", b"")),
    "success": b"\r\n".join((b"HTTP/1.1 200 OK", SIGNED[1], LENGTH, b"", b"9876543210")),
}


def refusal(request_id: bytes) -> bytes:
    """Returns a refusal that states its request."""
    named = b"Request-Id: " + request_id
    return b"\r\n".join((b"HTTP/1.1 503 Busy", NOT_RUN, named, EMPTY, b"", b""))


class UnnamedAnswerTest(TransportCase):
    def test_answer_without_an_id_on_a_reused_connection_is_not_trusted(self) -> None:
        """Guards against a second run after a late copy of an earlier request's refusal."""
        for name, copy in UNNAMED.items():
            with self.subTest(answer=name):
                self.pool.stop()
                self.worker.seen.clear()
                first = self.send(refusal(b"r0"), request_id="r0")
                second = self.send(copy, 0.05, DONE)
                self.assertEqual([one.on_connection for one in self.worker.seen], [0, 1])
                self.assertIs(first.outcome, Outcome.NOT_RUN)
                self.assertIs(second.outcome, Outcome.MAY_HAVE_RUN)

    def test_refusal_without_an_id_on_a_new_connection_is_trusted(self) -> None:
        """Guards against a 502 for a request that a worker refused: it can be nothing else's."""
        for name in ("refusal", "limited", "mismatch"):
            with self.subTest(answer=name):
                self.pool.stop()
                result = self.send(UNNAMED[name])
                self.assertIs(result.outcome, Outcome.NOT_RUN)
