"""Records whose bytes do not have the form of a key and a value."""

import gevent

from tests.test_odd_entries import SERVERS, LoggedCase


class OddKeyTest(LoggedCase):
    """Guards against a malformed record that is taken for one of another key."""

    def test_key_longer_than_its_record_removes_no_entry(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        for desk in self.desks:
            self.store.put_content(SERVERS, bytes([200]) + desk.id.encode())
        self.store.put_content(SERVERS, b"")
        self.store.put_content(SERVERS, bytes([3]))
        gevent.sleep(1.0)
        self.assertEqual(self.logged("endpoint_removed"), [])
        self.assert_follows([node], 2)
        self.assert_no_fault()
