"""A node that was suspended while an account became isolated, as a process of its own."""

import signal
import socket

import gevent
import urllib3

from tests.account_changes import account
from tests.fake_configuration import configuration
from tests.node_process import NodeProcessCase
from tests.platform_fakes import FakeStore, FakeWorker
from tests.soak.program import PORTS

#: Time for which the node is suspended, seconds.
SUSPENDED_S = 3.0
ANSWER_S = 8.0


class WokenNodeTest(NodeProcessCase):
    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.engine = FakeWorker("e1", "llm", "m")
        self.desk = FakeWorker("d1", "desk")
        for worker in (self.engine, self.desk):
            self.addCleanup(worker.stop)
            self.store.put("keyed.servers", worker.id, worker.entry())
        self.configure(1, account("school"), account("guest"))
        self.start_process()

    def configure(self, version: int, *accounts: dict) -> None:
        self.store.put("keyed.op", "config", configuration(version, tenants=list(accounts)))

    def begin(self, name: str) -> socket.socket:
        """Sends a request of an account on a new connection."""
        lines = (
            "POST /chat/x HTTP/1.1",
            "Host: h.example",
            f"Request-Id: {name}",
            f"Authorization: Token key-{name.split('-')[0]}",
            "Deadline-Ms: 8000",
            "Model: m",
            "Token-Usage: 100,5",
            "Prompt-Prefix: aa:60,bb:40",
            "Content-Length: 0",
        )
        caller = socket.create_connection((self.ip, PORTS["front"]), 2.0)
        self.addCleanup(caller.close)
        caller.settimeout(ANSWER_S)
        caller.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        return caller

    def scope(self, name: str, caller: socket.socket) -> str:
        """Returns the cache scope under which a request ran."""
        self.assertIn(b" 200 ", caller.recv(65536)[:20])
        self.eventually(lambda: any(one["Request-Id"] == name for one in self.engine.seen))
        return next(one["Cache-Salt"] for one in self.engine.seen if one["Request-Id"] == name)

    def test_waiting_request_reads_no_part_of_an_account_isolated_meanwhile(self) -> None:
        """Guards against requests that run under the configuration of before the suspension."""
        shared = self.scope("guest-1", self.begin("guest-1"))
        self.program.send(signal.SIGSTOP)
        self.addCleanup(self.program.send, signal.SIGCONT)
        # The store serves the others only, so the node learns the configuration late.
        self.store.status = 503
        self.configure(2, account("school"), account("guest", True))
        gevent.sleep(SUSPENDED_S)
        caller = self.begin("school-1")
        self.program.send(signal.SIGCONT)
        self.assertNotEqual(self.scope("school-1", caller), shared)

    def test_scope_returns_with_the_contact(self) -> None:
        """Guards against a node that shares nothing for ever after it was suspended."""
        shared = self.scope("guest-1", self.begin("guest-1"))
        self.program.send(signal.SIGSTOP)
        gevent.sleep(SUSPENDED_S)
        self.program.send(signal.SIGCONT)
        gevent.sleep(SUSPENDED_S)
        self.assertEqual(self.scope("school-1", self.begin("school-1")), shared)
