"""Decisions about bookings: key times, claims and recorded outcomes.

A booking is dispatched only by the node whose claim the log accepted, and only once.
"""

import base64
import hashlib
import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Any

from arbutustally.errors import (
    IdempotencyKeyRequiredError,
    KeyExpiredError,
    KeyReusedError,
    OutcomeUnknownError,
    Ran,
)
from arbutustally.records import Outcome

#: Largest lead of a caller's clock, seconds.
MAX_FUTURE_S = 300.0
MAX_OUTCOME_BYTES = 65536
#: Seconds after which a caller may retry to get the outcome of a booking in progress.
OUTCOME_RETRY_S = 2.0

#: Content type in the record of a response that was too large to keep.
BODY_DROPPED = "application/x-arbutustally-not-kept"

_UUID_VERSION = 7
_TIME_SHIFT_BITS = 80


class Step(Enum):
    """What a node does next with a booking."""

    CLAIM = "claim"
    ANSWER = "answer"


@dataclass(frozen=True)
class Decision:
    """The next step of a booking; ``outcome`` is set for ``Step.ANSWER``."""

    step: Step
    outcome: Outcome | None = None


def key_time_s(idempotency_key: str) -> float:
    """Returns the time inside a UUIDv7 in Unix seconds.

    :raises IdempotencyKeyRequiredError: if the key is missing or not a UUIDv7.
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != _UUID_VERSION or len(idempotency_key) != 36:
        raise IdempotencyKeyRequiredError(
            "this route needs an Idempotency-Key header with a UUIDv7; create one for each booking"
        )
    return (parsed.int >> _TIME_SHIFT_BITS) / 1000


def check_window(time_s: float, now_s: float, window_s: float) -> None:
    """Checks a key's time against the booking window.

    :param now_s: Unix seconds.
    :raises KeyExpiredError: if the key is too old or too far in the future.
    """
    if time_s < now_s - window_s:
        raise KeyExpiredError(
            f"the idempotency key is older than {window_s:g} s; check whether the booking "
            "exists before it is sent again with a new key"
        )
    if time_s > now_s + MAX_FUTURE_S:
        raise KeyExpiredError(
            f"the idempotency key is more than {MAX_FUTURE_S:g} s in the future; "
            "correct the caller's clock and create a new key"
        )


def booking_key(account: str, route: str, idempotency_key: str) -> str:
    """Returns the digest under which a booking is claimed, in hex."""
    canonical = str(uuid.UUID(idempotency_key))
    return hashlib.sha256("\0".join((account, route, canonical)).encode()).hexdigest()


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns the digest that distinguishes requests under the same key, in hex."""
    digest = hashlib.sha256(f"{method}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def decide(entry: Any, digest: str) -> Decision:
    """Decides the next step of a booking from its entry in the control state.

    :param entry: ``verdicts.ClaimEntry`` of the key, or ``None``.
    :param digest: digest of the current request.
    :raises KeyReusedError: if the key was claimed for another request.
    :raises OutcomeUnknownError: if the booking may have run.
    """
    if entry is None:
        return Decision(Step.CLAIM)
    if entry.request_digest != digest:
        raise KeyReusedError(
            "the idempotency key was used for another request; create a new key for this one"
        )
    if entry.outcome is None:
        raise OutcomeUnknownError(
            "the booking is in progress or its node failed; retry with the same key",
            ran=Ran.MAY_HAVE_RUN,
            retry_after_s=OUTCOME_RETRY_S,
        )
    if entry.outcome.ran == Ran.NOT_RUN:
        return Decision(Step.CLAIM)
    if entry.outcome.ran == Ran.MAY_HAVE_RUN and not entry.outcome.status:
        raise OutcomeUnknownError(
            "the endpoint's response was lost; the booking is never repeated, so check "
            "at the service whether it exists",
            ran=Ran.MAY_HAVE_RUN,
        )
    if entry.outcome.content_type == BODY_DROPPED:
        raise OutcomeUnknownError(
            f"the booking ran, but its response exceeded {MAX_OUTCOME_BYTES} bytes and was not "
            "kept; look it up at the service",
            ran=Ran.RAN,
        )
    return Decision(Step.ANSWER, entry.outcome)


def not_run(key: str, claim: int) -> Outcome:
    """Returns the outcome that frees a key whose claimant did not dispatch the booking.

    :param claim: offset of the claim.
    """
    return Outcome(key, str(Ran.NOT_RUN), claim=claim)


def may_have_run(key: str, claim: int) -> Outcome:
    """Returns the outcome of a dispatch whose response was lost."""
    return Outcome(key, str(Ran.MAY_HAVE_RUN), claim=claim)


def outcome_of_response(
    key: str, claim: int, ran: Ran, status: int, content_type: str, body: bytes
) -> Outcome:
    """Returns the outcome of a dispatch that received a response.

    A body over ``MAX_OUTCOME_BYTES`` is omitted and the content type set to ``BODY_DROPPED``.
    """
    if len(body) > MAX_OUTCOME_BYTES:
        return Outcome(key, str(ran), status, BODY_DROPPED, claim=claim)
    text = base64.b64encode(body).decode()
    return Outcome(key, str(ran), status, content_type, text, claim=claim)


def outcome_body(outcome: Outcome) -> bytes:
    """Returns the recorded response body."""
    return base64.b64decode(outcome.body)
