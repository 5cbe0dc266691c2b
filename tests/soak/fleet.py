"""The processes of one soak: a store, workers behind proxies, and gateway nodes."""

import json
import signal
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent
import urllib3
from gevent.lock import BoundedSemaphore

from tests.fake_configuration import configuration
from tests.soak.networks import Network
from tests.soak.notes import Notes, Run
from tests.soak.program import PEER_PORT, PORTS, Program
from tests.soak.proxy import Proxy
from tests.soak.spans import Spans
from tests.soak.spoils import Spoiling
from tests.soak.worker import deaf_marker, unaware_marker

MODEL = "m"
#: Requests per second that a cold worker sustains.
COLD_PER_S = 4.0
#: How often the soak checks whether its own process is late, and from when it is, seconds.
WATCH_S = 0.05
LATE_S = 0.1
#: Interval at which workers renew their entries, seconds.
HEARTBEAT_S = 1.2
#: Shortest time between two silences of a worker that counts as sound, seconds.
BETWEEN_SILENCES_S = 1.0
#: As on the site sheets, but for a shorter lease.
BOUNDS = {
    "versionMs": 6000,
    "leaseTtlMs": 2000,
    "graceS": 6,
    "ttl_max_s": 1,
    "drainMs": 2000,
    "quotaOverage": 0.1,
    "quotaSlack": 1_000_000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 50,
}


class Backend:
    """A worker behind a proxy.

    :ivar left: when it was listed as leaving, or not at all.
    :ivar evacuated: when its zone was evacuated, as the store acknowledged.
    :ivar cold: when it was cold.
    :ivar silent: when its process was suspended although it counts as sound.
    """

    def __init__(self, fleet: "SoakFleet", worker_id: str, service: str, model: str) -> None:
        self._fleet = fleet
        self.id = worker_id
        self.service = service
        self.model = model
        self.version = 1
        self.born = 1
        self.proxy: Proxy | None = None
        self.program: Program | None = None
        self.disrupted = Spans()
        self.left = Spans()
        self.evacuated = Spans()
        self.cold = Spans()
        self.silent = Spans()
        self._cold_until = 0.0
        self._zone = "z1"
        self._state: str | None = None
        self._writing = BoundedSemaphore()
        self._spoils = fleet.directory / f"{worker_id}.spoils"
        self._spoilings: list[Spoiling] = []

    def start(self) -> None:
        """Starts the worker and lists it as ready."""
        notes = str(self._fleet.directory / f"{self.id}.ran")
        seed = f"{self._fleet.seed}/{self.id}/{self.born}"
        values = [self.id, self.model, str(self.version), notes, str(self._spoils), seed]
        self.program, address = self._fleet.back_end(self.id, "worker", *values)
        self.disrupted.end()
        self.program.disrupted = self.disrupted
        if self.proxy is None:
            self.proxy = Proxy(address)
        self.proxy.target = address
        self.list("ready")

    def list(self, state: str | None) -> None:
        """Writes the worker's entry, or removes it."""
        # Faults overlap; a worker writes its states and heartbeats one after the other.
        with self._writing:
            self._state = state
            if state == "ready":
                self.left.end()
            self._write_entry()
            if state != "ready":
                self.left.begin()

    def write_heartbeats(self) -> None:
        """Writes the entry again and again, until the greenlet is killed."""
        while True:
            gevent.sleep(HEARTBEAT_S)
            with self._writing:
                if self._state is not None and self.program.is_alive:
                    self._write_entry()

    def _write_entry(self) -> None:
        state = self._state
        if state is None:
            self._fleet.write("keyed.servers", self.id, None)
            return
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        entry = {
            "service": self.service,
            "address": self.proxy.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 32,
            "state": state,
            "coldRemainingMs": max(0, round((self._cold_until - time.monotonic()) * 1000)),
            "models": models if self.model else [],
            "sequence": 1,
            "born": self.born,
        }
        self._fleet.write("keyed.servers", self.id, entry)

    def evacuate(self, alone_s: float, seconds: float) -> None:
        """Lists the worker in a zone of its own and evacuates that for a while.

        :param alone_s: time in the zone before its evacuation.
        """
        if self._zone != "z1":
            return
        self._zone = f"z-{self.id}"
        key = f"evacuate/{self._zone}"
        gevent.sleep(alone_s)
        self._fleet.write("keyed.op", key, {"zone": self._zone})
        self.evacuated.begin()
        gevent.sleep(seconds)
        self.evacuated.end()
        self._fleet.write("keyed.op", key, None)
        self._zone = "z1"

    def cool(self, seconds: float) -> None:
        """Lists the worker as cold for a while."""
        if self._cold_until > time.monotonic():
            return
        self._cold_until = time.monotonic() + seconds
        with self._writing:
            if self._state is not None:
                self._write_entry()
        self.cold.begin()
        gevent.sleep(max(0.0, self._cold_until - time.monotonic()))
        self.cold.end()

    @contextmanager
    def spoiling(self, spoiling: Spoiling) -> Iterator[None]:
        """Makes the worker spoil answers meanwhile, besides what else it spoils."""
        self._spoilings.append(spoiling)
        self._save_spoils()
        try:
            yield
        finally:
            self._spoilings.remove(spoiling)
            self._save_spoils()

    def _save_spoils(self) -> None:
        merged = Spoiling()
        for one in self._spoilings:
            merged |= one
        merged.save(self._spoils)

    def fall_silent(self, seconds: float) -> None:
        """Suspends the worker, which still counts as sound, unless it was just silent."""
        now = time.monotonic()
        if now < self.silent.last_end(now) + BETWEEN_SILENCES_S:
            return
        program = self.program
        self.silent.begin()
        program.send(signal.SIGSTOP)
        gevent.sleep(seconds)
        program.send(signal.SIGCONT)
        self.silent.end()

    def ignore_orders(self) -> None:
        """Makes the worker leave all later orders unanswered and not carry them out."""
        deaf_marker(self._spoils).touch()

    def obey_orders(self) -> None:
        """Makes the worker carry out later orders again."""
        deaf_marker(self._spoils).unlink(missing_ok=True)

    def serve_closed(self) -> None:
        """Makes the worker run requests although their connection is closed."""
        unaware_marker(self._spoils).touch()

    def drop_closed(self) -> None:
        """Makes the worker drop requests whose connection is closed before they begin."""
        unaware_marker(self._spoils).unlink(missing_ok=True)

    def restart(self) -> None:
        """Starts the worker again under its id, with the weights that it had."""
        self.program.end()
        self.version = self._fleet.ordered_version(self.id)
        self.born += 1
        self.start()


