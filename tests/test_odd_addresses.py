"""Odd addresses of nodes, in the store and in datagrams."""

import socket
from dataclasses import replace

import gevent

from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.peer_state import Covers, PeerState
from tests.odd_values import ODD_ADDRESSES
from tests.test_odd_entries import LoggedCase


class OddAddressTest(LoggedCase):
    """Guards against a lookup, or an error other than ``OSError``, in the task that sends."""

    def test_odd_addresses_of_nodes_are_not_sent_to(self) -> None:
        odd = [address.rpartition(":")[0] for address in ODD_ADDRESSES]
        for number, ip in enumerate((*odd, "\ufffd", "x" * 300, "a" * 64 + ".b")):
            self.store.put_raw("keyed.nodes", f"odd-{number}", ip.encode() or b"\0")
        first = self.start_node()
        self.eventually(lambda: "keyed.nodes" in self.store.topics, 4.0)
        gevent.sleep(1.5)
        self.assert_no_fault()
        self.assertEqual({fields["peer"] for fields in self.logged("gossip_unsent")}, set())
        candidates = set(first._gossip._table._candidates.ips)
        self.assertLessEqual(candidates, {"127.0.0.1", *(f"127.0.0.{n}" for n in range(2, 9))})


class OddDatagramTest(LoggedCase):
    """Guards against one odd datagram that ends a task, or is believed and passed on."""

    def test_odd_datagrams_harm_nobody(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        ip, port = node._options.ip, node._options.peer_port
        odd = Member("odd", "127.0.0.9", "z1", "127.0.0.9:1", "127.0.0.9:99999", True, 99, 1)
        states = [
            {"weights": {"m": {1 << 70: 1.0}}},
            {"weights": {"m": {7: float("-inf")}}},
            {"admitted": {"school": float("nan")}},
            {"loads": {"d1": (10**30, float("inf"), 0.0, 0)}},
            {"peers": ("a\0b", "x" * 300, "no-such-host.invalid")},
            {"members": (replace(odd, ip="a\0b"),)},
            {"counted": {"node-1": 1 << 80}},
        ]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number, changes in enumerate([*states, {}], 1):
                for covers in (Covers.NODE, Covers.CELL, Covers.URGENT):
                    data = PeerState(odd, f"i{covers}", number, covers, **changes).encode()
                    sender.sendto(data, (ip, port))
                    gevent.sleep(0.02)
            gevent.sleep(1.0)
        self.assert_no_fault()
        self.assertNotIn(1 << 70, node._view.weights["m"].known_at if node._view.weights else {})
        self.assert_follows([node], 2)
        self.assert_no_fault()
