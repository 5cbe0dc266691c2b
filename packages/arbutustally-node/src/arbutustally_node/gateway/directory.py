"""Selection of the node addresses for a caller."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

#: Maximum number of addresses that callers accept in one response.
MAX_ADDRESSES = 64


@dataclass(frozen=True)
class EntryNode:
    """A node that accepts callers.

    :ivar zone: availability zone.
    """

    address: str
    zone: str


def addresses_for(zone: str, nodes: Sequence[EntryNode], rng: Random) -> list[str]:
    """Returns the addresses for a caller.

    All ready nodes are included, since callers choose among them at random and skip those that
    failed. Only if they exceed a response's limit is the list cut; nodes in the caller's zone go
    first.

    :param zone: availability zone of the caller.
    :param nodes: nodes that are ready.
    """
    if len(nodes) <= MAX_ADDRESSES:
        return [node.address for node in nodes]
    shuffled = rng.sample(list(nodes), len(nodes))
    shuffled.sort(key=lambda node: node.zone != zone)
    return [node.address for node in shuffled[:MAX_ADDRESSES]]
