"""Engines whose process ends when it begins to answer on a given prompt part, over real sockets."""

import contextlib
import json
import time
from typing import Any

import gevent
from gevent.server import StreamServer

from tests.platform_fakes import HEARTBEATS_TOPIC, FakeStore
from tests.raw_worker import Close, RawRequest, end, read_request

#: Time until a process that has ended runs again, seconds.
RESTART_S = 2.0
#: Interval of heartbeats, and time without one after which the store drops an entry, seconds.
HEARTBEAT_S = 0.5
EXPIRY_S = 1.5
#: Time until the first event, and between two events, seconds.
FIRST_S = 0.03
EVENT_S = 0.05
EVENTS = 6


class CrashingEngine:
    """One engine; each start of its process has a new id at the same address.

    :ivar arrivals: time and request of each arrival.
    :ivar crashes: times at which its process ended.
    """

    def __init__(self, store: FakeStore, name: str, bad_part: str) -> None:
        self._store = store
        self._name = name
        self._bad_part = bad_part
        self._starts = 0
        self._connections: set[Any] = set()
        self._server: StreamServer | None = None
        self._port = 0
        self.arrivals: list[tuple[float, RawRequest]] = []
        self.crashes: list[float] = []
        self._start()
        self._heartbeats = gevent.spawn(self._write_heartbeats)

    @property
    def id(self) -> str:
        """Returns the id of the current start."""
        return f"{self._name}.{self._starts}"

    @property
    def is_up(self) -> bool:
        """Returns whether the process runs."""
        return self._server is not None

    def stop(self) -> None:
        """Stops the engine for good."""
        self._heartbeats.kill()
        if self._server is not None:
            self._server.stop(timeout=0)

    def crash(self) -> None:
        """Ends the process: the kernel closes its sockets in an orderly way."""
        if self._server is None:
            return
        self.crashes.append(time.monotonic())
        server, self._server = self._server, None
        server.stop_accepting()
        server.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                end(connection, Close.ORDERLY)
        gevent.spawn_later(EXPIRY_S, self._store.put, HEARTBEATS_TOPIC, self.id, None)
        gevent.spawn_later(RESTART_S, self._start)

    def _start(self) -> None:
        self._starts += 1
        self._server = StreamServer(("127.0.0.1", self._port), self._serve)
        self._server.start()
        self._port = self._server.server_port
        self._put_entry()

    def _write_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            if self.is_up:
                self._put_entry()

    def _put_entry(self) -> None:
        self._store.put(
            HEARTBEATS_TOPIC,
            self.id,
            {
                "service": "llm",
                "address": f"127.0.0.1:{self._port}",
                "zone": "z1",
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "coldRemainingMs": 0,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": 0,
                "born": self._starts,
            },
        )

    def _serve(self, connection: Any, _address: Any) -> None:
        self._connections.add(connection)
        reader, number = connection.makefile("rb"), 0
        try:
            with contextlib.suppress(OSError):
                while (asked := read_request(reader, number)) is not None:
                    number += 1
                    self._answer(connection, asked)
        finally:
            self._connections.discard(connection)
            reader.close()
            connection.close()

    def _answer(self, connection: Any, asked: RawRequest) -> None:
        if asked.target.startswith("/arbutustally/"):
            gevent.sleep(0.2)
            _send_json(connection, self._control_answer(asked))
            return
        if asked.headers.get("expect-instance") != self.id:
            _send(connection, f"421 Misdirected\r\nInstance-Id: {self.id}", asked.id, b"")
            return
        self.arrivals.append((time.monotonic(), asked))
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"Request-Id: {asked.id}\r\nServer-Stamp: s-{asked.id}\r\n\r\n".encode()
        )
        gevent.sleep(FIRST_S)
        if has_part(asked, self._bad_part):
            self.crash()
        for event in range(int(asked.headers.get("last-event-id") or 0) + 1, EVENTS + 1):
            data = f"id: {event}\ndata: piece {event}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            gevent.sleep(EVENT_S)
        connection.sendall(b"0\r\n\r\n")

    def _control_answer(self, asked: RawRequest) -> dict[str, Any]:
        if asked.target.startswith("/arbutustally/report"):
            models = [{"name": "m", "version": 1, "adapters": []}]
            return {"stage": "unified", "models": models, "busy": False, "sequence": 0}
        return {"bootEpoch": self._starts, "next": 0, "lost": False, "events": []}


def has_part(asked: RawRequest, part: str) -> bool:
    """Returns whether a request's prompt has a part, other than the last one."""
    parts = asked.headers.get("prompt-prefix", "").split(",")
    return part in [one.partition(":")[0] for one in parts[:-1]]


def _send_json(connection: Any, fields: dict[str, Any]) -> None:
    _send(connection, "200 OK\r\nContent-Type: application/json", "", json.dumps(fields).encode())


def _send(connection: Any, status: str, request_id: str, body: bytes) -> None:
    named = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status}\r\n{named}Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body)
