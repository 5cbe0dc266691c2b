"""Removals of endpoints' entries: by the endpoint itself, or by expiry in an outage of the store."""

import socket
import time
import unittest
from random import Random
from unittest import mock

import gevent

from tests.gateway_fleet import GatewayCase, settings
from tests.platform_fakes import HEARTBEATS_TOPIC, FakeWorker, StorePath
from tests.ports import free_port
from tests.return_world import LEAVING_S, Node, World

#: Time within which requests may still reach a removed worker (``drainMs``), and time after it in
#: which the test sends requests, seconds.
DRAIN_S = 2.0
WATCHED_S = 0.7
HEARTBEAT_S = 0.3


class RemovedWhileServedTest(GatewayCase):
    """Guards against requests to a removed worker when calls of one node to the store fail."""

    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch("arbutustally_node.gateway.operator_reader.WAIT_S", 0.5)
        patch.start()
        self.addCleanup(patch.stop)
        heartbeats = gevent.spawn(self.write_heartbeats)
        self.addCleanup(heartbeats.kill)
        port = free_port(kind=socket.SOCK_DGRAM)
        self.paths = [StorePath(self.store) for _ in range(2)]
        self.nodes = []
        for number, path in enumerate(self.paths, 1):
            self.addCleanup(path.stop)
            ip = f"127.0.0.{number}"
            fields = settings(path.address, f"node-{number}", ip, internalPorts=[port, port])
            self.nodes.append(self.start_node({**fields, "heartbeatMs": HEARTBEAT_S * 1000}))
        for node in self.nodes:
            self.wait_ready(node)
            self.eventually(lambda node=node: len(node._gossip.present) == 1)

    def write_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            for worker in (*self.engines, *self.desks):
                if worker.id in self.store.newest("keyed.servers"):
                    self.store.put("keyed.servers", worker.id, worker.entry())

    def remove(self, worker: FakeWorker) -> float:
        self.store.put("keyed.servers", worker.id, None)
        return time.monotonic()

    def ran_late(self, worker: FakeWorker, removed_at: float) -> int:
        """Returns how many requests the worker ran that began after ``DRAIN_S``."""
        gevent.sleep(removed_at + DRAIN_S - time.monotonic())
        before, number = len(worker.ran), 0
        while time.monotonic() < removed_at + DRAIN_S + WATCHED_S:
            for node in self.nodes:
                number += 1
                self.assertEqual(self.call(node, "/look/x", f"late{number}").status, 200)
            gevent.sleep(0.02)
        return len(worker.ran) - before

    def test_worker_removed_after_one_path_failed_gets_nothing_new(self) -> None:
        self.paths[0].status = 503
        self.eventually(lambda: self.paths[0].refused[HEARTBEATS_TOPIC])
        removed_at = self.remove(self.desks[0])
        self.paths[0].status = 200
        self.assertEqual(self.ran_late(self.desks[0], removed_at), 0)

    def test_worker_removed_after_other_topics_failed_gets_nothing_new(self) -> None:
        self.store.refused_topics = {"keyed.op"}
        self.eventually(lambda: self.store.refusals)
        removed_at = self.remove(self.desks[0])
        self.store.refused_topics = set()
        self.assertEqual(self.ran_late(self.desks[0], removed_at), 0)


class RemovalWorldTest(unittest.TestCase):
    """Guards against a removal that counts as an expiry, and the reverse, on a virtual clock."""

    def setUp(self) -> None:
        self.world = World(Random(1))
        self.world.run(2.0)

    def withdraw(self, number: int) -> str:
        """Removes the entry of a worker that keeps serving; returns its id."""
        worker = self.world.workers[number]
        worker.is_alive = False
        self.world.store.put("servers", worker.id, None)
        return worker.id

    def users(self, endpoint_id: str) -> list[int]:
        return [node.index for node in self.world.awake() if endpoint_id in node.usable]

    def reader(self) -> Node:
        return next(node for node in self.world.nodes if node.endpoints.is_reader)

    def test_removal_after_a_failed_call_of_one_reader(self) -> None:
        reader = self.reader()
        reader.is_cut = True
        self.world.run(0.4)
        reader.is_cut = False
        self.world.run(0.2)
        removed = self.withdraw(0)
        self.world.run(LEAVING_S)
        self.assertEqual(self.users(removed), [])

    def test_removal_after_a_reader_woke_up(self) -> None:
        reader = self.reader()
        reader.is_frozen = True
        self.world.run(5.0)
        reader.is_frozen = False
        removed = self.withdraw(0)
        self.world.run(LEAVING_S)
        self.assertEqual(self.users(removed), [])

    def test_removal_after_a_node_was_cut_off_from_all(self) -> None:
        lone = self.reader()
        lone.is_cut = lone.is_isolated = True
        self.world.run(5.0)
        lone.is_cut = lone.is_isolated = False
        removed = self.withdraw(0)
        self.world.run(LEAVING_S)
        self.assertEqual(self.users(removed), [])

    def test_entries_that_expired_in_an_outage_are_kept_for_a_while(self) -> None:
        self.expire_in_outage()
        self.world.run(0.8, has_heartbeats=False)
        self.assertEqual(self.users("e0"), [0, 1, 2, 3])
        self.world.run(3.0)
        self.assertEqual(self.users("e0"), [])
        self.assertEqual(self.users("e1"), [0, 1, 2, 3])

    def test_entries_that_expired_stay_kept_through_a_further_outage(self) -> None:
        self.expire_in_outage()
        self.world.run(1.0, has_heartbeats=False)
        for node in self.world.nodes:
            node.is_cut = True
        self.world.run(4.0, has_heartbeats=False)
        self.assertEqual(self.users("e1"), [0, 1, 2, 3])

    def expire_in_outage(self) -> None:
        """Cuts all nodes and workers off for a while in which the entries of all workers expire."""
        for node in self.world.nodes:
            node.is_cut = True
        self.world.run(4.0, has_heartbeats=False)
        for worker in self.world.workers:
            self.world.store.put("servers", worker.id, None)
        self.world.workers[0].is_alive = False
        for node in self.world.nodes:
            node.is_cut = False
