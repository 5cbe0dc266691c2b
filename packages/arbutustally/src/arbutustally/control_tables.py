"""Tables of the fold for keys, leases, standing shares and moves.

The result of each ``apply`` depends only on the table and the record, so all readers agree.
"""

import math
from collections.abc import Mapping
from dataclasses import astuple, replace
from typing import Any

import orjson

from arbutustally.records import KeyIssue, KeyWithdraw, LeaseRecord, MoveStep, ShareRecord
from arbutustally.verdicts import (
    ACCEPTED,
    KeyEntry,
    LeaseEntry,
    MoveEntry,
    Reason,
    ShareEntry,
    Verdict,
    rejected,
)

_MAX_TEXT = 200
_DIGEST_LENGTH = 64
#: Withdrawn keys are kept so that a delayed duplicate of the issue record has no effect.
MAX_WITHDRAWN = 100_000
MAX_KEYS = 200_000
MAX_LEASES = 4096
MAX_SHARES = 4096
MAX_MOVES = 1024
_MAX_EVIDENCE_BYTES = 16 << 10
#: Duplicate appends arrive within a writer's deadline; a move makes far fewer steps in that time.
_MAX_RECORD_IDS = 32
_STEPS = frozenset({"started", "raised", "done", "taken_back"})


def is_text(value: Any, max_characters: int = _MAX_TEXT) -> bool:
    """Returns whether a value is a short, non-empty string that UTF-8 can encode."""
    if not isinstance(value, str) or not 0 < len(value) <= max_characters:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


class KeyTable:
    """Issued and withdrawn keys; a withdrawal takes precedence in any order of the records."""

    def __init__(self) -> None:
        self._active: dict[str, KeyEntry] = {}
        self._withdrawn: dict[str, str] = {}

    def get(self, key_id: str) -> KeyEntry | None:
        """Returns the entry of a key id."""
        if key_id in self._withdrawn:
            return KeyEntry(key_id, "", self._withdrawn[key_id], True)
        return self._active.get(key_id)

    def entries(self) -> list[KeyEntry]:
        """Returns all keys that are not withdrawn."""
        return list(self._active.values())

    def issue(self, body: KeyIssue) -> Verdict:
        """Applies an issue record."""
        digest = body.digest
        is_hex = len(digest) == _DIGEST_LENGTH and set(digest) <= set("0123456789abcdef")
        if not (is_text(body.key_id) and is_hex):
            return rejected(Reason.MALFORMED)
        if body.key_id in self._withdrawn:
            return rejected(Reason.KEY_WITHDRAWN)
        if body.key_id in self._active:
            return rejected(Reason.KEY_EXISTS)
        if len(self._active) >= MAX_KEYS:
            return rejected(Reason.TOO_MANY)
        self._active[body.key_id] = KeyEntry(body.key_id, digest, body.account, False)
        return ACCEPTED

    def withdraw(self, body: KeyWithdraw) -> Verdict:
        """Applies a withdrawal, also of a key that this log never issued."""
        if not is_text(body.key_id):
            return rejected(Reason.MALFORMED)
        if body.key_id in self._withdrawn:
            return rejected(Reason.KEY_WITHDRAWN)
        entry = self._active.pop(body.key_id, None)
        self._withdrawn[body.key_id] = entry.account if entry is not None else ""
        if len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        return ACCEPTED

    def dump(self) -> Any:
        """Returns plain data."""
        active = [
            [entry.key_id, bytes.fromhex(entry.digest), entry.account]
            for entry in self._active.values()
        ]
        return [active, list(self._withdrawn.items())]

    def load(self, data: Any) -> None:
        """Replaces the content with data from ``dump``."""
        active, withdrawn = data
        self._active = {
            key_id: KeyEntry(key_id, digest.hex(), account, False)
            for key_id, digest, account in active
        }
        self._withdrawn = dict(withdrawn)


class LeaseTable:
    """Leases by name; each record must carry the offset of the previous accepted one."""

    def __init__(self) -> None:
        self._entries: dict[str, LeaseEntry] = {}

    def get(self, name: str) -> LeaseEntry | None:
        """Returns the entry of a lease."""
        return self._entries.get(name)

    def entries(self) -> list[LeaseEntry]:
        """Returns all leases."""
        return list(self._entries.values())

    def apply(self, offset: int, body: LeaseRecord) -> Verdict:
        """Applies a claim, renewal or release."""
        if not (is_text(body.name) and is_text(body.holder)):
            return rejected(Reason.MALFORMED)
        entry = self._entries.get(body.name)
        last = entry.last_offset if entry is not None else -1
        if body.base != last:
            return rejected(Reason.STALE_BASE, last)
        if entry is None and len(self._entries) >= MAX_LEASES:
            return rejected(Reason.TOO_MANY)
        is_holding = entry is not None and not entry.released and entry.holder == body.holder
        if body.release and not is_holding:
            return rejected(Reason.NOT_HOLDER, last)
        epoch = entry.epoch if is_holding else offset
        self._entries[body.name] = LeaseEntry(body.name, body.holder, epoch, offset, body.release)
        return ACCEPTED

    def dump(self) -> Any:
        """Returns plain data."""
        return [list(astuple(entry)) for entry in self._entries.values()]

    def load(self, data: Any) -> None:
        """Replaces the content with data from ``dump``."""
        self._entries = {row[0]: LeaseEntry(*row) for row in data}


