"""Records of an earlier start of an endpoint that the store takes after those of the next one."""

import unittest

import gevent

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoints import EndpointBook
from tests.gateway_fleet import GatewayCase
from tests.gateway_values import entry

#: Time within which a node knows a record of the list, seconds.
KNOWN_S = 1.5


class EarlierStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = EndpointBook.from_config(VirtualClock(100.0))
        self.book.put(entry("e1", incarnation="1"))
        self.book.put(entry("e1", incarnation="2"))

    def test_late_record_of_the_start_before_does_not_undo_a_leaving(self) -> None:
        """Guards against requests to an endpoint that announced its leaving."""
        self.book.record_leaving(self.book.get("e1"))
        self.assertFalse(self.book.put(entry("e1", incarnation="1")))
        self.book.put(entry("e1", incarnation="2"))
        self.assertEqual(self.book.usable("s"), [])

    def test_restart_ends_the_leaving(self) -> None:
        self.book.put(entry("e1", incarnation="2", is_leaving=True))
        self.book.put(entry("e1", incarnation="3"))
        self.assertEqual(len(self.book.usable("s")), 1)

    def test_restart_with_a_clock_that_was_set_back_is_used(self) -> None:
        self.book.put(entry("e1", incarnation="2", is_leaving=True))
        self.book.put(entry("e1", incarnation="0"))
        self.assertEqual(len(self.book.usable("s")), 1)


class LateRecordTest(GatewayCase):
    def test_late_heartbeat_of_the_start_before_brings_no_requests(self) -> None:
        """Replays a heartbeat of a process that has ended, carried out late by the store."""
        nodes = self.start_nodes(2)
        for node in nodes:
            self.wait_ready(node)
            self.eventually(lambda node=node: len(node._gossip.present) == 1)
        leaving = self.desks[0]
        earlier, entry = leaving.entry(), {**leaving.entry(), "born": 2}
        self.store.put("keyed.servers", leaving.id, entry)
        gevent.sleep(KNOWN_S)
        leaving.is_leaving = True
        for number in range(20):
            for node in nodes:
                self.assertEqual(self.call(node, "/look/x", f"first{number}").status, 200)
        ran = len(leaving.ran)
        self.assertGreater(ran, 0)
        leaving.is_leaving = False
        self.store.put("keyed.servers", leaving.id, earlier)
        self.store.put("keyed.servers", leaving.id, entry)
        gevent.sleep(KNOWN_S)
        for number in range(20):
            for node in nodes:
                self.assertEqual(self.call(node, "/look/x", f"r{number}").status, 200)
        self.assertEqual(len(leaving.ran), ran)
