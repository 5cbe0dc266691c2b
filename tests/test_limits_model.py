"""No interval admits more than ``rate x interval + burst`` under any combination of failures."""

import unittest
from contextlib import suppress

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from arbutustally.errors import RouterError
from arbutustally.standing_shares import SHARE_VALIDITY_S
from arbutustally_node.shard_owner import HANDOVER_S
from tests.limits_world import BURST, GRANT_LIFETIME_S, RATE, ROUNDING, World

NODES = st.integers(0, 3)
#: Sizes of requests as fractions of the burst.
PARTS = st.sampled_from([0.01, 0.06, 0.125, 0.25, 0.7, 0.875, 1.0])
SHORT = st.sampled_from([0.05, 0.4, 1.0, 2.4, 3.0])
LONG = st.sampled_from([9.0, 11.0, 25.0, 70.0])


class LimitsMachine(RuleBasedStateMachine):
    """Guards against over-admission by any mix of owner crashes, freezes, cut links and outages."""

    @initialize(warm=st.booleans(), burst=st.sampled_from([RATE, 10 * RATE, 50 * RATE]))
    def begin(self, warm: bool, burst: float) -> None:
        self.world = World(4, RATE, burst)
        if warm:
            self.world.run(30 + burst / RATE)

    @rule(index=NODES, part=PARTS)
    def admit(self, index: int, part: float) -> None:
        self.world.admit(self.world.node(index), part * self.world.burst)

    @rule(
        index=NODES,
        part=PARTS,
        answer=st.sampled_from([0.0, 0.3, 4.5]),
        seconds=SHORT,
        order=st.permutations(range(4)),
    )
    def hold(
        self, index: int, part: float, answer: float, seconds: float, order: list[int]
    ) -> None:
        """A node fetches tokens and holds them for a while."""
        node, tokens = self.world.node(index), part * 0.75 * self.world.burst
        if node.frozen:
            return
        self.world.answer_delay = answer
        with suppress(RouterError):
            node.sources.ask_owner("acct", tokens, tokens)
        self.world.answer_delay = 0.0
        self.world.run(seconds, step=0.2)
        self.admit_all(order)

    @rule(order=st.permutations(range(4)))
    def admit_all(self, order: list[int]) -> None:
        """All nodes admit as much as they can at one instant."""
        for index in order:
            self.world.admit_all(self.world.node(index))

    @rule(seconds=LONG, order=st.permutations(range(4)))
    def owners_sleep(self, seconds: float, order: list[int]) -> None:
        """Owners freeze, others take over, and the old ones resume and admit requests."""
        frozen = [node for node in self.world.nodes.values() if self.world.owns(node)]
        for node in frozen:
            node.frozen = True
        self.world.run(seconds)
        for node in frozen:
            node.frozen = False
        self.admit_all(order)

    @precondition(lambda self: self.world.admissions)
    @rule(data=st.data(), fraction=st.sampled_from([0.0, 0.3, 1.0]))
    def settle(self, data: st.DataObject, fraction: float) -> None:
        latest = self.world.admissions[-20:]
        self.world.settle(data.draw(st.sampled_from(latest)), fraction)

    @rule(seconds=SHORT)
    def wait_idle(self, seconds: float) -> None:
        """Time passes without any periodic work, as for a stalled process."""
        self.world.now += seconds

    @rule(seconds=SHORT | LONG)
    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(index=NODES)
    def tend_one(self, index: int) -> None:
        if not self.world.node(index).frozen:
            self.world.node(index).maintain()

    @rule(index=NODES)
    def freeze(self, index: int) -> None:
        self.world.node(index).frozen = True

    @rule(index=NODES)
    def wake(self, index: int) -> None:
        self.world.node(index).frozen = False

    @rule(index=NODES)
    def restart(self, index: int) -> None:
        self.world.restart(index)

    @rule()
    def herd_restart(self) -> None:
        for index in range(4):
            self.world.restart(index)

    @rule(index=NODES)
    def drain(self, index: int) -> None:
        self.world.node(index).draining = True

    @rule(first=NODES, second=NODES)
    def cut_link(self, first: int, second: int) -> None:
        if first != second:
            self.world.cut_links.add(frozenset((f"n{first}", f"n{second}")))

    @rule()
    def heal(self) -> None:
        self.world.cut_links.clear()
        self.world.cut_from_log.clear()
        self.world.log_up = True
        self.world.request_delay = self.world.answer_delay = 0.0
        self.world.lose_answers = False

    @rule(index=NODES)
    def cut_from_log(self, index: int) -> None:
        self.world.cut_from_log.add(f"n{index}")

    @rule()
    def log_down(self) -> None:
        self.world.log_up = False

    @rule(
        request=st.sampled_from([0.0, 0.2, 3.0, 11.0]), answer=st.sampled_from([0.0, 0.4, 2.4, 4.5])
    )
    def slow_calls(self, request: float, answer: float) -> None:
        self.world.request_delay, self.world.answer_delay = request, answer

    @rule()
    def lose_answers(self) -> None:
        self.world.lose_answers = True

    @rule()
    def pass_succession(self) -> None:
        """The wait of a successor of an unreleased slot passes."""
        self.world.run(SHARE_VALIDITY_S * 1.02, step=60.0)

    @invariant()
    def never_over(self) -> None:
        if hasattr(self, "world"):
            assert self.world.excess() <= ROUNDING, self.world.excess()


LimitsMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None, database=None
)


class LimitsMachineTest(LimitsMachine.TestCase):
    """Runs the state machine."""