class ShareTable:
    """Standing share slots by shard and slot."""

    def __init__(self) -> None:
        self._entries: dict[tuple[int, int], ShareEntry] = {}

    def get(self, shard: int, slot: int) -> ShareEntry | None:
        """Returns the entry of a slot."""
        return self._entries.get((shard, slot))

    def apply(self, offset: int, body: ShareRecord) -> Verdict:
        """Applies an assignment or a release."""
        slot_key = (body.shard, body.slot)
        if min(slot_key) < 0 or max(slot_key) >= MAX_SHARES:
            return rejected(Reason.MALFORMED)
        if body.holder and not is_text(body.holder):
            return rejected(Reason.MALFORMED)
        entry = self._entries.get(slot_key)
        last = entry.last_offset if entry is not None else -1
        if body.base != last:
            return rejected(Reason.STALE_BASE, last)
        if entry is None and len(self._entries) >= MAX_SHARES:
            return rejected(Reason.TOO_MANY)
        previous = entry.holder if entry is not None else ""
        self._entries[slot_key] = ShareEntry(*slot_key, body.holder, offset, previous)
        return ACCEPTED

    def dump(self) -> Any:
        """Returns plain data."""
        return [list(astuple(entry)) for entry in self._entries.values()]

    def load(self, data: Any) -> None:
        """Replaces the content with data from ``dump``."""
        self._entries = {(row[0], row[1]): ShareEntry(*row) for row in data}


class MoveTable:
    """Moves by model; a step must carry the fencing number of the current controller."""

    def __init__(self, leases: LeaseTable) -> None:
        self._leases = leases
        self._entries: dict[str, MoveEntry] = {}

    def get(self, model: str) -> MoveEntry | None:
        """Returns the move of a model."""
        return self._entries.get(model)

    def entries(self) -> list[MoveEntry]:
        """Returns all moves."""
        return list(self._entries.values())

    def declare(self, offset: int, versions: Mapping[str, str]) -> None:
        """Applies the declared versions of an accepted change of configuration.

        A model that is declared for the first time takes effect at its version immediately;
        without an entry, a change of the version before the controller's first step would send
        all traffic to a version that no endpoint has loaded.

        :param versions: declared version of each model.
        """
        for model in [name for name in self._entries if name not in versions]:
            del self._entries[model]
        for model, version in versions.items():
            if model not in self._entries and len(self._entries) < MAX_MOVES:
                self._entries[model] = MoveEntry(
                    model=model,
                    version=version,
                    previous="",
                    step="done",
                    share=1.0,
                    fence=-1,
                    evidence={"reason": "first declared version"},
                    offset=offset,
                    record_ids=(),
                )

    def apply(self, offset: int, record_id: str, body: MoveStep) -> Verdict:
        """Applies a step."""
        if not self._is_well_formed(body):
            return rejected(Reason.MALFORMED)
        entry = self._entries.get(body.model)
        if entry is not None and record_id in entry.record_ids:
            return rejected(Reason.DUPLICATE, entry.offset)
        lease = self._leases.get(f"move/{body.model}")
        if lease is None or lease.released or lease.epoch != body.fence:
            return rejected(Reason.STALE_FENCE, lease.last_offset if lease is not None else -1)
        if entry is None and len(self._entries) >= MAX_MOVES:
            return rejected(Reason.TOO_MANY)
        record_ids_before = entry.record_ids if entry is not None else ()
        self._entries[body.model] = MoveEntry(
            model=body.model,
            version=body.version,
            previous=body.previous,
            step=body.step,
            share=body.share,
            fence=body.fence,
            evidence=body.evidence,
            offset=offset,
            record_ids=(*record_ids_before, record_id)[-_MAX_RECORD_IDS:],
        )
        return ACCEPTED

    @staticmethod
    def _is_well_formed(body: MoveStep) -> bool:
        if not (is_text(body.model) and is_text(body.version) and body.step in _STEPS):
            return False
        if body.previous and not is_text(body.previous):
            return False
        if not (math.isfinite(body.share) and 0 <= body.share <= 1):
            return False
        try:
            return len(orjson.dumps(body.evidence)) <= _MAX_EVIDENCE_BYTES
        except TypeError:
            return False

    def dump(self) -> Any:
        """Returns plain data."""
        return [
            [entry.model, entry.version, entry.previous, entry.step, entry.share, entry.fence]
            + [dict(entry.evidence), entry.offset, list(entry.record_ids)]
            for entry in self._entries.values()
        ]

    def load(self, data: Any) -> None:
        """Replaces the content with data from ``dump``."""
        entries = [MoveEntry(*row) for row in data]
        self._entries = {
            entry.model: replace(entry, record_ids=tuple(entry.record_ids)) for entry in entries
        }
