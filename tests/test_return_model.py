"""Model test of nodes that read a store, or learn from peers, while it returns to older copies."""

import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from arbutustally.gateway.shared_reading import ListUpdate
from tests.return_world import Node, World

NODES = st.integers(0, 3)
WORKERS = st.integers(0, 3)
SECONDS = st.sampled_from([0.2, 0.6, 1.4, 3.0])
#: Time within which all nodes must agree after all cuts and freezes have ended, seconds.
AGREED_S = 12.0
#: Largest age of a copy to which the store returns, seconds.
OLDEST_COPY_S = 30.0


class ReturnMachine(RuleBasedStateMachine):
    """Guards against nodes that keep state the store has lost, or revert to older state with it."""

    @initialize(seed=st.integers(0, 99))
    def begin(self, seed: int) -> None:
        self.world = World(Random(seed))
        self.world.run(2.0)
        self.copies = [(self.world.clock(), self.world.store.copy())]
        self.seen: dict[Node, tuple[int, int]] = {}
        # Per node: latest start of each endpoint that it knew, and whether that process had left.
        self.past: dict[Node, dict[str, tuple[int, bool]]] = {}

    @rule(seconds=SECONDS)
    def pass_time(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(seconds=st.sampled_from([0.2, 0.6]))
    def pass_time_without_heartbeats(self, seconds: float) -> None:
        self.world.run(seconds, has_heartbeats=False)

    @rule()
    def take_copy(self) -> None:
        copy = self.world.clock(), self.world.store.copy()
        self.copies = [*self.copies[-1:], copy]

    @rule(which=st.integers(0, 1), is_written=st.booleans(), beats=st.integers(0, 12))
    def return_to_copy(self, which: int, is_written: bool, beats: int) -> None:
        """The store returns; heartbeats may advance its offsets past the old ones at once."""
        taken_at, copy = self.copies[min(which, len(self.copies) - 1)]
        if self.world.clock() - taken_at > OLDEST_COPY_S:
            return
        self.world.return_to(copy)
        if is_written:
            self.world.write_again()
        for _ in range(beats):
            self.world.write_heartbeats()

    @rule(
        event=st.sampled_from(["drains", "ends", "starts", "config", "version/m", "nothing"]),
        index=WORKERS,
        written=st.sampled_from(["config", "version/m", ""]),
        beats=st.sampled_from([0, 1, 12, 40]),
        quiet_s=st.sampled_from([0.2, 1.6, 3.0]),
    )
    def forget(self, event: str, index: int, written: str, beats: int, quiet_s: float) -> None:
        """The store loses records that all nodes have, and heartbeats pause for a while."""
        copy = self.world.store.copy()
        if event in self.world.written:
            self.operator_writes(event)
        elif event != "nothing":
            getattr(self, f"worker_{event}")(index)
        self.world.run(1.6)
        self.nothing_goes_back()
        self.world.return_to(copy)
        if written:
            self.operator_writes(written)
        for _ in range(beats):
            self.world.write_heartbeats()
        self.world.run(quiet_s, has_heartbeats=False)

    @rule(key=st.sampled_from(["config", "version/m"]))
    def operator_writes(self, key: str) -> None:
        self.world.written[key] += 1
        self.world.write_again()

    @rule()
    def operator_writes_again(self) -> None:
        self.world.write_again()

    @rule(index=WORKERS)
    def worker_drains(self, index: int) -> None:
        self.world.workers[index].is_leaving = True

    @rule(index=WORKERS)
    def worker_stays(self, index: int) -> None:
        self.world.workers[index].is_leaving = False

    @rule(index=WORKERS)
    def worker_ends(self, index: int) -> None:
        self.world.workers[index].is_alive = False

    @rule(index=WORKERS)
    def worker_starts(self, index: int) -> None:
        worker = self.world.workers[index]
        worker.born += 1
        worker.is_alive, worker.is_leaving = True, False

    @rule(index=NODES, is_frozen=st.booleans())
    def freeze(self, index: int, is_frozen: bool) -> None:
        self.world.nodes[index].is_frozen = is_frozen

    @rule(index=NODES, is_cut=st.booleans())
    def cut(self, index: int, is_cut: bool) -> None:
        self.world.nodes[index].is_cut = is_cut

    @rule(index=NODES)
    def restart(self, index: int) -> None:
        self.world.nodes[index] = Node(self.world, index)

    @rule()
    def restart_all(self) -> None:
        self.world.nodes = [Node(self.world, index) for index in range(4)]

    @rule(index=NODES, ahead=st.sampled_from([1, 2, 1 << 40]))
    def false_era(self, index: int, ahead: int) -> None:
        updates = ListUpdate(self.world.store.era + ahead, 0, 1 << 40, 0.0, 0.0, ())
        self.world.nodes[index].endpoints.take(updates, "liar")

    @precondition(lambda self: hasattr(self, "world"))
    @invariant()
    def nothing_goes_back(self) -> None:
        for node in self.world.nodes:
            version, named = self.seen.get(node, (0, 0))
            assert node.version >= version, "an older configuration came back"
            assert node.named >= named, "older weights came back"
            self.seen[node] = (node.version, node.named)
            self._check_endpoints(node)

    def _check_endpoints(self, node: Node) -> None:
        """Checks that no outdated entry makes an endpoint usable again on a node."""
        usable = node.usable
        past = self.past.setdefault(node, {})
        states = {state.id: state for state in node.view.book.all()}
        for worker in self.world.workers:
            state = states.get(worker.id)
            if state is None:
                # The node discards an endpoint's state long after its removal.
                past.pop(worker.id, None)
                continue
            born = int(state.entry.incarnation)
            known_born, is_past = past.get(worker.id, (0, False))
            assert born >= known_born, "an earlier start came back"
            is_past = is_past and born == known_born
            is_gone = state.gone_at is not None and worker.id not in usable
            may_return = worker.is_alive and worker.born == born and not worker.is_leaving
            if is_past and worker.id in usable:
                assert may_return, "an endpoint that had left came back"
            past[worker.id] = (born, (is_past and not may_return) or state.is_leaving or is_gone)

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        world = self.world
        for node in world.nodes:
            node.is_frozen = node.is_cut = False
        world.write_again()
        world.run(AGREED_S)
        expected = {
            worker.id for worker in world.workers if worker.is_alive and not worker.is_leaving
        }
        for node in world.nodes:
            assert node.reading.position.era == world.store.era, "a node stayed in an old era"
            assert node.usable == expected, (node.index, node.usable, expected)
            assert node.version == world.written["config"]
            assert node.named == world.written["version/m"]


ReturnMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=15, deadline=None, derandomize=True
)
ReturnTest = ReturnMachine.TestCase


