"""A gateway node with stand-ins around it, for tests over real sockets in one process."""

import socket
import time
import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import gevent
import urllib3

from arbutustally_node.gateway.node import GatewayNode
from arbutustally_platform.__main__ import build_platform
from arbutustally_platform.settings import PlatformSettings, decode_settings
from tests.fake_configuration import configuration
from tests.platform_fakes import FakeStore, FakeWorker
from tests.ports import free_port


def settings(store: str, name: str = "node-1", ip: str = "127.0.0.1", **changes) -> dict[str, Any]:
    """Returns the platform's settings of one node."""
    fields = {
        "nodeName": name,
        "ip": ip,
        "zone": "z1",
        "listen": {
            which: f"{ip}:{free_port(ip)}" for which in ("front", "ready", "control", "directory")
        },
        "internalPorts": [free_port(kind=socket.SOCK_DGRAM), 1],
        "seeds": [],
        "limits": {"memoryMb": 150},
        "bounds": {"versionMs": 4000, "leaseTtlMs": 1000, "graceS": 3, "ttl_max_s": 1},
        "platform": {"address": store},
    }
    return {**fields, **changes}


#: Tokens that an account must have before a test sends requests; the largest one costs fewer.
FIRST_TOKENS = 5_000


class GatewayCase(unittest.TestCase):
    """Starts a store, two engines, two plain workers and one node."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.engines = [FakeWorker(f"e{number}", "llm", "m") for number in (1, 2)]
        self.desks = [FakeWorker(f"d{number}", "desk") for number in (1, 2)]
        for worker in (*self.engines, *self.desks):
            self.addCleanup(worker.stop)
            self.store.put("keyed.servers", worker.id, worker.entry())
        self.store.put("keyed.op", "config", configuration())
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)

    def start_node(self, fields: dict[str, Any] | None = None, **options: Any) -> GatewayNode:
        """Starts a node.

        :param options: changes of its options.
        """
        decoded = self._on_free_metrics_port(
            decode_settings(fields or settings(self.store.address))
        )
        node = GatewayNode.from_config(replace(decoded.options, **options), build_platform(decoded))
        node.start()
        self.addCleanup(node.stop)
        return node

    def start_nodes(self, count: int, stores: Sequence[str] = ()) -> list[GatewayNode]:
        """Starts nodes that are peers of each other.

        :param stores: addresses at which the nodes reach the store, by default that of the store.
        """
        stores = stores or [self.store.address] * count
        port = free_port(kind=socket.SOCK_DGRAM)
        return [
            self.start_node(
                settings(
                    stores[number - 1],
                    f"node-{number}",
                    f"127.0.0.{number}",
                    internalPorts=[port, port],
                )
            )
            for number in range(1, count + 1)
        ]

    def _on_free_metrics_port(self, decoded: PlatformSettings) -> PlatformSettings:
        ip = decoded.options.ip
        options = replace(decoded.options, metrics_listen=f"{ip}:{free_port(ip)}")
        return PlatformSettings(options, decoded.store_address)

    def wait_ready(self, node: GatewayNode, engines: int = 2) -> None:
        self.eventually(
            lambda: node.is_ready()
            and len(node._view.book.of_service("llm")) >= engines
            and self._has_budget(node)
        )

    def _has_budget(self, node: GatewayNode) -> bool:
        """Returns whether the account has enough tokens: a node starts with an empty bucket."""
        quota = node._services.state.quota
        return "school" not in quota._buckets or quota.level("school") >= FIRST_TOKENS

    def eventually(self, condition, within_s: float = 8.0) -> None:
        deadline = time.monotonic() + within_s
        while not condition():
            self.assertLess(time.monotonic(), deadline, "condition not met in time")
            gevent.sleep(0.02)

    def call(
        self, node: GatewayNode, path: str, request_id: str, body: bytes = b"", **headers: str
    ) -> urllib3.BaseHTTPResponse:
        fields = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Authorization": "Token key-school",
            "Deadline-Ms": "1500",
        }
        if path.startswith("/chat/"):
            fields |= {"Model": "m", "Token-Usage": "100,5", "Prompt-Prefix": "aa:60,bb:40"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        fields = {name: value for name, value in fields.items() if value}
        return self.http.request(
            "POST" if body or path.startswith("/chat/") else "GET",
            f"http://{node._options.caller_listen}{path}",
            headers=fields,
            body=body or None,
        )
