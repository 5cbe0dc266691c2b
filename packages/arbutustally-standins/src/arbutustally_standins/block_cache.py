"""Prefix cache of the stand-in engine: blocks in bounded memory with LRU eviction."""

from collections import OrderedDict
from collections.abc import Sequence


class BlockCache:
    """Cached blocks by chained hash, the least recently used first.

    :param capacity: number of blocks that fit in memory.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, block: bytes) -> bool:
        return block in self._blocks

    def match(self, chain: Sequence[bytes]) -> int:
        """Returns how many leading blocks of a chain are cached, without touching them."""
        for index, block in enumerate(chain):
            if block not in self._blocks:
                return index
        return len(chain)

    def touch(self, chain: Sequence[bytes]) -> None:
        """Marks cached blocks as used; the first of the chain becomes the most recent.

        A block is useless without those before it, so the end of a chain is evicted first.
        """
        for block in reversed(chain):
            if block in self._blocks:
                self._blocks.move_to_end(block)

    def store(self, chain: Sequence[bytes]) -> tuple[list[bytes], list[bytes]]:
        """Stores the leading blocks of a chain that fit.

        :returns: blocks that are new, and blocks evicted for them.
        """
        chain = chain[: self._capacity]
        stored = [block for block in chain if block not in self._blocks]
        for block in reversed(chain):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        return stored, evicted

    def clear(self) -> None:
        """Drops every block."""
        self._blocks.clear()
