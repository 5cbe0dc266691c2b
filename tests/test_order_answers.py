"""Answers to orders that load weights are never those of earlier calls."""

import unittest
from collections.abc import Iterator

from arbutustally_node.gateway.ports import LoadOrder, OrderReply
from arbutustally_platform.engines import PlatformEngines
from tests.raw_worker import RawRequest, RawWorker
from tests.test_cut_heads import endpoint

ORDER = LoadOrder("m", 2, 0, breaks_runs_off=False)


def script(request: RawRequest) -> Iterator[bytes]:
    """Refuses orders, but writes a copy of an earlier answer first on a kept connection."""
    if request.on_connection == 0 and request.target.endswith("/order"):
        yield b"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"
    else:
        yield b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class OrderAnswerTest(unittest.TestCase):
    def test_copy_of_an_earlier_answer_is_not_taken_for_that_of_an_order(self) -> None:
        """Guards against weights that count as loaded although the engine refused the order."""
        worker = RawWorker(script)
        self.addCleanup(worker.stop)
        engines, entry = PlatformEngines(), endpoint(worker).entry
        engines.report(entry)
        self.assertEqual(engines.load_weights(entry, ORDER, "n1", 1), OrderReply.FENCED)
