"""What the log line of a request tells of its attempts."""

import math

from arbutustally_node.caller_watch import CallerGoneError, NodeStoppingError
from arbutustally_node.gateway.learning import PlacedAttempt
from arbutustally_node.gateway.request_services import AttemptTrace


def trace_of(
    attempt: PlacedAttempt, reason: str, arrived_at: float, now: float, weights_until: float
) -> AttemptTrace:
    """Returns the record of an attempt that ends now.

    :param arrived_at: time of arrival of the request, steady seconds.
    :param weights_until: until when requests might begin on its weights, steady seconds.
    """

    def since_arrival_s(at: float) -> float:
        return round(at - arrived_at, 3)

    return AttemptTrace(
        attempt.placed.state.id,
        reason,
        round(now - attempt.began, 4),
        since_arrival_s(attempt.began),
        None if attempt.head_at is None else since_arrival_s(attempt.head_at),
        str(attempt.reading) if attempt.reading else "",
        attempt.placed.version,
        since_arrival_s(attempt.load.first_at) if attempt.load.first_at else None,
        since_arrival_s(weights_until) if math.isfinite(weights_until) else None,
    )


def reason_to_withdraw(error: BaseException) -> str:
    """Returns why an attempt ended that an error of this node's own side interrupted."""
    if isinstance(error, NodeStoppingError):
        return "node_stopping"
    return "caller_gone" if isinstance(error, CallerGoneError) else "caller_unwritable"
