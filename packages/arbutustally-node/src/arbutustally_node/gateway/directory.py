"""Which nodes a caller is told to use."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

#: Addresses that callers accept in one answer.
MAX_ADDRESSES = 64


@dataclass(frozen=True)
class EntryNode:
    """A node that takes callers."""

    address: str
    zone: str


def addresses_for(zone: str, nodes: Sequence[EntryNode], rng: Random) -> list[str]:
    """Returns the addresses for a caller.

    All ready nodes are named, since callers choose among them at random and leave out those that
    failed; only a fleet larger than an answer is cut, the caller's zone first.
    """
    if len(nodes) <= MAX_ADDRESSES:
        return [node.address for node in nodes]
    shuffled = rng.sample(list(nodes), len(nodes))
    shuffled.sort(key=lambda node: node.zone != zone)
    return [node.address for node in shuffled[:MAX_ADDRESSES]]
