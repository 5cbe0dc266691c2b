"""Selection of the nodes that relay load reports, and of the relay that a node uses.

Load pattern: hundreds of nodes need each other's load several times a second. If each node sent it
to every other, messages would grow with the square of the fleet. In a large fleet, a few nodes of
each zone are therefore relays: a node sends its state to one relay, relays exchange the sums over
their nodes, and each relay sends its nodes the sums over the fleet. Nodes of a small fleet exchange
their state directly, which is the same as a relay on every node.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.rendezvous import score

#: Largest number of nodes that exchange their state directly.
DIRECT_NODES = 16
#: Nodes per relay; the smallest instances have the capacity to send to that many.
NODES_PER_RELAY = 16
#: Minimum relays per zone, so that after the loss of one another relay remains in the zone.
MIN_RELAYS = 2
#: Time without a message from a relay after which its nodes use another one, seconds. Nodes that no
#: longer report through a relay count as absent only later, so a change of relay hides no node.
RELAY_TIMEOUT_S = 0.7
#: Time for which a relay that sent no messages is not tried again, seconds.
RELAY_AVOID_S = 3.0

_RELAY_DUTY = b"relay"

#: Level of the programs that judge a release again on another order after it was rolled back.
RETRIAL_LEVEL = 2


@dataclass(frozen=True)
class Member:
    """A node as its peers know it.

    :ivar callers: address for callers.
    :ivar control: address of the control listener.
    :ivar is_ready: the node accepts requests.
    :ivar config: version of the active configuration, 0 for none.
    :ivar capacity: processor and network capacity of the instance; larger ones are preferred as
        relays.
    :ivar level: level of the node's program, told by ready nodes; 1 for those that tell none.
    """

    node: str
    ip: str
    zone: str
    callers: str
    control: str
    is_ready: bool
    config: int
    capacity: int = 0
    level: int = 1


class RelayPlan:
    """The relays of a fleet; nodes that know the same members compute the same plan.

    :param members: all present nodes.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        by_zone: dict[str, list[Member]] = defaultdict(list)
        for member in members:
            by_zone[member.zone].append(member)
        self._is_direct = sum(map(len, by_zone.values())) <= DIRECT_NODES
        self._relays = {
            zone: nodes if self._is_direct else _relays_of(nodes) for zone, nodes in by_zone.items()
        }
        self._ips = {relay.ip for relays in self._relays.values() for relay in relays}

    @classmethod
    def from_members(cls, members: Iterable[Member]) -> "RelayPlan":
        """Builds the plan for the given nodes."""
        return cls(members)

    @property
    def is_direct(self) -> bool:
        """Returns whether every node is a relay."""
        return self._is_direct

    @property
    def ips(self) -> set[str]:
        """Returns the addresses of all relays."""
        return self._ips

    def order_for(self, node: str, zone: str) -> list[str]:
        """Returns the addresses of the relays for a node in order of preference, own zone first."""
        relays = [relay for relays in self._relays.values() for relay in relays]
        key = node.encode()
        relays.sort(key=lambda relay: (relay.zone != zone, -score(key, relay.node)))
        return [relay.ip for relay in relays if relay.node != node]


def _relays_of(nodes: Sequence[Member]) -> list[Member]:
    count = max(MIN_RELAYS, math.ceil(len(nodes) / NODES_PER_RELAY))

    def preference(member: Member) -> tuple[bool, int, int]:
        return (not member.is_ready, -member.capacity, -score(_RELAY_DUTY, member.node))

    return sorted(nodes, key=preference)[:count]


class RelayChoice:
    """Selects the relay that one node uses, and another one if it sends no messages.

    :param clock: seconds; advances while the instance is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: str | None = None
        self._last_message_at = 0.0
        self._avoided: dict[str, float] = {}

    @classmethod
    def from_config(cls, clock: Clock) -> "RelayChoice":
        """Builds the state of a node that uses no relay yet."""
        return cls(clock)

    @property
    def current(self) -> str | None:
        """Returns the address of the relay in use, ``None`` for none."""
        return self._current

    def record_message(self, relay: str) -> None:
        """Records a message from a relay."""
        self._avoided.pop(relay, None)
        if relay == self._current:
            self._last_message_at = self._clock()

    def pick(self, order: Sequence[str]) -> str | None:
        """Selects and returns the relay to use now, ``None`` if there is none.

        :param order: addresses in order of preference.
        """
        now = self._clock()
        if self._current is not None and now - self._last_message_at > RELAY_TIMEOUT_S:
            self._avoided[self._current] = now + RELAY_AVOID_S
        self._avoided = {ip: until for ip, until in self._avoided.items() if until > now}
        candidates = [ip for ip in order if ip not in self._avoided] or list(order)
        best = candidates[0] if candidates else None
        if best != self._current:
            self._current = best
            self._last_message_at = now
        return best
