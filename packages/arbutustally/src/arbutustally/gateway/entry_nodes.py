"""Selection of the nodes that callers use, and of the addresses named to one caller.

Load pattern: a fleet has many more instances than its callers need, most of them small. If callers
spread over all of them, each node sends an endpoint few requests: connections expire unused, and
each node observes only a small part of the load itself. Callers are therefore named the
strongest nodes of each availability zone only. Where all instances are alike, all are named.
"""

from collections import defaultdict
from collections.abc import Sequence
from itertools import zip_longest
from random import Random

from arbutustally.gateway.relaying import Member

#: Maximum number of addresses that callers accept in one response.
MAX_ADDRESSES = 64
#: Fewest nodes that are named where instances differ in capacity. With fewer, the loss of some of
#: them would move too many callers at once.
MIN_NAMED = 16
#: Capacity of the named nodes as a share of the capacity of all nodes.
NAMED_CAPACITY_SHARE = 0.5


def entry_nodes(nodes: Sequence[Member]) -> list[Member]:
    """Returns the nodes that callers should use.

    :param nodes: nodes that are ready.
    """
    ordered = _strongest_by_zone(nodes)
    if len({node.capacity for node in ordered}) < 2:
        return ordered
    enough = sum(node.capacity for node in ordered) * NAMED_CAPACITY_SHARE
    named: list[Member] = []
    capacity = 0
    for node in ordered:
        if len(named) >= MIN_NAMED and capacity >= enough:
            break
        named.append(node)
        capacity += node.capacity
    return named


def addresses_for(zone: str, nodes: Sequence[Member], rng: Random) -> list[str]:
    """Returns the addresses for a caller.

    All entry nodes are included, since callers choose among them at random and skip those that
    failed. Only if they exceed a response's limit is the list cut; nodes in the caller's zone go
    first.

    :param zone: availability zone of the caller.
    :param nodes: nodes that are ready.
    """
    named = entry_nodes(nodes)
    if len(named) > MAX_ADDRESSES:
        named = rng.sample(named, len(named))
        named.sort(key=lambda node: node.zone != zone)
    return [node.callers for node in named[:MAX_ADDRESSES]]


def _strongest_by_zone(nodes: Sequence[Member]) -> list[Member]:
    """Returns the strongest node of each zone, then the second one of each zone, and so on."""
    by_zone: dict[str, list[Member]] = defaultdict(list)
    for node in sorted(nodes, key=lambda node: (-node.capacity, node.callers)):
        by_zone[node.zone].append(node)
    rounds = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
    return [node for group in rounds for node in group if node is not None]
