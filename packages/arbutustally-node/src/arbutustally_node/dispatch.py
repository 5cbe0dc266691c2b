"""Selects an engine for a request and opens the connection to it."""

from dataclasses import dataclass
from typing import Any

import gevent

from arbutustally.engine_client import EngineClient, error_code, is_refused, parse_json
from arbutustally.engine_completions import encode_request
from arbutustally.errors import (
    BadRequestError,
    EndpointFailedError,
    NoEndpointError,
    Ran,
    RouterError,
)
from arbutustally.placement_types import Candidate, Choice, PlacementRequest
from arbutustally.prefixes import PromptShape
from arbutustally_node.caller_watch import CallerGoneError
from arbutustally_node.calls import ModelCall
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.pooled_response import PooledResponse
from arbutustally_node.relay import StreamCursor

CANCEL_TIMEOUT_S = 2.0
NO_ENDPOINT_RETRY_S = 1.0

_JSON = {"Content-Type": "application/json", "Accept": "text/event-stream"}
#: Statuses with which an engine refuses a request that another engine may accept.
_RETRYABLE_STATUSES = frozenset({408, 409, 425, 429})


@dataclass
class Link:
    """One connection that carries a stream.

    :ivar endpoint: ``EndpointState``.
    :ivar tokens: prefill tokens counted as load of the endpoint for this link.
    :ivar opened_s: when the request was sent.
    :ivar first_s: when the first token arrived, 0 before that.
    :ivar last_s: when the last token arrived.
    :ivar first_index: index of the first token of this link.
    """

    endpoint: Any
    incarnation: str
    choice: Choice | None
    response: PooledResponse
    tokens: int
    opened_s: float
    first_index: int
    first_s: float = 0.0
    last_s: float = 0.0

    @property
    def first_token_s(self) -> float | None:
        """Returns the time to the first token in seconds, ``None`` before it."""
        return self.first_s - self.opened_s if self.first_s else None

    def gap_s(self, next_index: int) -> float | None:
        """Returns the mean time between tokens in seconds, ``None`` for fewer than two."""
        sent = next_index - self.first_index
        return (self.last_s - self.first_s) / (sent - 1) if sent > 1 else None


