"""Selection of the peers to which a node keeps links.

Up to ``FULL_MESH_NODES`` nodes form a full mesh. Larger fleets form groups of about the square
root of their number: a full mesh within the group and one link to each other group.
"""

from collections.abc import Collection
from dataclasses import dataclass
from math import sqrt

from arbutustally.directory import score

FULL_MESH_NODES = 16


@dataclass(frozen=True)
class Plan:
    """Links that one node maintains.

    :ivar near: other nodes of its group.
    :ivar far: members of each other group, in the order in which they are tried.
    """

    near: tuple[str, ...]
    far: tuple[tuple[str, ...], ...] = ()


def group_of(node_id: str, groups: int) -> int:
    """Returns a node's group; it does not depend on other nodes, so a joining node moves none."""
    return int.from_bytes(score("group", node_id), "big") % groups


def plan(own_id: str, node_ids: Collection[str], mesh_up_to: int = FULL_MESH_NODES) -> Plan:
    """Returns the links of a node.

    :param node_ids: all known nodes, with or without the own id.
    :param mesh_up_to: largest fleet with a full mesh.
    """
    known = sorted({own_id, *node_ids})
    groups = 1 if len(known) <= mesh_up_to else round(sqrt(len(known)))
    members: list[list[str]] = [[] for _ in range(groups)]
    for node_id in known:
        members[group_of(node_id, groups)].append(node_id)
    own_group = group_of(own_id, groups)
    near = tuple(node_id for node_id in members[own_group] if node_id != own_id)
    position = members[own_group].index(own_id)
    far = tuple(
        _rotated(others, position)
        for group, others in enumerate(members)
        if group != own_group and others
    )
    return Plan(near, far)


def _rotated(others: list[str], position: int) -> tuple[str, ...]:
    # Both ends pair positions whose sum is a multiple of the group size, so that in groups of
    # equal size both ends choose each other and share one link.
    first = -position % len(others)
    return tuple(others[first:] + others[:first])


def opens_link(own_id: str, other_id: str) -> bool:
    """Returns whether this node opens the link to the other; the node with the smaller id does."""
    return own_id < other_id
