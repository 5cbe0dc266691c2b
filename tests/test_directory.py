"""The directory spreads the accounts over nodes and zones, alike on every node."""

import unittest

from arbutustally.directory import addresses, ranking, shard_of
from arbutustally_node.node_table import Node


class DirectoryTest(unittest.TestCase):
    NODES = [Node(f"n{i}", "i", f"z{i % 4}", f"n{i}:80", "", False) for i in range(40)]

    def test_home_nodes_are_in_two_zones(self) -> None:
        """Guards against losing both home nodes of a shard with one zone."""
        for shard in range(64):
            first, second = ranking(shard, self.NODES)[:2]
            self.assertNotEqual(first.zone, second.zone)

    def test_failure_moves_shards_to_different_nodes(self) -> None:
        """Guards against one node that inherits all callers of a failed one."""
        failed = ranking(0, self.NODES)[0]
        seconds = {
            ranking(shard, self.NODES)[1].id
            for shard in range(512)
            if ranking(shard, self.NODES)[0] == failed
        }
        self.assertGreater(len(seconds), 3)

    def test_all_zones_name_the_same_home_nodes_first(self) -> None:
        """Guards against an account's budget and cache index spread over the fleet."""
        named = {addresses("acct", f"z{i}", self.NODES, 4, 64)[:2] for i in range(4)}
        expected = ranking(shard_of("acct", 64), self.NODES)[:2]
        self.assertEqual(named, {tuple(node.caller_address for node in expected)})


if __name__ == "__main__":
    unittest.main()
