"""Topics of the platform's store."""

from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True)
class Record:
    """The newest value of a key.

    :ivar value: ``None`` where the key was removed.
    """

    key: str
    value: bytes | None


class EraWatcher(Protocol):
    """Takes the number of an era of the store that has begun."""

    def __call__(self, era: int) -> None:
        """Takes the era; called once for each that is newer than all before."""


class StoreEra(Protocol):
    """The newest era that any answer of the store has told.

    The store begins an era each time that it comes back from an older copy: what was written
    since that copy is gone, and its offsets are given out again.
    """

    @property
    def newest(self) -> int:
        """Returns the era, 0 as long as no answer has told one."""

    def watch(self, watcher: EraWatcher) -> None:
        """Passes each newer era to ``watcher``, before the answer that told it is used."""


@dataclass(frozen=True)
class Batch:
    """Records of a topic.

    :ivar next_offset: where to read on.
    :ivar era: of the store when it answered, 0 if not stated.
    """

    records: tuple[Record, ...]
    next_offset: int
    era: int = 0


class KeyedTopic(Protocol):
    """A topic of the store that keeps the newest record of each key."""

    def newest(self) -> Batch:
        """Returns the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def since(self, offset: int, wait_s: float) -> Batch:
        """Returns the records from an offset on, waiting for the first.

        :raises StoreUnavailableError: if the store does not answer.
        :raises HoleFoundError: if the records have left the store.
        """


class StatusTopic(Protocol):
    """Topic in which the system tells the operator what it has done."""

    def newest(self) -> Batch:
        """Returns the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def put(self, key: str, value: bytes | None, expected: int | None = None) -> Any:
        """Appends a record; ``None`` in place of a result says that the topic ends elsewhere.

        :param expected: append only if the topic ends at this offset.
        :raises StoreUnavailableError: if nobody knows whether it was appended.
        """


class NodeTopic(KeyedTopic, Protocol):
    """Topic in which nodes announce themselves."""

    def announce(self, name: str, value: bytes | None) -> None:
        """Writes a node's record; ``None`` removes it.

        :raises StoreUnavailableError: if the store does not confirm it.
        """


@dataclass(frozen=True)
class LeaseRecord:
    """The last record of a lease.

    :ivar holder: node that wrote it.
    :ivar offset: of the record, which grows with each record.
    :ivar tenure: offset of the record that began the holder's tenure.
    :ivar is_released: the holder gave the lease up.
    :ivar era: of the store as its writer knew it; the record may have come into a later one.
    """

    holder: str
    offset: int
    tenure: int
    is_released: bool
    era: int = 0


@dataclass(frozen=True)
class LeaseReading:
    """What the topic of a lease held.

    :ivar last: the last record, ``None`` for none.
    :ivar end: offset of the next record.
    :ivar era: of the store when it answered, 0 if not stated.
    """

    last: LeaseRecord | None
    end: int
    era: int = 0


@dataclass(frozen=True)
class LeaseAppend:
    """Answer to an append.

    :ivar is_appended: the topic ended where it was expected to.
    :ivar era: of the store when it answered, 0 if not stated.
    """

    is_appended: bool
    era: int = 0


class LeaseTopic(Protocol):
    """Topic with the records of one lease."""

    def last(self) -> LeaseReading:
        """Returns the last record and the offset of the next one.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def append(
        self, holder: str, tenure: int | None, is_released: bool, era: int, expected: int
    ) -> LeaseAppend:
        """Appends a record if the topic still ends at ``expected``.

        :param tenure: offset of the record that began it; ``None`` begins one with this record.
        :param era: of the store as this node knows it.
        :raises StoreUnavailableError: if nobody knows whether it was.
        """
