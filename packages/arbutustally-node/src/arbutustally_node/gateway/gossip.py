"""Datagrams between nodes: load at endpoints, use of limits, weights, and who is alive.

Each datagram replaces the one before it from the same node, so loss and reordering only cost
time. Datagrams need no connection that could go silent.
"""

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import cbor2
import gevent
from gevent import socket as gevent_socket

from arbutustally.clock import Clock
from arbutustally_node.gateway.decision_log import DecisionLog

#: Interval between two datagrams to a peer, seconds, and its growth with each peer: what a node
#: sends in a second stays bounded as the fleet grows.
INTERVAL_S = 0.15
INTERVAL_PER_PEER_S = 0.01
#: A peer that was not heard for this many intervals is taken as absent.
ABSENT_AFTER = 6
MIN_ABSENT_S = 1.2
#: Time after which an absent peer is forgotten, seconds.
FORGET_S = 30.0
#: Largest datagram that is sent.
MAX_DATAGRAM_BYTES = 48_000
RECEIVE_BYTES = 65_536


@dataclass(frozen=True)
class PeerState:
    """What a node tells its peers.

    :ivar node: name of the node.
    :ivar incarnation: differs between two starts of a node.
    :ivar number: grows with each datagram of an incarnation.
    :ivar callers: address for callers.
    :ivar control: address of the control listener.
    :ivar is_ready: the node takes requests.
    :ivar config: version of the configuration in force, 0 for none.
    :ivar loads: running requests, unread prompt tokens, tokens in memory, and requests that can't
        go on elsewhere, by endpoint.
    :ivar admitted: running totals by account.
    :ivar weights: named versions by model, with the age of the knowledge in seconds.
    :ivar engines: version that an engine is known to run, by endpoint and model.
    :ivar orders_engines: the node holds the lease on orders to engines.
    :ivar loading: endpoints that load weights.
    :ivar down: endpoints to which this node could not connect.
    :ivar placed: recent placements of prompts, see ``Exchange.placed_lately``.
    :ivar peers: addresses of other nodes.
    """

    node: str
    incarnation: str
    number: int
    zone: str
    callers: str
    control: str
    is_ready: bool
    config: int
    loads: Mapping[str, tuple[int, float, float, int]] = field(default_factory=dict)
    admitted: Mapping[str, float] = field(default_factory=dict)
    weights: Mapping[str, Mapping[int, float]] = field(default_factory=dict)
    engines: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    orders_engines: bool = False
    loading: tuple[str, ...] = ()
    down: tuple[str, ...] = ()
    placed: tuple[Any, ...] = ()
    peers: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Returns the datagram."""
        return cbor2.dumps(list(self.__dict__.values()))

    @classmethod
    def decode(cls, data: bytes) -> "PeerState | None":
        """Returns the state in a datagram, ``None`` if it is malformed."""
        try:
            values = cbor2.loads(data)
            state = cls(*values)
        except (cbor2.CBORDecodeError, TypeError, ValueError):
            return None
        return state if state._is_sound() else None

    def _is_sound(self) -> bool:
        texts = (self.node, self.incarnation, self.zone, self.callers, self.control)
        tables = (self.loads, self.admitted, self.weights, self.engines)
        return (
            all(isinstance(text, str) for text in texts)
            and isinstance(self.number, int)
            and isinstance(self.config, int)
            and isinstance(self.is_ready, bool)
            and all(isinstance(table, dict) for table in tables)
            and isinstance(self.down, list)
            and isinstance(self.placed, list)
            and isinstance(self.peers, list)
        )


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

    :param describe: returns the current state, given the next number and the peers' addresses.
    :param on_state: takes a peer's new state.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        clock: Clock,
        log: DecisionLog,
        describe: Callable[[int, tuple[str, ...]], PeerState],
        on_state: Callable[[PeerState], None],
        on_absent: Callable[[PeerState], None],
    ) -> None:
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

    def introduce(self, ip: str) -> None:
        """Adds the address of a node that may be alive."""
        if ip != self._ip:
            self._known[ip] = self._clock()

    def send_now(self) -> None:
        """Sends the current state to all peers."""
        self._number += 1
        state = self._describe(self._number, tuple(self._known)[:128])
        data = state.encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.line("gossip_too_large", bytes=len(data))
            return
        for ip in self._known:
            try:
                self._socket.sendto(data, (ip, self._port))
            except OSError as error:
                self._log.line("gossip_unsent", peer=ip, error=type(error).__name__)

    def _send(self) -> None:
        while True:
            gevent.sleep(self.interval_s)
            self._drop_absent()
            self.send_now()

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
