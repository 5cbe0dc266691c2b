"""Decisions of the gateway without input and output, each with the load that it answers."""

import math
import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.admission import MAX_RETRY_AFTER_S, must_reject, retry_after_s
from arbutustally.gateway.attempts import (
    MAX_SENDS,
    Next,
    Outcome,
    RepeatBudget,
    RepeatLedger,
    after,
)
from arbutustally.gateway.choice import (
    best_source,
    choose_engine,
    choose_plain,
    must_save,
    weights_to_use,
)
from arbutustally.gateway.configuration import (
    Engine,
    PartStore,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from arbutustally.gateway.endpoints import EndpointBook, EndpointEntry, EndpointState
from arbutustally.gateway.events import EventTooLongError, WholeEvents
from arbutustally.gateway.holdings import ASSUMED_S, Holdings
from arbutustally.gateway.quota import QuotaLedger, QuotaTolerance
from arbutustally.gateway.requests import CallerRequest, PromptPart
from arbutustally.gateway.weights import (
    EMPTYING_S,
    TELLING_S,
    breaks_runs_off,
    is_emptied,
    plan_loads,
)
from arbutustally.placement import Placement
from arbutustally_node.gateway.fleet_view import NamedWeights


def route(kind: RouteKind = RouteKind.STREAM, attempts: int = 2, resumable: bool = False) -> Route:
    share = (ServiceShare("s", 1.0),)
    return Route("r", "h", "/a/", kind, 5.0, 0.3, 0.2, 0, share, attempts, False, resumable)


def entry(name: str, **changes) -> EndpointEntry:
    fields = {
        "id": name,
        "service": "s",
        "address": f"10.0.0.1:{sum(name.encode())}",
        "zone": "z1",
        "slots": 4,
        "is_leaving": False,
        "weights": {"m": 1},
        "incarnation": "1",
    }
    return EndpointEntry(**{**fields, **changes})


def prompt(*parts: tuple[str, int], output: int = 10) -> CallerRequest:
    total = sum(tokens for _part, tokens in parts)
    kept = tuple(PromptPart(*part) for part in parts)
    return CallerRequest(
        "id", "POST", "/a/", "h", (), b"", "", 5.0, "m", total, output, kept, "", 0.0
    )


class AfterAttemptTest(unittest.TestCase):
    def test_request_that_may_have_run_is_repeated_only_where_allowed(self) -> None:
        """Guards against a booking that runs twice."""
        for kind, resumable, expected in (
            (RouteKind.AT_MOST_ONCE, False, Next.FAIL),
            (RouteKind.STREAM, False, Next.FAIL),
            (RouteKind.STREAM, True, Next.REPEAT),
            (RouteKind.IDEMPOTENT, False, Next.REPEAT),
        ):
            for outcome in (Outcome.MAY_HAVE_RUN, Outcome.FAILED):
                following = after(route(kind, 2, resumable), outcome, 1, 1, 1.0)
                self.assertIs(following, expected, (kind, resumable, outcome))

    def test_refusal_says_not_run_only_if_no_attempt_may_have_run(self) -> None:
        idempotent = route(RouteKind.IDEMPOTENT)
        self.assertIs(after(idempotent, Outcome.NOT_RUN, 0, MAX_SENDS, 1.0), Next.REFUSE)
        self.assertIs(after(idempotent, Outcome.NOT_RUN, 1, MAX_SENDS, 1.0), Next.FAIL)

    @given(
        st.sampled_from(list(Outcome)),
        st.integers(0, 5),
        st.integers(1, 6),
        st.floats(-1, 10),
        st.booleans(),
    )
    def test_attempts_end(self, outcome, ran, sends, left, resumable) -> None:
        following = after(route(resumable=resumable), outcome, ran, sends, left)
        if left <= 0 or (sends >= MAX_SENDS and ran >= 2):
            self.assertIsNot(following, Next.REPEAT)


class RepeatLedgerTest(unittest.TestCase):
    def test_failing_endpoints_do_not_multiply_the_load(self) -> None:
        """Replays a service whose every answer fails, at 100 requests/s for 30 s on 4 nodes."""
        clock = VirtualClock()
        budget = RepeatBudget(10.0, 0.2, 56.0)
        ledgers = [RepeatLedger.from_config(clock, budget) for _ in range(4)]
        for ledger in ledgers:
            ledger.share_among(4)
        repeats: list[float] = []
        for number in range(3000):
            ledger = ledgers[number % 4]
            ledger.requested("s")
            if ledger.take("s"):
                repeats.append(clock())
            clock.advance(0.01)
        for start in range(20):
            within = sum(start <= at < start + 10 for at in repeats)
            self.assertLessEqual(within, 0.2 * 1000 + 56)
        self.assertGreater(len(repeats), 100)


class QuotaTest(unittest.TestCase):
    TOLERANCE = QuotaTolerance(0.1, 110_000.0)

    def fleet(self, clock: VirtualClock, nodes: int) -> list[QuotaLedger]:
        ledgers = [QuotaLedger.from_config(clock, self.TOLERANCE) for _ in range(nodes)]
        for ledger in ledgers:
            ledger.declare({"a": (78_000.0, 78_000.0)})
        return ledgers

    def play(
        self, nodes: int, factor: float, lag: float, heard_by: int
    ) -> list[tuple[float, float]]:
        """Returns time and tokens of what a fleet admits of ``factor`` times the rate."""
        clock = VirtualClock()
        ledgers = self.fleet(clock, nodes)
        for ledger in ledgers:
            ledger.see(heard_by, nodes)
        rng = Random(7)
        admitted = []
        told = 0.0
        while clock() < 40.0:
            tokens = rng.choice((1_000.0, 8_000.0, 20_000.0))
            if rng.choice(ledgers).take("a", tokens) is None:
                admitted.append((clock(), tokens))
            clock.advance(tokens / (78_000.0 * factor))
            if clock() - told >= lag:
                told = clock()
                for number, ledger in enumerate(ledgers):
                    for other, peer in enumerate(ledgers):
                        if other != number and heard_by > 1:
                            ledger.heard(str(other), peer.admitted)
        return admitted

    def most_in_window(self, admitted: list[tuple[float, float]]) -> float:
        return max(
            sum(tokens for at, tokens in admitted if start <= at < start + 8.0)
            for start, _tokens in admitted
        )

    def test_account_at_many_times_its_rate_stays_within_the_bound(self) -> None:
        """Replays an account at 7.5 times its rate on 8 nodes that hear each other after 0.2 s."""
        bound = (78_000 * 8 + 78_000) * 1.1 + 110_000
        self.assertLessEqual(self.most_in_window(self.play(8, 7.5, 0.2, 8)), bound)

    def test_nodes_that_hear_nobody_stay_within_the_bound_together(self) -> None:
        bound = (78_000 * 8 + 78_000) * 1.1 + 110_000
        self.assertLessEqual(self.most_in_window(self.play(8, 7.5, 0.2, 1)), bound)

    def test_account_within_its_rate_is_not_refused(self) -> None:
        admitted = self.play(8, 0.9, 0.2, 8)
        late = sum(tokens for at, tokens in admitted if at >= 5)
        self.assertGreater(late, 0.88 * 78_000 * 35)

    def test_restarted_node_does_not_count_old_use_twice(self) -> None:
        clock = VirtualClock()
        first, second = self.fleet(clock, 2)
        clock.advance(10)
        first.take("a", 50_000.0)
        second.heard("first", first.admitted)
        level = second.level("a")
        second.heard("first", first.admitted)
        self.assertEqual(second.level("a"), level)

    def test_tokens_of_a_request_that_did_not_run_come_back(self) -> None:
        clock = VirtualClock()
        (ledger,) = self.fleet(clock, 1)
        clock.advance(10)
        before = ledger.level("a")
        ledger.take("a", 5_000.0)
        ledger.give_back("a", 5_000.0)
        self.assertEqual(ledger.level("a"), before)
        self.assertEqual(ledger.admitted["a"], 0.0)


class EndpointBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.book = EndpointBook.from_config(self.clock)
        self.book.put(entry("e1"))
        self.book.put(entry("e2"))

    def names(self) -> list[str]:
        return sorted(state.id for state in self.book.usable("s"))

    def test_leaving_and_removed_endpoints_get_nothing(self) -> None:
        self.book.put(entry("e1", is_leaving=True))
        self.assertEqual(self.names(), ["e2"])
        self.book.remove("e2")
        self.assertEqual(self.names(), [])

    def test_entry_that_lapsed_with_the_store_is_used_until_it_must_be_back(self) -> None:
        self.book.keep_removed(102.0)
        self.book.remove("e1")
        self.assertEqual(self.names(), ["e1", "e2"])
        self.clock.advance(2.0)
        self.assertEqual(self.names(), ["e2"])

    def test_unreachable_endpoint_is_avoided_while_another_remains(self) -> None:
        state = self.book.get("e1")
        self.book.unreachable(state)
        self.assertEqual(self.names(), ["e2"])
        self.book.reachable(state)
        self.assertEqual(self.names(), ["e1", "e2"])
        self.book.unreachable(state)
        self.book.remove("e2")
        self.assertEqual(self.names(), ["e1"])

    def test_endpoint_that_keeps_failing_is_avoided_for_longer_each_time(self) -> None:
        state = self.book.get("e1")
        pauses = []
        for _ in range(8):
            if self.book.failed(state):
                pauses.append(state.suspect_until - self.clock())
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(self.names(), ["e2"])
        self.book.answered(state, 0.01)
        self.assertEqual(self.names(), ["e1", "e2"])

    def test_restart_under_the_same_id_forgets_what_was_known(self) -> None:
        state = self.book.get("e1")
        state.weights["m"] = 7
        self.book.put(entry("e1", incarnation="2"))
        self.assertEqual(self.book.get("e1").weights, {"m": 1})


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.holdings = Holdings.from_config(self.clock)
        self.states = [EndpointState(entry(name)) for name in ("e1", "e2", "e3")]
        self.service = Service("s", 10, Engine(4, 50_000))
        self.placement = Placement.from_config(self.clock, Random(3))

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
        ).endpoint

    def test_engine_that_holds_the_parts_is_chosen(self) -> None:
        request = prompt(("aa", 6000), ("bb", 500))
        self.holdings.assume("e3", "1.", request.parts[:1])
        self.assertEqual(self.choose(request), "e3")

    def test_parts_of_other_weights_or_walls_count_for_nothing(self) -> None:
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
        """Replays long prompts whose engine has no memory left: they would wait or be preempted."""
        request = prompt(("aa", 6000))
        self.holdings.assume("e3", "1.", request.parts)
        self.states[2].memory_tokens = 50_000.0
        self.assertNotEqual(self.choose(request), "e3")

    def test_best_source_holds_most(self) -> None:
        request = prompt(("aa", 6000), ("bb", 500))
        self.assertIsNone(best_source(self.holdings, "1.", request.parts, self.states, ()))
        self.holdings.assume("e1", "1.", request.parts[:1])
        self.holdings.assume("e2", "1.", request.parts)
        source = best_source(self.holdings, "1.", request.parts, self.states, ())
        self.assertEqual((source.place, source.tokens), ("e2", 6500))

    def test_second_request_queues_where_its_parts_are_being_read(self) -> None:
        """Replays a burst on one long shared part: it is read once, not on every engine."""
        request = prompt(("aa", 6000), ("bb", 500))
        first = self.choose(request)
        self.holdings.expect(first, "1.", request.parts)
        self.assertEqual([self.choose(request) for _ in range(3)], [first] * 3)
        self.assertIsNone(best_source(self.holdings, "1.", request.parts, self.states, ()))
        self.holdings.unexpect(first, "1.", request.parts)
        self.assertEqual(self.holdings.prefix_tokens(first, "1.", request.parts, True), 0)

    def test_only_parts_that_are_shared_and_missing_are_saved(self) -> None:
        store = Service("kv", 10, None, PartStore("10.0.0.9:1", "z1", 12))
        request = prompt(("aa", 6000), ("bb", 500), ("own", 2000))
        self.assertTrue(must_save(self.holdings, "1.", request.parts, store))
        self.holdings.stored("kv", "1.", "aa", 5_990)
        self.assertTrue(must_save(self.holdings, "1.", request.parts, store))
        self.holdings.stored("kv", "1.", "bb", 496)
        self.assertFalse(must_save(self.holdings, "1.", request.parts, store))
        self.assertFalse(must_save(self.holdings, "1.", request.parts[2:], store))

    def test_assumption_ends_and_word_of_the_engine_stays(self) -> None:
        request = prompt(("aa", 6000))
        self.holdings.assume("e1", "1.", request.parts)
        self.holdings.stored("e2", "1.", "aa", 6000)
        self.clock.advance(ASSUMED_S + 1)
        self.assertEqual(self.holdings.prefix_tokens("e1", "1.", request.parts), 0)
        self.assertEqual(self.holdings.prefix_tokens("e2", "1.", request.parts), 6000)
        self.holdings.dropped("e2", "1.", "aa", 0)
        self.assertEqual(self.holdings.prefix_tokens("e2", "1.", request.parts), 0)

    def test_busy_plain_endpoint_is_left_out(self) -> None:
        self.states[0].running = 4
        self.states[1].running = 4
        chosen = choose_plain(self.states, "z1", Random(1))
        self.assertEqual(chosen.id, "e3")

    def test_named_weights_go_before_older_ones(self) -> None:
        self.states[0].weights = {"m": 1}
        self.states[1].weights = {"m": 2}
        self.states[2].weights = {"m": 1}
        version, able = weights_to_use(self.states, "m", 2, 1)
        self.assertEqual((version, [state.id for state in able]), (2, ["e2"]))
        self.states[1].loading = True
        version, able = weights_to_use(self.states, "m", 2, 1)
        self.assertEqual((version, [state.id for state in able]), (1, ["e1", "e3"]))
        self.assertEqual(weights_to_use(self.states, "m", 2, 2)[1], [])

    def test_broken_request_goes_on_at_older_weights_before_any_engine_has_new_ones(self) -> None:
        """Replays engines that die right after new weights are named: repeats find no new ones."""
        for state in self.states:
            state.weights = {"m": 1}
        version, able = weights_to_use(self.states, "m", 2, 1, lambda _state: 0.1, math.inf)
        self.assertEqual((version, len(able)), (1, 3))

    def test_engines_with_older_weights_share_the_load_of_a_move(self) -> None:
        """Replays the start of a move: one engine has the new weights and all the load."""
        for state, version in zip(self.states, (1, 2, 1), strict=True):
            state.weights = {"m": version}
        waits = {"e1": 0.1, "e2": 2.0, "e3": 0.4}

        def use(oldest_allowed: int) -> tuple[int, list[str]]:
            version, able = weights_to_use(
                self.states, "m", 2, oldest_allowed, lambda state: waits[state.id], 0.1
            )
            return version, [state.id for state in able]

        self.assertEqual(use(1), (1, ["e1", "e3"]))
        self.assertEqual(use(2), (2, ["e2"]))
        waits["e2"] = 0.05
        self.assertEqual(use(1), (2, ["e2"]))
        self.states[0].weights = {"m": 0}
        waits["e2"], waits["e1"], waits["e3"] = 2.0, 0.2, 1.0
        self.assertEqual(use(0), (0, ["e1"]))
        waits["e2"], waits["e1"], waits["e3"] = 0.5, 3.0, 3.0
        self.assertEqual(use(1), (2, ["e2"]))


