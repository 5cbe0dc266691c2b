"""The newest messages of a node's peers, and what they add up to."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from arbutustally.clock import Clock
from arbutustally.gateway.fleet_sums import RunningTotals
from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.peer_state import Covers, PeerState

#: Silence after which a peer counts as absent, seconds.
ABSENT_S = 1.2
#: A node that another relay names is dropped by the one before after this silence, seconds.
MOVED_S = 0.4
#: Placements in one message; older ones are of less use.
MAX_PLACED = 256


@dataclass(frozen=True)
class Heard:
    """The newest message of a peer.

    :ivar at: when it came, in seconds of the clock.
    :ivar members: nodes that the peer named last.
    """

    state: PeerState
    at: float
    members: tuple[Member, ...] = ()


class HeardPeers:
    """What one node has heard: as a relay from its nodes and other relays, else from its relay."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By address.
        self._nodes: dict[str, Heard] = {}
        self._cells: dict[str, Heard] = {}
        self._fleet: Heard | None = None
        self._numbers: dict[tuple[str, Covers], int] = {}
        self._cell_totals = RunningTotals()
        self._other_totals = RunningTotals()
        self._cell_placed: deque[Any] = deque(maxlen=MAX_PLACED)
        self._other_placed: deque[Any] = deque(maxlen=MAX_PLACED)

    @property
    def nodes(self) -> Mapping[str, Heard]:
        """Returns what the nodes that use this one as their relay said last, by address."""
        return self._nodes

    @property
    def cells(self) -> Mapping[str, Heard]:
        """Returns what the other relays said last, by address."""
        return self._cells

    @property
    def fleet(self) -> Heard | None:
        """Returns what the relay of this node said last, ``None`` if it uses none."""
        return self._fleet

    @property
    def cell_admitted(self) -> Mapping[str, float]:
        """Returns what was admitted at the nodes that use this one, by account."""
        return self._cell_totals.totals

    @property
    def other_admitted(self) -> Mapping[str, float]:
        """Returns what was admitted through the other relays, by account."""
        return self._other_totals.totals

    @property
    def cell_placed(self) -> tuple[Any, ...]:
        """Returns the placements of the nodes that use this one since they were told on."""
        return tuple(self._cell_placed)

    @property
    def other_placed(self) -> tuple[Any, ...]:
        """Returns the placements that the other relays told of since they were told on."""
        return tuple(self._other_placed)

    def forget_placed(self) -> None:
        """Forgets the placements: they have been told on."""
        self._cell_placed.clear()
        self._other_placed.clear()

    def is_newer(self, state: PeerState) -> bool:
        """Returns whether a message is newer than all before it of its kind and source."""
        key = (state.incarnation, state.covers)
        if state.number <= self._numbers.get(key, -1):
            return False
        self._numbers[key] = state.number
        return True

    def take_node(self, state: PeerState) -> None:
        """Takes a message of a node that uses this one as its relay."""
        ip = state.sender.ip
        self._drop_cell(ip)
        self._nodes[ip] = Heard(state, self._clock())
        self._cell_totals.take(state.incarnation, state.admitted)
        self._cell_placed.extend(state.placed)

    def take_cell(self, state: PeerState) -> None:
        """Takes a message of another relay."""
        ip, now = state.sender.ip, self._clock()
        self._drop_node(ip)
        members = _members(state, self._cells.get(ip))
        self._cells[ip] = Heard(state, now, members)
        self._other_totals.take(state.incarnation, state.admitted)
        self._other_placed.extend(state.placed)
        for member in members:
            mine = self._nodes.get(member.ip)
            if mine is not None and now - mine.at > MOVED_S:
                self._drop_node(member.ip)

    def take_fleet(self, state: PeerState) -> None:
        """Takes a message of the relay of this node."""
        self._fleet = Heard(state, self._clock(), _members(state, self._fleet))

    def drop_silent(self) -> list[str]:
        """Drops silent peers; returns the addresses of the relays among them."""
        now = self._clock()
        relays = [ip for ip, heard in self._cells.items() if now - heard.at > ABSENT_S]
        for ip in relays:
            self._drop_cell(ip)
        for ip in [ip for ip, heard in self._nodes.items() if now - heard.at > ABSENT_S]:
            self._drop_node(ip)
        if self._fleet is not None and now - self._fleet.at > ABSENT_S:
            self._fleet = None
        return relays

    def members(self) -> dict[str, Member]:
        """Returns all nodes that were heard or named, by address."""
        members: dict[str, Member] = {}
        # A node that begins to relay hears the other relays a little later.
        if self._fleet is not None:
            members = {member.ip: member for member in self._fleet.members}
            members[self._fleet.state.sender.ip] = self._fleet.state.sender
        for heard in self._cells.values():
            members |= {member.ip: member for member in heard.members}
        for heard in (*self._cells.values(), *self._nodes.values()):
            members[heard.state.sender.ip] = heard.state.sender
        return members

    def _drop_node(self, ip: str) -> None:
        # What it is admitted from now on is counted by the relay that it uses then.
        dropped = self._nodes.pop(ip, None)
        if dropped is not None:
            self._cell_totals.forget(dropped.state.incarnation)

    def _drop_cell(self, ip: str) -> None:
        dropped = self._cells.pop(ip, None)
        if dropped is not None:
            self._other_totals.forget(dropped.state.incarnation)


def _members(state: PeerState, before: Heard | None) -> tuple[Member, ...]:
    """Returns the nodes that a peer names; a message without them leaves those named before."""
    if state.members is not None:
        return state.members
    return before.members if before else ()
