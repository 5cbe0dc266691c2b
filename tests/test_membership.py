"""Membership under a lagging list, disagreeing peers, restarts and sticky marks."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from arbutustally.clock import VirtualClock
from arbutustally.errors import EndpointTimeoutError, InstanceListUnavailableError
from arbutustally.instance_client import Instance
from arbutustally.logs import configure
from arbutustally.metrics import Metrics
from arbutustally_node.directory_service import DirectoryService
from arbutustally_node.endpoint_table import Load
from arbutustally_node.membership import MembershipService
from tests.node_options import options


def engine(name: str, state: str = "live") -> Instance:
    return Instance(name, "workers", f"{name}:80", "zone-a", state, "m", "v1")


def entry(name: str) -> Instance:
    return Instance(name, "entry", f"{name}:82", "zone-a", "live")


class Hub:
    """Delivers broadcasts between services at once, except over cut links."""

    def __init__(self) -> None:
        self.services: dict[str, MembershipService] = {}
        self.subscribers: dict[str, Any] = {}
        self.cut: set[str] = set()
        # Connected nodes that broadcasts do not reach.
        self.unreached: set[str] = set()
        self.incarnations: dict[str, int] = {}

    def port(self, name: str) -> SimpleNamespace:
        def broadcast(_topic: str, payload: Any) -> frozenset[tuple[str, int]]:
            away = self.cut | self.unreached | {name}
            others = self.subscribers if name not in self.cut else ()
            reached = [other for other in others if other not in away]
            for other in reached:
                self.subscribers[other](name, payload)
            return frozenset((other, self.incarnations.get(other, 0)) for other in reached)

        def connected() -> list[str]:
            if name in self.cut:
                return []
            return [other for other in self.subscribers if other != name and other not in self.cut]

        def subscribe(_topic: str, deliver: Any) -> None:
            self.subscribers[name] = deliver

        return SimpleNamespace(
            broadcast=broadcast, connected=connected, subscribe=subscribe, address=f"{name}:82"
        )


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        configure("error")
        self.enterContext(mock.patch("gevent.spawn"))
        self.clock = VirtualClock(100.0)
        self.hub = Hub()
        self.lists: dict[str, list[Instance]] = {}
        self.loads: dict[str, Any] = {}
        self.polls: list[tuple[str, str]] = []
        self.instances = [entry("a"), entry("b"), entry("c"), engine("e1"), engine("e2")]
        for name in "abc":
            self.add(name)
        self.set_load("e1", "i1", 100)
        self.set_load("e2", "i1", 200)
        self.round()

    def add(self, name: str, **changes: Any) -> MembershipService:
        def read() -> list[Instance]:
            listed = self.lists.get(name, self.instances)
            if listed is None:
                raise InstanceListUnavailableError("simulated outage; wait")
            return listed

        def load(address: str) -> Any:
            self.polls.append((name, address))
            report = self.loads[address]
            if isinstance(report, Exception):
                raise report
            return report

        changes = {"caller_advertise": f"{name}:80", **changes}
        port = self.hub.port(name)
        service = MembershipService(
            options(name, **changes), Metrics(), read, load, lambda: port, self.clock
        )
        self.hub.services[name] = service
        service.start()
        return service

    def set_load(self, name: str, incarnation: str, queued: int, age_s: float = 0.0) -> None:
        self.loads[f"{name}:80"] = SimpleNamespace(
            incarnation=incarnation, queued_tokens=queued, running=1, versions=("v1",), age_s=age_s
        )

    def round(self) -> None:
        """One interval of each loop on all nodes; three, so that news spread."""
        for _ in range(3):
            self.clock.advance(1.0)
            for service in self.hub.services.values():
                service.refresh()
            for service in self.hub.services.values():
                for instance in service.assigned():
                    service.poll(instance)
            for service in self.hub.services.values():
                service.share()

    def states(self, name: str) -> dict[str, Any]:
        return {state.id: state for state in self.hub.services[name].endpoints("workers")}

    def test_each_engine_is_polled_by_one_node_and_known_to_all(self) -> None:
        """Guards against polls by every node, and against loads that are not shared."""
        self.polls.clear()
        for service in self.hub.services.values():
            for instance in service.assigned():
                service.poll(instance)
        self.assertEqual(sorted(address for _, address in self.polls), ["e1:80", "e2:80"])
        for name in "abc":
            loads = [state.queued_tokens for state in self.states(name).values()]
            self.assertEqual(loads, [100, 200])

    def test_polls_move_when_a_node_is_cut_off(self) -> None:
        """Guards against engines that nobody polls after a node failed."""
        poller = next(n for n, s in self.hub.services.items() if s.assigned())
        self.hub.cut.add(poller)
        self.polls.clear()
        rest = [service for name, service in self.hub.services.items() if name != poller]
        polled = [instance.id for service in rest for instance in service.assigned()]
        self.assertEqual(sorted(polled), ["e1", "e2"])

    def test_leaving_mark_of_one_peer_wins_over_a_lagging_list(self) -> None:
        """Guards against new work for a leaving endpoint that the list still shows as live."""
        self.hub.services["a"].mark_leaving("e1")
        self.round()
        for name in "abc":
            self.assertTrue(self.states(name)["e1"].leaving)
            self.assertFalse(self.states(name)["e2"].leaving)

    def test_leaving_is_sticky_when_lists_disagree(self) -> None:
        """Guards against an endpoint that flaps because some nodes read an older list."""
        self.lists["a"] = [*self.instances[:3], engine("e1", "leaving"), engine("e2")]
        self.round()
        self.lists.pop("a")
        self.round()
        for name in "abc":
            self.assertTrue(self.states(name)["e1"].leaving)

    def test_restart_ends_marks_although_the_list_lags(self) -> None:
        """Guards against a replaced endpoint that never gets work again."""
        self.instances[3] = engine("e1", "leaving")
        self.round()
        self.set_load("e1", "i2", 0)
        self.round()
        self.assertTrue(self.states("a")["e1"].leaving)
        self.instances[3] = engine("e1")
        self.round()
        for name in "abc":
            self.assertFalse(self.states(name)["e1"].leaving)
            self.assertEqual(self.states(name)["e1"].incarnation, "i2")

    def test_dead_incarnation_stays_dead_and_its_late_reports_are_dropped(self) -> None:
        """Guards against work for a crashed engine after a late report of a peer."""
        self.hub.services["b"].mark_dead("e1", "i1")
        late = Load("e1", "i1", 5, 0, ("v1",), self.clock())
        for name in "abc":
            self.assertNotIn("e1", self.states(name))
            self.assertFalse(self.hub.services[name]._endpoints.report(late))
        self.round()
        self.assertNotIn("e1", self.states("c"))
        self.set_load("e1", "i2", 0)
        self.round()
        self.assertEqual(self.states("c")["e1"].incarnation, "i2")
        self.assertFalse(self.hub.services["a"]._endpoints.report(late))

    def test_marks_reach_a_node_that_was_cut_off(self) -> None:
        """Guards against a mark that is lost with one broadcast."""
        self.hub.cut.add("c")
        self.hub.services["a"].mark_dead("e2", "i1")
        self.round()
        self.assertIn("e2", self.states("c"))
        self.hub.cut.clear()
        self.round()
        self.assertNotIn("e2", self.states("c"))

    def test_refused_poll_marks_dead_and_timeout_does_not(self) -> None:
        """Guards against an engine killed on all nodes by one node's broken network."""
        self.loads["e2:80"] = EndpointTimeoutError("simulated; wait")
        refused = EndpointTimeoutError("simulated; wait")
        refused.__cause__ = ConnectionRefusedError()
        self.loads["e1:80"] = refused
        self.round()
        poller = next(n for n, s in self.hub.services.items() if "e2" in map(_id, s.assigned()))
        other = next(name for name in "abc" if name != poller)
        self.assertEqual(list(self.states(other)), ["e2"])
        self.assertEqual(list(self.states(poller)), [])

    def test_own_dispatches_count_until_a_report_includes_them(self) -> None:
        """Guards against a herd to the endpoint that reported the least load."""
        service = self.hub.services["a"]
        service.add_dispatch("e1", 50)
        service.add_dispatch("e1", 70)
        self.assertEqual(self.states("a")["e1"].queued_tokens, 220)
        self.assertEqual(self.states("b")["e1"].queued_tokens, 100)
        service.remove_dispatch("e1", 50)
        self.assertEqual(self.states("a")["e1"].queued_tokens, 170)
        self.set_load("e1", "i1", 300, age_s=60.0)
        self.round()
        self.assertEqual(self.states("a")["e1"].queued_tokens, 170)
        self.set_load("e1", "i1", 300)
        self.round()
        self.assertEqual(self.states("a")["e1"].queued_tokens, 300)

    def test_list_outage_keeps_the_last_list(self) -> None:
        """Guards against refusing everything while the instance list is down."""
        self.lists.update(dict.fromkeys("abc"))
        self.round()
        self.assertEqual(list(self.states("a")), ["e1", "e2"])
        self.assertEqual(len(self.hub.services["a"].nodes()), 3)

    def share_twice(self) -> None:
        """Lets all nodes send two deltas, of which none is a periodic full one."""
        for _ in range(2):
            for service in self.hub.services.values():
                service.share()

    def live_at(self, name: str) -> list[str]:
        return [node.id for node in self.hub.services[name].live_nodes()]

    def test_node_that_is_reached_after_it_is_connected_is_told_everything(self) -> None:
        """Guards against a new node that does not know the others for ten deltas, and so assigns
        no share slots to them: its link existed before it was read of in the list."""
        self.hub.unreached = {"d"}
        self.add("d")
        self.share_twice()
        self.assertEqual(self.live_at("d"), ["d"])
        self.hub.unreached = set()
        self.share_twice()
        self.assertEqual(self.live_at("d"), ["a", "b", "c", "d"])

    def test_node_that_restarts_at_once_is_told_everything(self) -> None:
        """Guards against a restarted node that does not know the others for ten deltas, because
        they saw no change of the connected nodes."""
        self.add("d")
        self.share_twice()
        self.add("d")
        self.hub.incarnations["d"] = 1
        self.share_twice()
        self.assertEqual(self.live_at("d"), ["a", "b", "c", "d"])

    def test_draining_node_is_not_named_although_listed_live(self) -> None:
        """Guards against callers sent to a node that shuts down."""
        directories = {
            name: DirectoryService(options(name), lambda s=service: s)
            for name, service in self.hub.services.items()
        }
        home = directories["a"].entry("acct")[0][0]
        self.hub.services[home[0]].drain()
        for name in "abc":
            self.assertNotIn(home, directories[name].entry("acct")[0])
            self.assertEqual(len(directories[name].entry("acct")[0]), 2)

    def test_drain_ends_with_the_incarnation(self) -> None:
        """Guards against a restarted node that is never named again."""
        self.hub.services["b"].drain()
        self.add("b", incarnation="next")
        self.round()
        node = next(n for n in self.hub.services["a"].nodes() if n.id == "b")
        self.assertEqual((node.incarnation, node.draining), ("next", False))

    def test_unreachable_node_is_not_named_unless_this_one_is_cut_off(self) -> None:
        """Guards against naming dead nodes, and against a cut-off node that names only itself."""
        self.hub.cut.add("c")
        named = {name: [n.id for n in self.hub.services[name].live_nodes()] for name in "ac"}
        self.assertEqual(named, {"a": ["a", "b"], "c": ["a", "b", "c"]})


def _id(instance: Instance) -> str:
    return instance.id


if __name__ == "__main__":
    unittest.main()
