"""Choice of an endpoint for a request, by cached parts, load and weights."""

import math
import unittest
from collections import Counter
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.choice import (
    PartSource,
    choose_engine,
    choose_plain,
    fetch_source,
    must_save,
    sources_of,
    weights_to_use,
)
from arbutustally.gateway.configuration import (
    Engine,
    PartStore,
    Service,
)
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.holdings import ASSUMED_S, Holdings
from arbutustally.gateway.requests import CallerRequest
from arbutustally.placement import Placement
from tests.gateway_values import entry, prompt


class ConstantRandom:
    """Random number generator that always returns the same number."""

    def __init__(self, number: float) -> None:
        self._number = number

    def random(self) -> float:
        return self._number


LOW = ConstantRandom(0.0)
HIGH = ConstantRandom(0.99)


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.holdings = Holdings.from_config(self.clock)
        self.states = [EndpointState(entry(name)) for name in ("e1", "e2", "e3")]
        self.service = Service("s", 10, Engine(4, 50_000))
        self.placement = Placement.from_config(self.clock, Random(3))
        self.nodes = 1

    def choose(self, request: CallerRequest) -> str:
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
        ).endpoint

    def test_engine_that_holds_the_parts_is_chosen(self) -> None:
        request = prompt(("aa", 6000), ("bb", 500))
        self.holdings.assume("e3", "1.", request.parts[:1])
        self.assertEqual(self.choose(request), "e3")

    def test_parts_of_other_weights_or_accounts_do_not_count(self) -> None:
        request = prompt(("aa", 6000), ("bb", 500))
        self.holdings.assume("e3", "2.", request.parts)
        self.holdings.assume("e2", "1.school", request.parts)
        self.assertEqual(self.holdings.prefix_tokens("e3", "1.", request.parts), 0)
        self.assertEqual(self.holdings.prefix_tokens("e2", "1.", request.parts), 0)

    def test_queue_of_other_nodes_moves_a_request_away(self) -> None:
        request = prompt(("aa", 6000))
        self.holdings.assume("e3", "1.", request.parts)
        self.states[2].peer_load["n2"] = (9, 80_000.0, 0.0, 0)
        self.assertNotEqual(self.choose(request), "e3")

    def test_full_memory_moves_a_request_away(self) -> None:
        """Guards against long prompts that wait or are preempted at an engine without memory."""
        request = prompt(("aa", 6000))
        self.holdings.assume("e3", "1.", request.parts)
        self.states[2].memory_tokens = 50_000.0
        self.assertNotEqual(self.choose(request), "e3")

    def source(self, request: CallerRequest, engine: int = 2) -> PartSource | None:
        sources = sources_of(self.holdings, "1.", request.parts, self.states, ())
        state = self.states[engine]
        return fetch_source(self.holdings, "1.", request.parts, state, sources, Random(3))

    def test_source_holds_most(self) -> None:
        request = prompt(("aa", 6000), ("bb", 500))
        self.assertIsNone(self.source(request))
        self.holdings.assume("e1", "1.", request.parts[:1])
        self.holdings.assume("e2", "1.", request.parts)
        source = self.source(request)
        self.assertEqual((source.place, source.tokens), ("e2", 6500))

    def test_transfers_of_a_hot_part_are_spread_over_its_holders(self) -> None:
        """Simulates a part that all engines fetch; a holder transfers one part at a time."""
        request = prompt(("aa", 6000), ("bb", 500))
        self.states = [EndpointState(entry(f"e{number}")) for number in range(20)]
        for state in self.states[:10]:
            self.holdings.assume(state.id, "1.", request.parts[:1])
        sources = sources_of(self.holdings, "1.", request.parts, self.states, ())
        rng, engine = Random(3), self.states[15]
        named = Counter(
            fetch_source(self.holdings, "1.", request.parts, engine, sources, rng).place
            for _ in range(200)
        )
        self.assertEqual(len(named), 10)
        self.assertLess(max(named.values()), 2 * 200 / 10)

    def test_holder_in_the_zone_of_the_engine_goes_first(self) -> None:
        request = prompt(("aa", 6000), ("bb", 500))
        self.states = [
            EndpointState(entry(f"e{number}", zone=f"z{number % 3}")) for number in range(9)
        ]
        for state in self.states[:6]:
            self.holdings.assume(state.id, "1.", request.parts[:1])
        self.assertIn(self.source(request, 7).place, ("e1", "e4"))

    def test_second_request_queues_where_its_parts_are_being_read(self) -> None:
        """Simulates a burst on a long shared part: it is computed once, not on every engine."""
        request = prompt(("aa", 6000), ("bb", 500))
        first = self.choose(request)
        self.holdings.expect(first, "1.", request.parts)
        self.assertEqual([self.choose(request) for _ in range(3)], [first] * 3)
        self.assertEqual(sources_of(self.holdings, "1.", request.parts, self.states, ()), [])
        self.holdings.cancel_expected(first, "1.", request.parts)
        self.assertEqual(self.holdings.prefix_tokens(first, "1.", request.parts, True), 0)

    def test_engine_that_may_have_dropped_parts_gets_another_source(self) -> None:
        """Guards against parts computed again after an engine dropped them without any event."""
        request = prompt(("aa", 6000), ("own", 3000))
        for engine in ("e1", "e2"):
            self.holdings.assume(engine, "1.", request.parts[:1])
        self.assertEqual(self.source(request, 0).place, "e2")
        self.holdings.record_stored("e1", "1.", "aa", 6000)
        self.assertIsNone(self.source(request, 0))

    def test_only_parts_that_are_shared_and_missing_are_saved(self) -> None:
        store = Service("kv", 10, None, PartStore("10.0.0.9:1", "z1", 12))
        request = prompt(("aa", 6000), ("bb", 500), ("own", 2000))
        self.assertTrue(must_save(self.holdings, "1.", request.parts, store))
        self.holdings.record_stored("kv", "1.", "aa", 5_990)
        self.assertTrue(must_save(self.holdings, "1.", request.parts, store))
        self.holdings.record_stored("kv", "1.", "bb", 496)
        self.assertFalse(must_save(self.holdings, "1.", request.parts, store))
        self.assertFalse(must_save(self.holdings, "1.", request.parts[2:], store))

    def test_assumed_part_expires_and_reported_part_stays(self) -> None:
        request = prompt(("aa", 6000))
        self.holdings.assume("e1", "1.", request.parts)
        self.holdings.record_stored("e2", "1.", "aa", 6000)
        self.clock.advance(ASSUMED_S + 1)
        self.assertEqual(self.holdings.prefix_tokens("e1", "1.", request.parts), 0)
        self.assertEqual(self.holdings.prefix_tokens("e2", "1.", request.parts), 6000)
        self.holdings.record_dropped("e2", "1.", "aa", 0)
        self.assertEqual(self.holdings.prefix_tokens("e2", "1.", request.parts), 0)

    def test_busy_plain_endpoint_is_left_out(self) -> None:
        self.states[0].running = 4
        self.states[1].running = 4
        chosen = choose_plain(self.states, "z1", Random(1), 0.0)
        self.assertEqual(chosen.id, "e3")

    def test_plain_endpoint_that_has_not_answered_counts_as_the_others(self) -> None:
        """Guards against new endpoints that get no requests while the others answer fast."""
        self.states[0].latency_s = self.states[1].latency_s = 0.004
        chosen = Counter(
            choose_plain(self.states, "z1", Random(seed), 0.0).id for seed in range(60)
        )
        self.assertGreater(chosen["e3"], 0)

    def test_failures_of_a_plain_endpoint_are_forgotten(self) -> None:
        """Guards against an endpoint that gets no requests since it has failed long ago."""
        for state in self.states:
            state.latency_s = 0.05
        self.states[0].failures, self.states[0].failed_at = 4.0, 100.0
        for now, expected in ((101.0, {"e2", "e3"}), (103.0, {"e1", "e2", "e3"})):
            chosen = {choose_plain(self.states, "", Random(seed), now).id for seed in range(60)}
            self.assertEqual(chosen, expected)

    def test_named_weights_are_preferred_to_older_ones(self) -> None:
        self.states[0].weights = {"m": 1}
        self.states[1].weights = {"m": 2}
        self.states[2].weights = {"m": 1}
        version, eligible = weights_to_use(self.states, "m", 2, 1, LOW)
        self.assertEqual((version, [state.id for state in eligible]), (2, ["e2"]))
        self.states[1].loading = True
        version, eligible = weights_to_use(self.states, "m", 2, 1, LOW)
        self.assertEqual((version, [state.id for state in eligible]), (1, ["e1", "e3"]))
        self.assertEqual(weights_to_use(self.states, "m", 2, 2, LOW)[1], [])

    def test_repeat_uses_older_weights_before_any_engine_has_new_ones(self) -> None:
        """Guards against repeats that find no engine when engines fail just after a new version."""
        for state in self.states:
            state.weights = {"m": 1}
        version, eligible = weights_to_use(
            self.states, "m", 2, 1, HIGH, lambda _state: 0.1, math.inf
        )
        self.assertEqual((version, len(eligible)), (1, 3))

    def test_first_engines_with_new_weights_do_not_get_all_the_load(self) -> None:
        """Simulates 60 engines of which 3 have loaded; all nodes see these idle at once."""
        states = [EndpointState(entry(f"e{number}")) for number in range(60)]
        for number, state in enumerate(states):
            state.weights["m"] = 2 if number < 3 else 1
        rng = Random(1)

        def new_part(oldest_allowed: int) -> float:
            versions = [
                weights_to_use(states, "m", 2, oldest_allowed, rng, lambda _state: 0.0, 0.1)[0]
                for _ in range(1000)
            ]
            return versions.count(2) / 1000

        self.assertAlmostEqual(new_part(1), 0.1, delta=0.03)
        self.assertEqual(new_part(2), 1.0)
        for state in states[:30]:
            state.weights["m"] = 2
        self.assertEqual(new_part(1), 1.0)

    def test_engines_with_older_weights_share_the_load_of_a_move(self) -> None:
        """Guards against all the load on the one engine that has loaded new weights first."""
        for state, version in zip(self.states, (1, 2, 1), strict=True):
            state.weights = {"m": version}
        waits = {"e1": 0.1, "e2": 2.0, "e3": 0.4}

        def use(oldest_allowed: int) -> tuple[int, list[str]]:
            version, eligible = weights_to_use(
                self.states, "m", 2, oldest_allowed, LOW, lambda state: waits[state.id], 0.1
            )
            return version, [state.id for state in eligible]

        self.assertEqual(use(1), (1, ["e1", "e3"]))
        self.assertEqual(use(2), (2, ["e2"]))
        waits["e2"] = 0.05
        self.assertEqual(use(1), (2, ["e2"]))
        self.states[0].weights = {"m": 0}
        waits["e2"], waits["e1"], waits["e3"] = 2.0, 0.2, 1.0
        self.assertEqual(use(0), (0, ["e1"]))
        waits["e2"], waits["e1"], waits["e3"] = 0.5, 3.0, 3.0
        self.assertEqual(use(1), (2, ["e2"]))
