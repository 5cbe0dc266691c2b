"""Receive queues of callers' connections, whose bytes count as memory of the process."""

import contextlib
import math
import socket
from dataclasses import dataclass
from typing import Any

from arbutustally.gateway.memory_account import MIB

#: Fractions of the memory for the least queues of all connections, for what accepted connections
#: have beyond that, and for wide queues.
LEAST_FRACTION = 1 / 8
ACCEPTED_FRACTION = 1 / 8
WIDE_FRACTION = 1 / 16
#: Connections beside which a further one still has half of the size of the first.
FEW_CONNECTIONS = 64
#: Smallest queue, bytes. On processes of less than 252 MiB, all of them exceed their fraction.
LEAST_BYTES = 8 << 10
#: Twice the largest window of a connection whose listening socket has small queues, as it cannot be
#: scaled.
WIDE_BYTES = 128 << 10


@dataclass(frozen=True)
class QueueSizes:
    """Sizes that keep all queues within a part of the memory, however many callers connect.

    :ivar waiting: bytes of a connection until it is accepted, and at least afterwards.
    :ivar shared: bytes that accepted connections divide.
    :ivar wide: connections that may have a wide queue at once.
    """

    waiting: int
    shared: int
    wide: int

    @classmethod
    def from_config(cls, memory_mb: int, backlog: int, connections: int) -> "QueueSizes":
        """Returns the sizes for a process.

        :param memory_mb: memory of the process, MiB.
        :param backlog: connections that wait to be accepted at most.
        :param connections: accepted connections at most.
        """
        memory = memory_mb * MIB
        waiting = int(memory * LEAST_FRACTION / (backlog + connections))
        # Approximates the sum of 1 / (FEW_CONNECTIONS + n) over all connections.
        parts = math.log1p(connections / FEW_CONNECTIONS)
        shared = int(memory * ACCEPTED_FRACTION / parts)
        wide = max(1, int(memory * WIDE_FRACTION / WIDE_BYTES))
        return cls(min(max(waiting, LEAST_BYTES), WIDE_BYTES), shared, wide)

    def accepted(self, others: int) -> int:
        """Returns the bytes of a connection that is accepted beside others."""
        return min(max(self.shared // (FEW_CONNECTIONS + others), self.waiting), WIDE_BYTES)


class ReceiveQueues:
    """Bounds the receive queues of one listener's connections.

    :param sizes: ``None`` to leave the queues to the system.
    """

    def __init__(self, sizes: QueueSizes | None) -> None:
        self._sizes = sizes
        self._wide: set[Any] = set()

    def bound_listener(self, sock: Any) -> None:
        """Bounds the queues of connections that a listening socket has not accepted."""
        if self._sizes is not None:
            bound_queue(sock, self._sizes.waiting)

    def bound_accepted(self, sock: Any, others: int) -> None:
        """Bounds the queue of a connection that is accepted beside others."""
        if self._sizes is not None:
            bound_queue(sock, self._sizes.accepted(others))

    def widen(self, sock: Any) -> None:
        """Lets large requests on a connection arrive faster, if few others have a wide queue.

        The queue stays wide: a queue that shrinks delays callers with large segments.
        """
        if self._sizes is not None and len(self._wide) < self._sizes.wide:
            self._wide.add(sock)
            bound_queue(sock, WIDE_BYTES)

    def forget(self, sock: Any) -> None:
        """Releases a connection that ends."""
        self._wide.discard(sock)


def bound_queue(sock: Any, size: int) -> None:
    """Bounds the receive queue of a socket, which also ends its growth by the system.

    :param size: bytes.
    """
    with contextlib.suppress(OSError):
        # The kernel doubles the value.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)