class Dispatcher:
    """Chooses engines and opens streams on them.

    :param kernel: finds ``membership``, ``placement`` and ``pool``.
    """

    def __init__(self, kernel: Kernel, options: Options, engines: EngineClient) -> None:
        self._kernel = kernel
        self._import_kv = bool(options.kv_url)
        self._engines = engines

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "Dispatcher":
        """Builds a dispatcher for a node."""
        return cls(kernel, options, EngineClient.from_config(CANCEL_TIMEOUT_S, CANCEL_TIMEOUT_S))

    def choose(
        self, call: ModelCall, version: str, shape: PromptShape, tried: set[str]
    ) -> tuple[Any, Choice]:
        """Returns the endpoint with the shortest estimated time among those with the version.

        :param tried: endpoint ids that failed this request.
        :raises NoEndpointError: if there is none; the caller of this method sets ``ran``.
        """
        endpoints = {
            state.id: state
            for state in self._kernel.lookup("membership").endpoints(call.service, call.model)
            if not state.leaving and _has_version(state, version) and state.id not in tried
        }
        if not endpoints:
            raise NoEndpointError(
                f"no engine with {call.model} at version {version} can take the request; "
                "check that engines of the service run and are not leaving",
                retry_after_s=NO_ENDPOINT_RETRY_S,
            )
        request = PlacementRequest(
            call.account, call.model, version, shape, call.output_tokens, call.target
        )
        candidates = [self._candidate(state, version) for state in endpoints.values()]
        choice = self._kernel.lookup("placement").choose(request, candidates)
        return endpoints[choice.endpoint], choice

    def send(
        self,
        call: ModelCall,
        version: str,
        shape: PromptShape,
        endpoint: Any,
        choice: Choice,
        cursor: StreamCursor,
        priority: int,
        now: float,
    ) -> Link:
        """Sends the request; generation continues after the tokens of the cursor.

        :param priority: priority at the engine; lower values run first.
        :raises RouterError: ``NOT_RUN`` only if no byte was sent.
        """
        body = encode_request(
            call.fields,
            request_id=call.request_id,
            priority=priority,
            cache_salt=cache_salt(call.account),
            version=version,
            emitted=cursor.texts,
            import_kv=choice.import_kv,
        )
        tokens = max(0, shape.total_tokens - choice.expected_cached_tokens)
        membership = self._kernel.lookup("membership")
        membership.add_dispatch(endpoint.id, tokens)
        try:
            response = self._open(call, endpoint, choice.incarnation, "POST", call.path, body)
        except BaseException as error:
            membership.remove_dispatch(endpoint.id, tokens)
            if isinstance(error, CallerGoneError):
                self.cancel(endpoint, call.request_id)
            raise
        cursor.expect(choice.incarnation)
        return Link(endpoint, choice.incarnation, choice, response, tokens, now, cursor.next_index)

    def resume(
        self, call: ModelCall, endpoint: Any, incarnation: str, cursor: StreamCursor
    ) -> PooledResponse:
        """Resumes a stream on the incarnation that produced it.

        :raises RouterError: if the engine does not have the stream.
        """
        path = f"/v1/streams/{call.request_id}?from={cursor.next_index}"
        response = self._open(call, endpoint, incarnation, "GET", path, None)
        cursor.expect(incarnation)
        return response

    def close_link(self, link: Link) -> None:
        """Closes a link and removes its load from the endpoint."""
        link.response.close()
        self.release_load(link)

    def release_load(self, link: Link) -> None:
        """Removes the load of the prefill from the endpoint, at its first token at the latest."""
        if link.tokens:
            self._kernel.lookup("membership").remove_dispatch(link.endpoint.id, link.tokens)
            link.tokens = 0

    def cancel(self, endpoint: Any, request_id: str) -> None:
        """Cancels a request at its engine without waiting for the response."""
        gevent.spawn(self._cancel, endpoint.address, request_id)

    def mark_dead(self, endpoint: Any, incarnation: str) -> None:
        """Marks an incarnation as dead and discards what is known of its cache."""
        self._kernel.lookup("membership").mark_dead(endpoint.id, incarnation)
        self._kernel.lookup("placement").drop(endpoint.id, incarnation)

    def _open(
        self,
        call: ModelCall,
        endpoint: Any,
        incarnation: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> PooledResponse:
        headers = dict(_JSON)
        headers["X-Request-Id"] = call.request_id
        pool = self._kernel.lookup("pool")
        try:
            with call.watch:
                response = pool.open(endpoint, method, path, headers, body)
                if _may_be_copy(response, call):
                    # Closing the connection ends the request at the engine.
                    response.close()
                    response = pool.open(endpoint, method, path, headers, body, fresh=True)
        except EndpointFailedError as error:
            if is_refused(error):
                self.mark_dead(endpoint, incarnation)
            raise
        if _may_be_copy(response, call):
            response.close()
            raise EndpointFailedError(
                f"engine {endpoint.id} returned the response of another request; see its log",
                ran=Ran.MAY_HAVE_RUN,
            )
        if response.status != 200:
            if "x-request-id" not in response.headers:
                # A later refusal on the connection could be a copy of this one.
                response.forgo_reuse()
            raise _refused_error(endpoint, response)
        return response

    def _cancel(self, address: str, request_id: str) -> None:
        try:
            self._engines.cancel(address, request_id)
        except RouterError:
            # The engine ends the request when its connection closes; a dead engine runs nothing.
            return

    def _candidate(self, state: Any, version: str) -> Candidate:
        return Candidate(
            endpoint=state.id,
            incarnation=state.incarnation,
            zone=state.zone,
            queued_tokens=state.queued_tokens,
            running=state.running,
            version=version,
            import_available=self._import_kv,
        )


def cache_salt(account: str) -> str:
    """Returns the cache salt that isolates an account's cached blocks at the engines."""
    return f"account:{account}"


def _has_version(state: Any, version: str) -> bool:
    return version in state.versions or (not state.versions and state.version == version)


def _may_be_copy(response: PooledResponse, call: ModelCall) -> bool:
    """Returns whether a refusal may be a late copy of that of an earlier request.

    Each event of a stream bears the id of its request instead.
    """
    echoed = response.headers.get("x-request-id")
    is_other = echoed is not None or response.reading.is_reused
    return response.status != 200 and echoed != call.request_id and is_other


def _refused_error(endpoint: Any, response: PooledResponse) -> RouterError:
    parsed = parse_json(response.read_whole())
    code = error_code(parsed)
    if 400 <= response.status < 500 and response.status not in _RETRYABLE_STATUSES:
        return BadRequestError(
            f"the engine refused the request with status {response.status} {code}; correct it",
            ran=Ran.MAY_HAVE_RUN,
        )
    return EndpointFailedError(
        f"engine {endpoint.id} returned status {response.status} {code}; see the engine's log",
        ran=Ran.MAY_HAVE_RUN,
        retry_after_s=NO_ENDPOINT_RETRY_S,
    )
