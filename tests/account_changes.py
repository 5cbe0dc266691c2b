"""Accounts that the operator changes, and the scopes under which engines run their requests."""

from arbutustally_node.gateway.node import GatewayNode
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase


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


class AccountChangesCase(GatewayCase):
    """Two accounts that share, until a test changes them."""

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
