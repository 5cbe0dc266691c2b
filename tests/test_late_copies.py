"""A server that sends a late duplicate of a response on a reused connection."""

import re
from typing import BinaryIO

import gevent
from gevent import socket
from gevent.server import StreamServer

from tests.gateway_fleet import GatewayCase, settings
from tests.platform_fakes import FakeWorker

FULL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
GOOD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\ndone"


_ID = re.compile(rb"Request-Id: .*\r\n")


class CopyingWorker:
    """Repeats the last response of a connection immediately before the next one.

    :param refusals: number of requests refused before others run.
    :param named: whether the repeated response states its id.
    """

    def __init__(self, refusals: int, named: bool = True) -> None:
        self._refusals = refusals
        self._named = named
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.id = "copying"
        self.address = f"127.0.0.1:{self._server.server_port}"
        self.ran: list[str] = []

    def entry(self) -> dict:
        worker = FakeWorker(self.id, "desk")
        worker.stop()
        return {**worker.entry(), "address": self.address}

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _address: tuple[str, int]) -> None:
        last = b""
        reader = connection.makefile("rb")
        while request_id := self._read_request(reader):
            if last:
                connection.sendall(last if self._named else _ID.sub(b"", last))
                gevent.sleep(0.05)
            if self._refusals:
                self._refusals -= 1
                last = FULL % request_id
            else:
                self.ran.append(request_id.decode())
                last = GOOD % request_id
            connection.sendall(last)

    def _read_request(self, reader: BinaryIO) -> bytes:
        """Returns the id of the next request, empty at the end of the connection."""
        request_id, length = b"", 0
        while (line := reader.readline()) not in (b"", b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"request-id":
                request_id = value.strip()
            elif name.lower() == b"content-length":
                length = int(value)
        reader.read(length)
        return request_id


class LateCopyTest(GatewayCase):
    def start_with(self, refusals: int, named: bool = True, ids: tuple[str, ...] = ()):
        self.worker = CopyingWorker(refusals, named)
        self.addCleanup(self.worker.stop)
        for desk in self.desks:
            self.store.put("keyed.servers", desk.id, None)
        for endpoint_id in ids or (self.worker.id,):
            self.store.put("keyed.servers", endpoint_id, self.worker.entry())
        node = self.start_node(settings(self.store.address))
        self.wait_ready(node)
        self.eventually(lambda: len(node._view.book.of_service("desk")) == (len(ids) or 1))
        # The token bucket of a node that has just started is empty.
        self.eventually(lambda: node._services.state.quota.level("school") >= 5_000.0)
        return node

    def test_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_attempt(self) -> None:
        """Guards against a booking that runs twice, or is reported as not run while it runs."""
        node = self.start_with(refusals=1)
        answer = self.call(node, "/book/x", "r1", b"stencil")
        gevent.sleep(0.3)
        self.assertEqual(self.worker.ran, ["r1"])
        self.assertEqual((answer.status, answer.data), (200, b"done"))

    def test_copy_without_an_id_of_a_refusal_is_not_taken_for_the_next_answer(self) -> None:
        """Guards against a booking that runs again after a copy of an earlier booking's refusal."""
        node = self.start_with(refusals=1, named=False)
        statuses = [self.call(node, "/book/x", f"r{n}", b"stencil").status for n in range(4)]
        gevent.sleep(0.3)
        self.assertEqual(len(self.worker.ran), len(set(self.worker.ran)))
        self.assertEqual(statuses[0], 200)
        self.assertLessEqual(set(statuses), {200, 502})

    def test_copy_is_not_taken_for_the_answer_to_an_attempt_at_the_same_address(self) -> None:
        """Guards against a booking that runs twice at a worker that is listed under two ids."""
        node = self.start_with(refusals=1, ids=("before", "after"))
        answer = self.call(node, "/book/x", "r1", b"stencil")
        gevent.sleep(0.3)
        self.assertEqual(self.worker.ran, ["r1"])
        self.assertEqual((answer.status, answer.data), (200, b"done"))

    def test_request_behind_a_copy_is_answered(self) -> None:
        """Guards against leaving a worker at work for a copy of its last answer."""
        node = self.start_with(refusals=0)
        answers = [self.call(node, "/book/x", f"r{n}", b"stencil") for n in range(4)]
        self.assertEqual([(one.status, one.data) for one in answers], [(200, b"done")] * 4)
        self.assertEqual([one.headers["Request-Id"] for one in answers], self.worker.ran)
        self.assertEqual(self.worker.ran, [f"r{n}" for n in range(4)])

    def test_copy_of_an_answer_reaches_no_other_caller(self) -> None:
        node = self.start_with(refusals=0)
        for number in range(6):
            answer = self.call(node, "/book/x", f"r{number}", b"stencil")
            if answer.status == 200:
                self.assertEqual(answer.headers["Request-Id"], f"r{number}")
            else:
                self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.worker.ran), len(set(self.worker.ran)))
