"""Verdicts on the records of the log and the entries of the state folded from it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from arbutustally.records import Outcome


class Reason(StrEnum):
    """Why a record was rejected; empty for an accepted one."""

    ACCEPTED = ""
    MALFORMED = "malformed"
    STALE_BASE = "stale_base"
    INVALID = "invalid"
    DUPLICATE = "duplicate"
    ACCOUNT_UNKNOWN = "account_unknown"
    KEY_EXISTS = "key_exists"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_HOLDER = "not_holder"
    TOO_MANY = "too_many"
    STALE_FENCE = "stale_fence"
    CLAIMED = "claimed"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    NO_CLAIM = "no_claim"
    HAS_OUTCOME = "has_outcome"


@dataclass(frozen=True)
class Verdict:
    """Decision on one record, the same for every reader of the log.

    :ivar beaten_by: offset of the record that took precedence, -1 where that does not apply.
    :ivar detail: for ``invalid``, the fault and its remedy.
    """

    accepted: bool
    reason: Reason = Reason.ACCEPTED
    beaten_by: int = -1
    detail: str = ""


ACCEPTED = Verdict(True)


def rejected(reason: Reason, beaten_by: int = -1, detail: str = "") -> Verdict:
    """Returns the verdict on a rejected record."""
    return Verdict(False, reason, beaten_by, detail)


@dataclass(frozen=True)
class KeyEntry:
    """A caller key.

    :ivar digest: SHA-256 of the secret part in hex; empty once withdrawn.
    """

    key_id: str
    digest: str
    account: str
    withdrawn: bool


@dataclass(frozen=True)
class LeaseEntry:
    """The last accepted record of a lease.

    :ivar epoch: offset of the claim that began the tenure, the fencing number.
    :ivar last_offset: offset of the last accepted record, the base of the next one.
    """

    name: str
    holder: str
    epoch: int
    last_offset: int
    released: bool


@dataclass(frozen=True)
class ShareEntry:
    """The last accepted record of a standing share slot.

    :ivar holder: node incarnation, empty if the slot is free.
    :ivar previous_holder: holder before this record, empty if the slot was free.
    """

    shard: int
    slot: int
    holder: str
    last_offset: int
    previous_holder: str


@dataclass(frozen=True)
class ClaimEntry:
    """The current claim of a booking.

    :ivar offset: offset of the claim, the base of its outcome.
    :ivar key_time_s: time contained in the idempotency key, Unix seconds.
    :ivar record_ids: ids of the latest claim records of this key, to detect repeated appends.
    """

    key: str
    request_digest: str
    holder: str
    offset: int
    key_time_s: float
    outcome: Outcome | None
    record_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class MoveEntry:
    """The last accepted step of a move between versions; see ``MoveStep``."""

    model: str
    version: str
    previous: str
    step: str
    share: float
    fence: int
    evidence: Mapping[str, Any]
    offset: int
    record_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class HistoryEntry:
    """One step of the audit trail.

    :ivar kind: kind of the record.
    :ivar author: name of the operator, or the node that wrote the record.
    :ivar detail: what was changed, or why the record was rejected.
    """

    offset: int
    kind: str
    author: str
    accepted: bool
    detail: str
    names: tuple[str, ...] = field(default=())
