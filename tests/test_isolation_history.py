"""Accounts that were isolated, known by nodes that restart and miss configurations."""

import unittest
from random import Random

from arbutustally.gateway.cache_scope import cache_scope
from arbutustally.gateway.configuration import ClientAccount, Configuration
from arbutustally.gateway.isolation_history import MAX_ACCOUNTS, IsolationHistory

NAMES = ("a", "b", "c")
NODES = range(3)


def configuration(accounts: dict[str, bool]) -> Configuration:
    """Returns a configuration.

    :param accounts: whether each account is isolated.
    """
    entries = {
        name: ClientAccount(name, 0, 0.0, 0.0, False, 0, is_isolated)
        for name, is_isolated in accounts.items()
    }
    return Configuration(1, (), {}, entries, {})


class Node:
    """What one node knows since its start."""

    def __init__(self, active: Configuration) -> None:
        self.history = IsolationHistory()
        self.learn(active)

    def learn(self, active: Configuration) -> None:
        self.active = active
        self.history.observe(active)

    def scope(self, name: str) -> str:
        isolated = self.history.isolated(self.active)
        return cache_scope(1, self.active.accounts[name], self.active, isolated)


class Fleet:
    """Nodes of which the first sees every configuration and writes names into the store."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.active = configuration(dict.fromkeys(NAMES, False))
        self.stored: set[str] = set()
        self.makers: dict[str, set[str]] = {}
        self.hidden: set[str] = set()
        self.nodes = [Node(self.active) for _ in NODES]
        for node in self.nodes:
            self.read_store(node)

    def configure(self) -> None:
        """Adds, isolates, shares or removes one account."""
        accounts = {name: one.is_isolated for name, one in self.active.accounts.items()}
        changed = self.rng.choice(NAMES)
        accounts.pop(changed, None)
        if self.rng.random() < 0.7:
            accounts[changed] = self.rng.random() < 0.5
        self.active = configuration(accounts)
        self.hidden = {name for name in self.hidden if name not in accounts}
        self.hidden |= {name for name, is_isolated in accounts.items() if is_isolated}
        self.nodes[0].learn(self.active)
        self.stored |= set(self.nodes[0].history.names)

    def learn(self) -> None:
        """A node that learns a configuration from a peer learns the removed accounts with it."""
        node, teacher = self.rng.choice(self.nodes), self.nodes[0]
        for name in teacher.history.removed(teacher.active):
            node.history.add(name)
        node.learn(self.active)

    def restart(self) -> None:
        self.nodes[self.rng.choice(NODES[1:])] = Node(self.active)

    def read(self) -> None:
        self.read_store(self.rng.choice(self.nodes))

    def read_store(self, node: Node) -> None:
        for name in self.stored:
            node.history.add(name)
        node.history.complete()

    def request(self) -> None:
        """A node with the newest configuration reads no part of a hidden account."""
        node, name = self.rng.choice(self.nodes), self.rng.choice(NAMES)
        if node.active is not self.active or name not in self.active.accounts:
            return
        makers = self.makers.setdefault(node.scope(name), set())
        others = makers - {name}
        if others & self.hidden or (others and name in self.hidden):
            raise AssertionError(f"{name} reads parts of {others}, hidden are {self.hidden}")
        makers.add(name)


class FleetTest(unittest.TestCase):
    def test_nobody_reads_parts_of_an_account_removed_while_isolated(self) -> None:
        """Guards against parts that come back with a restart, a removal or a missed configuration."""
        for seed in range(200):
            rng = Random(seed)
            fleet = Fleet(rng)
            steps = (fleet.configure, fleet.learn, fleet.restart, fleet.read, fleet.request)
            with self.subTest(seed=seed):
                for step in rng.choices(steps, weights=(2, 3, 1, 1, 6), k=100):
                    step()

    def test_sharing_goes_on_where_nobody_was_isolated(self) -> None:
        """Guards against cached parts that are lost when an ordinary account is removed."""
        node = Node(configuration({"a": False, "b": False}))
        node.history.complete()
        scope = node.scope("b")
        node.learn(configuration({"b": False}))
        self.assertEqual(node.scope("b"), scope)


class BoundTest(unittest.TestCase):
    def test_number_of_names_is_bounded(self) -> None:
        """Guards against a history that grows without end."""
        history = IsolationHistory()
        for number in range(2 * MAX_ACCOUNTS):
            history.add(f"a{number}")
        self.assertEqual(len(history.names), MAX_ACCOUNTS)
        self.assertEqual(history.names[-1], f"a{2 * MAX_ACCOUNTS - 1}")
