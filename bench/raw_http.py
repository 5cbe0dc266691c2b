"""Least HTTP for benchmarks: a server that costs little, a client that counts events."""

import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
import orjson
from gevent.server import StreamServer

from arbutustally.clock import monotonic

Answer = Callable[[str, str, bytes], Iterator[bytes]]


class RawServer:
    """Answers each request with the pieces of ``answer(method, path, body)``."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._server = StreamServer(("127.0.0.1", 0), self._serve, backlog=1024)
        self._server.start()

    @property
    def address(self) -> str:
        """Returns ``host:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock: Any, _address: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    if not (data := sock.recv(65536)):
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                length = _length(head)
                parts = [buffer]
                have = len(buffer)
                while have < length:
                    parts.append(sock.recv(65536))
                    have += len(parts[-1])
                body = b"".join(parts)
                body, buffer = body[:length], body[length:]
                method, path, _ = head.split(b"\r\n", 1)[0].decode().split()
                for piece in self._answer(method, path, body):
                    sock.sendall(piece)
        except OSError:
            return


def _length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


@dataclass(frozen=True)
class Timing:
    """One streamed answer.

    :ivar first_s: time from sending to the first event.
    :ivar events: events with data, the end mark left out.
    """

    first_s: float
    events: int


def completion_body(tokens: int, prompt: str = "q") -> bytes:
    """Returns the body of a streamed chat request."""
    return orjson.dumps(
        {
            "model": "marelle",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
    )


def stream(address: str, body: bytes, key: str) -> Timing:
    """Sends a chat request on a new connection and reads its stream to the end.

    :raises RuntimeError: if the answer is not a whole stream.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=60) as sock:
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        begun = monotonic()
        sock.sendall(head.encode() + body)
        first_s = 0.0
        events = 0
        rest = b""
        while b"[DONE]" not in rest:
            data = sock.recv(65536)
            if not data:
                raise RuntimeError(f"stream ended early: {rest[-300:]!r}")
            if not first_s and b"data: " in data:
                first_s = monotonic() - begun
            rest = rest[-6:] + data
            events += rest.count(b'"delta"')
            gevent.sleep(0)
        return Timing(first_s, events)


def processor_s(pid: int) -> float:
    """Returns the processor time of a child process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def memory_kb(pid: int) -> int:
    """Returns the resident memory of a child process in KiB."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    raise RuntimeError(f"no resident size of process {pid}")
