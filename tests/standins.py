"""Helpers that run stand-ins inside the test process."""

import unittest
from typing import Any

import urllib3

from arbutustally_standins.server import StandinServer


class StandinCase(unittest.TestCase):
    """Starts stand-ins on free ports and stops them after the test."""

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, maxsize=16, timeout=20.0)
        self.addCleanup(self.http.clear)

    def serve(self, standin: Any) -> str:
        """Serves a stand-in and returns its base URL."""
        server = StandinServer.from_config(standin)
        server.start()
        self.addCleanup(server.stop, 0.0)
        return server.url

    def get(self, url: str) -> Any:
        """Returns the JSON answer of a GET call."""
        return self.http.request("GET", url).json()

    def post(self, url: str, body: Any, **headers: str) -> urllib3.BaseHTTPResponse:
        """Returns the answer to a POST call."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.http.request("POST", url, json=body, headers=named)

    def fault(self, url: str, **faults: Any) -> None:
        """Sets faults of a stand-in."""
        answer = self.post(f"{url}/faults", faults)
        self.assertEqual(answer.status, 200, answer.data)
