"""Tests roll-outs of releases: judged on few requests, then kept or rolled back, by one node."""

import heapq
import json
import math
import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

import gevent
from bottle import HTTPResponse

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.rollouts import (
    CANARY_SHARE,
    KEEP_S,
    MIN_BASELINE_TIMES,
    MOVE_S,
    WATCH_S,
    AnswerTally,
    KnownOrder,
    RolloutBook,
    RolloutOrder,
    RolloutProgress,
    RolloutState,
    is_bad,
    is_sound,
    next_progress,
)
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import Batch
from arbutustally_node.gateway.rollout_evidence import CANARY, RolloutEvidence
from arbutustally_node.gateway.rollout_service import RolloutService
from arbutustally_platform.documents import PlatformDocuments
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeWorker

ORDER = RolloutOrder("llm", "v2", 10.0)


def times(number: int, mean_s: float, seed: int = 1, failures: int = 0) -> AnswerTally:
    """Returns a tally whose durations spread like those of streams of different lengths."""
    rng = Random(seed)
    tally = AnswerTally(number, failures)
    for _ in range(number):
        tally = tally.plus(AnswerTally.of_time(mean_s * math.exp(rng.gauss(0.0, 0.65))))
    return tally


BASELINE = {"chat": times(400, 1.0, failures=2)}
SOUND = {"chat": times(40, 0.9, 2)}


def state(name: str, release: str) -> EndpointState:
    return EndpointState(EndpointEntry(name, "llm", "x:1", "z", 4, False, {}, "1", release))


def progress(state: RolloutState, share: float) -> RolloutProgress:
    return RolloutProgress("llm", "v2", state, share)


class JudgementTest(unittest.TestCase):
    def test_release_that_fails_on_one_route_is_found(self) -> None:
        """Guards against good answers of other routes that mask a bad route."""
        canary = {"chat": times(300, 1.0, 3, failures=1), "look": AnswerTally(12, 8)}
        self.assertTrue(is_bad(canary, BASELINE))

    def test_slow_release_is_found_within_fifty_answers(self) -> None:
        """Replays the day `hasty`: slow answers take 2.2 times the baseline's time on idle engines."""
        found = sum(is_bad({"chat": times(50, 2.2, seed)}, BASELINE) for seed in range(200))
        self.assertGreaterEqual(found, 195)
        found = sum(is_bad({"chat": times(20, 3.0, seed)}, BASELINE) for seed in range(200))
        self.assertGreaterEqual(found, 195)

    def test_slow_release_is_not_kept_where_it_is_not_found_yet(self) -> None:
        """Guards against completing a roll-out because nothing was proved in time."""
        kept = sum(is_sound({"chat": times(21, 2.2, seed)}, BASELINE) for seed in range(500))
        self.assertLess(kept, 10)

    def test_sound_releases_are_not_taken_back_by_chance(self) -> None:
        """Guards against rolling back a sound release because of random variation."""
        tallies = [{"chat": times(40, 1.1, seed, failures=seed % 2)} for seed in range(500)]
        self.assertEqual(sum(is_bad(one, BASELINE) for one in tallies), 0)
        self.assertGreater(sum(is_sound(one, BASELINE) for one in tallies), 450)

    def test_failures_that_the_baseline_has_too_are_no_evidence(self) -> None:
        baseline = {"look": AnswerTally(200, 30)}
        self.assertFalse(is_bad({"look": AnswerTally(40, 7)}, baseline))


