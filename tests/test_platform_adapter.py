"""The platform adapter: decoding, encoding, and typed errors or ``None`` for invalid input."""

import json
import os
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.errors import (
    BadRequestError,
    HoleFoundError,
    SettingInvalidError,
    StoreUnavailableError,
)
from arbutustally.gateway.configuration import Configuration, RouteKind
from arbutustally.gateway.zone_spill import ZoneCosts
from arbutustally_node.gateway.ports import (
    AttemptTerms,
    LeaseAppend,
    LeaseReading,
    Record,
    WeightsNamed,
)
from arbutustally_node.http_head import RequestHead, parse_head
from arbutustally_platform.__main__ import build_parser
from arbutustally_platform.documents import PlatformDocuments
from arbutustally_platform.headers import PlatformCodec
from arbutustally_platform.settings import decode_settings, load, zone_costs
from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_topics import StoreKeyedTopic, StoreLeaseTopic
from tests.fake_configuration import configuration
from tests.gateway_fleet import settings
from tests.platform_fakes import FakeStore, FakeWorker


def head(*lines: str) -> RequestHead:
    text = "\r\n".join(("POST /a/b?c=d HTTP/1.1", "Host: H.example:80", *lines))
    return parse_head(text.encode("latin-1"), 1 << 20)


class CodecTest(unittest.TestCase):
    codec = PlatformCodec()

    def test_fields_of_a_request(self) -> None:
        request = self.codec.decode_request(
            head(
                "Request-Id: r1",
                "Model: m",
                "Token-Usage: 1460,80",
                "Prompt-Prefix: 5C1E:800,91bd:660",
                "Deadline-Ms: 1500",
                "Authorization: Token secret",
                "X-Own: kept",
            ),
            b"body",
            1.0,
        )
        self.assertEqual((request.host, request.path, request.key), ("h.example", "/a/b", "secret"))
        self.assertEqual((request.tokens, request.time_left_s), (1540, 1.5))
        self.assertEqual([part.id for part in request.parts], ["5c1e", "91bd"])
        headers = self.codec.attempt_headers(request, AttemptTerms("i-1", "school", 0.25))
        self.assertEqual(headers["x-own"], "kept")
        self.assertEqual((headers["Deadline-Ms"], headers["Tenant"]), ("250", "school"))
        self.assertNotIn("secret", str(headers))

    def test_headers_named_by_connection_are_dropped(self) -> None:
        request = self.codec.decode_request(
            head("Request-Id: r1", "Connection: X-Hop", "X-Hop: 1", "TE: trailers"), b"", 1.0
        )
        self.assertNotIn("x-hop", dict(request.headers))
        self.assertNotIn("te", dict(request.headers))

    def test_request_without_an_id_is_refused(self) -> None:
        with self.assertRaises(BadRequestError):
            self.codec.decode_request(head("Model: m"), b"", 1.0)

    @given(st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=40))
    def test_malformed_numbers_never_fail(self, text) -> None:
        request = self.codec.decode_request(
            head(
                "Request-Id: r1",
                f"Deadline-Ms: {text}",
                f"Token-Usage: {text}",
                f"Prompt-Prefix: {text}",
            ),
            b"",
            1.0,
        )
        self.assertTrue(request.prompt_tokens is None or request.prompt_tokens >= 0)

    def test_numbers_with_very_many_digits_never_fail(self) -> None:
        """Guards against ``ValueError`` of ``int`` for more than 4,300 digits."""
        for digits in ("9" * 5000, "9" * 16):
            for text in (f"{digits},5", f"5,{digits}"):
                request = self.codec.decode_request(
                    head("Request-Id: r1", f"Token-Usage: {text}"), b"", 1.0
                )
                self.assertEqual((request.prompt_tokens, request.output_tokens), (None, 0))
            terms = self.codec.decode_response(200, [("Weight-Versions", digits)])
            self.assertIsNone(terms.weights)

    def test_two_meanings_of_421(self) -> None:
        terms = self.codec.decode_response(421, [("Instance-Id", "i-9")])
        self.assertEqual((terms.is_mismatched, terms.endpoint_id), (True, "i-9"))
        self.assertFalse(self.codec.decode_response(200, [("Server-Stamp", "x")]).is_mismatched)


