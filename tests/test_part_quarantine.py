"""Quarantine of prompt parts over a whole fleet: rejections, trials, releases and lost messages."""

import unittest
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.errors import QuarantinedPartError
from arbutustally.gateway.crash_evidence import MAX_PARTS, Crash
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.quarantine import (
    EARLY_TRIAL_S,
    MAX_VERDICTS,
    TRIAL_INTERVALS_S,
    Quarantine,
    Verdict,
)
from arbutustally_node.gateway.quarantine_messages import (
    SENT_CRASHES,
    SENT_PROOFS,
    QuarantineUpdate,
    decode_update,
    update_row,
)
from bench.fleet_world import FleetWorld, WorldNode
from tests.gateway_values import entry

SHARED, BAD = b"a" * 8, b"b" * 8
#: Time after the fifth crash from which on only ``MAX_LATE`` more arrivals are allowed, seconds.
WINDOW_S = 3.0
MAX_LATE = 3
FREE_CRASHES = 5
STEP_S = 0.1
#: Time between the arrival of a bad request and the end of its endpoint, seconds.
ANSWER_S = 0.2
#: Bad requests a second, and time within which all nodes know each other, seconds.
BAD_RATE = 8.0
CONVERGED_S = 3.0


class FleetQuarantineTest(unittest.TestCase):
    """Requests with one bad part at all nodes of a fleet, on a virtual clock."""

    def start(self, nodes: int, loss: float = 0.0) -> None:
        self.world = FleetWorld(nodes, loss=loss)
        self.world.run(CONVERGED_S)
        self.rng = Random(5)
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.rejected: set[bytes] = set()

    def ask(self, node: WorldNode, *parts: bytes) -> bool:
        """Returns whether the node lets a request through."""
        try:
            node.quarantine.admit(parts)
        except QuarantinedPartError:
            self.rejected.update(parts)
            return False
        return True

    def crash(self, node: WorldNode, *parts: bytes) -> None:
        now = self.world.clock()
        self.crashes.append(now)
        state = EndpointState(entry(f"e{len(self.crashes)}"))
        node.quarantine.crashed(state, 0.0, frozenset(parts))

    def play(self, seconds: float, bad_rate: float, answers: bool = True) -> None:
        """Sends bad requests, and sound ones that share the first part."""
        due: list[tuple[float, WorldNode]] = []
        for _ in range(round(seconds / STEP_S)):
            self.world.run(STEP_S)
            now, nodes = self.world.clock(), self.world.running()
            for at, node in [one for one in due if one[0] <= now]:
                due.remove((at, node))
                self.crash(node, SHARED, BAD, b"w%07d" % self.rng.randrange(1000))
            if answers:
                for node in self.rng.sample(nodes, min(len(nodes), 4)):
                    if self.ask(node, SHARED):
                        node.quarantine.answered([SHARED, b"s%07d" % self.rng.randrange(1000)])
            if self.rng.random() < bad_rate * STEP_S:
                node = self.rng.choice(nodes)
                if self.ask(node, SHARED, BAD):
                    self.arrivals.append(now)
                    due.append((now + ANSWER_S, node))

    def late(self) -> int:
        fifth = self.crashes[:FREE_CRASHES][-1]
        return sum(at > fifth + WINDOW_S for at in self.arrivals)

    def test_bad_part_is_rejected_in_time_in_fleets_of_all_sizes(self) -> None:
        for nodes in (8, 79, 195, 480):
            with self.subTest(nodes=nodes):
                self.start(nodes, loss=0.1)
                self.play(FREE_CRASHES / BAD_RATE + 2 * WINDOW_S, BAD_RATE)
                self.assertGreaterEqual(len(self.crashes), 3)
                self.assertLessEqual(self.late(), MAX_LATE)
                for node in self.world.running():
                    self.assertFalse(self.ask(node, BAD))
                    self.assertTrue(self.ask(node, SHARED))

    def test_bad_part_is_rejected_though_no_endpoint_answers_anything(self) -> None:
        self.start(8)
        self.play(3.0, 0.0)
        self.play(12.0, BAD_RATE, answers=False)
        self.assertLessEqual(self.late(), MAX_LATE)
        self.assertTrue(self.ask(self.world.nodes[0], SHARED))

    def test_restarted_nodes_know_the_part_from_their_peers(self) -> None:
        self.start(8)
        self.play(8.0, BAD_RATE)
        before = len(self.arrivals)
        for node in list(self.world.nodes)[:4]:
            self.world.kill(node)
            self.world.restart(node)
        self.world.run(2.0)
        self.play(8.0, BAD_RATE)
        self.assertEqual(len(self.arrivals), before)

    def test_crashes_that_no_prompt_causes_reject_nobody(self) -> None:
        """Guards against a lock-out of sound prompts by endpoints that crash in series."""
        self.start(8)
        for _ in range(40):
            self.play(0.4, 0.0)
            node = self.rng.choice(self.world.nodes)
            self.crash(node, SHARED, *(b"s%07d" % self.rng.randrange(1000) for _ in range(3)))
        self.assertEqual(self.rejected, set())

    def test_one_node_tries_the_part_once_at_a_time(self) -> None:
        self.start(8)
        self.play(8.0, BAD_RATE)
        before = len(self.arrivals)
        self.play(TRIAL_INTERVALS_S[0] + 2 * WINDOW_S, BAD_RATE)
        self.assertEqual(len(self.arrivals), before + 1)

    def test_part_that_has_become_sound_is_released_on_all_nodes(self) -> None:
        self.start(8)
        self.play(8.0, BAD_RATE)
        self.world.run(TRIAL_INTERVALS_S[0])
        tried = [node for node in self.world.running() if self.ask(node, SHARED, BAD)]
        self.assertEqual(len(tried), 1)
        tried[0].quarantine.answered([SHARED, BAD])
        self.world.run(2.0)
        for node in self.world.running():
            self.assertTrue(self.ask(node, SHARED, BAD))

    def test_messages_bear_nothing_more_in_calm(self) -> None:
        self.start(8)
        self.play(3.0, 0.0)
        for node in self.world.running():
            self.assertIsNone(update_row(node.quarantine.describe()))


class VerdictTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.nodes = [Quarantine.from_config(self.clock) for _ in range(2)]

    def test_later_change_wins_in_any_order(self) -> None:
        first, second = self.nodes
        first.convict(BAD, may_be_sound=False)
        early = first.verdicts
        first.release(BAD)
        for verdicts in (first.verdicts, early, first.verdicts):
            for verdict in verdicts:
                second.merge(verdict)
        self.assertEqual(second.active, frozenset())
        second.convict(BAD, may_be_sound=False)
        self.assertTrue(first.merge(second.verdicts[0]))
        self.assertEqual(first.active, frozenset([BAD]))

    def test_part_that_may_be_sound_is_tried_early_once(self) -> None:
        node = self.nodes[0]
        node.convict(BAD, may_be_sound=True)
        self.clock.advance(EARLY_TRIAL_S)
        (verdict,) = node.blocking([BAD])
        self.assertTrue(node.is_trial_due(verdict))
        node.begin_trial(verdict)
        (verdict,) = node.blocking([BAD])
        self.assertAlmostEqual(verdict.trial_at - self.clock(), TRIAL_INTERVALS_S[0])

    def test_verdicts_are_bounded_and_released_ones_go_first(self) -> None:
        node = self.nodes[0]
        node.convict(BAD, may_be_sound=False)
        for number in range(3 * MAX_VERDICTS):
            node.convict(b"part%04d" % number, may_be_sound=False)
            node.release(b"part%04d" % number)
        self.assertEqual(len(node.verdicts), MAX_VERDICTS)
        self.assertIn(BAD, node.active)


class MessageTest(unittest.TestCase):
    def test_largest_message_is_bounded_and_comes_back(self) -> None:
        parts = [b"part%04d" % number for number in range(MAX_PARTS)]
        update = QuarantineUpdate(
            tuple(Crash(b"end%05d" % n, 1.5, frozenset(parts)) for n in range(SENT_CRASHES)),
            {b"part%04d" % number: 0.25 for number in range(SENT_PROOFS)},
            tuple(Verdict(b"part%04d" % n, 3, True, 60.0, 1) for n in range(MAX_VERDICTS)),
        )
        self.assertEqual(decode_update(update_row(update)), update)

    def test_malformed_updates_are_refused(self) -> None:
        crash, verdict = [b"x" * 8, 1.0, [b"y" * 8]], [b"x" * 8, 1, True, 1.0, 0]
        for row in (
            [],
            [[crash], {}],
            [[crash] * 100, {}, []],
            [[[b"x", 1.0, []]], {}, []],
            [[[b"x" * 8, float("nan"), []]], {}, []],
            [[], {b"x" * 8: float("inf")}, []],
            [[], {}, [verdict] * 100],
            [[], {}, [[b"x" * 8, -5, True, 1.0, 0]]],
            [[], {}, [["x" * 8, 1, True, 1.0, 0]]],
        ):
            with self.subTest(row=str(row)[:60]), self.assertRaises((TypeError, ValueError)):
                decode_update(row)
