"""A gateway node with scripted workers, and a caller that reads responses byte by byte."""

import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase
from tests.raw_worker import Close, RawRequest, RawWorker

SIGNED = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\n"
EVENT_STREAM = "Content-Type: text/event-stream\r\n"

#: Answers one request.
Answer = Callable[[RawRequest], Iterator[bytes | Close | float]]


class End(Enum):
    """How a response ended for its caller."""

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"


@dataclass(frozen=True)
class Received:
    """What a caller received on one connection.

    :ivar body: body, decoded if it came in chunks.
    :ivar rest: bytes after the end of the response, or that are no chunk.
    """

    head: bytes
    body: bytes
    end: End
    rest: bytes

    @property
    def status(self) -> int:
        """Returns the status of the response, 0 without one."""
        return int(self.head.split(b" ")[1]) if self.head else 0


class RawGatewayCase(GatewayCase):
    """Starts a store, a node, and two engines and two plain workers that run scripts.

    :cvar body_read: as for ``RawWorker``.
    :cvar max_body_bytes: largest body that the configuration allows, ``None`` for the usual one.
    """

    body_read: int | None = None
    max_body_bytes: int | None = None

    def setUp(self) -> None:
        super().setUp()
        for worker in (*self.engines, *self.desks):
            self.store.put("keyed.servers", worker.id, None)
        self.answers: tuple[Answer, ...] = ()
        self.asked: list[RawRequest] = []
        self._asks = 0
        self.workers: list[RawWorker] = []
        if self.max_body_bytes is not None:
            limits = configuration()["limits"] | {"maxBodyBytes": self.max_body_bytes}
            self.store.put("keyed.op", "config", configuration(2, limits=limits))
        for number in (1, 2):
            self._add(RawWorker(self._script, f"raw-d{number}", body_read=self.body_read))
            self._add(
                RawWorker(self._script, f"raw-e{number}", "llm", "m", body_read=self.body_read)
            )
        self.node = self.start_node()
        self.wait_ready(self.node)

    def ask(self, path: str, *answers: Answer, fields: str = "", body: bytes = b"") -> Received:
        """Sends a request; the workers answer its attempts with one answer after another.

        Attempts without an answer of their own are reset.

        :param fields: additional header lines of the request.
        """
        self._reset_health()
        self._asks += 1
        self.answers, self.asked = answers, []
        lines = f"Host: h.example\r\nRequest-Id: r{self._asks}\r\n"
        lines += f"Content-Length: {len(body)}\r\n"
        lines += "Authorization: Token key-school\r\nDeadline-Ms: 1500\r\n"
        lines += f"Model: m\r\nToken-Usage: 10,5\r\n{fields}"
        host, _, port = self.node._options.caller_listen.rpartition(":")
        with socket.create_connection((host, int(port)), 5.0) as caller:
            caller.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            return _receive(caller)

    def _add(self, worker: RawWorker) -> None:
        self.addCleanup(worker.stop)
        self.workers.append(worker)
        self.store.put("keyed.servers", worker.id, worker.entry())

    def _script(self, request: RawRequest) -> Iterator[bytes | Close | float]:
        if request.id != f"r{self._asks}":
            return iter([b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"])
        self.asked.append(request)
        if len(self.asked) > len(self.answers):
            return iter([Close.RESET])
        return self.answers[len(self.asked) - 1](request)

    def _reset_health(self) -> None:
        """Forgets failures and repeats, so that each request meets the same node."""
        self.node._services.state.repeats._repeats.clear()


def _receive(caller: socket.socket) -> Received:
    """Reads one response and, after a complete one, what follows within a short time."""
    data, end = b"", End.CLOSED
    try:
        while True:
            if _parse(data)[2]:
                end = End.COMPLETE
                caller.settimeout(0.05)
            received = caller.recv(65536)
            if not received:
                break
            data += received
    except ConnectionResetError:
        end = end if end is End.COMPLETE else End.RESET
    except TimeoutError:
        pass
    body, rest, _is_complete = _parse(data)
    return Received(data.partition(b"\r\n\r\n")[0], body, end, rest)


def _parse(data: bytes) -> tuple[bytes, bytes, bool]:
    """Returns the body, what follows it, and whether its end is marked and has come."""
    head, separator, body = data.partition(b"\r\n\r\n")
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in head.split(b"\r\n")[1:])
    }
    if not separator:
        return b"", data, False
    if b"content-length" in fields:
        size = int(fields[b"content-length"])
        return body[:size], body[size:], len(body) >= size
    if b"transfer-encoding" not in fields:
        return body, b"", False
    out = b""
    while True:
        line, separator, rest = body.partition(b"\r\n")
        if not separator or line.strip(b"0123456789abcdef"):
            return out, body, False
        size = int(line, 16)
        if len(rest) < size + 2:
            return out, body, False
        if size == 0:
            return out, rest[2:], True
        out, body = out + rest[:size], rest[size + 2 :]
