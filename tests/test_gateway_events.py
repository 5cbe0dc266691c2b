"""Whole events out of a stream that arrives in pieces."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.events import EventTooLongError, WholeEvents


class WholeEventsTest(unittest.TestCase):
    STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 9))

    @given(st.lists(st.integers(1, 40), min_size=1, max_size=60))
    def test_any_cut_of_the_stream_gives_whole_events_in_order(self, sizes) -> None:
        events = WholeEvents()
        out, at = b"", 0
        for size in sizes:
            out += events.feed(self.STREAM[at : at + size])
            at += size
            self.assertTrue(out == b"" or out.endswith(b"\n\n"))
        fed = self.STREAM[:at]
        self.assertEqual(out + events.rest, fed)
        self.assertEqual(events.last_id, str(out.count(b"id:")) if out else "")

    def test_endless_event_is_refused(self) -> None:
        with self.assertRaises(EventTooLongError):
            WholeEvents().feed(b"x" * (2 << 20))
