"""Idle connections of one listener, which are closed if further callers need their places."""

import contextlib
import select
import socket
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import monkey
from gevent.pool import Pool

from arbutustally.clock import monotonic

#: Interval at which idle connections are closed while no further one is accepted, seconds.
FULL_CHECK_S = 0.25
#: Fraction of the connections that are closed then, and how long they have been idle, seconds.
CLOSED_FRACTION = 0.125
LEAST_IDLE_S = 1.0

# gevent's own poll switches to other greenlets, so that a request could arrive after the check.
_poll = monkey.get_original("select", "poll")


@dataclass(frozen=True)
class IdleConnection:
    """A connection on which no request has begun, or whose request has no complete head.

    :ivar caller: address of the caller, without its port.
    :ivar since: when the head began, otherwise when the last request ended or the connection was
        accepted, seconds.
    """

    caller: str
    since: float


class IdleConnections:
    """Connections that are idle, and the number of all connections by caller."""

    def __init__(self) -> None:
        self._idle: dict[Any, IdleConnection] = {}
        self._callers: Counter[str] = Counter()

    @contextmanager
    def connected(self, caller: str) -> Iterator[None]:
        """Counts a connection of a caller while it is open."""
        self._callers[caller] += 1
        try:
            yield
        finally:
            self._callers[caller] -= 1
            if not self._callers[caller]:
                del self._callers[caller]

    def begin(self, sock: Any, caller: str) -> None:
        """Notes that a connection is idle from now on."""
        self._idle[sock] = IdleConnection(caller, monotonic())

    def end(self, sock: Any) -> None:
        """Notes that the head of a request was read, or that the connection ends."""
        self._idle.pop(sock, None)

    def close_all(self) -> None:
        """Closes the connections on which nothing has arrived."""
        for sock in list(self._idle):
            _close(sock)

    def keep_room(self, pool: Pool) -> None:
        """Closes some while all places are taken, so that further callers are accepted.

        Callers with few connections keep theirs. This never returns.

        :param pool: has a place for each connection.
        """
        while True:
            gevent.sleep(FULL_CHECK_S)
            if not pool.full():
                continue
            number = max(1, int(pool.size * CLOSED_FRACTION))
            for sock in longest_idle(self._idle, self._callers, monotonic())[:number]:
                _close(sock)


def longest_idle(
    idle: Mapping[Any, IdleConnection], callers: Mapping[str, int], now: float
) -> list[Any]:
    """Returns the connections to close if all are taken, in this order.

    Those of callers with the most connections come first, of these the longest idle.

    :param callers: number of connections by address of the caller.
    """
    found = [sock for sock, one in idle.items() if now - one.since >= LEAST_IDLE_S]
    return sorted(found, key=lambda sock: (-callers[idle[sock].caller], idle[sock].since))


def _close(sock: Any) -> None:
    # A shutdown would not discard a request that has arrived, but its response.
    if _is_readable(sock):
        return
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _is_readable(sock: Any) -> bool:
    poll = _poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
