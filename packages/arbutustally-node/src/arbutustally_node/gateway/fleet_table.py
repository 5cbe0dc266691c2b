"""State that one node holds about its peers, and the messages that it must send to them.

It does no socket I/O, so that tests can replay a fleet of these tables on a virtual clock.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace

from arbutustally.clock import Clock
from arbutustally.gateway.engine_speeds import Work, subtract_works
from arbutustally.gateway.fleet_sums import Loads, subtract_loads
from arbutustally.gateway.relaying import Member, RelayChoice, RelayPlan
from arbutustally.rendezvous import order, rank
from arbutustally_node.gateway.latest_messages import LatestMessages, ReceivedMessage
from arbutustally_node.gateway.peer_candidates import FORGET_S, PeerCandidates
from arbutustally_node.gateway.peer_state import Covers, PeerState
from arbutustally_node.gateway.relay_messages import RelayMessages

#: After its start, a node treats its view of the fleet as settled once the set of peers has not
#: changed for ``SETTLED_S``, or after ``MAX_SETTLING_S`` at the latest, seconds.
SETTLED_S = 0.5
MAX_SETTLING_S = 2.5
#: Time without a change of the set of peers after which a node that has just started takes the
#: missing ones for silent, seconds. Messages are up to 0.2 s apart.
DISCOVERY_PAUSE_S = 0.3
#: Time after which a node that receives no messages treats itself as the only one, seconds.
NO_PEERS_S = 0.6
#: Sent messages that are kept, because the relay's sums may still include any of them.
MAX_SENT = 32


@dataclass(frozen=True)
class PeerUse:
    """Load, admitted tokens and engine speeds of peers, as reported by one source.

    :ivar source: key of the source, which differs between two starts of a peer. A report replaces
        the previous one of the same source.
    """

    source: str
    loads: Loads
    admitted: dict[str, float]
    speeds: Mapping[str, Work]


@dataclass(frozen=True)
class Outgoing:
    """A message and the addresses to which it is sent."""

    state: PeerState
    ips: tuple[str, ...]


class FleetTable:
    """Peers of one node, and the node's role in relaying.

    :param own_member: this node's membership data at its start.
    :param clock: clock in seconds that keeps counting while the instance is suspended.
    """

    def __init__(self, own_member: Member, clock: Clock) -> None:
        self._own_member = own_member
        self._ip = own_member.ip
        self._clock = clock
        self._latest = LatestMessages(clock)
        self._messages = RelayMessages(self._latest)
        self._candidates = PeerCandidates(clock)
        self._choice = RelayChoice.from_config(clock)
        self._plan = RelayPlan.from_members([own_member])
        self._ranks: dict[bytes, int] = {}
        # By address: present peers, when peers were last present, and when relays timed out.
        self._present: dict[str, Member] = {}
        self._known_at: dict[str, float] = {}
        self._lost_relays: dict[str, float] = {}
        self._sent: deque[PeerState] = deque(maxlen=MAX_SENT)
        # Whether the next ``refresh`` must report a changed fleet.
        self._has_unreported_change = False
        self._started_at = clock()
        self._changed_at = clock()
        self._is_settled = False

    @property
    def present(self) -> list[Member]:
        """Returns the peers from which this node or a relay receives messages."""
        return list(self._present.values())

    @property
    def known(self) -> int:
        """Returns the number of peers that were present within the last ``FORGET_S``."""
        return len(self._known_at)

    @property
    def is_direct(self) -> bool:
        """Returns whether the nodes of the fleet send messages to each other directly."""
        return self._plan.is_direct

    @property
    def is_settled(self) -> bool:
        """Returns whether this node's view of the fleet has been settled once since its start.

        Load pattern: all nodes of a large fleet start at once while an account sends many times
        its rate. Nodes that know only some of the others would each admit more than their share
        of the account's limit.
        """
        self._is_settled = self._is_settled or self._knows_fleet()
        return self._is_settled

    @property
    def is_discovering(self) -> bool:
        """Returns whether this node has started recently and still finds or loses peers."""
        now = self._clock()
        is_new = now - self._started_at < MAX_SETTLING_S
        return is_new and now - self._changed_at < DISCOVERY_PAUSE_S

    def _knows_fleet(self) -> bool:
        now = self._clock()
        running_s = now - self._started_at
        if not self._present:
            return running_s >= NO_PEERS_S or not self._candidates.ips
        return (
            self._plan.is_direct
            or running_s >= MAX_SETTLING_S
            or now - self._changed_at >= SETTLED_S
        )

    @property
    def is_relay(self) -> bool:
        """Returns whether this node is a relay, by plan or because nodes use it as their relay."""
        return bool(self._latest.nodes) or (bool(self._present) and self._ip in self._plan.ips)

    @property
    def relay(self) -> Member | None:
        """Returns the relay that this node uses, ``None`` if it uses none."""
        fleet = self._latest.fleet
        return None if self.is_relay or fleet is None else fleet.state.sender

    @property
    def has_order_lease_holder(self) -> bool:
        """Returns whether a peer reports that it holds the lease on orders to engines."""
        return any(received.state.orders_engines for received in self._sources())

    @property
    def relays(self) -> list[str]:
        """Returns the addresses of the other relays."""
        now = self._clock()
        lost = {ip for ip, at in self._lost_relays.items() if now - at < FORGET_S}
        ips = self._plan.ips | self._latest.cells.keys() | (lost - self._latest.nodes.keys())
        return sorted(ips - {self._ip})

    @property
    def cell(self) -> tuple[str, ...]:
        """Returns the addresses of the nodes that use this one as their relay."""
        return tuple(self._latest.nodes)

    def add_candidate(self, ip: str, is_lasting: bool = False) -> None:
        """Adds the address of a node that may be alive."""
        if ip != self._ip:
            self._candidates.add(ip, is_lasting)

    def due_probes(self) -> tuple[str, ...]:
        """Returns the addresses of absent nodes to which a relay should send its state now."""
        return self._candidates.due_probes(self._present)

    def rank(self, duty: bytes) -> int:
        """Returns this node's rank among the ready nodes for a duty, 0 for the first."""
        if duty not in self._ranks:
            ready = [member.node for member in self._present.values() if member.is_ready]
            self._ranks[duty] = rank(duty, self._own_member.node, ready)
        return self._ranks[duty]

    def take(self, state: PeerState) -> bool:
        """Applies a received message; returns ``False`` if it is this node's own or outdated."""
        ip = state.sender.ip
        if ip == self._ip or not self._latest.is_newer(state):
            return False
        self._choice.record_message(ip)
        if state.covers is Covers.URGENT:
            if ip in self._present:
                self._update_member(state.sender)
            return True
        if state.covers is Covers.NODE:
            if ip not in self._latest.nodes:
                self._messages.node_joined()
            self._latest.record_node(state)
        elif state.covers is Covers.CELL:
            self._latest.record_cell(state)
            for peer in state.peers:
                if peer not in self._present:
                    self.add_candidate(peer)
        elif ip == self._choice.current:
            self._latest.record_fleet(state)
        if ip not in self._present:
            self._update_present()
        return True

    def reported_use(self, state: PeerState) -> PeerUse | None:
        """Returns the use by peers that an applied message reports, ``None`` if it reports none."""
        if state.covers is Covers.URGENT:
            return None
        if self.is_relay != (state.covers is not Covers.FLEET):
            return None
        if self.is_relay:
            return PeerUse(_source(state), state.loads, dict(state.admitted), state.speeds)
        fleet = self._latest.fleet
        if fleet is None or fleet.state is not state:
            return None
        counted = state.counted.get(self._own_member.node)
        own = next((sent for sent in self._sent if sent.number == counted), None)
        if own is None:
            return None
        admitted = {
            account: total - own.admitted.get(account, 0.0)
            for account, total in state.admitted.items()
        }
        return PeerUse(
            _source(state),
            subtract_loads(state.loads, own.loads),
            admitted,
            subtract_works(state.speeds, own.speeds),
        )

    def sources(self) -> set[str]:
        """Returns the sources of use that count now; reports of other sources are outdated."""
        return {_source(received.state) for received in self._sources()}

    def refresh(self) -> bool:
        """Drops peers that timed out; returns whether the fleet has changed since the last call."""
        now = self._clock()
        for ip in self._latest.drop_timed_out():
            self._lost_relays[ip] = now
        known = len(self._known_at)
        self._known_at = {ip: at for ip, at in self._known_at.items() if now - at <= FORGET_S}
        self._update_present()
        has_changed = self._has_unreported_change or len(self._known_at) != known
        self._has_unreported_change = False
        return has_changed

    def _update_present(self) -> None:
        now = self._clock()
        present = self._latest.members()
        present.pop(self._ip, None)
        for ip in present:
            self._known_at[ip] = now
            self._lost_relays.pop(ip, None)
        if present.keys() != self._present.keys():
            self._changed_at = now
        if present != self._present:
            self._present = present
            self._has_unreported_change = True
            self._membership_changed()

    def outgoing(self, own: PeerState) -> list[Outgoing]:
        """Returns the messages that are due now.

        :param own: this node's state, as it is sent to the relay that it uses.
        """
        own = replace(own, updates=None, operator=own.repeated)
        self._messages.begin_round()
        if own.sender != self._own_member:
            self._own_member = own.sender
            self._membership_changed()
        if not self.is_relay:
            return self._messages_to_relay(own)
        relays = self.relays
        ips = dict.fromkeys((*relays, *self.due_probes()))
        messages = [Outgoing(self._messages.cell(own, relays), tuple(ips))]
        if self._latest.nodes:
            messages.append(Outgoing(self._messages.fleet(own, self.present), self.cell))
        self._latest.clear_placements()
        return messages

    def urgent(self, own: PeerState) -> Outgoing:
        """Returns a message with facts that all nodes must receive immediately."""
        state = replace(
            self._messages.numbered(own),
            covers=Covers.URGENT,
            loads={},
            admitted={},
            speeds={},
            placed=(),
        )
        return Outgoing(state, (*self.relays, *self.cell))

    def forward_ips(self, state: PeerState, from_ip: str) -> tuple[str, ...]:
        """Returns the addresses to which an urgent message is forwarded.

        :param from_ip: address that sent it; only messages received from their origin are
            forwarded.
        """
        if state.covers is not Covers.URGENT or from_ip != state.sender.ip:
            return ()
        return tuple(ip for ip in self.cell if ip != from_ip)

    def _messages_to_relay(self, own: PeerState) -> list[Outgoing]:
        relays = self._plan.order_for(self._own_member.node, self._own_member.zone)
        others = (self._candidates.ips | self._known_at.keys()) - set(relays)
        relay = self._choice.pick([*relays, *order(self._own_member.node.encode(), others)])
        if relay is None:
            return []
        state = self._messages.numbered(own)
        self._sent.append(state)
        return [Outgoing(state, (relay,))]

    def _sources(self) -> list[ReceivedMessage]:
        if self.is_relay:
            return [*self._latest.nodes.values(), *self._latest.cells.values()]
        return [self._latest.fleet] if self._latest.fleet else []

    def _update_member(self, member: Member) -> None:
        if self._present.get(member.ip) != member:
            self._present[member.ip] = member
            self._has_unreported_change = True
            self._membership_changed()

    def _membership_changed(self) -> None:
        self._ranks.clear()
        self._messages.fleet_changed()
        self._plan = RelayPlan.from_members([*self._present.values(), self._own_member])


def _source(state: PeerState) -> str:
    return f"{state.covers.name}~{state.incarnation}"
