"""Request and response types that the services of a node exchange."""

from dataclasses import dataclass, field
from typing import Any

from arbutustally.errors import Ran
from arbutustally_node.caller_watch import CallerWatch
from arbutustally_node.explain import Trace


@dataclass(frozen=True)
class ModelCall:
    """An authenticated request to a model.

    :ivar path: path of the request, the same for caller and engine.
    :ivar fields: the caller's JSON body.
    :ivar prompt: ``messages`` or ``prompt`` of the body.
    :ivar prompt_bytes: size of the request body, from which its tokens are estimated.
    :ivar output_tokens: limit on the tokens of the response.
    :ivar digest: digest of path and body, see ``stream_token.digest_request``.
    :ivar target: ``ClassOfWork`` of the route.
    :ivar last_event_id: event after which the caller resumes the stream, empty for a new stream.
    """

    request_id: str
    account: str
    route: str
    class_name: str
    service: str
    target: Any
    path: str
    model: str
    fields: dict[str, Any]
    prompt: Any
    prompt_bytes: int
    output_tokens: int
    digest: bytes
    trace: Trace
    watch: CallerWatch = field(default_factory=CallerWatch)
    last_event_id: str = ""


@dataclass(frozen=True)
class PlainCall:
    """A request to a plain service.

    :ivar path: path with query string.
    :ivar headers: headers that may be forwarded; no credential is among them.
    :ivar idempotent: the call may be repeated without a claim.
    :ivar idempotency_key: empty if the caller sent none.
    """

    request_id: str
    account: str
    route: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    idempotency_key: str
    trace: Trace


@dataclass(frozen=True)
class PlainResponse:
    """The response of a plain service.

    :ivar ran: whether the service ran the request.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    ran: Ran