class DocumentsTest(unittest.TestCase):
    documents = PlatformDocuments()

    def decode(self, key: str, value: object):
        return self.documents.decode_operator(Record(key, json.dumps(value).encode()))

    def test_configuration(self) -> None:
        decoded = self.decode("config", configuration(7))
        self.assertIsInstance(decoded, Configuration)
        self.assertEqual(decoded.version, 7)
        kinds = {route.name: route.kind for route in decoded.routes}
        self.assertEqual(kinds["book"], RouteKind.AT_MOST_ONCE)
        self.assertEqual(decoded.accounts_by_key, {"key-school": "school"})

    def test_split_and_part_store(self) -> None:
        fields = configuration()
        fields["routes"][0]["trafficSplit"] = [
            {"service": "llm", "weight": 90},
            {"service": "other", "weight": 10},
        ]
        fields["services"].append(
            {"name": "kv", "kvStoreAddr": "10.0.0.1:2", "zone": "z1", "maxInflight": 12}
        )
        decoded = self.decode("config", fields)
        self.assertEqual([share.weight for share in decoded.routes[0].shares], [90.0, 10.0])
        self.assertEqual(decoded.part_stores[0].part_store.address, "10.0.0.1:2")

    def test_named_weights(self) -> None:
        named = self.decode("version/m", {"model": "m", "version": 3})
        self.assertEqual(named, WeightsNamed("m", 3))

    @given(
        st.sampled_from(["config", "version/m", "rollout/s", "other"]),
        st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.none() | st.integers() | st.text(max_size=8),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["version", "routes", "services", "tenants", "model", "limits", "name"]
                    ),
                    inner,
                    max_size=5,
                ),
                max_leaves=12,
            ).map(lambda value: json.dumps(value).encode()),
        ),
    )
    def test_invalid_records_decode_to_none(self, key, value) -> None:
        decoded = self.documents.decode_operator(Record(key, value))
        self.assertTrue(decoded is None or isinstance(decoded, (Configuration, WeightsNamed)))
        self.documents.decode_endpoint(Record(key, value))

    def test_entry_with_an_invalid_field_decodes_to_none(self) -> None:
        worker = FakeWorker("e1", "llm", "m")
        self.addCleanup(worker.stop)
        good = worker.entry()
        read = self.documents.decode_endpoint
        self.assertEqual(read(Record("e1", json.dumps(good).encode())).weights, {"m": 1})
        for name, value in (
            ("state", "unknown"),
            ("address", "nowhere"),
            ("address", 5),
            ("slots", "many"),
            ("service", None),
            ("zone", ""),
            ("born", "yesterday"),
        ):
            record = Record("e1", json.dumps({**good, name: value}).encode())
            self.assertIsNone(read(record), (name, value))

    def test_entry_without_a_field_of_a_worker_names_none(self) -> None:
        """Guards against requests to the address in an entry of another writer."""
        worker = FakeWorker("e1", "llm", "m")
        self.addCleanup(worker.stop)
        good = worker.entry()
        read = self.documents.decode_endpoint
        names = ("service", "address", "zone", "version", "slots", "state", "sequence")
        for name in (*names, "coldRemainingMs"):
            rest = {key: value for key, value in good.items() if key != name}
            for fields in (rest, {**rest, name: None}, {**rest, name: [1]}, {**rest, name: True}):
                self.assertIsNone(read(Record("e1", json.dumps(fields).encode())), (name, fields))


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.addCleanup(self.store.stop)
        self.client = StoreClient(self.store.address)

    def test_newest_then_changes(self) -> None:
        topic = StoreKeyedTopic(self.client, "keyed.t")
        topic.put("a", b"1")
        topic.put("b", b"2")
        topic.put("a", None)
        batch = topic.newest()
        self.assertEqual([(record.key, record.value) for record in batch.records], [("b", b"2")])
        topic.put("c", b"3")
        topic.put("b", None)
        later = topic.since(batch.next_offset, 0.1)
        self.assertEqual(
            [(record.key, record.value) for record in later.records], [("c", b"3"), ("b", None)]
        )

    def test_missing_records_and_rejections_raise_typed_errors(self) -> None:
        topic = StoreKeyedTopic(self.client, "keyed.t")
        topic.put("a", b"1")
        self.store.drop_history("keyed.t")
        with self.assertRaises(HoleFoundError) as caught:
            topic.since(0, 0.1)
        self.assertEqual(caught.exception.oldest, 1)
        for status in (503, 429, 500):
            self.store.status = status
            with self.assertRaises(StoreUnavailableError):
                topic.newest()

    def test_only_one_of_two_appends_at_one_offset_succeeds(self) -> None:
        leases = StoreLeaseTopic(StoreKeyedTopic(self.client, "keyed.l"))
        self.assertEqual(leases.last(), LeaseReading(None, 0, era=1))
        self.assertEqual(leases.append("n1", None, False, 1, 0), LeaseAppend(True, era=1))
        self.assertEqual(leases.append("n2", None, False, 1, 0), LeaseAppend(False, era=1))
        reading = leases.last()
        last, end = reading.last, reading.end
        self.assertEqual((last.holder, last.tenure, end), ("n1", 0, 1))
        self.assertTrue(leases.append("n1", 0, True, 1, end).is_appended)
        self.assertTrue(leases.last().last.is_released)


class SettingsTest(unittest.TestCase):
    def test_settings_of_the_platform(self) -> None:
        decoded = decode_settings(settings("10.0.0.1:5"))
        self.assertEqual(decoded.store_address, "10.0.0.1:5")
        self.assertEqual(decoded.options.bounds.weights_s, 4.0)

    def test_costs_between_zones_come_from_flags_and_variables(self) -> None:
        """Guards against ignored costs, and against a variable of the platform that is refused."""

        def costs(*arguments: str, **environment: str) -> ZoneCosts:
            return zone_costs(build_parser().parse_args(arguments), environment)

        self.assertFalse(costs(ARBUTUSTALLY_CONFIG="x", ARBUTUSTALLY_OTHER="y").is_set)
        given = costs("--zone-delay-s", "0.002", ARBUTUSTALLY_ZONE_S_PER_GB="1.5")
        self.assertEqual(given, ZoneCosts(1.5, 0.002))
        with self.assertRaises(SettingInvalidError):
            costs(ARBUTUSTALLY_ZONE_S_PER_GB="-1")

    def test_invalid_file_error_states_the_remedy(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "local.json")
            for text in (b"", b"{", b"[]", b'{"ip": 5}'):
                with open(path, "wb") as file:
                    file.write(text)
                with self.assertRaises(SettingInvalidError) as caught:
                    load(path)
                self.assertIn("name a JSON file", caught.exception.message)
            with self.assertRaises(SettingInvalidError):
                load(os.path.join(folder, "missing.json"))
