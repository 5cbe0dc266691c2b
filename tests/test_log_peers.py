"""Nodes fetch records of the log that they missed from their peers."""

import unittest
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.errors import PeerUnavailableError
from arbutustally.records import Change, KeyWithdraw
from arbutustally_node import log_peers
from arbutustally_node.kernel import Kernel
from arbutustally_node.log_service import LogService
from tests.fake_log import FakeLog, new_options

ACCOUNT = {"rate": 10.0, "burst": 100.0}


class FakePeers:
    """The peers service of one node.

    :ivar delay_s: duration of each call in seconds, half of it before the handler runs.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self.handlers: dict = {}
        self.peers: dict[str, FakePeers] = {}
        self.delay_s = 0.0

    def handle(self, method: str, function) -> None:
        self.handlers[method] = function

    def connected(self) -> list[str]:
        return list(self.peers)

    def call(self, name: str, method: str, payload, _timeout_s: float):
        self._clock.advance(self.delay_s / 2)
        try:
            return self.peers[name].handlers[method]("caller", payload)
        except KeyError:
            raise PeerUnavailableError("gone") from None
        finally:
            self._clock.advance(self.delay_s / 2)


class LogPeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(1000.0)
        self.log = FakeLog()
        self.one, self.one_link = self._node("n1")
        self.two, self.two_link = self._node("n2")
        self.two_link.peers["n1"] = self.one_link
        self.log.put(Change(-1, {f"accounts/a{n}": ACCOUNT for n in range(200)}))
        self.one._reader.step()

    def _node(self, name: str) -> tuple[LogService, FakePeers]:
        kernel, link = Kernel(), FakePeers(self.clock)
        kernel.register("peers", link)
        service = LogService(kernel, new_options(node_id=name), self.log, self.clock, Random(1))
        service._peers.start()
        self.addCleanup(service._peers.stop)
        return service, link

    def test_restarted_node_serves_with_the_log_down(self) -> None:
        """Guards against a node that refuses requests after a restart while the log is down."""
        self.log.is_down = True
        self.assertFalse(self.two.ready)
        self.two._peers.fetch()
        self.assertTrue(self.two.ready)
        self.assertEqual(self.two.state.snapshot(), self.one.state.snapshot())

    def test_snapshot_larger_than_a_frame_arrives_in_parts(self) -> None:
        """Guards against a snapshot that exceeds the largest frame of a peer link."""
        self.addCleanup(setattr, log_peers, "PART_BYTES", log_peers.PART_BYTES)
        log_peers.PART_BYTES = 50
        for number in range(3000):
            self.log.put(KeyWithdraw(f"key-{number:05}"))
        for _ in range(4):
            self.one._reader.step()
        self.two._peers.fetch()
        self.assertEqual(self.two.state.snapshot(), self.one.state.snapshot())

    def test_withdrawal_reaches_a_node_that_is_cut_off_from_the_log(self) -> None:
        """Guards against a withdrawn key that still works on a node that cannot reach the log."""
        self.two._peers.fetch()
        self.log.put(KeyWithdraw("kkkkkkkk"))
        self.log.put(None)
        self.one._reader.step()
        self.two._peers.fetch()
        self.assertTrue(self.two.state.key("kkkkkkkk").withdrawn)
        self.assertEqual(self.two.state.offset, 2)

    def test_confirmation_by_a_peer_is_never_too_recent(self) -> None:
        """Guards against a slow link that makes an old confirmation appear recent."""
        confirmed_at = self.one.confirmed_at
        self.clock.advance(3.0)
        self.two_link.delay_s = 4.0
        self.two._peers.fetch()
        self.assertGreater(self.two.confirmed_at, float("-inf"))
        self.assertLessEqual(self.two.confirmed_at, confirmed_at)

    def test_node_that_cannot_fetch_reports_that_it_lags(self) -> None:
        """Guards against a node that treats its outdated keys as current."""
        self.two._peers.fetch()
        confirmed_at = self.two.confirmed_at
        for number in range(3000):
            self.log.put(KeyWithdraw(f"key-{number:05}"))
        for _ in range(4):
            self.one._reader.step()
        del self.one_link.handlers[log_peers.SNAPSHOT_METHOD]
        self.clock.advance(1.0)
        self.two._peers.fetch()
        self.assertGreater(self.two.known_offset, self.two.state.offset)
        self.assertEqual(self.two.confirmed_at, confirmed_at)

    def test_partial_catch_up_confirms_nothing(self) -> None:
        """Guards against missing a withdrawal in records that are not fetched yet."""
        self.addCleanup(
            setattr, log_peers, "_MAX_REQUESTS_PER_PEER", log_peers._MAX_REQUESTS_PER_PEER
        )
        log_peers._MAX_REQUESTS_PER_PEER = 1
        self.two._peers.fetch()
        confirmed_at = self.two.confirmed_at
        for number in range(700):
            self.log.put(KeyWithdraw(f"key-{number:05}"))
        self.clock.advance(1.0)
        self.one._reader.step()
        self.two._peers.fetch()
        self.assertLess(self.two.state.offset, self.one.state.offset)
        self.assertEqual(self.two.confirmed_at, confirmed_at)
        self.two._peers.fetch()
        self.assertGreater(self.two.confirmed_at, confirmed_at)

    def test_malformed_response_changes_nothing(self) -> None:
        """Guards against a peer of another release whose response stops this node."""
        answers = (None, {}, {"offset": 5, "records": [[0, b"{}"]], "ready": True, "age_s": "x"})
        for answer in answers:
            self.one_link.handlers[log_peers.TAIL_METHOD] = lambda *_, found=answer: found
            self.two._peers.fetch()
            self.assertEqual(self.two.state.offset, -1)
            self.assertFalse(self.two.ready)
