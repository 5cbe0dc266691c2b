"""Stand-in of the platform's store: keyed topics in memory, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import struct
from collections import defaultdict
from typing import Any

from review.common_3.http_server import Connection, Request, Response, json_response, serve

PREFIX = "/arbutustally/log-"
#: Time that the store takes for a call, seconds.
CALL_S = 0.004
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


class Store:
    """Topics of keyed records, each with one partition.

    :ivar address: ``host:port``.
    :ivar turned_away: addresses of the paths on which it answers every call with 503.
    """

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._changed = asyncio.Event()
        self._server: Any = None
        self.address = ""
        self.turned_away: set[str] = set()

    async def start(self) -> None:
        """Starts serving on a free port."""
        self._server, self.address = await serve("127.0.0.1", 0, self._handle)

    async def add_path(self) -> str:
        """Returns a further address of the store, for the calls of one machine."""
        path = ""

        async def handle(request: Request, connection: Connection) -> Response:
            response = await self._handle(request, connection)
            # Also a read that waited when the machine was turned away.
            return Response(503) if path in self.turned_away else response

        _server, path = await serve("127.0.0.1", 0, handle)
        return path

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as the operator or a worker does; ``None`` removes the key."""
        self._append(topic, key, b"" if value is None else json.dumps(value).encode())

    def newest(self, topic: str, key: str) -> Any:
        """Returns the newest value of a key, ``None`` without one."""
        found = [data for one, data in self._topics[topic] if one == key]
        return json.loads(found[-1]) if found and found[-1] else None

    def _append(self, topic: str, key: str, data: bytes) -> None:
        self._topics[topic].append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, _connection: Connection) -> Response:
        await asyncio.sleep(CALL_S)
        name = request.path.removeprefix(PREFIX)
        query = request.query
        topic = query.get("topic", "")
        if name == "newest":
            return self._newest(topic)
        if name == "read":
            return await self._read(topic, int(query["from"]), int(query.get("waitMs", 0)) / 1000)
        if name == "append":
            return self._append_call(topic, query.get("at"), request.body)
        return Response(404)

    def _newest(self, topic: str) -> Response:
        newest: dict[str, dict[str, Any]] = {}
        for offset, (key, data) in enumerate(self._topics[topic]):
            newest.pop(key, None)
            if data:
                value = base64.b64encode(data).decode()
                newest[key] = {"key": key, "value": value, "offset": offset}
        items = list(newest.values())
        return json_response({"items": items, "hasMore": False, "end": len(self._topics[topic])})

    async def _read(self, topic: str, start: int, wait_s: float) -> Response:
        records = self._topics[topic]
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while start >= len(records) and (left_s := until - loop.time()) > 0:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        if start > len(records):
            return json_response({"first": 0}, 410)
        body = struct.pack(">QQ", len(records), 0)
        for key, data in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + data
            body += struct.pack(">I", len(content)) + content
        return Response(200, body)

    def _append_call(self, topic: str, expected: str | None, body: bytes) -> Response:
        end = len(self._topics[topic])
        if topic in OPERATOR_TOPICS:
            return Response(403)
        if expected is not None and int(expected) != end:
            return json_response({"end": end}, 412)
        content = body[4:]
        size = content[0]
        self._append(topic, content[1 : 1 + size].decode(), content[1 + size :])
        return json_response({"offset": end, "end": end + 1})
