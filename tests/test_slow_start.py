"""A cold endpoint gets no more than its limit from all nodes together, whatever they know."""

import itertools
import json
import math
import unittest
from random import Random

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.slow_start import MEMORY_S, START_S, ColdTolerance, SlowStart, shares
from arbutustally_node.gateway.ports import Record
from arbutustally_platform.documents import PlatformDocuments
from arbutustally_platform.headers import MAX_COLD_S, decode_notice
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase
from tests.gateway_values import entry

OVERAGE, SLACK = 1.5, 5
FLEETS = (6, 85, 480)
#: Longest difference between the times that two requests take to an endpoint, seconds.
WAY_S = 0.2
STEP_S = 0.05


class ShiftedClock:
    """Time of one node, which differs from that of the others."""

    def __init__(self, clock: VirtualClock, shift_s: float) -> None:
        self.clock, self.shift_s = clock, shift_s

    def __call__(self) -> float:
        return self.clock() + self.shift_s


class Fleet:
    """Nodes that send to one cold endpoint whenever they may."""

    def __init__(self, nodes: int, rate: float, rng: Random, missing: int = 0) -> None:
        self.rng = rng
        self.clock = VirtualClock(1000.0)
        self.names = [f"10.0.{number // 200}.{number % 200}" for number in range(nodes)]
        self.arrivals: list[float] = []
        self.nodes = []
        for name in self.names:
            clock = ShiftedClock(self.clock, rng.uniform(-1.0, 1.0))
            node = SlowStart(clock, name)
            node.set_rates({"s": rate})
            unknown = rng.sample(self.names, min(missing, nodes - 1))
            node.update_peers(set(self.names) - {name, *unknown})
            state = EndpointState(entry("e"), cold_until=math.inf)
            self.nodes.append((node, state))
        self.clock.advance(START_S)

    def cut(self) -> None:
        """Cuts all nodes off from each other."""
        for node, _state in self.nodes:
            node.update_peers(())

    def send(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for node, state in self.nodes:
                while node.may_send(state):
                    node.record_sent(state)
                    self.arrivals.append(self.clock() + self.rng.uniform(0.0, WAY_S))

    def most_in_a_second(self) -> int:
        times = sorted(self.arrivals)
        return max(sum(at <= one < at + 1.0 for one in times) for at in times)


class SlowStartTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(
        st.sampled_from(FLEETS), st.floats(0.2, 60.0), st.integers(0, 5), st.booleans(), st.data()
    )
    def test_limit_holds_in_any_second(self, nodes, rate, missing, is_cut, data) -> None:
        """Guards against shares that add up to more than a cold endpoint survives."""
        missing = missing if nodes > 6 else min(missing, 1)
        fleet = Fleet(nodes, rate, Random(data.draw(st.integers(0, 1 << 30))), missing)
        fleet.send(1.5)
        if is_cut:
            fleet.cut()
        fleet.send(1.5)
        self.assertLessEqual(fleet.most_in_a_second(), rate * OVERAGE + SLACK)

    def test_nodes_use_most_of_the_rate(self) -> None:
        """Guards against a limit that is kept by sending nothing."""
        for nodes in FLEETS:
            for rate in (1.0, 4.0, 10.0):
                fleet = Fleet(nodes, rate, Random(5))
                fleet.send(12.0)
                self.assertGreaterEqual(len(fleet.arrivals) / 12.0, rate * 0.6, (nodes, rate))

    def test_shares_keep_the_settings(self) -> None:
        """Guards against a limit that is below the sum of the owners' requests."""
        for nodes, rate in itertools.product((1, 2, 6, 85, 480), (0.5, 1.0, 1.6, 9.5, 80.0, 700.0)):
            for tolerance in (ColdTolerance(1.0, 0.0), ColdTolerance(1.5, 5.0)):
                owners, count, window_s = shares(rate, nodes, tolerance)
                self.assertLessEqual(owners * count, tolerance.limit(rate))
                self.assertLessEqual(owners * count / window_s, rate + 1e-9)

    def test_node_that_starts_sends_nothing_before_it_knows_the_fleet(self) -> None:
        """Guards against a node that takes itself for the only one."""
        clock = VirtualClock(10.0)
        node, state = SlowStart(clock, "n1"), EndpointState(entry("e"), cold_until=math.inf)
        node.set_rates({"s": 2.0})
        self.assertFalse(node.may_send(state))
        clock.advance(START_S)
        self.assertTrue(node.may_send(state))

    def test_peers_that_are_gone_for_long_are_forgotten(self) -> None:
        """Guards against cold endpoints that nobody may use because their owners are gone."""
        clock = VirtualClock(10.0)
        node, state = SlowStart(clock, "n1"), EndpointState(entry("e"), cold_until=math.inf)
        node.set_rates({"s": 1.0})
        node.update_peers(f"n{number}" for number in range(2, 60))
        clock.advance(2 * MEMORY_S)
        node.update_peers(())
        clock.advance(MEMORY_S)
        self.assertFalse(node.may_send(state))
        clock.advance(1.0)
        self.assertTrue(node.may_send(state))

    def test_endpoint_without_a_limit_or_a_cold_time_is_not_limited(self) -> None:
        """Guards against a limit on services that state none, and on warm endpoints."""
        node = SlowStart(VirtualClock(10.0), "n1")
        cold = EndpointState(entry("e"), cold_until=math.inf)
        self.assertTrue(node.may_send(cold))
        node.set_rates({"s": 0.0})
        self.assertTrue(node.may_send(cold))
        node.set_rates({"s": 2.0})
        self.assertFalse(node.may_send(cold))
        self.assertTrue(node.may_send(EndpointState(entry("warm"))))


class StatementTest(unittest.TestCase):
    def test_latest_statement_counts(self) -> None:
        """Guards against an endpoint that becomes cold again and is sent all requests."""
        clock = VirtualClock(10.0)
        book = EndpointBook(clock)

        def cold_s() -> float:
            return max(0.0, book.get("e").cold_until - clock())

        book.put(entry("e", cold_remaining_s=4.0))
        self.assertEqual(cold_s(), 4.0)
        clock.advance(1.0)
        book.put(entry("e", cold_remaining_s=4.0))
        self.assertEqual(cold_s(), 3.0)
        self.assertFalse(book.put(entry("e", cold_remaining_s=2.9)))
        self.assertTrue(book.put(entry("e", cold_remaining_s=0.0)))
        self.assertEqual(cold_s(), 0.0)
        # Nodes that do not read the list learn only of entries that change something.
        self.assertTrue(book.put(entry("e", cold_remaining_s=4.0)))
        book.record_cold(book.get("e"), 6.0)
        book.put(entry("e", cold_remaining_s=0.1))
        self.assertEqual(cold_s(), 6.0)
        book.record_cold(book.get("e"), 0.0)
        self.assertEqual(cold_s(), 0.0)
        book.put(entry("e", cold_remaining_s=2.0, incarnation="2"))
        self.assertEqual(cold_s(), 2.0)


class ColdNodeTest(GatewayCase):
    """A running node at cold workers."""

    def test_excess_at_cold_workers_is_rejected_at_once(self) -> None:
        """Guards against bursts at workers that have just started, and callers that wait."""
        services = configuration()["services"]
        services[1]["coldPerS"] = 2.0
        self.store.put("keyed.op", "config", configuration(2, services=services))
        for desk in self.desks:
            self.store.put("keyed.servers", desk.id, {**desk.entry(), "coldRemainingMs": 60_000})
        node = self.start_node()
        self.wait_ready(node)
        gevent.sleep(START_S)
        answers = [self.call(node, "/look/a", f"r{number}") for number in range(20)]
        served = [answer for answer in answers if answer.status == 200]
        rejected = [answer for answer in answers if answer.status == 503]
        self.assertEqual(len(served) + len(rejected), 20)
        self.assertTrue(2 <= len(served) <= 2 * 4, len(served))
        self.assertTrue(all("Retry-After" in answer.headers for answer in rejected))
        for desk in self.desks:
            self.store.put("keyed.servers", desk.id, {**desk.entry(), "coldRemainingMs": 0})
        self.eventually(
            lambda: all(
                s.cold_until < 1e-9 + node._view.book._clock()
                for s in node._view.book.of_service("desk")
            )
        )
        answers = [self.call(node, "/look/a", f"w{number}") for number in range(20)]
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_listed_time_is_bounded(self) -> None:
        """Guards against an odd entry that makes a worker cold for ever."""
        for listed, expected in ((1500, 1.5), (0, 0.0), (1e15, MAX_COLD_S)):
            fields = {**self.desks[0].entry(), "coldRemainingMs": listed}
            record = Record("d1", json.dumps(fields).encode())
            self.assertEqual(PlatformDocuments().decode_endpoint(record).cold_remaining_s, expected)

    def test_workers_state_in_answers_counts(self) -> None:
        """Guards against a worker that becomes cold again and is used as before."""
        self.assertEqual(decode_notice(200, {"cold-ms": "1500"}).cold_s, 1.5)
        self.assertEqual(decode_notice(200, {"cold-ms": "0"}).cold_s, 0.0)
        for odd in ("", "-1", "nan", "1e9", "1" * 5000):
            self.assertIn(decode_notice(200, {"cold-ms": odd}).cold_s, (None, MAX_COLD_S))
