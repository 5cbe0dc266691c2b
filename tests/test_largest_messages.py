"""Messages of the largest sizes that are read do not block the event loop.

Guards against one answer of the store, one snapshot of a peer or a burst of datagrams that keeps a
node from all its other work until it is decoded and applied.
"""

import socket
import struct
import unittest
from collections.abc import Callable, Iterator
from types import SimpleNamespace

import gevent
import orjson
from gevent import monkey

from arbutustally.clock import boottime, monotonic
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.configuration_age import ConfigurationAge
from arbutustally.gateway.contact import Contact
from arbutustally.gateway.list_outage import ListOutage
from arbutustally.gateway.relaying import Member
from arbutustally.gateway.shared_reading import Position, SharedReading
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.endpoint_reader import EndpointReader
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.peer_state import Covers, PeerState
from arbutustally_node.gateway.ports import Batch, Record
from arbutustally_node.gateway.snapshot import Snapshot
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.web import fetch_snapshot
from arbutustally_platform.documents import MAX_ENTRY_BYTES, PlatformDocuments
from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_responses import MAX_READ_KB, MAX_RESPONSE_BYTES
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.ports import free_port
from tests.test_endless import MAX_HELD_UP_S, OK, EndlessServer, longest_delay_during

#: Largest fleet that the product is made for.
ENDPOINTS = 2600
#: Time for which datagrams are sent as fast as possible, seconds.
FLOOD_S = 1.5


def entry(number: int, size: int) -> bytes:
    """Returns an endpoint's entry of about ``size`` bytes."""
    model = {"name": "m" * 20, "version": 1}
    fields = {
        "service": "llm",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
        "zone": "z1",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [model] * max(1, (size - 200) // 42),
        "sequence": 1,
        "born": 1,
    }
    return orjson.dumps(fields)


class LargestMessagesTest(unittest.TestCase):
    def assert_turns(self, work: Callable[[], object]) -> None:
        self.assertLess(longest_delay_during(work), MAX_HELD_UP_S)

    def server(self, head: bytes, body: bytes) -> EndlessServer:
        def response() -> Iterator[bytes]:
            yield OK + head + b"Content-Length: %d\r\n\r\n" % len(body) + body

        server = EndlessServer(response)
        self.addCleanup(server.stop)
        return server

    def test_read_of_short_records(self) -> None:
        """Guards against a read of legal size in very many records."""
        count = (MAX_READ_KB << 10) // 6
        body = struct.pack(">QQ", count, 0) + b"\0\0\0\2\1a" * count
        topic = StoreKeyedTopic(StoreClient(self.server(b"", body).address), "keyed.op")
        batches = []
        self.assert_turns(lambda: batches.append(topic.since(0, 0.0)))
        self.assertEqual(batches[0].records[0].key, "a")

    def test_page_of_many_elements(self) -> None:
        """Guards against a page of the largest size whose elements are no rows."""
        body = b'{"hasMore":false,"end":1,"items":[0'
        body += b",0" * ((MAX_RESPONSE_BYTES - len(body) - 8) // 2) + b"]}"
        topic = StoreKeyedTopic(StoreClient(self.server(b"", body).address), "keyed.op")

        def read() -> None:
            with self.assertRaises(StoreUnavailableError):
                topic.newest()

        self.assert_turns(read)

    def test_whole_list_of_endpoints(self) -> None:
        """Guards against a list of the largest fleet that is decoded and applied in one piece."""
        records = tuple(
            Record(f"i-{number:x}", entry(number, MAX_ENTRY_BYTES // 2), Position(1, number))
            for number in range(ENDPOINTS)
        )
        reader, view = self.reader(Batch(records, ENDPOINTS, 1))
        self.assert_turns(reader.read_once)
        self.assertEqual(len(view.book.all()), ENDPOINTS)

    def reader(self, batch: Batch) -> tuple[EndpointReader, FleetView]:
        """Returns a reader whose store has one whole list."""
        log = SimpleNamespace(line=lambda *_arguments, **_fields: None)
        view = FleetView(PlatformDocuments(), monotonic, log)
        reader = EndpointReader(
            SimpleNamespace(newest=lambda: batch),
            view,
            SharedReading.from_config(boottime, 2.0),
            StoreWatch(log, monotonic, Contact(boottime, 2.0), ConfigurationAge(boottime)),
            log,
            monotonic,
            SimpleNamespace(send_now=lambda: None, rank=lambda _duty: 0, is_settled=True),
            2.0,
            ListOutage(1.2),
            2.5,
        )
        return reader, view

    def test_snapshot_of_a_peer(self) -> None:
        """Guards against a snapshot of very many records."""
        records = tuple(Record(f"{number:x}", b"v" * 40) for number in range(60_000))
        body = Snapshot(Position(1, 1), (), records).encode()
        address = self.server(b"", body).address
        found = []
        self.assert_turns(lambda: found.append(fetch_snapshot(address)))
        self.assertEqual(found[0].endpoints, records)

    def test_burst_of_datagrams(self) -> None:
        """Guards against waiting datagrams that are all read before anything else is done."""
        port = free_port(kind=socket.SOCK_DGRAM)
        own = Member("a", "127.0.0.1", "z1", "127.0.0.1:1", "127.0.0.1:2", True, 1, 0)
        received = []
        gossip = Gossip(
            own,
            port,
            boottime,
            DecisionLog({}),
            lambda _has_placements: PeerState(own, "1", 0, Covers.NODE),
            lambda state, _use: received.append(state.number),
            lambda _gone: None,
            Contact(boottime, 2.0),
        )
        gossip.start()
        self.addCleanup(gossip.stop)
        datagrams = self.wide_datagrams()
        pool = gevent.get_hub().threadpool
        self.assert_turns(lambda: pool.apply(_send_all, (datagrams, port)))
        self.assertTrue(received)

    def wide_datagrams(self) -> list[bytes]:
        """Returns datagrams with very many elements."""
        peer = Member("b", "127.0.0.2", "z1", "127.0.0.2:1", "127.0.0.2:2", True, 1, 0)
        wide = tuple(("", "", (), False) for _ in range(10_000))
        return [
            PeerState(peer, "1", number, Covers.NODE, placed=wide).encode()
            for number in range(1, 100)
        ]


def _send_all(datagrams: list[bytes], port: int) -> None:
    sender = monkey.get_original("socket", "socket")(socket.AF_INET, socket.SOCK_DGRAM)
    until = monotonic() + FLOOD_S
    while monotonic() < until:
        for data in datagrams:
            sender.sendto(data, ("127.0.0.1", port))
    sender.close()
