"""Reading of the endpoints' list by a few nodes for the whole fleet.

Load pattern: endpoints write heartbeats many times a second, and each node that reads the list
costs the store calls and bandwidth. A few nodes read it and send the changes to the others. Any
other node reads the list itself if it has not received updates from a reader lately, or has missed
changes.

The store may be restored from an older copy; it then begins a new era, in which it assigns offsets
again. Offsets are compared within one era only. Updates of a newer era from a peer only cause a
query to the store.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Number of nodes that read the list; with two, the loss of one causes no delay.
READERS = 2
#: Age of the last known reading at which a node reads the list itself, as a share of the time
#: within which leaving endpoints must be known.
STALE_SHARE = 0.5
#: Additional age per rank, seconds, so that not all nodes read at once when the readers are lost.
RANK_DELAY_S = 0.02
MAX_RANK_DELAY_S = 0.3
#: Time for which each change is sent again after every reading, so that lost datagrams cause no
#: gaps, seconds.
RESEND_S = 2.5
#: Limit of the size of the changes in one datagram before compression, bytes.
MAX_CHANGES_BYTES = 24_000
#: Validity of a peer's claim of a newer era, seconds; readers repeat it with each reading.
CLAIM_S = 3.0
#: Time for which the store is not queried again after its answer did not confirm a claim, seconds.
CLAIM_PAUSE_S = 5.0


@dataclass(frozen=True, order=True)
class Position:
    """Position up to which a topic of the store is known.

    :ivar era: era of the store; increases each time that the store is restored from an older copy.
    :ivar offset: offset within the era.
    """

    era: int
    offset: int


@dataclass(frozen=True)
class Change:
    """A record of the list that changes an entry.

    :ivar value: ``None`` if the endpoint was removed.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class ListUpdate:
    """Message of a reader to its peers.

    :ivar era: era of the store to which all offsets of the message belong.
    :ivar covers_from: ``changes`` contains every change from this offset on.
    :ivar read_to: offset up to which the list was read.
    :ivar age_s: time since that reading, seconds.
    :ivar keep_removed_s: time for which the endpoints that these changes remove count as present,
        since their entries may have expired while the store was unavailable, seconds.
    """

    era: int
    covers_from: int
    read_to: int
    age_s: float
    keep_removed_s: float
    changes: tuple[Change, ...]


