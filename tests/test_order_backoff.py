"""Replays of orders to engines of which some leave orders unanswered, on a virtual clock."""

import unittest
from collections.abc import Callable

from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.weights import (
    MAX_ORDER_BACKOFF_S,
    STEP_PAUSE_S,
    loads_at_once,
    loads_in_step,
    plan_loads,
    record_order,
)
from tests.gateway_values import entry

#: Times for which an engine takes part in loading, seconds: until it has loaded, with its requests
#: finished first, and without an answer. All engines in turn take longer than versions last.
LOAD_S = 2.4
UNANSWERED_S = 2.6
#: Time for which replaced weights are allowed, seconds.
ALLOWED_S = 6.0
#: Time after which an engine may no longer have replaced weights, seconds.
LATEST_S = 1.5 * ALLOWED_S
NAMED_EVERY_S = 3.0
END_S = 60.0


class Replay:
    """Orders of one holder of the lease to its engines.

    :param obeys: returns whether an engine carries out an order at a time.
    """

    def __init__(self, engines: int, obeys: Callable[[int, float], bool]) -> None:
        self.states = [
            EndpointState(entry(f"e{number}"), weights={"m": 1}) for number in range(engines)
        ]
        self.obeys = obeys
        self.named_at = [0.0]
        self.loaded: list[tuple[float, int, int]] = []

    def play(self) -> None:
        """Orders until the end, with a new version every ``NAMED_EVERY_S``."""
        now = 0.0
        while now < END_S:
            if now >= len(self.named_at) * NAMED_EVERY_S:
                self.named_at.append(now)
            for state in self.states:
                state.loading = state.loading and now < state.loading_until
            self._order(now)
            now += STEP_PAUSE_S

    def _order(self, now: float) -> None:
        named = len(self.named_at) + 1
        at_once = loads_at_once(len(self.states))
        plan = plan_loads(self.states, "m", named, at_once, now)
        for name in plan.engines[: loads_in_step(len(self.states))]:
            number = next(i for i, state in enumerate(self.states) if state.id == name)
            state = self.states[number]
            is_answered = self.obeys(number, now)
            record_order(state, is_answered, now)
            state.loading = True
            state.loading_until = now + (LOAD_S if is_answered else UNANSWERED_S)
            if is_answered:
                state.weights["m"] = named
                self.loaded.append((now, number, named))

    def longest_outdated_s(self, number: int, since: float) -> float:
        """Returns the longest time for which an engine had a version that had been replaced.

        :param since: time from which this counts.
        """
        loads = [(at, version) for at, engine, version in self.loaded if engine == number]
        longest, version = 0.0, 1
        for at, loaded in [*loads, (END_S, len(self.named_at) + 1)]:
            if version <= len(self.named_at):
                replaced_at = max(since, self.named_at[version - 1])
                longest = max(longest, at - replaced_at)
            version = loaded
        return longest


class OrderBackoffTest(unittest.TestCase):
    def test_engine_that_lost_orders_is_ordered_again_while_versions_are_named_fast(self) -> None:
        """Guards against engines that get no order any more since the others always need one."""
        lost_until = 9.0
        replay = Replay(9, lambda number, now: now >= lost_until or number % 2 == 0)
        replay.play()
        for number in range(9):
            with self.subTest(engine=number):
                self.assertLessEqual(replay.longest_outdated_s(number, lost_until), LATEST_S)

    def test_engines_that_ignore_all_orders_do_not_hold_up_the_others(self) -> None:
        """Guards against a willing engine that is ordered once its weights are forbidden."""
        for engines, willing in ((8, 1), (8, 4), (9, 2), (70, 10)):
            replay = Replay(engines, lambda number, _now, willing=willing: number < willing)
            replay.play()
            for number in range(willing):
                with self.subTest(engines=engines, willing=willing, engine=number):
                    self.assertLessEqual(replay.longest_outdated_s(number, 0.0), ALLOWED_S)

    def test_count_of_unanswered_orders_has_no_limit(self) -> None:
        """Guards against a node that fails to order after hours of orders without an answer."""
        state = EndpointState(entry("e1"), weights={"m": 1})
        for _ in range(2000):
            record_order(state, False, 100.0)
        self.assertEqual(state.order_backoff_until, 100.0 + MAX_ORDER_BACKOFF_S)

    def test_backoff_grows_and_ends(self) -> None:
        state = EndpointState(entry("e1"), weights={"m": 1})
        for expected_s in (1.0, 2.0, 4.0, 8.0, MAX_ORDER_BACKOFF_S, MAX_ORDER_BACKOFF_S):
            record_order(state, False, 100.0)
            self.assertEqual(state.order_backoff_until - 100.0, expected_s)
        record_order(state, True, 100.0)
        self.assertEqual((state.unanswered_orders, state.order_backoff_until), (0, 0.0))
