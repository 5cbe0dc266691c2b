"""Relay of an event stream, which may go on at another endpoint after any whole event."""

from collections.abc import Callable
from enum import StrEnum

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import EndpointTimeoutError, RouterError
from arbutustally.gateway.events import EventError, WholeEvents
from arbutustally_node.caller_watch import CallerWatch
from arbutustally_node.gateway.caller import CallerConnection, Headers
from arbutustally_node.gateway.hedge import Hedge, OvertakenError, UnreachableError
from arbutustally_node.pool import PooledResponse

#: Time without a whole event after which a stream is sought elsewhere if it may go on there,
#: seconds; callers leave at two. Bytes of an event that does not end do not count.
SILENT_GAP_S = 0.8
#: The same before the first event, when the engine may be reading the prompt.
SILENT_START_S = 1.2


class RelayEnd(StrEnum):
    """How the relay from one endpoint ended."""

    COMPLETE = "stream_complete"
    BROKEN = "stream_broken"
    SILENT = "stream_silent"
    GONE = "stream_endpoint_gone"
    OUT_OF_TIME = "stream_out_of_time"


class StreamRelay:
    """Passes whole events on to one caller, from one endpoint after the other.

    :param headers: of the first endpoint's answer; the caller sees these only.
    """

    def __init__(self, connection: CallerConnection, headers: Headers, clock: Clock) -> None:
        self._connection = connection
        self._headers = headers
        self._clock = clock
        self._events = WholeEvents()
        self._passed_at = 0.0
        self._longest_gap_s = 0.0
        self._event_at = clock()
        self.began = False

    @property
    def longest_gap_s(self) -> float:
        """Returns the longest time between two events that were passed on, seconds."""
        return self._longest_gap_s

    @property
    def silent_s(self) -> float:
        """Returns the time since the last whole event, or since the relay began, seconds."""
        return self._clock() - self._event_at

    @property
    def last_id(self) -> str:
        """Returns the id of the last event that was passed on."""
        return self._events.last_id

    def run(
        self,
        response: PooledResponse,
        left_s: float,
        watch: CallerWatch,
        on_first: Callable[[float], None],
        hedge: Hedge,
    ) -> RelayEnd:
        """Passes on events until the stream ends.

        :param on_first: called with the time of the first event of this endpoint.
        :param hedge: of the attempt; the endpoint is left only once another one has answered.
        :raises CallerGoneError: if the caller leaves.
        :raises OSError: if the caller can't be written to.
        """
        self._events.restart()
        try:
            with gevent.Timeout(max(left_s, 0.001), _OutOfTimeError):
                return self._relay(response, watch, on_first, hedge)
        except OvertakenError:
            response.close()
            return RelayEnd.SILENT
        except UnreachableError:
            response.close()
            return RelayEnd.GONE
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
        hedge: Hedge,
    ) -> RelayEnd:
        is_first = True
        self._event_at = self._clock()
        while True:
            silent_s = SILENT_START_S if is_first else SILENT_GAP_S
            with watch, hedge.watch(self._event_at + silent_s - self._clock()):
                data = response.read()
            if not data:
                break
            whole = self._events.feed(data)
            if not whole:
                continue
            hedge.heard()
            self._event_at = self._clock()
            if is_first:
                on_first(self._event_at)
                is_first = False
            self._pass_on(whole)
        if self._events.rest:
            return RelayEnd.BROKEN
        if not self.began:
            self._begin(b"")
        self._connection.end()
        return RelayEnd.COMPLETE

    def _pass_on(self, whole: bytes) -> None:
        now = self._clock()
        if self.began:
            self._longest_gap_s = max(self._longest_gap_s, now - self._passed_at)
        self._passed_at = now
        if self.began:
            self._connection.send_piece(whole)
        else:
            self._begin(whole)

    def _begin(self, first: bytes) -> None:
        self.began = True
        self._connection.begin(200, self._headers, first)


class _OutOfTimeError(Exception):
    """The caller's deadline or the route's timeout has passed."""
