"""Reading of the endpoints' list by a few nodes for the whole fleet.

Load pattern: endpoints write heartbeats many times a second, and each node that reads the list
costs the store calls and bytes. A few nodes read it and tell the others what changed. Any other
node reads the list itself if it has not heard from a reader lately, or has missed changes.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Nodes that read the list; with two, the loss of one delays nothing.
READERS = 2
#: Age of the last known reading at which a node reads the list itself, as a part of the time within
#: which leaving endpoints must be known.
STALE_PART = 0.5
#: Additional age for each rank, so that not all nodes read at once when the readers are lost.
RANK_DELAY_S = 0.02
MAX_RANK_DELAY_S = 0.3
#: Time for which changes are told again after each reading, so that lost datagrams cost nothing,
#: seconds.
TOLD_S = 2.5
#: Bound on the size of the changes in one datagram, before compression.
MAX_TOLD_BYTES = 24_000


@dataclass(frozen=True)
class Change:
    """A record of the list that says something new.

    :ivar value: ``None`` where the endpoint was removed.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class ListNews:
    """What a reader tells its peers.

    :ivar covers_from: ``changes`` has every change from this offset on.
    :ivar read_to: offset up to which the list was read.
    :ivar age_s: time since that reading.
    :ivar keep_removed_s: time for which the endpoints that these changes remove count as present,
        since their entries may have lapsed while the store was away.
    """

    covers_from: int
    read_to: int
    age_s: float
    keep_removed_s: float
    changes: tuple[Change, ...]


class SharedReading:
    """How far one node knows the list, and from whom.

    :param clock: seconds that go on while the instance is suspended.
    :param leaving_s: time within which leaving endpoints must be known, seconds.
    """

    def __init__(self, clock: Clock, leaving_s: float) -> None:
        self._clock = clock
        self._stale_s = leaving_s * STALE_PART
        self._position: int | None = None
        self._read_at: float | None = None
        self._fresh_at = float("-inf")
        self._covers_from = 0
        self._told: deque[tuple[float, Change]] = deque()
        self._has_missed = False

    @classmethod
    def from_config(cls, clock: Clock, leaving_s: float) -> "SharedReading":
        """Builds the state of a node that knows nothing of the list."""
        return cls(clock, leaving_s)

    @property
    def position(self) -> int | None:
        """Returns the offset up to which the list is known, ``None`` for not at all."""
        return self._position

    @property
    def has_missed(self) -> bool:
        """Returns whether a peer knows changes that this node lacks."""
        return self._has_missed

    def is_due(self, rank: int) -> bool:
        """Returns whether this node must read the list now.

        :param rank: place of this node in the fleet's order, 0 for the first.
        """
        if self._position is None or self._has_missed or rank < READERS:
            return True
        delay = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        return self._clock() - self._fresh_at >= self._stale_s + delay

    def read_whole(self, position: int) -> None:
        """Notes that this node has read the whole list up to an offset."""
        self._told.clear()
        self._covers_from = position
        self._advance(position)

    def take_whole(self, position: int) -> None:
        """Notes that this node has taken a peer's whole list, current up to an offset."""
        self._told.clear()
        self._covers_from = position
        self._position = position
        self._fresh_at = self._clock()

    def read(self, position: int, changes: Iterable[Change]) -> None:
        """Notes that this node has read the list up to an offset.

        :param changes: records among those that say something new.
        """
        self._tell(changes)
        self._advance(position)

    def take(self, news: ListNews) -> tuple[Change, ...]:
        """Returns the changes that a peer told and this node did not know."""
        if self._position is None:
            return ()
        if news.covers_from > self._position:
            self._has_missed = True
            return ()
        new = tuple(change for change in news.changes if change.offset >= self._position)
        self._tell(new)
        self._position = max(self._position, news.read_to)
        self._fresh_at = max(self._fresh_at, self._clock() - news.age_s)
        return new

    def news(self, keep_removed_s: float) -> ListNews | None:
        """Returns what to tell the peers, ``None`` if this node has not read the list lately."""
        now = self._clock()
        if self._position is None or self._read_at is None or now - self._read_at >= self._stale_s:
            return None
        self._drop_old(now)
        return ListNews(
            self._covers_from,
            self._position,
            now - self._read_at,
            keep_removed_s,
            tuple(change for _at, change in self._told),
        )

    def _advance(self, position: int) -> None:
        self._position = max(self._position or 0, position)
        self._has_missed = False
        self._read_at = self._fresh_at = self._clock()

    def _tell(self, changes: Iterable[Change]) -> None:
        now = self._clock()
        self._told.extend((now, change) for change in changes)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        size = sum(len(change.value or b"") for _at, change in self._told)
        while self._told:
            told_at, oldest = self._told[0]
            if now - told_at < TOLD_S and size <= MAX_TOLD_BYTES:
                return
            self._told.popleft()
            size -= len(oldest.value or b"")
            self._covers_from = oldest.offset + 1
