"""Placements of prompt parts that the peers are told, each group of peers in its turn."""

from collections import deque
from itertools import islice

#: A placement of prompt parts: endpoint, cache scope, parts with their tokens, still being read.
PlacedParts = tuple[str, str, list[tuple[str, int]], bool]

#: Placements that wait to be told; older ones are of little use.
MAX_WAITING = 256
#: Placements in one datagram.
MAX_TOLD = 64


class PlacedLog:
    """The latest placements, and how far each group has been told."""

    def __init__(self) -> None:
        self._items: deque[PlacedParts] = deque(maxlen=MAX_WAITING)
        self._added = 0
        self._told: dict[int, int] = {}

    def add(self, placed: PlacedParts) -> None:
        """Adds a placement."""
        self._items.append(placed)
        self._added += 1

    def take(self, group: int) -> tuple[PlacedParts, ...]:
        """Returns the latest placements that a group of peers has not been told yet."""
        untold = min(self._added - self._told.get(group, 0), len(self._items), MAX_TOLD)
        self._told[group] = self._added
        return tuple(islice(self._items, len(self._items) - untold, None))