class SharedReading:
    """Position up to which one node knows the list, and the changes that it sends to its peers.

    :param clock: seconds; advances while the instance is suspended.
    :param leaving_s: time within which leaving endpoints must be known, seconds.
    """

    def __init__(self, clock: Clock, leaving_s: float) -> None:
        self._clock = clock
        self._stale_s = leaving_s * STALE_SHARE
        self._position: Position | None = None
        self._read_at: float | None = None
        self._fresh_at = float("-inf")
        self._covers_from = 0
        self._recent_changes: deque[tuple[float, Change]] = deque()
        self._lacks_changes = False
        # Times of the first and last claim of a newer era, and of the store's last denial.
        self._claimed_since = float("-inf")
        self._claimed_at = float("-inf")
        self._denied_at = float("-inf")

    @classmethod
    def from_config(cls, clock: Clock, leaving_s: float) -> "SharedReading":
        """Builds the state of a node that has not read the list yet."""
        return cls(clock, leaving_s)

    @property
    def position(self) -> Position | None:
        """Returns the position up to which the list is known, ``None`` if it is unknown."""
        return self._position

    @property
    def now(self) -> float:
        """Returns the time on the clock of the readings, seconds."""
        return self._clock()

    @property
    def age_s(self) -> float:
        """Returns the time since the list was known to be current, seconds."""
        return self._clock() - self._fresh_at

    @property
    def has_missed(self) -> bool:
        """Returns whether a peer has sent changes, or an era, that this node lacks."""
        return self._lacks_changes or self._has_claim

    def is_due(self, rank: int) -> bool:
        """Returns whether this node must read the list now.

        :param rank: rank of this node in the fleet, 0 for the first.
        """
        if self._position is None or self._lacks_changes or rank < READERS:
            return True
        now = self._clock()
        delay = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        if self._has_claim and now - self._claimed_since >= delay:
            return True
        return now - self._fresh_at >= self._stale_s + delay

    def read_whole(self, position: Position, current_at: float | None = None) -> None:
        """Records that this node has read the whole list at a position.

        :param current_at: as for ``read``.
        """
        self._reset_to(position)
        self._record_store_answer(current_at)

    def adopt_list(self, position: Position) -> None:
        """Records that this node has adopted a peer's whole list at a position."""
        self._reset_to(position)
        self._fresh_at = self._clock()

    def read(self, offset: int, changes: Iterable[Change], current_at: float | None = None) -> None:
        """Records that this node has read the list up to an offset of the current era.

        :param changes: those of the records read that change an entry.
        :param current_at: time at which the list certainly was as read, ``None`` for now.
        """
        self._add_changes(changes)
        self._advance_to(offset)
        self._record_store_answer(current_at)

    def read_part(self, offset: int, changes: Iterable[Change]) -> None:
        """Records that this node has read up to an offset beyond which the list has more records.

        That shows nothing of the age of the list.
        """
        self._add_changes(changes)
        self._advance_to(offset)

    def take(self, updates: ListUpdate) -> tuple[Change, ...]:
        """Processes updates of a peer; returns the changes that this node did not know."""
        known = self._position
        if known is None or updates.era < known.era:
            return ()
        if updates.era > known.era:
            self._claim()
            return ()
        if updates.covers_from > known.offset:
            self._lacks_changes = True
            return ()
        new = tuple(change for change in updates.changes if change.offset >= known.offset)
        self._add_changes(new)
        self._advance_to(updates.read_to)
        self._fresh_at = max(self._fresh_at, self._clock() - updates.age_s)
        return new

    def updates(self, keep_removed_s: float) -> ListUpdate | None:
        """Returns the message to the peers, ``None`` if this node has not read the list lately."""
        now = self._clock()
        if self._position is None or self._read_at is None or now - self._read_at >= self._stale_s:
            return None
        self._drop_old(now)
        return ListUpdate(
            self._position.era,
            self._covers_from,
            self._position.offset,
            now - self._read_at,
            keep_removed_s,
            tuple(change for _at, change in self._recent_changes),
        )

    @property
    def _has_claim(self) -> bool:
        """Returns whether the store should be queried for a newer era."""
        now = self._clock()
        return now - self._claimed_at < CLAIM_S and now - self._denied_at >= CLAIM_PAUSE_S

    def _claim(self) -> None:
        now = self._clock()
        if now - self._claimed_at >= CLAIM_S:
            self._claimed_since = now
        self._claimed_at = now

    def _reset_to(self, position: Position) -> None:
        if self._position is None or position.era != self._position.era:
            # Claims of peers that refer to other eras do not apply to this one.
            self._claimed_at = float("-inf")
        self._recent_changes.clear()
        self._covers_from = position.offset
        self._position = position
        self._lacks_changes = False

    def _advance_to(self, offset: int) -> None:
        self._position = Position(self._position.era, max(self._position.offset, offset))

    def _record_store_answer(self, current_at: float | None = None) -> None:
        """Records an answer of the store in the current era."""
        now = self._clock()
        current_at = now if current_at is None else current_at
        if now - self._claimed_at < CLAIM_S:
            self._denied_at = now
        self._claimed_at = float("-inf")
        self._lacks_changes = False
        self._read_at = current_at
        self._fresh_at = max(self._fresh_at, current_at)

    def _add_changes(self, changes: Iterable[Change]) -> None:
        now = self._clock()
        self._recent_changes.extend((now, change) for change in changes)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        size = sum(len(change.value or b"") for _at, change in self._recent_changes)
        while self._recent_changes:
            added_at, oldest = self._recent_changes[0]
            if now - added_at < RESEND_S and size <= MAX_CHANGES_BYTES:
                return
            self._recent_changes.popleft()
            size -= len(oldest.value or b"")
            self._covers_from = oldest.offset + 1
