"""HTTP/1.1 messages on asyncio streams, as the stand-ins and the clients need them."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEAD_BYTES = 65536


@dataclass(frozen=True)
class Message:
    """A request or a response with a complete body.

    :ivar first: request line or status line.
    :ivar headers: names in lower case.
    """

    first: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Returns the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Returns the target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Returns the status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns first line and headers, ``None`` if the connection ended before them."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1")[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _colon, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next request of a connection, ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = await read_body(reader, headers, is_request=True)
    return Message(first, headers, body)


async def read_body(
    reader: asyncio.StreamReader, headers: Mapping[str, str], is_request: bool = False
) -> bytes:
    """Returns the body of a message.

    :raises asyncio.IncompleteReadError: if the connection ends inside it.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b"" if is_request else await reader.read()


def response(status: int, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {text}" for name, text in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Returns a request with a length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {text}" for n, text in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: str, method: str, target: str, body: bytes = b"", timeout_s: float = 3.0
) -> Message:
    """Makes one call on a connection of its own.

    :raises OSError: or ``TimeoutError`` if there is no complete response.
    """
    host, _, port = address.rpartition(":")

    async def exchange() -> Message:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            headers = {"Host": address, "Connection": "close"}
            writer.write(request(method, target, headers, body))
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("no response")
            return Message(head[0], head[1], await read_body(reader, head[1]))
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
