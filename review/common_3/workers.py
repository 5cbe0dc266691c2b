"""Stand-ins of workers: engines that stream events, and plain workers."""

import asyncio
import json
import random
import secrets
import time
from dataclasses import dataclass, field
from typing import Any

from review.common_3.http_server import Connection, Request, Response, json_response, serve
from review.common_3.store import Store

HEARTBEAT_S = 1.2
EVENTS_WAIT_S = 0.5
#: Events of a stream, and the time before each, seconds.
EVENTS = 8
EVENT_S = 0.055
WORK_S = 0.02


@dataclass(frozen=True)
class Run:
    """A request that a worker began to work on.

    :ivar at: steady seconds.
    :ivar salt: its ``Cache-Salt``.
    :ivar uses: leading parts of its prompt that the worker found in its memory.
    """

    request_id: str
    worker: str
    tenant: str
    usage: str
    at: float
    salt: str = ""
    uses: tuple["Cached", ...] = ()


@dataclass(frozen=True)
class Cached:
    """A part of a prompt in a worker's memory, and the request that made it."""

    part: str
    request_id: str
    tenant: str


@dataclass(frozen=True)
class Answered:
    """The end of a run.

    :ivar at: steady seconds.
    :ivar is_bad: it failed, or took several times as long as usual.
    """

    request_id: str
    worker: str
    status: int
    at: float
    is_bad: bool


@dataclass
class Worker:
    """One worker; it registers itself in the store.

    :ivar model: that it serves, empty for a plain worker.
    :ivar release: version of its software.
    :ivar fails_path: beginning of the paths whose requests it fails, empty for none.
    :ivar fail_status: status of these failures.
    :ivar fail_share: share of these requests that it fails.
    :ivar runs: what it began to work on.
    :ivar answers: ends of its runs.
    """

    id: str
    service: str
    zone: str
    store: Store
    model: str = ""
    version: int = 1
    slots: int = 64
    release: str = "v1"
    fails_path: str = ""
    fail_status: int = 500
    fail_share: float = 1.0
    runs: list[Run] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    address: str = ""
    _born: int = 0
    _beats: int = 0
    _accepted: int = 0
    _server: Any = None
    _beating: Any = None
    _cache: dict[tuple[str, str], Cached] = field(default_factory=dict)
    _connections: set[Connection] = field(default_factory=set)

    async def start(self) -> None:
        """Starts serving and writes its entry, again at every heartbeat."""
        self._born = int(time.time() * 1000)
        self._server, self.address = await serve("127.0.0.1", 0, self._handle)
        self._beating = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Ends at once, as a process does, and removes its entry."""
        self._beating.cancel()
        self._server.close()
        for connection in self._connections:
            connection.writer.close()
        self.store.put("keyed.servers", self.id, None)

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            self.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.release,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": self._models(),
            "sequence": self._beats,
            "born": self._born,
        }

    async def _handle(self, request: Request, connection: Connection) -> Response | None:
        self._connections.add(connection)
        echo = (("Request-Id", request.headers.get("request-id", "")),)
        expected = request.headers.get("expect-instance", self.id)
        if request.path == "/arbutustally/kv-events":
            await asyncio.sleep(EVENTS_WAIT_S)
            return json_response({"bootEpoch": 1, "next": 0, "lost": False, "events": []})
        if expected != self.id:
            return Response(421, b"", (*echo, ("Instance-Id", self.id)))
        if request.path == "/arbutustally/report":
            return json_response(self._report(), 200, echo)
        if request.path == "/arbutustally/order":
            return Response(self._order(json.loads(request.body)), b"", echo)
        if request.path == "/healthz":
            return Response(200, b"", (("Instance-Id", self.id),))
        if not echo[0][1]:
            return Response(400, b"", (("Not-Executed", "1"),))
        return await self._run(request, connection, echo)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "unified",
            "models": self._models(),
            "busy": False,
            "sequence": self._accepted,
            "numWaiting": 0,
            "numRunning": 0,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
            "born": self._born,
        }

    def _order(self, order: dict[str, Any]) -> int:
        if order.get("expect", self._accepted) != self._accepted:
            return 409
        self._accepted += 1
        self.version = order["version"]
        return 202

    async def _run(self, request: Request, connection: Connection, echo: tuple) -> Response | None:
        headers = request.headers
        wanted = headers.get("expect-version", str(self.version))
        if self.model and wanted != str(self.version):
            return Response(421, b"", (*echo, ("Instance-Id", self.id)))
        tenant, usage = headers.get("tenant", ""), headers.get("token-usage", "")
        salt = headers.get("cache-salt", "")
        uses = self._read_prompt(headers.get("prompt-prefix", ""), salt, echo[0][1], tenant)
        run = Run(echo[0][1], self.id, tenant, usage, time.monotonic(), salt, uses)
        self.runs.append(run)
        stamp = ("Server-Stamp", f"{self.id}.{secrets.token_hex(4)}")
        if not self.model:
            await asyncio.sleep(WORK_S)
            fails = bool(self.fails_path) and request.path.startswith(self.fails_path)
            is_failed = fails and random.random() < self.fail_share
            status = self.fail_status if is_failed else 200
            self._ended(echo[0][1], status, is_failed)
            return Response(status, f"answer to {echo[0][1]}".encode(), (*echo, stamp))
        after = int(headers.get("last-event-id", 0))
        await self._stream(connection, after, (*echo, stamp))
        self._ended(echo[0][1], 200, False)
        return None

    def _read_prompt(
        self, prefix: str, salt: str, request_id: str, tenant: str
    ) -> tuple[Cached, ...]:
        """Takes the parts of a prompt that are cached under its salt, and caches the others."""
        parts = [entry.partition(":")[0] for entry in prefix.split(",") if entry]
        used = []
        for number, part in enumerate(parts):
            found = self._cache.get((salt, part))
            if found is not None and len(used) == number:
                used.append(found)
            self._cache.setdefault((salt, part), Cached(part, request_id, tenant))
        return tuple(used)

    def _ended(self, request_id: str, status: int, is_bad: bool) -> None:
        self.answers.append(Answered(request_id, self.id, status, time.monotonic(), is_bad))

    async def _stream(self, connection: Connection, after: int, headers: tuple) -> None:
        named = (*headers, ("Weight-Versions", str(self.version)))
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in named)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        await connection.send("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            await connection.send(b"%x\r\n%b\r\n" % (len(event), event))
        await connection.send(b"0\r\n\r\n")
