"""Records with which nodes tell each other which accounts were isolated."""

from arbutustally.gateway.shared_reading import Position
from arbutustally_node.gateway.ports import Record

#: Key prefix of these records among those that nodes send each other. The key without a name states
#: that the sender has no further names.
ISOLATION_PREFIX = "isolated/"
_VALUE = b"1"
#: The records have no order; one with a position is sent with every message.
_POSITION = Position(0, 0)


def encode_isolated(name: str) -> Record:
    """Returns the record of an account."""
    return Record(ISOLATION_PREFIX + name, _VALUE, _POSITION)


def encode_complete() -> Record:
    """Returns the record which states that the sender knows all accounts that were isolated."""
    return Record(ISOLATION_PREFIX, _VALUE, _POSITION)


def decode_isolated(record: Record) -> str:
    """Returns the account of a record, ``""`` for the one of ``encode_complete``."""
    return record.key.removeprefix(ISOLATION_PREFIX)
