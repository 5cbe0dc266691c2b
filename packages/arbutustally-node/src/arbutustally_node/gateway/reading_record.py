"""Record with which a node that reads the store tells its peers how old its knowledge is."""

from arbutustally_node.gateway.peer_state import OperatorUpdate

#: Key of the record among those of the operator that nodes send each other.
READING_KEY = "operator-reading"
#: Longest version that is read from a record, characters.
MAX_VERSION_DIGITS = 20


def encode_reading(version: int, age_s: float) -> OperatorUpdate:
    """Returns the record of a node that knew all records of the operator some time ago.

    :param version: version of the configuration that it has.
    :param age_s: that time, seconds.
    """
    return OperatorUpdate(READING_KEY, b"%d" % version, age_s)


def is_reading(update: OperatorUpdate) -> bool:
    """Returns whether an update is such a record."""
    return update.key == READING_KEY


def decode_reading(update: OperatorUpdate) -> int | None:
    """Returns the version that a record names, ``None`` if it is malformed or states no age."""
    text = update.value or b""
    if update.age_s is None or update.age_s < 0 or len(text) > MAX_VERSION_DIGITS:
        return None
    return int(text) if text.isdigit() else None
