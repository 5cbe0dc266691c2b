"""Standing shares of an account: their use without log and owner, and changes of their holders."""

import unittest

from arbutustally.errors import LeaseLostError
from arbutustally.records import ShareRecord
from arbutustally.standing_shares import SHARE_VALIDITY_S
from tests.limits_world import BURST, GRANT_LIFETIME_S, ROUNDING, World


class StandingShareTest(unittest.TestCase):
    """Slots change holders without an instant at which two nodes use one slot."""

    def setUp(self) -> None:
        self.world = World()
        self.world.run(60)
        fold = self.world.node(0).state
        self.holders = [fold.share(0, slot).holder.partition("#")[0] for slot in range(2)]

    def check(self) -> None:
        self.assertLessEqual(self.world.excess(), ROUNDING)

    def usable(self, node_id: str, slot: int) -> bool:
        try:
            self.world.nodes[node_id].slots[slot].issuer()
        except LeaseLostError:
            return False
        return True

    def cut_off_holder(self, old: str) -> str:
        """Cuts the holder of slot 1 off from the log and all nodes; returns its successor."""
        self.world.cut_from_log.add(old)
        for node_id in self.world.nodes:
            if node_id != old:
                self.world.cut_links.add(frozenset((old, node_id)))
        self.world.run(200)
        fold = self.world.node(self.world.owner_index()).state
        return fold.share(0, 1).holder.partition("#")[0]

    def test_shares_work_without_log_and_owner(self) -> None:
        """Guards against refusing everything while log and owner are down."""
        self.world.log_up = False
        self.world.nodes[self.holders[0]].frozen = True
        self.world.run(30)
        self.assertTrue(self.world.admit(self.world.nodes[self.holders[1]], 100.0))
        self.check()

    def test_share_ends_when_the_log_was_not_read_for_its_validity(self) -> None:
        """Guards against a share that is still used after its successor's wait."""
        self.world.log_up = False
        self.world.run(SHARE_VALIDITY_S + 10, step=30.0)
        self.assertFalse(self.usable(self.holders[1], 1))

    def test_successor_of_an_unreleased_slot_waits(self) -> None:
        """Guards against use by a holder without access to the log and by its successor at once."""
        old = self.world.nodes[self.holders[1]]
        successor = self.cut_off_holder(old.id)
        self.assertNotEqual(successor, old.id)
        self.assertTrue(self.usable(old.id, 1))
        self.assertFalse(self.usable(successor, 1))
        self.world.run(SHARE_VALIDITY_S * 1.02, step=30.0)
        self.assertFalse(self.usable(old.id, 1))
        self.assertTrue(self.usable(successor, 1))

    def test_holder_stops_when_it_reads_another_assignment(self) -> None:
        """Guards against use of a slot that the log has given to another node."""
        old = self.world.nodes[self.holders[1]]
        offset = old.state.share(0, 1).last_offset
        self.assertTrue(self.usable(old.id, 1))
        self.world.nodes[self.holders[0]].append(ShareRecord(0, 1, "other#1", offset))
        for _ in range(int(SHARE_VALIDITY_S * 1.03 / 60)):
            old.read()
            self.assertFalse(self.usable(old.id, 1))
            self.world.now += 60

    def test_released_slot_is_used_at_once(self) -> None:
        """Guards against leaving a released slot unused for the succession wait."""
        self.world.nodes[self.holders[1]].draining = True
        self.world.run(30)
        fold = self.world.nodes[self.holders[0]].state
        successor = fold.share(0, 1).holder.partition("#")[0]
        self.assertNotEqual(successor, self.holders[1])
        self.assertTrue(self.usable(successor, 1))

    def test_home_nodes_that_start_in_turn_get_a_slot_each(self) -> None:
        """Guards against a home node that gets no share because the other one started first."""
        world = World(size=2)
        first = world.owner_index()
        world.node(first).frozen = True
        world.run(20)
        world.node(first).frozen = False
        world.run(60)
        fold = world.node(first).state
        holders = {fold.share(0, slot).holder.partition("#")[0] for slot in range(2)}
        self.assertEqual(holders, set(world.nodes))

    def test_first_share_waits_for_the_lowered_owner(self) -> None:
        """Guards against a first share in use while the owner's grants cover the whole burst."""
        world = World()
        owner = world.node(world.owner_index())
        owner.maintain()
        world.now += 30
        owner.read()
        owner.step_hold()
        owner.owner.issuer()
        for _ in range(12):
            world.now += 1
            owner.step_hold()
        other = next(node for node in world.nodes.values() if node is not owner)
        other.read()
        self.assertEqual(other.sources.ask_owner("acct", BURST, BURST).tokens, BURST)
        for _ in range(3):
            world.maintain()
        second = world.nodes[owner.state.share(0, 1).holder.partition("#")[0]]
        self.assertRaises(LeaseLostError, second.slots[1].issuer)
        world.run(GRANT_LIFETIME_S + 2)
        second.slots[1].issuer()

    def test_holder_that_still_waits_does_not_release(self) -> None:
        """Guards against a release that lets a third holder start before the first has stopped."""
        old = self.world.nodes[self.holders[1]]
        successor = self.cut_off_holder(old.id)
        self.world.nodes[successor].draining = True
        self.world.run(200)
        self.assertTrue(self.usable(old.id, 1))
        for node_id in self.world.nodes:
            if node_id != old.id:
                self.assertFalse(self.usable(node_id, 1))


if __name__ == "__main__":
    unittest.main()
