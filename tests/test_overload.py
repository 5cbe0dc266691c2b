"""Crowds of hostile callers against one node that runs as a process of its own."""

import socket
import time
from collections.abc import Callable

import gevent
import urllib3
from bottle import HTTPResponse

from tests.fake_configuration import configuration
from tests.node_process import NodeProcessCase
from tests.platform_fakes import FakeStore, FakeWorker
from tests.soak.program import PORTS

MEMORY_MB = 128
BODY_BYTES = 1 << 20
HEAD_BYTES = 16_000
ANSWER_BYTES = 2 << 20
CHUNK_BYTES = 8192
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 4000,
    "idleTimeoutMs": 5000,
}
#: Descriptors of a node besides those of its callers' connections.
OTHER_DESCRIPTORS = 64
#: Limit of the process in the test that exhausts it.
DESCRIPTORS = 300
#: Time that a crowd stays, seconds.
CROWD_S = 6.0
ANSWERED_S = 15.0
REQUEST = "POST /look/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-school\r\n"

#: Bytes that one caller sends before it stops, and what it sends has no end.
Sent = Callable[[int], bytes]


def whole_body(number: int) -> bytes:
    """Returns a request whose body stops a byte short of its length."""
    head = f"{REQUEST}Request-Id: w{number}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    return head.encode() + b"b" * (BODY_BYTES - 1)


def chunked_body(number: int) -> bytes:
    """Returns a request whose chunked body of legal size lacks its last chunk."""
    head = f"{REQUEST}Request-Id: c{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"c" * CHUNK_BYTES)
    return head.encode() + chunk * (BODY_BYTES // CHUNK_BYTES - 1) + chunk[:-1]


def endless_head(number: int) -> bytes:
    """Returns a head of legal size that does not end."""
    head = f"{REQUEST}Request-Id: h{number}\r\n".encode()
    line = b"Filling: " + b"f" * 900 + b"\r\n"
    return head + line * ((HEAD_BYTES - len(head)) // len(line))


def unread_answer(number: int) -> bytes:
    """Returns a request for a large answer, which its caller does not read."""
    return f"{REQUEST}Request-Id: a{number}\r\nContent-Length: 0\r\n\r\n".encode()


class OverloadCase(NodeProcessCase):
    """One process, a plain worker that answers with many bytes, and crowds of callers."""

    memory_mb = MEMORY_MB

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.desk = FakeWorker("d1", "desk")
        self.addCleanup(self.desk.stop)
        self.desk.behave = _large_answer
        self.store.put("keyed.servers", self.desk.id, {**self.desk.entry(), "slots": 500})
        fields = configuration(limits=LIMITS)
        for route in fields["routes"]:
            route["timeoutMs"] = 8000
        fields["services"][1]["maxConnections"] = 500
        self.store.put("keyed.op", "config", fields)
        self.start_process()

    def _crowd(self, port: int, *members: tuple[int, Sent]) -> None:
        """Checks that the node survives callers that send what each kind of member sends."""
        callers = []
        count = sum(number for number, _sent in members)
        for number, sent in members:
            for index in range(number):
                callers.append(gevent.spawn(self._hold, port, sent(index)))
        most_descriptors = 0
        deadline = time.monotonic() + CROWD_S
        while time.monotonic() < deadline and self.program.is_alive:
            most_descriptors = max(most_descriptors, self.descriptors())
            gevent.sleep(0.1)
        gevent.killall(callers)
        self.assertTrue(self.program.is_alive, "the process ended")
        peak = self.peak_mb()
        print(f"{self.id()}: peak {peak:.0f} MB, {most_descriptors} descriptors", flush=True)
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.assertLess(peak, MEMORY_MB)
        # Each caller's connection may have one to an endpoint.
        self.assertLess(most_descriptors, 2 * count + OTHER_DESCRIPTORS)

    def _hold(self, port: int, sent: bytes) -> None:
        """Sends bytes and then keeps the connection open without reading."""
        try:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect((self.ip, port))
                caller.sendall(sent)
                gevent.sleep(60)
        except OSError:
            return


class CallerCrowdTest(OverloadCase):
    """Guards against callers that make a process exceed its memory."""

    def test_whole_bodies_that_stop_a_byte_short(self) -> None:
        self._crowd(PORTS["front"], (150, whole_body))

    def test_chunked_bodies_that_stop_a_byte_short(self) -> None:
        self._crowd(PORTS["front"], (150, chunked_body))

    def test_heads_that_never_end(self) -> None:
        self._crowd(PORTS["front"], (2900, endless_head))

    def test_answers_that_are_not_read(self) -> None:
        self._crowd(PORTS["front"], (80, unread_answer))

    def test_all_of_them_at_once(self) -> None:
        members = (60, whole_body), (60, chunked_body), (900, endless_head), (60, unread_answer)
        self._crowd(PORTS["front"], *members)


class WebCrowdTest(OverloadCase):
    """Guards against callers of the other listeners that make a process exceed its limits."""

    def test_heads_that_never_end_at_the_directory(self) -> None:
        self._crowd(PORTS["directory"], (1500, endless_head))


class DescriptorCrowdTest(OverloadCase):
    """Guards against callers that take all descriptors of a process."""

    def command(self) -> list[str]:
        return ["/bin/sh", "-c", f'ulimit -n {DESCRIPTORS}; exec "$@"', "sh", *super().command()]

    def test_more_connections_than_descriptors(self) -> None:
        self._crowd(PORTS["front"], (2 * DESCRIPTORS, endless_head))


def _large_answer(headers: dict[str, str]) -> HTTPResponse | None:
    if "Small" in headers:
        return None
    fields = {"Request-Id": headers.get("Request-Id", ""), "Server-Stamp": "stamp-d1"}
    return HTTPResponse(body=b"a" * ANSWER_BYTES, status=200, headers=fields)
