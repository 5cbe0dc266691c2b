"""Decision whether a request leaves the zone of its node, alone and on replayed loads."""

import unittest
from collections import Counter
from random import Random
from unittest import mock

from arbutustally.clock import VirtualClock
from arbutustally.gateway.choice import sources_of
from arbutustally.gateway.configuration import Engine, Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.zone_choice import SAMPLED_ENGINES, SAMPLED_HOLDERS, engines_in_zone
from arbutustally.gateway.zone_spill import (
    SpillReason,
    ZoneCandidate,
    ZoneCosts,
    ZoneSpill,
)
from arbutustally.placement import Placement
from bench.zone_replay import LOADS, Result, replay
from tests.gateway_values import entry, prompt

COSTS = ZoneCosts(s_per_gb=1.0, delay_s=0.002)


class ZoneSpillTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(10.0)

    def spill(self, costs: ZoneCosts = COSTS) -> ZoneSpill:
        return ZoneSpill(costs, "a", self.clock, Random(1))

    def test_without_costs_any_zone_may_be_used(self) -> None:
        """Guards against a changed choice of endpoints where no cost is set."""
        decided = self.spill(ZoneCosts()).decide("s", [ZoneCandidate("b", 1.0)], 0)
        self.assertEqual((decided.zone, decided.reason), ("", SpillReason.OFF))

    def test_zone_without_endpoints_is_left_for_all_others(self) -> None:
        """Guards against refusals, and against all nodes that choose the same other zone."""
        spill = self.spill()
        others = [ZoneCandidate("b", 0.1), ZoneCandidate("c", 0.1)]
        chosen = Counter(spill.decide("s", others, 0).zone for _ in range(200))
        self.assertGreater(min(chosen["b"], chosen["c"]), 50)

    def test_bytes_are_weighed_against_cached_parts(self) -> None:
        """Guards against parts fetched across zones that cost more than they save."""
        own = ZoneCandidate("a", 0.6)
        cached = ZoneCandidate("b", 0.1)
        fetching = ZoneCandidate("b", 0.1, fetched_bytes=0.6e9)
        self.assertIs(self.spill().decide("s", [own, cached], 9e3).reason, SpillReason.PARTS_CACHED)
        self.assertEqual(self.spill().decide("s", [own, fetching], 9e3).zone, "a")
        self.assertEqual(self.spill().decide("s", [own, cached], 0.6e9).zone, "a")

    def test_share_rises_slowly_and_holds_between_the_thresholds(self) -> None:
        """Guards against nodes that all leave at once, or return as soon as the loads are equal."""
        spill = self.spill()

        def share(wait_s: float, seconds: float) -> float:
            for _ in range(round(seconds * 10)):
                self.clock.advance(0.1)
                both = [ZoneCandidate("a", 0.1 + wait_s, wait_s), ZoneCandidate("b", 0.1)]
                last = spill.decide("s", both, 0)
            return last.share

        self.assertLess(share(2.0, 0.5), 0.1)
        risen = share(2.0, 5.0)
        self.assertGreater(risen, 0.3)
        self.assertEqual(share(0.03, 5.0), risen)

    def test_share_falls_while_the_other_zone_is_slower(self) -> None:
        """Guards against requests that go on leaving after the load has moved."""
        spill = self.spill()
        for wait_s, other_s, least, most in ((2.0, 0.0, 0.5, 1.0), (0.0, 2.0, 0.0, 0.0)):
            for _ in range(100):
                self.clock.advance(0.1)
                both = [
                    ZoneCandidate("a", 0.1 + wait_s, wait_s),
                    ZoneCandidate("b", 0.1 + other_s, other_s),
                ]
                share = spill.decide("s", both, 0).share
            self.assertTrue(least <= share <= most, share)


