"""Tests roll-outs of releases: judged on few requests, then kept or rolled back, by one node."""

import json
import math
import unittest
from random import Random
from unittest import mock

import cbor2
import gevent

from arbutustally.gateway.answer_tallies import AnswerTally
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.relaying import Member
from arbutustally.gateway.release_comparison import MIN_BASELINE_TIMES, is_bad, is_sound
from arbutustally.gateway.rollout_book import KnownOrder, RolloutBook
from arbutustally.gateway.rollouts import (
    CANARY_SHARE,
    KEEP_S,
    MOVE_S,
    WATCH_S,
    RolloutOrder,
    RolloutProgress,
    RolloutState,
    next_progress,
)
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.ports import Record
from arbutustally_node.gateway.rollout_evidence import CANARY, RolloutEvidence
from arbutustally_node.gateway.rollout_record import decode_progress, encode_progress
from arbutustally_platform.documents import PlatformDocuments
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.rollout_case import RolloutCase

ORDER = RolloutOrder("llm", "v2", 10.0)
#: Second order for the same release.
LONGER = RolloutOrder("llm", "v2", 60.0)


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
    return RolloutProgress("llm", "v2", state, share, ORDER.duration_s)


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


class SecondOrderTest(unittest.TestCase):
    """Orders with another duration for the release of an earlier order."""

    def setUp(self) -> None:
        self.book = RolloutBook()

    def decided(self, state: RolloutState, order: RolloutOrder, retrial_s: float | None = None):
        share = CANARY_SHARE if state is RolloutState.RUNNING else 0.0
        return RolloutProgress("llm", "v2", state, share, order.duration_s, retrial_s)

    def begin_retrial(self) -> None:
        self.book.add_order(ORDER, 0.0)
        self.book.apply(self.decided(RolloutState.ROLLED_BACK, ORDER))
        self.book.add_order(LONGER, 5.0)
        self.assertEqual(self.book.retrial_s("llm"), 60.0)

    def test_late_decisions_on_the_first_order_change_nothing(self) -> None:
        """Guards against a second trial that a repeated message about the first ends."""
        self.begin_retrial()
        late = [self.decided(state, ORDER) for state in RolloutState if state != "completed"]
        for one in late:
            self.assertFalse(self.book.apply(one))
        running = self.decided(RolloutState.RUNNING, LONGER, 60.0)
        self.assertTrue(self.book.apply(running))
        for one in late:
            self.assertFalse(self.book.apply(one))
        self.assertEqual(self.book.progress("llm"), running)
        self.assertEqual(self.book.retrial_s("llm"), 60.0)

    def test_end_of_the_second_trial_is_final(self) -> None:
        self.begin_retrial()
        self.book.apply(self.decided(RolloutState.RUNNING, LONGER, 60.0))
        back = self.decided(RolloutState.ROLLED_BACK, LONGER, 60.0)
        self.assertTrue(self.book.apply(back))
        self.assertFalse(self.book.apply(self.decided(RolloutState.RUNNING, LONGER, 60.0)))
        self.assertEqual(self.book.progress("llm"), back)

    def test_node_that_starts_later_joins_the_trial(self) -> None:
        """Guards against answers that a new node counts for a trial that has ended."""
        running = self.decided(RolloutState.RUNNING, LONGER, 60.0)
        self.book.add_order(LONGER, 5.0)
        self.assertFalse(self.book.apply(self.decided(RolloutState.ROLLED_BACK, ORDER)))
        self.assertTrue(self.book.apply(running))
        other = RolloutBook()
        other.apply(running)
        other.add_order(LONGER, 5.0)
        for book in (self.book, other):
            self.assertEqual(book.progress("llm"), running)
            self.assertEqual(book.retrial_s("llm"), 60.0)

    def test_decision_that_comes_before_its_order_is_kept(self) -> None:
        """Guards against a bad release that is tried again, since the order is read last."""
        for order, is_kept in ((ORDER, True), (LONGER, False)):
            book = RolloutBook()
            back = self.decided(RolloutState.ROLLED_BACK, ORDER)
            book.apply(back)
            book.add_order(order, 0.0)
            self.assertEqual(book.progress("llm"), back if is_kept else None)

    def test_order_that_crosses_the_end_of_the_first_begins_anew(self) -> None:
        """Guards against nodes that differ on whether the first trial ended before the order."""
        self.book.add_order(ORDER, 0.0)
        self.book.apply(self.decided(RolloutState.RUNNING, ORDER))
        self.book.add_order(LONGER, 5.0)
        self.assertFalse(self.book.apply(self.decided(RolloutState.ROLLED_BACK, ORDER)))
        self.assertIsNone(self.book.progress("llm"))
        self.assertEqual(self.book.retrial_s("llm"), 60.0)

    def test_release_that_was_kept_stays_kept(self) -> None:
        """Guards against a second trial of a release whose baseline was stopped."""
        self.book.add_order(ORDER, 0.0)
        kept = RolloutProgress("llm", "v2", RolloutState.COMPLETED, 1.0, ORDER.duration_s)
        self.book.apply(kept)
        self.book.add_order(LONGER, 5.0)
        self.assertEqual(self.book.progress("llm"), kept)

    def test_earlier_program_ends_a_trial_that_runs(self) -> None:
        """Guards against a release that nobody judges while an old node decides."""
        back = RolloutProgress("llm", "v2", RolloutState.ROLLED_BACK, 0.0)
        self.begin_retrial()
        self.assertFalse(self.book.apply(back))
        self.book.apply(self.decided(RolloutState.RUNNING, LONGER, 60.0))
        self.assertTrue(self.book.apply(back))
        self.assertEqual(self.book.progress("llm"), back)

    def test_trials_count_their_own_answers(self) -> None:
        """Guards against a second trial that the failures of the first end at once."""
        evidence = RolloutEvidence(self.book, lambda: 0.0)
        peer = RolloutEvidence(self.book, lambda: 0.0)
        self.book.add_order(ORDER, 0.0)
        late = evidence.began(state("c", "v2"), "chat", 0.0)
        evidence.ended(evidence.began(state("c", "v2"), "chat", 0.0), True)
        first = self.book.trial("llm")
        self.book.apply(self.decided(RolloutState.ROLLED_BACK, ORDER))
        self.book.add_order(LONGER, 5.0)
        second = self.book.trial("llm")
        evidence.ended(late, True)
        evidence.ended(evidence.began(state("c", "v2"), "chat", 0.0), False)
        peer.set_peer_totals("node-1", evidence.totals)
        for one in (evidence, peer):
            self.assertEqual(one.tallies("llm", first, CANARY)["chat"].failures, 2)
            self.assertEqual(one.tallies("llm", second, CANARY)["chat"].answers, 1)
            self.assertEqual(one.tallies("llm", second, CANARY)["chat"].failures, 0)


