"""One engine in trouble answers questions about its cache with bytes that do not end."""

import socket
import sys
import threading
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    Fleet,
    Node,
    Record,
    Request,
    Store,
    Worker,
    answer_bytes,
    ask,
    configuration,
    event_stream,
    play,
)

#: Rate at which the engine in trouble sends; the machines' links carry 125 MB/s.
TROUBLE_BYTES_PER_S = 20_000_000
PIECE_BYTES = 262_144
#: The engine in trouble, one of six.
ENGINE = "i-e1"
SECONDS = 20.0
#: When the trouble of the engine begins and ends.
TROUBLE_BEGINS_S = 4.0
TROUBLE_ENDS_S = 12.0
STREAMS_PER_S = 10
CALLS_PER_S = 15
#: ``timeoutMs`` of the plain routes, and the time after it that the rule allows.
TIMEOUT_S = 1.0
SLACK_S = 0.5
#: Time that clients wait for an answer to a plain request.
DEADLINE_S = 3.0
#: Clients abandon a stream after such a gap.
GAP_S = 2.4


class DeskWorker(Worker):
    """A sound worker of the plain service; it notes what it ran."""

    ran: set[str] = set()

    def run(self, request: Request, _sock: socket.socket) -> bytes:
        self.ran.add(request.headers["request-id"])
        self.record.line("run", worker=self.id, id=request.headers["request-id"])
        time.sleep(0.015)
        return answer_bytes(200, self.stamp(request), b"done")


