"""Record with which the node that decides on a roll-out sends its decision to its peers."""

import cbor2

from arbutustally.gateway.rollouts import RolloutProgress, RolloutState
from arbutustally_node.gateway.ports import Record

#: Key prefix of these records among those that nodes send each other.
PROGRESS_PREFIX = "rollout-progress/"


def encode_progress(progress: RolloutProgress) -> Record:
    """Returns the record of a decision."""
    content = [progress.target, str(progress.state), progress.share]
    return Record(PROGRESS_PREFIX + progress.service, cbor2.dumps(content))


def decode_progress(record: Record) -> RolloutProgress | None:
    """Returns the decision in a record, ``None`` if it is malformed."""
    try:
        target, state, share = cbor2.loads(record.value or b"")
        service = record.key.removeprefix(PROGRESS_PREFIX)
        return RolloutProgress(service, str(target), RolloutState(state), float(share))
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None
