"""Record with which the node that decides on a roll-out sends its decision to its peers.

The record is a sequence of two CBOR items. Nodes of the program before this one read the first, and
send only that.
"""

import math
from io import BytesIO
from typing import Any

import cbor2

from arbutustally.gateway.rollouts import RolloutProgress, RolloutState
from arbutustally_node.gateway.ports import Record

#: Key prefix of these records among those that nodes send each other.
PROGRESS_PREFIX = "rollout-progress/"


def encode_progress(progress: RolloutProgress) -> Record:
    """Returns the record of a decision."""
    content = [progress.target, str(progress.state), progress.share]
    orders = [progress.order_s, progress.retrial_s]
    return Record(PROGRESS_PREFIX + progress.service, cbor2.dumps(content) + cbor2.dumps(orders))


def decode_progress(record: Record) -> RolloutProgress | None:
    """Returns the decision in a record, ``None`` if it is malformed."""
    stream = BytesIO(record.value or b"")
    decoder = cbor2.CBORDecoder(stream)
    try:
        target, state, share = decoder.decode()
        has_orders = stream.tell() < len(record.value or b"")
        order_s, retrial_s = decoder.decode() if has_orders else (None, None)
        service = record.key.removeprefix(PROGRESS_PREFIX)
        return RolloutProgress(
            service,
            str(target),
            RolloutState(state),
            float(share),
            _duration(order_s),
            _duration(retrial_s),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError, OverflowError):
        return None


def _duration(value: Any) -> float | None:
    if value is not None and not math.isfinite(value):
        raise ValueError("duration is not finite")
    return None if value is None else float(value)