class NamedWeightsTest(unittest.TestCase):
    def test_each_version_is_allowed_until_the_one_after_it_is_old(self) -> None:
        """Guards against requests on the oldest of three versions when the newest is young."""
        named = NamedWeights()
        for version, at in ((1, 0.0), (2, 2.0), (3, 5.0), (4, 8.6)):
            self.assertTrue(named.learn(version, at))
        self.assertFalse(named.learn(3, 4.9))
        self.assertEqual(named.oldest_allowed(7.9, 6.0), 1)
        self.assertEqual(named.oldest_allowed(8.0, 6.0), 2)
        self.assertEqual(named.oldest_allowed(10.9, 6.0), 3)
        self.assertEqual(named.oldest_allowed(20.0, 6.0), 4)

    def test_version_named_before_the_start_leaves_no_time_for_older_ones(self) -> None:
        """Guards against restarted nodes that begin requests on weights replaced long before."""
        named = NamedWeights()
        self.assertTrue(named.learn(5, -math.inf))
        self.assertEqual((named.oldest_allowed(100.0, 6.0), named.dated), (5, {}))
        named.learn(5, 98.0)
        self.assertEqual((named.oldest_allowed(100.0, 6.0), named.dated), (0, {5: 98.0}))
        named.learn(5, -math.inf)
        self.assertEqual(named.oldest_allowed(100.0, 6.0), 0)


