"""Faulty programs of every kind that send bytes without end to one node that is a process.

Guards against a node that keeps what it is sent until it runs out of memory, and ends with the
requests of all its callers.
"""

import itertools
import socket
import struct
import time
import zlib
from collections.abc import Iterator

import gevent
import orjson
import urllib3
from gevent.server import StreamServer

from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.peer_state import Covers, PeerState
from tests.endless_answers import ENDLESS, FILLED, Form
from tests.fake_configuration import configuration
from tests.node_process import NodeProcessCase
from tests.platform_fakes import FakeStore, FakeWorker
from tests.raw_worker import read_request
from tests.soak.program import PEER_PORT, PORTS

#: Time for which each form is sent, seconds.
FORM_S = 0.7
#: Longest time for which one connection is served.
CONNECTION_S = 8.0
ANSWERED_S = 15.0
#: Descriptors of a node besides those of its connections to the programs of a test.
MAX_DESCRIPTORS = 400
#: Time for which datagrams are sent, seconds.
FLOOD_S = 3.0
#: Times that pages are sent for ``FORM_S``; a node that starts reads them all.
PAGES_FORMS = 6
ENGINES = 9
DESKS = 3


class FaultySender:
    """Answers each call with the current form, on any path that is not left out.

    :ivar form: what to send; ``None`` closes the connection.
    :ivar called: paths without their queries.
    """

    def __init__(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        self.form: Form | None = None
        self.called: set[str] = set()
        self._server = StreamServer((ip, port), self._serve)
        self._server.start()
        self.address = f"{ip}:{self._server.server_port}"

    def stop(self) -> None:
        """Stops listening."""
        self.form = None
        self._server.stop(timeout=0)

    def _serve(self, connection, _address) -> None:
        until = time.monotonic() + CONNECTION_S
        try:
            asked = read_request(connection.makefile("rb"), 0)
            if asked is None or self.form is None:
                return
            self.called.add(asked.target.partition("?")[0])
            for piece in self.form():
                connection.sendall(piece)
                if time.monotonic() > until:
                    break
                gevent.sleep(0)
        except OSError:
            return
        finally:
            connection.close()


class EndlessSendersCase(NodeProcessCase):
    """One node, a sound worker, and faulty programs beside it."""

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.fields = configuration()
        self.desk = FakeWorker("d0", "desk")
        self.addCleanup(self.desk.stop)
        self.store.put("keyed.servers", self.desk.id, self.desk.entry())
        self.senders: list[FaultySender] = []
        self.callers: list = []
        self.statuses: list[int] = []

    def add_sender(self, name: str, service: str, model: str = "") -> FaultySender:
        """Adds a faulty worker to the list of endpoints."""
        sender = FaultySender()
        self.addCleanup(sender.stop)
        worker = FakeWorker(name, service, model)
        worker.stop()
        self.store.put("keyed.servers", name, {**worker.entry(), "address": sender.address})
        self.senders.append(sender)
        return sender

    def play(self, forms: dict[str, Form], *kinds: str) -> None:
        """Sends each form for a while, and checks the node.

        :param kinds: paths that the node must have called.
        """
        for name, form in forms.items():
            for sender in self.senders:
                sender.form = form
            deadline = time.monotonic() + FORM_S
            most = 0
            while time.monotonic() < deadline and self.program.is_alive:
                self.cause_calls()
                most = max(most, self.descriptors())
                gevent.sleep(0.1)
            self.assertTrue(self.program.is_alive, f"the process ended at {name}")
            print(f"{self.id()}: {name}, peak {self.peak_mb():.0f} MB", flush=True)
            self.assertLess(self.peak_mb(), self.memory_mb, name)
            self.assertLess(most, MAX_DESCRIPTORS, name)
        for sender in self.senders:
            sender.form = None
        gevent.killall(self.callers)
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)
        called = set().union(*(sender.called for sender in self.senders))
        for kind in kinds:
            self.assertTrue(any(kind in path for path in called), kind)

    def cause_calls(self) -> None:
        """Makes the node call the faulty programs."""

    def send(self, path: str, **headers: str) -> None:
        """Sends a request in the background."""
        url = f"http://{self.ip}:{PORTS['front']}{path}"
        fields = {
            "Host": "h.example",
            "Request-Id": f"r{time.monotonic_ns()}",
            "Authorization": "Token key-school",
            "Deadline-Ms": "1500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        self.callers.append(gevent.spawn(self._send, url, fields))

    def _send(self, url: str, fields: dict[str, str]) -> None:
        try:
            self.statuses.append(self.http.request("POST", url, headers=fields, body=b"x").status)
        except urllib3.exceptions.HTTPError:
            return


class FaultyEnginesTest(EndlessSendersCase):
    """Guards against engines whose answers about caches and to requests do not end."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(ENGINES):
            self.add_sender(f"e{number}", "llm", "m")
        self.store.put("keyed.op", "config", self.fields)
        self.start_process()

    def cause_calls(self) -> None:
        for _ in range(3):
            self.send("/chat/x", Model="m", Token_Usage="100,5", Prompt_Prefix="aa:60,bb:40")

    def test_bytes_without_end(self) -> None:
        self.play(ENDLESS, "kv-events", "/chat/x")

    def test_large_answers(self) -> None:
        self.play(FILLED, "kv-events", "/chat/x")


class FaultyReportsTest(EndlessSendersCase):
    """Guards against engines whose reports do not end, which a node reads for new weights."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(ENGINES):
            self.add_sender(f"e{number}", "llm", "m")
        self.store.put("keyed.op", "config", self.fields)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        self.start_process()

    def test_bytes_without_end(self) -> None:
        self.play(ENDLESS, "report")

    def test_large_answers(self) -> None:
        self.play(FILLED, "report")


class FaultyDesksTest(EndlessSendersCase):
    """Guards against plain workers whose answers to requests do not end."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(1, DESKS + 1):
            self.add_sender(f"d{number}", "desk")
            self.add_sender(f"b{number}", "bookings")
        self.fields["services"].append({**self.fields["services"][1], "name": "bookings"})
        self.fields["routes"][1]["service"] = "bookings"
        self.store.put("keyed.op", "config", self.fields)
        self.start_process()

    def cause_calls(self) -> None:
        for path in ("/look/x", "/look/y", "/book/x"):
            self.send(path)

    def test_bytes_without_end(self) -> None:
        self.play(ENDLESS, "/look/", "/book/")


class FaultyPartStoresTest(EndlessSendersCase):
    """Guards against part stores whose answers about their contents do not end."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(ENGINES):
            sender = FaultySender()
            self.addCleanup(sender.stop)
            self.senders.append(sender)
            place = {"name": f"kv{number}", "kvStoreAddr": sender.address, "zone": "z1"}
            self.fields["services"].append({**place, "maxInflight": 12})
        self.store.put("keyed.op", "config", self.fields)
        self.start_process()

    def test_bytes_without_end(self) -> None:
        self.play(ENDLESS, "kv-events")

    def test_large_answers(self) -> None:
        self.play(FILLED, "kv-events")


class FaultyStoreTest(EndlessSendersCase):
    """Guards against a store whose answers to all calls do not end."""

    def setUp(self) -> None:
        super().setUp()
        self.store.put("keyed.op", "config", self.fields)
        sound = self.store
        self.path = SwitchedPath(sound.address)
        self.addCleanup(self.path.stop)
        self.senders.append(self.path)
        self.store = self.path
        self.start_process()

    def test_bytes_without_end(self) -> None:
        self.play(ENDLESS, "log-read", "log-newest")

    def test_large_answers(self) -> None:
        self.play(FILLED, "log-read", "log-newest")

    def test_pages_without_end(self) -> None:
        """Guards against pages that always promise another one."""
        self.play({f"pages {number}": _pages for number in range(PAGES_FORMS)}, "log-newest")


def _pages() -> Iterator[bytes]:
    """Yields a page of the store with keys that no page before it had."""
    rows = [{"key": f"{next(_keys):09}", "value": "eHh4" * 300, "offset": 1} for _ in range(400)]
    body = orjson.dumps({"hasMore": True, "end": 1, "items": rows})
    yield b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


_keys = itertools.count()


class SwitchedPath(FaultySender):
    """A path to a sound store that answers with a form while there is one."""

    def __init__(self, target: str) -> None:
        self._target = target
        super().__init__()

    def _serve(self, connection, address) -> None:
        if self.form is not None:
            super()._serve(connection, address)
            return
        host, _, port = self._target.rpartition(":")
        with socket.create_connection((host, int(port))) as near:
            pumps = [
                gevent.spawn(self._pump, connection, near),
                gevent.spawn(self._pump, near, connection),
            ]
            gevent.joinall(pumps, count=1)
            gevent.killall(pumps)
        connection.close()

    def _pump(self, source, target) -> None:
        try:
            while self.form is None and (data := source.recv(65536)):
                target.sendall(data)
        except OSError:
            return


class FaultyPeerTest(EndlessSendersCase):
    """Guards against a peer whose snapshots do not end, and against floods of its datagrams."""

    def setUp(self) -> None:
        super().setUp()
        self.store.put("keyed.op", "config", self.fields)
        self.start_process()
        sender = FaultySender(self.peer_ip, PORTS["control"])
        self.addCleanup(sender.stop)
        self.senders.append(sender)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.socket.close)
        self.socket.bind((self.peer_ip, PEER_PORT))
        self.number = 0

    def cause_calls(self) -> None:
        """Claims a newer configuration, which the node fetches from this peer."""
        self.tell()

    def tell(self, **changes) -> None:
        """Sends a datagram to the node."""
        self.number += 1
        control = f"{self.peer_ip}:{PORTS['control']}"
        sender = Member("peer", self.peer_ip, "z1", self.peer_ip + ":1", control, True, 99, 0)
        state = PeerState(sender, "1", self.number, Covers.NODE, **changes)
        self.socket.sendto(state.encode(), (self.ip, PEER_PORT))

    def test_bytes_without_end(self) -> None:
        self.play(ENDLESS, "/snapshot")

    def test_large_answers(self) -> None:
        self.play(FILLED | SNAPSHOTS, "/snapshot")

    def test_flood_of_datagrams(self) -> None:
        """Guards against waiting datagrams that are all read before anything else is done."""
        wide = {"placed": tuple(("", "", (), False) for _ in range(20_000))}
        until = time.monotonic() + FLOOD_S
        while time.monotonic() < until:
            for _ in range(4):
                self.tell(**wide)
            gevent.sleep(0.001)
        self.assertLess(self.peak_mb(), self.memory_mb)
        self.eventually(lambda: self.ask() == 200, ANSWERED_S)


def _snapshot(content: bytes) -> Form:
    def form() -> Iterator[bytes]:
        body = zlib.compress(content)
        yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    return form


#: Small snapshots that take far more memory once decoded.
SNAPSHOTS = {
    "snapshot: empty lists": _snapshot(
        b"\x83\xf6\x80\x9a" + struct.pack(">I", 15 << 20) + b"\x80" * (15 << 20)
    ),
    "snapshot: zeros": _snapshot(b"\0" * (15 << 20)),
}
