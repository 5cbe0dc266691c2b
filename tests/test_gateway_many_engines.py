"""Choice among many engines by the observations of a node and its peers."""

import unittest
from collections import Counter
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.choice import (
    PLACEMENT_OPTIONS,
    choose_engine,
    fetch_source,
    must_save,
    sources_of,
    store_of,
)
from arbutustally.gateway.configuration import (
    Engine,
    PartStore,
    Service,
)
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.engine_speeds import EngineSpeeds, add_works, subtract_works
from arbutustally.gateway.holdings import ASSUMED_S, STORE_ASSUMED_S, Holdings, PlaceTerms
from arbutustally.gateway.requests import CallerRequest
from arbutustally.placement import Placement
from arbutustally.placement_types import Choice
from tests.gateway_values import entry, prompt


class ManyEnginesTest(unittest.TestCase):
    """Simulates a fleet of 70 engines of which each node sees few answers."""

    ENGINES = 70

    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.holdings = Holdings.from_config(self.clock)
        self.speeds = EngineSpeeds.from_config(self.clock)
        self.states = [EndpointState(entry(f"e{number}")) for number in range(self.ENGINES)]
        self.service = Service("s", 10, Engine(4, 50_000))
        self.placement = self.new_placement(3)
        self.nodes = 195

    def new_placement(self, seed: int) -> Placement:
        return Placement.from_config(self.clock, Random(seed), PLACEMENT_OPTIONS, self.speeds)

    def choose(self, request: CallerRequest) -> Choice:
        return choose_engine(
            self.placement,
            self.holdings,
            request,
            self.service,
            self.states,
            1,
            "",
            "1.",
            0,
            0.3,
            "z1",
            self.nodes,
        )

    def test_engine_that_peers_reported_as_holder_is_chosen(self) -> None:
        """Guards against parts computed again although a peer reported an engine with them."""
        for number in range(self.ENGINES):
            request = prompt((f"part-{number}", 6000), ("own", 500))
            self.holdings.assume(f"e{number}", "1.", request.parts[:1])
            self.assertEqual(self.choose(request).endpoint, f"e{number}")

    def test_holders_of_a_hot_part_share_its_requests(self) -> None:
        """Simulates a part that 20 engines hold, and nodes that choose concurrently."""
        self.nodes = 1
        for state in self.states[:20]:
            state.entry = entry(state.id, zone="z1")
            self.holdings.assume(state.id, "1.", prompt(("guide", 2500)).parts)
        chosen: Counter[str] = Counter()
        for node in range(60):
            self.placement = self.new_placement(node)
            chosen[self.choose(prompt(("guide", 2500), (f"session-{node}", 3800))).endpoint] += 1
        self.assertGreater(len(chosen), 15)

    def test_expected_time_uses_the_speeds_that_peers_observed(self) -> None:
        """Guards against rejections by a node that assumes unobserved engines to be slow."""
        self.speeds.set_peers("relay", {f"e{number}": (50_000.0, 1.0) for number in range(35)})
        choice = self.choose(prompt(("aa", 10_000)))
        self.assertAlmostEqual(choice.estimate_s, 0.2, delta=0.02)

    def test_slow_engine_gets_fewer_requests_until_it_recovers(self) -> None:
        """Simulates an engine at a quarter of its speed that recovers."""
        self.nodes = 1
        for _ in range(5):
            for state in self.states[:3]:
                slow = state.id == "e0"
                self.speeds.observe(state.id, 10_000, 0.8 if slow else 0.2)
            self.clock.advance(0.2)
        self.assertLess(self.speeds.speed("e0"), 0.4 * self.speeds.speed("e1"))
        self.states = self.states[:2]
        self.states[1].prompt_tokens = 8_000.0
        self.assertEqual(self.choose(prompt(("aa", 5_000))).endpoint, "e1")
        self.states[1].prompt_tokens = 90_000.0
        self.assertEqual(self.choose(prompt(("bb", 5_000))).endpoint, "e0")
        for _ in range(20):
            self.clock.advance(0.5)
            for state in self.states:
                self.speeds.observe(state.id, 10_000, 0.2)
        self.assertGreater(self.speeds.speed("e0"), 0.85 * self.speeds.speed("e1"))

    def test_engines_that_read_other_prompts_count_as_equally_fast(self) -> None:
        """Simulates prompts of all sizes at equally fast engines with a fixed latency of 60 ms."""
        sizes = (300, 700, 2_500, 9_000, 40_000)
        for step in range(10):
            for number, state in enumerate(self.states):
                tokens = sizes[number % len(sizes)]
                wait_s = 0.1 * ((number + step) % 3 == 0)
                self.speeds.observe(state.id, tokens, 0.06 + wait_s + tokens / 90_000)
            self.clock.advance(0.2)
        self.assertEqual(len({self.speeds.speed(state.id) for state in self.states}), 1)

    def test_nodes_that_choose_at_once_do_not_all_choose_the_same_engine(self) -> None:
        """Simulates a hot part after a load: no engine holds it, and 195 nodes choose concurrently.

        Each node receives one request a second and does not know the concurrent ones of others.
        """
        chosen: Counter[str] = Counter()
        for node in range(60):
            self.placement = self.new_placement(node)
            for second in range(3):
                session = f"session-{node}-{second}"
                choice = self.choose(prompt(("guide", 2500), (session, 3800), ("own", 2800)))
                self.clock.advance(1.0)
            chosen[choice.endpoint] += 1
        self.assertGreater(len(chosen), 15)
        self.assertLessEqual(max(chosen.values()), 8)

    def test_evicted_parts_do_not_count(self) -> None:
        """Simulates an engine of a large fleet whose whole cache is replaced within a second."""
        self.holdings = Holdings.from_config(self.clock, lambda _place: PlaceTerms(10_000))
        first = prompt(("history", 4_000), ("own", 1_000)).parts
        self.holdings.assume("e0", "1.", first)
        for number in range(4):
            self.holdings.assume("e0", "1.", prompt((f"other-{number}", 1_000)).parts)
        self.assertEqual(self.holdings.prefix_tokens("e0", "1.", first), 5_000)
        self.holdings.assume("e0", "1.", first[:1])
        self.holdings.assume("e0", "1.", prompt(("long", 6_000)).parts)
        self.assertEqual(self.holdings.prefix_tokens("e0", "1.", first), 4_000)
        self.holdings.assume("e0", "1.", prompt(("longer", 9_000)).parts)
        self.assertEqual(self.holdings.prefix_tokens("e0", "1.", first), 0)

    def test_part_is_fetched_from_the_place_that_used_it_last(self) -> None:
        parts = prompt(("guide", 2_500), ("history", 3_800), ("own", 900)).parts
        for name in ("e1", "e2", "e3"):
            self.holdings.assume(name, "1.", parts[:2])
            self.clock.advance(2.0)
        sources = sources_of(self.holdings, "1.", parts, self.states, ())
        chosen = {
            fetch_source(self.holdings, "1.", parts, self.states[0], sources, Random(seed)).place
            for seed in range(20)
        }
        self.assertEqual(chosen, {"e3"})

    def test_stores_share_the_parts_and_every_node_derives_the_same_one(self) -> None:
        """Guards against the overload of one store's network link: 300 histories, three stores."""
        stores = [Service(f"keep-{n}", 10, part_store=PartStore("a:1", "z1", 3)) for n in range(3)]
        chosen: Counter[str] = Counter()
        for number in range(300):
            parts = prompt(("guide", 2_500), (f"history-{number}", 3_800), ("own", 900)).parts
            name = store_of(stores, "1.", parts).name
            self.assertEqual(name, store_of(stores[::-1], "1.", parts).name)
            chosen[name] += 1
        self.assertGreater(min(chosen.values()), 60)
        self.assertIsNone(store_of(stores, "1.", parts[:1]))
        self.assertIsNone(store_of([], "1.", parts))

    def test_saved_parts_are_fetched_from_a_store_without_events(self) -> None:
        """Simulates a fleet too large to follow the store's events, and a part reused late."""
        self.holdings = Holdings.from_config(self.clock, self.terms_of_a_store)
        store = Service("keep", 10, part_store=PartStore("10.0.0.9:1", "z1", 3))
        parts = prompt(("guide", 2_500), ("history", 3_800), ("own", 900)).parts
        self.assertTrue(must_save(self.holdings, "1.", parts, store))
        self.holdings.assume("keep", "1.", parts[:2])
        self.holdings.assume("e5", "1.", parts)
        self.clock.advance(ASSUMED_S + 1)
        self.assertFalse(must_save(self.holdings, "1.", parts, store))
        sources = sources_of(self.holdings, "1.", parts, self.states, [store])
        source = fetch_source(self.holdings, "1.", parts, self.states[0], sources, Random(1))
        self.assertEqual((source.place, source.tokens), ("keep", 6_300))
        self.clock.advance(STORE_ASSUMED_S)
        self.assertTrue(must_save(self.holdings, "1.", parts, store))

    def terms_of_a_store(self, place: str) -> PlaceTerms:
        return PlaceTerms(assumed_s=STORE_ASSUMED_S) if place == "keep" else PlaceTerms()

    def test_engine_without_a_free_slot_counts_as_busy(self) -> None:
        """Simulates long streams: no prefill is queued, but every slot of the holder is taken."""
        request = prompt(("aa", 3_000), ("own", 50))
        self.holdings.assume("e0", "1.", request.parts[:1])
        self.states[0].latency_s = 2.0
        self.assertEqual(self.choose(request).endpoint, "e0")
        self.states[0].peer_load["relay"] = (self.states[0].entry.slots, 0.0, 0.0, 0)
        self.assertNotEqual(self.choose(request).endpoint, "e0")

    def test_own_observations_are_not_counted_twice(self) -> None:
        self.speeds.observe("e0", 10_000, 0.2)
        own = self.speeds.own()
        total = add_works([own, {"e0": (10_000.0, 0.4)}, {"e1": (500.0, 0.1)}])
        rest = subtract_works(total, own)
        self.assertEqual(set(rest), {"e0", "e1"})
        self.assertAlmostEqual(rest["e0"][1], 0.4)

    def test_engine_of_the_own_zone_wins_among_equals(self) -> None:
        for number, state in enumerate(self.states):
            state.entry = entry(state.id, zone=f"z{number % 5}")
            self.holdings.assume(state.id, "1.", prompt(("aa", 6000)).parts)
        zones = {self.zone_of(self.choose(prompt(("aa", 6000), ("own", 50)))) for _ in range(20)}
        self.assertEqual(zones, {"z1"})

    def zone_of(self, choice: Choice) -> str:
        return next(state.entry.zone for state in self.states if state.id == choice.endpoint)
