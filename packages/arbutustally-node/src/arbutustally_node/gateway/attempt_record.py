"""What the log line of a request tells of its attempts."""

from arbutustally_node.caller_watch import CallerGoneError, NodeStoppingError
from arbutustally_node.gateway.learning import PlacedAttempt
from arbutustally_node.gateway.request_services import AttemptTrace


def trace_of(attempt: PlacedAttempt, reason: str, arrived_at: float, now: float) -> AttemptTrace:
    """Returns the record of an attempt that ends now.

    :param arrived_at: time of arrival of the request, steady seconds.
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
    )


def reason_to_withdraw(error: BaseException) -> str:
    """Returns why an attempt ended that an error of this node's own side interrupted."""
    if isinstance(error, NodeStoppingError):
        return "node_stopping"
    return "caller_gone" if isinstance(error, CallerGoneError) else "caller_unwritable"