class LimitsScenarioTest(unittest.TestCase):
    """Each test takes the whole budget through one failure."""

    def setUp(self) -> None:
        self.world = World()
        self.world.run(60)
        self.owner = self.world.node(self.world.owner_index())
        self.others = [node for node in self.world.nodes.values() if node is not self.owner]

    def check(self) -> None:
        self.assertLessEqual(self.world.excess(), ROUNDING)

    def test_whole_burst_is_admitted_and_no_more(self) -> None:
        """Guards against a split budget of which one part can never be used."""
        self.assertTrue(self.world.admit(self.others[0], BURST))
        self.assertFalse(self.world.admit(self.others[1], 10.0))
        self.check()

    def test_full_rate_is_admitted(self) -> None:
        """Guards against losing the standing shares' part of the rate in normal operation."""
        self.world.admit_all(self.others[0])
        admitted = 0.0
        for _ in range(300):
            self.world.run(0.5)
            for node in self.world.nodes.values():
                node.sources.report("acct")
                while self.world.admit(node, 12.5):
                    admitted += 12.5
        self.check()
        self.assertGreater(admitted, RATE * 150 * 0.95)

    def test_grant_used_just_before_its_deadline(self) -> None:
        """Guards against a refill in place of a grant for the time in which it was live."""
        node = self.others[0]
        self.world.admit_all(self.owner)
        self.world.run(8)
        node.sources.ask_owner("acct", 500.0, 500.0)
        self.world.run(GRANT_LIFETIME_S - 0.1, step=0.1)
        self.assertTrue(self.world.admit(node, 500.0))
        self.world.now += 0.2
        self.world.admit_all(self.owner)
        self.check()

    def test_late_answer_does_not_extend_a_grant(self) -> None:
        """Guards against counting a grant's lifetime from the arrival of the response."""
        self.world.answer_delay = GRANT_LIFETIME_S - 0.1
        self.others[0].sources.ask_owner("acct", 700.0, 700.0)
        self.world.answer_delay = 0.0
        self.world.run(GRANT_LIFETIME_S - 0.5, step=0.1)
        self.world.admit_all(self.owner)
        self.world.admit_all(self.others[0])
        self.check()

    def test_frozen_holder_wakes_after_its_grant_ended(self) -> None:
        """Guards against using a grant that expired while its holder was frozen."""
        node = self.others[0]
        node.sources.ask_owner("acct", 700.0, 700.0)
        node.frozen = True
        self.world.run(12)
        self.world.admit_all(self.owner)
        node.frozen = False
        self.world.admit_all(node)
        self.check()

    def test_frozen_owner_wakes_after_its_lease_ended(self) -> None:
        """Guards against grants of an owner that has a successor."""
        self.owner.frozen = True
        self.world.run(40)
        successor = next(node for node in self.others if self.world.owns(node))
        self.world.admit_all(successor)
        self.owner.frozen = False
        self.world.admit_all(self.owner)
        self.check()

    def test_new_owner_starts_empty(self) -> None:
        """Guards against a second burst after a change of owner."""
        # The burst lasts longer than a lease, so that it has not refilled when the owner changes.
        self.world = World(4, RATE, 50 * RATE)
        self.world.run(120)
        owner = self.world.node(self.world.owner_index())
        self.world.admit_all(owner)
        owner.frozen = True
        self.world.run(25)
        others = [node for node in self.world.nodes.values() if node is not owner]
        self.assertTrue(any(self.world.owns(node) for node in others))
        for node in others:
            self.world.admit_all(node)
        self.check()

    def test_late_settlement_does_not_return_tokens(self) -> None:
        """Guards against returning tokens to a grant in whose place the owner has refilled."""
        node = self.others[0]
        self.world.admit(node, 700.0)
        self.world.run(12)
        self.world.settle(self.world.admissions[-1], 0.0)
        self.world.admissions[-1].tokens = 700.0
        self.assertEqual(node.pool.available("acct"), 0.0)

    def test_settlement_returns_tokens_to_a_live_grant_once(self) -> None:
        """Guards against losing unused tokens, and against returning them twice."""
        node = self.others[0]
        self.world.admit(node, 500.0)
        held = node.pool.available("acct")
        admission = self.world.admissions[-1]
        self.world.settle(admission, 0.2)
        node.pool.settle(admission.reservation, 0.0)
        self.assertAlmostEqual(node.pool.available("acct"), held + 400.0)
        self.world.admit_all(node)
        self.check()

    def test_handover_waits_for_grants(self) -> None:
        """Guards against a released lease under which grants are still live."""
        node = self.others[0]
        self.owner.draining = True
        self.world.run(HANDOVER_S - 0.2, step=0.1)
        self.assertGreater(node.sources.ask_owner("acct", 700.0, 700.0).tokens, 0)
        self.world.run(GRANT_LIFETIME_S - 0.5, step=0.1)
        self.assertTrue(any(self.world.owns(other) for other in self.others))
        for other in self.world.nodes.values():
            self.world.admit_all(other)
        self.check()

    def test_unused_tokens_return_before_the_deadline(self) -> None:
        """Guards against writing off tokens that were prefetched and not used."""
        node = self.others[0]
        node.sources.ask_owner("acct", 400.0, 400.0)
        budget = self.owner.owner.issuer().budget("acct")
        before = budget.level
        self.world.now += GRANT_LIFETIME_S - 0.3
        node.sources.report("acct")
        self.assertAlmostEqual(budget.outstanding, 0.0)
        self.assertGreaterEqual(budget.level, before + 400.0 - ROUNDING)


if __name__ == "__main__":
    unittest.main()
