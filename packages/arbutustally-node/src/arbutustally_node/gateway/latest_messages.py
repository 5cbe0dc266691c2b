"""The latest messages received from a node's peers, and the sums over them."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from arbutustally.clock import Clock
from arbutustally.gateway.fleet_sums import RunningTotals
from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.peer_state import Covers, PeerState

#: Time without messages after which a peer counts as absent, seconds.
PEER_TIMEOUT_S = 1.2
#: Time without messages after which a relay drops a node that another relay lists, seconds.
MOVED_NODE_TIMEOUT_S = 0.4
#: Largest number of placements in a message; the oldest are dropped, as they matter least.
MAX_PLACEMENTS = 256


@dataclass(frozen=True)
class ReceivedMessage:
    """The latest message of a peer.

    :ivar at: time of receipt, seconds of the clock.
    :ivar members: nodes in the last list that the peer sent.
    """

    state: PeerState
    at: float
    members: tuple[Member, ...] = ()


class LatestMessages:
    """Latest messages at a node: a relay has its nodes' and other relays', others their relay's."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By address.
        self._nodes: dict[str, ReceivedMessage] = {}
        self._cells: dict[str, ReceivedMessage] = {}
        self._fleet: ReceivedMessage | None = None
        self._numbers: dict[tuple[str, Covers], int] = {}
        self._cell_totals = RunningTotals()
        self._other_totals = RunningTotals()
        self._cell_placements: deque[Any] = deque(maxlen=MAX_PLACEMENTS)
        self._other_placements: deque[Any] = deque(maxlen=MAX_PLACEMENTS)

    @property
    def nodes(self) -> Mapping[str, ReceivedMessage]:
        """Returns the latest messages of the nodes that use this one as their relay, by address."""
        return self._nodes

    @property
    def cells(self) -> Mapping[str, ReceivedMessage]:
        """Returns the latest messages of the other relays, by address."""
        return self._cells

    @property
    def fleet(self) -> ReceivedMessage | None:
        """Returns the latest message of this node's relay, ``None`` if it uses none."""
        return self._fleet

    @property
    def cell_admitted(self) -> Mapping[str, float]:
        """Returns the tokens admitted at the nodes that use this one as their relay, by account."""
        return self._cell_totals.totals

    @property
    def other_admitted(self) -> Mapping[str, float]:
        """Returns the admitted tokens that the other relays report, by account."""
        return self._other_totals.totals

    @property
    def cell_placements(self) -> tuple[Any, ...]:
        """Returns the placements of the nodes that use this one that are not yet forwarded."""
        return tuple(self._cell_placements)

    @property
    def other_placements(self) -> tuple[Any, ...]:
        """Returns the placements from the other relays that are not yet forwarded."""
        return tuple(self._other_placements)

    def clear_placements(self) -> None:
        """Discards the placements once they have been forwarded."""
        self._cell_placements.clear()
        self._other_placements.clear()

    def is_newer(self, state: PeerState) -> bool:
        """Returns whether a message is newer than all earlier ones of its kind and source."""
        key = (state.incarnation, state.covers)
        if state.number <= self._numbers.get(key, -1):
            return False
        self._numbers[key] = state.number
        return True

    def record_node(self, state: PeerState) -> None:
        """Applies a message of a node that uses this one as its relay."""
        ip = state.sender.ip
        self._drop_cell(ip)
        self._nodes[ip] = ReceivedMessage(state, self._clock())
        self._cell_totals.take(state.incarnation, state.admitted)
        self._cell_placements.extend(state.placed)

    def record_cell(self, state: PeerState) -> None:
        """Applies a message of another relay."""
        ip, now = state.sender.ip, self._clock()
        self._drop_node(ip)
        members = _members(state, self._cells.get(ip))
        self._cells[ip] = ReceivedMessage(state, now, members)
        self._other_totals.take(state.incarnation, state.admitted)
        self._other_placements.extend(state.placed)
        for member in members:
            mine = self._nodes.get(member.ip)
            if mine is not None and now - mine.at > MOVED_NODE_TIMEOUT_S:
                self._drop_node(member.ip)

    def record_fleet(self, state: PeerState) -> None:
        """Applies a message of this node's relay."""
        self._fleet = ReceivedMessage(state, self._clock(), _members(state, self._fleet))

    def drop_timed_out(self) -> list[str]:
        """Drops peers that timed out; returns the addresses of the relays among them."""
        now = self._clock()
        relays = [ip for ip, received in self._cells.items() if now - received.at > PEER_TIMEOUT_S]
        for ip in relays:
            self._drop_cell(ip)
        for ip in [
            ip for ip, received in self._nodes.items() if now - received.at > PEER_TIMEOUT_S
        ]:
            self._drop_node(ip)
        if self._fleet is not None and now - self._fleet.at > PEER_TIMEOUT_S:
            self._fleet = None
        return relays

    def members(self) -> dict[str, Member]:
        """Returns all nodes that sent a message or are listed in one, by address."""
        members: dict[str, Member] = {}
        # A node that becomes a relay keeps the fleet of its former relay until that times out: the
        # first messages of the other relays arrive a little later.
        if self._fleet is not None:
            members = {member.ip: member for member in self._fleet.members}
            members[self._fleet.state.sender.ip] = self._fleet.state.sender
        for received in self._cells.values():
            members |= {member.ip: member for member in received.members}
        for received in (*self._cells.values(), *self._nodes.values()):
            members[received.state.sender.ip] = received.state.sender
        return members

    def _drop_node(self, ip: str) -> None:
        # Tokens that the node admits from now on are counted by the relay that it uses next.
        dropped = self._nodes.pop(ip, None)
        if dropped is not None:
            self._cell_totals.forget(dropped.state.incarnation)

    def _drop_cell(self, ip: str) -> None:
        dropped = self._cells.pop(ip, None)
        if dropped is not None:
            self._other_totals.forget(dropped.state.incarnation)


def _members(state: PeerState, before: ReceivedMessage | None) -> tuple[Member, ...]:
    """Returns the nodes that a peer lists; a message without a list keeps the previous one."""
    if state.members is not None:
        return state.members
    return before.members if before else ()
