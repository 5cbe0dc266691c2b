"""Odd addresses of nodes, in the store and in datagrams."""

import gevent

from tests.odd_values import ODD_ADDRESSES
from tests.test_odd_entries import LoggedCase


class OddAddressTest(LoggedCase):
    """Guards against a lookup, or an error other than ``OSError``, in the task that sends."""

    def test_odd_addresses_of_nodes_are_not_sent_to(self) -> None:
        odd = [address.rpartition(":")[0] for address in ODD_ADDRESSES]
        for number, ip in enumerate((*odd, "\ufffd", "x" * 300, "a" * 64 + ".b")):
            self.store.put_raw("keyed.nodes", f"odd-{number}", ip.encode() or b"\0")
        first = self.start_node()
        self.eventually(lambda: "keyed.nodes" in self.store.topics, 4.0)
        gevent.sleep(1.5)
        self.assert_no_fault()
        self.assertEqual({fields["peer"] for fields in self.logged("gossip_unsent")}, set())
        candidates = set(first._gossip._table._candidates.ips)
        self.assertLessEqual(candidates, {"127.0.0.1", *(f"127.0.0.{n}" for n in range(2, 9))})
