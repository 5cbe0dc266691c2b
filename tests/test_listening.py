"""A listener waits for a port that connections hold, and names them."""

import errno
import socket
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from arbutustally_node import listening
from arbutustally_node import port_holders as port_holders_module
from arbutustally_node.listening import listen
from arbutustally_node.port_holders import port_holders
from tests.ports import free_port


def connect_from(port: int, listener: socket.socket) -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a connection whose local port others may have too.

    The system gives one port of its range to several connections with different remote ends, and
    such a port is held without ``SO_REUSEADDR`` by each of them.
    """
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connection.bind(("127.0.0.1", port))
    connection.connect(listener.getsockname())
    return connection, listener.accept()[0]


def hold(connection: socket.socket) -> None:
    """Lets a connection keep its port from a listener, as one that the system gave a port does."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)


class ListenTest(unittest.TestCase):
    def setUp(self) -> None:
        self.port = free_port()
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        for listener in self.listeners:
            self.addCleanup(listener.close)

    def test_report_names_the_time_wait_of_a_second_connection(self) -> None:
        """Guards against a report that leaves to be guessed who holds the port: it stays in use
        after the end of one connection while another that had the same local port is in
        TIME_WAIT."""
        pairs = [connect_from(self.port, listener) for listener in self.listeners]
        for connection, _ in pairs:
            hold(connection)
        (first, first_far), (second, second_far) = pairs
        # The end that closes first goes to TIME_WAIT.
        for end in (first_far, first, second, second_far):
            end.close()
        instants = iter([0.0, 1.0, 1.0, 2.0, 1000.0, 1000.0])
        with patch.object(listening, "_log") as log, self.assertRaises(OSError) as caught:
            listen(f"127.0.0.1:{self.port}", clock=lambda: next(instants))
        self.assertEqual(caught.exception.errno, errno.EADDRINUSE)
        host, port = self.listeners[1].getsockname()
        self.assertEqual(
            [call.kwargs["holders"] for call in log.warning.call_args_list],
            [[f"TIME_WAIT to {host}:{port}"]],
        )

    def test_report_names_listeners_and_connections_of_both_families(self) -> None:
        """Guards against holders that are overlooked because they use IPv6 sockets."""
        with socket.socket(socket.AF_INET6) as other:
            other.bind(("::", self.port))
            other.listen()
            self.assertEqual(port_holders(self.port), ["LISTEN to :::0"])
        self.assertEqual(port_holders(self.port), [])

    def test_socket_that_the_kernel_lists_twice_is_reported_once(self) -> None:
        """Guards against a report that changes with the reading of a table under load."""
        row = "   7: 0100007F:1F90 0100007F:1F91 06 00000000:00000000 03:00001770 00000000 0 0 0\n"
        table = Path(self.enterContext(TemporaryDirectory())) / "tcp"
        table.write_text("  sl  local_address rem_address   st\n" + row * 2)
        with patch.object(port_holders_module, "TABLES", (table,)):
            self.assertEqual(port_holders(8080), ["TIME_WAIT to 127.0.0.1:8081"])
