"""HTTP calls with a limit on the size and the total time of the response.

A server may send a response twice, the second time late: on a kept connection the copy arrives in
place of the response to the next call. The caller of ``call`` decides whether a response answers its
call, or uses a new connection.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent

from arbutustally.errors import EndpointFailedError, EndpointTimeoutError, Ran
from arbutustally_node.pool import PoolService
from arbutustally_node.pooled_response import AnswerMemory, PooledResponse
from arbutustally_node.response_budget import ResponseBudget


@dataclass(frozen=True)
class CallTarget:
    """An address in the form in which the pool expects endpoints."""

    address: str


@dataclass(frozen=True)
class CompleteResponse:
    """A response that was read completely.

    :ivar headers: as sent, in order.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallPools(PoolService):
    """Connections for calls; those to one address can be dropped."""

    def drop(self, address: str) -> None:
        """Closes the connections to an address, those in use at the end of their calls."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()


def call(
    pools: CallPools,
    address: str,
    method: str,
    target: str,
    *,
    max_bytes: int,
    total_s: float,
    budget: ResponseBudget,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    fresh: bool = False,
    is_answer: Callable[[CompleteResponse], bool] = lambda _response: True,
) -> CompleteResponse:
    """Makes a call and returns its complete response.

    :param max_bytes: largest response body.
    :param total_s: timeout for the complete response; bytes that arrive slowly do not extend it.
    :param budget: memory of the responses to such calls, held until ``is_answer`` has returned.
    :param fresh: use a new connection, on which no copy of an earlier response can arrive.
    :param is_answer: returns whether a response answers this call. If not, all connections to the
        address are dropped: the true response, or a further copy, may still arrive.
    :raises RouterError: if no complete response was received, or one that answers another call.
    """

    def open_response() -> PooledResponse:
        endpoint = CallTarget(address)
        return pools.open(endpoint, method, target, headers or {}, body, total_s, fresh)

    with budget.response() as memory:
        try:
            with gevent.Timeout(total_s, _LateError):
                complete = _complete(open_response(), max_bytes, memory)
        except _LateError as error:
            raise EndpointTimeoutError(
                f"{address} did not respond in time; check its load", ran=Ran.MAY_HAVE_RUN
            ) from error
        if not is_answer(complete):
            pools.drop(address)
            raise EndpointFailedError(
                f"{address} sent a response to another call; check it", ran=Ran.MAY_HAVE_RUN
            )
        return complete


def _complete(response: PooledResponse, max_bytes: int, memory: AnswerMemory) -> CompleteResponse:
    """Reads a response to its end, and closes it in any case."""
    try:
        data = response.read_whole(max_bytes, memory=memory)
    finally:
        response.close()
    return CompleteResponse(response.status, tuple(response.header_items), data)


class _LateError(Exception):
    """The response was not complete in time."""
