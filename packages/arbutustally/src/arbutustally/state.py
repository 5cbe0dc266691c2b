"""The control state: a pure fold of the log, identical at every reader."""

from collections import deque
from dataclasses import astuple, replace
from typing import Any

from arbutustally.claim_table import ClaimTable
from arbutustally.control_tables import KeyTable, LeaseTable, MoveTable, ShareTable
from arbutustally.declarations import Declarations, change_items, restore_items, to_items
from arbutustally.errors import ConfigurationInvalidError, RouterError, SnapshotInvalidError
from arbutustally.records import (
    Change,
    CheckpointPart,
    Claim,
    KeyIssue,
    KeyWithdraw,
    LeaseRecord,
    MoveStep,
    Outcome,
    Record,
    ShareRecord,
)
from arbutustally.snapshots import decode_snapshot, encode_snapshot
from arbutustally.verdicts import (
    ACCEPTED,
    ClaimEntry,
    HistoryEntry,
    KeyEntry,
    LeaseEntry,
    MoveEntry,
    Reason,
    ShareEntry,
    Verdict,
    rejected,
)

DEFAULT_BOOKING_WINDOW_S = 3600.0
_HISTORY_LENGTH = 500
_MAX_HISTORY_NAMES = 20
_MAX_DETAIL_CHARACTERS = 300
_MAX_NAME_CHARACTERS = 80


