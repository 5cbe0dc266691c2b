"""Builds the numbered messages of a node, with sums over received messages if it is a relay."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from arbutustally.gateway.engine_speeds import add_works
from arbutustally.gateway.fleet_sums import add_loads
from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.latest_messages import MAX_PLACEMENTS, LatestMessages
from arbutustally_node.gateway.peer_state import Covers, PeerState

#: One of this many messages lists members and relays even if they are unchanged. A node that
#: becomes a relay knows the fleet until its former relay counts as absent; by then the other relays
#: have sent the lists of their nodes.
MEMBERS_EVERY = {Covers.CELL: 5, Covers.FLEET: 10}


class RelayMessages:
    """Builds the messages of one node."""

    def __init__(self, latest: LatestMessages) -> None:
        self._latest = latest
        self._number = 0
        self._rounds = 0
        self._sent_members: dict[Covers, tuple[Member, ...]] = {}
        # Whether the next message to the other relays must list the relays of a changed fleet.
        self._has_changed = False

    def begin_round(self) -> None:
        """Starts a round: the messages that are sent at one interval."""
        self._rounds += 1

    def fleet_changed(self) -> None:
        """Makes the next messages list members and relays."""
        self._has_changed = True
        self._sent_members.clear()

    def node_joined(self) -> None:
        """Makes the next messages list members, for a node that has joined and knows none."""
        self._sent_members.clear()

    def numbered(self, own: PeerState) -> PeerState:
        """Returns a state of this node with the next number."""
        self._number += 1
        return replace(own, number=self._number)

    def cell(self, own: PeerState, relays: Sequence[str]) -> PeerState:
        """Returns the message to the other relays, which covers this node and those that use it.

        :param relays: addresses of the other relays.
        """
        latest = self._latest
        nodes = latest.nodes.values()
        members = tuple(one.state.sender for one in nodes)
        return replace(
            self.numbered(own),
            covers=Covers.CELL,
            peers=self._relays_to_send(relays),
            placed=(*own.placed, *latest.cell_placements),
            members=self._members_to_send(Covers.CELL, members),
            **_sums([own, *(one.state for one in nodes)], own, latest.cell_admitted),
        )

    def fleet(self, own: PeerState, present: Sequence[Member]) -> PeerState:
        """Returns the message to the nodes that use this one, which covers the whole fleet.

        :param present: peers from which this node or a relay receives messages.
        """
        latest = self._latest
        states = [one.state for one in (*latest.nodes.values(), *latest.cells.values())]
        return replace(
            self.numbered(own),
            covers=Covers.FLEET,
            placed=(*own.placed, *latest.cell_placements, *latest.other_placements)[
                -MAX_PLACEMENTS:
            ],
            members=self._members_to_send(Covers.FLEET, tuple(present)),
            counted={one.state.sender.node: one.state.number for one in latest.nodes.values()},
            **_sums([own, *states], own, latest.cell_admitted, latest.other_admitted),
        )

    def _members_to_send(
        self, covers: Covers, members: tuple[Member, ...]
    ) -> tuple[Member, ...] | None:
        is_due = self._rounds % MEMBERS_EVERY[covers] == 0
        if not is_due and self._sent_members.get(covers) == members:
            return None
        self._sent_members[covers] = members
        return members

    def _relays_to_send(self, relays: Sequence[str]) -> tuple[str, ...]:
        if self._rounds % MEMBERS_EVERY[Covers.CELL] and not self._has_changed:
            return ()
        self._has_changed = False
        return tuple(relays)


def _sums(
    states: Sequence[PeerState], own: PeerState, *totals: Mapping[str, float]
) -> dict[str, Any]:
    """Returns the fields of a message that combine the states of several nodes."""
    admitted = dict(own.admitted)
    for by_account in totals:
        for account, total in by_account.items():
            admitted[account] = admitted.get(account, 0.0) + total
    return {
        "loads": add_loads(state.loads for state in states),
        "speeds": add_works(state.speeds for state in states),
        "admitted": admitted,
        "orders_engines": any(state.orders_engines for state in states),
        "loading": tuple({engine for state in states for engine in state.loading}),
        "leaving": {
            endpoint: incarnation
            for state in states
            for endpoint, incarnation in state.leaving.items()
        },
    }
