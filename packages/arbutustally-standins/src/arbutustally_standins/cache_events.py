"""Cache events of an engine as readers see them: late, and with gaps."""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from arbutustally.clock import Clock

_KEPT = 20_000
_READ_LIMIT = 1000


@dataclass(frozen=True)
class _Entry:
    seq: int
    at: float
    kind: str
    blocks: tuple[str, ...]


class CacheEvents:
    """A bounded sequence of cache events of one incarnation.

    :param seed: chooses the events that are lost.
    """

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._entries: deque[_Entry] = deque(maxlen=_KEPT)
        self._seq = 0
        self.lost = 0

    def add(self, kind: str, blocks: Sequence[bytes], loss: float) -> None:
        """Numbers an event and keeps it unless it is lost.

        :param kind: ``stored`` or ``evicted``.
        :param loss: probability that no reader sees the event; its number stays unused.
        """
        self._seq += 1
        if self._random.random() < loss:
            self.lost += 1
            return
        names = tuple(block.hex() for block in blocks)
        self._entries.append(_Entry(self._seq, self._clock(), kind, names))

    def read(self, after: int, delay_s: float) -> list[dict[str, Any]]:
        """Returns events beyond a number that are older than the delay."""
        limit = self._clock() - delay_s
        visible = [entry for entry in self._entries if entry.seq > after and entry.at <= limit]
        return [
            {"seq": entry.seq, "kind": entry.kind, "blocks": entry.blocks}
            for entry in visible[:_READ_LIMIT]
        ]

    def clear(self) -> None:
        """Drops all events and numbers from 1 again, as a new incarnation does."""
        self._entries.clear()
        self._seq = 0
