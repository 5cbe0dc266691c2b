"""Nodes as real processes over returns of the store: frozen, cut off, and restarted ones."""

import json
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from sys import executable

import gevent
import urllib3
from bottle import HTTPResponse, request

from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase, settings
from tests.platform_fakes import FakeStore, FakeWorker
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.program import PEER_PORT, PORTS, Program
from tests.soak.proxy import Harm, Proxy

#: Longer than a node that is silent counts as holder at its peers.
LEASE_S = 2.0
#: Time between two returns, and until the operator writes again: less than the lease lasts, seconds.
RETURN_PAUSE_S = 1.0
READY_S = 20.0
#: Time that a node that wakes has for orders under its old lease, seconds.
AWAKE_S = 1.0
#: Time in which engines get weights once they take orders again, seconds.
LOADED_S = 10.0
#: Time in which all nodes use the same endpoints after a return, seconds.
AGREED_S = 6.0
SERVERS = "keyed.servers"
#: Time after which no read of a node that was killed waits at the store, seconds.
LONGEST_READ_S = 2.0
#: Interval of heartbeats; far below the setting, so that a delayed one does not look like an outage
#: of the store, seconds.
HEARTBEAT_S = 0.3
#: Longest time until a node agrees that could not read the store meanwhile, seconds.
LONGEST_AGREEMENT_S = 30.0
#: Time from the begin of a read until its answer has arrived, less than until the next one, seconds.
ANSWERED_S = 0.3
#: Time for which a node is held up: a gap between two readings that may be an outage, seconds.
HOLD_S = 1.8
#: Records after a return that bring the offsets beyond the old ones.
MANY = 40


@dataclass(frozen=True)
class Delivery:
    """An order that reached the engine.

    :ivar at: monotonic seconds.
    """

    at: float
    holder: str
    fence: int
    is_accepted: bool

    @property
    def node(self) -> str:
        """Returns the name of the node that sent it."""
        return self.holder.partition("~")[0]


class FencingEngine(FakeWorker):
    """An engine that refuses fences lower than one that it has seen.

    :ivar is_busy: whether it puts all orders off, so that their sender keeps its lease.
    """

    def __init__(self) -> None:
        self.deliveries: list[Delivery] = []
        self.is_busy = False
        super().__init__("e1", "llm", "m")

    def _order(self):
        order = json.loads(request.body.read())
        highest = max((one.fence for one in self.deliveries), default=0)
        status = self._status(order, highest)
        is_accepted = status == 202
        delivery = Delivery(time.monotonic(), order["holder"], order["fence"], is_accepted)
        self.deliveries.append(delivery)
        if is_accepted:
            self.accepted += 1
            self.version = order["version"]
        return HTTPResponse(status=status)

    def _status(self, order: dict, highest: int) -> int:
        if order["fence"] < highest:
            return 412
        return 409 if self.is_busy or order["expect"] != self.accepted else 202


class ProcessCase(GatewayCase):
    """Two nodes, each behind a proxy to the store, and one engine that loads."""

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.directory = Path(tempfile.mkdtemp(prefix="return-"))
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.engine = FencingEngine()
        self.desks = [FakeWorker(f"d{number}", "desk") for number in (1, 2, 3)]
        for worker in (self.engine, *self.desks):
            self.addCleanup(worker.stop)
            self.store.put(SERVERS, worker.id, worker.entry())
        self.store.put("keyed.op", "config", configuration())
        self.start_processes()

    def start_processes(self) -> None:
        network = Network.reserve_free(FIRST_NETWORK, tuple(PORTS.values()))
        self.addCleanup(network.release)
        self.ips = {f"node-{number}": ip for number, ip in enumerate(network.ips(2), 1)}
        self.proxies = {name: Proxy(self.store.address) for name in self.ips}
        self.nodes = {name: self.program(name) for name in self.ips}
        for proxy in self.proxies.values():
            self.addCleanup(proxy.stop)
        for program in self.nodes.values():
            program.start()
            self.addCleanup(program.end)
        self.await_ready()

    def program(self, name: str) -> Program:
        ip = self.ips[name]
        fields = settings(
            self.proxies[name].address,
            name,
            ip,
            listen={which: f"{ip}:{port}" for which, port in PORTS.items()},
            internalPorts=[PEER_PORT, PEER_PORT],
            bounds={
                "versionMs": 8000,
                "leaseTtlMs": int(LEASE_S * 1000),
                "graceS": 3,
                "ttl_max_s": 1,
            },
            seeds=[f"{other}:{PORTS['control']}" for other in self.ips.values()],
        )
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(fields))
        command = [executable, "-m", "arbutustally_platform"]
        variables = {"ARBUTUSTALLY_CONFIG": str(path)}
        return Program(name, command, self.directory / f"{name}.log", variables)

    def await_ready(self) -> None:
        for name in self.nodes:
            self.eventually(lambda name=name: self.is_ready(name), READY_S)

    def is_ready(self, name: str) -> bool:
        url = f"http://{self.ips[name]}:{PORTS['ready']}/arbutustally/readyz"
        try:
            return self.http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def look(self, name: str, number: int) -> int:
        """Sends a request that any desk may serve; returns its status."""
        headers = {
            "Host": "h.example",
            "Request-Id": f"{name}-{number}",
            "Authorization": "Token key-school",
            "Deadline-Ms": "1500",
        }
        url = f"http://{self.ips[name]}:{PORTS['front']}/look/x"
        return self.http.request("GET", url, headers=headers).status

    def uses(self, name: str, worker: FakeWorker) -> bool:
        """Returns whether a node sends any of some requests to a worker."""
        before = len(worker.ran)
        for number in range(12):
            self.look(name, number)
        return len(worker.ran) > before


