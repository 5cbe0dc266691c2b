"""Complete events from a stream that arrives in chunks."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.events import EventOrderError, EventTooLongError, WholeEvents


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
            (b"9", b"a", True),
            (b"a", b"9", True),
            (b"a", b"a", True),
            (b"a", b"b", False),
        ):
            with self.subTest(last=last, first=first):
                events = WholeEvents()
                events.feed(b"id: " + last + b"\n\nid: 1")
                events.restart()
                resumed = b"id: " + first + b"\n\n"
                if is_refused:
                    self.assertRaises(EventOrderError, events.feed, resumed)
                else:
                    self.assertEqual(events.feed(resumed), resumed)

    def test_ids_must_increase(self) -> None:
        """Guards against events that are forwarded twice, and against resuming after a lost one."""
        for ids in ((1, 2, 2), (1, 3, 2), (2, 1), (9, 10, 9)):
            with self.subTest(ids=ids):
                events = WholeEvents()
                stream = b"".join(b"id: %d\n\n" % number for number in ids)
                self.assertRaises(EventOrderError, events.feed, stream)
                self.assertEqual(events.last_id, "")

    def test_endless_event_is_refused(self) -> None:
        with self.assertRaises(EventTooLongError):
            WholeEvents().feed(b"x" * (2 << 20))
