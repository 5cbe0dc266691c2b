"""Choice of plain endpoints under load, replayed with the averages of their own answers."""

import heapq
import unittest
from collections import Counter
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.choice import choose_plain
from arbutustally.gateway.endpoints import EndpointBook
from tests.gateway_values import entry

REQUESTS_PER_S = 60.0
USUAL_S = 0.054
#: Fraction by which the latency of sound endpoints varies.
SPREAD = 0.05
#: Latency of single slow answers, too short to count as held up by a silence, seconds.
SLOW_ANSWER_S = 0.15
NAMES = ("e1", "e2", "e3")
#: Smallest part of its fair share that a sound endpoint gets.
MIN_PART = 0.5


class PlainChoiceTest(unittest.TestCase):
    """Load pattern: sound endpoints that are almost idle, so that the fastest ones are chosen."""

    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.rng = Random(1)
        self.book = EndpointBook.from_config(self.clock)
        for name in NAMES:
            self.book.put(entry(name, slots=6))
        self.ends: list[tuple[float, str, float]] = []

    def requests_in(self, seconds: float, **latencies_s: float) -> Counter[str]:
        """Sends requests; returns how many each endpoint got."""
        chosen: Counter[str] = Counter()
        at = self.clock()
        until = at + seconds
        while at < until:
            at += self.rng.expovariate(REQUESTS_PER_S)
            self._end_requests(at)
            state = choose_plain(self.book.usable("s"), "", self.rng, at)
            state.running += 1
            chosen[state.id] += 1
            usual_s = latencies_s.get(state.id, USUAL_S)
            latency_s = usual_s * self.rng.uniform(1 - SPREAD, 1 + SPREAD)
            heapq.heappush(self.ends, (at + latency_s, state.id, latency_s))
        return chosen

    def _end_requests(self, until: float) -> None:
        while self.ends and self.ends[0][0] <= until:
            at, name, latency_s = heapq.heappop(self.ends)
            self.clock.advance_to(at)
            state = self.book.get(name)
            state.running -= 1
            self.book.answered(state, latency_s)
        self.clock.advance_to(until)

    def test_endpoint_gets_its_share_after_two_slow_answers(self) -> None:
        """Guards against an endpoint that gets no requests, so that nothing corrects its latency."""
        for seed in range(20):
            with self.subTest(seed=seed):
                self.setUp()
                self.rng = Random(seed)
                self.requests_in(2.0)
                for _ in range(2):
                    self._end_requests(self.clock() + 0.05)
                    self.book.answered(self.book.get("e1"), SLOW_ANSWER_S)
                chosen = self.requests_in(2.0)
                self.assertGreater(chosen["e1"], MIN_PART * chosen.total() / len(NAMES))

    def test_slow_endpoint_gets_few_requests(self) -> None:
        """Guards against an endpoint that stays slow and is tried again too often."""
        self.requests_in(2.0, e1=5 * USUAL_S)
        chosen = self.requests_in(30.0, e1=5 * USUAL_S)
        self.assertLess(chosen["e1"], 0.05 * chosen.total())