class DecisionTest(unittest.TestCase):
    def following(self, current, left_s, canary=SOUND, is_bad_lately=False, baseline_running=5):
        return next_progress(
            ORDER, current, left_s, canary, BASELINE, is_bad_lately, baseline_running
        )

    def test_sound_release_is_judged_moved_and_kept(self) -> None:
        judged = self.following(None, 9.0, {})
        self.assertEqual(judged, progress(RolloutState.RUNNING, CANARY_SHARE))
        moved = self.following(judged, MOVE_S)
        self.assertEqual(moved, progress(RolloutState.RUNNING, 1.0))
        self.assertEqual(self.following(moved, MOVE_S - 0.1), moved)
        kept = progress(RolloutState.COMPLETED, 1.0)
        self.assertEqual(self.following(moved, MOVE_S - 0.1, baseline_running=0), moved)
        self.assertEqual(self.following(moved, MOVE_S - WATCH_S, baseline_running=0), kept)
        self.assertEqual(self.following(moved, KEEP_S), kept)

    def test_release_with_too_few_answers_is_not_kept(self) -> None:
        """Guards against completing a roll-out without enough evidence."""
        judged = progress(RolloutState.RUNNING, CANARY_SHARE)
        few = {"chat": times(3, 1.0)}
        self.assertEqual(self.following(judged, -5.0, few, baseline_running=0), judged)

    def test_release_without_a_comparison_is_not_kept(self) -> None:
        """Guards against keeping a slow release because each route has few answers."""
        thin = {f"route-{number}": times(4, 10.0, number) for number in range(6)}
        self.assertFalse(is_sound(thin, {route: times(100, 1.0) for route in thin}))
        self.assertFalse(is_sound(SOUND, {"chat": times(10, 1.0)}))
        moved = progress(RolloutState.RUNNING, 1.0)
        back = progress(RolloutState.ROLLED_BACK, 0.0)
        self.assertEqual(self.following(moved, KEEP_S, {}), back)

    def test_bad_release_is_taken_back_at_any_step(self) -> None:
        back = progress(RolloutState.ROLLED_BACK, 0.0)
        for current in (None, progress(RolloutState.RUNNING, 1.0)):
            self.assertEqual(self.following(current, 5.0, is_bad_lately=True), back)
            self.assertEqual(self.following(current, 5.0, {"chat": times(30, 4.0)}), back)


class RoutingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = RolloutBook()
        self.now = 100.0
        self.endpoints = EndpointBook(lambda: self.now)
        for name, release in (("a", "v1"), ("b", "v1"), ("c", "v2")):
            self.endpoints.put(state(name, release).entry)

    def allowed(self, request_id: str = "r", is_first: bool = True) -> list[str]:
        found = self.book.allowed(self.endpoints, "llm", request_id, is_first)
        return [one.id for one in found]

    def chosen(self, number: int = 1000, is_first: bool = True) -> int:
        return sum(self.allowed(f"r{one}", is_first)[0] == "c" for one in range(number))

    def test_only_the_canary_share_goes_to_a_release_that_is_judged(self) -> None:
        """Guards against a bad release that gets a large share of the requests."""
        self.book.add_order(ORDER, 0.0)
        self.assertEqual(self.chosen(), 0)
        self.book.apply(progress(RolloutState.RUNNING, CANARY_SHARE))
        self.assertTrue(10 < self.chosen() < 80)
        self.assertEqual(self.chosen(is_first=False), 0)

    def test_nothing_goes_to_a_release_that_was_taken_back(self) -> None:
        self.book.add_order(ORDER, 0.0)
        self.book.apply(progress(RolloutState.ROLLED_BACK, 0.0))
        self.assertFalse(self.book.apply(progress(RolloutState.RUNNING, 1.0)))
        self.assertEqual(self.chosen(), 0)
        for name in ("a", "b"):
            self.endpoints.remove(name)
        self.assertEqual(self.allowed(), [])

    def test_all_releases_are_used_where_nothing_is_ordered(self) -> None:
        self.assertEqual(self.allowed(), ["a", "b", "c"])

    def test_canary_does_not_replace_endpoints_that_pause_or_are_doubted(self) -> None:
        """Guards against a bad release that gets all requests while the others are suspect or paused."""
        self.book.add_order(ORDER, 0.0)
        for name in ("a", "b"):
            self.endpoints.get(name).suspect_until = self.now + 1.0
        self.assertEqual(self.chosen(), 0)
        for name in ("a", "b"):
            self.endpoints.get(name).paused_until = self.now + 1.0
        self.assertEqual(self.allowed(), [])
        for name in ("a", "b"):
            self.endpoints.remove(name)
        self.assertEqual(self.allowed(), ["c"])

    def test_release_that_was_taken_back_gets_nothing_under_the_next_order(self) -> None:
        """Guards against a bad release that counts as the baseline while the next is judged."""
        self.book.add_order(ORDER, 0.0)
        self.book.apply(progress(RolloutState.ROLLED_BACK, 0.0))
        self.book.add_order(RolloutOrder("llm", "v3", 10.0), 1.0)
        self.assertEqual(self.allowed(), ["a", "b"])

    def test_new_order_begins_anew(self) -> None:
        self.book.add_order(ORDER, 0.0)
        self.book.apply(progress(RolloutState.ROLLED_BACK, 0.0))
        self.assertTrue(self.book.add_order(RolloutOrder("llm", "v3", 10.0), 1.0))
        self.assertIsNone(self.book.progress("llm"))

    def test_order_with_another_duration_applies_while_the_roll_out_runs(self) -> None:
        """Guards against a roll-out that ends at the time of an order that was replaced."""
        running = progress(RolloutState.RUNNING, CANARY_SHARE)
        longer = RolloutOrder("llm", "v2", 60.0)
        self.book.add_order(ORDER, 0.0)
        self.book.apply(running)
        self.assertTrue(self.book.add_order(longer, 5.0))
        self.assertEqual(self.book.orders, [KnownOrder(longer, 5.0)])
        self.assertEqual(self.book.progress("llm"), running)

    def test_order_with_another_duration_begins_anew_after_the_end(self) -> None:
        """Guards against a second order for a release that is ignored since the first has ended."""
        self.book.add_order(ORDER, 0.0)
        self.book.apply(progress(RolloutState.ROLLED_BACK, 0.0))
        self.assertTrue(self.book.add_order(RolloutOrder("llm", "v2", 60.0), 5.0))
        self.assertIsNone(self.book.progress("llm"))


