"""Bounds of an encoded peer message, checked before it is decoded."""

from arbutustally.errors import PeerRejectedError

#: Deepest nesting of a message; the deepest typed message needs 6 levels.
MAX_DEPTH = 16
#: Most CBOR items of a message; it bounds the memory that a frame of one-byte items decodes to.
MAX_ITEMS = 1 << 16


def rejected(what: str) -> PeerRejectedError:
    """Returns the error for a peer that broke the protocol."""
    return PeerRejectedError(
        f"{what}; check that both nodes run compatible versions and share a peer secret"
    )


def check_bounds(data: bytes) -> None:
    """Walks the item heads and compares each declared length with what is left.

    Only definite lengths and plain types are accepted: no tags, no indefinite items, so a few
    bytes cannot make the decoder reserve or build more than the frame itself holds.

    :raises PeerRejectedError: on the first item that breaks a bound.
    """
    position = 0
    size = len(data)
    items = 0
    # Items still expected at each open level.
    open_items = [1]
    while open_items:
        if open_items[-1] == 0:
            open_items.pop()
            continue
        open_items[-1] -= 1
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
            if count > size - position or len(open_items) >= MAX_DEPTH:
                raise rejected("a peer message declares more items than it holds or nests deeply")
            open_items.append(count)
        elif major == 6:
            raise rejected("a peer message has a tagged item")
    if position != size:
        raise rejected("a peer message has trailing bytes")
