"""Responses that never have a body end with their head."""

from contextlib import nullcontext
from dataclasses import replace

from arbutustally.gateway.attempts import Outcome
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.transport import AttemptResult
from tests.test_cut_heads import CHUNKED, LENGTH, SIGNED, TransportCase, request

_OK = b"HTTP/1.1 200 OK"


class BodilessTest(TransportCase):
    def test_response_without_a_body_ends_with_its_head(self) -> None:
        """Guards against waiting for chunks that never come."""
        cases = (
            ("HEAD", _OK),
            ("GET", b"HTTP/1.1 204 No Content"),
            ("GET", b"HTTP/1.1 304 Not Modified"),
        )
        for method, status in cases:
            for header in (CHUNKED, LENGTH, b"X: 1"):
                with self.subTest(status=status, method=method, header=header):
                    head = b"\r\n".join((status, *SIGNED, header)) + b"\r\n\r\n"
                    result = self._ask(method, head)
                    self.assertEqual((result.outcome, result.body), (Outcome.ANSWERED, b""))

    def _ask(self, method: str, answer: bytes) -> AttemptResult:
        self.answer = [answer]
        terms = AttemptTerms(endpoint_id=self.worker.id, account="", left_s=1.0)
        asked = replace(request(), method=method)
        result = self.transport.send(asked, self.state, terms, nullcontext())
        return self.transport.read_whole(result, 1.0, nullcontext)
