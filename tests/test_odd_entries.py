"""One odd entry that a foreign writer leaves among those of the workers harms nothing else."""

import json
import unittest
from unittest import mock

import gevent
from bottle import request
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.node import GatewayNode
from arbutustally_node.gateway.ports import Record
from arbutustally_platform.documents import PlatformDocuments
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase
from tests.odd_values import ODD_ADDRESSES, ODD_VALUES, odd_values, with_field
from tests.platform_fakes import FakeWorker

SERVERS = "keyed.servers"
OPERATOR = "keyed.op"
#: Time in which a change reaches a node that follows the store, seconds.
FOLLOWED_S = 4.0
FIELDS = ("service", "address", "zone", "version", "slots", "state", "models", "sequence", "born")


def odd_entries(good: dict) -> dict[str, bytes]:
    """Returns odd entries by key: of a worker, each with one odd field, or odd as a whole."""
    odd = {
        f"odd-{field}-{name.replace(' ', '-')}": with_field(good, field, value)
        for field in FIELDS
        for name, value in ODD_VALUES.items()
    }
    for number, address in enumerate(ODD_ADDRESSES):
        odd[f"odd-address-{number}"] = with_field(good, "address", address)
    models = ([1], ["m"], [[]], [{"name": "m"}], [{"name": ["m"], "version": 1}], {"m": 1}, "m")
    for number, value in enumerate(models):
        odd[f"odd-models-{number}"] = with_field(good, "models", value)
    odd["odd-list"] = b"[" * 1000 + b"]" * 1000
    odd["odd-too-deep"] = b"[" * 100_000
    odd["odd-bytes"] = b"\xff\x00"
    odd["odd-number"] = b"1e400"
    odd["odd\r\nkey"] = json.dumps(good).encode()
    odd["oddéþkey"] = json.dumps(good).encode()
    odd["odd key"] = json.dumps(good).encode()
    odd["odd-huge"] = json.dumps({**good, "note": "x" * 1_000_000}).encode()
    return odd


class AnyNameWorker(FakeWorker):
    """A worker that serves under every id, so that a readable odd entry costs no request."""

    def _serve(self, path: str):
        self.id = request.headers["Expect-Instance"]
        return super()._serve(path)


class LoggedCase(GatewayCase):
    """Records the decision log of all nodes."""

    def setUp(self) -> None:
        self.lines: list[tuple[str, dict]] = []
        write = DecisionLog.line

        def line(log: DecisionLog, event: str, **fields: object) -> None:
            self.lines.append((event, fields))
            write(log, event, **fields)

        patched = mock.patch.object(DecisionLog, "line", line)
        patched.start()
        self.addCleanup(patched.stop)
        super().setUp()

    def logged(self, event: str) -> list[dict]:
        """Returns the fields of the lines of an event."""
        return [fields for name, fields in self.lines if name == event]

    def assert_no_fault(self) -> None:
        faults = [fields["error"][-400:] for fields in self.logged("fault")]
        self.assertEqual(faults, [])

    def assert_follows(self, nodes: list[GatewayNode], version: int) -> None:
        """Checks that changes after the odd entry arrive, and that requests are served."""
        late = FakeWorker(f"late-{version}", "desk")
        self.addCleanup(late.stop)
        self.store.put(SERVERS, late.id, late.entry())
        self.store.put(OPERATOR, "config", configuration(version))
        for node in nodes:
            self.eventually(lambda node=node: node._view.book.get(late.id), FOLLOWED_S)
            self.eventually(
                lambda node=node: node._view.configuration.version == version, FOLLOWED_S
            )
            for number in range(12):
                status = self.call(node, "/look/x", f"look-{version}-{number}").status
                self.assertEqual(status, 200)


