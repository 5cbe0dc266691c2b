"""Peer links over real sockets: reconnection, calls, broadcasts and hostile peers."""

import unittest
from typing import Any
from unittest import mock

import gevent
from hypothesis import given
from hypothesis import strategies as st
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from arbutustally.errors import PeerUnavailableError, Ran, RateLimitedError
from arbutustally.logs import configure
from arbutustally.metrics import Metrics
from arbutustally.peer_channel import Handshake, SecureChannel
from arbutustally.peer_protocol import Call, Event, Events, encode
from arbutustally.topology import group_of, plan
from arbutustally_node import peer_dialler, peer_link, peers
from arbutustally_node.peers import PEER_REJECTED, PeersService
from arbutustally_node.serial_window import WINDOW_SERIALS, SerialWindow
from tests.node_options import REQUIRED, options

SECRET = REQUIRED["peer_secret"]
#: Timeout for events that are expected without delay, seconds.
TIMEOUT_S = 10.0


def eventually(condition: Any) -> bool:
    """Returns whether the condition becomes true within ``TIMEOUT_S``."""
    with gevent.Timeout(TIMEOUT_S, False):
        while not condition():
            gevent.sleep(0.02)
        return True
    return False


class Fleet:
    """Nodes that know each other's addresses."""

    def __init__(self, mesh_up_to: int = 16) -> None:
        self.nodes: dict[str, PeersService] = {}
        self.received: dict[str, list[tuple[str, Any]]] = {}
        self._mesh_up_to = mesh_up_to

    def add(self, name: str, **changes: Any) -> PeersService:
        service = PeersService(
            options(name, **changes), Metrics(), self.addresses, mesh_up_to=self._mesh_up_to
        )
        inbox = self.received.setdefault(name, [])
        service.subscribe("news", lambda origin, payload: inbox.append((origin, payload)))
        service.handle("echo", lambda node_id, payload: [node_id, payload])
        service.start()
        self.nodes[name] = service
        return service

    def addresses(self) -> dict[str, str]:
        return {name: node.address for name, node in self.nodes.items()}

    def connected(self) -> bool:
        return all(len(node.connected()) == len(self.nodes) - 1 for node in self.nodes.values())

    def stop(self) -> None:
        for node in self.nodes.values():
            node.stop()


class PeersCase(unittest.TestCase):
    def setUp(self) -> None:
        configure("error")
        self.enterContext(mock.patch.object(peer_dialler, "REPLAN_INTERVAL_S", 0.05))
        self.enterContext(mock.patch.object(peer_dialler, "DIAL_GRACE_S", 0.2))
        self.fleet = Fleet()
        self.addCleanup(lambda: self.fleet.stop())

    def assert_eventually(self, condition: Any) -> None:
        self.assertTrue(eventually(condition))


