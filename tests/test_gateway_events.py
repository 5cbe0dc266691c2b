"""Complete events from a stream that arrives in chunks."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.events import EventTooLongError, RepeatedEventError, WholeEvents


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

    def test_first_id_after_a_resumption_must_follow(self) -> None:
        """Guards against a restarted stream that is forwarded as the rest of the first one."""
        for last, first, is_refused in (
            (b"9", b"10", False),
            (b"9", b"12", False),
            (b"9", b"9", True),
            (b"10", b"9", True),
            (b"9", b"09", True),
            (b"9", b"1" * 5000, False),
            (b"9", b"a", False),
            (b"a", b"a", False),
        ):
            with self.subTest(last=last, first=first):
                events = WholeEvents()
                events.feed(b"id: " + last + b"\n\nid: 1")
                events.restart()
                resumed = b"id: " + first + b"\n\nid: 1\n\n"
                if is_refused:
                    self.assertRaises(RepeatedEventError, events.feed, resumed)
                else:
                    self.assertEqual(events.feed(resumed), resumed)

    def test_endless_event_is_refused(self) -> None:
        with self.assertRaises(EventTooLongError):
            WholeEvents().feed(b"x" * (2 << 20))
