"""Which nodes relay what the others know, and which relay a node uses.

Load pattern: hundreds of nodes need each other's load several times a second. Told by each to each,
messages grow with the square of the fleet. So in a large fleet a few nodes of each zone relay: a
node tells one relay its state, relays tell each other the sums over their nodes, and each relay
tells its nodes the sums over the fleet. Nodes of a small fleet tell each other directly, which is
the same with a relay on every node.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.rendezvous import score

#: Largest fleet whose nodes tell each other directly.
DIRECT_NODES = 16
#: Nodes that one relay serves; the smallest instances can send to that many.
NODES_PER_RELAY = 16
#: Relays of a zone, so that the loss of one leaves the zone's nodes another nearby.
MIN_RELAYS = 2
#: Silence of a relay after which its nodes use another one, seconds. Nodes that a relay has lost
#: count as absent only later, so a change of relay hides nobody.
SILENT_S = 0.7
#: Time for which a relay that was silent is not tried again, seconds.
AVOID_S = 3.0

_RELAY_DUTY = b"relay"


@dataclass(frozen=True)
class Member:
    """A node as its peers know it.

    :ivar callers: address for callers.
    :ivar control: address of the control listener.
    :ivar is_ready: the node takes requests.
    :ivar config: version of the configuration in force, 0 for none.
    :ivar capacity: processor and link of the instance; larger ones relay first.
    """

    node: str
    ip: str
    zone: str
    callers: str
    control: str
    is_ready: bool
    config: int
    capacity: int = 0


class RelayPlan:
    """The relays of a fleet; nodes that know the same members make the same plan.

    :param members: all nodes that are present.
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
        """Plans the relays of the given nodes."""
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
        """Returns the addresses of the relays for a node, first choice first, own zone first."""
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
    """The relay that one node uses; another one as soon as it is silent.

    :param clock: seconds that go on while the instance is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: str | None = None
        self._heard_at = 0.0
        self._avoided: dict[str, float] = {}

    @classmethod
    def from_config(cls, clock: Clock) -> "RelayChoice":
        """Builds the choice of a node that uses no relay yet."""
        return cls(clock)

    @property
    def current(self) -> str | None:
        """Returns the address of the relay in use, ``None`` for none."""
        return self._current

    def heard(self, relay: str) -> None:
        """Notes a message of a relay."""
        self._avoided.pop(relay, None)
        if relay == self._current:
            self._heard_at = self._clock()

    def pick(self, order: Sequence[str]) -> str | None:
        """Returns the relay to use now, ``None`` if there is none.

        :param order: addresses, first choice first.
        """
        now = self._clock()
        if self._current is not None and now - self._heard_at > SILENT_S:
            self._avoided[self._current] = now + AVOID_S
        self._avoided = {ip: until for ip, until in self._avoided.items() if until > now}
        able = [ip for ip in order if ip not in self._avoided] or list(order)
        best = able[0] if able else None
        if best != self._current:
            self._current = best
            self._heard_at = now
        return best
