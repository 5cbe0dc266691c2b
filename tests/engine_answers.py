"""Responses of stand-in engines, and helpers that change how requests wait for them."""

import errno
from unittest import mock

import gevent
from bottle import HTTPResponse

from arbutustally_node.gateway import endpoint_check
from arbutustally_node.gateway.node import GatewayNode

#: Longer than any pause after which a node sends a hedge, seconds.
LONG_PAUSE_S = 2.4

#: Errors with which checks of endpoints fail.
REFUSED = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
TIMED_OUT = TimeoutError("timed out")


def events(first: int, last: int) -> bytes:
    """Returns complete events of a stream."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(first, last + 1)
    )


def head(headers: dict[str, str]) -> dict[str, str]:
    """Returns the headers that an engine sends with each response."""
    return {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}


def signed(headers: dict[str, str], body) -> HTTPResponse:
    """Returns an engine's response with a body in chunks."""
    return HTTPResponse(body=body, headers=head(headers))


def full(headers: dict[str, str]) -> HTTPResponse:
    """Returns the refusal of an engine at capacity."""
    return HTTPResponse(status=503, headers={**head(headers), "Not-Executed": "1"})


def steady_stream(headers: dict[str, str]) -> HTTPResponse:
    """Returns a stream of three seconds without a pause."""

    def body():
        for number in range(1, 31):
            gevent.sleep(0.1)
            yield events(number, number)

    return signed(headers, body())


def connects_fail(error: OSError):
    """Makes all checks of endpoints fail with ``error``."""
    return mock.patch.object(endpoint_check, "_connect_error", return_value=error)


def use_up_repeat_budget(node: GatewayNode) -> None:
    """Uses up a node's repeat budget for the engines."""
    while node._services.state.repeats.take("llm"):
        pass
