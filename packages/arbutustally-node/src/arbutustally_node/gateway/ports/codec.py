"""Wire form of requests and answers, and the answer that names addresses to callers."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from arbutustally.gateway.endpoints import NO_NOTICE, EndpointNotice
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.http_head import RequestHead


@dataclass(frozen=True)
class AttemptTerms:
    """What one attempt tells the endpoint beside the caller's request.

    :ivar endpoint_id: any other endpoint at the address must refuse.
    :ivar account: name of the account, empty on a public route without a key.
    :ivar left_s: time until the answer is of no use.
    :ivar cache_scope: cached parts are found under the same text only; empty for a plain service.
    :ivar weights: version that the engine must have, ``None`` for a plain service.
    :ivar priority: 0 is the most urgent, ``None`` for a plain service.
    :ivar resume_from: id of the last event that was relayed, empty for none.
    :ivar fetch_from: ``host:port`` of a place that holds more of the prompt, empty for none.
    :ivar save_to: ``host:port`` of the store that gets the parts once they are read.
    """

    endpoint_id: str
    account: str
    left_s: float
    cache_scope: str = ""
    weights: int | None = None
    priority: int | None = None
    resume_from: str = ""
    fetch_from: str = ""
    save_to: str = ""


@dataclass(frozen=True)
class AnswerTerms:
    """What the head of an endpoint's answer says.

    :ivar echoed_id: request id of the answer, empty without one.
    :ivar is_signed: the endpoint itself made the answer.
    :ivar is_not_run: the endpoint states that it did not run the request.
    :ivar is_mismatched: the endpoint is not the one that was named, or has other weights.
    :ivar endpoint_id: of the endpoint that answered, empty if not stated.
    :ivar weights: version of the weights, ``None`` if not stated.
    :ivar headers: headers to pass on to the caller.
    :ivar notice: what the endpoint says of itself.
    """

    echoed_id: str
    is_signed: bool
    is_not_run: bool
    is_mismatched: bool
    endpoint_id: str
    weights: int | None
    headers: tuple[tuple[str, str], ...]
    notice: EndpointNotice = NO_NOTICE


class NoticeWatcher(Protocol):
    """Takes what endpoints say of themselves in answers to calls beside requests."""

    def __call__(self, address: str, notice: EndpointNotice) -> None:
        """Takes the notice of the endpoint at an address."""


class HttpCodec(Protocol):
    """Wire form of requests and answers."""

    def decode_request(self, head: RequestHead, body: bytes, arrived_at: float) -> CallerRequest:
        """Returns the request.

        :raises BadRequestError: if a header is malformed.
        """

    def attempt_headers(self, request: CallerRequest, terms: AttemptTerms) -> dict[str, str]:
        """Returns the headers of an attempt."""

    def decode_answer(self, status: int, headers: Sequence[tuple[str, str]]) -> AnswerTerms:
        """Returns what the head of an answer says."""


class DirectoryBody(Protocol):
    """Encodes the addresses named to a caller."""

    def __call__(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Returns the body of the answer."""
