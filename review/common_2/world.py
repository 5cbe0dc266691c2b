"""Starts a store, workers and gateway nodes as separate processes, and ends them all."""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from http_messages import call

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
#: On which the product serves metrics at the address of each node.
METRICS_PORT = 9464
MAX_FDS = 4200
READY_S = 25.0
HOST = "h.example"
KEY = "key-school"

#: As on the sheet of hollybank-quotes.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lostSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 110000,
    "recoverS": 12,
    "transitMs": 120,
    "reuseWindowS": 10,
    "requireFence": True,
    "leaseTtlMs": 3000,
    "thawMs": 300,
    "versionMs": 6000,
    "versionAllMs": 8400,
    "ttl_max_s": 5,
}


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration with the path prefix ``/NAME/``."""
    fields = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 300,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": kind == "streaming",
        "resumable": False,
        "gapAimMs": 300,
    }
    return {**fields, **changes}


def model_service(name: str, model: str) -> dict[str, Any]:
    """Returns a service of model workers."""
    engine = {
        "slots": 64,
        "kvCapacityTokens": 101817,
        "kvTokenBytes": 163840,
        "linkMbps": 2200000.0,
        "maxInflight": 12,
        "models": [{"name": model}],
    }
    return {**plain_service(name), "engine": engine}


def plain_service(name: str) -> dict[str, Any]:
    """Returns a service of plain workers."""
    return {
        "name": name,
        "healthCheck": "/healthz",
        "maxConnections": 360,
        "protocol": "h1",
        "tls": False,
    }


def tenant(name: str, key: str, **changes: Any) -> dict[str, Any]:
    """Returns a tenant of the configuration."""
    fields = {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "isolated": False,
        "ratePerS": 103326,
        "burst": 103326,
    }
    return {**fields, **changes}


class World:
    """All processes of one script.

    :param record: file to which processes write what was sent, answered and run.
    :param bounds: of the nodes' settings.
    """

    def __init__(self, record: Path, bounds: Mapping[str, Any] = BOUNDS) -> None:
        self.record = record
        self._bounds = dict(bounds)
        record.write_text("")
        self._lines = record.open("a", buffering=1)
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._version = 0
        self.nodes: list[subprocess.Popen[bytes]] = []
        self.ips = _free_ips()
        self.ports = _free_ports(self.ips, 4)
        self.peer_port = _free_ports(self.ips, 1, socket.SOCK_DGRAM)[0]
        self.store = self._stand_in("store.py")

    def note(self, who: str, what: str, **fields: Any) -> None:
        """Adds a line to the record."""
        entry = {"at": round(time.monotonic(), 4), "who": who, "what": what, **fields}
        self._lines.write(json.dumps(entry) + "\n")

    def worker(self, **options: Any) -> str:
        """Starts a worker; returns its address."""
        given = {"store": self.store, "record": str(self.record), **options}
        return self._stand_in("worker.py", json.dumps(given))

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record, as the operator does."""
        content = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
        target = f"/arbutustally/log-append?topic={topic}&part=0"
        await call(self.store, "POST", target, struct.pack(">I", len(content)) + content)

    async def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        """Puts a configuration in force."""
        self._version += 1
        fields = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": tenants or [tenant("school", KEY)],
        }
        self.note("operator", "config", version=self._version)
        await self.put("keyed.op", "config", fields)

    def start_node(self, number: int, store: str = "", **changes: Any) -> subprocess.Popen[bytes]:
        """Starts a node with the command of the deploy file.

        :param store: address of the store, or of a proxy before it.
        """
        ip = self.ips[number]
        names = ("front", "ready", "control", "directory")
        settings = {
            "nodeName": f"front-z1-{number + 1}",
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {name: f"{ip}:{port}" for name, port in zip(names, self.ports, strict=True)},
            "internalPorts": [self.peer_port, self.peer_port + 15],
            "seeds": [f"{other}:{self.ports[2]}" for other in self.ips[:3]],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": MAX_FDS,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "heartbeatMs": 1200,
            "bounds": self._bounds,
            "platform": {"address": store or self.store, "form": "log"},
        }
        path = Path(self.directory.name) / f"node-{number}.json"
        path.write_text(json.dumps({**settings, **changes}))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in kept if name in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["ARBUTUSTALLY_CONFIG"] = str(path)
        with open(Path(self.directory.name) / f"node-{number}.log", "ab") as log:
            node = subprocess.Popen(
                words,
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_limit_descriptors,
            )
        self._processes.append(node)
        return node

    async def start_nodes(self, count: int) -> None:
        """Starts nodes and waits until they are ready and have a budget.

        :raises TimeoutError: if they don't become ready.
        """
        self.nodes = [self.start_node(number) for number in range(count)]
        for number in range(count):
            await self.wait_ready(number)

    async def wait_ready(self, number: int) -> None:
        """Waits until a node says that it is ready."""
        deadline = time.monotonic() + READY_S
        while not await self.is_ready(number):
            if time.monotonic() > deadline:
                lines = self.node_log(number)[-5:]
                raise TimeoutError(f"node {number} is not ready; its log ends with {lines}")
            await asyncio.sleep(0.1)

    async def is_ready(self, number: int) -> bool:
        """Returns whether a node says that it is ready."""
        address = f"{self.ips[number]}:{self.ports[1]}"
        try:
            found = await call(address, "GET", "/arbutustally/readyz", timeout_s=1.0)
            return found.status == 200
        except (OSError, TimeoutError):
            return False

    async def resolve(self, number: int) -> list[str]:
        """Returns the addresses that the directory of a node names, empty without an answer."""
        address = f"{self.ips[number]}:{self.ports[3]}"
        target = f"/arbutustally/resolve?name={HOST}&region=r1&zone=z1"
        try:
            found = await call(address, "GET", target, timeout_s=1.0)
        except (OSError, TimeoutError):
            return []
        return json.loads(found.body)["addresses"] if found.status == 200 else []

    def front(self, number: int) -> tuple[str, int]:
        """Returns host and port at which a node serves callers."""
        return self.ips[number], self.ports[0]

    def node_log(self, number: int) -> list[dict[str, Any]]:
        """Returns the lines that a node has logged."""
        text = (Path(self.directory.name) / f"node-{number}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def stop(self) -> None:
        """Ends all processes that this script has started."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self.directory.cleanup()

    def _stand_in(self, *arguments: str) -> str:
        command = [sys.executable, str(HERE / arguments[0]), *arguments[1:]]
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)
        self._processes.append(process)
        return process.stdout.readline().decode().strip()


def _limit_descriptors() -> None:
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


def _free_ips() -> list[str]:
    """Returns loopback addresses of a network at which no node of another script runs."""
    for _attempt in range(100):
        prefix = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
        ips = [f"{prefix}.{last}" for last in range(1, 9)]
        if all(_is_free(ip, METRICS_PORT, socket.SOCK_STREAM) for ip in ips):
            return ips
    raise RuntimeError("no free loopback addresses")


def _free_ports(ips: list[str], count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    found: list[int] = []
    while len(found) < count:
        port = random.randint(12000, 30000)
        if port not in found and all(_is_free(ip, port, kind) for ip in ips):
            found.append(port)
    return found


def _is_free(ip: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
