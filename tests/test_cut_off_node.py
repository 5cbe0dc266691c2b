"""Scopes of cached parts at a node that can't reach the store, and has no peers."""

import gevent

from arbutustally_node.gateway.operator_reader import WAIT_S
from tests.account_changes import AccountChangesCase, account
from tests.gateway_fleet import settings
from tests.platform_fakes import StorePath

#: Time after which a node without contact can't be sure of its configuration, seconds.
BOUND_S = 2.0
#: Time for it to know again what it has missed, seconds.
CAUGHT_UP_S = 4.0
#: Time in which one of several nodes reads the store again and tells the others, seconds.
READ_AGAIN_S = 1.3


class CutOffNodeTest(AccountChangesCase):
    """Guards against accounts that share parts at a node that misses that one is isolated."""

    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.shared = self.scope(self.node, "guest")
        self.assertEqual(self.scope(self.node, "school"), self.shared)

    def scopes(self) -> dict[str, str]:
        return {name: self.scope(self.node, name) for name in ("guest", "school")}

    def test_accounts_share_nothing_at_a_node_that_is_cut_off(self) -> None:
        self.store.status = 503
        self.configure(account("school"), account("guest", True))
        gevent.sleep(BOUND_S)
        found = self.scopes()
        self.assertEqual(len({*found.values(), self.shared}), 3)
        self.assertEqual(self.scopes(), found)
        self.store.status = 200
        self.await_version(self.node)
        gevent.sleep(CAUGHT_UP_S)
        after = self.scopes()
        self.assertEqual(len({*after.values(), self.shared}), 3)
        # Nobody else has made parts under the scope of the guest, who may use them on.
        self.assertEqual(after["guest"], found["guest"])

    def test_accounts_share_again_after_a_cut_that_changed_nothing(self) -> None:
        self.store.status = 503
        gevent.sleep(BOUND_S)
        self.assertNotIn(self.shared, self.scopes().values())
        self.store.status = 200
        gevent.sleep(CAUGHT_UP_S)
        self.assertEqual(set(self.scopes().values()), {self.shared})

    def test_accounts_share_nothing_until_the_configuration_was_read(self) -> None:
        """Guards against a node that hears the store again and not yet what it has missed."""
        self.store.status = 503
        self.configure(account("school"), account("guest", True))
        gevent.sleep(BOUND_S)
        self.store.refused_topics.add("keyed.op")
        self.store.status = 200
        gevent.sleep(CAUGHT_UP_S)
        self.assertEqual(len({*self.scopes().values(), self.shared}), 3)
        self.store.refused_topics.clear()
        self.await_version(self.node)
        gevent.sleep(CAUGHT_UP_S)
        self.assertEqual(len({*self.scopes().values(), self.shared}), 3)


class ConfigurationBoundTest(AccountChangesCase):
    """Guards against a node that is sure of its configuration for longer than the deployment says."""

    def test_accounts_share_nothing_later_than_a_configuration_must_be_known(self) -> None:
        fields = settings(self.store.address)
        fields["bounds"] |= {"configApplyMs": 1200, "drainMs": 4000}
        node = self.start_node(fields)
        shared = self.scope(node, "guest")
        gevent.sleep(1.0)
        self.store.status = 503
        self.configure(account("school"), account("guest", True))
        gevent.sleep(1.2)
        found = {self.scope(node, name) for name in ("guest", "school")}
        self.assertEqual(len({*found, shared}), 3)

    def test_accounts_share_while_the_node_hears_from_the_store(self) -> None:
        """Guards against gaps between two reads that count as a loss of contact."""
        fields = settings(self.store.address)
        fields["bounds"] |= {"configApplyMs": 1200, "drainMs": 4000}
        node = self.start_node(fields)
        shared = self.settled_scope(node, "guest")
        for _ in range(12):
            gevent.sleep(0.15)
            self.assertEqual(self.scope(node, "school"), shared)


class CutOffGroupTest(AccountChangesCase):
    """Guards against nodes that are cut off together and take each other for the fleet."""

    def test_accounts_share_nothing_at_a_small_part_of_the_fleet(self) -> None:
        nodes = self.start_nodes(5)
        shared = self.scope(nodes[0], "guest")
        self.eventually(lambda: all(len(node._gossip.present) == 4 for node in nodes), 10.0)
        self.store.status = 503
        for node in nodes[2:]:
            node.stop()
        self.eventually(lambda: len(nodes[0]._gossip.present) == 1, 10.0)
        gevent.sleep(BOUND_S)
        found = {self.scope(nodes[0], name) for name in ("guest", "school")}
        self.assertEqual(len({*found, shared}), 3)

    def test_accounts_share_nothing_at_nodes_that_all_miss_a_configuration(self) -> None:
        """Guards against nodes that take the store for away to the operator as it is to them."""
        nodes = self.start_nodes(2)
        shared = self.settled_scope(nodes[0], "guest")
        self.eventually(lambda: all(len(node._gossip.present) == 1 for node in nodes), 10.0)
        self.store.status = 503
        gevent.sleep(WAIT_S)
        self.configure(account("school"), account("guest", True))
        gevent.sleep(BOUND_S)
        found = {self.scope(nodes[0], name) for name in ("guest", "school")}
        self.assertEqual(len({*found, shared}), 3)

    def test_accounts_share_again_as_soon_as_the_store_is_read(self) -> None:
        """Guards against parts that are read for each account after an outage that changed nothing."""
        nodes = self.start_nodes(3)
        shared = self.settled_scope(nodes[0], "guest")
        self.eventually(lambda: all(len(node._gossip.present) == 2 for node in nodes), 10.0)
        self.store.status = 503
        gevent.sleep(BOUND_S)
        self.assertNotEqual(self.scope(nodes[0], "school"), shared)
        self.store.status = 200
        gevent.sleep(READ_AGAIN_S)
        for node in nodes:
            self.assertEqual(self.scope(node, "school"), shared)

    def test_accounts_share_nothing_while_only_the_list_is_served(self) -> None:
        """Guards against a read of the endpoints' list that counts as one of the configuration."""
        nodes = self.start_nodes(3)
        shared = self.settled_scope(nodes[0], "guest")
        self.eventually(lambda: all(len(node._gossip.present) == 2 for node in nodes), 10.0)
        self.store.refused_topics.add("keyed.op")
        gevent.sleep(WAIT_S)
        self.configure(account("school"), account("guest", True))
        gevent.sleep(BOUND_S)
        found = {self.scope(nodes[0], name) for name in ("guest", "school")}
        self.assertEqual(len({*found, shared}), 3)

    def test_accounts_share_at_a_node_whose_peer_reads_the_store(self) -> None:
        """Guards against parts that a node reads for each account since the store rejects it."""
        paths = [StorePath(self.store) for _ in range(2)]
        for path in paths:
            self.addCleanup(path.stop)
        nodes = self.start_nodes(2, [path.address for path in paths])
        shared = self.settled_scope(nodes[0], "guest")
        self.eventually(lambda: all(len(node._gossip.present) == 1 for node in nodes), 10.0)
        paths[0].status = 503
        gevent.sleep(2 * BOUND_S)
        self.assertEqual(self.scope(nodes[0], "school"), shared)
        self.configure(account("school"), account("guest", True))
        self.await_version(nodes[0])
        found = {self.scope(nodes[0], name) for name in ("guest", "school")}
        self.assertEqual(len({*found, shared}), 3)
