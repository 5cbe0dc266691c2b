"""Interfaces to encode requests and answers, and the list of addresses for callers."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from arbutustally.gateway.endpoint_entry import NO_NOTICE, EndpointNotice
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.http_head import RequestHead


@dataclass(frozen=True)
class AttemptTerms:
    """What an attempt sends to the endpoint in addition to the caller's request.

    :ivar endpoint_id: id of the intended endpoint; any other at the address must refuse.
    :ivar account: name of the account, empty on a public route without a key.
    :ivar left_s: time after which the answer is no longer useful, seconds.
    :ivar cache_scope: scope of cached prompt parts, which are found under the same scope only; empty
        for a plain service.
    :ivar weights: version that the engine must have, ``None`` for a plain service.
    :ivar priority: 0 is the most urgent, ``None`` for a plain service.
    :ivar resume_from: id of the last event that was relayed, empty for none.
    :ivar fetch_from: ``host:port`` of a cache that holds more of the prompt, empty for none.
    :ivar save_to: ``host:port`` of the store that receives the prompt parts once they are read.
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
    """Contents of the head of an endpoint's answer.

    :ivar echoed_id: request id of the answer, empty without one.
    :ivar is_signed: the answer was produced by the endpoint itself.
    :ivar is_not_run: the endpoint states that it did not run the request.
    :ivar is_mismatched: the endpoint is not the intended one, or has other weights.
    :ivar endpoint_id: id of the endpoint that answered, empty if not stated.
    :ivar weights: version of the weights, ``None`` if not stated.
    :ivar headers: headers to pass on to the caller.
    :ivar notice: state of the endpoint as stated by itself.
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
    """Callback for endpoints' notices in answers to calls other than requests."""

    def __call__(self, address: str, notice: EndpointNotice) -> None:
        """Receives the notice of the endpoint at an address."""


class HttpCodec(Protocol):
    """Encodes and decodes requests and answers.

    :ivar id_header: header that states the id of a request, and that of the request to which an
        answer belongs.
    """

    id_header: str

    def decode_request(self, head: RequestHead, body: bytes, arrived_at: float) -> CallerRequest:
        """Returns the request.

        :raises BadRequestError: if a header is malformed.
        """

    def attempt_headers(self, request: CallerRequest, terms: AttemptTerms) -> dict[str, str]:
        """Returns the headers of an attempt."""

    def decode_response(self, status: int, headers: Sequence[tuple[str, str]]) -> AnswerTerms:
        """Returns the contents of the head of an answer."""


class DirectoryBody(Protocol):
    """Encodes the addresses that a caller may use."""

    def __call__(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Returns the body of the answer.

        :param ttl_s: time for which the addresses are valid, seconds.
        """
