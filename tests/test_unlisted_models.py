"""Reports of engines that name models which their entries do not list."""

import base64
from random import Random

import gevent

from tests.gateway_fleet import GatewayCase

#: Models in a report, as many as one may have, and random bytes of their names.
MODELS = 256
NAME_BYTES = 140
#: Time after which a node that hears nothing from a peer counts it as gone, and more, seconds.
UNHEARD_S = 4.0


class UnlistedModelsTest(GatewayCase):
    """Two nodes, one of which reads reports with many models."""

    def test_nodes_still_hear_each_other(self) -> None:
        """Guards against messages to the peers that reports of engines make too large to send."""
        first, second = self.start_nodes(2)
        for node in (first, second):
            self.wait_ready(node)
        rng = Random(1)
        for engine in self.engines:
            engine.other_models = [
                {
                    "name": base64.b64encode(rng.randbytes(NAME_BYTES)).decode(),
                    "version": 9,
                    "adapters": [],
                }
                for _ in range(MODELS - 1)
            ]
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: all(engine.version == 2 for engine in self.engines))
        gevent.sleep(UNHEARD_S)
        self.assertTrue(first._gossip.present)
        self.assertTrue(second._gossip.present)
        for node in (first, second):
            self.assertEqual(set(node._view.book.get("e1").weights), {"m"})
