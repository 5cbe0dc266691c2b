"""Queue of prompt-part placements to announce to the peers, one group of peers at a time."""

from collections import deque
from itertools import islice

#: A placement of prompt parts: endpoint id, cache scope, ids of the parts with their numbers of
#: tokens, whether the engine is still reading them.
PlacedParts = tuple[str, str, list[tuple[str, int]], bool]

#: Maximum number of placements kept; older ones are of little use.
MAX_WAITING = 256
#: Maximum number of placements in one datagram.
MAX_ANNOUNCED = 64


class PlacementLog:
    """Keeps the latest placements and how many of them each group of peers has received."""

    def __init__(self) -> None:
        self._items: deque[PlacedParts] = deque(maxlen=MAX_WAITING)
        self._added = 0
        self._announced: dict[int, int] = {}

    def add(self, placed: PlacedParts) -> None:
        """Adds a placement."""
        self._items.append(placed)
        self._added += 1

    def take(self, group: int) -> tuple[PlacedParts, ...]:
        """Returns the latest placements not yet announced to a group of peers.

        :param group: number of the group.
        """
        count = min(self._added - self._announced.get(group, 0), len(self._items), MAX_ANNOUNCED)
        self._announced[group] = self._added
        return tuple(islice(self._items, len(self._items) - count, None))
