"""A caller on plain sockets, which judges the framing of each answer exactly."""

import re

from gevent.socket import create_connection

from tests.soak.rules import Result
from tests.soak.wire import Framing, Head, NotHttpError, Wire

CONNECT_S = 1.0
_STATUS = re.compile(r"HTTP/1\.1 ([2-5]\d\d) .*")


class RawCaller:
    """Sends requests on one kept connection to each node.

    :param port: on which nodes listen.
    :param timeout_s: longest wait for bytes of an answer.
    """

    def __init__(self, port: int, timeout_s: float) -> None:
        self._port = port
        self._timeout_s = timeout_s
        self._open: dict[str, Wire] = {}

    def post(self, path: str, headers: dict[str, str], body: bytes, result: Result) -> None:
        """Sends one request and notes what comes back.

        :raises OSError: if the connection breaks.
        :raises CutError: if it ends inside the answer.
        :raises NotHttpError: if bytes arrive that are no answer, or belong to none.
        """
        wire = self._connection(result.ip)
        headers = {**headers, "Content-Length": str(len(body))}
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
        wire.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        is_kept = False
        try:
            is_kept = self._read(wire, result)
        finally:
            if is_kept:
                self._open[result.ip] = wire
            else:
                wire.sock.close()

    def close(self) -> None:
        """Closes all kept connections."""
        for wire in self._open.values():
            wire.sock.close()
        self._open.clear()

    def _connection(self, ip: str) -> Wire:
        wire = self._open.pop(ip, None)
        if wire is not None:
            try:
                waiting = wire.peek()
            except OSError:
                waiting = b""
            if waiting is None:
                return wire
            wire.sock.close()
            if waiting:
                raise NotHttpError(f"before the request: {waiting[:200]!r}")
        sock = create_connection((ip, self._port), CONNECT_S)
        sock.settimeout(self._timeout_s)
        return Wire(sock)

    def _read(self, wire: Wire, result: Result) -> bool:
        """Reads an answer; returns whether the connection can be used again."""
        head = wire.read_head()
        if head is None:
            return False
        result.status = self._status(head)
        result.headers = head.headers
        result.framing = head.framing
        for data in wire.read_body(head):
            result.body += data
        result.is_whole = True
        if wire.buffer:
            raise NotHttpError(f"after the answer: {wire.buffer[:200]!r}")
        is_closing = "close" in head.get("connection").lower()
        return result.framing is not Framing.CLOSE and not is_closing

    def _status(self, head: Head) -> int:
        match = _STATUS.fullmatch(head.first)
        if match is None:
            raise NotHttpError(f"status line {head.first[:200]!r}")
        return int(match[1])
