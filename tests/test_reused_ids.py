"""A request whose id a connection has carried before is sent on another connection."""

from arbutustally.gateway.attempts import Outcome
from tests.test_cut_heads import TransportCase
from tests.test_unnamed_answers import DONE, refusal


class ReusedIdTest(TransportCase):
    def test_connection_that_has_carried_the_id_is_not_used(self) -> None:
        """Guards against 'not run', by a copy of an earlier refusal, for a request that runs."""
        self.assertIs(self.send(refusal(b"r1")).outcome, Outcome.NOT_RUN)
        self.send(DONE.replace(b"r1", b"r2"), request_id="r2")
        self.assertIs(self.send(DONE).outcome, Outcome.ANSWERED)
        self.assertEqual([one.on_connection for one in self.worker.seen], [0, 1, 0])
