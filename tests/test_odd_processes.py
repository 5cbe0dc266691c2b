"""Odd records of another writer in the store of nodes that run as processes."""

import json

import gevent

from tests.fake_configuration import configuration
from tests.odd_values import ODD_ADDRESSES, ODD_VALUES, with_field
from tests.platform_fakes import FakeWorker
from tests.test_odd_entries import OPERATOR, SERVERS, AnyNameWorker, odd_entries
from tests.test_odd_operator_records import odd_operator_records
from tests.test_return_processes import ProcessCase

#: Time in which a change reaches a node that follows the store, seconds.
FOLLOWED_S = 6.0


class OddRecordProcessTest(ProcessCase):
    """Guards against a process that ends, or stops following, over odd records of another writer."""

    def write_odd_records(self) -> None:
        odd = AnyNameWorker("odd", "desk")
        self.addCleanup(odd.stop)
        for key, data in odd_entries(odd.entry()).items():
            self.store.put_raw(SERVERS, key, data)
        for desk in self.desks:
            self.store.put_content(SERVERS, bytes([200]) + desk.id.encode())
        for key, data in odd_operator_records():
            self.store.put_raw(OPERATOR, key, data)
        for number, address in enumerate(ODD_ADDRESSES):
            ip = address.rpartition(":")[0].encode() or b"\0"
            self.store.put_raw("keyed.nodes", f"odd-{number}", ip)
        lease = {"holder": "odd", "fence": None, "released": False}
        self.store.put_raw(
            "keyed.weights-lease", "lease", with_field(lease, "era", ODD_VALUES["nested"])
        )

    def lines(self, name: str) -> list[dict]:
        """Returns the complete lines of a node's log."""
        text = self.nodes[name].log.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in text.splitlines()]

    def has_logged(self, name: str, event: str, **fields: object) -> bool:
        """Returns whether a node's log has a line with these fields."""
        found = [line for line in self.lines(name) if line["event"] == event]
        return any(all(line[key] == one for key, one in fields.items()) for line in found)

    def assert_follows(self, version: int) -> None:
        late = FakeWorker(f"late-{version}", "other")
        self.addCleanup(late.stop)
        self.store.put(SERVERS, late.id, late.entry())
        self.store.put(OPERATOR, "config", configuration(version))
        for name in self.nodes:
            self.eventually(
                lambda name=name: self.has_logged(name, "endpoint_listed", endpoint=late.id)
                and self.has_logged(name, "configuration_in_force", version=version),
                FOLLOWED_S,
            )
            statuses = [self.look(name, number) for number in range(20)]
            self.assertEqual(statuses, [200] * 20)

    def assert_alive_without_fault(self, first: dict[str, int]) -> None:
        for name, program in self.nodes.items():
            self.assertEqual(program.popen.poll(), None)
            self.assertEqual(program.popen.pid, first[name])
            faults = [line["error"] for line in self.lines(name) if line["event"] == "fault"]
            self.assertEqual(faults, [])

    def test_processes_run_on_and_follow_the_others(self) -> None:
        pids = {name: program.popen.pid for name, program in self.nodes.items()}
        self.write_odd_records()
        gevent.sleep(2.0)
        self.assert_follows(10)
        self.assert_alive_without_fault(pids)

    def test_processes_that_start_after_them_serve(self) -> None:
        self.write_odd_records()
        # The operator's key has one value, and an odd one hides it until the operator writes again.
        self.store.put(OPERATOR, "config", configuration(9))
        for program in self.nodes.values():
            # The log of the first start ends here: a line that a kill cut is no fault.
            program.end()
            program.log.unlink()
            program.start()
        self.await_ready()
        pids = {name: program.popen.pid for name, program in self.nodes.items()}
        self.assert_follows(10)
        self.assert_alive_without_fault(pids)
        self.store.put(OPERATOR, "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: self.engine.version == 2, 12.0)
