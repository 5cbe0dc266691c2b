"""A minimal HTTP/1.1 server on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 64 << 10


@dataclass(frozen=True)
class Request:
    """A request that was read completely.

    :ivar headers: values by name in lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Returns the parameters of the query."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass(frozen=True)
class Response:
    """A response with its whole body."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = field(default=())

    def encode(self) -> bytes:
        """Returns the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


def json_response(fields: Any, status: int = 200, headers: tuple = ()) -> Response:
    """Returns a response with a JSON body."""
    named = (("Content-Type", "application/json"), *headers)
    return Response(status, json.dumps(fields).encode(), named)


#: Answers a request; may write to the connection itself and then returns ``None``.
Handler = Callable[[Request, "Connection"], Awaitable[Response | None]]


class Connection:
    """One connection of a caller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read_request(self) -> Request | None:
        """Returns the next request, ``None`` if the connection has ended."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        method, target, _version = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _colon, value in pairs}
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return Request(method, target, headers, body)

    async def send(self, data: bytes) -> None:
        """Writes bytes."""
        self.writer.write(data)
        await self.writer.drain()

    @property
    def has_ended(self) -> bool:
        """Returns whether the caller has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()


async def serve(host: str, port: int, handler: Handler) -> tuple[asyncio.Server, str]:
    """Starts a server; returns it and its address."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        # Handlers that still wait when the case ends are cancelled.
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while (request := await connection.read_request()) is not None:
                response = await handler(request, connection)
                if response is not None:
                    await connection.send(response.encode())
        writer.close()

    server = await asyncio.start_server(on_connection, host, port, limit=MAX_HEAD_BYTES)
    found = server.sockets[0].getsockname()
    return server, f"{found[0]}:{found[1]}"
