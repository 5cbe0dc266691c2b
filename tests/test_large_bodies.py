"""Small crowds that hold large requests of legal size open at one node that is a process.

Guards against callers that do not keep to the pages and make a process end for lack of memory, hang,
or stay without memory or descriptors for ordinary callers. All bounds come from the settings: the
resident size stays below ``memoryMb``, and each caller's connection takes at most two descriptors.
"""

import resource
import select
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import gevent
import urllib3
from bottle import HTTPResponse, request
from gevent import monkey
from gevent.event import Event

from tests.fake_configuration import configuration
from tests.node_process import READY_S, NodeProcessCase
from tests.platform_fakes import FakeStore, FakeWorker
from tests.soak.program import PORTS

MEMORY_MB = 96
BODY_BYTES = 1 << 20
#: Largest body that the configuration allows by default, which one request in calm may have.
LARGEST_BODY_BYTES = 4 << 20
PIECE_BYTES = 16384
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 4000,
    "idleTimeoutMs": 5000,
}
#: Callers of each crowd. Their bodies together are twice as large as the memory of the process.
CROWD = 192
#: Callers with bodies in small chunks, which need time to be read, and the bytes of each chunk.
CHUNK_CROWD = 24
SMALL_CHUNK_BYTES = 16
CHUNK_CROWD_S = 20.0
#: Callers of the listeners besides that for requests.
WEB_CROWD = 48
#: Lines of a head at those listeners, and the bytes of each.
WEB_LINES = 90
WEB_LINE_BYTES = 60_000
#: Callers that leave streams unread, and the bytes and the number of their events.
STREAMS = 40
EVENT_BYTES = 64 << 10
EVENTS = 100
#: Descriptors of a node besides those of its callers' connections.
OTHER_DESCRIPTORS = 64
#: Limit of the process in the test that exhausts it, and its callers.
DESCRIPTORS = 300
#: Time that a crowd stays, seconds.
CROWD_S = 6.0
ANSWERED_S = 15.0
#: Grace period of the settings, and the time after which a process that still runs counts as hanging.
GRACE_S = 3
ENDED_S = 20.0
ROUNDS = 3
#: Callers that send further requests behind one that runs, and the bytes that each sends behind it.
#: Bytes that a process has received and not read count as its memory.
BEHIND_CROWD = 400
BEHIND_BYTES = 512 << 10
#: Fraction of the memory that is left for the program once nothing is reserved for requests.
PROGRAM_FRACTION = 0.65
ORDINARY_IP = "127.0.0.9"
REQUEST = "POST /look/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-school\r\n"
LISTENERS = {**PORTS, "metrics": 9464}
#: Interval at which callers look whether they were closed, and pause before they return.
RETURN_S = 1.0

# gevent's own poll does not know the event.
_poll = monkey.get_original("select", "poll")

#: Bytes that one caller sends, piece by piece, before it stops and stays.
Sent = Callable[[int], Iterator[bytes]]


def length_body(number: int) -> Iterator[bytes]:
    """Yields, at once, a request whose body stops a byte short of its length."""
    yield _length_head(f"l{number}") + b"b" * (BODY_BYTES - 1)


def length_pieces(number: int) -> Iterator[bytes]:
    """Yields such a request piece by piece."""
    yield _length_head(f"p{number}")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"b" * PIECE_BYTES
    yield b"b" * (PIECE_BYTES - 1)


def chunked_body(number: int) -> Iterator[bytes]:
    """Yields, at once, a request whose only chunk is of legal size and stops a byte short."""
    yield _chunked_head(f"c{number}") + b"%x\r\n" % BODY_BYTES + b"c" * (BODY_BYTES - 1)


def chunked_pieces(number: int) -> Iterator[bytes]:
    """Yields a request in many chunks, of which the last stops a byte short."""
    yield _chunked_head(f"d{number}")
    chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"c" * PIECE_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield chunk
    yield chunk[:-3]


def body_behind_a_request(number: int) -> Iterator[bytes]:
    """Yields a complete small request, and a large one behind it."""
    yield from small_body(number)
    head = f"{REQUEST}Request-Id: n{number}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    yield head.encode() + b"n" * BEHIND_BYTES


