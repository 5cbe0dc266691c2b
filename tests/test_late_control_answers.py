"""Late copies of earlier answers on the kept connections of control calls."""

import json
import unittest

from arbutustally_node.gateway.ports import LoadOrder, OrderReply
from arbutustally_platform.engines import PlatformCacheEvents, PlatformEngines
from tests.stuttering_worker import StutteringWorker

ORDER = LoadOrder(model="m", version=2, orders=0, breaks_runs_off=False)


def report(sequence: int, version: int) -> bytes:
    models = [{"name": "m", "version": version, "adapters": []}]
    return json.dumps({"busy": False, "sequence": sequence, "models": models}).encode()


def events(next_number: int, *numbers: int) -> bytes:
    rows = [[number, "+", "s", f"a{number}", 10, "m"] for number in numbers]
    fields = {"bootEpoch": 7, "next": next_number, "lost": False, "events": rows}
    return json.dumps(fields).encode()


class LateControlAnswerTest(unittest.TestCase):
    """Guards against a copy of an earlier answer that is read as the answer to the next call."""

    def start(self, answers: list[tuple[int, bytes]], echoes: bool) -> StutteringWorker:
        stuttering = StutteringWorker(answers, echoes)
        self.addCleanup(stuttering.worker.stop)
        return stuttering

    def test_copy_of_a_report_is_not_the_reply_to_an_order(self) -> None:
        for echoes in (True, False):
            worker = self.start([(200, report(0, 1)), (409, b"")], echoes)
            engines = PlatformEngines()
            self.assertEqual(engines.report(worker.endpoint).orders, 0)
            reply = engines.load_weights(worker.endpoint, ORDER, "n~1", 5)
            self.assertIn(reply, (OrderReply.BUSY, OrderReply.UNKNOWN), echoes)

    def test_copy_of_the_reply_to_an_order_is_not_that_to_the_next(self) -> None:
        for echoes in (True, False):
            worker = self.start([(202, b""), (409, b"")], echoes)
            engines = PlatformEngines()
            reply = engines.load_weights(worker.endpoint, ORDER, "n~1", 5)
            self.assertEqual(reply, OrderReply.ACCEPTED)
            reply = engines.load_weights(worker.endpoint, ORDER, "n~1", 5)
            self.assertIn(reply, (OrderReply.BUSY, OrderReply.UNKNOWN), echoes)

    def test_copy_of_a_report_is_not_a_newer_report(self) -> None:
        worker = self.start([(200, report(0, 1)), (200, report(1, 2)), (200, report(2, 3))], True)
        engines = PlatformEngines()
        self.assertEqual(engines.report(worker.endpoint).orders, 0)
        found = [engines.report(worker.endpoint) for _ in range(2)]
        orders = [one.orders for one in found if one is not None]
        self.assertNotIn(0, orders)
        self.assertTrue(orders)

    def test_copy_of_changes_is_not_applied_twice(self) -> None:
        for echoes in (True, False):
            answers = [(200, events(2, 1, 2)), (200, events(3, 3)), (200, events(4, 4))]
            worker = self.start(answers, echoes)
            caches = PlatformCacheEvents()
            since, seen = 0, []
            for _ in range(4):
                batch = caches.changes(worker.endpoint.address, since, 0.1)
                if batch is not None:
                    seen += [change.part_id for change in batch.changes]
                    self.assertGreaterEqual(batch.next_number, since)
                    since = batch.next_number
            self.assertEqual(seen, sorted(set(seen)), echoes)
