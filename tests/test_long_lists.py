"""Reading of more records than one answer of the store holds."""

import gevent

from tests.gateway_fleet import GatewayCase
from tests.return_world import LEAVING_S


class LongListTest(GatewayCase):
    def test_removal_behind_many_records_is_known_in_time(self) -> None:
        """Guards against a node that pauses between the pieces of a list that it has not caught up."""
        node = self.start_node()
        self.wait_ready(node)
        self.store.read_limit = 60
        for _ in range(600):
            self.store.put("keyed.servers", "e1", self.engines[0].entry())
        self.store.put("keyed.servers", "d1", None)
        gevent.sleep(LEAVING_S)
        self.assertEqual([state.id for state in node._view.book.usable("desk")], ["d2"])
