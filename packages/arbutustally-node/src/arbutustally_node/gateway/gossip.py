"""Datagrams between nodes: load at endpoints, use of limits, weights, and membership.

Each datagram replaces the previous one from the same node, so loss and reordering only cause
delay. Datagrams need no connection that could stall undetected.
"""

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import gevent
from gevent import socket as gevent_socket

from arbutustally.clock import Clock
from arbutustally.gateway.contact import Contact
from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_table import FleetTable, PeerUse
from arbutustally_node.gateway.peer_state import PeerState, datagram_content
from arbutustally_node.gateway.supervision import supervise
from arbutustally_node.loop_turn import LoopTurns

#: Interval between two datagrams to a peer, seconds. Where nodes send to each other directly, it
#: grows with each peer beyond ten, which bounds the rate at which a node sends.
RELAY_INTERVAL_S = 0.2
DIRECT_INTERVAL_S = 0.15
INTERVAL_PER_PEER_S = 0.01
#: Datagrams sent without a pause (more would saturate a small link), and the pause, seconds.
SEND_BURST = 8
SEND_BURST_PAUSE_S = 0.005
#: Largest datagram that is sent.
MAX_DATAGRAM_BYTES = 48_000
RECEIVE_BYTES = 65_536
#: Datagrams that are processed before the event loop gets a turn; large ones count by their content.
DATAGRAMS_PER_TURN = 16


class Gossip:
    """Sends this node's state to its peers and receives theirs.

    :param own_member: this node's membership data at its start.
    :param clock: clock in seconds that keeps counting while the instance is suspended.
    :param describe: returns this node's state; with placements only if its argument is true, since
        each placement is sent once.
    :param on_state: called with a peer's state and the use by peers, ``None`` if the message does
        not report it.
    :param on_change: called when the fleet has changed, with the sources of use that no longer
        count.
    :param contact: records that a peer was heard.
    """

    def __init__(
        self,
        own_member: Member,
        port: int,
        clock: Clock,
        log: DecisionLog,
        describe: Callable[[bool], PeerState],
        on_state: Callable[[PeerState, PeerUse | None], None],
        on_change: Callable[[set[str]], None],
        contact: Contact,
    ) -> None:
        self._ip = own_member.ip
        self._port = port
        self._clock = clock
        self._log = log
        self._describe = describe
        self._on_state = on_state
        self._on_change = on_change
        self._contact = contact
        self._table = FleetTable(own_member, clock)
        self._sources: set[str] = set()
        self._was_relay = False
        self._socket: Any = None
        self._greenlets: list[Any] = []

    def start(self) -> None:
        """Binds the port and starts sending and receiving."""
        self._socket = gevent_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self._ip, self._port))
        self._greenlets = [
            supervise(self._log, "gossip_receive", self._receive),
            supervise(self._log, "gossip_send", self._send),
        ]

    def stop(self) -> None:
        """Sends the current state once more and stops."""
        self.send_now()
        for greenlet in self._greenlets:
            greenlet.kill()
        self._socket.close()

    @property
    def interval_s(self) -> float:
        """Returns the time between two datagrams to a peer."""
        if not self._table.is_direct:
            return RELAY_INTERVAL_S
        peers = len(self._table.present)
        return DIRECT_INTERVAL_S + INTERVAL_PER_PEER_S * max(0, peers - 10)

    @property
    def is_direct(self) -> bool:
        """Returns whether all nodes exchange their load directly, without relays."""
        return self._table.is_direct

    @property
    def present(self) -> list[Member]:
        """Returns the peers from which this node or a relay receives messages."""
        return self._table.present

    @property
    def known(self) -> int:
        """Returns the number of peers that were present recently, whether or not they still are."""
        return self._table.known

    @property
    def is_settled(self) -> bool:
        """Returns whether this node's view of the fleet has been settled once since its start."""
        return self._table.is_settled

    @property
    def is_discovering(self) -> bool:
        """Returns whether this node has started recently and still finds or loses peers."""
        return self._table.is_discovering

    @property
    def has_order_lease_holder(self) -> bool:
        """Returns whether a peer reports that it holds the lease on orders to engines."""
        return self._table.has_order_lease_holder

    @property
    def relay(self) -> Member | None:
        """Returns the relay that this node uses, ``None`` if it uses none."""
        return self._table.relay

    def rank(self, duty: bytes) -> int:
        """Returns this node's rank among the ready nodes for a duty, 0 for the first."""
        return self._table.rank(duty)

    def add_candidate(self, ip: str, is_lasting: bool = False) -> None:
        """Adds the address of a node that may be alive.

        :param is_lasting: whether to keep it even if the node stays silent for long.
        """
        self._table.add_candidate(ip, is_lasting)

    def send_now(self) -> None:
        """Sends all peers the facts that they must receive immediately."""
        message = self._table.urgent(self._describe(False))
        data = message.state.encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            # Peers fetch the configuration when they see that this node has a newer one.
            data = replace(message.state, operator=message.state.repeated).encode()
        self._send_data(data, message.ips)

    def _send(self) -> None:
        while True:
            gevent.sleep(self.interval_s)
            self._refresh_peers()
            for message in self._table.outgoing(self._describe(True)):
                self._send_to(message.state, message.ips)

    def _send_to(self, state: PeerState, ips: tuple[str, ...]) -> None:
        data = state.encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.line("gossip_too_large", bytes=len(data), covers=state.covers.name)
            return
        self._send_data(data, ips)

    def _send_data(self, data: bytes, ips: tuple[str, ...]) -> None:
        for number, ip in enumerate(ips):
            if number and number % SEND_BURST == 0:
                gevent.sleep(SEND_BURST_PAUSE_S)
            try:
                self._socket.sendto(data, (ip, self._port))
            except OSError as error:
                self._log.line("gossip_unsent", peer=ip, error=type(error).__name__)

    def _receive(self) -> None:
        # A receive returns at once while datagrams wait, without a turn of the event loop.
        turns = LoopTurns(DATAGRAMS_PER_TURN)
        while True:
            try:
                data, (ip, _port) = self._socket.recvfrom(RECEIVE_BYTES)
            except OSError as error:
                self._log.line("gossip_unreceived", error=type(error).__name__)
                gevent.sleep(DIRECT_INTERVAL_S)
                continue
            content = datagram_content(data) or b""
            turns.count(len(content))
            state = PeerState.from_content(content)
            if state is None:
                self._log.line("gossip_malformed", peer=ip, bytes=len(data))
                continue
            self._process(ip, state, data)

    def _process(self, ip: str, state: PeerState, data: bytes) -> None:
        if not self._table.take(state):
            return
        forward_to = self._table.forward_ips(state, ip)
        if forward_to:
            gevent.spawn(self._send_data, data, forward_to)
        use = self._table.reported_use(state)
        if use is not None:
            self._sources.add(use.source)
        self._on_state(state, use)
        self._contact.heard()

    def _refresh_peers(self) -> None:
        has_changed = self._table.refresh()
        gone = self._sources - self._table.sources()
        self._sources -= gone
        if self._table.is_relay != self._was_relay:
            self._was_relay = self._table.is_relay
            self._log.line("relay_role", relays=self._was_relay, direct=self._table.is_direct)
        if has_changed:
            self._log.line("peers_changed", present=len(self._table.present), known=self.known)
        if has_changed or gone:
            self._on_change(gone)
