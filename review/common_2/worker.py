"""Stand-in of a worker: plain or model worker, as PROTOCOL.md describes them.

Usage: ``python3 worker.py OPTIONS``, a JSON object: ``id``, ``service``, ``zone``, ``store``
(address), ``record`` (file) and, if it serves a model, ``model``. ``work_ms`` is the time of a plain
request, ``answer_bytes`` the length of its body; ``events`` and ``gap_ms`` describe a stream, and
``kv_tokens`` the memory for cached parts.
"""

import asyncio
import contextlib
import json
import secrets
import struct
import sys
import time
from collections import OrderedDict, deque
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_messages import Message, call, read_request, response

HEARTBEAT_S = 1.2
MAX_EVENTS_WAIT_S = 1.0
#: Newest events that are kept.
MAX_EVENTS = 20_000


class Cache:
    """Cached parts of one model worker, the least recently used first, and its events.

    :param capacity: memory for parts, tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        # The tenant whose request made a part, and its tokens, by salt and part.
        self._parts: OrderedDict[tuple[str, str], tuple[str, int]] = OrderedDict()
        self._tokens = 0
        self._events: deque[tuple[int, str, str, str, int]] = deque(maxlen=MAX_EVENTS)
        self._next = 0
        self._grown = asyncio.Event()

    def maker(self, salt: str, part: str) -> str | None:
        """Returns the tenant whose request made a part, ``None`` if it is not cached."""
        found = self._parts.get((salt, part))
        if found is None:
            return None
        self._parts.move_to_end((salt, part))
        return found[0]

    def put(self, salt: str, part: str, tenant: str, tokens: int) -> None:
        """Adds a part; the least recently used ones yield."""
        self._parts[salt, part] = (tenant, tokens)
        self._tokens += tokens
        self._tell("+", salt, part, tokens)
        while self._tokens > self._capacity:
            (salt, part), (_tenant, tokens) = self._parts.popitem(last=False)
            self._tokens -= tokens
            self._tell("-", salt, part, 0)

    def _tell(self, sign: str, salt: str, part: str, tokens: int) -> None:
        self._events.append((self._next, sign, salt, part, tokens))
        self._next += 1
        self._grown.set()

    async def changes(self, since: int, wait_s: float, model: str) -> dict[str, Any]:
        """Returns the events from a number on, waiting for the first."""
        if self._next <= since and wait_s:
            self._grown.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._grown.wait(), wait_s)
        first = self._events[0][0] if self._events else self._next
        events = [[*event, model] for event in self._events if event[0] >= since]
        return {"next": self._next, "lost": since < first, "events": events}


class Worker:
    """Answers requests and notes each run in the record."""

    def __init__(self, options: dict[str, Any]) -> None:
        self._id = options["id"]
        self._service = options["service"]
        self._zone = options.get("zone", "z1")
        self._store = options["store"]
        self._record = Path(options["record"])
        self._model = options.get("model", "")
        self._version = 1
        self._sequence = 0
        self._fence = -1
        self._checks_fences = options.get("fenced", True)
        self._work_s = options.get("work_ms", 20) / 1000
        self._answer = b"x" * options.get("answer_bytes", 800)
        self._events = options.get("events", 5)
        self._gap_s = options.get("gap_ms", 20) / 1000
        self._slots = options.get("slots", 64)
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._cache = Cache(options.get("kv_tokens", 99_903))
        self.address = ""

    def note(self, event: str, **fields: Any) -> None:
        """Adds a line to the record."""
        entry = {"at": round(time.monotonic(), 4), "who": self._id, "what": event, **fields}
        with self._record.open("a") as record:
            record.write(json.dumps(entry) + "\n")

    async def beat(self) -> None:
        """Registers the worker and renews its entry."""
        while True:
            self._beats += 1
            models = [{"name": self._model, "version": self._version, "adapters": []}]
            entry = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "models": models if self._model else [],
                "sequence": self._beats,
                "born": self._born,
            }
            content = bytes([len(self._id)]) + self._id.encode() + json.dumps(entry).encode()
            body = struct.pack(">I", len(content)) + content
            target = "/arbutustally/log-append?topic=keyed.servers&part=0"
            with contextlib.suppress(OSError, TimeoutError):
                await call(self._store, "POST", target, body)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, one request after another."""
        try:
            while (message := await read_request(reader)) is not None:
                await self._serve_one(message, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        path = urlsplit(message.target).path
        if path.startswith("/arbutustally/") or path == "/healthz":
            writer.write(await self._control(path, message))
            await writer.drain()
            return
        echo = {"Request-Id": message.headers.get("request-id", "")}
        if message.headers.get("expect-instance", self._id) != self._id:
            writer.write(response(421, {**echo, "Instance-Id": self._id}))
            return
        if message.headers.get("expect-version", str(self._version)) != str(self._version):
            writer.write(response(421, {**echo, "Instance-Id": self._id}))
            return
        await self._run(message, echo, reader, writer)

    async def _run(
        self,
        message: Message,
        echo: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        stamp = f"{self._id}.{secrets.token_hex(4)}"
        request_id = echo["Request-Id"]
        tenant = message.headers.get("tenant", "")
        self.note("run_begins", id=request_id, path=message.target, stamp=stamp, tenant=tenant)
        if self._model:
            self._use_parts(message, request_id, tenant)
        headers = {**echo, "Server-Stamp": stamp}
        end = "cut"
        try:
            if self._model:
                await self._stream(message, headers, reader, writer)
            else:
                await self._while_connected(asyncio.sleep(self._work_s), reader)
                writer.write(response(200, headers, self._answer))
                await writer.drain()
            end = "complete"
        finally:
            self.note("run_ends", id=request_id, how=end)

    def _use_parts(self, message: Message, request_id: str, tenant: str) -> None:
        """Finds the leading parts of a prompt that are cached, and caches the others."""
        salt = message.headers.get("cache-salt", "")
        prefix = message.headers.get("prompt-prefix", "")
        is_leading = True
        for entry in prefix.split(",") if prefix else ():
            part, _, tokens = entry.strip().partition(":")
            maker = self._cache.maker(salt, part)
            is_leading = is_leading and maker is not None
            if is_leading:
                self.note(
                    "kv_used", id=request_id, tenant=tenant, part=part, maker=maker, salt=salt
                )
            elif maker is None:
                self._cache.put(salt, part, tenant, int(tokens))

    async def _stream(
        self,
        message: Message,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in headers.items())]
        lines += ["Content-Type: text/event-stream", f"Weight-Versions: {self._version}"]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        after = int(message.headers.get("last-event-id") or 0)
        for number in range(after + 1, self._events + 1):
            await self._while_connected(asyncio.sleep(self._gap_s), reader)
            event = f"id: {number}\ndata: {message.headers.get('request-id')}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _while_connected(self, work: Any, reader: asyncio.StreamReader) -> None:
        """Works until the caller closes the connection.

        :raises ConnectionResetError: if it does.
        """
        working = asyncio.ensure_future(work)
        while not working.done():
            await asyncio.wait([working], timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                working.cancel()
                raise ConnectionResetError("the caller has left")

    async def _control(self, path: str, message: Message) -> bytes:
        json_type = {"Content-Type": "application/json"}
        if "request-id" in message.headers:
            json_type["Request-Id"] = message.headers["request-id"]
        if path == "/healthz":
            return response(200, {"Instance-Id": self._id})
        if message.headers.get("expect-instance", self._id) != self._id:
            return response(421, {**json_type, "Instance-Id": self._id})
        if path == "/arbutustally/report":
            models = [{"name": self._model, "version": self._version, "adapters": []}]
            report = {"stage": "unified", "models": models, "busy": False}
            report |= {"sequence": self._sequence, "numWaiting": 0, "numRunning": 0}
            report |= {"kvUsed": 0, "kvTotal": 100000, "handles": 0}
            return response(200, json_type, json.dumps(report).encode())
        if path == "/arbutustally/order":
            return response(self._order(json.loads(message.body)), json_type)
        if path == "/arbutustally/kv-events":
            wait_s = min(int(message.headers.get("wait-ms", 0)) / 1000, MAX_EVENTS_WAIT_S)
            since = int(parse_qs(urlsplit(message.target).query)["since"][0])
            changes = await self._cache.changes(since, wait_s, self._model)
            return response(
                200, json_type, json.dumps({"bootEpoch": self._born, **changes}).encode()
            )
        return response(404, json_type)

    def _order(self, order: dict[str, Any]) -> int:
        status = 202
        if self._checks_fences and order["fence"] < self._fence:
            status = 412
        elif order.get("expect", self._sequence) != self._sequence:
            status = 409
        elif order["version"] == self._version:
            status = 200
        else:
            self._sequence += 1
            self._version = order["version"]
        self._fence = max(self._fence, order["fence"])
        self.note("order", status=status, **order)
        return status


async def main() -> None:
    """Serves until the process is killed."""
    worker = Worker(json.loads(sys.argv[1]))
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0, limit=8 << 20)
    worker.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    print(worker.address, flush=True)
    beats = asyncio.create_task(worker.beat())
    await server.serve_forever()
    await beats


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
