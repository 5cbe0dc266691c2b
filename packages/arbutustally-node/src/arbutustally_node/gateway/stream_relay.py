"""Relay of an event stream, which can continue at another endpoint after any complete event."""

from collections.abc import Callable
from enum import StrEnum

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import EndpointTimeoutError, RouterError
from arbutustally.gateway.events import EventError, WholeEvents
from arbutustally_node.caller_watch import CallerWatch
from arbutustally_node.framing import Framing
from arbutustally_node.gateway.caller import CallerConnection, Headers
from arbutustally_node.gateway.hedge import (
    HedgeController,
    OvertakenError,
    UnreachableError,
    WeightsExpiredError,
)
from arbutustally_node.gateway.transport import WEIGHTS_EXPIRED, died_in_body
from arbutustally_node.loop_turn import wait_for_turn
from arbutustally_node.pooled_response import PooledResponse

#: Time without a complete event after which the stream is also requested from another endpoint if
#: that is allowed, seconds. Callers disconnect after 2 s. Bytes of an incomplete event don't count.
SILENT_GAP_S = 0.8
#: The same before the first event, while the engine may be processing the prompt.
SILENT_START_S = 1.2


_EVENT_STREAM = "text/event-stream"


class RelayEnd(StrEnum):
    """How the relay from one endpoint ended."""

    COMPLETE = "stream_complete"
    BROKEN = "stream_broken"
    SILENT = "stream_silent"
    GONE = "stream_endpoint_gone"
    OUT_OF_TIME = "stream_out_of_time"
    EXPIRED = WEIGHTS_EXPIRED


class StreamRelay:
    """Passes complete events on to one caller, from one endpoint after another.

    :param connection: connection of the caller.
    :param headers: headers of the first endpoint's response, the only ones the caller receives.
    :param resumed_after: as for ``WholeEvents``.
    :param clock: steady clock, seconds.
    """

    def __init__(
        self, connection: CallerConnection, headers: Headers, resumed_after: str, clock: Clock
    ) -> None:
        self._connection = connection
        self._headers = headers
        self._clock = clock
        self._events = WholeEvents(resumed_after)
        self._passed_at = 0.0
        self._longest_gap_s = 0.0
        self._event_at = clock()
        self.began = False

    @property
    def longest_gap_s(self) -> float:
        """Returns the longest time between two events passed on, seconds."""
        return self._longest_gap_s

    @property
    def silent_s(self) -> float:
        """Returns the time since the last complete event or the start of the relay, seconds."""
        return self._clock() - self._event_at

    @property
    def last_id(self) -> str:
        """Returns the id of the last event that the caller has."""
        return self._events.last_id

    def has_media_type(self, headers: Headers) -> bool:
        """Returns whether a response may belong to the stream by its media type.

        :param headers: headers of the response.
        """
        return _media_type(headers) in (_EVENT_STREAM, _media_type(self._headers))

    @property
    def is_resumable(self) -> bool:
        """Returns whether the stream can continue after the last event passed on."""
        return not self.began or self._events.is_resumable

    def run(
        self,
        response: PooledResponse,
        left_s: float,
        watch: CallerWatch,
        on_first: Callable[[float], None],
        hedging: HedgeController,
    ) -> RelayEnd:
        """Passes on events until the stream ends.

        :param response: response of the endpoint.
        :param left_s: time until the deadline, seconds.
        :param watch: detects that the caller disconnects.
        :param on_first: called with the time of the first event from this endpoint.
        :param hedging: hedging of the attempt, which abandons the endpoint if it is silent and
            another one has answered or it is unreachable.
        :raises CallerGoneError: if the caller disconnects.
        :raises OSError: if writing to the caller fails.
        """
        self._events.restart()
        try:
            with gevent.Timeout(max(left_s, 0.001), _OutOfTimeError):
                return self._relay(response, watch, on_first, hedging)
        except OvertakenError:
            response.close()
            return RelayEnd.SILENT
        except UnreachableError:
            response.close()
            return RelayEnd.GONE
        except WeightsExpiredError:
            response.close()
            return RelayEnd.EXPIRED
        except _OutOfTimeError:
            response.close()
            return RelayEnd.OUT_OF_TIME
        except EndpointTimeoutError:
            response.close()
            return RelayEnd.SILENT
        except (RouterError, EventError):
            response.close()
            return RelayEnd.BROKEN
        except BaseException:
            response.close()
            raise

    def _relay(
        self,
        response: PooledResponse,
        watch: CallerWatch,
        on_first: Callable[[float], None],
        hedging: HedgeController,
    ) -> RelayEnd:
        is_first = True
        self._event_at = self._clock()
        while True:
            silent_s = SILENT_START_S if is_first else SILENT_GAP_S
            with watch, hedging.watch(self._event_at + silent_s - self._clock()):
                whole = self._next_events(response)
            if not whole:
                break
            hedging.record_data()
            self._event_at = self._clock()
            if is_first:
                on_first(self._event_at)
                is_first = False
            self._pass_on(whole, response)
        if self._events.rest or self._events.is_event_missing:
            return RelayEnd.BROKEN
        if not self._may_end_with(response):
            return RelayEnd.BROKEN
        if not self.began:
            self._begin(self._events.held, response)
        elif self._events.held:
            self._connection.send_part(self._events.held)
        self._connection.end()
        return RelayEnd.COMPLETE

    def _next_events(self, response: PooledResponse) -> bytes:
        """Returns the next complete events, empty at the end of the body.

        Bytes without an event do not end the wait, so that the limits on silence apply to it.
        """
        while True:
            if self._events.has_more:
                wait_for_turn()
                data = b""
            elif not (data := response.read()):
                return b""
            if whole := self._events.feed(data):
                return whole

    def _may_end_with(self, response: PooledResponse) -> bool:
        """Returns whether the caller can be told that the stream is complete.

        A response without a marked end may also be cut by an orderly close. The caller of a
        stream that began with such a response knows no more than the node; one of a chunked stream
        takes the last chunk as proof. Without an event the response is taken for a cut one.
        """
        if response.reading.framing is not Framing.CLOSE:
            return True
        is_open = self.began and self._connection.framing is Framing.CLOSE
        return is_open and not died_in_body(response)

    def _pass_on(self, whole: bytes, response: PooledResponse) -> None:
        now = self._clock()
        if self.began:
            self._longest_gap_s = max(self._longest_gap_s, now - self._passed_at)
        self._passed_at = now
        if self.began:
            self._connection.send_part(whole)
        else:
            self._begin(whole, response)

    def _begin(self, first: bytes, response: PooledResponse) -> None:
        self.began = True
        is_marked = response.reading.framing is not Framing.CLOSE
        framing = Framing.CHUNKED if is_marked else Framing.CLOSE
        self._connection.begin(200, self._headers, first, framing)


def _media_type(headers: Headers) -> str:
    """Returns the media type without parameters, empty if none is stated."""
    stated = [value for name, value in headers if name.lower() == "content-type"]
    return stated[0].partition(";")[0].strip().lower() if stated else ""


class _OutOfTimeError(Exception):
    """The caller's deadline or the route's timeout has passed."""
