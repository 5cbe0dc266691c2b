"""Stand-ins and process control for the review cases; standard library only.

The store and the workers follow the protocol page of the platform. They run in threads of the
process that plays a case. The nodes under review run as processes of their own.
"""

import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PREFIX = "/arbutustally/"
#: Bounds of the small site files.
BOUNDS = {
    "stableWindowMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 110_000,
    "canaryShare": 0.1,
    "canarySlack": 50,
    "rollbackMs": 5000,
    "requireFence": True,
    "leaseTtlMs": 3000,
    "thawMs": 300,
    "versionMs": 6000,
    "versionAllMs": 8400,
    "ttl_max_s": 5,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def line(self, what: str, **fields: object) -> None:
        """Writes a line with the time since the start."""
        at = time.monotonic() - self._began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{at:8.3f} {what} {text}\n")
            self._file.flush()


@dataclass
class Request:
    """A request as its receiver has read it.

    :ivar headers: values by lower-case name; the last one of a repeated name.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)


class Wire:
    """A connection with a buffer of what was read."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""

    def read_request(self) -> Request | None:
        """Returns the next request, ``None`` at the end of the connection."""
        head = self._until(b"\r\n\r\n")
        if head is None:
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = _headers(lines)
        return Request(method, target, headers, self._body(headers))

    def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Returns status, headers and body of the next answer.

        :raises ConnectionError: if the connection ends inside it.
        """
        head = self._until(b"\r\n\r\n")
        if head is None:
            raise ConnectionError("no answer")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = _headers(lines)
        return int(first.split(" ")[1]), headers, self._body(headers)

    def _body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int(self._line().split(b";")[0], 16):
                parts.append(self._exactly(size))
                self._line()
            while self._line():
                continue
            return b"".join(parts)
        return self._exactly(int(headers.get("content-length", 0)))

    def _line(self) -> bytes:
        line = self._until(b"\r\n")
        if line is None:
            raise ConnectionError("ended inside a body")
        return line

    def _until(self, end: bytes) -> bytes | None:
        while (at := self._buffer.find(end)) < 0:
            data = self.sock.recv(65536)
            if not data:
                if self._buffer:
                    raise ConnectionError("ended inside a message")
                return None
            self._buffer += data
        found, self._buffer = self._buffer[:at], self._buffer[at + len(end) :]
        return found

    def _exactly(self, count: int) -> bytes:
        parts, left = [], count
        while left:
            data = self._buffer or self.sock.recv(1 << 20)
            if not data:
                raise ConnectionError("ended inside a body")
            parts.append(data[:left])
            self._buffer = data[left:]
            left -= len(parts[-1])
        return b"".join(parts)


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {text}" for name, text in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Serves HTTP/1.1 on a free loopback port, a thread for each connection."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def serve(self, request: Request, sock: socket.socket) -> bytes | None:
        """Returns the answer, or ``None`` to close the connection."""
        raise NotImplementedError

    def _accept(self) -> None:
        while True:
            try:
                sock, _address = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        wire = Wire(sock)
        try:
            while (request := wire.read_request()) is not None:
                answer = self.serve(request, sock)
                if answer is None:
                    return
                if answer:
                    sock.sendall(answer)
        except (OSError, ValueError):
            return
        finally:
            sock.close()


def _query(target: str) -> tuple[str, dict[str, str]]:
    path, _, query = target.partition("?")
    return path, dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


class Store(Server):
    """The platform's store, in its form as a log, with keyed topics in partition 0."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = threading.Condition()
        super().__init__()

    def write(self, topic: str, key: str, value: object | None) -> None:
        """Writes a record, as the operator or a worker does."""
        data = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._topics.setdefault(topic, []).append((key, data))
            self._changed.notify_all()

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, data) in enumerate(self._topics.get(topic, [])):
            found.pop(key, None)
            if data:
                found[key] = (offset, data)
        return found

    def serve(self, request: Request, sock: socket.socket) -> bytes | None:
        path, query = _query(request.target)
        topic = query.get("topic", "").replace("%2E", ".")
        name = path.removeprefix(PREFIX)
        if name == "log-newest":
            return self._newest(topic)
        if name == "log-read":
            return self._read(topic, int(query["from"]), int(query.get("waitMs", 0)) / 1000)
        if name == "log-append":
            return self._append(topic, query, request.body)
        return self._json(404, {})

    def _json(self, status: int, body: dict) -> bytes:
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        return answer_bytes(status, headers, json.dumps(body).encode())

    def _newest(self, topic: str) -> bytes:
        with self._changed:
            items = [
                {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                for key, (offset, data) in self.newest(topic).items()
            ]
            end = len(self._topics.get(topic, []))
        return self._json(200, {"items": items, "hasMore": False, "end": end})

    def _read(self, topic: str, start: int, wait_s: float) -> bytes:
        until = time.monotonic() + min(wait_s, 30.0)
        with self._changed:
            records = self._topics.setdefault(topic, [])
            while start >= len(records) and (left := until - time.monotonic()) > 0:
                self._changed.wait(left)
            if start > len(records):
                return self._json(410, {"first": 0})
            body = struct.pack(">QQ", len(records), 0)
            for key, data in records[start:]:
                content = bytes([len(key.encode())]) + key.encode() + data
                body += struct.pack(">I", len(content)) + content
        return answer_bytes(200, {"Store-Era": "1"}, body)

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        with self._changed:
            records = self._topics.setdefault(topic, [])
            end = len(records)
            if "at" in query and int(query["at"]) != end:
                return self._json(412, {"end": end})
            content = body[4:]
            size = content[0]
            records.append((content[1 : 1 + size].decode(), content[1 + size :]))
            self._changed.notify_all()
        return self._json(200, {"offset": end, "end": end + 1})


class Worker(Server):
    """A worker; a subclass decides how it runs a request.

    :ivar model: model of an engine, empty for a plain worker.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        store: Store,
        record: Record,
        model: str = "",
        release: str = "1",
        ip: str = "127.0.0.1",
    ) -> None:
        self.id = worker_id
        self.service = service
        self.model = model
        self.version = 1
        self.release = release
        self.accepted = 0
        self.lock = threading.Lock()
        self.record = record
        self._store = store
        self._born = int(time.time() * 1000)
        self._state: str | None = "ready"
        self._beats = 0
        super().__init__(ip)
        self.beat()
        threading.Thread(target=self._write_heartbeats, daemon=True).start()

    def beat(self) -> None:
        """Writes the worker's entry."""
        if self._state is None:
            return
        self._beats += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": self.release,
            "slots": 64 if self.model else 6,
            "state": self._state,
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": models if self.model else [],
            "sequence": self._beats,
            "born": self._born,
        }
        self._store.write("keyed.servers", self.id, entry)

    def _write_heartbeats(self) -> None:
        while self._state is not None:
            time.sleep(1.2)
            self.beat()

    def serve(self, request: Request, sock: socket.socket) -> bytes | None:
        path, _query_fields = _query(request.target)
        echo = {name: request.headers[name] for name in ("request-id",) if name in request.headers}
        if path == f"{PREFIX}kv-events":
            time.sleep(0.4)
            events = {"bootEpoch": 1, "next": 0, "lost": False, "events": []}
            return answer_bytes(200, echo, json.dumps(events).encode())
        if path == f"{PREFIX}report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            report = {"stage": "unified", "models": models if self.model else []}
            report |= {"busy": False, "sequence": self.accepted, "numWaiting": 0, "numRunning": 0}
            report |= {"kvUsed": 0, "kvTotal": 100_000, "handles": 0}
            return answer_bytes(200, echo, json.dumps(report).encode())
        if path == "/healthz":
            return answer_bytes(200, echo | {"Instance-Id": self.id}, b"")
        if path == f"{PREFIX}order":
            return answer_bytes(self._order(json.loads(request.body)), echo, b"")
        if request.headers.get("expect-instance", self.id) != self.id:
            return answer_bytes(421, echo | {"Instance-Id": self.id}, b"")
        expected = request.headers.get("expect-version")
        if self.model and expected is not None and expected != str(self.version):
            return answer_bytes(421, echo | {"Instance-Id": self.id}, b"")
        return self.run(request, sock)

    def _order(self, order: dict) -> int:
        with self.lock:
            if order["expect"] != self.accepted:
                return 409
            self.accepted += 1
            self.version = order["version"]
        self.record.line("order", worker=self.id, version=self.version)
        return 202

    def stamp(self, request: Request) -> dict[str, str]:
        """Returns the headers of an answer of this worker."""
        return {"Request-Id": request.headers.get("request-id", ""), "Server-Stamp": f"s.{self.id}"}

    def run(self, request: Request, sock: socket.socket) -> bytes | None:
        """Runs a request and returns its answer; empty if it was sent already."""
        raise NotImplementedError