class EngineZoneTest(unittest.TestCase):
    """Engines and sources that remain for prompts whose parts are cached in another zone."""

    def remaining(self, s_per_gb: float, limit_s: float = 60.0) -> tuple[set, list, str]:
        """Returns engines, places of sources and the reason, for a node in zone z1."""
        clock = VirtualClock(10.0)
        holdings = Holdings.from_config(clock)
        placement = Placement.from_config(clock, Random(1))
        near, far = EndpointState(entry("near")), EndpointState(entry("far", zone="z2"))
        far.peer_load["n2"] = (0, 50_000.0, 0.0, 0)
        near.peer_load["n2"] = (0, self.near_queue, 0.0, 0)
        asked = prompt(("aa", 6000), ("bb", 500))
        holdings.assume("far", "1.", asked.parts)
        engines, sources, decision = engines_in_zone(
            ZoneSpill(ZoneCosts(s_per_gb, 0.002), "z1", clock, Random(1)),
            placement,
            holdings,
            asked,
            Service("s", 10, Engine(4, 10**9, token_bytes=1e5)),
            [near, far],
            "1.",
            sources_of(holdings, "1.", asked.parts, [near, far], ()),
            limit_s,
        )
        return {state.id for state in engines}, [one.place for one in sources], decision.reason

    def setUp(self) -> None:
        self.near_queue = 0.0

    def test_parts_are_fetched_across_zones_only_if_that_saves_more_than_it_costs(self) -> None:
        """Guards against transfers of 650 MB between zones for a prefill of less worth."""
        self.assertEqual(self.remaining(0.0), ({"near"}, ["far"], SpillReason.OWN_ZONE))
        self.assertEqual(self.remaining(100.0), ({"near"}, [], SpillReason.OWN_ZONE))

    def test_request_that_the_own_zone_would_reject_leaves(self) -> None:
        """Guards against rejections while an engine of another zone would be in time."""
        self.near_queue = 10_000_000.0
        self.assertEqual(self.remaining(1.0, 30.0)[::2], ({"far"}, SpillReason.TOO_LATE))


class ManyEnginesTest(unittest.TestCase):
    """A zone decision in a large fleet, where only a part of the engines is estimated."""

    def test_only_holder_among_many_engines_is_found(self) -> None:
        """Guards against a sample that misses the engine with the parts, or is too large."""
        clock = VirtualClock(10.0)
        holdings = Holdings.from_config(clock)
        engines = [EndpointState(entry(f"e{n}", zone=f"z{1 + n % 2}")) for n in range(400)]
        asked = prompt(("aa", 6000), ("bb", 500))
        holdings.assume("e7", "1.", asked.parts)
        sources = sources_of(holdings, "1.", asked.parts, engines, ())
        service = Service("s", 10, Engine(4, 10**9, token_bytes=1e5))
        for seed in range(10):
            spill = ZoneSpill(ZoneCosts(100.0, 0.002), "z1", clock, Random(seed))
            placement = Placement.from_config(clock, Random(1))
            with mock.patch.object(spill, "decide", wraps=spill.decide) as decide:
                remaining, _sources, decision = engines_in_zone(
                    spill, placement, holdings, asked, service, engines, "1.", sources
                )
            candidates = decide.call_args.args[1]
            self.assertLessEqual(len(candidates), 2 * (SAMPLED_ENGINES + SAMPLED_HOLDERS))
            self.assertAlmostEqual(sum(one.slots for one in candidates), 400 * 4)
            self.assertEqual(
                (decision.zone, decision.reason, len(remaining)),
                ("z2", SpillReason.PARTS_CACHED, 200),
            )


class ReplayTest(unittest.TestCase):
    """Loads of several zones, compared with never leaving and with the least load."""

    def results(self, title: str) -> tuple[Result, Result, Result]:
        return tuple(replay(LOADS[title], policy) for policy in ("never", "least", "spill"))

    def test_nothing_leaves_evenly_loaded_zones(self) -> None:
        """Guards against traffic between zones that gains nothing."""
        _never, least, spill = self.results("even")
        self.assertLess(spill.left, 0.01)
        self.assertGreater(spill.worth, least.worth)

    def test_overloaded_zones_gain_with_recent_loads(self) -> None:
        """Guards against a zone at twice its capacity that never leaves, or sends away too much."""
        for title in ("double", "waves", "crashes"):
            with self.subTest(title):
                never, least, spill = self.results(title)
                self.assertGreater(spill.worth, max(never.worth, least.worth) + 0.03)
                self.assertLess(spill.left, least.left * 0.75)
                self.assertLessEqual(spill.jumps, 1)

    def test_old_loads_never_cost_more_than_always_taking_the_least(self) -> None:
        """Guards against nodes that all leave for the zone that was idle 3 s ago."""
        for title in ("double, 3 s old", "waves, 3 s old", "crashes, 3 s old"):
            with self.subTest(title):
                _never, least, spill = self.results(title)
                self.assertGreater(spill.worth, least.worth)
                self.assertLess(spill.left, least.left * 0.75)
