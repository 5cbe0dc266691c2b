"""A roll-out of a release at one node with real sockets."""

import json
from collections.abc import Mapping, Sequence

import gevent
from bottle import HTTPResponse

from arbutustally.rendezvous import uniform_hash
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeWorker


class RolloutCase(GatewayCase):
    """One node, two plain workers of the baseline and two of the canary."""

    def setUp(self) -> None:
        super().setUp()
        self.canaries = [FakeWorker(f"n{number}", "desk") for number in (1, 2)]
        for worker in self.canaries:
            self.addCleanup(worker.stop)
        self.node = self.start_node()
        self.wait_ready(self.node)

    def roll_out(self, duration_s: float) -> None:
        order = {"service": "desk", "target": "v2", "durationS": duration_s}
        self.store.put("keyed.op", "rollout/desk", order)
        self.eventually(lambda: self.state() == "running")
        for worker in self.canaries:
            entry = {**worker.entry(), "version": "v2"}
            self.store.put("keyed.servers", worker.id, entry)
        self.eventually(lambda: self.node._view.book.get("n2") is not None)

    def state(self) -> str:
        found = self.store.newest("keyed.status").get("rollout/desk")
        return json.loads(found[1])["state"] if found else ""

    def send_until(self, final: str) -> int:
        """Sends requests until the roll-out has ended; returns how many were sent."""
        sent = 0
        while self.state() != final:
            self.assertLess(sent, 4000, f"the roll-out is {self.state()!r} and not {final!r}")
            self.call(self.node, "/book/a", f"r{sent}")
            sent += 1
            gevent.sleep(0)
        return sent

    def answer_with(
        self, status: int, share: float = 1.0, workers: Sequence[FakeWorker] = ()
    ) -> None:
        """Has workers answer a share of their requests with a status.

        :param workers: by default those of the canary.
        """

        def behave(headers: Mapping[str, str]) -> HTTPResponse | None:
            if uniform_hash(b"status", headers["Request-Id"]) >= share:
                return None
            named = {"Request-Id": headers["Request-Id"], "Server-Stamp": "s"}
            return HTTPResponse(status=status, headers=named)

        for worker in workers or self.canaries:
            worker.behave = behave
