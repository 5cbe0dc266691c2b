"""Calls to plain services: selects an instance and makes one attempt."""

import random
from typing import Any

from arbutustally.engine_client import is_refused
from arbutustally.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    NoEndpointError,
    Ran,
)
from arbutustally_node.calls import PlainCall, PlainResponse
from arbutustally_node.framing import Framing
from arbutustally_node.kernel import Kernel
from arbutustally_node.pool import REQUEST_ID_HEADER

NO_ENDPOINT_RETRY_S = 1.0

_DROPPED_RESPONSE_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer", "te"}
    | {"proxy-authenticate", "server", "date", "x-request-id"}
)


class PlainDispatcher:
    """Sends a call to one instance of a service.

    :param kernel: finds ``membership`` and ``pool``.
    :param rng: breaks ties between instances with the same load.
    """

    def __init__(self, kernel: Kernel, rng: random.Random) -> None:
        self._kernel = kernel
        self._rng = rng

    def choose(self, service: str, tried: set[str]) -> Any:
        """Returns one of the instances with the fewest running requests.

        :param tried: endpoint ids that could not be reached.
        :raises NoEndpointError: if there is none.
        """
        states = [
            state
            for state in self._kernel.lookup("membership").endpoints(service)
            if not state.leaving and state.id not in tried
        ]
        if not states:
            raise NoEndpointError(
                f"no instance of {service} can take the request; check that instances run and "
                "are not leaving",
                retry_after_s=NO_ENDPOINT_RETRY_S,
            )
        least = min(state.running for state in states)
        return self._rng.choice([state for state in states if state.running == least])

    def send(self, call: PlainCall, endpoint: Any, fresh: bool) -> PlainResponse:
        """Sends the call once and returns the complete response.

        :raises RouterError: ``NOT_RUN`` only if no byte was sent.
        """
        headers = dict(call.headers)
        headers[REQUEST_ID_HEADER] = call.request_id
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        pool = self._kernel.lookup("pool")
        try:
            response = pool.open(
                endpoint, call.method, call.path, headers, call.body or None, fresh=fresh
            )
        except EndpointFailedError as error:
            if is_refused(error):
                self._kernel.lookup("membership").mark_dead(endpoint.id, endpoint.incarnation)
            raise
        echoed = response.headers.get("x-request-id")
        if echoed is None and not response.reading.is_reused:
            response.forgo_reuse()
        elif echoed != call.request_id:
            response.close()
            raise EndpointFailedError(
                f"{endpoint.id} returned the response of another request; find out at the service "
                "whether this one ran",
                ran=Ran.MAY_HAVE_RUN,
            )
        body = response.read_whole()
        if response.reading.framing is Framing.CLOSE:
            # An orderly close may also have cut the body.
            raise EndpointFailedError(
                f"{endpoint.id} did not mark the end of its response; make the service send a "
                "length or chunks",
                ran=Ran.MAY_HAVE_RUN,
            )
        ran = Ran.RAN if response.status < 500 else Ran.MAY_HAVE_RUN
        kept = {
            name: value
            for name, value in response.headers.items()
            if name not in _DROPPED_RESPONSE_HEADERS
        }
        return PlainResponse(response.status, kept, body, ran)


ATTEMPT_ERRORS = (EndpointFailedError, EndpointTimeoutError)
