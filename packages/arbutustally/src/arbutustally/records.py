"""Typed records of the platform's log and their encoding.

The JSON form of a record is ``{"id": str, "kind": str, "body": object}``; the log adds the offset.
"""

import uuid
from dataclasses import dataclass, field
from typing import Any

import cattrs

from arbutustally.errors import BadRequestError


def new_id() -> str:
    """Returns a unique record id (UUIDv4)."""
    return str(uuid.uuid4())


@dataclass(frozen=True)
class Change:
    """A change of configuration.

    :ivar base: version on which it is based; it is accepted only if that is still current.
    :ivar set: items by ``section/name``, each a plain mapping as in the declaration file.
    :ivar remove: items to remove.
    :ivar author: operator's name, for the history.
    """

    base: int
    set: dict[str, dict[str, Any]]
    remove: tuple[str, ...] = ()
    author: str = ""


@dataclass(frozen=True)
class KeyIssue:
    """Makes a key valid.

    :ivar key_id: public part of the key.
    :ivar digest: SHA-256 of the secret part, in hex.
    :ivar account: client account.
    """

    key_id: str
    digest: str
    account: str


@dataclass(frozen=True)
class KeyWithdraw:
    """Revokes a key permanently."""

    key_id: str


@dataclass(frozen=True)
class LeaseRecord:
    """A claim, renewal or release of a lease.

    :ivar name: what is leased, for instance ``shard/3`` or ``move/marelle``.
    :ivar holder: node incarnation, ``node-id#incarnation``.
    :ivar base: offset of the lease's last accepted record, -1 for the first claim.
    :ivar release: the holder releases the lease.
    """

    name: str
    holder: str
    base: int
    release: bool = False


@dataclass(frozen=True)
class ShareRecord:
    """Assignment or release of one standing share slot of a shard.

    :ivar shard: shard number.
    :ivar slot: slot number.
    :ivar holder: node incarnation, empty to release.
    :ivar base: offset of the slot's last accepted record, -1 for the first.
    """

    shard: int
    slot: int
    holder: str
    base: int


@dataclass(frozen=True)
class Claim:
    """A claim to dispatch one booking.

    :ivar key: ``account/route/idempotency-key`` digest in hex.
    :ivar request_digest: digest of method, path and body.
    :ivar holder: node incarnation and attempt that will dispatch, ``node-id#incarnation/attempt``.
    :ivar key_time_s: time inside the idempotency key, Unix seconds.
    """

    key: str
    request_digest: str
    holder: str
    key_time_s: float


@dataclass(frozen=True)
class Outcome:
    """The result of a claimed booking.

    :ivar key: as in the claim.
    :ivar ran: ``not_run``, ``may_have_run`` or ``ran``.
    :ivar status: HTTP status of the endpoint's response, 0 without one.
    :ivar content_type: of the response.
    :ivar body: body of the response, base64.
    :ivar claim: offset of the claim to which it belongs. The fold ignores an outcome of any other
        claim, because a late ``not_run`` would free a key that another node has claimed since.
    """

    key: str
    ran: str
    status: int = 0
    content_type: str = ""
    body: str = ""
    claim: int = -1


@dataclass(frozen=True)
class MoveStep:
    """One step of a move between versions.

    :ivar model: model name.
    :ivar version: the version to which traffic moves.
    :ivar previous: the version from which it moves.
    :ivar step: ``started``, ``raised``, ``done`` or ``taken_back``.
    :ivar share: fraction of requests on the new version, 0 to 1.
    :ivar fence: fencing number, the offset of the controller's lease claim.
    :ivar evidence: measurements on which the step is based.
    """

    model: str
    version: str
    previous: str
    step: str
    share: float
    fence: int
    evidence: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class CheckpointPart:
    """Part of a checkpoint of the whole control state.

    :ivar upto: offset of the last record in the checkpoint.
    :ivar part: number of this part, from 0.
    :ivar parts: number of parts.
    :ivar data: slice of the encoded snapshot, base64 of compressed CBOR.
    :ivar digest: BLAKE2 digest of the whole snapshot, in hex; parts with another digest belong
        to another checkpoint.
    """

    upto: int
    part: int
    parts: int
    data: str
    digest: str = ""


Body = (
    Change
    | KeyIssue
    | KeyWithdraw
    | LeaseRecord
    | ShareRecord
    | Claim
    | Outcome
    | MoveStep
    | CheckpointPart
)

_KINDS: dict[str, type] = {
    "change": Change,
    "key_issue": KeyIssue,
    "key_withdraw": KeyWithdraw,
    "lease": LeaseRecord,
    "share": ShareRecord,
    "claim": Claim,
    "outcome": Outcome,
    "move": MoveStep,
    "checkpoint": CheckpointPart,
}
_KIND_OF = {cls: kind for kind, cls in _KINDS.items()}
_converter = cattrs.Converter(forbid_extra_keys=True)


@dataclass(frozen=True)
class Record:
    """A record with its unique id."""

    id: str
    body: Body

    def encode(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "id": self.id,
            "kind": _KIND_OF[type(self.body)],
            "body": _converter.unstructure(self.body),
        }


def decode(data: Any) -> Record:
    """Decodes the JSON form.

    :raises BadRequestError: if the record is malformed or of an unknown kind; readers count and
        skip it.
    """
    try:
        cls = _KINDS[data["kind"]]
        body = _converter.structure(data["body"], cls)
        return Record(str(data["id"]), body)
    except (KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise BadRequestError(
            f"log record is malformed; upgrade this node if it is newer: {error}"
        ) from error


def wrap(body: Body) -> Record:
    """Returns a record of the body with a new unique id."""
    return Record(new_id(), body)
