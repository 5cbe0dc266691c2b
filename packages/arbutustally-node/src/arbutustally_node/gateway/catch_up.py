"""Fetches snapshots from peers when the store is unavailable, and provides them to peers."""

from random import Random
from typing import Any

import gevent

from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.endpoint_reader import EndpointReader
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.snapshot import Snapshot
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.supervision import supervise
from arbutustally_node.gateway.web import fetch_snapshot

#: Interval at which a node that has no store or older data than its peers asks one of them,
#: seconds.
SNAPSHOT_INTERVAL_S = 0.25


class CatchUp:
    """Fetches snapshots from peers while this node has older data than they or no store."""

    def __init__(
        self,
        view: FleetView,
        endpoints: EndpointReader,
        gossip: Gossip,
        watch: StoreWatch,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        self._view = view
        self._endpoints = endpoints
        self._gossip = gossip
        self._watch = watch
        self._log = log
        self._rng = rng
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts to fetch snapshots as needed."""
        self._greenlet = supervise(self._log, "snapshots", self._run)

    def stop(self) -> None:
        """Stops fetching snapshots."""
        self._greenlet.kill()

    def snapshot(self) -> Snapshot:
        """Returns the records that this node has, for a peer."""
        view = self._view
        return Snapshot(self._endpoints.position, view.operator_records, view.endpoint_records)

    def _run(self) -> None:
        while True:
            gevent.sleep(SNAPSHOT_INTERVAL_S)
            peer = self._peer_to_ask()
            if peer is None:
                continue
            snapshot = fetch_snapshot(peer.control)
            self._log.line("snapshot_fetched", peer=peer.node, found=snapshot is not None)
            if snapshot is not None:
                self._apply(snapshot, peer.node)

    def _apply(self, snapshot: Snapshot, peer: str) -> None:
        for decoded in self._view.decode_operators(snapshot.operator):
            self._view.apply_decoded_operator(decoded, peer)
        if snapshot.position is not None:
            self._endpoints.apply_snapshot(snapshot.endpoints, snapshot.position, peer)

    def _peer_to_ask(self) -> Member | None:
        configuration = self._view.configuration
        version = configuration.version if configuration else 0
        ahead = [peer for peer in self._gossip.present if peer.config > version]
        relay = self._gossip.relay
        if relay is not None and self._view.is_complete:
            # Requests of all nodes at once would overload the first one that has a configuration.
            ahead = [relay] if relay.config > version else []
        if ahead:
            return max(ahead, key=lambda peer: peer.config)
        if self._view.is_complete and (self._watch.has_store or not self._endpoints.has_missed):
            return None
        ready = [peer for peer in self._gossip.present if peer.is_ready]
        return self._rng.choice(ready) if ready else None
