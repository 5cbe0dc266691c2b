"""The table of endpoints under late reports, marks in any order, restarts and new addresses."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from arbutustally.clock import VirtualClock
from arbutustally.instance_client import Instance
from arbutustally_node import endpoint_table
from arbutustally_node.endpoint_table import EndpointTable, Load, Mark


def engine(state: str = "live", address: str = "e:80") -> Instance:
    return Instance("e", "workers", address, "zone-a", state, "m", "v1")


def born(number: int) -> str:
    """Returns the incarnation of a start, its Unix time in milliseconds."""
    return str(1_790_000_000_000 + number)


class EndpointMachine(RuleBasedStateMachine):
    """Guards against work for an incarnation that was marked, in any order of late news."""

    name_of = staticmethod(born)

    @initialize()
    def begin(self) -> None:
        self.clock = VirtualClock()
        self.table = EndpointTable(self.clock)
        self.table.update_list([engine()])
        self.current = 1
        self.dead: set[str] = set()
        self.leaving: set[str] = set()

    def report_of(self, number: int, age_s: float) -> None:
        self.clock.advance(0.1)
        load = Load("e", self.name_of(number), 1, 1, (), self.clock() - age_s)
        self.table.report(load)

    @rule()
    def restart(self) -> None:
        self.current += 1

    @rule()
    def poll(self) -> None:
        self.report_of(self.current, 0.0)

    @rule(back=st.integers(1, 3), age_s=st.sampled_from([0.0, 0.5, 5.0]))
    def late_report(self, back: int, age_s: float) -> None:
        self.report_of(max(self.current - back, 1), age_s)

    @rule(back=st.integers(0, 2))
    def dead_mark(self, back: int) -> None:
        incarnation = self.name_of(max(self.current - back, 1))
        self.dead.add(incarnation)
        self.table.apply(Mark("e", incarnation, "dead"))

    @rule(back=st.integers(0, 2))
    def leaving_mark(self, back: int) -> None:
        incarnation = self.name_of(max(self.current - back, 1))
        self.leaving.add(incarnation)
        self.table.apply(Mark("e", incarnation, "leaving"))

    @rule(state=st.sampled_from(["live", "leaving", "gone"]))
    def new_list(self, state: str) -> None:
        before = self.table.incarnation("e")
        self.table.update_list([engine(state)] if state != "gone" else [])
        if state == "leaving":
            self.listed_for = before

    @invariant()
    def marked_incarnations_get_no_work(self) -> None:
        if not hasattr(self, "table"):
            return
        for state in self.table.endpoints("workers"):
            assert state.incarnation not in self.dead
            assert state.leaving or state.incarnation not in self.leaving

    @rule()
    def newest_is_never_replaced_by_an_older(self) -> None:
        self.report_of(self.current, 0.0)
        seen = self.table.incarnation("e")
        if seen != self.name_of(self.current):
            assert self.may_be_replaced(self.name_of(self.current))
            return
        for back in (1, 2):
            if self.current > back and self.is_known_to_be_older(self.current - back):
                self.report_of(self.current - back, 0.0)
                assert self.table.incarnation("e") == seen

    def may_be_replaced(self, newest: str) -> bool:
        return newest in self.dead

    def is_known_to_be_older(self, _number: int) -> bool:
        return True


class UnorderedEndpointMachine(EndpointMachine):
    """The same for incarnations without an order, where the order of arrival decides."""

    name_of = staticmethod("i{}".format)

    def may_be_replaced(self, newest: str) -> bool:
        return newest in self.dead or newest in self.table._entries["e"].past

    def is_known_to_be_older(self, number: int) -> bool:
        return self.name_of(number) in self.table._entries["e"].past


EndpointMachine.TestCase.settings = UnorderedEndpointMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, derandomize=False, deadline=None, database=None
)


class EndpointMachineTest(EndpointMachine.TestCase):
    """Runs the machine."""


class UnorderedEndpointMachineTest(UnorderedEndpointMachine.TestCase):
    """Runs the machine."""


class EndpointTableTest(unittest.TestCase):
    def test_late_report_of_a_start_never_seen_is_dropped(self) -> None:
        """Guards against a late report that hides the start that followed it."""
        table = EndpointTable(VirtualClock())
        table.update_list([engine()])
        accepted = [table.report(Load("e", born(n), 1, 1, (), 0.0)) for n in (2, 1, 2)]
        self.assertEqual((accepted, table.incarnation("e")), ([True, False, True], born(2)))

    def test_random_incarnations_have_no_order(self) -> None:
        """Guards against an engine that gets no work since its random incarnation is a number."""
        table = EndpointTable(VirtualClock())
        table.update_list([engine()])
        accepted = [table.report(Load("e", n, 1, 1, (), 0.0)) for n in ("90217744", "11385530")]
        self.assertEqual((accepted, table.incarnation("e")), ([True, True], "11385530"))

    def test_plain_service_marked_dead_returns(self) -> None:
        """Guards against losing a service without incarnations for good."""
        clock = VirtualClock()
        table = EndpointTable(clock)
        table.update_list([Instance("p", "quotes", "p:80", "z", "live")])
        table.apply(Mark("p", "", "dead"))
        self.assertEqual(table.endpoints("quotes"), [])
        clock.advance(endpoint_table.DEAD_MARK_TTL_S + 0.1)
        self.assertEqual(len(table.endpoints("quotes")), 1)

    def test_new_address_is_a_new_process(self) -> None:
        """Guards against sending to a new process what belongs to the old one's cache."""
        table = EndpointTable(VirtualClock())
        table.update_list([engine()])
        table.report(Load("e", "i1", 9, 9, ("v1",), 0.0))
        table.update_list([engine(address="e:81")])
        state = table.endpoints("workers")[0]
        self.assertEqual((state.incarnation, state.queued_tokens), ("", 0))


if __name__ == "__main__":
    unittest.main()
