"""Which nodes callers are named, in fleets of equal and of unequal instances."""

import unittest
from collections import Counter
from dataclasses import replace
from random import Random

from arbutustally.gateway.entry_nodes import MAX_ADDRESSES, MIN_NAMED, addresses_for, entry_nodes
from arbutustally.gateway.relaying import Member
from tests.gateway_values import member


def fleet(count: int, capacity: int, first: int = 0, zones: str = "abc") -> list[Member]:
    """Returns nodes of one capacity that are divided among zones."""
    return [
        replace(member(f"n{number}", f"10.0.0.{number}", capacity=capacity), zone=zones[number % 3])
        for number in range(first, first + count)
    ]


class EntryNodesTest(unittest.TestCase):
    def test_all_equal_instances_are_named(self) -> None:
        """Guards against a small fleet that keeps some of its nodes from callers."""
        nodes = fleet(8, 500)
        self.assertEqual(set(addresses_for("a", nodes, Random(1))), {one.callers for one in nodes})

    def test_strong_instances_of_every_zone_are_named(self) -> None:
        """Guards against callers that spread over many small instances."""
        nodes = [*fleet(60, 5), *fleet(6, 200, first=60)]
        named = entry_nodes(nodes)
        self.assertEqual(len(named), MIN_NAMED)
        self.assertEqual(sum(one.capacity == 200 for one in named), 6)
        per_zone = Counter(one.zone for one in named)
        self.assertLessEqual(max(per_zone.values()) - min(per_zone.values()), 1)

    def test_many_instances_are_named_where_strong_ones_do_not_suffice(self) -> None:
        """Guards against callers of a large fleet that all use a few strong instances."""
        nodes = [*fleet(200, 10), *fleet(4, 20, first=200)]
        self.assertGreaterEqual(len(entry_nodes(nodes)), 98)
        self.assertEqual(len(addresses_for("a", nodes, Random(1))), MAX_ADDRESSES)

    def test_lost_instances_are_replaced_at_once(self) -> None:
        """Guards against callers without a node after the strongest instances are lost."""
        weak = fleet(60, 5)
        mixed = [*weak[:30], *fleet(2, 9, first=60)]
        self.assertGreaterEqual(len(entry_nodes(mixed)), MIN_NAMED)
        self.assertEqual(addresses_for("a", [], Random(1)), [])
