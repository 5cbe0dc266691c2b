"""An HTTP engine with deterministic tokens and scripted faults."""

import socket
from dataclasses import dataclass, field
from typing import Any

import gevent
import orjson
from gevent.event import Event
from gevent.pool import Pool
from gevent.server import StreamServer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def token(prompt: str, index: int) -> str:
    """Returns the text of a token; all engines with the same weights produce the same text."""
    return f"{prompt}-{index} "


def answer(prompt: str, count: int) -> str:
    """Returns the complete text of a response."""
    return "".join(token(prompt, index) for index in range(count))


@dataclass
class Script:
    """Faults and progress of the streams of a test, shared by all its engines.

    :ivar faults: token index and kind; each is applied once.
    :ivar allowed: tokens with a lower index may be sent.
    """

    faults: list[tuple[int, str]] = field(default_factory=list)
    allowed: int = 1 << 30
    changed: Event = field(default_factory=Event)

    def take(self, index: int) -> str:
        """Removes and returns a fault at an index, or returns an empty string."""
        for fault in self.faults:
            if fault[0] == index:
                self.faults.remove(fault)
                return fault[1]
        return ""


class FakeEngine:
    """One engine process; ``die`` and ``restart`` simulate the end and restart of the process.

    :param extra: text added to each token, to make events larger.
    """

    def __init__(self, name: str, script: Script, version: str = "v1", extra: str = "") -> None:
        self.name = name
        self.script = script
        self.version = version
        self.extra = extra
        self.restarts = 0
        self.streams: dict[str, tuple[str, int]] = {}
        self.seen: list[tuple[str, str, dict[str, str], bytes]] = []
        self.cancelled: list[str] = []
        self.sent_tokens = 0
        self.port = 0
        self.server: Any = None
        self.restarting = False
        self.start()

    @property
    def incarnation(self) -> str:
        return f"{self.name}-{self.restarts}"

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        self.server = StreamServer(("127.0.0.1", self.port), self._serve, spawn=Pool())
        self.server.reuse_addr = 1
        self.server.start()
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        self.port = self.server.server_port

    def die(self) -> None:
        """Closes all connections and refuses new ones; the streams are lost."""
        self.server.stop(timeout=0)
        self.streams.clear()

    def restart(self) -> None:
        """Starts the engine again with a new incarnation."""
        if self.restarting:
            return
        self.restarting = True
        self.die()
        self.restarts += 1
        try:
            self.start()
        except OSError:
            # Another socket of the test was bound to the port in the meantime.
            self.port = 0
            self.start()
        self.restarting = False

    def _serve(self, sock: Any, _address: Any) -> None:
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    if not (data := sock.recv(65536)):
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                first, *lines = head.decode().split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(": ")
                    headers[name.lower()] = value
                length = int(headers.get("content-length", 0))
                while len(buffer) < length:
                    buffer += sock.recv(65536)
                body, buffer = buffer[:length], buffer[length:]
                method, path, _ = first.split()
                self.seen.append((method, path, headers, body))
                if not self._answer(sock, method, path, body):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def _answer(self, sock: Any, method: str, path: str, body: bytes) -> bool:
        if method == "DELETE":
            self.cancelled.append(path.rpartition("/")[2])
            return _status(sock, 200)
        if path.startswith("/v1/streams/"):
            request_id, _, start = path.removeprefix("/v1/streams/").partition("?from=")
            if request_id not in self.streams or self.script.take(int(start)) == "no_resume":
                return _status(sock, 404)
            return self._stream(sock, request_id, int(start))
        if not path.startswith("/v1/"):
            return _status(sock, 200)
        fields = orjson.loads(body)
        if fields["weights_version"] != self.version:
            return _status(sock, 409, {"error": {"code": "version_mismatch"}})
        messages = fields.get("messages")
        prompt = messages[-1]["content"] if messages else fields["prompt"]
        self.streams[fields["request_id"]] = (prompt, fields["max_tokens"])
        return self._stream(sock, fields["request_id"], len(fields.get("continue_tokens", ())))

    def _stream(self, sock: Any, request_id: str, start: int) -> bool:
        prompt, count = self.streams[request_id]
        sock.sendall(HEAD)
        for index in range(start, count):
            while index >= self.script.allowed:
                self.script.changed.wait(0.05)
                self.script.changed.clear()
            fault = self.script.take(index)
            if fault == "cut":
                return False
            if fault == "silent":
                gevent.sleep(3600)
            if fault == "die":
                gevent.spawn(self.die)
                gevent.sleep(3600)
            if fault == "restart":
                gevent.spawn(self.restart)
                gevent.sleep(3600)
            if fault == "refuse_all":
                return False
            if fault == "end":
                return self._end(sock)
            number = {"repeat": index - 1, "skip": index + 1}.get(fault, index)
            owner = "other-request" if fault == "crossed" else request_id
            last = index == count - 1
            sock.sendall(_frame(self._chunk(owner, prompt, number, last, fault, count)))
            self.sent_tokens += 1
        return self._end(sock)

    def _end(self, sock: Any) -> bool:
        sock.sendall(_frame(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        return True

    def _chunk(
        self, owner: str, prompt: str, index: int, last: bool, fault: str, count: int
    ) -> bytes:
        text = token(prompt, index) + self.extra
        choice = {
            "index": 0,
            "delta": {"content": "foreign " if fault == "crossed" else text},
            "token_index": index,
            "finish_reason": "stop" if last else None,
        }
        chunk = {
            "id": owner,
            "incarnation": "stale" if fault == "stale" else self.incarnation,
            "version": "v0" if fault == "version" else self.version,
            "choices": [choice],
        }
        if last:
            chunk["usage"] = {
                "prompt_tokens": 3,
                "completion_tokens": count,
                "prompt_tokens_details": {"cached_tokens": 2},
            }
        if fault == "garbage":
            return b"data: {broken\n\n"
        return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _frame(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _status(sock: Any, status: int, data: Any = None) -> bool:
    body = orjson.dumps(data or {})
    sock.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
    return True
