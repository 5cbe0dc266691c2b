"""Interim (1xx) responses are not the answer of a worker."""

from arbutustally.gateway.attempts import Outcome
from tests.raw_worker import Close
from tests.test_cut_heads import BODY, LENGTH, SIGNED, TransportCase


def head(status: str, *headers: bytes) -> bytes:
    """Returns a response head."""
    return b"\r\n".join((f"HTTP/1.1 {status}".encode(), *headers)) + b"\r\n\r\n"


class InterimAnswerTest(TransportCase):
    FINAL = head("200 OK", *SIGNED, LENGTH) + BODY

    def test_interim_response_precedes_the_answer(self) -> None:
        """Guards against an empty answer with a status that callers take for an interim one."""
        for status in ("100 Continue", "102 Processing", "103 Early Hints"):
            for headers in ((), SIGNED):
                with self.subTest(status=status, headers=headers):
                    result = self.send(head(status, *headers) + self.FINAL, Close.ORDERLY)
                    self.assertIs(result.outcome, Outcome.ANSWERED)
                    self.assertEqual((result.status, result.body), (200, BODY))

    def test_interim_response_alone_is_no_answer(self) -> None:
        result = self.send(head("103 Early Hints", *SIGNED), Close.ORDERLY)
        self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)

    def test_switch_of_protocols_is_no_answer(self) -> None:
        result = self.send(head("101 Switching Protocols", *SIGNED) + self.FINAL, Close.ORDERLY)
        self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)
