"""A running node with costs between zones, and endpoints in its own zone and in another one."""

from arbutustally.gateway.zone_spill import ZoneCosts
from tests.gateway_fleet import GatewayCase

REQUESTS = 12


class ZoneNodeTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        for worker in (self.engines[1], self.desks[1]):
            self.store.put("keyed.servers", worker.id, worker.entry() | {"zone": "z2"})
        self.node = self.start_node(zone_costs=ZoneCosts(10.0, 0.5))
        self.wait_ready(self.node)

    def ran(self, path: str) -> tuple[int, int]:
        """Sends requests; returns how many ran in the own zone, and in the other one."""
        near, far = self.desks if path == "/look/x" else self.engines
        before = len(near.ran), len(far.ran)
        for number in range(REQUESTS):
            answer = self.call(self.node, path, f"{path}{before}{number}")
            self.assertEqual(answer.status, 200)
        return len(near.ran) - before[0], len(far.ran) - before[1]

    def left(self, reason: str) -> int:
        return self.node._services.state.instruments.value("left_zone", reason)

    def test_requests_stay_until_the_zone_has_no_endpoint(self) -> None:
        """Guards against costs that the node ignores, and a zone that is never left."""
        for path in ("/look/x", "/chat/x"):
            self.assertEqual(self.ran(path), (REQUESTS, 0))
        self.assertEqual(self.left("busy") + self.left("no_endpoint"), 0)
        for worker in (self.engines[0], self.desks[0]):
            self.store.put("keyed.servers", worker.id, worker.entry("draining"))
            self.eventually(lambda name=worker.id: self.node._view.book.get(name).is_leaving)
        for path in ("/look/x", "/chat/x"):
            self.assertEqual(self.ran(path), (0, REQUESTS))
        self.assertEqual(self.left("no_endpoint"), 2 * REQUESTS)
