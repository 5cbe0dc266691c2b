"""Datagrams between nodes: load at endpoints, use of limits, weights, and who is alive.

Each datagram replaces the one before it from the same node, so loss and reordering only cost
time. Datagrams need no connection that could go silent.
"""

import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket as gevent_socket

from arbutustally.clock import Clock
from arbutustally.rendezvous import rank
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.peer_state import PeerState

#: Interval between two datagrams to a peer, seconds, and its growth with each peer: what a node
#: sends in a second stays bounded as the fleet grows.
INTERVAL_S = 0.15
INTERVAL_PER_PEER_S = 0.01
#: Peers that are sent to at the same moment: more would fill a small link for a while.
GROUP_SIZE = 12
#: One of this many datagrams has the addresses of other nodes, and at most so many of them; the
#: first one after a peer was heard has them too.
PEERS_EVERY = 8
MAX_PEERS = 128
#: A peer that was not heard for this many intervals is taken as absent.
ABSENT_AFTER = 6
MIN_ABSENT_S = 1.2
#: Time after which an absent peer is forgotten, seconds.
FORGET_S = 30.0
#: Largest datagram that is sent.
MAX_DATAGRAM_BYTES = 48_000
RECEIVE_BYTES = 65_536


@dataclass
class Peer:
    """A node that was heard.

    :ivar heard_at: monotonic seconds.
    """

    address: str
    state: PeerState
    heard_at: float


class Gossip:
    """Sends this node's state to its peers and takes theirs.

    :param node: name of this node, as its peers know it.
    :param describe: returns the current state, given the next number, addresses of peers to name
        in it, and the group of peers that it is for, ``None`` for all.
    :param on_state: takes a peer's new state.
    """

    def __init__(
        self,
        node: str,
        ip: str,
        port: int,
        clock: Clock,
        log: DecisionLog,
        describe: Callable[[int, tuple[str, ...], int | None], PeerState],
        on_state: Callable[[PeerState], None],
        on_absent: Callable[[PeerState], None],
    ) -> None:
        self._node = node
        self._ip = ip
        self._port = port
        self._clock = clock
        self._log = log
        self._describe = describe
        self._on_state = on_state
        self._on_absent = on_absent
        self._known: dict[str, float] = {}
        self._peers: dict[str, Peer] = {}
        self._absent: set[str] = set()
        self._number = 0
        self._has_newcomer = False
        self._socket: Any = None
        self._greenlets: list[Any] = []

    def start(self) -> None:
        """Binds the port and starts to send and to receive."""
        self._socket = gevent_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self._ip, self._port))
        self._greenlets = [gevent.spawn(self._receive), gevent.spawn(self._send)]

    def stop(self) -> None:
        """Sends the last state once more and stops."""
        self.send_now()
        for greenlet in self._greenlets:
            greenlet.kill()
        self._socket.close()

    @property
    def interval_s(self) -> float:
        """Returns the time between two datagrams to a peer."""
        return INTERVAL_S + INTERVAL_PER_PEER_S * max(0, len(self._known) - 10)

    @property
    def present(self) -> list[PeerState]:
        """Returns the states of the peers that are heard."""
        limit = self._clock() - self._absent_after_s
        return [peer.state for peer in self._peers.values() if peer.heard_at >= limit]

    @property
    def known(self) -> int:
        """Returns the number of peers that were heard lately, present or not."""
        return len(self._peers)

    def rank(self, duty: bytes) -> int:
        """Returns this node's place among the ready nodes for a duty, 0 for the first."""
        return rank(duty, self._node, [state.node for state in self.present if state.is_ready])

    def introduce(self, ip: str) -> None:
        """Adds the address of a node that may be alive."""
        if ip != self._ip:
            self._known[ip] = self._clock()

    def send_now(self) -> None:
        """Sends the current state to all peers."""
        self._send_to(list(self._known), None, False)

    def _send_to(self, ips: list[str], group: int | None, has_peers: bool) -> None:
        self._number += 1
        peers = tuple(self._known)[:MAX_PEERS] if has_peers else ()
        state = self._describe(self._number, peers, group)
        data = state.encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.line("gossip_too_large", bytes=len(data))
            return
        for ip in ips:
            try:
                self._socket.sendto(data, (ip, self._port))
            except OSError as error:
                self._log.line("gossip_unsent", peer=ip, error=type(error).__name__)

    def _send(self) -> None:
        rounds = 0
        while True:
            rounds += 1
            has_peers = self._has_newcomer or rounds % PEERS_EVERY == 1
            self._has_newcomer = False
            groups = max(1, math.ceil(len(self._known) / GROUP_SIZE))
            for group in range(groups):
                gevent.sleep(self.interval_s / groups)
                self._send_to(list(self._known)[group::groups], group, has_peers)
            self._drop_absent()

    def _receive(self) -> None:
        while True:
            try:
                data, (ip, _port) = self._socket.recvfrom(RECEIVE_BYTES)
            except OSError as error:
                self._log.line("gossip_unreceived", error=type(error).__name__)
                gevent.sleep(INTERVAL_S)
                continue
            state = PeerState.decode(data)
            if state is None:
                self._log.line("gossip_malformed", peer=ip, bytes=len(data))
                continue
            self._take(ip, state)

    def _take(self, ip: str, state: PeerState) -> None:
        now = self._clock()
        peer = self._peers.get(ip)
        if (
            peer is not None
            and peer.state.incarnation == state.incarnation
            and state.number <= peer.state.number
        ):
            return
        if peer is None or ip in self._absent:
            self._absent.discard(ip)
            self._has_newcomer = True
            self._log.line("peer_heard", peer=state.node, address=ip)
        self._known[ip] = now
        self._peers[ip] = Peer(ip, state, now)
        for other in state.peers:
            if isinstance(other, str) and other not in self._known:
                self.introduce(other)
        self._on_state(state)

    @property
    def _absent_after_s(self) -> float:
        return max(MIN_ABSENT_S, ABSENT_AFTER * self.interval_s)

    def _drop_absent(self) -> None:
        now = self._clock()
        for ip, peer in list(self._peers.items()):
            silent_s = now - peer.heard_at
            if silent_s > self._absent_after_s and ip not in self._absent:
                self._absent.add(ip)
                self._log.line("peer_absent", peer=peer.state.node, silent_s=round(silent_s, 2))
                self._on_absent(peer.state)
            if silent_s > FORGET_S:
                del self._peers[ip]
                self._absent.discard(ip)
        for ip, since in list(self._known.items()):
            if ip not in self._peers and now - since > FORGET_S:
                del self._known[ip]
