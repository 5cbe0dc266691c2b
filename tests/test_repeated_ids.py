"""A request with several ids is refused; no response could be matched to it."""

from tests.engine_answers import events
from tests.raw_gateway import RawGatewayCase
from tests.test_continued_streams import stream


class RepeatedIdTest(RawGatewayCase):
    def test_request_with_two_ids_is_not_sent(self) -> None:
        """Guards against a 502 for a request that a worker ran."""
        received = self.ask("/chat/x", stream(events(1, 5)), fields="Request-Id: other\r\n")
        self.assertEqual(received.status, 400)
        self.assertEqual(self.asked, [])
        self.assertEqual(self.ask("/chat/x", stream(events(1, 5))).status, 200)