class SettlingTest(unittest.TestCase):
    """Cases in which nodes differ in what they know of an endpoint in an older list."""

    def setUp(self) -> None:
        self.world = World(Random(1))
        self.world.run(2.0)
        self.copy = self.world.store.copy()

    def test_node_without_the_store_takes_the_list_of_the_newer_era(self) -> None:
        last = self.world.nodes[-1]
        last.is_cut = True
        self.world.run(3.0)
        self.world.return_to(self.copy)
        self.world.run(3.0)
        self.assertEqual(last.reading.position.era, 2)

    def test_fresh_node_learns_that_an_endpoint_of_the_older_list_is_gone(self) -> None:
        """Guards against readers that do not pass on a removal because they know it already."""
        self.world.workers[0].is_alive = False
        self.world.run(3.0)
        self.world.return_to(self.copy)
        # The others have read the older list before the fresh node does.
        self.world.run(1.4, has_heartbeats=False)
        self.world.nodes[-1] = Node(self.world, len(self.world.nodes) - 1)
        self.world.run(0.2, has_heartbeats=False)
        self.assertIn("e0", self.world.nodes[-1].usable)
        self.world.run(6.0)
        self.assertNotIn("e0", self.world.nodes[-1].usable)

    def test_node_without_the_store_learns_that_an_endpoint_stays_or_is_back(self) -> None:
        """Guards against an endpoint left out by nodes that learn of the new era from peers only."""
        leaving, gone, last = *self.world.workers[:2], self.world.nodes[-1]
        for pause_s in (0.2, 3.0):
            with self.subTest(pause_s=pause_s):
                leaving.is_leaving, gone.is_alive, last.is_cut = True, False, True
                self.world.run(4.0)
                self.assertFalse({"e0", "e1"} & last.usable)
                self.world.return_to(self.copy)
                self.world.run(pause_s, has_heartbeats=False)
                leaving.is_leaving, gone.is_alive = False, True
                self.world.run(6.0)
                self.assertLessEqual({"e0", "e1"}, last.usable)

    def test_earlier_start_does_not_come_back_on_a_node_that_never_knew_it(self) -> None:
        """Guards against requests to an ended process by nodes started after it ended."""
        self.world.workers[0].born += 1
        self.world.run(2.0)
        fresh = self.world.nodes[-1] = Node(self.world, len(self.world.nodes) - 1)
        self.world.run(2.0)
        self.world.return_to(self.copy)
        self.world.run(1.0, has_heartbeats=False)
        self.assertEqual(fresh.reading.position.era, 2)
        self.assertEqual(fresh.view.book.get("e0").entry.incarnation, "2")
        self.world.run(3.0)
        self.assertIn("e0", fresh.usable)

    def test_node_that_reads_late_learns_that_an_endpoint_is_back(self) -> None:
        """Guards against an entry that is treated as outdated and never checked again."""
        worker, last = self.world.workers[0], self.world.nodes[-1]
        worker.is_alive = False
        self.world.run(3.0)
        last.is_frozen = True
        self.world.return_to(self.copy)
        self.world.run(0.4, has_heartbeats=False)
        worker.is_alive = True
        self.world.run(5.0)
        last.is_frozen = False
        self.world.run(3.0)
        self.assertIn("e0", last.usable)


if __name__ == "__main__":
    unittest.main()
