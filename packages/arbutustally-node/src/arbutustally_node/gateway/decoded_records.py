"""Decoded records of the operator and of the endpoints' list.

Decoding many records takes longer than the event loop may be blocked, and applying them must not be
interrupted by requests or by the changes that peers send. So all records are decoded first.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally_node.gateway.ports import Documents, OperatorChange, Record
from arbutustally_node.loop_turn import LoopTurns


@dataclass(frozen=True)
class EndpointRecord:
    """A record of the list.

    :ivar entry: its content, ``None`` if the record is a removal or is malformed.
    """

    record: Record
    entry: EndpointEntry | None

    @property
    def key(self) -> str:
        """Returns the endpoint's id."""
        return self.record.key

    @property
    def is_removal(self) -> bool:
        """Returns whether the record removes the endpoint from the list."""
        return self.record.value is None


@dataclass(frozen=True)
class OperatorRecord:
    """A record of the operator.

    :ivar change: its content, ``None`` if the record is of another kind or is malformed.
    """

    record: Record
    change: OperatorChange | None


def decode_endpoint(documents: Documents, record: Record) -> EndpointRecord:
    """Returns a record of the list with its content."""
    is_removal = record.value is None
    return EndpointRecord(record, None if is_removal else documents.decode_endpoint(record))


def decode_endpoints(documents: Documents, records: Iterable[Record]) -> tuple[EndpointRecord, ...]:
    """Returns records of the list with their contents; the event loop gets turns meanwhile."""
    return tuple(decode_endpoint(documents, record) for record in _in_turns(records))


def decode_operator(documents: Documents, record: Record) -> OperatorRecord:
    """Returns a record of the operator with its content."""
    return OperatorRecord(record, documents.decode_operator(record))


def decode_operators(documents: Documents, records: Iterable[Record]) -> tuple[OperatorRecord, ...]:
    """Returns records of the operator with contents; the event loop gets turns meanwhile."""
    return tuple(decode_operator(documents, record) for record in _in_turns(records))


def _in_turns(records: Iterable[Record]) -> Iterator[Record]:
    """Yields records; the event loop gets a turn before a portion of them is exceeded."""
    turns = LoopTurns()
    for record in records:
        turns.count(len(record.value or b""))
        yield record
