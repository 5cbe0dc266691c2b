"""Interfaces to the platform's store: topics, their records, and the store's era."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from arbutustally.gateway.shared_reading import Position


@dataclass(frozen=True)
class Record:
    """The newest value of a key.

    :ivar value: ``None`` where the key was removed.
    :ivar position: position in the store's topic, ``None`` if unknown.
    """

    key: str
    value: bytes | None
    position: Position | None = field(default=None, compare=False)


class EraWatcher(Protocol):
    """Callback for a new era of the store."""

    def __call__(self, era: int) -> None:
        """Receives the era; called once for each era that is newer than all before."""


class StoreEra(Protocol):
    """The newest era that any answer of the store has stated.

    The store begins a new era each time it is restored from an older copy: records written since
    that copy are lost, and their offsets are assigned again.
    """

    @property
    def newest(self) -> int:
        """Returns the era, 0 as long as no answer has stated one."""

    def watch(self, watcher: EraWatcher) -> None:
        """Passes each newer era to ``watcher`` before the answer that stated it is used."""


@dataclass(frozen=True)
class Batch:
    """Records of a topic.

    :ivar next_offset: offset from which to read next.
    :ivar era: era of the store when it answered, 0 if not stated.
    :ivar unread: records that the topic already had from ``next_offset`` on.
    """

    records: tuple[Record, ...]
    next_offset: int
    era: int = 0
    unread: int = 0


class KeyedTopic(Protocol):
    """A topic of the store that keeps the newest record of each key."""

    def newest(self) -> Batch:
        """Returns the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def since(self, offset: int, wait_s: float) -> Batch:
        """Returns the records from an offset on; waits up to ``wait_s`` seconds for the first.

        :raises StoreUnavailableError: if the store does not answer.
        :raises HoleFoundError: if the store no longer has the records.
        """


class StatusTopic(Protocol):
    """Topic in which the system reports to the operator what it has done."""

    def newest(self) -> Batch:
        """Returns the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def put(self, key: str, value: bytes | None, expected: int | None = None) -> Any:
        """Appends a record; returns ``None`` if the topic does not end at ``expected``.

        :param expected: offset at which the topic must end for the append to succeed.
        :raises StoreUnavailableError: if it is unknown whether the record was appended.
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

    :ivar holder: name of the node that wrote it.
    :ivar offset: offset of the record; increases with each record.
    :ivar tenure: offset of the record that began the holder's tenure.
    :ivar is_released: the holder released the lease.
    :ivar era: era of the store as known to the writer; the append may have arrived in a later one.
    """

    holder: str
    offset: int
    tenure: int
    is_released: bool
    era: int = 0


@dataclass(frozen=True)
class LeaseReading:
    """Result of reading the topic of a lease.

    :ivar last: the last record, ``None`` for none.
    :ivar end: offset of the next record.
    :ivar era: era of the store when it answered, 0 if not stated.
    """

    last: LeaseRecord | None
    end: int
    era: int = 0


@dataclass(frozen=True)
class LeaseAppend:
    """Answer to a conditional append.

    :ivar is_appended: the topic ended at the expected offset.
    :ivar era: era of the store when it answered, 0 if not stated.
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

        :param tenure: offset of the record that began the tenure; ``None`` begins a tenure with
            this record.
        :param era: era of the store as known to this node.
        :raises StoreUnavailableError: if it is unknown whether the record was appended.
        """
