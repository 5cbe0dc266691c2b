"""White space around a header's value in a response is no part of the value."""

from arbutustally.gateway.attempts import Outcome
from tests.test_cut_heads import BODY, LENGTH, SIGNED, TransportCase

_OK = b"HTTP/1.1 200 OK"
_CHUNKS = b"a\r\n" + BODY + b"\r\n0\r\n\r\n"


class PaddedHeaderTest(TransportCase):
    def test_white_space_around_the_coding_does_not_hide_the_chunks(self) -> None:
        """Guards against the chunks' framing in the caller's body."""
        for coding in (b"chunked ", b"chunked\t", b"\tChunked", b"CHUNKED \t "):
            with self.subTest(coding=coding):
                lines = (_OK, *SIGNED, b"Transfer-Encoding:" + coding)
                head = b"\r\n".join(lines) + b"\r\n\r\n"
                result = self.send(head + _CHUNKS)
                self.assertEqual((result.outcome, result.body), (Outcome.ANSWERED, BODY))

    def test_white_space_around_an_id_is_no_part_of_it(self) -> None:
        """Guards against a 502 for a request that its worker answered."""
        head = b"\r\n".join((_OK, b"Request-Id: r1 ", b"Server-Stamp:\ts\t", LENGTH))
        result = self.send(head + b"\r\n\r\n" + BODY)
        self.assertIs(result.outcome, Outcome.ANSWERED)
