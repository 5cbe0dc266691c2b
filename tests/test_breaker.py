"""Circuit breaker: bad versions stop after few responses, good ones with a cold cache do not."""

import unittest
from random import Random

from arbutustally.breaker import Breaker
from arbutustally.evidence import EvidenceKey, Sample

OLD = EvidenceKey("marelle", "1", "chat", "chat")
NEW = EvidenceKey("marelle", "2", "chat", "chat")
NEW_OTHER_ROUTE = EvidenceKey("marelle", "2", "chat", "completions")


def response(rng: Random, work: float = 100.0, slow: float = 1.0) -> Sample:
    """Returns a good response: 10 ms plus work at 8,000 tokens/s, times ``slow`` and noise."""
    noise = rng.uniform(0.8, 1.3)
    return Sample(True, (0.01 + work / 8000) * slow * noise, 0.01 * slow * noise, work)


FAILURE = Sample(False)


class BreakerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = Random(5)
        self.now = 0.0
        self.breaker = Breaker(lambda: self.now)
        for number in range(100):
            work = 1900.0 if number % 10 == 0 else 100.0
            self.breaker.observe(OLD, response(self.rng, work))

    def responses_until_trip(self, sample, limit: int = 50) -> int | None:
        for count in range(1, limit + 1):
            if self.breaker.observe(NEW, sample(), "1") is not None:
                return count
        return None

    def pairs_until_trip(self, old_slow: float, new_slow: float, limit: int = 300) -> int | None:
        """Alternates responses of both versions; returns how many of the new one caused a trip."""
        for count in range(1, limit + 1):
            self.now += 0.05
            self.breaker.observe(OLD, response(self.rng, slow=old_slow))
            if self.breaker.observe(NEW, response(self.rng, slow=new_slow), "1") is not None:
                return count
        return None

    def respond_new_only(self, slow: float, count: int = 60) -> None:
        """Adds responses of the new version alone, as at the last step of a move."""
        for _ in range(count):
            self.now += 0.05
            self.breaker.observe(NEW, response(self.rng, slow=slow), "1")

    def test_bad_at_once_stops_within_three_answers(self) -> None:
        """Guards against a version that always fails getting more than a handful of requests."""
        self.assertLessEqual(self.responses_until_trip(lambda: FAILURE), 3)
        self.assertIsNotNone(self.breaker.tripped("marelle", "2"))

    def test_one_failure_does_not_stop(self) -> None:
        """Guards against tripping on a single failure, which any version may have."""
        self.breaker.observe(NEW, FAILURE, "1")
        self.assertIsNone(self.responses_until_trip(lambda: response(self.rng)))

    def test_bad_late_stops_soon_after_its_fault(self) -> None:
        """Guards against a long good history that hides a fault which begins later."""
        for _ in range(500):
            self.assertIsNone(self.breaker.observe(NEW, response(self.rng), "1"))
        self.assertLessEqual(self.responses_until_trip(lambda: FAILURE), 7)

    def test_slow_but_correct_stops(self) -> None:
        """Guards against counting failures only."""
        self.assertLessEqual(self.responses_until_trip(lambda: response(self.rng, slow=3.0)), 12)

    def test_slow_tokens_alone_stop(self) -> None:
        """Guards against a version that starts in time and then generates slowly."""
        count = self.responses_until_trip(lambda: Sample(True, None, 0.04))
        self.assertLessEqual(count, 12)

    def test_busy_machine_that_slows_both_versions_stops_none(self) -> None:
        """Guards against comparing with the old version's times before the machine was busy."""
        self.assertIsNone(self.pairs_until_trip(1.0, 1.0, 30))
        for factor in (4.0, 1.0, 3.0):
            self.assertIsNone(self.pairs_until_trip(factor, factor))

    def test_slow_version_stops_beside_the_old_one(self) -> None:
        """Guards against attributing a slow version to a busy machine."""
        self.assertIsNone(self.pairs_until_trip(1.0, 1.0, 30))
        self.assertLessEqual(self.pairs_until_trip(1.0, 4.0), 30)

    def test_slow_version_stops_on_a_busy_machine(self) -> None:
        """Guards against slow responses of the old version that hide a slow new one."""
        self.assertIsNone(self.pairs_until_trip(2.0, 2.0))
        self.assertLessEqual(self.pairs_until_trip(2.0, 8.0), 40)

    def test_slow_version_without_an_old_one_beside_it_is_doubted(self) -> None:
        """Guards against a trip by comparison with responses from a time of lower load."""
        self.respond_new_only(1.0)
        self.assertFalse(self.breaker.needs_control("marelle", "2"))
        self.respond_new_only(4.0)
        self.assertIsNone(self.breaker.tripped("marelle", "2"))
        self.assertTrue(self.breaker.needs_control("marelle", "2"))

    def test_machine_that_gets_busy_after_the_last_step_stops_no_version(self) -> None:
        """Guards against counting old responses from before the last step as concurrent."""
        for count in (4, 8, 12, 20, 28, 40):
            self.setUp()
            self.assertIsNone(self.pairs_until_trip(1.0, 1.0, count))
            self.respond_new_only(4.0)
            self.assertIsNone(self.breaker.tripped("marelle", "2"))
            self.assertTrue(self.breaker.needs_control("marelle", "2"))
            self.assertIsNone(self.pairs_until_trip(4.0, 4.0))

    def test_doubt_ends_with_a_trip_if_the_old_version_is_fast(self) -> None:
        """Guards against a version that is slow at full share and stays in use."""
        self.respond_new_only(4.0)
        self.assertLessEqual(self.pairs_until_trip(1.0, 4.0), 20)

    def test_doubt_ends_without_a_trip_if_the_old_version_is_as_slow(self) -> None:
        """Guards against rolling back a good version, and against requests on the old one for
        longer than it takes to compare."""
        self.respond_new_only(4.0)
        self.assertIsNone(self.pairs_until_trip(4.0, 4.0, 25))
        self.assertFalse(self.breaker.needs_control("marelle", "2"))
        self.assertIsNone(self.pairs_until_trip(4.0, 4.0))

    def test_doubt_ends_when_no_answers_come(self) -> None:
        """Guards against requests on the old version due to a route that is no longer used."""
        self.respond_new_only(4.0)
        self.now += 11.0
        self.assertFalse(self.breaker.needs_control("marelle", "2"))

    def test_busy_machines_of_peers_stop_no_version(self) -> None:
        """Guards against adding up slow responses of peers without those of the old version."""
        peer = Breaker(lambda: self.now)
        for _ in range(100):
            peer.observe(OLD, response(self.rng))
        for _ in range(12):
            self.now += 0.05
            peer.observe(OLD, response(self.rng, slow=4.0))
            peer.observe(NEW, response(self.rng, slow=4.0), "1")
        self.breaker.observe(NEW, response(self.rng), "1")
        reports = [*peer.reports("marelle", "1", "2"), *peer.reports("marelle", "2")]
        self.assertIsNone(self.breaker.add_peer_reports("node-1", reports[:1]))
        self.assertIsNone(self.breaker.add_peer_reports("node-1", reports[1:], "1"))

    def test_cold_cache_does_not_stop_good_version(self) -> None:
        """Guards against mistaking the recomputation after a cold cache for a slow version."""
        self.assertIsNone(self.responses_until_trip(lambda: response(self.rng, work=1900.0)))

    def test_good_version_is_never_stopped(self) -> None:
        """Guards against repeated testing adding up to a false trip."""
        self.assertIsNone(self.responses_until_trip(lambda: response(self.rng), 3000))

    def test_one_bad_route_stops(self) -> None:
        """Guards against a large good route that hides a small bad one."""
        trip = None
        for _ in range(5):
            for _ in range(20):
                self.breaker.observe(NEW, response(self.rng), "1")
            trip = trip or self.breaker.observe(NEW_OTHER_ROUTE, FAILURE, "1")
        self.assertEqual(trip.key.route, "completions")

    def test_failures_of_several_nodes_add_up(self) -> None:
        """Guards against each node of a fleet harming as many requests as one alone."""
        nodes = [Breaker() for _ in range(3)]
        for node in nodes:
            self.assertIsNone(node.observe(NEW, FAILURE, "1"))
        for number in (1, 2):
            nodes[0].add_peer_reports(f"node-{number}", nodes[number].reports("marelle", "2"), "1")
        self.assertIsNotNone(nodes[0].tripped("marelle", "2"))

    def test_repeated_report_does_not_add_up(self) -> None:
        """Guards against counting a peer's evidence once for each time it is sent."""
        peer = Breaker()
        peer.observe(NEW, FAILURE, "1")
        for _ in range(10):
            self.breaker.add_peer_reports("node-1", peer.reports("marelle", "2"), "1")
        self.assertIsNone(self.breaker.tripped("marelle", "2"))

    def test_trip_lasts_until_new_attempt(self) -> None:
        """Guards against using a version again as soon as its bad responses are old."""
        self.responses_until_trip(lambda: FAILURE)
        for _ in range(300):
            self.breaker.observe(NEW, response(self.rng), "1")
        self.assertIsNotNone(self.breaker.tripped("marelle", "2"))
        self.breaker.reset("marelle", "2")
        self.assertIsNone(self.breaker.tripped("marelle", "2"))
