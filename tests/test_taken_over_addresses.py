"""Control calls to an address that belongs to another service now."""

import unittest

from arbutustally_node.gateway.ports import LoadOrder
from arbutustally_platform.engines import PlatformCacheEvents, PlatformEngines
from tests.stuttering_worker import StutteringWorker


class TakenOverAddressTest(unittest.TestCase):
    def test_call_bears_an_id_only_with_the_id_of_its_server(self) -> None:
        """Guards against a call that a plain worker runs as a request that no caller sent.

        A worker refuses what has no id, or names another worker.
        """
        stuttering = StutteringWorker([(404, b"")] * 4, echoes=True)
        self.addCleanup(stuttering.worker.stop)
        engines, state = PlatformEngines(), stuttering.endpoint
        PlatformCacheEvents().changes(state.address, 0, 0.1)
        engines.report(state)
        engines.load_weights(state, LoadOrder("m", 2, 0, False), "n~1", 5)
        seen = [asked.headers for asked in stuttering.worker.seen]
        self.assertEqual(len(seen), 3)
        self.assertEqual(
            ["request-id" in headers for headers in seen],
            ["expect-instance" in headers for headers in seen],
        )
