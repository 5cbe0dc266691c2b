"""An event with an empty id has none: a stream can't be resumed after it."""

from arbutustally.gateway.events import UnnumberedEventError, WholeEvents
from tests.raw_gateway import End
from tests.test_continued_streams import ContinuedStreamCase, cut, stream


class EmptyIdTest(ContinuedStreamCase):
    def test_stream_is_not_begun_again_after_an_empty_id(self) -> None:
        """Guards against the same events twice in a stream that ends as complete."""
        for line in (b"id:", b"id: "):
            with self.subTest(line=line):
                events = line + b"\ndata: a\n\n" + line + b"\ndata: b\n\n"
                received = self.ask("/chat/x", cut(events), stream(events))
                self.assertIs(received.end, End.RESET)
                self.assertEqual(received.body, events)

    def test_event_with_an_empty_id_does_not_continue_a_stream(self) -> None:
        """Guards against pieces of a run that begins again."""
        with self.assertRaises(UnnumberedEventError):
            WholeEvents("x").feed(b"id:\ndata: b\n\n")
