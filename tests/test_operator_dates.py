"""When a node believes that the operator's records were written."""

import math
import unittest
from types import SimpleNamespace
from typing import Any

from arbutustally.clock import VirtualClock
from arbutustally.errors import StoreUnavailableError
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.operator_reader import WAIT_S, OperatorReader
from arbutustally_node.gateway.ports import Batch, Record
from arbutustally_platform.documents import PlatformDocuments


def naming(version: int) -> Record:
    """Returns the record that names a version of the weights."""
    return Record("version/m", b'{"model": "m", "version": %d}' % version)


class Topic:
    """A topic that plays its answers in turn; each may take time and wait for a record.

    :ivar answers: time in seconds at which each read is answered, and its answer.
    :ivar waits_s: how long each read was allowed to wait.
    """

    def __init__(self, clock: VirtualClock, answers: list[tuple[float, Any]]) -> None:
        self._clock = clock
        self.answers = answers
        self.waits_s: list[float] = []

    def newest(self) -> Batch:
        return Batch((), 0)

    def since(self, _offset: int, wait_s: float) -> Batch:
        self.waits_s.append(wait_s)
        at, answer = self.answers.pop(0)
        self._clock.advance_to(at)
        if isinstance(answer, Exception):
            raise answer
        return answer


class OperatorDatesTest(unittest.TestCase):
    def read(self, *answers: tuple[float, Any]) -> dict[int, float]:
        """Starts to read at second 100; returns when each version became known."""
        clock = VirtualClock(100.0)
        view = FleetView(PlatformDocuments(), clock, DecisionLog({}, clock=clock))
        self.topic = Topic(clock, list(answers))
        watch = SimpleNamespace(answered=lambda: None, configuration_read=lambda _asked_at: None)
        self.reader = OperatorReader(
            self.topic, view, watch, DecisionLog({}, clock=clock), clock, lambda: True, lambda: None
        )
        self.reader.read_once()
        while self.topic.answers:
            try:
                self.reader.read_once()
            except StoreUnavailableError:
                self.reader._expect_unread()
        return view.weights["m"].known_at

    def test_record_that_is_waited_for_is_new(self) -> None:
        known_at = self.read((104.0, Batch((naming(2),), 1)))
        self.assertEqual(known_at, {2: 104.0})

    def test_record_after_a_gap_and_a_wait_is_new(self) -> None:
        """Guards against callers that are refused since a naming is believed to be seconds old."""
        lost = StoreUnavailableError("lost")
        known_at = self.read((101.0, lost), (101.1, Batch((), 0)), (104.0, Batch((naming(2),), 1)))
        self.assertEqual(self.topic.waits_s, [WAIT_S, 0.0, WAIT_S])
        self.assertEqual(known_at, {2: 104.0})

    def test_record_that_was_written_in_a_gap_may_be_as_old_as_the_gap(self) -> None:
        """Guards against requests that begin on replaced weights since the naming seems new."""
        lost = StoreUnavailableError("lost")
        known_at = self.read((110.0, lost), (110.2, Batch((naming(2),), 1)))
        self.assertLessEqual(known_at[2], 107.0)
        self.assertFalse(math.isinf(known_at[2]))

    def test_all_parts_of_what_was_written_in_a_gap_are_as_old(self) -> None:
        """Guards against the same when the records of a gap come in several answers."""
        lost = StoreUnavailableError("lost")
        known_at = self.read(
            (110.0, lost),
            (110.2, Batch((naming(2),), 1, unread=1)),
            (110.4, Batch((naming(3),), 2)),
            (114.0, Batch((naming(4),), 3)),
        )
        self.assertLessEqual(known_at[3], 107.0)
        self.assertEqual(known_at[4], 114.0)
        self.assertEqual(self.topic.waits_s, [WAIT_S, 0.0, 0.0, WAIT_S])
