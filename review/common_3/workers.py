"""Stand-ins of workers: engines that stream events, and plain workers."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field
from typing import Any

from review.common_3.http_server import Connection, Request, Response, json_response, serve
from review.common_3.store import Store

HEARTBEAT_S = 1.2
EVENTS_WAIT_S = 0.5
EVENTS = 4
EVENT_S = 0.05
WORK_S = 0.02


@dataclass(frozen=True)
class Run:
    """A request that a worker began to work on.

    :ivar at: steady seconds.
    """

    request_id: str
    worker: str
    tenant: str
    usage: str
    at: float


@dataclass
class Worker:
    """One worker; it registers itself in the store.

    :ivar model: that it serves, empty for a plain worker.
    :ivar runs: what it began to work on.
    """

    id: str
    service: str
    zone: str
    store: Store
    model: str = ""
    version: int = 1
    slots: int = 64
    runs: list[Run] = field(default_factory=list)
    address: str = ""
    _born: int = 0
    _beats: int = 0
    _accepted: int = 0
    _tasks: list[Any] = field(default_factory=list)

    async def start(self) -> None:
        """Starts serving and writes its entry, again at every heartbeat."""
        self._born = int(time.time() * 1000)
        _server, self.address = await serve("127.0.0.1", 0, self._handle)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            self.store.put("keyed.servers", self.id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []

    def _entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": self._models(),
            "sequence": self._beats,
            "born": self._born,
        }

    async def _handle(self, request: Request, connection: Connection) -> Response | None:
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
        self.runs.append(Run(echo[0][1], self.id, tenant, usage, time.monotonic()))
        stamp = ("Server-Stamp", f"{self.id}.{secrets.token_hex(4)}")
        if not self.model:
            await asyncio.sleep(WORK_S)
            return Response(200, f"answer to {echo[0][1]}".encode(), (*echo, stamp))
        await self._stream(connection, int(headers.get("last-event-id", 0)), (*echo, stamp))
        return None

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
