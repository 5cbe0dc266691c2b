"""Sizes of the receive queues of callers' connections, as the system keeps them."""

import fcntl
import socket
import struct
import termios
import time
import unittest

from arbutustally.gateway.memory_account import MIB
from arbutustally_node.gateway.receive_queues import (
    ACCEPTED_FRACTION,
    LEAST_BYTES,
    LEAST_FRACTION,
    WIDE_BYTES,
    WIDE_FRACTION,
    QueueSizes,
    ReceiveQueues,
)

BACKLOG = 1024
CONNECTIONS = 3000
#: Connections of an ordinary process.
FEW = 100
#: Memory of processes, MiB: the smallest and largest for which operators declare one, and more.
MEMORIES = (128, 150, 552, 4096)
SENT_BYTES = 4 << 20
SENDING_S = 0.5


class QueueSizesTest(unittest.TestCase):
    def test_all_queues_together_stay_within_their_part(self) -> None:
        """Guards against queues that take the memory of the process once many callers connect."""
        for memory_mb in MEMORIES:
            with self.subTest(memory_mb=memory_mb):
                sizes = QueueSizes.from_config(memory_mb, BACKLOG, CONNECTIONS)
                memory = memory_mb * MIB
                least = max(memory * LEAST_FRACTION, (BACKLOG + CONNECTIONS) * LEAST_BYTES)
                self.assertLessEqual(sizes.waiting * (BACKLOG + CONNECTIONS), least)
                self.assertLessEqual(sizes.wide * WIDE_BYTES, memory * WIDE_FRACTION)
                # Each has at least the size of one that waits.
                accepted = sum(sizes.accepted(others) for others in range(CONNECTIONS))
                bound = memory * ACCEPTED_FRACTION + CONNECTIONS * sizes.waiting
                self.assertLessEqual(accepted, bound)

    def test_few_connections_have_larger_queues(self) -> None:
        """Guards against small queues in calm."""
        sizes = QueueSizes.from_config(150, BACKLOG, CONNECTIONS)
        self.assertGreater(sizes.accepted(0), 3 * sizes.waiting)
        self.assertGreater(sizes.accepted(FEW), sizes.waiting)


class ReceiveQueuesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sizes = QueueSizes(waiting=8 << 10, shared=32 << 16, wide=1)
        self.queues = ReceiveQueues(self.sizes)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.queues.bound_listener(self.listener)

    def test_connection_that_is_not_accepted_is_bounded(self) -> None:
        """Guards against callers that fill the queues of connections in the backlog."""
        caller, near = self.connect()
        self.assertLessEqual(self.fill(caller, near), 2 * self.sizes.waiting)

    def test_accepted_connection_is_bounded(self) -> None:
        """Guards against queues that the system lets grow while a request runs."""
        caller, near = self.connect()
        self.queues.bound_accepted(near, 0)
        unread = self.fill(caller, near)
        self.assertLessEqual(unread, 2 * self.sizes.accepted(0))
        self.assertGreater(unread, self.sizes.waiting)

    def test_few_connections_are_wide(self) -> None:
        """Guards against a crowd that has a wide queue on each connection."""
        pairs = [self.connect() for _ in range(3)]
        for _caller, near in pairs[:2]:
            self.queues.bound_accepted(near, 0)
            self.queues.widen(near)
        first, second = (self.fill(*pair) for pair in pairs[:2])
        self.assertLessEqual(first, WIDE_BYTES)
        self.assertLessEqual(second, 2 * self.sizes.accepted(0))
        self.assertGreater(first, second)
        self.queues.forget(pairs[0][1])
        self.queues.bound_accepted(pairs[2][1], 0)
        self.queues.widen(pairs[2][1])
        self.assertGreater(self.fill(*pairs[2]), second)

    def connect(self) -> tuple[socket.socket, socket.socket]:
        caller = socket.create_connection(self.listener.getsockname())
        near, _address = self.listener.accept()
        for sock in (caller, near):
            self.addCleanup(sock.close)
        return caller, near

    def fill(self, caller: socket.socket, near: socket.socket) -> int:
        """Returns the bytes that wait unread once the caller has sent all that it can."""
        caller.setblocking(False)
        deadline = time.monotonic() + SENDING_S
        while time.monotonic() < deadline:
            try:
                caller.send(bytes(SENT_BYTES))
            except BlockingIOError:
                time.sleep(0.01)
        return struct.unpack("i", fcntl.ioctl(near, termios.FIONREAD, bytes(4)))[0]


if __name__ == "__main__":
    unittest.main()
