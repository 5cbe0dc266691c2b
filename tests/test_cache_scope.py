"""Accounts share no cached part with one that is isolated, whenever the part was made."""

import unittest
from random import Random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.cache_scope import cache_scope
from arbutustally.gateway.configuration import ClientAccount, Configuration, Engine, Service
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.named_weights import NamedWeights
from arbutustally.gateway.zone_spill import ZoneCosts, ZoneSpill
from arbutustally.placement import Placement
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.placer import Placer
from tests.gateway_values import entry, prompt, route

NAMES = ("a", "b", "c", "ab")
SETS = st.frozensets(st.sampled_from(NAMES))


def configuration(isolated: frozenset[str], version: int = 1) -> Configuration:
    accounts = {
        name: ClientAccount(name, 0, 0.0, 0.0, False, 0, name in isolated) for name in NAMES
    }
    services = {"s": Service("s", 10, Engine(4, 10**9))}
    return Configuration(version, (route(),), services, accounts, {})


def scope_of(name: str, active: Configuration) -> str:
    return cache_scope(1, active.accounts[name], active, isolated_of(active))


def isolated_of(active: Configuration) -> list[str]:
    return [account.name for account in active.accounts.values() if account.is_isolated]


class CacheScopeTest(unittest.TestCase):
    @given(st.lists(st.tuples(SETS, st.sampled_from(NAMES)), max_size=40))
    def test_no_part_crosses_to_or_from_an_isolated_account(self, requests) -> None:
        """Guards against older parts that come back, at nodes with any mix of configurations."""
        makers: dict[str, set[str]] = {}
        for isolated, name in requests:
            known = makers.setdefault(scope_of(name, configuration(isolated)), set())
            for maker in known - {name}:
                self.assertFalse({name, maker} & isolated, (requests, known))
            known.add(name)

    @given(st.lists(st.tuples(SETS, SETS, st.sampled_from((*NAMES, None))), max_size=40))
    def test_no_part_crosses_at_nodes_that_miss_configurations(self, requests) -> None:
        """Guards against accounts that share while their node's configuration may be old.

        Each request names the accounts that are isolated, and those that its node believes to be.
        """
        makers: dict[str, set[str]] = {}
        for isolated, believed, name in requests:
            active = configuration(believed)
            account = None if name is None else active.accounts[name]
            scope = cache_scope(1, account, active, isolated_of(active), isolated == believed)
            known = makers.setdefault(scope, set())
            for maker in known - {name}:
                self.assertFalse({name, maker} & isolated, (requests, scope))
            known.add(name)

    def test_scope_is_as_before_without_isolated_accounts(self) -> None:
        """Guards against cached parts that are lost by an update of the nodes."""
        active = configuration(frozenset())
        self.assertEqual(cache_scope(7, active.accounts["a"], active, ()), "7.")
        self.assertEqual(cache_scope(7, None, active, ()), "7.")

    def test_accounts_share_while_the_set_stays_the_same(self) -> None:
        """Guards against cached parts that are lost at every change of the configuration."""
        first, second = (configuration(frozenset("c"), version) for version in (1, 2))
        scopes = {scope_of(name, active) for name in "ab" for active in (first, second)}
        self.assertEqual(len(scopes), 1)
        self.assertEqual(scope_of("c", first), scope_of("c", second))


class PlacerScopeTest(unittest.TestCase):
    """Placement of requests before and after an account becomes isolated."""

    def setUp(self) -> None:
        clock = VirtualClock(100.0)
        self.view = FleetView(None, clock, None)
        self.view.book.put(entry("e"))
        self.view.weights["m"] = NamedWeights()
        self.view.weights["m"].learn(1, 100.0)
        self.services = SimpleNamespace(
            view=self.view,
            zone="z1",
            rng=Random(3),
            clock=clock,
            placement=Placement.from_config(clock, Random(3)),
            holdings=Holdings.from_config(clock),
            nodes=lambda: 1,
            has_relayed_loads=lambda: False,
            spill=ZoneSpill(ZoneCosts(), "z1", clock, Random(3)),
            weights_s=8.0,
            list_age_s=lambda: 0.0,
            contact=SimpleNamespace(is_current=True),
        )

    def placer(self, name: str, active: Configuration) -> Placer:
        trace = SimpleNamespace(facts={})
        account = active.accounts[name]
        return Placer(self.services, prompt(("aa", 400)), active, route(), account, trace)

    def scope(self, placer: Placer) -> str:
        return placer.place(60.0, False).cache_scope

    def test_others_leave_the_scope_of_an_account_that_becomes_isolated(self) -> None:
        """Guards against parts that an account made before it was isolated."""
        before, after = configuration(frozenset()), configuration(frozenset("a"), 2)
        scopes = [self.scope(self.placer("a", before))]
        self.view._configuration = after
        scopes += [self.scope(self.placer(name, after)) for name in ("a", "b")]
        self.assertEqual(len(set(scopes)), 3)

    def test_request_begun_before_keeps_to_the_new_configuration(self) -> None:
        """Guards against a retry that reads parts which its account may no longer read."""
        before, after = configuration(frozenset()), configuration(frozenset("a"), 2)
        running = [self.placer(name, before) for name in ("a", "b")]
        self.view._configuration = after
        for placer, name in zip(running, "ab", strict=True):
            self.assertEqual(self.scope(placer), self.scope(self.placer(name, after)))

    def test_accounts_share_nothing_while_the_configuration_may_be_old(self) -> None:
        """Guards against a node that is cut off and shares parts of an account isolated meanwhile."""
        active = configuration(frozenset())
        self.view._configuration = active
        shared = [self.scope(self.placer(name, active)) for name in ("a", "b")]
        self.services.contact.is_current = False
        own = [self.scope(self.placer(name, active)) for name in ("a", "b")]
        self.assertEqual(len({*shared, *own}), 3)
        self.assertEqual(self.scope(self.placer("a", active)), own[0])
        self.services.contact.is_current = True
        self.assertEqual(self.scope(self.placer("b", active)), shared[1])
