"""Tests the lease on orders to engines: one holder at a time, and fast changes of holder."""

import unittest
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.errors import StoreUnavailableError
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.order_lease import OrderLease
from arbutustally_node.gateway.ports import LeaseAppend, LeaseReading, LeaseRecord

LEASE_S = 3.0


class FakeLeases:
    """In-memory topic of the lease."""

    def __init__(self) -> None:
        self.records: list[LeaseRecord] = []
        self.era = 0
        self.lose_answer = False
        self.is_away = False
        self.before_append = lambda: None

    def return_to(self, end: int) -> None:
        """Drops the records from an offset on and begins a new era."""
        del self.records[end:]
        self.era += 1

    def last(self) -> LeaseReading:
        last = self.records[-1] if self.records else None
        return LeaseReading(last, len(self.records), self.era)

    def append(
        self, holder: str, tenure: int | None, is_released: bool, era: int, expected: int
    ) -> LeaseAppend:
        self.before_append()
        if self.is_away:
            raise StoreUnavailableError("append got no answer")
        if expected != len(self.records):
            return LeaseAppend(False, self.era)
        offset = len(self.records)
        begun = offset if tenure is None else tenure
        self.records.append(LeaseRecord(holder, offset, begun, is_released, era))
        if self.lose_answer:
            self.lose_answer = False
            raise StoreUnavailableError("append got no answer")
        return LeaseAppend(True, self.era)


class OrderLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(50.0)
        self.leases = FakeLeases()
        self.log = DecisionLog({}, clock=self.clock)

    def lease(self, holder: str) -> OrderLease:
        return OrderLease(holder, self.leases, self.log, self.clock, LEASE_S)

    def test_standby_takes_over_as_soon_as_the_lease_has_lapsed(self) -> None:
        """Replays a holder that loses its connection while engines are being updated."""
        first, standby, late = self.lease("a"), self.lease("b"), self.lease("c")
        self.assertTrue(first.claim())
        standby.poll()
        self.clock.advance(LEASE_S)
        self.assertFalse(first.is_held)
        self.assertFalse(late.claim())
        self.assertTrue(standby.claim())
        self.assertGreater(standby.fence, 0)

    def test_standby_polls_at_most_once_per_interval(self) -> None:
        self.lease("a").claim()
        standby = self.lease("b")
        standby.poll()
        self.assertTrue(standby.is_open)
        self.leases.append("a", 0, True, 0, 1)
        standby.poll()
        self.assertTrue(standby.is_open)
        self.clock.advance(1.0)
        standby.poll()
        self.assertFalse(standby.is_open)

    def test_released_lease_is_claimed_at_once(self) -> None:
        first, second = self.lease("a"), self.lease("b")
        first.claim()
        first.release()
        self.assertFalse(first.is_held)
        self.assertTrue(second.claim())

    def test_claim_whose_answer_was_lost_counts_from_when_it_was_sent(self) -> None:
        lease = self.lease("a")
        self.leases.lose_answer = True
        with self.assertRaises(StoreUnavailableError):
            lease.claim()
        self.clock.advance(2.0)
        self.assertTrue(lease.claim())
        self.assertEqual(len(self.leases.records), 1)
        self.clock.advance(LEASE_S - 2.0)
        self.assertFalse(lease.is_held)

    def test_renewal_after_another_claim_ends_the_hold(self) -> None:
        first = self.lease("a")
        first.claim()
        self.leases.append("b", None, False, 0, 1)
        first.renew()
        self.assertFalse(first.is_held)

    def hold(self, lease: OrderLease) -> int:
        """Claims until the lease is held; returns the fence."""
        for _ in range(20):
            if lease.claim():
                return lease.fence
            self.clock.advance(LEASE_S / 10)
        raise AssertionError("no node gets the lease")

    def test_fence_rises_over_a_store_that_forgot_the_lease(self) -> None:
        """Guards against a new holder whose orders are refused or mistaken for the old holder's."""
        self.leases.era = 1
        old = self.lease("a")
        fences = [self.hold(old)]
        for _ in range(3):
            old.renew()
        old.release()
        fences.append(self.hold(self.lease("b")))
        for number in range(3):
            self.clock.advance(LEASE_S)
            self.leases.return_to(0)
            fences.append(self.hold(self.lease(f"c{number}")))
        self.assertEqual(fences, sorted(set(fences)))

    def test_holder_whose_record_was_lost_is_waited_out(self) -> None:
        """Guards against two nodes ordering engines after a return of the store."""
        self.leases.era = 1
        old = self.lease("a")
        self.hold(old)
        self.leases.return_to(0)
        new = self.lease("b")
        while not new.claim():
            self.clock.advance(0.1)
        self.assertFalse(old.is_held)

    def test_each_of_two_returns_is_waited_out(self) -> None:
        """Guards against a second holder beside one that claimed after the first return and froze."""
        self.leases.era = 1
        old, new = self.lease("a"), self.lease("b")
        self.hold(old)
        self.leases.return_to(0)
        self.assertFalse(new.claim())
        self.clock.advance(LEASE_S / 2)
        old.renew()
        self.leases.return_to(0)
        self.assertFalse(new.claim())
        self.clock.advance(LEASE_S / 2)
        self.assertTrue(old.is_held)
        self.assertFalse(new.claim())
        self.clock.advance(LEASE_S / 2)
        self.assertFalse(old.is_held)
        self.assertTrue(new.claim())

    def test_holder_continues_in_a_new_era_with_a_higher_fence(self) -> None:
        """Guards against loads that pause for a whole lease duration after each return."""
        self.leases.era = 1
        lease, other = self.lease("a"), self.lease("b")
        fence = self.hold(lease)
        self.leases.return_to(0)
        self.assertFalse(other.claim())
        lease.renew()
        self.assertTrue(lease.is_held)
        self.assertGreater(lease.fence, fence)
        self.clock.advance(LEASE_S - 0.1)
        self.assertFalse(other.claim())

    def test_claim_that_arrives_in_a_later_era_is_not_held(self) -> None:
        """Guards against a fence that another claim of the previous era may have had."""
        self.leases.era = 1
        lease = self.lease("a")
        self.assertFalse(lease.claim())
        self.clock.advance(LEASE_S)
        self.leases.before_append = lambda: self.leases.return_to(0)
        self.assertFalse(lease.claim())
        self.assertEqual(len(self.leases.records), 1)
        self.assertFalse(lease.is_held)

    def test_release_follows_only_the_own_record(self) -> None:
        """Guards against a late release that lets a third node claim while the second holds."""
        first, second = self.lease("a"), self.lease("b")
        first.claim()
        self.leases.append("b", None, False, 0, 1)
        first.release()
        self.assertFalse(self.leases.records[-1].is_released)
        self.assertFalse(second.claim())

    def test_release_of_an_earlier_era_counts_for_nothing(self) -> None:
        """Guards against an older copy with a released lease that was claimed again afterwards."""
        self.leases.era = 1
        first, second, third = self.lease("a"), self.lease("b"), self.lease("c")
        self.hold(first)
        first.release()
        self.hold(second)
        self.leases.return_to(2)
        self.assertTrue(self.leases.records[-1].is_released)
        self.assertFalse(third.claim())
        self.clock.advance(LEASE_S)
        self.assertFalse(second.is_held)
        self.assertTrue(third.claim())

    def test_standby_polls_the_lease_early_in_a_new_era(self) -> None:
        """Guards against a full lease duration of delay for weights named long after a return."""
        self.leases.era = 1
        self.hold(self.lease("a"))
        self.leases.return_to(1)
        standby = self.lease("b")
        standby.record_era(2)
        self.assertTrue(standby.is_open)
        standby.poll()
        self.clock.advance(LEASE_S)
        self.assertTrue(standby.claim())

    def test_expired_holder_does_not_continue_in_a_new_era(self) -> None:
        """Guards against a thawed holder that misses another's tenure whose record was lost."""
        self.leases.era = 1
        first, second = self.lease("a"), self.lease("b")
        self.hold(first)
        first_end = len(self.leases.records)
        self.assertFalse(second.claim())
        self.clock.advance(LEASE_S)
        self.assertTrue(second.claim())
        self.leases.return_to(first_end)
        first.renew()
        self.assertFalse(first.is_held)
        self.assertTrue(second.is_held)

    def test_renewal_that_arrives_in_a_later_era_ends_the_hold(self) -> None:
        """Guards against a tenure that continues under a fence of a past era."""
        self.leases.era = 1
        lease = self.lease("a")
        self.hold(lease)
        self.leases.before_append = lambda: self.leases.return_to(1)
        lease.renew()
        self.assertFalse(lease.is_held)

    def test_claim_is_not_confirmed_by_a_record_of_a_later_era(self) -> None:
        """Guards against an old era's fence that another node may have had at the same offset."""
        self.leases.era = 1
        lease = self.lease("a")
        self.assertFalse(lease.claim())
        self.clock.advance(LEASE_S)
        self.leases.lose_answer = True
        self.leases.before_append = lambda: self.leases.return_to(0)
        with self.assertRaises(StoreUnavailableError):
            lease.claim()
        self.assertEqual(len(self.leases.records), 1)
        self.assertFalse(lease.claim())

    def test_first_of_two_unanswered_claims_counts(self) -> None:
        """Guards against a tenure counted from the second claim, which may have written nothing."""
        lease = self.lease("a")
        self.leases.is_away = True
        for _ in range(2):
            with self.assertRaises(StoreUnavailableError):
                lease.claim()
            self.clock.advance(1.0)
        self.leases.is_away = False
        self.leases.append("a", None, False, 0, 0)
        self.assertTrue(lease.claim())
        self.clock.advance(LEASE_S - 2.0)
        self.assertFalse(lease.is_held)

    def test_answer_of_an_era_that_is_over_is_not_used(self) -> None:
        """Guards against a claim based on records from before the store's return."""
        self.leases.era = 1
        lease = self.lease("a")
        lease.record_era(2)
        with self.assertRaises(StoreUnavailableError):
            lease.claim()

    def test_random_turns_never_have_two_holders_and_fences_only_rise(self) -> None:
        for seed in range(200):
            rng = Random(seed)
            self.leases.records.clear()
            nodes = [self.lease(f"n{number}") for number in range(3)]
            fences: list[int] = []
            for _ in range(60):
                self.clock.advance(rng.choice((0.0, 0.1, 0.5, 2.0, LEASE_S)))
                self.turn(rng.choice(nodes), rng)
                held = [node for node in nodes if node.is_held]
                self.assertLessEqual(len(held), 1, seed)
                fences.extend(node.fence for node in held)
            self.assertEqual(fences, sorted(fences), seed)

    def turn(self, node: OrderLease, rng: Random) -> None:
        self.leases.lose_answer = rng.random() < 0.2
        try:
            if node.is_held:
                (node.release if rng.random() < 0.3 else node.renew)()
            elif rng.random() < 0.5:
                node.claim()
            else:
                node.poll()
        except StoreUnavailableError:
            pass
        self.leases.lose_answer = False