def event_stream(worker: Worker, request: Request, sock: socket.socket, events: int) -> bytes:
    """Sends a stream of events in chunks, from the one after ``Last-Event-Id`` on."""
    headers = worker.stamp(request) | {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        "Weight-Versions": str(worker.version),
    }
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in headers.items())]
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    for number in range(int(request.headers.get("last-event-id") or 0) + 1, events + 1):
        time.sleep(0.01)
        piece = f"id: {number}\ndata: piece {number}\n\n".encode()
        sock.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
    return b"0\r\n\r\n"


class Node:
    """A node under review: one process, started with the command of the deploy file."""

    def __init__(
        self, ip: str, ips: list[str], ports: dict[str, int], store: str, folder: Path
    ) -> None:
        self.ip = ip
        self.front = (ip, ports["front"])
        self._ready = (ip, ports["ready"])
        self._settings = folder / f"{ip}.json"
        self.log = folder / f"{ip}.log"
        settings = {
            "nodeName": f"node-{ip}",
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory", "control"],
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {
                name: f"{ip}:{ports[name]}" for name in ("front", "ready", "control", "directory")
            },
            "internalPorts": [ports["internal"], ports["internal"]],
            "seeds": [f"{other}:{ports['control']}" for other in ips[:3]],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 150, "maxFds": 4100},
            "dataDir": None,
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "log"},
        }
        self._settings.write_text(json.dumps(settings))
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                _command(),
                cwd=ROOT,
                env={**os.environ, **_paths(), "ARBUTUSTALLY_CONFIG": str(self._settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Returns whether the node says that it takes requests."""
        headers = {"Host": "ready"}
        try:
            answer = ask(self._ready, "GET", f"{PREFIX}readyz", headers, timeout_s=timeout_s)
        except (OSError, ValueError):
            return False
        return answer[0] == 200

    def await_ready(self, within_s: float = 30.0) -> None:
        """Waits until the node is ready.

        :raises CaseError: if it does not become ready.
        """
        until = time.monotonic() + within_s
        while not self.is_ready():
            if time.monotonic() > until or self.popen.poll() is not None:
                raise CaseError(f"node {self.ip} is not ready: {self.log.read_text()[-2000:]}")
            time.sleep(0.05)

    def end(self) -> None:
        """Kills the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


def _command() -> list[str]:
    deploy = (ROOT / "deploy" / "system.toml").read_text().splitlines()
    run = next(line for line in deploy if line.startswith("run = "))
    return run.partition("=")[2].strip().strip('"').split()


def _paths() -> dict[str, str]:
    return {"PYTHONPATH": str(ROOT / "target" / "deps")}


def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection and returns the answer."""
    with socket.create_connection(address, 1.0) as sock:
        sock.settimeout(timeout_s)
        if body:
            headers = headers | {"Content-Length": str(len(body))}
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        sock.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        return Wire(sock).read_answer()


class Fleet:
    """Nodes on loopback addresses of their own, with the same free ports on each."""

    def __init__(self, count: int, store: str) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        net = os.getpid() % 250 + 1
        ips = [f"127.88.{net}.{number}" for number in range(1, count + 1)]
        ports = _free_ports(ips)
        self.nodes = [Node(ip, ips, ports, store, self.folder) for ip in ips]

    def start(self) -> None:
        """Starts all nodes and waits until they are ready."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.await_ready()

    def stop(self) -> None:
        """Ends all nodes and removes their settings and logs."""
        for node in self.nodes:
            node.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(ips: list[str]) -> dict[str, int]:
    names = ("front", "ready", "control", "directory", "internal")
    held, ports = [], {}
    try:
        for name in names:
            for port in range(20_000 + os.getpid() % 8000, 60_000):
                if (found := _bind_all(ips, port)) is not None:
                    held += found
                    ports[name] = port
                    break
    finally:
        for one in held:
            one.close()
    if len(ports) < len(names):
        raise CaseError("no free ports")
    return ports


def _bind_all(ips: list[str], port: int) -> list[socket.socket] | None:
    bound = []
    for ip in ips:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            one = socket.socket(socket.AF_INET, kind)
            bound.append(one)
            try:
                one.bind((ip, port))
            except OSError:
                for other in bound:
                    other.close()
                return None
    return bound


def configuration(version: int, **changes: object) -> dict:
    """Returns an operator's configuration like those of the small sites."""
    common = {"host": "h.example", "public": False, "sessionAffinity": False}
    plain = common | {"targetLatencyMs": 200, "priority": 2, "service": "desk", "timeoutMs": 1000}
    fields = {
        "version": version,
        "routes": [
            common
            | {
                "name": "draft",
                "pathPrefix": "/draft/",
                "kind": "streaming",
                "resumable": True,
                "sessionAffinity": True,
                "timeoutMs": 12000,
                "targetLatencyMs": 300,
                "gapAimMs": 300,
                "priority": 0,
                "service": "llm",
                "maxAttempts": 2,
            },
            plain
            | {"name": "book", "pathPrefix": "/book/", "kind": "non_idempotent", "maxAttempts": 1},
            plain
            | {"name": "look", "pathPrefix": "/look/", "kind": "idempotent", "maxAttempts": 2},
        ],
        "services": [
            {
                "name": "llm",
                "healthCheck": "/healthz",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 101817,
                    "kvTokenBytes": 163840,
                    "linkMbps": 2200000.0,
                    "maxInflight": 12,
                    "models": [{"name": "m0"}],
                },
            },
            {"name": "desk", "healthCheck": "/healthz", "maxConnections": 96},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [tenant("north"), tenant("south")],
    }
    return fields | changes


def tenant(name: str, isolated: bool = False) -> dict:
    """Returns a tenant of a configuration, whose key is ``key-NAME``."""
    return {
        "name": name,
        "apiKeys": [f"key-{name}"],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "isolated": isolated,
        "ratePerS": 100_000,
        "burst": 200_000,
    }


def play(folder: Path, case: Callable[[Record, bool], bool]) -> int:
    """Plays a case and returns the exit code of its script.

    :param case: plays with or without the disruption, and returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("begin", trouble=trouble)
    try:
        held = case(record, trouble)
    except Exception as error:
        record.line("could_not_run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    record.line("end", rule="held" if held else "broken")
    return 0 if held else 1
