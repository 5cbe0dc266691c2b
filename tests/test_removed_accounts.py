"""Parts of an account that the operator removes while it is isolated stay out of others' reach.

Nodes, store and engine exchange real messages on loopback sockets.
"""

from arbutustally_node.gateway.node import GatewayNode
from arbutustally_node.gateway.ports import Record
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings

ISOLATED_TOPIC = "keyed.isolated"


def account(name: str, is_isolated: bool = False) -> dict:
    return {
        "name": name,
        "apiKeys": [f"key-{name}"],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "isolated": is_isolated,
        "ratePerS": 100000,
        "burst": 100000,
    }


class RemovedAccountTest(GatewayCase):
    """An account shares parts, becomes isolated, and is removed."""

    def setUp(self) -> None:
        super().setUp()
        self.version = 0
        self.configure(account("school"), account("guest"))

    def configure(self, *accounts: dict) -> None:
        """Writes the operator's next configuration."""
        self.version += 1
        self.store.put("keyed.op", "config", configuration(self.version, tenants=list(accounts)))

    def isolate_and_remove(self, node: GatewayNode) -> None:
        """Isolates the guest, then removes it; waits for the node to know each change."""
        for accounts in ((account("school"), account("guest", True)), (account("school"),)):
            self.configure(*accounts)
            self.await_version(node)

    def await_version(self, node: GatewayNode) -> None:
        self.eventually(
            lambda: node._view.configuration is not None
            and node._view.configuration.version == self.version
        )

    def scope(self, node: GatewayNode, name: str) -> str:
        """Returns the cache scope under which an engine runs a request of an account."""
        self.wait_ready(node)
        request_id = f"{name}-{sum(len(engine.seen) for engine in self.engines)}"
        answer = self.call(
            node, "/chat/a", request_id, b"x", Authorization=f"Token key-{name}", Deadline_Ms="4000"
        )
        self.assertEqual(answer.status, 200, answer.data)
        seen = [one for engine in self.engines for one in engine.seen]
        return next(one["Cache-Salt"] for one in seen if one["Request-Id"] == request_id)

    def settled_scope(self, node: GatewayNode, name: str) -> str:
        """Returns the scope once the node knows from the store which accounts were isolated."""
        self.eventually(lambda: node._view.isolation.is_complete)
        return self.scope(node, name)

    def test_parts_made_before_the_isolation_stay_out_of_reach(self) -> None:
        """Guards against others that read the parts of an account after its removal."""
        node = self.start_node()
        shared = self.scope(node, "guest")
        self.isolate_and_remove(node)
        self.assertNotEqual(self.scope(node, "school"), shared)

    def test_node_that_starts_after_the_removal_knows_of_it(self) -> None:
        """Guards against a restarted node that has only the configuration without the account."""
        node = self.start_node()
        shared = self.scope(node, "guest")
        self.isolate_and_remove(node)
        kept = self.scope(node, "school")
        self.eventually(lambda: bool(self.store.newest(ISOLATED_TOPIC)))
        node.stop()
        later = self.start_node(settings(self.store.address, "node-9", "127.0.0.9"))
        self.assertNotEqual(self.scope(later, "school"), shared)
        self.assertEqual(self.settled_scope(later, "school"), kept)

    def test_node_without_the_record_shares_nothing(self) -> None:
        """Guards against a node that serves before it knows which accounts were isolated."""
        node = self.start_node()
        shared = self.scope(node, "guest")
        self.isolate_and_remove(node)
        node.stop()
        self.store.refused_topics.add(ISOLATED_TOPIC)
        later = self.start_node(settings(self.store.address, "node-9", "127.0.0.9"))
        self.assertNotEqual(self.scope(later, "school"), shared)
        self.store.refused_topics.clear()

    def test_peer_that_missed_the_isolation_learns_of_it(self) -> None:
        """Guards against a node that read neither configuration in which the account was isolated."""
        first, second = self.start_nodes(2)
        shared = self.scope(second, "guest")
        apply = second._view.apply_operator

        def skip_isolation(record: Record, *rest: object) -> None:
            if b'"isolated": true' not in (record.value or b""):
                apply(record, *rest)

        second._view.apply_operator = skip_isolation
        self.isolate_and_remove(first)
        self.await_version(second)
        self.eventually(lambda: self.scope(second, "school") == self.scope(first, "school"))
        self.assertNotEqual(self.scope(second, "school"), shared)

    def test_scope_is_the_same_where_no_account_was_isolated(self) -> None:
        """Guards against parts that are lost although nobody was ever isolated."""
        node = self.start_node()
        shared = self.settled_scope(node, "guest")
        self.configure(account("school"))
        self.await_version(node)
        self.assertEqual(self.scope(node, "school"), shared)
        self.assertFalse(self.store.newest(ISOLATED_TOPIC))
