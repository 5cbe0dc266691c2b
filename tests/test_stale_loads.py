"""Replays requests that arrive faster than load reports at a fleet of many nodes and engines."""

import unittest
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.choice import PLACEMENT_OPTIONS, choose_engine
from arbutustally.gateway.configuration import Engine, Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.holdings import Holdings
from arbutustally.placement import Placement
from tests.gateway_values import entry, prompt

ENGINES = 25
NODES = 16
REQUESTS = 2_500
#: Time between two load reports, seconds.
REPORT_S = 0.3
PROMPT_TOKENS = 2_000
SPEED = 20_000.0
#: Share of the engines' capacity that the requests need.
LOAD = 0.8


class StaleLoadTest(unittest.TestCase):
    def mean_wait_s(self, has_relayed_loads: bool) -> float:
        """Returns the mean time that prompts wait for the engine that is chosen for them."""
        clock, rng = VirtualClock(100.0), Random(5)
        states = [EndpointState(entry(f"e{number}", slots=64)) for number in range(ENGINES)]
        holdings = Holdings.from_config(clock)
        service = Service("s", 10, Engine(64, 500_000))
        nodes = [Placement.from_config(clock, Random(n), PLACEMENT_OPTIONS) for n in range(NODES)]
        for placement in nodes:
            for state in states:
                placement._load.set_initial_speed(state.id, SPEED)
        free_at = dict.fromkeys((state.id for state in states), clock())
        work_s = PROMPT_TOKENS / SPEED
        reported_at = waited_s = 0.0
        for number in range(REQUESTS):
            clock.advance(rng.expovariate(LOAD * ENGINES / work_s))
            if clock() - reported_at >= REPORT_S:
                reported_at = clock()
                for state in states:
                    state.prompt_tokens = max(0.0, free_at[state.id] - clock()) * SPEED
            request = prompt((f"own-{number}", PROMPT_TOKENS))
            choice = choose_engine(
                rng.choice(nodes),
                holdings,
                request,
                service,
                states,
                1,
                "",
                "1.",
                0,
                1.0,
                "z1",
                NODES,
                has_relayed_loads,
            )
            begins = max(clock(), free_at[choice.endpoint])
            waited_s += begins - clock()
            free_at[choice.endpoint] = begins + work_s
        return waited_s / REQUESTS

    def test_requests_of_one_report_interval_are_spread(self) -> None:
        """Guards against all nodes choosing the engine that was idle in the last report."""
        compared_all, sampled = self.mean_wait_s(False), self.mean_wait_s(True)
        self.assertLess(sampled, 0.75 * compared_all)


if __name__ == "__main__":
    unittest.main()
