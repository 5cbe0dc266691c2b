"""An odd lease record ends like any other claim."""

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_responses import lease_record
from arbutustally_platform.store_topics import StoreKeyedTopic, StoreLeaseTopic
from tests.odd_values import ODD_VALUES, odd_values, with_field
from tests.platform_fakes import FakeStore
from tests.test_odd_entries import OPERATOR, LoggedCase

LEASE_TOPIC = "keyed.weights-lease"
LEASE = {"holder": "node-9", "fence": None, "released": False, "era": 1}


class OddLeaseTest(LoggedCase):
    """Guards against an odd lease record that keeps all nodes from the lease for ever."""

    def test_lease_is_claimed_after_an_odd_record(self) -> None:
        for number, data in enumerate(
            (
                b"[" * 1000 + b"]" * 1000,
                with_field(LEASE, "holder", ODD_VALUES["nested"]),
                with_field(LEASE, "fence", 1e308),
                with_field(LEASE, "era", 1 << 62),
                with_field(LEASE, "fence", -5),
                b"\xff",
                b"[]",
            ),
            2,
        ):
            store = FakeStore()
            self.addCleanup(store.stop)
            leases = StoreLeaseTopic(StoreKeyedTopic(StoreClient(store.address), "keyed.l"))
            store.put_raw("keyed.l", "lease", data)
            reading = leases.last()
            self.assertEqual((reading.end, reading.last.offset), (1, 0), number)
            self.assertFalse(reading.last.is_released)

    def test_orders_go_on_after_an_odd_record(self) -> None:
        self.store.put_raw(LEASE_TOPIC, "lease", b"[" * 1000 + b"]" * 1000)
        node = self.start_node()
        self.wait_ready(node)
        self.store.put(OPERATOR, "version/m", {"model": "m", "version": 2})
        self.eventually(lambda: all(engine.version == 2 for engine in self.engines), 8.0)
        self.assert_no_fault()

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from(sorted(LEASE)), odd_values())
    def test_any_value_gives_a_record(self, field, value) -> None:
        record = lease_record(with_field(LEASE, field, value), 7)
        self.assertEqual(record.offset, 7)
        self.assertTrue(0 <= record.tenure <= 7)
