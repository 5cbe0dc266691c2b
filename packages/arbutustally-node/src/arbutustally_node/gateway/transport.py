"""Sending of one attempt to one endpoint and classification of its response."""

import math
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass

import gevent

from arbutustally.clock import monotonic
from arbutustally.engine_client import is_refused
from arbutustally.errors import EndpointFailedError, EndpointTimeoutError, Ran, RouterError
from arbutustally.gateway.attempts import Outcome
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.events import EventError, WholeEvents
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.framing import Framing
from arbutustally_node.gateway.endpoint_check import refuses_connections
from arbutustally_node.gateway.hedge import (
    OvertakenError,
    UnreachableError,
    WeightsExpiredError,
)
from arbutustally_node.gateway.ports import AnswerTerms, AttemptTerms, HttpCodec
from arbutustally_node.loop_turn import wait_for_turn
from arbutustally_node.pool import PoolService
from arbutustally_node.pooled_response import AnswerMemory, PooledResponse
from arbutustally_node.response_reading import ResponseReading

#: Largest response that is read completely before it is passed on, bytes.
MAX_WHOLE_ANSWER = 8 << 20
FIRST_FAILURE_STATUS = 500

#: Reasons of attempts that the endpoint did not run.
ENDPOINT_FULL = "endpoint_full"
OTHER_ENDPOINT = "other_endpoint"
OTHER_WEIGHTS = "other_weights"
#: Reason of an attempt whose endpoint did not answer in time, or not before another one.
ENDPOINT_SILENT = "endpoint_silent"
#: Reason of an attempt whose endpoint is silent and unreachable.
ENDPOINT_GONE = "endpoint_gone"
#: Reason of an attempt that had not begun when its weights were about to expire.
WEIGHTS_EXPIRED = "weights_expired"
#: Reason of a hedge whose endpoint sent only a part of an event while another attempt was running.
PARTIAL_EVENT = "partial_event"

#: Time after the first bytes of a hedge's stream within which its first event must be complete,
#: seconds. Two endpoints may work on a request for 0.4 s at most.
PARTIAL_EVENT_S = 0.25
#: Interval at which a later end of that time is checked again, seconds.
PARTIAL_EVENT_CHECK_S = 0.05


@dataclass
class AttemptResult:
    """Result of an attempt.

    :ivar outcome: decides whether the request may be repeated.
    :ivar reason: stable identifier of the result in logs and counters.
    :ivar status: status of the endpoint's response, 0 without one.
    :ivar terms: decoded headers of the response, ``None`` without one.
    :ivar response: response whose body has not been read completely, otherwise ``None``.
    :ivar body: body of a response that was read completely.
    :ivar is_unreachable: whether no connection could be established.
    :ivar reading: how the response arrived, ``None`` without one.
    """

    outcome: Outcome
    reason: str
    status: int = 0
    terms: AnswerTerms | None = None
    response: PooledResponse | None = None
    body: bytes = b""
    is_unreachable: bool = False
    reading: ResponseReading | None = None

    def drop(self) -> None:
        """Closes a response that is not passed on."""
        if self.response is not None:
            self.response.close()


