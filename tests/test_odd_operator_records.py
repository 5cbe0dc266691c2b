"""One odd record among those of the operator and of roll-outs harms nothing else."""

import json
import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.rollouts import RolloutOrder
from arbutustally_node.gateway.ports import Record, WeightsNamed
from arbutustally_platform.documents import PlatformDocuments
from tests.fake_configuration import configuration
from tests.odd_values import ODD_VALUES, odd_values, with_field
from tests.test_odd_entries import OPERATOR, LoggedCase

CONFIG = configuration(9)
WEIGHTS = {"model": "other", "version": 3}
ROLLOUT = {"service": "desk", "target": "v9", "durationS": 5}
ROUTE_FIELDS = ("name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority")
SERVICE_FIELDS = ("name", "maxConnections", "engine")
TENANT_FIELDS = ("name", "apiKeys", "priority", "ratePerS", "burst", "plainTokens")


def with_part(name: str, field: str, value: object) -> bytes:
    """Returns a configuration whose first row of a part has one odd field."""
    row = with_field(CONFIG[name][0], field, value)
    rest = [json.dumps(one).encode() for one in CONFIG[name][1:]]
    other = json.dumps({key: one for key, one in CONFIG.items() if key != name}).encode()
    rows = b"[" + b", ".join([row, *rest]) + b"]"
    return other[:-1] + b", " + json.dumps(name).encode() + b": " + rows + b"}"


def odd_operator_records() -> list[tuple[str, bytes]]:
    """Returns records of the operator, each with one odd value."""
    parts = {"routes": ROUTE_FIELDS, "services": SERVICE_FIELDS, "tenants": TENANT_FIELDS}
    records = []
    for value in ODD_VALUES.values():
        records += [("config", with_field(CONFIG, name, value)) for name in (*parts, "limits")]
        records += [
            ("config", with_part(part, field, value))
            for part, names in parts.items()
            for field in names
        ]
        records.append(("version/other", with_field(WEIGHTS, "model", value)))
        records += [
            ("rollout/desk", with_field(ROLLOUT, field, value)) for field in ("service", "target")
        ]
        records.append(("rollout/desk", with_field(ROLLOUT, "durationS", value)))
    records += [("config", with_field(CONFIG, "version", value)) for value in ODD_VALUES.values()]
    records += [
        ("config", with_field(CONFIG, part, rows)) for part in parts for rows in (["a"], [[]], [5])
    ]
    records += [("version/other", with_field(WEIGHTS, "version", value)) for value in (1 << 64, -1)]
    records += [(key, b"[" * 1000 + b"]" * 1000) for key in ("config", "version/m", "rollout/desk")]
    return records


class OddRecordTest(LoggedCase):
    """Guards against a reader that ends, or stops following, over one odd record."""

    def test_node_that_runs_follows_the_others(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        for key, data in odd_operator_records():
            self.store.put_raw(OPERATOR, key, data)
        gevent.sleep(1.0)
        self.assert_follows([node], 10)
        self.store.put(OPERATOR, "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: all(engine.version == 2 for engine in self.engines), 6.0)
        self.assert_no_fault()

    def test_node_that_starts_after_it_reads_the_others(self) -> None:
        self.store.put_raw(OPERATOR, "version/other", with_field(WEIGHTS, "version", 1e308))
        self.store.put_raw(OPERATOR, "version/deep", b"[" * 1000 + b"]" * 1000)
        self.store.put_raw(
            OPERATOR, "rollout/llm", with_field(ROLLOUT, "target", ODD_VALUES["nested"])
        )
        self.store.put_raw(OPERATOR, "else", b"[1]")
        node = self.start_node()
        self.wait_ready(node)
        self.assert_follows([node], 2)
        self.assert_no_fault()

    def test_odd_records_of_roll_outs_in_the_status_topic(self) -> None:
        for number, value in enumerate(ODD_VALUES.values()):
            for field in ("target", "state", "service"):
                fields = {"service": "desk", "target": "v9", "state": "running"}
                self.store.put_raw(
                    "keyed.status", f"rollout/desk{number}", with_field(fields, field, value)
                )
        self.store.put_raw("keyed.status", "rollout/desk", b"[" * 1000 + b"]" * 1000)
        node = self.start_node()
        self.wait_ready(node)
        self.store.put(OPERATOR, "rollout/desk", {**ROLLOUT, "durationS": 1})
        self.eventually(lambda: self.logged("rollout_written"))
        self.assert_follows([node], 2)
        self.assert_no_fault()


class OperatorDecodingTest(unittest.TestCase):
    documents = PlatformDocuments()

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(["routes", "services", "tenants"]), st.data())
    def test_any_value_of_a_row_is_refused_or_in_range(self, part, data) -> None:
        fields = {"routes": ROUTE_FIELDS, "services": SERVICE_FIELDS, "tenants": TENANT_FIELDS}
        field = data.draw(st.sampled_from(fields[part]))
        record = Record("config", with_part(part, field, data.draw(odd_values())))
        change = self.documents.decode_operator(record)
        if change is not None:
            self.assertIsInstance(change, Configuration)
            for route in change.routes:
                self.assertTrue(0 <= route.timeout_s <= 1e6 and 0 <= route.target_s <= 1e6)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(["model", "version", "service", "target", "durationS"]), odd_values())
    def test_any_value_of_a_record_is_refused_or_in_range(self, field, value) -> None:
        for key, good in (("version/m", WEIGHTS), ("rollout/desk", ROLLOUT)):
            change = self.documents.decode_operator(Record(key, with_field(good, field, value)))
            if isinstance(change, WeightsNamed):
                self.assertTrue(0 <= change.version < 1 << 63)
            elif isinstance(change, RolloutOrder):
                self.assertTrue(0 <= change.duration_s <= 1e6)
