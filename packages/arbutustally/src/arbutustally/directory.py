"""Home nodes of a shard, and the addresses that the directory returns to a caller."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from heapq import nlargest
from typing import Protocol, TypeVar

#: Number of home nodes of a shard: rank 0 claims its lease, both hold its standing share slots.
HOME_WIDTH = 2
DEFAULT_SHARDS = 8


class RankedNode(Protocol):
    """Fields of a node that the ranking uses."""

    id: str
    zone: str
    caller_address: str


RankedNodeT = TypeVar("RankedNodeT", bound=RankedNode)


def score(item: str, node_id: str) -> bytes:
    """Returns the rendezvous score of a node for an item; the highest score wins."""
    digest = blake2b(digest_size=8)
    digest.update(item.encode())
    digest.update(b"\0")
    digest.update(node_id.encode())
    return digest.digest()


def top_nodes(item: str, node_ids: Iterable[str], count: int) -> list[str]:
    """Returns the ids of the nodes with the highest scores, best first."""
    return nlargest(count, node_ids, key=lambda node_id: (score(item, node_id), node_id))


def shard_of(account: str, shards: int) -> int:
    """Returns the shard of an account, from 0 to ``shards - 1``."""
    digest = blake2b(account.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def ranking(shard: int, nodes: Sequence[RankedNodeT]) -> list[RankedNodeT]:
    """Returns the nodes in their order of preference as home nodes of a shard.

    Rank 1 is the best node of another zone if there is one, so that one of the two home nodes
    survives the failure of a zone.
    """
    item = f"shard/{shard}"
    ordered = sorted(nodes, key=lambda node: (score(item, node.id), node.id), reverse=True)
    for position, node in enumerate(ordered[1:], start=1):
        if node.zone != ordered[0].zone:
            ordered.insert(1, ordered.pop(position))
            break
    return ordered


def addresses(
    account: str,
    zone: str,
    nodes: Sequence[RankedNode],
    width: int = HOME_WIDTH,
    shards: int = DEFAULT_SHARDS,
) -> tuple[str, ...]:
    """Returns the addresses for a caller, the home nodes first.

    :param zone: zone of the caller; after the home nodes, nodes of this zone come first.
    :param nodes: live nodes that are not draining.
    :param width: number of addresses, at least the home nodes; larger for hot accounts.
    """
    ranked = ranking(shard_of(account, shards), nodes)
    home, others = ranked[:HOME_WIDTH], ranked[HOME_WIDTH:]
    near = [node for node in others if node.zone == zone]
    far = [node for node in others if node.zone != zone]
    chosen = [*home, *near, *far][: max(width, HOME_WIDTH)]
    return tuple(node.caller_address for node in chosen if node.caller_address)
