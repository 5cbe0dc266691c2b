"""Parts of an account that the operator removes while it is isolated stay out of others' reach.

Nodes, store and engine exchange real messages on loopback sockets.
"""

from arbutustally_node.gateway.ports import Record
from tests.account_changes import AccountChangesCase, account
from tests.gateway_fleet import settings

ISOLATED_TOPIC = "keyed.isolated"


class RemovedAccountTest(AccountChangesCase):
    """An account shares parts, becomes isolated, and is removed."""

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
