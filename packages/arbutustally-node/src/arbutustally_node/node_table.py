"""View of the other nodes, from the instance list and from their own announcements."""

from collections.abc import Iterable
from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.instance_client import Instance

#: A node that is not listed is removed this long after its last announcement, seconds.
UNLISTED_RETENTION_S = 30.0


@dataclass(frozen=True)
class Node:
    """A node of the fleet.

    :ivar incarnation: empty until the node has announced itself.
    :ivar caller_address: empty until the node has announced itself.
    :ivar draining: no longer named to callers.
    """

    id: str
    incarnation: str
    zone: str
    caller_address: str
    peer_address: str
    draining: bool


class NodeTable:
    """Merges the instance list with announcements; a draining incarnation stays draining.

    :param clock: clock of this node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._listed: dict[str, Instance] = {}
        self._announced: dict[str, tuple[Node, float]] = {}
        self._drained: set[tuple[str, str]] = set()

    def update_list(self, instances: Iterable[Instance]) -> None:
        """Replaces the list by the ``entry`` instances of a new one."""
        self._listed = {instance.id: instance for instance in instances}
        for node_id, (_, instant) in list(self._announced.items()):
            if node_id not in self._listed and self._clock() - instant > UNLISTED_RETENTION_S:
                del self._announced[node_id]
        known = set(self._listed) | set(self._announced)
        self._drained = {pair for pair in self._drained if pair[0] in known}

    def announced(self, node: Node) -> None:
        """Records a node's announcement of itself."""
        if node.draining:
            self._drained.add((node.id, node.incarnation))
        self._announced[node.id] = (node, self._clock())

    def nodes(self) -> list[Node]:
        """Returns all known nodes, sorted by id."""
        known = sorted(set(self._listed) | set(self._announced))
        return [self._node(node_id) for node_id in known]

    def _node(self, node_id: str) -> Node:
        listed = self._listed.get(node_id)
        announced = self._announced.get(node_id)
        if announced is None:
            return Node(node_id, "", listed.zone, "", listed.address, listed.state == "leaving")
        node = announced[0]
        leaving = listed is not None and listed.state == "leaving"
        draining = node.draining or leaving or (node_id, node.incarnation) in self._drained
        # The list has the new address of a restarted node before any link to it exists.
        address = listed.address if listed is not None else node.peer_address
        return Node(node.id, node.incarnation, node.zone, node.caller_address, address, draining)
