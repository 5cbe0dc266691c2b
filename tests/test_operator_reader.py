"""A read of the operator's records whose connection has become silent."""

import unittest
from types import SimpleNamespace

import gevent

from arbutustally.clock import monotonic
from arbutustally.gateway.configuration_age import ConfigurationAge
from arbutustally.gateway.contact import Contact
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.operator_reader import OperatorReader
from arbutustally_node.gateway.ports import Batch
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_platform.documents import PlatformDocuments

#: Time after which a read that is not ended counts as stuck, seconds.
STUCK_S = 2.0


class Topic:
    """A topic whose first reads get no answer.

    :ivar calls: number of reads so far.
    """

    def __init__(self, silent: int) -> None:
        self.silent = silent
        self.calls = 0

    def newest(self) -> Batch:
        return Batch((), 0)

    def since(self, _offset: int, _wait_s: float) -> Batch:
        self.calls += 1
        if self.calls <= self.silent:
            gevent.sleep(10 * STUCK_S)
        return Batch((), 0)


class SilentReadTest(unittest.TestCase):
    def setUp(self) -> None:
        log = DecisionLog({})
        self.age = ConfigurationAge(monotonic)
        self.watch = StoreWatch(log, monotonic, Contact(monotonic, STUCK_S), self.age)
        self.topic = Topic(silent=2)
        self.told = 0
        self.reader = OperatorReader(
            self.topic,
            FleetView(PlatformDocuments(), monotonic, log),
            self.watch,
            log,
            monotonic,
            lambda: True,
            self.tell,
        )
        self.watch.watch_unfollowed(self.reader.store_answered)
        self.reader.read_once()

    def tell(self) -> None:
        self.told += 1

    def lose_store(self) -> None:
        self.watch.failed(SimpleNamespace(message="silent"))

    def test_silent_reads_end_once_the_store_answers_other_calls(self) -> None:
        """Guards against a configuration that is read seconds after the store has come back."""
        reading = gevent.spawn(self.reader.read_once)
        self.addCleanup(reading.kill)
        for _ in range(self.topic.silent):
            gevent.sleep(0.05)
            self.lose_store()
            self.watch.list_read(monotonic())
        reading.join(STUCK_S)
        self.assertTrue(reading.ready())
        self.assertLess(self.age.age_s, STUCK_S)
        self.assertEqual(self.told, 1)

    def test_read_that_began_after_the_answered_call_goes_on(self) -> None:
        """Guards against reads of a slow store that are ended again and again."""
        asked_at = monotonic()
        reading = gevent.spawn(self.reader.read_once)
        self.addCleanup(reading.kill)
        gevent.sleep(0.05)
        self.lose_store()
        self.watch.list_read(asked_at)
        gevent.sleep(0.05)
        self.assertEqual(self.topic.calls, 1)
