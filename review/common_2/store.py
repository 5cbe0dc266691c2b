"""Stand-in of the platform's store: keyed topics with one partition, in memory.

Usage: ``python3 store.py``; prints its address.
"""

import asyncio
import base64
import contextlib
import json
import struct
import sys
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

from http_messages import Message, read_request, response

OCTETS = {"Content-Type": "application/octet-stream"}
JSON = {"Content-Type": "application/json"}


class Store:
    """Topics, each a list of keys and values."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._grown = asyncio.Condition()
        #: Delay of each answer, seconds, set by ``POST /delay?s=``.
        self._delay_s = 0.004

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            while (message := await read_request(reader)) is not None:
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        parts = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/delay":
            self._delay_s = float(query["s"])
            return response(200, {})
        await asyncio.sleep(self._delay_s)
        if parts.path == "/arbutustally/log-newest":
            return self._newest(query["topic"])
        if parts.path == "/arbutustally/log-read":
            wait_s = int(query.get("waitMs", 0)) / 1000
            return await self._read(query["topic"], int(query["from"]), wait_s)
        if parts.path == "/arbutustally/log-append":
            return await self._append(query, message.body)
        return response(404, {})

    def _newest(self, topic: str) -> bytes:
        newest: dict[str, tuple[int, bytes]] = {}
        records = self._topics[topic]
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
        ]
        page = {"items": items, "hasMore": False, "end": len(records)}
        return response(200, JSON, json.dumps(page).encode())

    async def _read(self, topic: str, start: int, wait_s: float) -> bytes:
        records = self._topics[topic]

        async def wait() -> None:
            async with self._grown:
                await self._grown.wait_for(lambda: len(records) > start)

        if wait_s and len(records) <= start:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(wait(), wait_s)
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return response(200, OCTETS, data)

    async def _append(self, query: dict[str, str], body: bytes) -> bytes:
        records = self._topics[query["topic"]]
        end = len(records)
        if "at" in query and int(query["at"]) != end:
            return response(412, JSON, json.dumps({"end": end}).encode())
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + size]
            records.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
            at += 4 + size
        async with self._grown:
            self._grown.notify_all()
        return response(200, JSON, json.dumps({"offset": end, "end": len(records)}).encode())


async def main() -> None:
    """Serves until the process is killed."""
    store = Store()
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0, limit=8 << 20)
    print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
