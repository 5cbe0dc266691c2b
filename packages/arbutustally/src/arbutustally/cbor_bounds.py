"""Bounds of an encoded peer message, checked before it is decoded."""

from arbutustally.errors import PeerRejectedError

#: Deepest nesting of a message; the deepest typed message needs 6 levels.
MAX_DEPTH = 16
#: Largest number of CBOR items; bounds the memory of a decoded frame of one-byte items.
MAX_ITEMS = 1 << 16


def rejected(problem: str) -> PeerRejectedError:
    """Returns the error for a peer that violated the protocol."""
    return PeerRejectedError(
        f"{problem}; check that both nodes run compatible versions and share a peer secret"
    )


def check_bounds(data: bytes) -> None:
    """Scans the item heads and compares each declared length with the bytes that remain.

    Only definite lengths and plain types are accepted, no tags and no indefinite items, so a few
    bytes cannot make the decoder allocate or build more than the frame itself contains.

    :raises PeerRejectedError: at the first item that exceeds a bound.
    """
    position = 0
    size = len(data)
    items = 0
    # Remaining items of each open array or map, outermost first.
    remaining_items = [1]
    while remaining_items:
        if remaining_items[-1] == 0:
            remaining_items.pop()
            continue
        remaining_items[-1] -= 1
        items += 1
        if items > MAX_ITEMS or position >= size:
            raise rejected("a peer message is truncated or has too many items")
        major, info = data[position] >> 5, data[position] & 0x1F
        position += 1
        argument = info
        if info >= 24:
            width = {24: 1, 25: 2, 26: 4, 27: 8}.get(info, size)
            if position + width > size:
                raise rejected("a peer message has a truncated or indefinite item")
            argument = int.from_bytes(data[position : position + width], "big")
            position += width
        if major in (2, 3):
            if argument > size - position:
                raise rejected("a peer message declares a string longer than itself")
            position += argument
        elif major in (4, 5):
            count = argument * 2 if major == 5 else argument
            if count > size - position or len(remaining_items) >= MAX_DEPTH:
                raise rejected("a peer message declares more items than it holds or nests deeply")
            remaining_items.append(count)
        elif major == 6:
            raise rejected("a peer message has a tagged item")
    if position != size:
        raise rejected("a peer message has trailing bytes")
