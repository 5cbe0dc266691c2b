"""Circuit breaker: bad versions stop after few answers, good ones with a cold cache do not."""

import unittest
from random import Random

from arbutustally.breaker import Breaker
from arbutustally.evidence import EvidenceKey, Sample

OLD = EvidenceKey("marelle", "1", "chat", "chat")
NEW = EvidenceKey("marelle", "2", "chat", "chat")
NEW_OTHER_ROUTE = EvidenceKey("marelle", "2", "chat", "completions")


def answer(rng: Random, work: float = 100.0, slow: float = 1.0) -> Sample:
    """Returns a good answer: 10 ms and 8,000 tokens/s, times a factor and some noise."""
    noise = rng.uniform(0.8, 1.3)
    return Sample(True, (0.01 + work / 8000) * slow * noise, 0.01 * slow * noise, work)


FAILURE = Sample(False)


class BreakerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = Random(5)
        self.breaker = Breaker()
        for number in range(100):
            work = 1900.0 if number % 10 == 0 else 100.0
            self.breaker.observe(OLD, answer(self.rng, work))

    def answers_until_trip(self, sample, limit: int = 50) -> int | None:
        for count in range(1, limit + 1):
            if self.breaker.observe(NEW, sample(), "1") is not None:
                return count
        return None

    def test_bad_at_once_stops_within_three_answers(self) -> None:
        """Guards against a version that always fails getting more than a handful of requests."""
        self.assertLessEqual(self.answers_until_trip(lambda: FAILURE), 3)
        self.assertIsNotNone(self.breaker.tripped("marelle", "2"))

    def test_one_failure_does_not_stop(self) -> None:
        """Guards against tripping on a single failure, which any version has."""
        self.breaker.observe(NEW, FAILURE, "1")
        self.assertIsNone(self.answers_until_trip(lambda: answer(self.rng)))

    def test_bad_late_stops_soon_after_its_fault(self) -> None:
        """Guards against a long good past hiding a fault that begins later."""
        for _ in range(500):
            self.assertIsNone(self.breaker.observe(NEW, answer(self.rng), "1"))
        self.assertLessEqual(self.answers_until_trip(lambda: FAILURE), 7)

    def test_slow_but_correct_stops(self) -> None:
        """Guards against counting failures only."""
        self.assertLessEqual(self.answers_until_trip(lambda: answer(self.rng, slow=3.0)), 12)

    def test_slow_tokens_alone_stop(self) -> None:
        """Guards against a version that starts in time and then generates slowly."""
        count = self.answers_until_trip(lambda: Sample(True, None, 0.04))
        self.assertLessEqual(count, 12)

    def test_cold_cache_does_not_stop_good_version(self) -> None:
        """Guards against taking the recomputation of a cold cache for a slow version."""
        self.assertIsNone(self.answers_until_trip(lambda: answer(self.rng, work=1900.0)))

    def test_good_version_is_never_stopped(self) -> None:
        """Guards against repeated testing adding up to a false trip."""
        self.assertIsNone(self.answers_until_trip(lambda: answer(self.rng), 3000))

    def test_one_bad_route_stops(self) -> None:
        """Guards against a large good route hiding a small bad one."""
        trip = None
        for _ in range(5):
            for _ in range(20):
                self.breaker.observe(NEW, answer(self.rng), "1")
            trip = trip or self.breaker.observe(NEW_OTHER_ROUTE, FAILURE, "1")
        self.assertEqual(trip.key.route, "completions")

    def test_failures_of_several_nodes_add_up(self) -> None:
        """Guards against each node of a fleet harming as many requests as one alone."""
        nodes = [Breaker() for _ in range(3)]
        for node in nodes:
            self.assertIsNone(node.observe(NEW, FAILURE, "1"))
        for number in (1, 2):
            nodes[0].hear(f"node-{number}", nodes[number].reports("marelle", "2"), "1")
        self.assertIsNotNone(nodes[0].tripped("marelle", "2"))

    def test_repeated_report_does_not_add_up(self) -> None:
        """Guards against counting a peer's evidence once for each time it is sent."""
        peer = Breaker()
        peer.observe(NEW, FAILURE, "1")
        for _ in range(10):
            self.breaker.hear("node-1", peer.reports("marelle", "2"), "1")
        self.assertIsNone(self.breaker.tripped("marelle", "2"))

    def test_trip_lasts_until_new_attempt(self) -> None:
        """Guards against a version that is used again as soon as its bad answers are old."""
        self.answers_until_trip(lambda: FAILURE)
        for _ in range(300):
            self.breaker.observe(NEW, answer(self.rng), "1")
        self.assertIsNotNone(self.breaker.tripped("marelle", "2"))
        self.breaker.reset("marelle", "2")
        self.assertIsNone(self.breaker.tripped("marelle", "2"))
