"""An answer behind a cut copy of an earlier one is not read together with it."""

from arbutustally.gateway.attempts import Outcome
from tests.raw_worker import Close
from tests.test_cut_heads import TransportCase
from tests.test_unnamed_answers import DONE, refusal

_OLD = b"HTTP/1.1 %s\r\nRequest-Id: r0\r\nServer-Stamp: old\r\n"
COPIES = {
    "refusal": refusal(b"r0"),
    "mismatch": b"HTTP/1.1 421 Misdirected\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n",
    "success": _OLD % b"200 OK" + b"Content-Length: 3\r\n\r\nold",
    "failure": _OLD % b"503 Busy" + b"Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n",
}


class SplicedHeadTest(TransportCase):
    def test_answer_behind_a_cut_copy_has_not_the_status_of_the_copy(self) -> None:
        """Guards against a booking that runs twice, as its answer bears another one's refusal."""
        for name, copy in COPIES.items():
            for size in range(1, len(copy)):
                with self.subTest(copy=name, size=size):
                    self.pool.stop()
                    self.worker.seen.clear()
                    self.send(copy, request_id="r0")
                    result = self.send(copy[:size] + DONE, Close.ORDERLY)
                    self.assertEqual([one.on_connection for one in self.worker.seen], [0, 1])
                    self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)
