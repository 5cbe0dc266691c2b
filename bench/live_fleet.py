"""Runs a deployment of section 1 as processes on loopback: platform, endpoints and nodes."""

import secrets
import time
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import gevent
import urllib3

from bench.processes import Process, free_addresses
from bench.workloads import Deployment

ENGINES = "engines"
PLAIN = "plain"
FIRST_VERSION = "1"
_READY_S = 30.0
_POLL_S = 0.1


@dataclass
class _Part:
    name: str
    address: str
    process: Process


class LiveFleet:
    """All processes of one deployment.

    :param directory: receives the standard error of each process.
    """

    def __init__(
        self, deployment: Deployment, accounts: dict[str, Any], nodes: int, directory: Path
    ) -> None:
        self._deployment = deployment
        self._accounts = accounts
        self._count = nodes
        self._directory = directory
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)
        self._token = secrets.token_hex(24)
        self._platform: dict[str, _Part] = {}
        self._parts: list[_Part] = []
        self.engines: list[_Part] = []
        self.nodes: list[_Part] = []
        self._operators: list[str] = []

    @classmethod
    def from_config(
        cls, deployment: Deployment, accounts: dict[str, Any], nodes: int, directory: Path
    ) -> "LiveFleet":
        """Prepares a fleet; nothing runs yet.

        :param accounts: rate and burst by account, as in the header of a trace.
        """
        return cls(deployment, accounts, nodes, directory)

    @property
    def entries(self) -> tuple[str, ...]:
        """Returns the nodes' addresses for callers."""
        return tuple(node.address for node in self.nodes)

    def start(self) -> None:
        """Starts everything and waits until the first node has a configuration."""
        for name in ("log", "instances", "kv_store"):
            self._platform[name] = self._stand_in(name, name)
        loads = str(self._deployment.full_speed_loads)
        flags = ["--load-s", str(self._deployment.load_s), "--full-speed-loads", loads]
        self._platform["weight_store"] = self._stand_in("weight_store", "weight_store", *flags)
        self._start_endpoints()
        self._start_nodes()
        self._wait_until_ready()
        self.apply(FIRST_VERSION, None)

    def stop(self) -> dict[str, int]:
        """Stops nodes, then the rest; returns exit codes by name."""
        order = [*self.nodes, *reversed(self._parts)]
        return {part.name: part.process.stop() for part in order}

    def issue_keys(self) -> dict[str, str]:
        """Returns a new key for each account."""
        return {
            name: self._operate("/v1/keys", {"account": name})["text"] for name in self._accounts
        }

    def apply(self, version: str, move_by_s: float | None) -> None:
        """Declares the fleet with a wanted version.

        :param move_by_s: seconds from now by which traffic must have moved.
        """
        self._operate("/v1/apply", {"items": self._items(version, move_by_s), "author": "bench"})

    def operator(self, path: str) -> Any:
        """Returns the answer of the first node's operator interface."""
        return self._operate(path, None)

    def stats(self, part: _Part) -> Any:
        """Returns the statistics of a stand-in."""
        return self._http.request("GET", f"http://{part.address}/stats").json()

    def set_faults(self, part: _Part, **faults: Any) -> None:
        """Sets faults of a stand-in."""
        self._http.request("POST", f"http://{part.address}/faults", json=faults)

    def happen(self, event: dict[str, Any]) -> None:
        """Makes an event of a trace happen that is no call."""
        if event["kind"] == "engine_restart":
            self._restart([self.engines[event["engine"]]])
        elif event["kind"] == "node_restart":
            self._restart([node for n, node in enumerate(self.nodes) if n in event["nodes"]])
        elif event["kind"] == "version_start":
            for engine in self.engines:
                self.set_faults(engine, rules=event["rules"])
            self.apply(event["version"], event["move_by_s"] - event["at"])

    def _restart(self, parts: list[_Part]) -> None:
        for part in parts:
            part.process.kill()
        for part in parts:
            part.process.start()

    def _process(self, name: str, module: str, flags: list[str], **settings: str) -> Process:
        process = Process(module, flags, settings, self._directory / f"{name}.err")
        process.start()
        return process

    def _stand_in(self, name: str, module: str, *flags: str) -> _Part:
        [address] = free_addresses(1)
        wanted = ["--listen", address, *flags]
        process = self._process(name, f"arbutustally_standins.{module}", wanted)
        process.listening()
        part = _Part(name, address, process)
        self._parts.append(part)
        return part

    def _start_endpoints(self) -> None:
        store, weights = self._url("kv_store"), self._url("weight_store")
        for number in range(self._deployment.model_workers):
            name = f"engine-{number}"
            flags = ["--engine", name, "--model", self._deployment.model]
            flags += ["--versions", FIRST_VERSION, "--kv-url", store, "--weights-url", weights]
            flags += ["--kv-export", "yes"]
            engine = self._stand_in(name, "engine", *flags)
            self.engines.append(engine)
            self._list(engine, ENGINES, number, model=self._deployment.model, version="1")
        for number in range(self._deployment.plain_workers):
            worker = self._stand_in(f"plain-{number}", "booking", "--name", f"plain-{number}")
            self._list(worker, PLAIN, number)

    def _start_nodes(self) -> None:
        secret = secrets.token_hex(24)
        for number in range(self._count):
            name = f"node-{number}"
            caller, operator, peer = free_addresses(3)
            process = self._process(
                name,
                "arbutustally_node",
                [],
                ARBUTUSTALLY_NODE_ID=name,
                ARBUTUSTALLY_ZONE=self._zone(number),
                ARBUTUSTALLY_CALLER_LISTEN=caller,
                ARBUTUSTALLY_OPERATOR_LISTEN=operator,
                ARBUTUSTALLY_PEER_LISTEN=peer,
                ARBUTUSTALLY_LOG_URL=self._url("log"),
                ARBUTUSTALLY_INSTANCES_URL=self._url("instances"),
                ARBUTUSTALLY_KV_URL=self._url("kv_store"),
                ARBUTUSTALLY_PEER_SECRET=secret,
                ARBUTUSTALLY_OPERATOR_TOKEN=self._token,
                ARBUTUSTALLY_DRAIN_GRACE_S="0",
            )
            self.nodes.append(_Part(name, caller, process))
            self._operators.append(operator)
            self._list(_Part(name, peer, process), "entry", number)

    def _zone(self, number: int) -> str:
        return f"zone-{number % self._deployment.zones + 1}"

    def _url(self, name: str) -> str:
        return f"http://{self._platform[name].address}"

    def _list(self, part: _Part, service: str, number: int, **more: str) -> None:
        instance = {
            "service": service,
            "address": part.address,
            "zone": self._zone(number),
            "state": "live",
            **more,
        }
        url = f"{self._url('instances')}/v1/instances/{part.name}"
        self._http.request("PUT", url, json=instance)

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + _READY_S
        while time.monotonic() < deadline:
            try:
                self._operate("/v1/status", None)
            except urllib3.exceptions.HTTPError:
                gevent.sleep(_POLL_S)
            else:
                return
        raise RuntimeError(f"no node answered within {_READY_S} s; see {self._directory.name}")

    def _operate(self, path: str, body: Any) -> Any:
        method = "GET" if body is None else "POST"
        headers = {"Authorization": f"Bearer {self._token}"}
        url = f"http://{self._operators[0]}{path}"
        deadline = time.monotonic() + _READY_S
        answer = self._http.request(method, url, json=body, headers=headers)
        while answer.status == 503 and time.monotonic() < deadline:
            # The node asks for a retry until it has read the log to its end.
            gevent.sleep(_POLL_S)
            answer = self._http.request(method, url, json=body, headers=headers)
        if answer.status != 200:
            raise RuntimeError(f"{method} {path} answered {answer.status}: {answer.data!r}")
        return answer.json()

    def _items(self, version: str, move_by_s: float | None) -> dict[str, dict[str, Any]]:
        deployment = self._deployment
        target = {"first_token_ms": 1600.0}
        if deployment.name == "hollybank":
            target = {"recompute_percent": 5.0}
        model = {"version": version, "max_concurrent_loads": deployment.full_speed_loads}
        if move_by_s is not None:
            instant = datetime.now(UTC) + timedelta(seconds=move_by_s)
            model["move_by"] = instant.isoformat()
        items: dict[str, dict[str, Any]] = {
            "classes/main": target,
            f"models/{deployment.model}": model,
            f"endpoints/{ENGINES}": {"checks_fencing": True},
            f"endpoints/{PLAIN}": {"checks_fencing": False},
            "routes/plain": _route(deployment.plain_path, "plain", PLAIN, idempotent=False),
        }
        for name, path in (("chat", "/v1/chat/completions"), ("text", "/v1/completions")):
            items[f"routes/{name}"] = _route(path, "model", ENGINES, idempotent=True)
        for name, account in self._accounts.items():
            items[f"accounts/{name}"] = account
        return items


def _route(path: str, kind: str, service: str, *, idempotent: bool) -> dict[str, Any]:
    return {
        "path": path,
        "kind": kind,
        "class": "main",
        "service": service,
        "methods": ["POST"],
        "idempotent": idempotent,
        "open": False,
    }
