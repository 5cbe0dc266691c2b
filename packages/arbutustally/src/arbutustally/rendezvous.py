"""Rendezvous hashing: every node derives the same order of names without shared state."""

from collections.abc import Iterable
from hashlib import blake2b

_SEPARATOR = b"\xff"


def score(key: bytes, name: str) -> int:
    """Returns the weight of ``name`` for ``key``; the highest comes first."""
    digest = blake2b(key + _SEPARATOR + name.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def order(key: bytes, names: Iterable[str]) -> list[str]:
    """Returns the names in rendezvous order; removing one does not reorder the others."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def rank(key: bytes, name: str, others: Iterable[str]) -> int:
    """Returns the index of ``name`` among all names in rendezvous order, 0 for the first.

    Nodes that pass the same set of names compute consistent ranks, so each node has to pass itself
    under the name that the others use for it.
    """
    return order(key, {name, *others}).index(name)


def uniform_hash(key: bytes, name: str) -> float:
    """Returns a hash of the pair, uniformly distributed in [0, 1)."""
    return score(key, name) / 2.0**64
