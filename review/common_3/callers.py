"""Stand-ins of clients: they ask the directory where to connect, as PROTOCOL.md describes."""

import asyncio
import contextlib
import json
import random
import secrets
import time
from dataclasses import dataclass, field

from review.common_3.nodes import Node, http_get, split

CONNECT_S = 1.0


@dataclass
class Sent:
    """A request that a client sent, and what came back.

    :ivar status: of the answer, 0 without one.
    :ivar is_whole: the answer arrived completely.
    """

    request_id: str
    tokens: int
    path: str
    node: str
    at: float
    status: int = 0
    is_whole: bool = False


@dataclass
class Directory:
    """Addresses that one client got, from the nearest of up to three nodes that answers."""

    nodes: list[Node]
    host: str
    zone: str
    _addresses: list[str] = field(default_factory=list)
    _until: float = 0.0

    async def pick(self) -> str:
        """Returns an address at random, empty if none is known."""
        if time.monotonic() >= self._until:
            await self._ask()
        return random.choice(self._addresses) if self._addresses else ""

    async def _ask(self) -> None:
        target = f"/arbutustally/resolve?name={self.host}&region=midlands&zone={self.zone}"
        for node in self.nodes[:3]:
            with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError, KeyError):
                status, body = await http_get(node.directory_address, target)
                if status == 200:
                    fields = json.loads(body)
                    self._addresses = fields["addresses"]
                    self._until = time.monotonic() + fields["ttlS"]
                    return


@dataclass
class Caller:
    """Sends requests of one kind on new connections.

    :ivar sent: all requests so far.
    """

    directory: Directory
    path: str
    key: str
    headers: dict[str, str]
    tokens: int
    deadline_s: float
    sent: list[Sent]
    method: str = "POST"

    async def ask(self) -> None:
        """Sends one request and reads its answer."""
        address = await self.directory.pick()
        if not address:
            return
        sent = Sent(secrets.token_hex(8), self.tokens, self.path, address, time.monotonic())
        self.sent.append(sent)
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            await asyncio.wait_for(self._exchange(sent, address), self.deadline_s)

    async def _exchange(self, sent: Sent, address: str) -> None:
        host, port = split(address)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), CONNECT_S)
        try:
            headers = {
                "Host": self.directory.host,
                "Request-Id": sent.request_id,
                "Deadline-Ms": str(int(self.deadline_s * 1000)),
                "Authorization": f"Token {self.key}",
                **self.headers,
            }
            body = b""
            if self.method == "POST":
                body = b"hi"
                headers["Content-Length"] = str(len(body))
            lines = [
                f"{self.method} {self.path} HTTP/1.1",
                *(f"{k}: {v}" for k, v in headers.items()),
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            sent.status = int(head.split(" ")[1])
            if "transfer-encoding: chunked" in head:
                await reader.readuntil(b"0\r\n\r\n")
            sent.is_whole = True
        finally:
            writer.close()
