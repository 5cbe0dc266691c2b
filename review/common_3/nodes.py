"""The nodes of a case: processes with the command of the deploy file, on loopback addresses."""

import asyncio
import contextlib
import json
import os
import random
import socket
import subprocess
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
#: As on the sheet of the site that a case names.
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
    "canaryShare": 0.1,
    "canarySlack": 50,
    "rollbackMs": 5000,
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


class CannotRunError(Exception):
    """The case can't run on this machine as it is."""


def free_network(count: int) -> list[str]:
    """Returns loopback addresses for nodes, in a network that no other case seems to use."""
    for number in random.sample(range(20, 250), 40):
        ips = [f"127.83.{number}.{node}" for node in range(1, count + 1)]
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ips[0], 9464))
            return ips
    raise CannotRunError("no free loopback addresses")


@dataclass
class Node:
    """One node's process.

    :ivar settings: content of its settings file.
    """

    name: str
    settings: dict[str, Any]
    directory: Path
    process: subprocess.Popen | None = None
    starts: int = 0
    _logs: list[Any] = field(default_factory=list)

    @property
    def front(self) -> tuple[str, int]:
        """Returns the address for callers."""
        return split(self.settings["listen"]["front"])

    @property
    def directory_address(self) -> tuple[str, int]:
        """Returns the address of the directory."""
        return split(self.settings["listen"]["directory"])

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        words = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"]
        command = [sys.executable if word == "python3" else word for word in words.split(" ")]
        variables = {
            **os.environ,
            "ARBUTUSTALLY_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.directory / f"{self.name}.log").open("ab")
        self._logs.append(log)
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=variables, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.starts += 1

    @property
    def is_alive(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.is_alive:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.kill()
            self.process.wait()

    def log_text(self) -> str:
        """Returns what the process has written."""
        return (self.directory / f"{self.name}.log").read_text(errors="replace")


def split(address: str) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def build_node(
    number: int,
    ips: list[str],
    peer_port: int,
    zone: str,
    store_address: str,
    directory: Path,
    memory_mb: int = 300,
) -> Node:
    """Returns one node of a small deployment, not started."""
    ip = ips[number]
    name = f"front-{zone}-{number + 1}"
    settings = {
        "nodeName": name,
        "role": "gateway",
        "machineClass": "front",
        "serves": ["front", "control", "directory"],
        "ip": ip,
        "zone": zone,
        "region": "midlands",
        "listen": {
            "front": f"{ip}:8606",
            "ready": f"{ip}:8605",
            "control": f"{ip}:8608",
            "directory": f"{ip}:8603",
        },
        "internalPorts": [peer_port, peer_port + 15],
        "seeds": [f"{one}:8608" for one in ips[:3]],
        "bootstrap": True,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": memory_mb,
            "maxFds": 4200,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "heartbeatMs": 1200,
        "bounds": BOUNDS,
        "platform": {"address": store_address, "form": "log"},
    }
    return Node(name, settings, directory)


async def http_get(address: tuple[str, int], target: str, within_s: float = 1.0) -> tuple:
    """Returns status and body of a GET request on a new connection."""

    async def call() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            data = await reader.read()
        finally:
            writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), body

    return await asyncio.wait_for(call(), within_s)


async def await_ready(nodes: list[Node], within_s: float = 20.0) -> None:
    """Waits until all nodes are ready.

    :raises CannotRunError: if they are not in time.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    for node in nodes:
        while True:
            with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
                ready = split(node.settings["listen"]["ready"])
                if (await http_get(ready, "/arbutustally/readyz"))[0] == 200:
                    break
            if loop.time() > until:
                raise CannotRunError(f"{node.name} is not ready")
            await asyncio.sleep(0.1)
