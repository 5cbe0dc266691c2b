"""A worker that writes scripted bytes on real sockets and ends connections in either way."""

import contextlib
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
from gevent.server import StreamServer

from tests.platform_fakes import FakeWorker

#: Size of the receive queue of a worker that leaves bodies unread.
QUEUE_BYTES = 64 << 10
_RESET = struct.pack("ii", 1, 0)


class Close(Enum):
    """How a worker ends a connection.

    ``HALF`` ends only its own direction, ``UNREAD`` closes over whatever has not been read.
    """

    ORDERLY = "orderly"
    RESET = "reset"
    HALF = "half"
    UNREAD = "unread"


@dataclass(frozen=True)
class RawRequest:
    """A request as the worker read it.

    :ivar headers: by lower-case name.
    :ivar on_connection: number of the request on its connection, from 0.
    """

    target: str
    headers: dict[str, str]
    body: bytes
    on_connection: int

    @property
    def id(self) -> str:
        """Returns the request's id."""
        return self.headers.get("request-id", "")


#: Yields the bytes to write; a ``Close`` ends the connection, a number of seconds is a pause.
Script = Callable[[RawRequest], Iterator[bytes | Close | float]]


@dataclass
class RawWorker:
    """Answers each request with the bytes of its script.

    :ivar seen: requests read, in order.
    :ivar closed: ids of the requests during which the node closed the connection.
    :ivar body_read: bytes of a body that it reads before it answers, ``None`` for all; the rest
        stays unread, in receive queues that are small then.
    """

    script: Script
    id: str = "raw"
    service: str = "desk"
    model: str = ""
    seen: list[RawRequest] = field(default_factory=list)
    closed: list[str] = field(default_factory=list)
    body_read: int | None = None

    def __post_init__(self) -> None:
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.init_socket()
        if self.body_read is not None:
            self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE_BYTES)
        self._server.start()

    @property
    def address(self) -> str:
        """Returns ``host:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def entry(self) -> dict:
        """Returns the worker's entry in the list of endpoints."""
        worker = FakeWorker(self.id, self.service, self.model)
        worker.stop()
        return {**worker.entry(), "address": self.address}

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop(timeout=0)

    def _serve(self, connection: Any, _address: Any) -> None:
        reader = connection.makefile("rb")
        number = 0
        with contextlib.suppress(OSError):
            while (asked := read_request(reader, number, self.body_read)) is not None:
                number += 1
                self.seen.append(asked)
                if not self._answer(connection, asked):
                    break
        reader.close()
        connection.close()

    def _answer(self, connection: Any, asked: RawRequest) -> bool:
        """Returns whether the connection stays open."""
        try:
            for step in self.script(asked):
                if isinstance(step, bytes):
                    connection.sendall(step)
                elif isinstance(step, Close):
                    end(connection, step)
                    if step is not Close.HALF:
                        return False
                else:
                    gevent.sleep(step)
        except OSError:
            self.closed.append(asked.id)
            return False
        return True


def end(connection: Any, how: Close) -> None:
    """Ends a connection; all bytes sent before an orderly close arrive."""
    if how is Close.RESET:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    elif how is not Close.UNREAD:
        connection.shutdown(socket.SHUT_WR)


def read_request(reader: Any, number: int, body_read: int | None = None) -> RawRequest | None:
    """Returns the next request, ``None`` at the end of the connection.

    :param body_read: as for ``RawWorker``.
    """
    target = reader.readline().decode("latin-1").split(" ")[1:2]
    if not target:
        return None
    headers = {}
    while (line := reader.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = reader.read(length if body_read is None else min(length, body_read))
    return RawRequest(target[0], headers, body, number)
