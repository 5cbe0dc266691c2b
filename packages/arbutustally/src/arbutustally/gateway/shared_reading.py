"""Reading of the endpoints' list by a few nodes for the whole fleet.

Load pattern: endpoints write heartbeats many times a second, and each node that reads the list
costs the store calls and bytes. A few nodes read it and tell the others what changed. Any other
node reads the list itself if it has not heard from a reader lately, or has missed changes.

The store may come back from an older copy; it then begins a new era, in which it gives offsets out
again. Offsets are compared within one era only. What a peer says of a newer era is a reason to ask
the store, and nothing else.
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
#: Time for which a peer's word of a newer era counts; readers repeat it with each reading, seconds.
CLAIM_S = 3.0
#: Time for which the store is not asked again after its answer did not bear out such a word,
#: seconds.
CLAIM_PAUSE_S = 5.0


@dataclass(frozen=True, order=True)
class Position:
    """How far a topic of the store is known.

    :ivar era: of the store; it rises each time that the store returns from an older copy.
    """

    era: int
    offset: int


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

    :ivar era: of the store, for all offsets here.
    :ivar covers_from: ``changes`` has every change from this offset on.
    :ivar read_to: offset up to which the list was read.
    :ivar age_s: time since that reading.
    :ivar keep_removed_s: time for which the endpoints that these changes remove count as present,
        since their entries may have lapsed while the store was away.
    """

    era: int
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
        self._position: Position | None = None
        self._read_at: float | None = None
        self._fresh_at = float("-inf")
        self._covers_from = 0
        self._told: deque[tuple[float, Change]] = deque()
        self._lacks_changes = False
        # When peers first and last told of a newer era, and when the store last denied it.
        self._claimed_since = float("-inf")
        self._claimed_at = float("-inf")
        self._denied_at = float("-inf")

    @classmethod
    def from_config(cls, clock: Clock, leaving_s: float) -> "SharedReading":
        """Builds the state of a node that knows nothing of the list."""
        return cls(clock, leaving_s)

    @property
    def position(self) -> Position | None:
        """Returns up to where the list is known, ``None`` for not at all."""
        return self._position

    @property
    def has_missed(self) -> bool:
        """Returns whether a peer knows changes, or told of an era, that this node lacks."""
        return self._lacks_changes or self._has_claim

    def is_due(self, rank: int) -> bool:
        """Returns whether this node must read the list now.

        :param rank: place of this node in the fleet's order, 0 for the first.
        """
        if self._position is None or self._lacks_changes or rank < READERS:
            return True
        now = self._clock()
        delay = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        if self._has_claim and now - self._claimed_since >= delay:
            return True
        return now - self._fresh_at >= self._stale_s + delay

    def read_whole(self, position: Position) -> None:
        """Notes that this node has read the whole list as it is at a position."""
        self._begin_at(position)
        self._asked()

    def take_whole(self, position: Position) -> None:
        """Notes that this node has taken a peer's whole list as it is at a position."""
        self._begin_at(position)
        self._fresh_at = self._clock()

    def read(self, offset: int, changes: Iterable[Change]) -> None:
        """Notes that this node has read the list up to an offset of the era that it knows.

        :param changes: records among those that say something new.
        """
        self._tell(changes)
        self._reach(offset)
        self._asked()

    def take(self, news: ListNews) -> tuple[Change, ...]:
        """Returns the changes that a peer told and this node did not know."""
        known = self._position
        if known is None or news.era < known.era:
            return ()
        if news.era > known.era:
            self._claim()
            return ()
        if news.covers_from > known.offset:
            self._lacks_changes = True
            return ()
        new = tuple(change for change in news.changes if change.offset >= known.offset)
        self._tell(new)
        self._reach(news.read_to)
        self._fresh_at = max(self._fresh_at, self._clock() - news.age_s)
        return new

    def news(self, keep_removed_s: float) -> ListNews | None:
        """Returns what to tell the peers, ``None`` if this node has not read the list lately."""
        now = self._clock()
        if self._position is None or self._read_at is None or now - self._read_at >= self._stale_s:
            return None
        self._drop_old(now)
        return ListNews(
            self._position.era,
            self._covers_from,
            self._position.offset,
            now - self._read_at,
            keep_removed_s,
            tuple(change for _at, change in self._told),
        )

    @property
    def _has_claim(self) -> bool:
        """Returns whether the store is to be asked whether a newer era has begun."""
        now = self._clock()
        return now - self._claimed_at < CLAIM_S and now - self._denied_at >= CLAIM_PAUSE_S

    def _claim(self) -> None:
        now = self._clock()
        if now - self._claimed_at >= CLAIM_S:
            self._claimed_since = now
        self._claimed_at = now

    def _begin_at(self, position: Position) -> None:
        if self._position is None or position.era != self._position.era:
            # What peers told of other eras than this one says nothing of it.
            self._claimed_at = float("-inf")
        self._told.clear()
        self._covers_from = position.offset
        self._position = position
        self._lacks_changes = False

    def _reach(self, offset: int) -> None:
        self._position = Position(self._position.era, max(self._position.offset, offset))

    def _asked(self) -> None:
        """Notes an answer of the store in the era that this node knows."""
        now = self._clock()
        if now - self._claimed_at < CLAIM_S:
            self._denied_at = now
        self._claimed_at = float("-inf")
        self._lacks_changes = False
        self._read_at = self._fresh_at = now

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