class AdmissionTest(unittest.TestCase):
    def test_what_cannot_be_served_in_time_is_rejected_at_once(self) -> None:
        self.assertTrue(must_reject(expected_s=5.0, left_s=4.0))
        self.assertFalse(must_reject(expected_s=0.5, left_s=4.0))

    @given(st.floats(0, 100), st.floats(0.01, 60), st.integers())
    def test_return_is_within_what_the_caller_has_left(self, backlog, left, seed) -> None:
        wait = retry_after_s(backlog, left, Random(seed))
        self.assertGreater(wait, 0)
        self.assertLessEqual(wait, max(MAX_RETRY_AFTER_S, left / 3))


class WeightsPlanTest(unittest.TestCase):
    def test_few_engines_load_at_once_and_the_oldest_go_first(self) -> None:
        states = [EndpointState(entry(f"e{number}"), weights={"m": 2}) for number in range(5)]
        states[3].weights = {"m": 1}
        plan = plan_loads(states, "m", 3, 2, 10.0)
        self.assertEqual((plan.engines[0], len(plan.engines), plan.pending), ("e3", 2, 5))
        states[0].loading, states[0].loading_until = True, 11.0
        self.assertEqual(len(plan_loads(states, "m", 3, 2, 10.0).engines), 1)

    def test_engine_is_emptied_before_it_loads(self) -> None:
        """Replays an engine with long streams: it loads soon and loses nothing for good."""
        state = EndpointState(entry("e1"))
        self.assertFalse(is_emptied(state, 0.0))
        self.assertTrue(is_emptied(state, TELLING_S))
        state.peer_load["n2"] = (1, 0.0, 0.0, 1)
        self.assertFalse(is_emptied(state, TELLING_S))
        self.assertFalse(breaks_runs_off(state))
        self.assertTrue(is_emptied(state, EMPTYING_S))
        state.peer_load["n2"] = (5, 0.0, 0.0, 0)
        self.assertTrue(breaks_runs_off(state))
        state.peer_load["n3"] = (50, 0.0, 0.0, 0)
        self.assertFalse(breaks_runs_off(state))


class WholeEventsTest(unittest.TestCase):
    STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 9))

    @given(st.lists(st.integers(1, 40), min_size=1, max_size=60))
    def test_any_cut_of_the_stream_gives_whole_events_in_order(self, sizes) -> None:
        events = WholeEvents()
        out, at = b"", 0
        for size in sizes:
            out += events.feed(self.STREAM[at : at + size])
            at += size
            self.assertTrue(out == b"" or out.endswith(b"\n\n"))
        fed = self.STREAM[:at]
        self.assertEqual(out + events.rest, fed)
        self.assertEqual(events.last_id, str(out.count(b"id:")) if out else "")

    def test_endless_event_is_refused(self) -> None:
        with self.assertRaises(EventTooLongError):
            WholeEvents().feed(b"x" * (2 << 20))
