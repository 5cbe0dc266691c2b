"""Real processes on loopback: stand-ins, nodes and what tests do to them."""

import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import urllib3

from arbutustally_standins.caller.client import Caller
from tests.ports import free_port

ROOT = Path(__file__).resolve().parent.parent
DECLARATIONS = (ROOT / "examples" / "marelle.toml").read_text()
START_TIMEOUT_S = 30.0
POLL_S = 0.05
#: Logs of all processes stay here, for the trace of a test that failed once; git ignores it.
LOGS = ROOT / "target" / "fleets"
#: Fleets whose logs are kept.
KEPT_FLEETS = 100
#: Fleets younger than this may belong to a run beside this one and are kept too, seconds.
KEPT_S = 3600.0
SHOWN_BYTES = 2000

_http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=5, read=30))


class FleetError(Exception):
    """A process of the fleet did not behave as the test needs it to."""


@dataclass
class Process:
    """One process started by the test."""

    name: str
    popen: subprocess.Popen
    output: Path
    address: str = ""
    addresses: dict[str, str] = field(default_factory=dict)

    def send(self, number: int) -> None:
        """Sends a signal."""
        self.popen.send_signal(number)

    def freeze(self) -> None:
        """Stops the process without ending it."""
        self.send(signal.SIGSTOP)

    def wake(self) -> None:
        """Lets a frozen process go on."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)
        self.popen.wait(START_TIMEOUT_S)

    def terminate(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.send(signal.SIGTERM)
        return self.popen.wait(START_TIMEOUT_S)

    def log_text(self) -> str:
        """Returns everything that the process has written."""
        return self.output.read_text(errors="replace")


def logs_directory() -> Path:
    """Returns a new directory for the logs of a fleet; removes those of the oldest."""
    LOGS.mkdir(parents=True, exist_ok=True)
    limit = time.time() - KEPT_S
    for old in sorted(LOGS.iterdir(), key=lambda path: path.name)[:-KEPT_FLEETS]:
        with suppress(FileNotFoundError):
            if old.stat().st_mtime < limit:
                shutil.rmtree(old, ignore_errors=True)
    stamp = time.strftime("%Y%m%dT%H%M%S")
    return Path(tempfile.mkdtemp(prefix=f"{stamp}-", dir=LOGS))


def wait_for(condition: Callable[[], Any], what: str, timeout_s: float = START_TIMEOUT_S) -> Any:
    """Returns the first true result of ``condition``.

    :raises FleetError: if there is none in time; the bound only ends a test that would hang.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise FleetError(f"waited {timeout_s} s for {what}")


