"""Attempts that count as not run because no connection was established."""

import socket
from contextlib import nullcontext
from dataclasses import replace

import gevent

from arbutustally.gateway.attempts import Outcome
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.transport import AttemptResult
from arbutustally_node.pool import PoolService
from tests.ports import free_port
from tests.test_cut_heads import TransportCase, endpoint, request

CONNECT_S = 0.3


class UnsentAttemptTest(TransportCase):
    def send_to(self, port: int, left_s: float = 2.0) -> AttemptResult:
        entry = replace(endpoint(self.worker).entry, address=f"127.0.0.1:{port}")
        terms = AttemptTerms(endpoint_id=self.worker.id, account="", left_s=left_s)
        return self.transport.send(request(), EndpointState(entry), terms, nullcontext())

    def test_full_backlog_never_delivers_a_request_that_counts_as_not_run(self) -> None:
        """Guards against a request that runs once its worker accepts the connection after all."""
        pool = PoolService(CONNECT_S, 2.0)
        self.addCleanup(pool.stop)
        self.transport._pool = pool
        server = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(server.close)
        results = [self.send_to(server.getsockname()[1], 0.8) for _ in range(4)]
        not_run = [one for one in results if one.outcome is Outcome.NOT_RUN]
        self.assertGreater(len(not_run), 0)
        self.assertEqual({one.reason for one in not_run}, {"connect_timeout"})
        server.settimeout(0.5)
        self.assertLessEqual(self._requests_read(server), len(results) - len(not_run))

    def _requests_read(self, server: socket.socket) -> int:
        count = 0
        while True:
            try:
                connection, _ = server.accept()
            except TimeoutError:
                return count
            with connection:
                connection.settimeout(1.5)
                try:
                    count += connection.recv(65536).startswith(b"GET ")
                except OSError:
                    continue

    def test_refused_connection_is_not_run(self) -> None:
        """Guards against a 502 for a request of which no byte was sent."""
        result = self.send_to(free_port())
        self.assertEqual((result.outcome, result.reason), (Outcome.NOT_RUN, "connection_refused"))

    def test_informational_response_is_no_refusal(self) -> None:
        """Guards against taking the headers of a 1xx response for those of the final one."""
        hint = b"HTTP/1.1 103 Hint\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n\r\n"
        done = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
        self.assertIs(self.send(hint, done).outcome, Outcome.ANSWERED)
        self.pool.stop()
        with gevent.Timeout(3.0):
            terms = AttemptTerms(endpoint_id=self.worker.id, account="", left_s=0.3)
            self.answer = [hint, 1.0]
            result = self.transport.send(request(), self.state, terms, nullcontext())
        self.assertIs(result.outcome, Outcome.MAY_HAVE_RUN)
