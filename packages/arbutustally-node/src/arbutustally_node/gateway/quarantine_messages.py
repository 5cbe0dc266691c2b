"""What nodes tell each other of crashes and quarantined parts, and its encoding.

All times are sent as ages, since the clocks of nodes are not comparable.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from arbutustally.gateway.crash_evidence import MAX_CRASHES, MAX_PARTS, Crash
from arbutustally.gateway.part_keys import KEY_BYTES
from arbutustally.gateway.quarantine import MAX_VERDICTS, Verdict

#: Crashes, and parts with proofs, in one message.
SENT_CRASHES = 16
SENT_PROOFS = 64
#: Longest time that is accepted, seconds.
MAX_TIME_S = 100_000.0
MAX_NUMBER = 1 << 31


@dataclass(frozen=True)
class QuarantineUpdate:
    """Evidence and verdicts of one node. Crashes and proofs have ages in place of times.

    :ivar proofs: age of the latest answer by part.
    :ivar verdicts: with the time until the next trial in place of its time.
    """

    crashes: tuple[Crash, ...] = ()
    proofs: Mapping[bytes, float] = field(default_factory=dict)
    verdicts: tuple[Verdict, ...] = ()


NO_UPDATE = QuarantineUpdate()


def update_row(update: QuarantineUpdate) -> list[Any] | None:
    """Returns the values to encode, ``None`` if there is nothing to tell."""
    if update == NO_UPDATE:
        return None
    return [
        [[one.endpoint, round(one.at, 3), sorted(one.parts)] for one in update.crashes],
        {part: round(age, 3) for part, age in update.proofs.items()},
        [
            [one.part, one.number, one.is_active, round(one.trial_at, 3), one.trials]
            for one in update.verdicts
        ],
    ]


def decode_update(row: Any) -> QuarantineUpdate:
    """Returns the update in a message.

    :raises TypeError: or ``ValueError`` if it is malformed or too long.
    """
    if row is None:
        return NO_UPDATE
    crashes, proofs, verdicts = row
    if len(crashes) > MAX_CRASHES or len(proofs) > SENT_PROOFS or len(verdicts) > MAX_VERDICTS:
        raise ValueError("more crashes, proofs or verdicts than nodes send")
    return QuarantineUpdate(
        tuple(map(_crash, crashes)),
        {_key(part): _seconds(age) for part, age in proofs.items()},
        tuple(map(_verdict, verdicts)),
    )


def _crash(row: Any) -> Crash:
    endpoint, age_s, parts = row
    if len(parts) > MAX_PARTS:
        raise ValueError("more parts of a crash than nodes send")
    return Crash(_key(endpoint), _seconds(age_s), frozenset(map(_key, parts)))


def _verdict(row: Any) -> Verdict:
    part, number, is_active, trial_in_s, trials = row
    return Verdict(
        _key(part), _number(number), bool(is_active), _seconds(trial_in_s), _number(trials)
    )


def _key(value: Any) -> bytes:
    if not isinstance(value, bytes) or len(value) != KEY_BYTES:
        raise TypeError("expected the key of a part or of an endpoint")
    return value


def _number(value: Any) -> int:
    if type(value) is not int or not -1 <= value <= MAX_NUMBER:
        raise ValueError("expected a small integer")
    return value


def _seconds(value: Any) -> float:
    seconds = float(value)
    if not math.isfinite(seconds) or abs(seconds) > MAX_TIME_S:
        raise ValueError("time is out of range")
    return seconds
