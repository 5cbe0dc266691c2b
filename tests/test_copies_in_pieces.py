"""Copies of a response that arrive together with it, whole or in part."""

from arbutustally.gateway.attempts import Outcome
from tests.test_cut_heads import TransportCase
from tests.test_unnamed_answers import DONE, refusal


class PartialCopyTest(TransportCase):
    def test_connection_with_a_part_of_a_copy_is_not_reused(self) -> None:
        """Guards against reading the rest of a copy as the answer to the next request."""
        copy = refusal(b"r0")
        for size in (1, 20, len(copy) - 1, len(copy)):
            with self.subTest(size=size):
                self.pool.stop()
                self.worker.seen.clear()
                first = self.send(copy + copy[:size], request_id="r0")
                second = self.send(DONE)
                self.assertIs(first.outcome, Outcome.NOT_RUN)
                self.assertEqual([one.on_connection for one in self.worker.seen], [0, 0])
                self.assertIs(second.outcome, Outcome.ANSWERED)
