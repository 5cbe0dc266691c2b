"""Named weights: which versions are allowed, and when engines load."""

import math
import unittest

from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.named_weights import NamedWeights
from arbutustally.gateway.weights import (
    MAX_DRAIN_S,
    MIN_DRAIN_S,
    STEP_PAUSE_S,
    are_overloaded,
    breaks_runs_off,
    is_drained,
    loads_at_once,
    loads_in_step,
    plan_loads,
    record_order,
    unrepeatable_runs,
)
from tests.gateway_values import entry


class NamedWeightsTest(unittest.TestCase):
    def test_each_version_is_allowed_until_the_one_after_it_is_old(self) -> None:
        """Guards against use of the oldest of three versions just after the newest is named."""
        named = NamedWeights()
        for version, at in ((1, 0.0), (2, 2.0), (3, 5.0), (4, 8.6)):
            self.assertTrue(named.learn(version, at))
        self.assertFalse(named.learn(3, 4.9))
        self.assertEqual(named.oldest_allowed(7.9, 6.0), 1)
        self.assertEqual(named.oldest_allowed(8.0, 6.0), 2)
        self.assertEqual(named.oldest_allowed(10.9, 6.0), 3)
        self.assertEqual(named.oldest_allowed(20.0, 6.0), 4)
        ends = [named.allowed_until(version, 6.0) for version in range(5)]
        self.assertEqual(ends, [6.0, 8.0, 10.9, 14.6, math.inf])

    def test_version_named_before_the_start_leaves_no_time_for_older_ones(self) -> None:
        """Guards against restarted nodes that start requests on weights replaced long before."""
        named = NamedWeights()
        self.assertTrue(named.learn(5, -math.inf))
        self.assertEqual((named.oldest_allowed(100.0, 6.0), named.dated), (5, {}))
        named.learn(5, 98.0)
        self.assertEqual((named.oldest_allowed(100.0, 6.0), named.dated), (0, {5: 98.0}))
        named.learn(5, -math.inf)
        self.assertEqual(named.oldest_allowed(100.0, 6.0), 0)


class WeightsPlanTest(unittest.TestCase):
    def test_few_engines_load_at_once_and_the_oldest_go_first(self) -> None:
        states = [EndpointState(entry(f"e{number}"), weights={"m": 2}) for number in range(5)]
        states[3].weights = {"m": 1}
        plan = plan_loads(states, "m", 3, 2, 10.0)
        self.assertEqual((plan.engines[0], len(plan.engines), plan.pending), ("e3", 2, 5))
        states[0].loading, states[0].loading_until = True, 11.0
        self.assertEqual(len(plan_loads(states, "m", 3, 2, 10.0).engines), 1)

    def test_engine_that_leaves_orders_unanswered_does_not_keep_others_waiting(self) -> None:
        """Guards against willing engines that load only once the old weights are forbidden."""
        states = [EndpointState(entry(f"e{number}"), weights={"m": 1}) for number in range(5)]
        for state in states[1:]:
            record_order(state, False, 10.0)
        states[0].memory_tokens = 1000.0
        self.assertEqual(plan_loads(states, "m", 2, 1, 10.0).engines, ("e0",))
        record_order(states[2], True, 10.0)
        states[2].weights["m"] = 0
        self.assertEqual(plan_loads(states, "m", 2, 2, 10.0).engines, ("e2", "e0"))
        record_order(states[3], False, 10.0)
        self.assertEqual(plan_loads(states, "m", 2, 5, 10.0).engines[-1], "e3")

    def test_engine_is_drained_before_it_loads(self) -> None:
        """Simulates an engine with long streams: it loads soon and no request is lost."""
        state = EndpointState(entry("e1"))
        self.assertFalse(is_drained(state, 0.0, 0))
        self.assertTrue(is_drained(state, MIN_DRAIN_S, 0))
        state.peer_load["n2"] = (1, 0.0, 0.0, 1)
        self.assertFalse(is_drained(state, MIN_DRAIN_S, state.peer_unrepeatable))
        self.assertFalse(breaks_runs_off(state, state.peer_unrepeatable))
        self.assertTrue(is_drained(state, MAX_DRAIN_S, state.peer_unrepeatable))
        state.peer_load["n2"] = (5, 0.0, 0.0, 0)
        self.assertTrue(breaks_runs_off(state, state.peer_unrepeatable))
        state.peer_load["n3"] = (50, 0.0, 0.0, 0)
        self.assertFalse(breaks_runs_off(state, state.peer_unrepeatable))

    def test_engines_that_load_together_share_the_budget_of_repeats(self) -> None:
        """Guards against two orders that each abort as many requests as one budget covers."""
        states = [EndpointState(entry(f"e{number}")) for number in range(3)]
        for state in states:
            state.running, state.unrepeatable = 3, 1
        self.assertEqual(unrepeatable_runs(states[0], [], 2), 1)
        self.assertEqual(unrepeatable_runs(states[0], [], 1), 2)
        self.assertEqual(unrepeatable_runs(states[0], [], 0), 3)
        self.assertEqual(unrepeatable_runs(states[0], states[:1], 2), 1)
        self.assertEqual(unrepeatable_runs(states[0], states[:2], 4), 1)
        self.assertEqual(unrepeatable_runs(states[0], states[:2], 3), 2)
        self.assertEqual(unrepeatable_runs(states[0], states, 1), 3)


class LoadPaceTest(unittest.TestCase):
    """Simulates weights named while a quarter of the engines is lost and the rest is busy."""

    LOAD_S = 2.5

    def simulate(self, engines: int, bound_s: float, is_overloaded: bool) -> tuple[int, float]:
        """Returns the maximum of engines loading at once, and the time when all had loaded."""
        pending, now, most = engines, 0.0, 0
        ends: list[float] = []
        while pending or ends:
            ends = [end for end in ends if end > now]
            at_once = loads_at_once(
                engines, pending + len(ends), bound_s - now, self.LOAD_S, is_overloaded
            )
            begin = min(pending, loads_in_step(engines), max(0, at_once - len(ends)))
            ends += [now + self.LOAD_S] * begin
            pending -= begin
            most = max(most, len(ends))
            now += STEP_PAUSE_S
        return most, now

    def test_fewer_engines_load_while_the_others_are_overloaded(self) -> None:
        idle, _ = self.simulate(70, 15.0, False)
        busy, _ = self.simulate(70, 15.0, True)
        self.assertGreater(idle, 1.5 * busy)

    def test_all_have_loaded_before_old_weights_are_refused(self) -> None:
        for engines in (1, 2, 5, 9, 30, 70, 2600):
            for bound_s in (8.0, 12.0, 15.0):
                most, ended = self.simulate(engines, bound_s, True)
                idle, idle_ended = self.simulate(engines, bound_s, False)
                self.assertLessEqual(ended, max(bound_s, idle_ended), (engines, bound_s))
                self.assertLessEqual(most, max(idle, 1))

    def test_engines_are_overloaded_by_their_mean_wait(self) -> None:
        self.assertFalse(are_overloaded([], 0.5))
        self.assertFalse(are_overloaded([0.0, 0.1, 0.2], 0.5))
        self.assertTrue(are_overloaded([0.0, 0.3, 0.4], 0.5))
