"""Limits of a changed configuration apply to connections that are already open."""

import socket

from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase

CHANGED = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 100,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 600,
}
BODY_BYTES = 200


class ChangedLimitsTest(GatewayCase):
    def status(self, sock: socket.socket, number: int) -> int:
        """Sends a request on a kept connection; returns the status of its answer."""
        sock.sendall(
            b"POST /look/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\n"
            b"Authorization: Token key-school\r\nContent-Length: %d\r\n\r\n%s"
            % (number, BODY_BYTES, b"x" * BODY_BYTES)
        )
        received = b""
        while b"\r\n\r\n" not in received or not received.endswith(b"x" * BODY_BYTES):
            chunk = sock.recv(65536)
            received += chunk
            if not chunk:
                break
        return int(received.split()[1])

    def test_open_connection_gets_the_new_limits(self) -> None:
        """Guards against a caller who keeps the old limits for as long as its connection."""
        node = self.start_node()
        self.wait_ready(node)
        host, port = node._listener.address
        with socket.create_connection((host, port), 5.0) as idle:
            with socket.create_connection((host, port), 5.0) as used:
                self.assertEqual([self.status(used, 1), self.status(idle, 2)], [200, 200])
                self.store.put("keyed.op", "config", configuration(2, limits=CHANGED))
                self.eventually(lambda: node._view.configuration.version == 2)
                self.assertEqual(self.status(used, 3), 413)
            self.assertEqual(self.status(idle, 4), 413)
