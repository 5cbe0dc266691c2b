"""Decision whether a request leaves the zone of its node, alone and on replayed loads."""

import unittest
from collections import Counter
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.zone_spill import (
    SpillReason,
    ZoneCandidate,
    ZoneCosts,
    ZoneSpill,
)
from bench.zone_replay import LOADS, Result, replay

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


class ReplayTest(unittest.TestCase):
    """Loads of several zones, compared with never leaving and with the least load."""

    def results(self, title: str) -> tuple[Result, Result, Result]:
        return tuple(replay(LOADS[title], policy) for policy in ("never", "least", "spill"))

    def test_nothing_leaves_evenly_loaded_zones(self) -> None:
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
                self.assertLessEqual(spill.turns, 1)

    def test_old_loads_never_cost_more_than_always_taking_the_least(self) -> None:
        """Guards against a herd: all nodes leave for the zone that was idle 3 s ago."""
        for title in ("double, 3 s old", "waves, 3 s old", "crashes, 3 s old"):
            with self.subTest(title):
                _never, least, spill = self.results(title)
                self.assertGreater(spill.worth, least.worth)
                self.assertLess(spill.left, least.left * 0.75)