class ReturnProcessesTest(ProcessCase):
    """Orders to the engine over returns of the store."""

    def begin_orders(self, version: int = 2) -> Delivery:
        """Names weights that the engine puts off; returns the first order of them."""
        self.engine.is_busy = True
        known = len(self.engine.deliveries)
        self.store.put("keyed.op", "version/m", {"model": "m", "version": version})
        self.eventually(lambda: len(self.engine.deliveries) > known)
        return self.engine.deliveries[-1]

    def return_to(self, *copies) -> float:
        """Returns to copies in quick succession; tells when the last return was."""
        for copy in copies:
            self.store.return_to(copy)
            returned_at = time.monotonic()
            gevent.sleep(RETURN_PAUSE_S)
        self.store.write_again()
        return returned_at

    def await_order(self, fence: int) -> Delivery:
        """Returns the first order under a higher fence."""
        self.eventually(lambda: any(one.fence > fence for one in self.engine.deliveries))
        return next(one for one in self.engine.deliveries if one.fence > fence)

    def wake_without_store(self, name: str) -> None:
        """Wakes a node that hears from its peers, but for a while nothing from the store."""
        self.proxies[name].set(Harm.SILENT)
        self.nodes[name].send(signal.SIGCONT)
        gevent.sleep(AWAKE_S)
        self.proxies[name].set(Harm.NONE)
        gevent.sleep(AWAKE_S)

    def load(self, version: int = 2) -> None:
        """Lets the engine take orders until it has the weights."""
        self.engine.is_busy = False
        self.eventually(lambda: self.engine.version == version, LOADED_S)

    def assert_fenced(self) -> None:
        """Checks that no order came under a stale lease, and no fence from two holders."""
        fences = [one.fence for one in self.engine.deliveries]
        self.assertEqual(fences, sorted(fences))
        holders = {(one.fence, one.holder) for one in self.engine.deliveries}
        self.assertEqual(len(holders), len(set(fences)))

    def test_holder_that_is_frozen_through_a_return(self) -> None:
        """Guards against a node that wakes and orders under a lease that another has now."""
        copy = self.store.take_copy()
        old = self.begin_orders()
        self.nodes[old.node].send(signal.SIGSTOP)
        returned_at = self.return_to(copy)
        new = self.await_order(old.fence)
        self.assertNotEqual(new.node, old.node)
        self.assertGreaterEqual(new.at - returned_at, LEASE_S)
        self.wake_without_store(old.node)
        self.load()
        self.assert_fenced()

    def test_holder_that_is_frozen_through_two_returns(self) -> None:
        """Guards against a wait that the second return cuts short."""
        first = self.store.take_copy()
        old = self.begin_orders()
        second = self.store.take_copy()
        self.nodes[old.node].send(signal.SIGSTOP)
        returned_at = self.return_to(second, first)
        new = self.await_order(old.fence)
        self.assertGreaterEqual(new.at - returned_at, LEASE_S)
        self.wake_without_store(old.node)
        self.load()
        self.assert_fenced()

    def test_holder_goes_on_over_two_returns(self) -> None:
        """Guards against a holder that stops at the second of two new eras."""
        first = self.store.take_copy()
        old = self.begin_orders()
        self.return_to(self.store.take_copy(), first)
        self.await_order(old.fence)
        self.load()
        self.assert_fenced()

    def test_holder_that_is_cut_off_and_hears_the_era_from_peers_only(self) -> None:
        """Guards against a lease that is believed for as long as nobody denies it."""
        copy = self.store.take_copy()
        old = self.begin_orders()
        self.proxies[old.node].set(Harm.RESET)
        returned_at = self.return_to(copy)
        new = self.await_order(old.fence)
        self.assertNotEqual(new.node, old.node)
        self.assertGreaterEqual(new.at - returned_at, LEASE_S)
        self.store.put(SERVERS, "d1", self.desks[0].entry("draining"))
        gevent.sleep(AGREED_S)
        self.assertFalse(self.uses(old.node, self.desks[0]))
        self.assertTrue(self.uses(old.node, self.desks[1]))
        self.load()
        self.proxies[old.node].set(Harm.NONE)
        self.begin_orders(3)
        self.load(3)
        self.assert_fenced()

    def test_all_nodes_restart_in_the_new_era(self) -> None:
        """Guards against nodes without memory that order below the fences of the old era."""
        copy = self.store.take_copy()
        old = self.begin_orders()
        self.store.return_to(copy)
        for program in self.nodes.values():
            program.end()
        for program in self.nodes.values():
            program.start()
        self.store.write_again()
        self.await_ready()
        self.await_order(old.fence)
        self.load()
        self.assert_fenced()

    def wake_with_an_answer_of_the_old_era(self) -> None:
        """Wakes a node whose answer names an endpoint that the store has lost by then.

        The other workers write heartbeats from then on, as they do on the platform. Without them, a
        node that is held up takes the gap for an outage of the store and keeps the endpoint longer.
        """
        gone = self.desks[2]
        self.store.put(SERVERS, gone.id, None)
        self.nodes["node-2"].end()
        gevent.sleep(LONGEST_READ_S)
        copy = self.store.take_copy()
        self.eventually(lambda: self.store.waiting[SERVERS] == 1)
        self.nodes["node-1"].send(signal.SIGSTOP)
        # The answer to the read that waits lies in the frozen node's socket.
        self.store.put(SERVERS, gone.id, gone.entry())
        gevent.sleep(0.2)
        self.store.return_to(copy)
        for _ in range(MANY):
            self.store.put(SERVERS, "d2", self.desks[1].entry())
        gevent.sleep(1.0)
        self.addCleanup(gevent.spawn(self.write_heartbeats).kill)
        self.nodes["node-1"].send(signal.SIGCONT)

    def write_heartbeats(self) -> None:
        while True:
            for worker in (self.engine, *self.desks[:2]):
                self.store.put(SERVERS, worker.id, worker.entry())
            gevent.sleep(HEARTBEAT_S)

    def await_agreement(self, name: str, since: float) -> None:
        """Waits until a node must use what the store lists.

        A node that can't read the store keeps removed endpoints for some more time.
        """
        lost, end = 0, since + AGREED_S
        while (now := time.monotonic()) < end:
            gevent.sleep(min(0.1, end - now))
            log = (self.directory / f"{name}.log").read_text()
            if log.count('"event":"store_lost"') > lost:
                lost = log.count('"event":"store_lost"')
                end = time.monotonic() + AGREED_S
            self.assertLess(end - since, LONGEST_AGREEMENT_S, "the node can't read the store")

    def test_node_that_wakes_with_an_answer_of_the_old_era(self) -> None:
        """Guards against an endpoint that only a node knows which was frozen through a return."""
        self.wake_with_an_answer_of_the_old_era()
        self.await_agreement("node-1", time.monotonic())
        self.assertFalse(self.uses("node-1", self.desks[2]))
        self.assertTrue(self.uses("node-1", self.desks[1]))

    def test_woken_node_that_is_held_up_drops_the_endpoint_in_time(self) -> None:
        """Guards against gaps of one node that prolong the use of an endpoint that is gone.

        The node is held up while it keeps the endpoint, as on a machine under load.
        """
        self.wake_with_an_answer_of_the_old_era()
        woken_at = time.monotonic()
        for _ in range(2):
            reads = self.store.reads[SERVERS]
            self.eventually(lambda reads=reads: self.store.reads[SERVERS] > reads)
            # The answer to this read arrives, and the next one has not begun.
            gevent.sleep(ANSWERED_S)
            self.nodes["node-1"].send(signal.SIGSTOP)
            gevent.sleep(HOLD_S)
            self.nodes["node-1"].send(signal.SIGCONT)
        self.await_agreement("node-1", woken_at)
        self.assertFalse(self.uses("node-1", self.desks[2]))
        self.assertTrue(self.uses("node-1", self.desks[1]))