class LinksTest(PeersCase):
    def test_call_carries_payload_and_typed_errors(self) -> None:
        """Guards against a typed error that loses its code, ``ran`` or retry time on the wire."""
        a, b = self.fleet.add("a"), self.fleet.add("b")

        def refuse(_node_id: str, _payload: Any) -> None:
            raise RateLimitedError("no tokens; retry", ran=Ran.NOT_RUN, retry_after_s=2.5)

        b.handle("refuse", refuse)
        b.handle("fail", lambda _node_id, _payload: 1 // 0)
        large = b"x" * 900_000
        self.assertEqual(a.call("b", "echo", large, TIMEOUT_S), ["a", large])
        with self.assertRaises(RateLimitedError) as caught:
            a.call("b", "refuse", None, TIMEOUT_S)
        self.assertEqual(caught.exception.retry_after_s, 2.5)
        for method in ("fail", "unknown"):
            with self.assertRaises(PeerUnavailableError):
                a.call("b", method, None, TIMEOUT_S)
        self.assertEqual(a.call("b", "echo", 1, TIMEOUT_S), ["a", 1])

    def test_late_answer_reaches_no_other_call(self) -> None:
        """Guards against the reply of a timed-out call being returned by a later call."""
        a, b = self.fleet.add("a"), self.fleet.add("b")
        delays = iter([0.3, 0.0])

        def slow(_node_id: str, payload: Any) -> Any:
            gevent.sleep(next(delays))
            return payload

        b.handle("slow", slow)
        a.call("b", "echo", 0, TIMEOUT_S)
        with self.assertRaises(PeerUnavailableError) as caught:
            a.call("b", "slow", "first", 0.05)
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)
        self.assertEqual(a.call("b", "slow", "second", TIMEOUT_S), "second")
        gevent.sleep(0.4)
        self.assertEqual(a.call("b", "echo", 3, TIMEOUT_S), ["a", 3])

    def test_restarted_node_is_linked_again(self) -> None:
        """Guards against keeping the link to the previous incarnation of a restarted node."""
        a, b = self.fleet.add("a"), self.fleet.add("b")
        self.assert_eventually(self.fleet.connected)
        b.stop()
        with self.assertRaises(PeerUnavailableError):
            a.call("b", "echo", 1, 0.05)
        self.fleet.add("b")
        self.assert_eventually(lambda: "b" in a._links and not a._links["b"].closed)
        self.assertEqual(a.call("b", "echo", 2, TIMEOUT_S), ["a", 2])

    def test_silent_peer_is_dropped(self) -> None:
        """Guards against counting a frozen process as connected for ever."""
        self.enterContext(mock.patch.object(peer_link, "RECEIVE_TIMEOUT_S", 0.3))
        self.enterContext(mock.patch.object(peers, "LIVENESS_TIMEOUT_S", 0.3))
        a = self.fleet.add("a")
        with raw_link(a, "z"):
            self.assert_eventually(lambda: a.connected() == ["z"])
            self.assert_eventually(lambda: a.connected() == [])

    def test_heartbeats_keep_an_idle_link_open(self) -> None:
        """Guards against closing a healthy link that carries only heartbeats."""
        self.enterContext(mock.patch.object(peer_link, "RECEIVE_TIMEOUT_S", 0.6))
        self.enterContext(mock.patch.object(peer_link, "HEARTBEAT_S", 0.1))
        a = self.fleet.add("a")
        self.fleet.add("b")
        self.assert_eventually(self.fleet.connected)
        link = a._links["b"]
        gevent.sleep(1.5)
        self.assertFalse(link.closed)

    def test_secret_rotates_without_an_outage(self) -> None:
        """Guards against a split fleet while nodes restart one by one with the new secret."""
        old, new = SECRET, "next-secret-0123456789"
        names = ("a", "b", "c")
        for name in names:
            self.fleet.add(name)
        self.assert_eventually(self.fleet.connected)
        for secrets in ((new, old), (new, "")):
            for name in names:
                self.fleet.nodes[name].stop()
                self.fleet.add(name, peer_secret=secrets[0], peer_secret_previous=secrets[1])
                for other in names:
                    if other != name:
                        answer = self.fleet.nodes[name].call(other, "echo", 1, TIMEOUT_S)
                        self.assertEqual(answer, [name, 1])
        rejected = [node.metric(PEER_REJECTED) for node in self.fleet.nodes.values()]
        self.assertEqual(rejected, [0, 0, 0])


class GroupsTest(PeersCase):
    def test_broadcast_reaches_each_node_once_through_groups(self) -> None:
        """Guards against losing or repeating broadcasts between nodes without a direct link."""
        self.fleet = Fleet(mesh_up_to=4)
        names = [f"node-{index}" for index in range(16)]
        for name in names:
            self.fleet.add(name)
        self.assert_eventually(lambda: all(self._linked(name) for name in names))
        for round_number in range(3):
            for name in names:
                self.fleet.nodes[name].broadcast("news", round_number)
        expected = 3 * (len(names) - 1)
        self.assert_eventually(
            lambda: all(len(inbox) >= expected for inbox in self.fleet.received.values())
        )
        gevent.sleep(0.6)
        for name in names:
            inbox = self.fleet.received[name]
            self.assertEqual(len(inbox), len(set(inbox)))
            self.assertEqual(len(inbox), expected)
        links = [len(node._links) for node in self.fleet.nodes.values()]
        self.assertLess(max(links), len(names) - 1)
        self.assert_eventually(self.fleet.connected)

    def _linked(self, name: str) -> bool:
        wanted = plan(name, self.fleet.nodes, 4)
        links = self.fleet.nodes[name]._links
        return set(wanted.near) <= set(links) and all(
            set(group) & set(links) for group in wanted.far
        )

    def test_another_member_is_tried_when_the_first_is_down(self) -> None:
        """Guards against losing contact with a whole group when one of its members fails."""
        self.fleet = Fleet(mesh_up_to=2)
        names = [f"node-{index}" for index in range(9)]
        listed = self.fleet.addresses
        own = names[0]
        group = next(g for g in plan(own, names, 2).far if len(g) > 1)
        self.fleet.addresses = lambda: {
            **dict.fromkeys(names, "127.0.0.1:1"),
            **listed(),
        }
        self.fleet.add(own)
        self.fleet.add(group[1])
        self.assert_eventually(lambda: group[1] in self.fleet.nodes[own]._links)

    def test_a_join_moves_no_other_node(self) -> None:
        """Guards against regrouping the fleet whenever one node starts."""
        groups = {name: group_of(name, 4) for name in map(str, range(16))}
        joined = plan("0", [*groups, "new"], 4)
        same = {name for name in groups if groups[name] == groups["0"] and name != "0"}
        self.assertLessEqual(same, set(joined.near))


