"""HTTP calls with a limit on the size and the total time of the response."""

from collections.abc import Mapping
from dataclasses import dataclass

import gevent

from arbutustally.errors import EndpointTimeoutError, Ran
from arbutustally_node.pool import PoolService


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


def call(
    pools: PoolService,
    address: str,
    method: str,
    target: str,
    *,
    max_bytes: int,
    total_s: float,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    fresh: bool = False,
) -> CompleteResponse:
    """Makes a call and returns its complete response.

    :param max_bytes: largest response body.
    :param total_s: timeout for the complete response; bytes that arrive slowly do not extend it.
    :param fresh: use a new connection.
    :raises RouterError: if no complete response was received.
    """
    response = None
    try:
        with gevent.Timeout(total_s, _LateError):
            response = pools.open(
                CallTarget(address), method, target, headers or {}, body, total_s, fresh
            )
            data = response.read_whole(max_bytes)
            return CompleteResponse(response.status, tuple(response.header_items), data)
    except _LateError as error:
        raise EndpointTimeoutError(
            f"{address} did not respond in time; check its load", ran=Ran.MAY_HAVE_RUN
        ) from error
    finally:
        if response is not None:
            response.close()


class _LateError(Exception):
    """The response was not complete in time."""
