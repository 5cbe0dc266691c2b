"""The limits service over real peer links: grants, waits, refusals and their counters."""

import unittest
from random import Random
from types import SimpleNamespace
from typing import Any

import gevent

from arbutustally.clock import monotonic
from arbutustally.directory import ranking
from arbutustally.errors import (
    LimitUnavailableError,
    LogUnavailableError,
    OverBurstError,
    PeerUnavailableError,
    RateLimitedError,
)
from arbutustally.logs import configure
from arbutustally.metrics import Metrics
from arbutustally.records import Change, wrap
from arbutustally.state import ControlState
from arbutustally_node.lease_hold import LeaseHold
from arbutustally_node.limits_service import (
    GRANT_RETRIED,
    LIMIT_UNAVAILABLE,
    OUTAGE_S,
    WAIT_S,
    WITHIN_RATE,
    LimitsService,
)
from arbutustally_node.node_table import Node
from arbutustally_node.peers import PeersService
from tests.node_options import options

LEASE_S = 1.5
TIMEOUT_S = 10.0
ACCOUNTS = {"big": (100_000.0, 100_000.0), "slow": (100.0, 1000.0), "idle": (0.001, 100.0)}


class Log:
    """A log service over a shared list."""

    def __init__(self, records: list[Any], holder: str) -> None:
        self._records = records
        self._holder = holder
        self._subscribers: list[Any] = []
        self.state = ControlState()
        self.ready = True
        self.up = True
        self.confirmed_at = monotonic()
        self._reader = gevent.spawn(self._read_forever)

    def _read_forever(self) -> None:
        while True:
            if self.up:
                self.read()
            gevent.sleep(0.02)

    def read(self) -> None:
        sent_at = monotonic()
        for offset in range(self.state.offset + 1, len(self._records)):
            record = self._records[offset]
            verdict = self.state.apply(offset, record)
            for callback in self._subscribers:
                callback(offset, record, verdict)
        self.confirmed_at = sent_at

    def append(self, body: Any, timeout_s: float = 1.0) -> None:
        if not self.up:
            raise LogUnavailableError("simulated outage; wait")
        self._records.append(wrap(body))
        self.read()

    def subscribe(self, callback: Any) -> None:
        self._subscribers.append(callback)

    def hold(self, name: str, wanted: Any) -> LeaseHold:
        return LeaseHold(self, name, self._holder, LEASE_S, monotonic, Random(0), wanted)

    def stop(self) -> None:
        self._reader.kill()


class SimulatedNode:
    """The peers and limits services of one node."""

    def __init__(self, fleet: "LimitsServiceTest", name: str) -> None:
        own = options(name, shards=1, lease_s=LEASE_S)
        self.metrics = Metrics()
        self.log = Log(fleet.records, own.holder)
        self.peers = PeersService(own, self.metrics, fleet.addresses)
        self.node = Node(name, own.incarnation, "z", f"{name}:80", "", False)
        membership = SimpleNamespace(draining=False, live_nodes=fleet.live_nodes)
        self.limits = LimitsService(
            own, self.metrics, lambda: self.log, lambda: self.peers, lambda: membership
        )
        self.calls = 0
        call = self.limits._call

        def counted(*arguments: Any) -> Any:
            self.calls += 1
            return call(*arguments)

        self.limits._sources._call = counted
        self.peers.start()
        self.limits.start()

    def count(self, counter: Any) -> int:
        return self.metrics.counts.get(counter.name, 0)

    def stop(self) -> None:
        self.limits.stop()
        self.peers.stop()
        self.log.stop()


class LimitsServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        configure("error")
        items = {f"accounts/{n}": {"rate": r, "burst": b} for n, (r, b) in ACCOUNTS.items()}
        self.records: list[Any] = [wrap(Change(-1, items))]
        self.nodes: dict[str, SimulatedNode] = {}
        for name in ("a", "b", "c"):
            self.nodes[name] = SimulatedNode(self, name)
        self.addCleanup(self.stop)
        ranked = [node.id for node in ranking(0, self.live_nodes())]
        self.owner, self.second, self.third = (self.nodes[name] for name in ranked)
        with gevent.Timeout(TIMEOUT_S):
            while not self.ready():
                gevent.sleep(0.05)

    def ready(self) -> bool:
        shares = [self.third.log.state.share(0, slot) for slot in range(2)]
        lease = self.third.log.state.lease("shard/0")
        return lease is not None and all(shares)

    def stop(self) -> None:
        for node in self.nodes.values():
            node.stop()

    def addresses(self) -> dict[str, str]:
        return {name: node.peers.address for name, node in self.nodes.items()}

    def live_nodes(self) -> list[Node]:
        return [node.node for node in self.nodes.values()]

    def admitted(self, node: SimulatedNode, account: str, tokens: float) -> bool:
        try:
            node.limits.settle(node.limits.reserve(account, tokens), tokens)
        except (RateLimitedError, LimitUnavailableError):
            return False
        return True

    def fill(self, account: str, tokens: float) -> None:
        with gevent.Timeout(TIMEOUT_S):
            while not self.admitted(self.third, account, tokens):
                gevent.sleep(0.05)

    def test_most_admissions_need_no_message(self) -> None:
        """Guards against a call to the owner for every request of an account in steady use."""
        self.fill("big", 100)
        for _ in range(100):
            self.fill("big", 50)
            gevent.sleep(0.005)
        before = self.third.calls
        for _ in range(200):
            self.assertTrue(self.admitted(self.third, "big", 50))
            gevent.sleep(0.005)
        self.assertLess(self.third.calls - before, 100)

    def test_request_waits_for_a_grant_that_is_near(self) -> None:
        """Guards against refusing a request that a short wait admits."""
        self.fill("slow", 700)
        while self.admitted(self.third, "slow", 50):
            pass
        retried = self.third.count(GRANT_RETRIED)
        # Each needs 0.2 s of the account's rate, more than a call takes on a busy machine.
        for _ in range(10):
            self.assertTrue(self.admitted(self.third, "slow", 20))
        self.assertGreater(self.third.count(GRANT_RETRIED), retried)

    def test_refusal_comes_at_once_and_names_the_time(self) -> None:
        """Guards against a final refusal that is delayed, and against an invented Retry-After."""
        self.fill("slow", 20)
        while self.admitted(self.third, "slow", 50):
            pass
        began = monotonic()
        with self.assertRaises(RateLimitedError) as caught:
            self.third.limits.reserve("slow", 700)
        self.assertLess(monotonic() - began, WAIT_S)
        # 700 tokens at the owner's 75 tokens/s, less what has refilled since.
        self.assertTrue(5.0 < caught.exception.retry_after_s <= 9.4)

    def test_request_above_the_burst_is_refused_for_good(self) -> None:
        """Guards against a retry loop for a request that can never be admitted."""
        with self.assertRaises(OverBurstError) as caught:
            self.third.limits.reserve("slow", 1001)
        self.assertIsNone(caught.exception.retry_after_s)

    def test_undeclared_account_is_refused(self) -> None:
        """Guards against unlimited use by an account without a limit."""
        with self.assertRaises(LimitUnavailableError):
            self.third.limits.reserve("nobody", 1)

    def test_loss_of_owner_and_shares_is_counted_as_within_the_rate(self) -> None:
        """Guards against refusals caused by the fleet that are counted as the account's overuse."""
        self.owner.peers.stop()
        self.second.peers.stop()
        with self.assertRaises(LimitUnavailableError):
            self.third.limits.reserve("idle", 1)
        self.assertEqual(self.third.count(WITHIN_RATE), 1)

    def test_grant_that_comes_late_admits_the_request(self) -> None:
        """Guards against reporting no issuer when a busy machine received the grant late."""
        call = self.third.limits._call

        def late(*arguments: Any) -> Any:
            answer = call(*arguments)
            gevent.sleep(WAIT_S + 0.1)
            return answer

        gevent.sleep(1.0)
        self.third.limits._sources._call = late
        self.third.limits.settle(self.third.limits.reserve("slow", 20), 20)

    def test_short_loss_of_the_issuers_is_waited_for(self) -> None:
        """Guards against a second of refusals after one response that is late."""
        call = self.third.limits._call
        lost_until = monotonic() + 1.2

        def lossy(*arguments: Any) -> Any:
            if monotonic() < lost_until:
                raise PeerUnavailableError("no answer in time; retry")
            return call(*arguments)

        self.third.limits._sources._call = lossy
        gevent.sleep(1.0)
        self.third.limits.settle(self.third.limits.reserve("big", 100), 100)
        self.assertEqual(self.third.count(LIMIT_UNAVAILABLE), 0)

    def test_pause_in_the_first_attempt_is_followed_by_another_one(self) -> None:
        """Guards against refusing waiting requests after one attempt when a paused node resumes."""
        call = self.third.limits._call
        paused_until = monotonic() + 1.0 + WAIT_S + 0.1

        def paused(*arguments: Any) -> Any:
            if monotonic() < paused_until:
                gevent.sleep(paused_until - monotonic())
                raise PeerUnavailableError("no answer in time; retry")
            return call(*arguments)

        gevent.sleep(1.0)
        self.third.limits._sources._call = paused
        lost = self.third.limits._sources._pause
        self.third.limits._sources._pause = lambda _node: [lost(name) for name in self.nodes]
        self.third.limits.settle(self.third.limits.reserve("slow", 20), 20)

    def test_long_loss_of_the_issuers_is_refused_at_once(self) -> None:
        """Guards against callers that wait for an issuer after a long outage."""
        self.third.log.up = False
        self.owner.peers.stop()
        self.second.peers.stop()
        with gevent.Timeout(TIMEOUT_S):
            refused = monotonic()
            while monotonic() < refused + OUTAGE_S + WAIT_S:
                self.assertFalse(self.admitted(self.third, "idle", 1))
                gevent.sleep(0.01)
        # When an issuer's pause has ended, the next call to it takes up to its timeout.
        waits = []
        for _ in range(20):
            began = monotonic()
            self.assertFalse(self.admitted(self.third, "idle", 1))
            waits.append(monotonic() - began)
            gevent.sleep(0.01)
        self.assertLess(sorted(waits)[10], 0.1)

    def test_share_admits_without_log_and_owner(self) -> None:
        """Guards against a share slot that is never used when owner and log are unreachable."""
        self.fill("slow", 10)
        with gevent.Timeout(TIMEOUT_S):
            while not self.admitted(self.second, "slow", 10):
                gevent.sleep(0.05)
        gevent.sleep(2 * LEASE_S)
        for node in self.nodes.values():
            node.log.up = False
        self.owner.peers.stop()
        gevent.sleep(2 * LEASE_S)
        with gevent.Timeout(TIMEOUT_S):
            while not self.admitted(self.second, "slow", 50):
                gevent.sleep(0.1)

    def test_status_names_the_slots_that_work_without_the_log(self) -> None:
        """Guards against operators, and tests of outages, that cannot tell whether the slots of an
        account are in force or only recorded."""
        homes = (self.owner, self.second)
        with gevent.Timeout(TIMEOUT_S):
            while not all(len(home.limits.usable_shares()) == 1 for home in homes):
                gevent.sleep(0.05)
        slots = {slot for home in homes for slot in home.limits.usable_shares()}
        self.assertEqual(slots, {"0/0", "0/1"})
        self.assertEqual(self.third.limits.usable_shares(), [])

    def test_next_node_takes_over_when_the_owner_is_gone(self) -> None:
        """Guards against a shard that stays without an owner."""
        gone = self.owner.node.id
        self.nodes.pop(gone).stop()
        self.owner.log.up = False
        with gevent.Timeout(TIMEOUT_S):
            while not self.admitted(self.third, "big", 500):
                gevent.sleep(0.1)
        lease = self.third.log.state.lease("shard/0")
        self.assertNotEqual(lease.holder.partition("#")[0], gone)


if __name__ == "__main__":
    unittest.main()
