"""Encoding of snapshots: CBOR, compressed, with a format number and a checksum."""

import hashlib
import zlib
from typing import Any

import cbor2

from arbutustally.errors import SnapshotInvalidError

_MAGIC = b"atsn"
#: Incremented when a reader of the previous format could misread the content.
FORMAT = 1
_DIGEST_BYTES = 16
_HEADER_BYTES = len(_MAGIC) + 1 + _DIGEST_BYTES
#: Bounds the memory that a damaged or hostile snapshot can take.
MAX_PLAIN_BYTES = 512 << 20
_COMPRESSION_LEVEL = 3


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES, person=b"at-snapshot").digest()


def encode_snapshot(content: Any) -> bytes:
    """Encodes plain data."""
    packed = bytes([FORMAT]) + zlib.compress(cbor2.dumps(content), _COMPRESSION_LEVEL)
    return _MAGIC + _digest(packed) + packed


def decode_snapshot(data: bytes) -> Any:
    """Decodes plain data.

    :raises SnapshotInvalidError: if it is damaged, too large or of an unknown format.
    """
    if len(data) <= _HEADER_BYTES or data[: len(_MAGIC)] != _MAGIC:
        raise SnapshotInvalidError(
            "the data is not a snapshot; fetch one from another peer or read the log"
        )
    packed = data[len(_MAGIC) + _DIGEST_BYTES :]
    if _digest(packed) != data[len(_MAGIC) : len(_MAGIC) + _DIGEST_BYTES]:
        raise SnapshotInvalidError("the snapshot is damaged; fetch another one or read the log")
    if packed[0] != FORMAT:
        raise SnapshotInvalidError(
            f"the snapshot has format {packed[0]} and this node reads {FORMAT}; run the same "
            "release on all nodes, or read the log"
        )
    return _decode(packed[1:])


def _decode(packed: bytes) -> Any:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MAX_PLAIN_BYTES)
        if not unpacker.eof or unpacker.unused_data:
            raise SnapshotInvalidError(
                f"the snapshot is truncated or larger than {MAX_PLAIN_BYTES} bytes; read the log"
            )
        return cbor2.loads(plain)
    except (zlib.error, cbor2.CBORDecodeError, RecursionError) as error:
        raise SnapshotInvalidError(
            f"the snapshot cannot be decoded: {error}; fetch another one or read the log"
        ) from error