class EvidenceTest(unittest.TestCase):
    def test_long_runs_count_before_they_end(self) -> None:
        """Guards against missing a slow release because its answers arrive last."""
        now = [0.0]
        book = RolloutBook()
        evidence = RolloutEvidence(book, lambda: now[0])
        for _ in range(MIN_BASELINE_TIMES):
            run = evidence.began(state("a", "v1"), "chat", 0.0)
            now[0] += 0.1
            evidence.ended(run, False)
        book.add_order(ORDER, 0.0)
        run = evidence.began(state("c", "v2"), "chat", 0.0)
        now[0] += 0.5
        early = evidence.tallies("llm", "v2", CANARY)["chat"]
        self.assertEqual((early.answers, early.timed), (0, 1))
        self.assertAlmostEqual(math.exp(early.mean), 0.5)
        peer = RolloutEvidence(book, lambda: now[0])
        peer.set_peer_totals("node-1", evidence.totals)
        self.assertEqual(peer.tallies("llm", "v2", CANARY), {"chat": early})
        now[0] += 0.5
        evidence.ended(run, False)
        late = evidence.tallies("llm", "v2", CANARY)["chat"]
        self.assertEqual((late.answers, late.timed), (1, 1))
        self.assertAlmostEqual(math.exp(late.mean), 1.0)


class RolloutNodeTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.canaries = [FakeWorker(f"n{number}", "desk") for number in (1, 2)]
        for worker in self.canaries:
            self.addCleanup(worker.stop)
        self.node = self.start_node()
        self.wait_ready(self.node)

    def roll_out(self, duration_s: float) -> None:
        order = {"service": "desk", "target": "v2", "durationS": duration_s}
        self.store.put("keyed.op", "rollout/desk", order)
        self.eventually(lambda: self.state() == "running")
        for worker in self.canaries:
            entry = {**worker.entry(), "version": "v2"}
            self.store.put("keyed.servers", worker.id, entry)
        self.eventually(lambda: self.node._view.book.get("n2") is not None)

    def state(self) -> str:
        found = self.store.newest("keyed.status").get("rollout/desk")
        return json.loads(found[1])["state"] if found else ""

    def send_until(self, final: str) -> int:
        """Sends requests until the roll-out has ended; returns how many were sent."""
        sent = 0
        while self.state() != final:
            self.assertLess(sent, 4000, f"the roll-out is {self.state()!r} and not {final!r}")
            self.call(self.node, "/book/a", f"r{sent}")
            sent += 1
            gevent.sleep(0)
        return sent

    def test_failing_release_is_taken_back_and_harms_few(self) -> None:
        """Replays the day `hasty`: a bad release got requests like any other."""
        for worker in self.canaries:
            worker.behave = lambda headers: HTTPResponse(
                status=500, headers={"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            )
        self.roll_out(60.0)
        sent = self.send_until("rolled_back")
        harmed = sum(len(worker.seen) for worker in self.canaries)
        self.assertLess(harmed, sent * 0.1 + 10)
        for number in range(50):
            self.assertEqual(self.call(self.node, "/book/a", f"s{number}").status, 200)

    def test_status_is_written_although_others_write_to_its_topic(self) -> None:
        """Guards against a refused append of a status that counts as written."""
        append = self.store.put_raw
        call = StoreKeyedTopic.put
        disturbed = []

        def put(topic, key, value, expected=None):
            if key == "rollout/desk" and len(disturbed) < 2:
                disturbed.append(key)
                append("keyed.status", "other", b"{}")
            return call(topic, key, value, expected)

        with mock.patch.object(StoreKeyedTopic, "put", put):
            order = {"service": "desk", "target": "v2", "durationS": 60.0}
            self.store.put("keyed.op", "rollout/desk", order)
            self.eventually(lambda: self.state() == "running")
        self.assertEqual(len(disturbed), 2)

    def test_status_is_written_again_after_a_return_of_the_store(self) -> None:
        """Guards against a lost status record that is never written again for the operator."""
        copy = self.store.take_copy()
        self.roll_out(60.0)
        self.store.return_to(copy)
        self.store.write_again(Random(1), 0.01)
        self.eventually(lambda: self.state() == "running")

    def test_sound_release_is_kept_before_its_time_is_over(self) -> None:
        self.roll_out(8.0)
        self.send_until("completed")
        before = sum(len(worker.seen) for worker in self.desks)
        for number in range(20):
            self.call(self.node, "/book/a", f"s{number}")
        self.assertEqual(sum(len(worker.seen) for worker in self.desks), before)


class SilentCanaryTest(unittest.TestCase):
    """Replays a sound release at one endpoint, which falls silent once as any server may."""

    REQUESTS_PER_S = 60
    DURATION_S = 10.0
    STEP_S = 0.1

    def end_state(self, seed: int, silence_s: float, slowdown: float = 1.0) -> RolloutState:
        """Returns the end of a roll-out whose canary answers as fast as the baseline.

        :param slowdown: factor by which its answers take longer all the time.
        """
        rng, clock = Random(seed), VirtualClock(100.0)
        rollouts, endpoints = RolloutBook(), EndpointBook.from_config(clock)
        evidence = RolloutEvidence(rollouts, clock)
        service = RolloutService(
            rollouts,
            evidence,
            endpoints,
            SimpleNamespace(newest=lambda: Batch((), 0), put=lambda *_: 1),
            PlatformDocuments(),
            DecisionLog({}, clock=clock),
            clock,
            lambda: True,
            lambda _progress: None,
        )
        known = KnownOrder(RolloutOrder("llm", "v2", self.DURATION_S), clock())
        rollouts.add_order(known.order, known.known_at)
        silent_at = clock() + rng.uniform(2.0, 6.0)
        old, new = state("a", "v1"), state("c", "v2")
        events: list[tuple[float, int, object]] = []
        at = clock()
        while at < known.known_at + self.DURATION_S:
            at += rng.expovariate(self.REQUESTS_PER_S)
            events.append((at, len(events), None))
        for step in range(1, round(self.DURATION_S / self.STEP_S)):
            events.append((known.known_at + step * self.STEP_S, len(events), service))
        heapq.heapify(events)
        while events:
            at, number, what = heapq.heappop(events)
            clock.advance_to(at)
            progress = rollouts.progress("llm")
            if what is service:
                service._step(known)
            elif what is not None:
                evidence.ended(what, False)
            elif progress is not None:
                is_new = rng.random() < progress.share
                ends_at = at + 0.05 * math.exp(rng.gauss(0.0, 0.5)) * (slowdown if is_new else 1.0)
                if is_new and at < silent_at + silence_s and ends_at > silent_at:
                    ends_at += silent_at + silence_s - max(at, silent_at)
                run = evidence.began(new if is_new else old, "look", 0.0)
                heapq.heappush(events, (ends_at, self.DURATION_S * 1e6 + number, run))
        return rollouts.progress("llm").state

    def rolled_back(self, silence_s: float, slowdown: float = 1.0) -> int:
        """Returns how many of ten roll-outs were rolled back."""
        ends = [self.end_state(seed, silence_s, slowdown) for seed in range(10)]
        return ends.count(RolloutState.ROLLED_BACK)

    def test_sound_release_is_kept_and_a_slow_one_is_not(self) -> None:
        """Shows that the replay tells sound releases from slow ones."""
        self.assertLessEqual(self.rolled_back(0.0), 1)
        self.assertEqual(self.rolled_back(0.0, slowdown=3.0), 10)

    def test_sound_release_is_not_rolled_back_after_a_silence(self) -> None:
        """Guards against one silence that counts as many independent slow answers."""
        self.assertLessEqual(self.rolled_back(1.0), 1)
