"""Services ``versions`` and ``fairness`` on a kernel of fakes: trips, log outages, waiting."""

import unittest
from types import SimpleNamespace
from typing import Any

import gevent

from arbutustally.clock import VirtualClock
from arbutustally.errors import LogUnavailableError, ModelUnknownError, OverloadedError, Ran
from arbutustally.metrics import Metrics
from arbutustally.records import MoveStep, Record
from arbutustally.verdicts import Verdict
from arbutustally_node.admission import AdmissionService
from arbutustally_node.kernel import Kernel
from arbutustally_node.version_evidence import TRIP_TOPIC
from arbutustally_node.version_service import VersionService
from tests.policy_support import ClassTarget

MODEL = "marelle"
RAISED = MoveStep(MODEL, "2", "1", "raised", 1.0, 1)


class FakeLease:
    """A lease whose validity is set by the test."""

    def __init__(self) -> None:
        self.is_valid = True
        self.epoch = 1

    def valid(self) -> bool:
        return self.is_valid

    def start(self) -> None: ...

    def stop(self) -> None: ...


class FakeLog:
    """A log whose state is one move; it can be down."""

    def __init__(self, move: MoveStep | None) -> None:
        self.move = move
        self.down = False
        self.lease = FakeLease()
        self.appended: list[MoveStep] = []
        self.callbacks: list[Any] = []
        models = {MODEL: SimpleNamespace(version="2", move_by=None, max_concurrent_loads=1)}
        route = SimpleNamespace(kind="model", service="llm", class_="chat")
        declarations = SimpleNamespace(
            models=models,
            endpoints={"llm": SimpleNamespace(checks_fencing=True)},
            routes={"chat": route},
            classes={"chat": ClassTarget(first_token_ms=200.0)},
            accounts={"school": SimpleNamespace(rate=100.0)},
        )
        self.state = SimpleNamespace(declarations=declarations, move=lambda model: self.move)

    def append(self, body: MoveStep) -> None:
        if self.down:
            raise LogUnavailableError("the log is down; retry", ran=Ran.MAY_HAVE_RUN)
        self.appended.append(body)
        self.move = body
        for callback in self.callbacks:
            callback(1, Record("id", body), Verdict(True))

    def subscribe(self, callback: Any) -> None:
        self.callbacks.append(callback)

    def hold(self, name: str, wanted: Any) -> FakeLease:
        return self.lease


class FakePeers:
    """Delivers broadcasts to the services of the other nodes at once."""

    def __init__(self, name: str, fleet: list["FakePeers"]) -> None:
        self.name = name
        self.fleet = fleet
        self.functions: dict[str, Any] = {}
        self.sent: list[str] = []
        fleet.append(self)

    def subscribe(self, topic: str, function: Any) -> None:
        self.functions[topic] = function

    def broadcast(self, topic: str, payload: Any) -> None:
        self.sent.append(topic)
        for peers in self.fleet:
            if peers is not self and topic in peers.functions:
                peers.functions[topic](self.name, payload)


def endpoint(name: str, versions: tuple[str, ...], queued: int = 0) -> SimpleNamespace:
    return SimpleNamespace(
        id=name,
        address="127.0.0.1:1",
        service="llm",
        versions=versions,
        version=versions[0],
        leaving=False,
        queued_tokens=queued,
    )


class Node:
    """One node of fakes."""

    def __init__(self, name: str, log: FakeLog, fleet: list[FakePeers]) -> None:
        self.kernel = Kernel()
        self.endpoints = [endpoint("w1", ("1",)), endpoint("w2", ("1", "2"))]
        self.orders: list[Any] = []
        self.clock = VirtualClock(100.0)
        self.metrics = Metrics()
        members = SimpleNamespace(
            endpoints=lambda service, model: self.endpoints,
            nodes=lambda: [SimpleNamespace(id=name, draining=False)],
        )
        placement = SimpleNamespace(prefill_speed=lambda name: 1000.0, computed_share=1.0)
        for service, value in (
            ("log", log),
            ("peers", FakePeers(name, fleet)),
            ("membership", members),
            ("metrics", self.metrics),
            ("placement", placement),
        ):
            self.kernel.register(service, value)
        engines = SimpleNamespace(order=lambda address, order: self.orders.append(order))
        self.versions = VersionService(self.kernel, engines, name, 10.0, self.clock)
        self.versions.start()

    def observe(self, version: str, ok: bool) -> None:
        self.versions.observe(MODEL, version, "chat", "chat", ok, 0.1, 0.01, 100.0)


class VersionServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FakeLog(RAISED)
        self.fleet: list[FakePeers] = []
        self.nodes = [Node(f"node-{number}", self.log, self.fleet) for number in range(3)]
        for node in self.nodes:
            self.addCleanup(node.versions.stop)

    def test_trip_on_one_node_stops_the_version_on_all(self) -> None:
        """Guards against a bad version that each node stops only after failures of its own."""
        for _ in range(3):
            self.nodes[0].observe("2", False)
        self.assertEqual(self.nodes[0].versions.pick(MODEL, "request-1"), "1")
        gevent.sleep(0)
        self.assertEqual(self.nodes[2].versions.pick(MODEL, "request-1"), "1")
        self.assertIn(TRIP_TOPIC, self.fleet[0].sent)
        self.assertEqual(self.nodes[0].metrics.counts["versions.tripped"], 1)

    def test_single_failures_of_three_nodes_stop_the_version(self) -> None:
        """Guards against failures that are too few on each node and enough over the fleet."""
        for node in self.nodes:
            node.observe("2", False)
            gevent.sleep(0)
        self.assertEqual(self.nodes[2].versions.pick(MODEL, "request-1"), "1")

    def test_breaker_works_with_log_down(self) -> None:
        """Guards against a bad version that stays in use until the log is up again."""
        self.log.down = True
        for _ in range(3):
            self.nodes[0].observe("2", False)
        self.assertEqual(self.nodes[0].versions.pick(MODEL, "request-1"), "1")
        self.nodes[0].versions.step()
        self.assertEqual(self.log.appended, [])
        self.log.down = False
        self.nodes[0].versions.step()
        self.assertEqual([step.step for step in self.log.appended], ["taken_back"])

    def test_doubted_version_shares_requests_with_the_old_one(self) -> None:
        """Guards against a slow version at full share without a baseline to compare it with."""
        node = self.nodes[0]
        for _ in range(40):
            node.versions.observe(MODEL, "1", "chat", "chat", True, 0.02, 0.01, 100.0)
        picks = [node.versions.pick(MODEL, f"request-{number}") for number in range(200)]
        self.assertEqual(set(picks), {"2"})
        node.clock.advance(1.0)
        for seconds in (0.02, 0.2):
            for _ in range(40):
                node.versions.observe(MODEL, "2", "chat", "chat", True, seconds, 0.01, 100.0)
        picks = [node.versions.pick(MODEL, f"request-{number}") for number in range(200)]
        self.assertTrue(60 < picks.count("1") < 140, picks.count("1"))
        node.endpoints = [endpoint("w2", ("2",))]
        picks = [node.versions.pick(MODEL, f"request-{number}") for number in range(200)]
        self.assertEqual(set(picks), {"2"})

    def test_lost_lease_allows_no_order_and_no_step(self) -> None:
        """Guards against a paused controller that acts after its lease has expired."""
        self.log.move = MoveStep(MODEL, "2", "1", "raised", 0.5, 1)
        self.log.lease.is_valid = False
        self.nodes[0].versions.step()
        gevent.sleep(0)
        self.assertEqual((self.nodes[0].orders, self.log.appended), ([], []))

    def test_order_carries_the_fence(self) -> None:
        """Guards against orders that an endpoint cannot tell from those of a former holder."""
        self.log.move = MoveStep(MODEL, "2", "1", "raised", 0.5, 1)
        self.log.lease.epoch = 77
        self.nodes[0].versions.step()
        gevent.sleep(0)
        self.assertEqual([order.fence for order in self.nodes[0].orders], [77])

    def test_new_attempt_clears_the_trip(self) -> None:
        """Guards against a version that can never be tried again."""
        for _ in range(3):
            self.nodes[0].observe("2", False)
        self.log.append(MoveStep(MODEL, "2", "1", "started", 0.0, 1))
        self.log.move = RAISED
        self.assertEqual(self.nodes[0].versions.pick(MODEL, "request-1"), "2")

    def test_late_trip_keeps_the_version_without_an_alternative(self) -> None:
        """Guards against sending requests to a previous version that no engine has any more."""
        self.log.move = MoveStep(MODEL, "2", "1", "done", 1.0, 1)
        for _ in range(3):
            self.nodes[0].observe("2", False)
        self.assertEqual(self.nodes[0].versions.pick(MODEL, "request-1"), "1")
        self.nodes[0].endpoints = [endpoint("w2", ("2",))]
        self.assertEqual(self.nodes[0].versions.pick(MODEL, "request-1"), "2")

    def test_malformed_peer_messages_are_ignored(self) -> None:
        """Guards against a peer of another release stopping a greenlet."""
        for topic in ("trip", "evidence"):
            for payload in (None, {}, [], {"key": {}}, {"reports": [{"key": [1]}]}):
                self.fleet[0].functions[topic]("node-9", payload)

    def test_unknown_model_is_refused(self) -> None:
        """Guards against a lookup error that reaches a caller as an internal one."""
        with self.assertRaises(ModelUnknownError):
            self.nodes[0].versions.pick("other", "request-1")


class AdmissionServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node("node-0", FakeLog(RAISED), [])
        self.addCleanup(self.node.versions.stop)
        self.service = AdmissionService(self.node.kernel)

    def admit(self, tokens: float) -> Any:
        return self.service.admit("school", "chat", tokens, None, "llm", MODEL)

    def test_waiting_request_runs_when_a_place_is_free(self) -> None:
        """Guards against a greenlet that is never woken."""
        order: list[str] = []

        def second() -> None:
            with self.admit(100):
                order.append("second")

        with self.admit(5000) as place:
            greenlet = gevent.spawn(second)
            gevent.sleep(0.01)
            order.append("first")
            place.started()
            greenlet.join(timeout=5)
        self.assertEqual(order, ["first", "second"])

    def test_request_is_shed_at_its_deadline(self) -> None:
        """Guards against a request that waits longer than its class allows, or runs after it."""
        with self.admit(5000), self.assertRaises(OverloadedError) as caught, self.admit(100):
            self.fail("ran although the pool is full")
        self.assertIs(caught.exception.ran, Ran.NOT_RUN)
        self.assertEqual(self.node.metrics.counts["refused.overloaded"], 1)

    def test_place_is_free_again_after_a_caller_left(self) -> None:
        """Guards against a disconnected caller that keeps its place in the queue for ever."""
        with self.admit(5000):
            waiting = gevent.spawn(lambda: self.admit(100).__enter__())
            gevent.sleep(0.01)
            waiting.kill()
        with self.admit(5000):
            pass