class ControlState:
    """Fold of a prefix of the log.

    ``apply`` depends only on the state and the record, so readers of the same prefix agree.

    :param booking_window_s: how long claims are kept, see ``ClaimTable``.
    """

    def __init__(self, booking_window_s: float = DEFAULT_BOOKING_WINDOW_S) -> None:
        self._offset = -1
        self._version = -1
        self._declarations = Declarations()
        self._keys = KeyTable()
        self._leases = LeaseTable()
        self._shares = ShareTable()
        self._claims = ClaimTable(booking_window_s)
        self._moves = MoveTable(self._leases)
        self._history: deque[HistoryEntry] = deque(maxlen=_HISTORY_LENGTH)

    @property
    def offset(self) -> int:
        """Returns the offset of the last applied record, -1 before the first."""
        return self._offset

    @property
    def version(self) -> int:
        """Returns the offset of the last accepted change, -1 without configuration."""
        return self._version

    @property
    def declarations(self) -> Declarations:
        """Returns the configuration in force."""
        return self._declarations

    @property
    def claims_held(self) -> int:
        """Returns the number of claims within the booking window."""
        return len(self._claims)

    def key(self, key_id: str) -> KeyEntry | None:
        """Returns a caller key."""
        return self._keys.get(key_id)

    def keys(self) -> list[KeyEntry]:
        """Returns all keys that are not withdrawn."""
        return self._keys.entries()

    def lease(self, name: str) -> LeaseEntry | None:
        """Returns a lease."""
        return self._leases.get(name)

    def leases(self) -> list[LeaseEntry]:
        """Returns all leases."""
        return self._leases.entries()

    def share(self, shard: int, slot: int) -> ShareEntry | None:
        """Returns a standing share slot."""
        return self._shares.get(shard, slot)

    def claim(self, key: str) -> ClaimEntry | None:
        """Returns the current claim of a booking."""
        return self._claims.get(key)

    def move(self, model: str) -> MoveEntry | None:
        """Returns the last step of the move of a model."""
        return self._moves.get(model)

    def moves(self) -> list[MoveEntry]:
        """Returns the last step of every move."""
        return self._moves.entries()

    def history(self) -> list[HistoryEntry]:
        """Returns the latest changes of configuration, keys and moves, oldest first."""
        return list(self._history)

    def apply(self, offset: int, record: Record | None) -> Verdict:
        """Applies the next record.

        :param record: ``None`` for one that could not be decoded; it only advances the offset.
        :raises ValueError: if the offset is not above the last one.
        """
        if offset <= self._offset:
            raise ValueError(
                f"offset {offset} is not above {self._offset}; apply records in log order"
            )
        self._offset = offset
        if record is None:
            return rejected(Reason.MALFORMED)
        return self._decide(offset, record)

    def _decide(self, offset: int, record: Record) -> Verdict:
        match record.body:
            case LeaseRecord() as body:
                return self._leases.apply(offset, body)
            case Claim() as body:
                return self._claims.claim(offset, record.id, body)
            case Outcome() as body:
                return self._claims.apply_outcome(body)
            case Change() as body:
                return self._apply_change(offset, body)
            case KeyIssue() as body:
                return self._apply_key_issue(offset, body)
            case KeyWithdraw() as body:
                return self._apply_key_withdrawal(offset, body)
            case ShareRecord() as body:
                return self._shares.apply(offset, body)
            case MoveStep() as body:
                return self._apply_move_step(offset, record.id, body)
            case CheckpointPart():
                return ACCEPTED
        return rejected(Reason.MALFORMED)

    def _apply_change(self, offset: int, body: Change) -> Verdict:
        verdict = self._decide_change(offset, body)
        set_names = tuple(body.set)[:_MAX_HISTORY_NAMES]
        removed = tuple(f"-{name}" for name in body.remove[:_MAX_HISTORY_NAMES])
        total = len(body.set) + len(body.remove)
        changed = f"{total} item{'' if total == 1 else 's'} changed"
        detail = verdict.detail or verdict.reason or changed
        self._record_history(offset, "change", body.author, verdict, detail, set_names + removed)
        return verdict

    def _decide_change(self, offset: int, body: Change) -> Verdict:
        if body.base != self._version:
            return rejected(Reason.STALE_BASE, self._version)
        if not body.set and not body.remove:
            return rejected(Reason.INVALID, detail="the change is empty; set or remove an item")
        try:
            changed = change_items(self._declarations, body.set, body.remove)
        except ConfigurationInvalidError as error:
            return rejected(Reason.INVALID, detail=error.message)
        self._declarations = changed
        self._version = offset
        self._moves.declare(offset, {name: model.version for name, model in changed.models.items()})
        return ACCEPTED

    def _apply_key_issue(self, offset: int, body: KeyIssue) -> Verdict:
        is_new = self._keys.get(body.key_id) is None
        if is_new and body.account not in self._declarations.accounts:
            # A duplicate of this record must not make the key valid once the account is declared.
            self._keys.withdraw(KeyWithdraw(body.key_id))
            verdict = rejected(Reason.ACCOUNT_UNKNOWN)
        else:
            verdict = self._keys.issue(body)
        self._record_history(
            offset, "key_issue", "", verdict, f"account {body.account}", (body.key_id,)
        )
        return verdict

    def _apply_key_withdrawal(self, offset: int, body: KeyWithdraw) -> Verdict:
        verdict = self._keys.withdraw(body)
        self._record_history(offset, "key_withdraw", "", verdict, verdict.reason, (body.key_id,))
        return verdict

    def _apply_move_step(self, offset: int, record_id: str, body: MoveStep) -> Verdict:
        verdict = self._moves.apply(offset, record_id, body)
        detail = f"{body.model} {body.step}: {body.version} at {body.share:.0%}"
        self._record_history(offset, "move", "", verdict, detail, (body.model,))
        return verdict

    def _record_history(
        self,
        offset: int,
        kind: str,
        author: str,
        verdict: Verdict,
        detail: str,
        names: tuple[str, ...],
    ) -> None:
        entry = HistoryEntry(
            offset=offset,
            kind=kind,
            author=_printable(author, _MAX_NAME_CHARACTERS),
            accepted=verdict.accepted,
            detail=_printable(detail, _MAX_DETAIL_CHARACTERS),
            names=tuple(_printable(name, _MAX_NAME_CHARACTERS) for name in names),
        )
        self._history.append(entry)

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        return encode_snapshot(
            {
                "offset": self._offset,
                "version": self._version,
                "items": to_items(self._declarations),
                "keys": self._keys.dump(),
                "leases": self._leases.dump(),
                "shares": self._shares.dump(),
                "claims": self._claims.dump(),
                "moves": self._moves.dump(),
                "history": [list(astuple(entry)) for entry in self._history],
            }
        )

    @classmethod
    def restore(
        cls, data: bytes, booking_window_s: float = DEFAULT_BOOKING_WINDOW_S
    ) -> "ControlState":
        """Builds the state from a snapshot.

        :raises SnapshotInvalidError: if the snapshot is damaged or of an unknown format.
        """
        content = decode_snapshot(data)
        state = cls(booking_window_s)
        try:
            state._load(content)
        except (KeyError, TypeError, ValueError, AttributeError, RouterError) as error:
            raise SnapshotInvalidError(
                f"the snapshot's content is malformed: {error!r}; fetch it from another peer"
            ) from error
        return state

    def _load(self, content: dict[str, Any]) -> None:
        self._offset = int(content["offset"])
        self._version = int(content["version"])
        self._declarations = restore_items(content["items"])
        self._keys.load(content["keys"])
        self._leases.load(content["leases"])
        self._shares.load(content["shares"])
        self._claims.load(content["claims"])
        self._moves.load(content["moves"])
        entries = [HistoryEntry(*row) for row in content["history"]]
        self._history.extend(replace(entry, names=tuple(entry.names)) for entry in entries)


def _printable(text: str, max_characters: int) -> str:
    """Returns a text truncated, with ``?`` for characters that a codec or terminal may reject."""
    truncated = text[:max_characters]
    if truncated.isprintable():
        return truncated
    return "".join(char if char.isprintable() else "?" for char in truncated)
