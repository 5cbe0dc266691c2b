"""Tests the lease among nodes of this and the previous version, whose fences lack the era."""

import unittest
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.errors import StoreUnavailableError
from arbutustally.lease import HeldLease, LeaseObserver
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.order_lease import OrderLease
from tests.test_order_lease import FakeLeases

LEASE_S = 3.0
NAME = "weights"
#: Interval between two turns of a node while an engine has outdated weights, seconds.
TURN_S = 0.4
#: Time within which an engine must receive an accepted order, seconds.
ORDERED_S = 12 * LEASE_S


class EarlierLease:
    """Lease of the previous version: the fence is the offset, and records have no era."""

    def __init__(self, holder: str, leases: FakeLeases, clock: VirtualClock) -> None:
        self.holder = holder
        self._leases = leases
        self._clock = clock
        self._observer = LeaseObserver.from_config(LEASE_S)
        self._lease: HeldLease | None = None
        self._unconfirmed: tuple[int, float] | None = None

    @property
    def is_held(self) -> bool:
        return self._lease is not None and self._lease.valid(self._clock())

    @property
    def fence(self) -> int:
        return self._lease.epoch

    def drop(self) -> None:
        self._lease = None

    def claim(self) -> bool:
        self._lease = None
        last, end = self._read()
        if last is not None and last.holder == self.holder and self._unconfirmed:
            offset, sent_at = self._unconfirmed
            if last.offset == offset:
                return self._hold(offset, sent_at)
        now = self._clock()
        is_open = last is not None and not last.is_released
        if is_open and not self._observer.claimable(NAME, last.offset, now):
            return False
        self._unconfirmed = (end, now)
        if not self._leases.append(self.holder, None, False, 0, end).is_appended:
            self._unconfirmed = None
            return False
        return self._hold(end, now)

    def renew(self) -> None:
        lease = self._lease
        last, end = self._read()
        if last is None or last.tenure != lease.epoch or last.holder != self.holder:
            self._lease = None
            return
        sent_at = self._clock()
        if self._leases.append(self.holder, lease.epoch, False, 0, end).is_appended:
            self._lease = HeldLease(sent_at, LEASE_S, NAME, lease.epoch)

    def release(self) -> None:
        lease, self._lease = self._lease, None
        _last, end = self._read()
        self._leases.append(self.holder, lease.epoch, True, 0, end)

    def _read(self):
        reading = self._leases.last()
        last = reading.last
        if last is not None and not last.is_released:
            self._observer.record_read(NAME, last.offset, self._clock())
        return last, reading.end

    def _hold(self, fence: int, sent_at: float) -> bool:
        self._unconfirmed = None
        self._lease = HeldLease(sent_at, LEASE_S, NAME, fence)
        return self.is_held


class Engine:
    """Accepts orders unless their fence is lower than the highest one seen."""

    def __init__(self) -> None:
        self.highest = -1
        self.taken: list[tuple[int, str]] = []

    def order(self, node) -> bool:
        """Accepts or refuses a node's order; a refused node drops its lease."""
        if node.fence < self.highest:
            node.drop()
            return False
        self.highest = node.fence
        self.taken.append((node.fence, node.holder))
        return True


class UpgradeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(50.0)
        self.leases = FakeLeases()
        self.log = DecisionLog({}, clock=self.clock)
        self.engine = Engine()

    def earlier(self, holder: str) -> EarlierLease:
        return EarlierLease(holder, self.leases, self.clock)

    def later(self, holder: str) -> OrderLease:
        return OrderLease(holder, self.leases, self.log, self.clock, LEASE_S)

    def hold(self, node) -> None:
        for _ in range(20):
            if node.claim():
                return
            self.clock.advance(LEASE_S / 10)
        raise AssertionError("no node gets the lease")

    def turn(self, node, rng: Random) -> None:
        self.leases.lose_answer = rng.random() < 0.2
        try:
            if not node.is_held:
                node.claim()
            elif rng.random() < 0.5:
                (node.release if rng.random() < 0.3 else node.renew)()
            if node.is_held:
                is_taken = self.engine.order(node)
                self.assertTrue(is_taken or isinstance(node, EarlierLease))
        except StoreUnavailableError:
            pass
        self.leases.lose_answer = False

    def play(self, era: int, seed: int) -> None:
        """Runs random turns of a mixed fleet; the store does not return to a copy."""
        rng = Random(seed)
        self.leases.records.clear()
        self.leases.era = era
        self.engine = Engine()
        nodes = [self.earlier("a"), self.earlier("b"), self.later("c"), self.later("d")]
        for _ in range(80):
            self.clock.advance(rng.choice((0.0, 0.1, 0.5, 2.0, LEASE_S)))
            self.turn(rng.choice(nodes), rng)
            self.assertLessEqual(sum(node.is_held for node in nodes), 1, seed)
        holders = dict(self.engine.taken)
        self.assertTrue(all(holders[fence] == name for fence, name in self.engine.taken), seed)

    def test_mixed_fleet_has_one_holder(self) -> None:
        """Guards against a record that one version treats as released or expired too early."""
        for era in (0, 1, 7):
            for seed in range(150):
                with self.subTest(era=era, seed=seed):
                    self.play(era, seed)

    def test_lease_of_the_version_before_is_waited_out(self) -> None:
        self.leases.era = 1
        old, new = self.earlier("a"), self.later("b")
        self.hold(old)
        while not new.claim():
            self.assertTrue(self.engine.order(old) if old.is_held else True)
            self.clock.advance(0.1)
        self.assertFalse(old.is_held)
        self.assertTrue(self.engine.order(new))

    def test_late_order_of_the_version_before_is_refused(self) -> None:
        """Guards against an order by a holder whose lease a node of this version took over."""
        self.leases.era = 1
        old, new = self.earlier("a"), self.later("b")
        self.hold(old)
        self.hold(new)
        old._lease = HeldLease(self.clock(), LEASE_S, NAME, old.fence)
        self.engine.order(new)
        self.assertFalse(self.engine.order(old))
        self.assertFalse(old.is_held)

    def ordered_after(self, nodes: list, wanted: int, rng: Random | None = None) -> float:
        """Runs turns until the engine has accepted ``wanted`` orders; returns the seconds taken.

        :param rng: shuffles the order of the turns; without it, nodes act in the listed order.
        """
        began = self.clock()
        while len(self.engine.taken) < wanted:
            self.assertLess(self.clock() - began, ORDERED_S, "the engine accepts no order")
            for node in nodes if rng is None else rng.sample(nodes, len(nodes)):
                if node.is_held or node.claim():
                    self.engine.order(node)
                self.clock.advance(TURN_S / len(nodes))
        return self.clock() - began

    def test_engine_that_saw_a_new_fence_is_ordered_though_an_earlier_node_is_first(self) -> None:
        """Guards against a node that claims again forever though all its orders are refused."""
        self.leases.era = 1
        for seed in range(50):
            rng = Random(seed)
            old, new = self.earlier("a"), self.later("b")
            self.engine = Engine()
            self.hold(new)
            self.engine.order(new)
            for wanted in (2, 3, 4):
                new.release()
                old.claim()
                self.engine.order(old)
                self.ordered_after([old, new], wanted, rng)

    def test_engine_is_ordered_once_all_nodes_are_of_this_version(self) -> None:
        self.leases.era = 1
        old = self.earlier("a")
        self.hold(old)
        self.engine.order(old)
        self.assertLessEqual(self.ordered_after([self.later("b")], 2), LEASE_S + 2 * TURN_S)

    def test_store_that_begins_to_tell_its_era_raises_fences(self) -> None:
        """Guards against engines that refuse all orders if the platform is upgraded after the nodes."""
        old, new = self.earlier("a"), self.later("b")
        self.hold(old)
        self.engine.order(old)
        old.release()
        self.hold(new)
        self.assertTrue(self.engine.order(new))
        self.leases.era = 1
        new.renew()
        self.assertTrue(new.is_held)
        self.assertTrue(self.engine.order(new))
        self.assertEqual(len({fence for fence, _name in self.engine.taken}), 3)


if __name__ == "__main__":
    unittest.main()