class EngineWorker(Worker):
    """An engine; in trouble, its answers about cache events are chunks of one byte without end."""

    in_trouble = threading.Event()

    def serve(self, request: Request, sock: socket.socket) -> bytes | None:
        is_events = request.target.startswith("/arbutustally/kv-events")
        if not (is_events and self.id == ENGINE and self.in_trouble.is_set()):
            return super().serve(request, sock)
        self.record.line("endless_begins", worker=self.id)
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked"
        sent, began = 0, time.monotonic()
        piece = b"1\r\n \r\n" * (PIECE_BYTES // 6)
        try:
            sock.sendall(head.encode() + b"\r\n\r\n")
            while True:
                sock.sendall(piece)
                sent += len(piece)
                time.sleep(len(piece) / TROUBLE_BYTES_PER_S)
        except OSError:
            self.record.line(
                "endless_ends", worker=self.id, bytes=sent, took=round(time.monotonic() - began, 2)
            )
            return None

    def run(self, request: Request, sock: socket.socket) -> bytes | None:
        return event_stream(self, request, sock, 12)


class Clients:
    """Sends requests at steady rates and notes how long the answers took."""

    def __init__(self, nodes: list[Node], record: Record) -> None:
        self._nodes = nodes
        self._record = record
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        #: Id of each plain request, whether it is a booking, and seconds until its answer,
        #: infinite without one.
        self.took: list[tuple[str, bool, float]] = []
        self.longest_ready_s = 0.0

    def play(self, trouble: bool) -> None:
        """Sends requests for ``SECONDS``."""
        began, sent = time.monotonic(), {"stream": 0, "call": 0}
        while (now := time.monotonic() - began) < SECONDS:
            if trouble and TROUBLE_BEGINS_S <= now < TROUBLE_ENDS_S:
                EngineWorker.in_trouble.set()
            else:
                EngineWorker.in_trouble.clear()
            for kind, rate in (("stream", STREAMS_PER_S), ("call", CALLS_PER_S)):
                if sent[kind] <= now * rate * len(self._nodes):
                    self._spawn(kind, sent[kind])
                    sent[kind] += 1
            time.sleep(0.005)
        for thread in self._threads:
            thread.join(15.0)

    def _spawn(self, kind: str, number: int) -> None:
        node = self._nodes[number % len(self._nodes)]
        target = self._stream if kind == "stream" else self._call
        thread = threading.Thread(target=target, args=(node, number), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _call(self, node: Node, number: int) -> None:
        is_booking = number // len(self._nodes) % 2 == 0
        method, target = ("POST", "/book/a") if is_booking else ("GET", "/look/a")
        request_id = uuid.uuid4().hex[:16]
        headers = {"Host": "h.example", "Request-Id": request_id}
        headers |= {"Authorization": "Token key-north", "Deadline-Ms": str(int(DEADLINE_S * 1000))}
        body = b"x" * 600 if is_booking else b""
        began, status = time.monotonic(), 0
        self._record.line("send", id=request_id, node=node.ip, target=target)
        took = float("inf")
        try:
            status = ask(node.front, method, target, headers, body, DEADLINE_S)[0]
            took = time.monotonic() - began
        except OSError as error:
            self._record.line("no_answer", id=request_id, error=type(error).__name__)
        with self._lock:
            self.took.append((request_id, is_booking, took))
        self._record.line("answer", id=request_id, status=status, took=round(took, 3))

    def watch_ready(self, node: Node) -> None:
        """Asks a node again and again whether it is ready, and notes the longest wait."""
        while True:
            began = time.monotonic()
            is_ready = node.is_ready(5.0)
            took = time.monotonic() - began
            if took > 0.5 or not is_ready:
                self._record.line("ready", node=node.ip, ready=is_ready, took=round(took, 3))
            self.longest_ready_s = max(self.longest_ready_s, took)
            time.sleep(0.2)

    def _stream(self, node: Node, number: int) -> None:
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Authorization": "Token key-south",
            "Deadline-Ms": "12000",
            "Model": "m0",
            "Token-Usage": "800,50",
            "Prompt-Prefix": f"aa:120,{number:x}b:680",
            "Content-Length": "1700",
        }
        lines = ["POST /draft/a HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
        self._record.line("send_stream", id=request_id, node=node.ip)
        events, received, event_at = 0, b"", time.monotonic()
        try:
            with socket.create_connection(node.front, 1.0) as sock:
                sock.settimeout(0.2)
                sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * 1700)
                while time.monotonic() - event_at < GAP_S:
                    try:
                        data = sock.recv(1 << 20)
                    except TimeoutError:
                        continue
                    if not data:
                        break
                    received = (received + data)[-200_000:]
                    if (count := received.count(b"data: ")) > events:
                        events, event_at = count, time.monotonic()
                    if received.endswith(b"0\r\n\r\n"):
                        break
        except OSError as error:
            self._record.line("stream_failed", id=request_id, error=type(error).__name__)
        self._record.line("stream_end", id=request_id, events=events)


def case(record: Record, trouble: bool) -> bool:
    store = Store()
    store.write("keyed.op", "config", configuration(1))
    for number in range(1, 7):
        EngineWorker(f"i-e{number}", "llm", store, record, "m0")
    for number in (1, 2, 3):
        DeskWorker(f"i-d{number}", "desk", store, record)
    fleet = Fleet(2, store.address)
    try:
        fleet.start()
        time.sleep(3.5)
        clients = Clients(fleet.nodes, record)
        for node in fleet.nodes:
            threading.Thread(target=clients.watch_ready, args=(node,), daemon=True).start()
        clients.play(trouble)
    finally:
        fleet.stop()
    late = [one for one in clients.took if one[2] > TIMEOUT_S]
    unanswered = [one for one in late if one[2] > TIMEOUT_S + SLACK_S]
    ran = sum(
        is_booking and request_id in DeskWorker.ran for request_id, is_booking, _ in unanswered
    )
    record.line("result", late=len(late), unanswered=len(unanswered), bookings_that_ran=ran)
    print(
        f"{len(clients.took)} plain requests, {len(late)} unanswered at timeoutMs, "
        f"{len(unanswered)} of them without an answer 0.5 s later, "
        f"{ran} of these bookings that ran; "
        f"longest wait for readyz {clients.longest_ready_s:.1f} s"
    )
    return len(unanswered) < 8 or len(unanswered) <= len(late) / 2


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