class Fleet:
    """The platform, endpoints and nodes of one test."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._secret = secrets.token_hex(24)
        self._token = secrets.token_hex(24)
        self._sequence = 0
        self.processes: list[Process] = []
        self.nodes: dict[str, Process] = {}
        self.engines: dict[str, Process] = {}
        self.bookings: dict[str, Process] = {}
        self.log = self.stand_in("log")
        self.instances = self.stand_in("instances")
        self.weights = self.stand_in("weight_store")

    @classmethod
    def from_config(
        cls, engines: int = 2, bookings: int = 1, nodes: int = 2, **settings: object
    ) -> "Fleet":
        """Starts a fleet and waits until every node is ready to read the configuration."""
        fleet = cls(logs_directory())
        try:
            for number in range(1, engines + 1):
                fleet.add_engine(f"engine-{number}")
            for number in range(1, bookings + 1):
                fleet.add_booking(f"booking-{number}")
            for number in range(1, nodes + 1):
                fleet.add_node(f"node-{number}", **settings)
            fleet.wait_running()
        except BaseException:
            fleet.stop()
            raise
        return fleet

    @property
    def secrets(self) -> tuple[str, str]:
        """Returns the fleet secret and the operator credential."""
        return self._secret, self._token

    def stand_in(self, module: str, *flags: str) -> Process:
        """Starts a stand-in and waits until it listens."""
        command = [sys.executable, "-m", f"arbutustally_standins.{module}", *flags]
        process = self._start(module, command, {})
        line = wait_for(lambda: process.log_text().splitlines(), f"{module} to listen")[0]
        process.address = orjson.loads(line)["listening"]
        return process

    def add_engine(self, name: str, version: str = "v1", *flags: str) -> Process:
        """Starts an engine and lists it."""
        process = self.stand_in(
            "engine",
            *("--engine", name, "--model", "marelle", "--versions", version),
            *("--weights-url", f"http://{self.weights.address}", *flags),
        )
        self.engines[name] = process
        self.list_instance(
            name, "engines", process.address, model="marelle", version=version.split(",")[0]
        )
        return process

    def add_booking(self, name: str) -> Process:
        """Starts a booking service and lists it."""
        process = self.stand_in("booking", "--name", name)
        self.bookings[name] = process
        self.list_instance(name, "bookings", process.address)
        return process

    def add_node(self, name: str, **settings: object) -> Process:
        """Starts a node, or restarts one of that name on its old addresses."""
        old = self.nodes.get(name)
        if old is not None:
            addresses = old.addresses
        else:
            ports = [free_port() for _ in range(3)]
            listeners = ("caller_listen", "operator_listen", "peer_listen")
            addresses = {
                listener: f"127.0.0.1:{port}"
                for listener, port in zip(listeners, ports, strict=True)
            }
        values = {
            "node_id": name,
            "zone": f"zone-{len(self.nodes) % 3 + 1}",
            "log_url": f"http://{self.log.address}",
            "instances_url": f"http://{self.instances.address}",
            "peer_secret": self._secret,
            "operator_token": self._token,
            "drain_grace_s": 0,
            "lease_s": 3,
            **addresses,
            **settings,
        }
        variables = {f"ARBUTUSTALLY_{key.upper()}": str(value) for key, value in values.items()}
        process = self._start(name, [sys.executable, "-m", "arbutustally_node"], variables)
        process.address = addresses["caller_listen"]
        process.addresses = addresses
        self.nodes[name] = process
        self.list_instance(name, "entry", addresses["peer_listen"], zone=str(values["zone"]))
        return process

    def list_instance(self, name: str, service: str, address: str, **fields: str) -> None:
        """Writes an entry of the instance list."""
        entry = {"service": service, "address": address, "zone": "zone-1", "state": "live"}
        self.put(f"http://{self.instances.address}/v1/instances/{name}", {**entry, **fields})

    def put(self, url: str, body: Any) -> None:
        """Sends a PUT that must succeed."""
        answer = _http.request("PUT", url, json=body)
        if answer.status >= 300:
            raise FleetError(f"PUT {url}: {answer.status} {answer.data[:200]!r}")

    def fault(self, process: Process, **faults: Any) -> None:
        """Sets faults of a stand-in."""
        answer = _http.request("POST", f"http://{process.address}/faults", json=faults)
        if answer.status >= 300:
            raise FleetError(f"faults of {process.name}: {answer.data[:200]!r}")

    def stats(self, process: Process) -> dict[str, Any]:
        """Returns what a stand-in received and ran."""
        return _http.request("GET", f"http://{process.address}/stats").json()

    def operate(self, method: str, path: str, body: Any = None, node: str = "") -> Any:
        """Calls the operator interface; returns status and body."""
        process = self.nodes[node] if node else next(iter(self.nodes.values()))
        answer = _http.request(
            method,
            f"http://{process.addresses['operator_listen']}{path}",
            json=body,
            headers={"Authorization": f"Bearer {self._token}"},
        )
        return answer.status, answer.json()

    def command(self, *arguments: str, node: str = "") -> subprocess.CompletedProcess:
        """Runs the operator's command."""
        process = self.nodes[node] if node else next(iter(self.nodes.values()))
        environment = self._environment(
            {
                "ARBUTUSTALLY_NODE": process.addresses["operator_listen"],
                "ARBUTUSTALLY_OPERATOR_TOKEN": self._token,
            }
        )
        return subprocess.run(
            [sys.executable, "-m", "arbutustally_cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply(self, text: str = DECLARATIONS, *flags: str, node: str = "") -> Any:
        """Applies declarations and returns the finished command."""
        path = self._directory / f"declarations-{secrets.token_hex(4)}.toml"
        path.write_text(text)
        return self.command("apply", str(path), *flags, node=node)

    def issue_key(self, account: str = "school") -> tuple[str, str]:
        """Returns text and id of a new key."""
        finished = self.command("keys", "issue", account, "--output", "json")
        if finished.returncode:
            raise FleetError(f"keys issue: {finished.stderr}")
        issued = orjson.loads(finished.stdout)
        return issued["text"], issued["key_id"]

    def caller(self, key: str, *names: str) -> Caller:
        """Returns a caller that knows the given nodes, or all."""
        chosen = [self.nodes[name] for name in names] or list(self.nodes.values())
        return Caller.from_config(tuple(node.address for node in chosen), key, time.sleep)

    def status_of(self, name: str) -> dict[str, Any] | None:
        """Returns a node's status, or ``None`` while it does not answer."""
        try:
            status, body = self.operate("GET", "/v1/status", node=name)
        except urllib3.exceptions.HTTPError:
            return None
        return body if status == 200 else None

    def wait_running(self) -> None:
        """Waits until every node answers its operator interface."""
        for name, node in self.nodes.items():
            wait_for(
                lambda name=name, node=node: self._lives(node) and self.status_of(name),
                f"{name} to answer; its log is {node.output}",
            )

    def check_nodes(self) -> bool:
        """Returns true, or raises with the end of the log of a node that has ended."""
        return all(self._lives(node) for node in self.nodes.values())

    def wait_serving(self, key: str) -> None:
        """Waits until every node has answered one request of the account."""
        for name, node in self.nodes.items():
            wait_for(
                lambda node=node: self._lives(node) and self._serves(node, key),
                f"{name} to serve; its log is {node.output}",
            )

    def stop(self) -> None:
        """Ends every process by its id."""
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.wake()
                process.send(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait(START_TIMEOUT_S)

    @staticmethod
    def _lives(node: Process) -> bool:
        """Returns true, or raises at once with the end of the log of a node that has ended."""
        code = node.popen.poll()
        if code is not None:
            shown = node.log_text()[-SHOWN_BYTES:]
            raise FleetError(f"{node.name} exited with {code}; {node.output} ends with:\n{shown}")
        return True

    def _serves(self, node: Process, key: str) -> bool:
        body = {"model": "marelle", "prompt": "ready?", "max_tokens": 1}
        headers = {"Authorization": f"Bearer {key}"}
        url = f"http://{node.address}/v1/completions"
        try:
            return _http.request("POST", url, json=body, headers=headers).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _start(self, name: str, command: list[str], variables: dict[str, str]) -> Process:
        self._sequence += 1
        output = self._directory / f"{self._sequence}-{name}.log"
        with output.open("wb") as handle:
            popen = subprocess.Popen(
                command,
                env=self._environment(variables),
                stdin=subprocess.DEVNULL,
                stdout=handle,
                stderr=subprocess.STDOUT,
            )
        process = Process(name, popen, output)
        self.processes.append(process)
        return process

    @staticmethod
    def _environment(variables: dict[str, str]) -> dict[str, str]:
        kept = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("ARBUTUSTALLY_") or name == "ARBUTUSTALLY_VENV"
        }
        kept.pop("ARBUTUSTALLY_VENV", None)
        return {**kept, **variables}