class OddEntryTest(LoggedCase):
    """Guards against a reader that ends, or loses good entries, over one odd entry."""

    def setUp(self) -> None:
        super().setUp()
        self.odd = AnyNameWorker("odd", "desk")
        self.addCleanup(self.odd.stop)

    def assert_no_odd_address(self, node: GatewayNode) -> None:
        known = [state for state in node._view.book.all() if state.id.startswith("odd")]
        for state in known:
            self.assertEqual(state.address, self.odd.address)

    def test_nodes_that_start_after_it_read_the_others(self) -> None:
        for key, data in odd_entries(self.odd.entry()).items():
            self.store.put_raw(SERVERS, key, data)
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
        self.assert_follows(nodes, 2)
        for node in nodes:
            self.assert_no_odd_address(node)
        self.assert_no_fault()

    def test_nodes_that_run_follow_the_others(self) -> None:
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
        for key, data in odd_entries(self.odd.entry()).items():
            self.store.put_raw(SERVERS, key, data)
        gevent.sleep(1.0)
        self.assert_follows(nodes, 2)
        for node in nodes:
            self.assert_no_odd_address(node)
        self.assert_no_fault()

    def test_odd_value_of_a_known_worker_leaves_its_entry(self) -> None:
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
        good = self.desks[0].entry()
        self.store.put_raw(SERVERS, "d1", with_field(good, "born", ODD_VALUES["nested"]))
        self.store.put_raw(SERVERS, "d1", with_field(good, "address", "127.0.0.1:99999"))
        gevent.sleep(1.0)
        self.assert_follows(nodes, 2)
        for node in nodes:
            self.assertEqual(node._view.book.get("d1").address, good["address"])
        self.assert_no_fault()

    def test_entry_without_a_start_time_does_not_hide_that_a_worker_leaves(self) -> None:
        """Guards against requests at a worker whose draining was acknowledged long ago."""
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
        good = self.desks[0].entry()
        odd = {name: value for name, value in good.items() if name != "born"}
        self.store.put(SERVERS, "d1", odd)
        gevent.sleep(1.0)
        self.store.put(SERVERS, "d1", {**good, "state": "draining", "sequence": 2})
        for node in nodes:
            self.eventually(lambda node=node: node._view.book.get("d1").is_leaving, FOLLOWED_S)

    def test_entry_without_a_start_time_leaves_an_engine_in_use(self) -> None:
        """Guards against an engine that gets nothing until it starts again."""
        node = self.start_node()
        self.wait_ready(node)
        good = self.engines[0].entry()
        odd = {name: value for name, value in good.items() if name not in ("born", "models")}
        self.store.put(SERVERS, "e1", odd)
        gevent.sleep(1.0)
        self.store.put(SERVERS, "e1", {**good, "sequence": 2})
        self.eventually(lambda: node._view.book.get("e1").weights == {"m": 1}, FOLLOWED_S)

    def test_odd_entry_is_logged_once_and_counted(self) -> None:
        """Guards against an odd entry, written again and again, that fills the log."""
        node = self.start_node()
        self.wait_ready(node)
        odd = with_field(self.odd.entry(), "address", "127.0.0.1:99999")
        for _ in range(20):
            self.store.put_raw(SERVERS, "odd", odd)
        event = "endpoint_record_unreadable"
        self.eventually(lambda: node._services.state.instruments.value(event) >= 20)
        self.assertEqual([line["key"] for line in self.logged(event)], ["odd"])


class EntryDecodingTest(unittest.TestCase):
    documents = PlatformDocuments()

    @classmethod
    def setUpClass(cls) -> None:
        worker = FakeWorker("e1", "llm", "m")
        worker.stop()
        cls.good = worker.entry()

    def test_each_odd_entry_is_refused_or_harmless(self) -> None:
        for key, data in odd_entries(self.good).items():
            entry = self.documents.decode_endpoint(Record(key, data))
            if entry is not None:
                self.assert_harmless(entry, key)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(FIELDS), odd_values())
    def test_any_value_of_a_field_is_refused_or_harmless(self, field, value) -> None:
        data = with_field(self.good, field, value)
        entry = self.documents.decode_endpoint(Record("e1", data))
        if entry is not None:
            self.assert_harmless(entry, (field, value))

    def assert_harmless(self, entry, case: object) -> None:
        host, _, port = entry.address.rpartition(":")
        self.assertRegex(host, r"\A[0-9]{1,3}(\.[0-9]{1,3}){3}\Z", case)
        self.assertTrue(port.isascii() and 1 <= int(port) <= 65535, case)
        self.assertTrue(0 <= entry.slots < 1 << 31, case)
        self.assertTrue(entry.id.isascii() and entry.id.isprintable(), case)
        for text in (entry.id, entry.service, entry.zone, entry.release, *entry.weights):
            self.assertTrue(text.isprintable() and len(text) <= 255, case)
        for number in (int(entry.incarnation), *entry.weights.values()):
            self.assertTrue(0 <= number < 1 << 63, case)