class SerialsTest(PeersCase):
    def test_repeated_event_is_delivered_once(self) -> None:
        """Guards against delivering an event twice that arrives over two paths."""
        node = self.fleet.add("a")
        event = encode(Events((Event("y", "1", 5, "news", "x"),)))
        later = encode(Events((Event("y", "1", 6, "news", "later"),)))
        with raw_link(node, "z") as link:
            for data in (event, event, later, event):
                link.connection.send(link.channel.seal(data))
            self.assert_eventually(lambda: ("y", "later") in self.fleet.received["a"])
            gevent.sleep(0.1)
        self.assertEqual(self.fleet.received["a"], [("y", "x"), ("y", "later")])

    @given(st.lists(st.integers(0, WINDOW_SERIALS - 1), max_size=60))
    def test_each_serial_is_accepted_once_in_any_order(self, serials: list[int]) -> None:
        """Guards against dropping an event because a newer one arrived before it."""
        window = SerialWindow("1")
        accepted = [serial for serial in serials if window.accept(serial)]
        self.assertEqual(accepted, list(dict.fromkeys(serials)))


class raw_link:  # noqa: N801 used as a context manager
    """An authenticated connection that a test reads and writes directly."""

    def __init__(self, node: PeersService, name: str, secret: str = SECRET) -> None:
        self._node = node
        self._handshake = Handshake.from_config(name, "1", secret)
        self.channel: SecureChannel | None = None

    def __enter__(self) -> "raw_link":
        self.connection = connect(f"ws://{self._node.address}/", proxy=None, compression=None)
        self.connection.send(self._handshake.hello())
        proof, self.channel = self._handshake.prove(
            self.connection.recv(timeout=TIMEOUT_S), self._node._options.node_id
        )
        self.connection.send(proof)
        self.channel.open(self.connection.recv(timeout=TIMEOUT_S))
        return self

    def __exit__(self, *_: Any) -> None:
        self.connection.close()


class HostileTest(PeersCase):
    def assert_rejected(self, node: PeersService, send: Any) -> None:
        before = node.metric(PEER_REJECTED)
        with raw_link(node, "z") as link:
            self.assert_eventually(lambda: "z" in node.connected())
            for frame in send(link.channel):
                link.connection.send(frame)
            with self.assertRaises((WebSocketException, TimeoutError)):
                while True:
                    link.connection.recv(timeout=TIMEOUT_S)
            self.assertEqual(link.connection.close_code is not None, True)
        self.assert_eventually(lambda: node.metric(PEER_REJECTED) == before + 1)

    def test_broken_frames_close_the_link_and_are_counted(self) -> None:
        """Guards against accepting replayed, reordered, altered, truncated or unknown frames."""
        node = self.fleet.add("a")
        self.fleet.add("b")
        heartbeat = encode(Events(()))

        def replayed(channel: SecureChannel) -> list[bytes]:
            return [channel.seal(heartbeat)] * 2

        def reordered(channel: SecureChannel) -> list[bytes]:
            return [channel.seal(heartbeat), channel.seal(heartbeat)][::-1]

        def altered(channel: SecureChannel) -> list[bytes]:
            return [channel.seal(heartbeat)[:-1] + b"\x00\x00"]

        def truncated(channel: SecureChannel) -> list[bytes]:
            return [channel.seal(heartbeat)[:10]]

        def hostile(channel: SecureChannel) -> list[bytes]:
            return [channel.seal(b"\x82\x07\x9b\x7f\xff\xff\xff\xff\xff\xff\xff")]

        def text(_channel: SecureChannel) -> list[str]:
            return ["text"]

        for send in (replayed, reordered, altered, truncated, hostile, text):
            with self.subTest(send.__name__):
                self.assert_rejected(node, send)
        self.assertEqual(node.call("b", "echo", 1, TIMEOUT_S), ["a", 1])

    def test_wrong_secret_gets_no_answer(self) -> None:
        """Guards against handling calls before authentication or under another secret."""
        node = self.fleet.add("a")
        calls = []
        node.handle("spy", lambda *call: calls.append(call))
        with connect(f"ws://{node.address}/", proxy=None) as connection:
            connection.send(Handshake.from_config("z", "1", "wrong" * 5).hello())
            connection.recv(timeout=TIMEOUT_S)
            connection.send(encode(Call(0, "spy", None)))
            with self.assertRaises(WebSocketException):
                connection.recv(timeout=TIMEOUT_S)
        self.assert_eventually(lambda: node.metric(PEER_REJECTED) == 1)
        self.assertEqual(calls, [])
        self.assertEqual(node.connected(), [])

    def test_large_message_before_authentication_is_refused(self) -> None:
        """Guards against an unauthenticated peer that makes the node buffer a megabyte."""
        node = self.fleet.add("a")
        with connect(f"ws://{node.address}/", proxy=None) as connection:
            with self.assertRaises(WebSocketException):
                connection.send(bytes(100_000))
                connection.recv(timeout=TIMEOUT_S)
            self.assertEqual(connection.close_code, 1009)


if __name__ == "__main__":
    unittest.main()
