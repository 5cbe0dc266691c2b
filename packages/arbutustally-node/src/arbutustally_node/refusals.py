"""Counters of requests refused by the request path itself.

The services for keys, limits, admission and the log count their own refusals.
"""

from arbutustally.errors import RouterError
from arbutustally.metrics import Counter, Metrics, declare
from arbutustally_node.http_server import BAD_REQUEST

_HELP = {
    "endpoint_failed": "Endpoints failed and no other could take the request; see their logs.",
    "endpoint_timeout": "Endpoints fell silent; check their load.",
    "idempotency_key_required": "Booking without a UUIDv7; correct the caller.",
    "internal": "Fault of the router; see the log line with the request id.",
    "key_expired": "Idempotency key outside the booking window; check the caller's clock.",
    "key_in_query": "Key sent in an address; withdraw it and correct the caller.",
    "key_reused": "Idempotency key used for another request; correct the caller.",
    "model_unknown": "Undeclared model; declare it or correct the caller.",
    "no_configuration": "The node has neither log nor peer; check both.",
    "no_endpoint": "No endpoint for the version or service; check the instances.",
    "outcome_unknown": "Booking in progress or its answer lost; find out at the service.",
    "route_unknown": "Undeclared route; declare it or correct the caller.",
    "stream_lost": "Stream not continued; check for engines with the same weights.",
    "stream_not_resumable": "Resumption of a stream that is gone; the caller starts again.",
}

_COUNTERS: dict[str, Counter] = {
    code: declare(f"refused.{code}", help_text) for code, help_text in _HELP.items()
} | {BAD_REQUEST.name.removeprefix("refused."): BAD_REQUEST}


def count_refusal(metrics: Metrics, error: RouterError) -> None:
    """Counts a refused request, unless another service has counted it."""
    counter = _COUNTERS.get(error.code)
    if counter is not None:
        metrics.count(counter)
