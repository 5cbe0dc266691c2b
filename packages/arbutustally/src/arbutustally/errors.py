"""Typed errors with stable codes; every message states a remedy."""

from enum import StrEnum


class Ran(StrEnum):
    """Whether the work of a refused request ran at an endpoint."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RouterError(Exception):
    """Base of all errors that reach a caller or an operator.

    :ivar code: stable code, also the suffix of the refusal counter.
    :ivar status: HTTP status.
    :param message: what happened and what to do.
    :param ran: whether the work ran; ``NOT_RUN`` only if that is certain.
    :param retry_after_s: seconds until a retry may succeed; ``None`` if a retry cannot help.
    """

    code = "internal"
    status = 500

    def __init__(
        self, message: str, *, ran: Ran = Ran.NOT_RUN, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.ran = ran
        self.retry_after_s = retry_after_s


class BadRequestError(RouterError):
    """The request is malformed; it must be corrected before it is sent again."""

    code = "bad_request"
    status = 400


class BodyTooLargeError(RouterError):
    """The request body or its headers exceed a declared bound."""

    code = "body_too_large"
    status = 413


class SlowSenderError(RouterError):
    """The request body did not arrive within the read timeout."""

    code = "slow_sender"
    status = 408


class KeyInQueryError(RouterError):
    """A key was sent in the query string, where intermediaries log it."""

    code = "key_in_query"
    status = 400


class KeyInvalidError(RouterError):
    """The key is missing, unknown or withdrawn."""

    code = "key_invalid"
    status = 401


class KeysStaleError(RouterError):
    """The node may have missed withdrawals of keys."""

    code = "keys_stale"
    status = 503


class RouteUnknownError(RouterError):
    """No declared route matches the path and method."""

    code = "route_unknown"
    status = 404


class ModelUnknownError(RouterError):
    """No declared model has the requested name."""

    code = "model_unknown"
    status = 404


class RateLimitedError(RouterError):
    """The account has used its rate and burst."""

    code = "rate_limited"
    status = 429


class OverBurstError(RouterError):
    """The request alone needs more tokens than the account's burst."""

    code = "over_burst"
    status = 400


class LimitUnavailableError(RouterError):
    """The node cannot prove a budget for the account at present."""

    code = "limit_unavailable"
    status = 503


class OverloadedError(RouterError):
    """The request was shed before any work started."""

    code = "overloaded"
    status = 503


class NoEndpointError(RouterError):
    """No endpoint can take the request."""

    code = "no_endpoint"
    status = 503


class QuarantinedPartError(RouterError):
    """Endpoints have ended while they answered on a part of the prompt."""

    code = "part_quarantined"
    status = 503


class EndpointFailedError(RouterError):
    """The endpoint failed while it handled the request."""

    code = "endpoint_failed"
    status = 502


class EndpointTimeoutError(RouterError):
    """The endpoint did not respond in time."""

    code = "endpoint_timeout"
    status = 504


class StreamLostError(RouterError):
    """A broken stream could not be continued without a gap or a repeat."""

    code = "stream_lost"
    status = 502


class StreamNotResumableError(RouterError):
    """The event id does not identify a stream that can be resumed for this request."""

    code = "stream_not_resumable"
    status = 409


class KeyExpiredError(RouterError):
    """The idempotency key lies outside the booking window."""

    code = "key_expired"
    status = 409


class KeyReusedError(RouterError):
    """The idempotency key was used for another request."""

    code = "key_reused"
    status = 409


class IdempotencyKeyRequiredError(RouterError):
    """The route needs an idempotency key."""

    code = "idempotency_key_required"
    status = 400


class OutcomeUnknownError(RouterError):
    """A claimed booking has no recorded outcome."""

    code = "outcome_unknown"
    status = 409


class LogUnavailableError(RouterError):
    """The platform's log did not confirm the append."""

    code = "log_unavailable"
    status = 503


class NoConfigurationError(RouterError):
    """The node has no configuration yet."""

    code = "no_configuration"
    status = 503


class DrainingError(RouterError):
    """The node is shutting down and takes no new connections."""

    code = "draining"
    status = 503


class ConfigurationConflictError(RouterError):
    """Another change was accepted first."""

    code = "configuration_conflict"
    status = 409


class ConfigurationInvalidError(RouterError):
    """The declarations are invalid."""

    code = "configuration_invalid"
    status = 422


class OperatorUnauthorizedError(RouterError):
    """The operator credential is missing or wrong."""

    code = "operator_unauthorized"
    status = 401


class SettingInvalidError(RouterError):
    """A setting is out of its range or cannot be parsed."""

    code = "setting_invalid"


class PeerRejectedError(RouterError):
    """A peer link failed authentication or violated the peer protocol."""

    code = "peer_rejected"


class LeaseLostError(RouterError):
    """The lease on which an effect depends has expired."""

    code = "lease_lost"
    status = 503


class StaleFenceError(RouterError):
    """An endpoint refused an order with an outdated fencing number."""

    code = "stale_fence"
    status = 409


class PeerUnavailableError(RouterError):
    """A peer cannot be reached or did not respond to a call in time."""

    code = "peer_unavailable"
    status = 503


class InstanceListUnavailableError(RouterError):
    """The platform did not return a valid instance list."""

    code = "instance_list_unavailable"
    status = 503


class HoleFoundError(RouterError):
    """The log has dropped records that a reader still needs.

    :param oldest: lowest offset that the log still has.
    :param era: of the store, 0 if not stated.
    """

    code = "hole_found"
    status = 410

    def __init__(self, message: str, *, oldest: int, era: int = 0) -> None:
        super().__init__(message)
        self.oldest = oldest
        self.era = era


class SnapshotInvalidError(RouterError):
    """A snapshot is damaged or was written by a newer version."""

    code = "snapshot_invalid"
    status = 422


class RequestUnknownError(RouterError):
    """No explanation is stored for the request id."""

    code = "request_unknown"
    status = 404


class NodeUnreachableError(RouterError):
    """A node that is needed for the response cannot be reached."""

    code = "node_unreachable"
    status = 503


class StoreUnavailableError(RouterError):
    """The platform's store did not respond or refused the call."""

    code = "store_unavailable"
    status = 503
