"""Documents that a node provides to peers without store access, and their encoding.

The content is a sequence of rows with lengths, so a decoder can take turns between rows and never
holds more than the rows themselves. The first row holds the position of the endpoints' list.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from arbutustally.gateway.shared_reading import Position
from arbutustally_node.gateway.ports import Record
from arbutustally_node.loop_turn import LoopTurns

#: Largest uncompressed snapshot, bytes; a configuration takes at most a few megabytes.
MAX_SNAPSHOT_BYTES = 16 << 20
#: Records of a snapshot, at most.
MAX_RECORDS = 1 << 16
#: Content that is decompressed at once, bytes.
PIECE_BYTES = 64 << 10
COMPRESSION = 3

#: Flags, length of the key, length of the value, era, offset.
_ROW = struct.Struct(">BHIQQ")
_IS_ENDPOINT = 1
_HAS_VALUE = 2
_HAS_POSITION = 4
_MAX_FLAGS = _IS_ENDPOINT | _HAS_VALUE | _HAS_POSITION
#: Largest era or offset.
_MAX_NUMBER = (1 << 63) - 1


@dataclass(frozen=True)
class Snapshot:
    """Documents that a node provides to its peers.

    :ivar position: position in the store's topic up to which ``endpoints`` is current, ``None`` if
        unknown.
    :ivar operator: records of the operator's documents.
    :ivar endpoints: records of the list of endpoints.
    """

    position: Position | None
    operator: tuple[Record, ...]
    endpoints: tuple[Record, ...]

    def encode(self) -> bytes:
        """Returns the compressed response body; the event loop gets turns meanwhile."""
        packer = zlib.compressobj(COMPRESSION)
        turns = LoopTurns()
        parts = []
        for row in self._rows():
            turns.count(len(row))
            parts.append(packer.compress(row))
        parts.append(packer.flush())
        return b"".join(parts)

    def _rows(self) -> Iterator[bytes]:
        yield _row(0, Record("", None, self.position))
        for record in self.operator:
            yield _row(0, record)
        for record in self.endpoints:
            yield _row(_IS_ENDPOINT, record)

    @classmethod
    def decode(cls, data: bytes) -> "Snapshot":
        """Decodes a response body; the event loop gets turns meanwhile.

        :raises ValueError: if the snapshot is malformed or too long.
        :raises zlib.error: if it can't be decompressed.
        """
        position: Position | None = None
        records: tuple[list[Record], list[Record]] = ([], [])
        for number, (is_endpoint, record) in enumerate(_read_rows(data)):
            if number == 0:
                position = record.position
                continue
            if number > MAX_RECORDS:
                raise ValueError("snapshot has too many records")
            records[is_endpoint].append(record)
        return cls(position, tuple(records[False]), tuple(records[True]))


def _row(flags: int, record: Record) -> bytes:
    """Returns the row of a record; a position follows a value only if the record has one."""
    key, value, position = record.key.encode(), record.value, record.position
    if value is not None:
        flags |= _HAS_VALUE
    if position is not None:
        flags |= _HAS_POSITION
    era, offset = (position.era, position.offset) if position else (0, 0)
    content = value or b""
    return _ROW.pack(flags, len(key), len(content), era, offset) + key + content


def _read_rows(data: bytes) -> Iterator[tuple[bool, Record]]:
    """Yields the rows of a compressed snapshot, and whether each is one of the endpoints' list.

    :raises ValueError: if they are malformed or too long.
    :raises zlib.error: if they can't be decompressed.
    """
    turns = LoopTurns()
    unpacker = zlib.decompressobj()
    content = b""
    size = 0
    while not unpacker.eof:
        piece = unpacker.decompress(data, PIECE_BYTES)
        data = unpacker.unconsumed_tail
        size += len(piece)
        if size > MAX_SNAPSHOT_BYTES:
            raise ValueError("snapshot exceeds the maximum size")
        if not piece and not data and not unpacker.eof:
            raise ValueError("snapshot is truncated")
        content += piece
        at = 0
        while (end := _row_end(content, at)) <= len(content):
            yield _read_row(content, at)
            turns.count(end - at)
            at = end
        content = content[at:]
    if content or not size:
        raise ValueError("snapshot is truncated")


def _row_end(content: bytes, at: int) -> int:
    """Returns where the row at a place ends; beyond the content if its lengths are missing."""
    if at + _ROW.size > len(content):
        return len(content) + 1
    _flags, key_size, value_size, _era, _offset = _ROW.unpack_from(content, at)
    return at + _ROW.size + key_size + value_size


def _read_row(content: bytes, at: int) -> tuple[bool, Record]:
    flags, key_size, value_size, era, offset = _ROW.unpack_from(content, at)
    if flags > _MAX_FLAGS or max(era, offset) > _MAX_NUMBER:
        raise ValueError("snapshot has a malformed row")
    key_at = at + _ROW.size
    value_at = key_at + key_size
    key = content[key_at:value_at].decode()
    value = content[value_at : value_at + value_size] if flags & _HAS_VALUE else None
    position = Position(era, offset) if flags & _HAS_POSITION else None
    if value is None and (value_size or position is None) and key:
        raise ValueError("snapshot has neither the content nor the removal of a record")
    return bool(flags & _IS_ENDPOINT), Record(key, value, position)
