"""Checkpoints: snapshots of the control state split into records, and their assembly."""

import base64
import binascii
import hashlib

from arbutustally.errors import SnapshotInvalidError
from arbutustally.records import CheckpointPart

#: Base64 characters of one part; a few parts fit into one append.
PART_CHARACTERS = 192 << 10
MAX_PARTS = 4096
#: Checkpoints assembled at the same time, for instance of the previous and the current holder.
_MAX_INCOMPLETE = 4
_DIGEST_BYTES = 16


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES, person=b"at-checkpoint").hexdigest()


def split_snapshot(
    snapshot: bytes, upto: int, part_characters: int = PART_CHARACTERS
) -> list[CheckpointPart]:
    """Splits a snapshot into parts.

    :param upto: offset of the last record in the snapshot.
    """
    text = base64.b64encode(snapshot).decode()
    chunks = [
        text[start : start + part_characters] for start in range(0, len(text), part_characters)
    ]
    digest = _digest(snapshot)
    return [
        CheckpointPart(upto=upto, part=number, parts=len(chunks), data=chunk, digest=digest)
        for number, chunk in enumerate(chunks)
    ]


class CheckpointAssembler:
    """Collects parts of checkpoints until one is complete.

    Parts are grouped by all fields that identify their checkpoint, so that parts of two
    checkpoints written at the same time are never mixed; the digest is verified on the whole.
    """

    def __init__(self) -> None:
        self._incomplete: dict[tuple[int, int, str], dict[int, str]] = {}

    def add(self, part: CheckpointPart) -> bytes | None:
        """Adds a part.

        :return: the snapshot, once all of its parts have been added.
        :raises SnapshotInvalidError: if the part is malformed or the whole is damaged; its
            checkpoint is discarded.
        """
        if not (0 <= part.part < part.parts <= MAX_PARTS and part.digest):
            raise SnapshotInvalidError("checkpoint part is malformed; wait for the next checkpoint")
        group = (part.upto, part.parts, part.digest)
        chunks = self._incomplete.setdefault(group, {})
        chunks.setdefault(part.part, part.data)
        if len(chunks) < part.parts:
            self._drop_oldest()
            return None
        del self._incomplete[group]
        return _join(chunks, part.digest)

    def _drop_oldest(self) -> None:
        while len(self._incomplete) > _MAX_INCOMPLETE:
            del self._incomplete[min(self._incomplete)]


def _join(chunks: dict[int, str], digest: str) -> bytes:
    text = "".join(chunks[number] for number in sorted(chunks))
    try:
        snapshot = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        snapshot = b""
    if _digest(snapshot) != digest:
        raise SnapshotInvalidError("the checkpoint is damaged; wait for the next checkpoint")
    return snapshot
