"""Checks whether endpoints can be reached, without risking a request.

An endpoint that one node could not reach is checked by every node separately, since the network
path may be broken for some nodes only. It gets requests again once a connection succeeds.
"""

import errno

import gevent
from gevent import socket as gevent_socket

from arbutustally.clock import Clock
from arbutustally.gateway.endpoint_state import EndpointState, FailedCheck
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally_node.gateway.decision_log import DecisionLog

#: Timeout of a connection attempt, seconds.
CONNECT_TIMEOUT_S = 0.2
#: Pause between two checks, seconds.
PAUSE_S = 0.4
#: Shortest interval between two checks of an endpoint that is slow to answer, seconds.
SILENT_INTERVAL_S = 1.0
#: Errors caused by this process and not by the endpoint.
LOCAL_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL})
#: Errors that show that no process listens at the address, unlike a connection timeout.
REFUSALS = frozenset({errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH})


class EndpointChecker:
    """Checks endpoints that are considered down."""

    def __init__(self, book: EndpointBook, log: DecisionLog, clock: Clock) -> None:
        self._book = book
        self._log = log
        self._clock = clock
        self._checking: set[str] = set()

    def unreachable(self, state: EndpointState) -> None:
        """Records that a request could not connect to the endpoint, and starts checks."""
        if not state.is_down:
            self._log.line("endpoint_unreachable", endpoint=state.id, found_by="request")
        self._book.unreachable(state)
        self.check(state)

    def check(self, state: EndpointState) -> None:
        """Starts checks that repeat until the endpoint can be reached or is removed."""
        if state.id in self._checking:
            return
        self._checking.add(state.id)
        gevent.spawn(self._check, state)

    def check_silent(self, state: EndpointState) -> None:
        """Checks an endpoint that keeps a request waiting, once per ``SILENT_INTERVAL_S`` at most."""
        now = self._clock()
        if now - state.checked_at >= SILENT_INTERVAL_S:
            state.checked_at = now
            self.check(state)

    def _check(self, state: EndpointState) -> None:
        try:
            while self._book.get(state.id) is state and not state.is_replaced:
                if self._book.is_paused(state):
                    gevent.sleep(PAUSE_S)
                    continue
                began = self._clock()
                error = _connect_error(state.address)
                if error is None:
                    if state.is_down:
                        self._log.line("endpoint_reachable", endpoint=state.id)
                    self._book.reachable(state)
                    return
                if not state.is_down:
                    self._log.line("endpoint_unreachable", endpoint=state.id, found_by="check")
                self._book.unreachable(state)
                state.failed_checks.append(FailedCheck(began, error.errno in REFUSALS))
                gevent.sleep(PAUSE_S)
        finally:
            self._checking.discard(state.id)


def refuses_connections(address: str) -> bool:
    """Returns whether no process listens at the address."""
    error = _connect_error(address)
    return error is not None and error.errno in REFUSALS


def has_no_listener(address: str) -> bool:
    """Returns whether the host of the address answers that no process listens there."""
    error = _connect_error(address)
    return error is not None and error.errno == errno.ECONNREFUSED


def _connect_error(address: str) -> OSError | None:
    """Returns the error of a connection attempt, ``None`` on success or after a local error."""
    host, _, port = address.rpartition(":")
    try:
        gevent_socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except OSError as error:
        return None if error.errno in LOCAL_ERRORS else error
    return None