class Transport:
    """Sends attempts over pooled connections."""

    def __init__(self, pool: PoolService, codec: HttpCodec) -> None:
        self._pool = pool
        self._codec = codec

    def send(
        self,
        request: CallerRequest,
        state: EndpointState,
        terms: AttemptTerms,
        guard: AbstractContextManager[None],
        fresh: bool = False,
    ) -> AttemptResult:
        """Sends a request; returns the response head or the failure.

        :param request: request of the caller.
        :param state: endpoint to send it to.
        :param terms: contents of the attempt's own headers.
        :param guard: context manager that guards the wait for the response head.
        :param fresh: whether to open a new connection. On a reused one, a late duplicate of the
            response to an earlier attempt at the same endpoint would carry the same id and could
            not be distinguished from the response to this attempt.
        :raises CallerGoneError: if the caller disconnects meanwhile.
        """
        headers = self._codec.attempt_headers(request, terms)
        try:
            with guard, gevent.Timeout(terms.left_s, _HeadTimeoutError):
                response = self._pool.open(
                    state,
                    request.method,
                    request.target,
                    headers,
                    request.body or None,
                    terms.left_s,
                    fresh,
                )
        except (EndpointTimeoutError, OvertakenError, _HeadTimeoutError):
            return AttemptResult(Outcome.MAY_HAVE_RUN, ENDPOINT_SILENT)
        except UnreachableError:
            return AttemptResult(Outcome.MAY_HAVE_RUN, ENDPOINT_GONE)
        except WeightsExpiredError:
            return AttemptResult(Outcome.MAY_HAVE_RUN, WEIGHTS_EXPIRED)
        except EndpointFailedError as error:
            if error.ran is Ran.NOT_RUN:
                reason = "connection_refused" if is_refused(error) else "connect_timeout"
                return AttemptResult(Outcome.NOT_RUN, reason, is_unreachable=True)
            return AttemptResult(Outcome.MAY_HAVE_RUN, "connection_broken")
        result = self._judge(request, state, response)
        result.reading = response.reading
        return result

    def await_event(
        self,
        result: AttemptResult,
        left_s: float,
        guard: AbstractContextManager[None],
        resumed_after: str,
        is_other_running: Callable[[], bool],
    ) -> AttemptResult:
        """Waits for the first complete event of a stream without consuming it.

        A part of an event shows that the request runs. If the rest stays away, the attempt is
        abandoned while the request runs at another endpoint too.

        :param result: result of an answered attempt.
        :param left_s: time until the deadline, seconds.
        :param guard: context manager that guards the wait.
        :param resumed_after: as for ``WholeEvents``.
        :param is_other_running: returns whether another attempt of the request is running.
        """
        response = result.response
        arrived = bytearray()
        events = WholeEvents(resumed_after)
        whole = b""
        latest = math.inf
        try:
            with guard, gevent.Timeout(max(left_s, 0.001), _HeadTimeoutError):
                while not whole and (piece := _read_until(response, latest, is_other_running)):
                    latest = min(latest, monotonic() + PARTIAL_EVENT_S)
                    arrived += piece
                    whole = _first_events(events, piece)
        except UnreachableError:
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, ENDPOINT_GONE, result.status)
        except WeightsExpiredError:
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, WEIGHTS_EXPIRED, result.status)
        except _PartialEventError:
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, PARTIAL_EVENT, result.status)
        except (RouterError, EventError, _HeadTimeoutError):
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, "stream_broken", result.status)
        except BaseException:
            response.close()
            raise
        # A resumed stream without an event claims an end that the first endpoint hasn't reached.
        is_expected = bool(arrived or resumed_after)
        if is_expected and not (whole or events.held):
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, "stream_broken", result.status)
        response.put_back(bytes(arrived))
        return result

    def read_whole(
        self,
        result: AttemptResult,
        left_s: float,
        watch: Callable[[], AbstractContextManager[None]],
        memory: AnswerMemory | None = None,
    ) -> AttemptResult:
        """Reads the complete body of a response.

        :param result: result of an attempt whose response has not been read.
        :param left_s: time until the deadline, seconds.
        :param watch: returns the context manager that guards the wait for one chunk.
        :param memory: as for ``PooledResponse.read_whole``.
        :raises CallerGoneError: if the caller disconnects meanwhile.
        """
        response = result.response
        try:
            with gevent.Timeout(max(left_s, 0.001), _HeadTimeoutError):
                result.body = response.read_whole(MAX_WHOLE_ANSWER, watch, memory)
                if died_in_body(response):
                    return AttemptResult(Outcome.MAY_HAVE_RUN, "answer_broken", result.status)
        except OvertakenError:
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, ENDPOINT_SILENT, result.status)
        except UnreachableError:
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, ENDPOINT_GONE, result.status)
        except (RouterError, _HeadTimeoutError):
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, "answer_broken", result.status)
        except BaseException:
            response.close()
            raise
        result.response = None
        return result

    def _judge(
        self, request: CallerRequest, state: EndpointState, response: PooledResponse
    ) -> AttemptResult:
        """Classifies a response: usable, or not to be passed on to the caller."""
        terms = self._codec.decode_response(response.status, response.header_items)
        status = response.status
        response.reading.is_named = bool(terms.echoed_id)
        if not _is_answer_to(request, terms, response.reading):
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, "crossed_answer", status)
        if terms.is_not_run or terms.is_mismatched:
            response.settle()
            return AttemptResult(Outcome.NOT_RUN, _refusal(terms, state), status, terms)
        if not terms.is_signed:
            response.close()
            return AttemptResult(Outcome.MAY_HAVE_RUN, "unsigned_answer", status)
        outcome = Outcome.FAILED if status >= FIRST_FAILURE_STATUS else Outcome.ANSWERED
        return AttemptResult(outcome, f"status_{status}", status, terms, response)


def _read_until(
    response: PooledResponse, latest: float, is_other_running: Callable[[], bool]
) -> bytes:
    """Returns the next bytes of a body, empty at its end.

    :param latest: steady time after which there is no wait while another attempt is running.
    :raises _PartialEventError: if none arrived by then.
    """
    while True:
        wait_s = None if math.isinf(latest) else max(latest - monotonic(), PARTIAL_EVENT_CHECK_S)
        with gevent.Timeout(wait_s, False):
            return response.read()
        if is_other_running():
            raise _PartialEventError


def _first_events(events: WholeEvents, data: bytes) -> bytes:
    """Returns the first events that are complete with ``data``, empty if none are."""
    whole = events.feed(data)
    while not whole and events.has_more:
        wait_for_turn()
        whole = events.feed(b"")
    return whole


def _is_answer_to(request: CallerRequest, terms: AnswerTerms, reading: ResponseReading) -> bool:
    """Returns whether a response belongs to a request.

    Without an id, it may be a late copy of the response to an earlier request on its connection.
    """
    if not terms.echoed_id:
        return not reading.is_reused
    return terms.echoed_id == request.request_id


def died_in_body(response: PooledResponse) -> bool:
    """Returns whether a body that was read may be cut because its endpoint's process has ended.

    The kernel closes the connections of a killed process in an orderly way, which also is the end
    of a body without a marked end.
    """
    if response.reading.framing is not Framing.CLOSE:
        return False
    return refuses_connections(response.address)


def _refusal(terms: AnswerTerms, state: EndpointState) -> str:
    if not terms.is_mismatched:
        return ENDPOINT_FULL
    is_other = terms.endpoint_id not in ("", state.id)
    return OTHER_ENDPOINT if is_other else OTHER_WEIGHTS


class _PartialEventError(Exception):
    """The rest of an event stays away while the request runs at another endpoint too."""


class _HeadTimeoutError(Exception):
    """The head or the body of a response did not arrive before the deadline."""