def small_chunks(number: int) -> Iterator[bytes]:
    """Yields a request in small chunks, of which the last stops a byte short."""
    yield _chunked_head(f"e{number}")
    chunk = b"%x\r\n%b\r\n" % (SMALL_CHUNK_BYTES, b"e" * SMALL_CHUNK_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield chunk * (PIECE_BYTES // SMALL_CHUNK_BYTES)
    yield (chunk * (PIECE_BYTES // SMALL_CHUNK_BYTES))[:-3]


def whole_body(number: int) -> Iterator[bytes]:
    """Yields a complete request."""
    yield _length_head(f"w{number}") + b"w" * BODY_BYTES


def stream(number: int) -> Iterator[bytes]:
    """Yields a complete request for a stream, which its caller does not read."""
    yield (
        "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-school\r\n"
        f"Request-Id: s{number}\r\nModel: m\r\nToken-Usage: 100,5\r\nPrompt-Prefix: aa:60\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def web_head(number: int) -> Iterator[bytes]:
    """Yields a head with many long lines, which does not end."""
    yield b"GET /arbutustally/resolve HTTP/1.1\r\n"
    for line in range(WEB_LINES):
        yield f"Filling-{number}-{line}: ".encode() + b"f" * WEB_LINE_BYTES + b"\r\n"


def web_body(number: int) -> Iterator[bytes]:
    """Yields a request whose body of legal size stops a byte short of its length."""
    path = "/arbutustally/preview" if number % 2 else "/arbutustally/resolve"
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    yield head.encode() + b"b" * (BODY_BYTES - 1)


def _length_head(request_id: str) -> bytes:
    return f"{REQUEST}Request-Id: {request_id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()


def _chunked_head(request_id: str) -> bytes:
    return f"{REQUEST}Request-Id: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()


class LargeBodyCase(NodeProcessCase):
    """One process, a plain worker, an engine with large events, and crowds of callers."""

    memory_mb = MEMORY_MB
    limits = LIMITS

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5.0, source_address=(ORDINARY_IP, 0))
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.desk = FakeWorker("d1", "desk")
        self.engine = LargeEventWorker("e1", "llm", "m")
        for worker in (self.desk, self.engine):
            self.addCleanup(worker.stop)
            entry = {**worker.entry(), "slots": 500}
            self.store.put("keyed.servers", worker.id, entry)
        self.released = Event()
        self.addCleanup(self.released.set)
        self.put_configuration()
        self.start_process()

    def put_configuration(self) -> None:
        """Writes the operator's configuration."""
        fields = configuration(limits=self.limits)
        for route in fields["routes"]:
            route["timeoutMs"] = 8000
        for service in fields["services"]:
            service["maxConnections"] = 500
        fields["services"][0]["engine"] |= {"slots": 500, "maxInflight": 500}
        self.store.put("keyed.op", "config", fields)

    def start_crowd(self, port: int, *members: tuple[int, Sent]) -> None:
        """Starts callers that send what each kind of member sends, again whenever they are closed."""
        self.count = sum(number for number, _sent in members)
        self.most_descriptors = 0
        self.callers = [
            gevent.spawn(self._stay, port, sent, index)
            for number, sent in members
            for index in range(number)
        ]
        self.addCleanup(gevent.killall, self.callers)

    def watch_crowd(self, stay_s: float = CROWD_S) -> None:
        """Observes the process while the crowd stays."""
        deadline = time.monotonic() + stay_s
        while time.monotonic() < deadline and self.program.is_alive:
            self.most_descriptors = max(self.most_descriptors, self.descriptors())
            gevent.sleep(0.1)

    def end_crowd(self) -> None:
        """Ends the crowd."""
        gevent.killall(self.callers)

    def check(self) -> None:
        """Checks that the process lives, stayed within its bounds, and answers."""
        self.assertTrue(self.program.is_alive, "the process ended")
        peak = self.peak_mb()
        print(f"{self.id()}: peak {peak:.0f} MB, {self.most_descriptors} descriptors", flush=True)
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.assertLess(peak, self.memory_mb)
        self.assertLess(self.most_descriptors, 2 * self.count + OTHER_DESCRIPTORS)

    def resident_mb(self) -> float:
        """Returns the resident size of the process now, MB."""
        pages = Path(f"/proc/{self.program.popen.pid}/statm").read_text().split()[1]
        return int(pages) * resource.getpagesize() / (1 << 20)

    def hold_large(self, headers: dict[str, str]) -> HTTPResponse | None:
        """Has the worker hold requests until they are released, but for ordinary ones."""
        request.body.read()
        if "Small" not in headers:
            self.released.wait(30.0)
        return None

    def _stay(self, port: int, sent: Sent, index: int) -> None:
        attempts = 0
        while True:
            attempts += 1
            try:
                self._hold(port, sent(index * 10_000 + attempts))
            except OSError:
                gevent.sleep(RETURN_S)

    def _hold(self, port: int, pieces: Iterator[bytes]) -> None:
        """Sends pieces, then keeps the connection open without reading until it is closed."""
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(20.0)
            caller.connect((self.ip, port))
            for piece in pieces:
                caller.sendall(piece)
                gevent.sleep(0)
            while not _is_closed(caller):
                gevent.sleep(RETURN_S)


class StayingBodiesTest(LargeBodyCase):
    """Guards against many large bodies at once that stop just short of their end."""

    def test_bodies_with_a_length_at_once(self) -> None:
        self._play((CROWD, length_body))

    def test_bodies_with_a_length_in_pieces(self) -> None:
        self._play((CROWD, length_pieces))

    def test_chunked_bodies_at_once(self) -> None:
        self._play((CROWD, chunked_body))

    def test_chunked_bodies_in_pieces(self) -> None:
        self._play((CROWD, chunked_pieces))

    def test_all_forms_and_some_whole_bodies(self) -> None:
        forms = (length_body, length_pieces, chunked_body, chunked_pieces)
        self._play(*((CROWD // 5, form) for form in forms), (CROWD // 5, whole_body))

    def test_three_crowds_one_after_another(self) -> None:
        """Guards against memory of one crowd that is not free for the next."""
        for _ in range(ROUNDS):
            self.start_crowd(PORTS["front"], (CROWD // 2, length_body), (CROWD // 2, chunked_body))
            self.watch_crowd()
            self.end_crowd()
            self.check()

    def test_process_is_small_again_afterwards(self) -> None:
        """Guards against memory that stays with the process after its callers have left."""
        self.start_crowd(PORTS["front"], (CROWD // 2, length_pieces), (CROWD // 2, whole_body))
        self.watch_crowd()
        self.end_crowd()
        self.check()
        bound = PROGRAM_FRACTION * self.memory_mb
        self.eventually(lambda: self.resident_mb() < bound, ANSWERED_S)

    def _play(self, *members: tuple[int, Sent]) -> None:
        self.start_crowd(PORTS["front"], *members)
        self.watch_crowd()
        # Another caller is answered while the crowd stays.
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.check()


class SmallChunksTest(LargeBodyCase):
    """Guards against chunks that each take several times their bytes."""

    limits = {**LIMITS, "headerTimeoutMs": 30_000}

    def test_bodies_in_small_chunks(self) -> None:
        self.start_crowd(PORTS["front"], (CHUNK_CROWD, small_chunks))
        self.watch_crowd(CHUNK_CROWD_S)
        self.end_crowd()
        self.check()


class CalmTest(LargeBodyCase):
    """Guards against limits that refuse a single large request inside the limits."""

    limits = {**LIMITS, "maxBodyBytes": LARGEST_BODY_BYTES}

    def test_largest_body_is_served(self) -> None:
        sent = b"z" * LARGEST_BODY_BYTES
        fields = {"Host": "h.example", "Authorization": "Token key-school"}
        for name, body in (("length", sent), ("chunks", iter([sent[: 1 << 21], sent[1 << 21 :]]))):
            with self.subTest(name=name):
                answer = self.http.request(
                    "POST",
                    f"http://{self.ip}:{PORTS['front']}/look/x",
                    headers={**fields, "Request-Id": name},
                    body=body,
                )
                self.assertEqual((answer.status, answer.data == sent), (200, True))


class HeldBodiesTest(LargeBodyCase):
    """Guards against whole bodies that a worker holds, whose requests are never shed."""

    def test_bodies_that_a_worker_holds(self) -> None:
        self.desk.behave = self.hold_large
        self.start_crowd(PORTS["front"], (CROWD, whole_body))
        self.watch_crowd()
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.released.set()
        self.check()


class UnreadBytesTest(LargeBodyCase):
    """Guards against bytes that the system holds for the process, which count as its memory."""

    def test_bodies_behind_a_running_request(self) -> None:
        self.desk.behave = self.hold_large
        self.start_crowd(PORTS["front"], (BEHIND_CROWD, body_behind_a_request))
        most = 0.0
        deadline = time.monotonic() + CROWD_S
        while time.monotonic() < deadline:
            unread = self._unread_bytes() / (1 << 20)
            most = max(most, unread + self.resident_mb())
            gevent.sleep(0.2)
        print(f"{self.id()}: {most:.0f} MB with {unread:.0f} MB unread at the end", flush=True)
        self.end_crowd()
        self.released.set()
        self.check()
        self.assertLess(most, self.memory_mb)

    def _unread_bytes(self) -> int:
        """Returns the bytes that wait in the receive queues of the node's connections."""
        ip = socket.inet_aton(self.ip)[::-1].hex().upper()
        local = f"{ip}:{PORTS['front']:04X}"
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        # Of sockets that listen, this is the number of waiting connections.
        return sum(
            int(row[4].partition(":")[2], 16) for row in rows if row[1] == local and row[3] == "01"
        )


class UnreadStreamsTest(LargeBodyCase):
    """Guards against relayed streams whose callers do not read."""

    def test_streams_that_are_not_read(self) -> None:
        self.start_crowd(PORTS["front"], (STREAMS, stream))
        self.watch_crowd()
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.assertGreater(len(self.engine.ran), STREAMS // 2)
        self.check()


class WebCrowdTest(LargeBodyCase):
    """Guards against callers of the other listeners that take the memory of the process."""

    def test_long_heads_at_the_directory(self) -> None:
        self._play("directory", web_head)

    def test_long_heads_at_the_readiness_listener(self) -> None:
        self._play("ready", web_head)

    def test_long_heads_at_the_control_listener(self) -> None:
        self._play("control", web_head)

    def test_long_heads_at_the_metrics_listener(self) -> None:
        self._play("metrics", web_head)

    def test_bodies_at_the_directory(self) -> None:
        self._play("directory", web_body)

    def test_bodies_at_the_control_listener(self) -> None:
        self._play("control", web_body)

    def _play(self, listener: str, sent: Sent) -> None:
        self.start_crowd(LISTENERS[listener], (WEB_CROWD, sent))
        self.watch_crowd()
        self.end_crowd()
        self.check()


class StartingTest(LargeBodyCase):
    """Guards against bodies that arrive before a node has a configuration."""

    limits = {**LIMITS, "maxBodyBytes": LARGEST_BODY_BYTES}

    def put_configuration(self) -> None:
        """Leaves the operator's configuration out."""

    def eventually(self, condition, within_s: float = 8.0) -> None:
        """Skips the wait for a first answer, which there is not without a configuration."""
        if within_s == READY_S:
            super().eventually(self._refuses, within_s)
        else:
            super().eventually(condition, within_s)

    def _refuses(self) -> bool:
        return self.ask() == 503

    def test_bodies_without_a_configuration(self) -> None:
        forms = (length_body, length_pieces, chunked_body, whole_body)
        self.start_crowd(PORTS["front"], *((CROWD // 4, form) for form in forms))
        self.watch_crowd()
        super().put_configuration()
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.check()


class StoppingTest(LargeBodyCase):
    """Guards against a crowd that keeps a process from stopping, or that signals let grow."""

    def test_process_ends_by_itself_after_sigterm(self) -> None:
        forms = (length_body, chunked_pieces, whole_body)
        self.start_crowd(PORTS["front"], *((CROWD // 3, form) for form in forms))
        self.watch_crowd()
        peak = self.peak_mb()
        self.assertEqual(self.program.end(signal.SIGTERM, ENDED_S), 0)
        self.assertLess(peak, self.memory_mb)

    def test_process_lives_through_sighups(self) -> None:
        forms = (length_body, chunked_pieces, whole_body)
        self.start_crowd(PORTS["front"], *((CROWD // 3, form) for form in forms))
        for _ in range(20):
            self.program.send(signal.SIGHUP)
            gevent.sleep(0.1)
        self.watch_crowd()
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.check()


class FewDescriptorsTest(LargeBodyCase):
    """Guards against requests and the workers' connections that together take all descriptors."""

    def command(self) -> list[str]:
        return ["/bin/sh", "-c", f'ulimit -n {DESCRIPTORS}; exec "$@"', "sh", *super().command()]

    def test_requests_that_a_worker_holds(self) -> None:
        self.desk.behave = self.hold_large
        self.start_crowd(PORTS["front"], (DESCRIPTORS, small_body))
        self.watch_crowd()
        self.end_crowd()
        self.released.set()
        self.assertLess(self.most_descriptors, DESCRIPTORS)
        self.check()

    def test_another_caller_while_a_worker_holds_requests(self) -> None:
        """Guards against requests of a crowd that keep another caller's from running."""
        self.desk.behave = self.hold_large
        self.start_crowd(PORTS["front"], (DESCRIPTORS, small_body))
        self.watch_crowd()
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.released.set()
        self.check()

    def test_another_caller_while_a_crowd_has_all_connections(self) -> None:
        """Guards against connections that wait unaccepted behind those of a crowd."""
        self.start_crowd(PORTS["front"], (DESCRIPTORS, small_body))
        self.watch_crowd()
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        self.end_crowd()
        self.check()


def small_body(number: int) -> Iterator[bytes]:
    """Yields a complete small request."""
    yield f"{REQUEST}Request-Id: t{number}\r\nContent-Length: 2\r\n\r\nok".encode()


class LargeEventWorker(FakeWorker):
    """An engine that sends large events."""

    def stream(self, after: int, until: int = EVENTS) -> Iterator[bytes]:
        """Yields the events of one request."""
        for number in range(after + 1, until + 1):
            yield f"id: {number}\ndata: ".encode() + b"e" * EVENT_BYTES + b"\n\n"


def _is_closed(caller: socket.socket) -> bool:
    """Returns whether the node has closed a connection, also behind an answer that is not read."""
    poll = _poll()
    poll.register(caller.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