class RecordsTest(unittest.TestCase):
    """Records of this program and the one before it, whose records have no durations."""

    def test_peers_of_the_earlier_program_understand_each_other(self) -> None:
        sent = RolloutProgress("llm", "v2", RolloutState.RUNNING, 0.06, 60.0, 30.0)
        record = encode_progress(sent)
        self.assertEqual(decode_progress(record), sent)
        # The program before this one reads the record so.
        target, state, share = cbor2.loads(record.value)
        self.assertEqual((target, state, share), ("v2", "running", 0.06))
        earlier = Record(record.key, cbor2.dumps(["v2", "running", 0.06]))
        read = RolloutProgress("llm", "v2", RolloutState.RUNNING, 0.06)
        self.assertEqual(decode_progress(earlier), read)

    def test_odd_durations_are_refused(self) -> None:
        content = cbor2.dumps(["v2", "running", 0.06])
        odd = (math.nan, math.inf, "x", [], 1 << 5000)
        for tail in (b"\xff", b"\x82", *(cbor2.dumps([one, None]) for one in odd)):
            self.assertIsNone(decode_progress(Record("rollout-progress/llm", content + tail)))

    def test_first_trial_is_counted_under_the_name_of_the_release(self) -> None:
        """Guards against answers that a node of the earlier program does not find."""
        book = RolloutBook()
        book.add_order(ORDER, 0.0)
        self.assertEqual(book.trial("llm"), "v2")

    def test_status_keeps_its_documented_fields(self) -> None:
        documents = PlatformDocuments()
        for durations in ((None, None), (60.0, None), (60.0, 30.0)):
            one = RolloutProgress("llm", "v2", RolloutState.ROLLED_BACK, 0.0, *durations)
            record = documents.encode_rollout(one)
            self.assertEqual(documents.decode_rollout(record), one)
            fields = json.loads(record.value)
            self.assertEqual((fields["state"], fields["target"]), ("rolled_back", "v2"))


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


class RolloutNodeTest(RolloutCase):
    def test_failing_release_is_taken_back_and_harms_few(self) -> None:
        """Replays the day `hasty`: a bad release got requests like any other."""
        self.answer_with(500)
        self.roll_out(60.0)
        sent = self.send_until("rolled_back")
        harmed = sum(len(worker.seen) for worker in self.canaries)
        self.assertLess(harmed, sent * 0.1 + 10)
        for number in range(50):
            self.assertEqual(self.call(self.node, "/book/a", f"s{number}").status, 200)

    def test_release_that_was_taken_back_is_tried_again_on_another_order(self) -> None:
        """Guards against a second order that is ignored, or that the first trial's answers end."""
        self.answer_with(500)
        self.roll_out(60.0)
        self.send_until("rolled_back")
        for worker in self.canaries:
            worker.behave = None
        order = {"service": "desk", "target": "v2", "durationS": 8.0}
        # A peer of a program that would refuse the second trial's decisions.
        earlier = Member("old", "127.0.0.9", "z1", "127.0.0.9:1", "127.0.0.9:2", True, 1)
        with mock.patch.object(Gossip, "present", [earlier]):
            self.store.put("keyed.op", "rollout/desk", order)
            gevent.sleep(1.0)
            self.assertEqual(self.state(), "rolled_back")
        self.eventually(lambda: self.state() == "running")
        self.send_until("completed")
        status = json.loads(self.store.newest("keyed.status")["rollout/desk"][1])
        self.assertEqual((status["target"], status["durationS"]), ("v2", 8.0))

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