@dataclass(frozen=True)
class FleetSize:
    """How many processes of each kind a soak has."""

    nodes: int = 3
    engines: int = 3
    desks: int = 2


class SoakFleet:
    """All processes of one soak.

    :param network: that nobody else uses; it is released when the fleet stops.
    :param bounds: of the nodes' settings.
    :ivar late: when this process, with its proxies and callers, was late.
    """

    def __init__(
        self,
        network: Network,
        size: FleetSize,
        seed: int,
        bounds: Mapping[str, object] = BOUNDS,
    ) -> None:
        self.seed = seed
        self._bounds = dict(bounds)
        self._network = network
        self.directory = Path(tempfile.mkdtemp(prefix=f"soak-{network.number}-"))
        self.programs: list[Program] = []
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._store, self._store_address = self.back_end("store", "store")
        self.late = Spans()
        self.store_disrupted = Spans()
        self._watch = gevent.spawn(self.watch_delays)
        self._config_version = 0
        self.weights = 1
        #: When each version of the weights was acknowledged, oldest first.
        self.named: list[tuple[int, float]] = []
        self.change_configuration()
        self.backends = [Backend(self, f"e{n}", "llm", MODEL) for n in range(1, size.engines + 1)]
        self.backends += [Backend(self, f"d{n}", "desk", "") for n in range(1, size.desks + 1)]
        for backend in self.backends:
            backend.start()
        self._heartbeats = [gevent.spawn(one.write_heartbeats) for one in self.backends]
        self.ips = network.ips(size.nodes)
        self.stores = {ip: Proxy(self._store_address) for ip in self.ips}
        self.nodes = {ip: self._node(ip) for ip in self.ips}
        for node in self.nodes.values():
            node.start()

    def back_end(self, name: str, *arguments: str) -> tuple[Program, str]:
        """Starts a stand-in; returns it and its address."""
        command = [sys.executable, "-m", "tests.soak.backends", *arguments]
        program = Program(name, command, self.directory / f"{name}.{len(self.programs)}.log")
        self.programs.append(program)
        program.start()
        with gevent.Timeout(20):
            while "\n" not in program.log.read_text():
                gevent.sleep(0.02)
        return program, program.log.read_text().split()[0]

    def write(self, topic: str, key: str, value: object | None) -> None:
        """Writes a record, as the operator or a worker does."""
        body = b"" if value is None else json.dumps(value).encode()
        self._call(f"record/{topic}/{key}", body)

    def change_configuration(self) -> None:
        """Puts a newer configuration in force."""
        self._config_version += 1
        fields = configuration(self._config_version)
        for service in fields["services"]:
            service["coldPerS"] = COLD_PER_S
        self.write("keyed.op", "config", fields)

    def name_weights(self) -> None:
        """Names newer weights."""
        self.weights += 1
        version = self.weights
        self.write("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version})
        self.named.append((version, time.monotonic()))

    def set_store_status(self, status: int) -> None:
        """Makes the store refuse every call, or serve again with 200."""
        self._call(f"status/{status}")
        self.store_disrupted.end() if status == 200 else self.store_disrupted.begin()

    def forget_history(self) -> None:
        """Makes the store forget the records that are not the newest of their key."""
        for topic in ("keyed.op", "keyed.servers"):
            self._call(f"forget/{topic}")
        self.store_disrupted.add(time.monotonic(), time.monotonic())

    def copy_store(self) -> int:
        """Copies what the store holds; returns the number of the copy."""
        return int(self._call("copy"))

    def return_store(self, copy: int, seed: int) -> None:
        """Makes the store return to a copy; operator and workers write again what it lost.

        :param seed: gives the order and the pauses in which they write.
        """
        began = time.monotonic()
        self._call(f"return/{copy}/{seed}")
        self.store_disrupted.add(began, time.monotonic())

    def notes(self) -> Notes:
        """Returns what the workers noted so far."""
        return Notes(self.directory)

    def ordered_version(self, engine: str) -> int:
        """Returns the newest version that an engine was ordered to load."""
        return max((order.version for order in self.notes().orders.get(engine, [])), default=1)

    def is_ready(self, ip: str) -> bool:
        """Returns whether a node says that it takes requests."""
        url = f"http://{ip}:{PORTS['ready']}/arbutustally/readyz"
        try:
            return self._http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def is_in_touch(self, ip: str, workers: tuple[str, ...], began: float, ended: float) -> bool:
        """Returns whether nothing disrupted a node, workers and the paths to them meanwhile."""
        spans = [self.nodes[ip].disrupted, self.late]
        for backend in self.backends:
            if backend.id in workers:
                spans += [backend.disrupted, backend.proxy.harmed]
        return not any(one.touch(began, ended) for one in spans)

    def calm_since(self, at: float) -> float:
        """Returns since when store and links were calm at a time, infinite if they were not."""
        links = [*self.stores.values(), *(one.proxy for one in self.backends)]
        spans = [self.store_disrupted, self.late, *(link.harmed for link in links)]
        return max(one.last_end(at) for one in spans)

    def worked_s(self, run: Run, since: float, until: float) -> float:
        """Returns how long a run was worked on in a span; a suspended process does not work."""
        backend = next(one for one in self.backends if one.id == run.worker)
        until = min(until, self.end_of(run))
        return until - since - backend.silent.common_s(since, until)

    def end_of(self, run: Run) -> float:
        """Returns when a run ended, at the latest with its worker's process."""
        if run.ended is not None:
            return run.ended
        backend = next(one for one in self.backends if one.id == run.worker)
        return backend.disrupted.next_begin(run.began)

    def watch_delays(self) -> None:
        """Notes until it is killed when this process, and its proxies, were late."""
        while True:
            began = time.monotonic()
            gevent.sleep(WATCH_S)
            if (now := time.monotonic()) - began > WATCH_S + LATE_S:
                self.late.add(began, now)

    def stop(self) -> None:
        """Ends every process by its id."""
        gevent.killall([self._watch, *self._heartbeats])
        for program in [*self.nodes.values(), *self.programs]:
            program.end()
        for proxy in [*self.stores.values(), *(one.proxy for one in self.backends)]:
            proxy.stop()
        self._network.release()

    def _call(self, path: str, body: bytes = b"") -> bytes:
        answer = self._http.request("PUT", f"http://{self._store_address}/soak/{path}", body=body)
        if answer.status >= 300:
            raise RuntimeError(f"the store's stand-in refused {path}: {answer.status}")
        return answer.data

    def _node(self, ip: str) -> Program:
        settings = {
            "nodeName": f"node-{ip}",
            "ip": ip,
            "zone": "z1",
            "listen": {name: f"{ip}:{port}" for name, port in PORTS.items()},
            "internalPorts": [PEER_PORT, PEER_PORT],
            "seeds": [f"{other}:{PORTS['control']}" for other in self.ips],
            "limits": {"memoryMb": 150},
            "bounds": self._bounds,
            "platform": {"address": self.stores[ip].address},
        }
        path = self.directory / f"node-{ip}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "arbutustally_platform"]
        log = self.directory / f"node-{ip}.log"
        return Program(f"node-{ip}", command, log, {"ARBUTUSTALLY_CONFIG": str(path)})
