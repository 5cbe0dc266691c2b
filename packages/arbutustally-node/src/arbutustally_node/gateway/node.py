"""A gateway node: builds its services, runs them, and stops without cutting a request."""

import secrets
from random import Random

import gevent
from gevent.event import Event

from arbutustally.clock import boottime, monotonic
from arbutustally.gateway.attempts import RepeatLedger
from arbutustally.gateway.choice import PLACEMENT_OPTIONS
from arbutustally.gateway.configuration import CallerLimits, Configuration
from arbutustally.gateway.endpoints import EndpointState
from arbutustally.gateway.engine_speeds import EngineSpeeds
from arbutustally.gateway.holdings import (
    USUAL_TERMS,
    Holdings,
    PlaceTerms,
)
from arbutustally.gateway.place_terms import terms_of
from arbutustally.gateway.quota import QuotaLedger
from arbutustally.gateway.relaying import Member
from arbutustally.gateway.shared_reading import SharedReading
from arbutustally.placement import Placement
from arbutustally_node.collector import tune_collector
from arbutustally_node.gateway.announcer import Announcer
from arbutustally_node.gateway.cache_follower import CacheFollower
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.directory import EntryNode, addresses_for
from arbutustally_node.gateway.endpoint_check import EndpointChecker
from arbutustally_node.gateway.endpoint_notices import EndpointNotices
from arbutustally_node.gateway.endpoint_reader import EndpointReader
from arbutustally_node.gateway.exchange import Exchange
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.follower import Follower
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.listener import CallerListener
from arbutustally_node.gateway.order_lease import OrderLease
from arbutustally_node.gateway.peer_news import PeerNews, ToldServices
from arbutustally_node.gateway.ports import GatewayOptions, Platform
from arbutustally_node.gateway.request_services import RequestServices
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.supervision import supervise
from arbutustally_node.gateway.transport import Transport
from arbutustally_node.gateway.web import (
    Snapshot,
    directory_app,
    fetch_snapshot,
    metrics_app,
    ready_app,
    serve,
    snapshot_app,
)
from arbutustally_node.gateway.weights_service import WeightsService
from arbutustally_node.kernel import Kernel
from arbutustally_node.pool import PoolService

CONNECT_TIMEOUT_S = 0.2
#: Longest silence of an endpoint inside an answer, seconds; callers leave a stream at two.
SILENCE_S = 1.6
#: Time for which callers may keep an answer with addresses, seconds. Some keep it three times as
#: long, and a node that stops serves until then.
DIRECTORY_TTL_S = 1.0
TTL_KEPT = 3
#: Time before the end of the grace period at which a stopping node ends, seconds.
GRACE_MARGIN_S = 0.6
STOP_POLL_S = 0.05
#: Interval at which a node without the store, or behind its peers, asks one of them, seconds.
SNAPSHOT_INTERVAL_S = 0.25


class GatewayNode:
    """One node with all its services.

    :param options: settings of the node.
    :param platform: adapter of the platform.
    """

    def __init__(self, options: GatewayOptions, platform: Platform) -> None:
        self._options = options
        self._platform = platform
        self._rng = Random()
        self._incarnation = secrets.token_hex(6)
        self._kernel = Kernel()
        self._stopping = Event()
        self._is_draining = False
        self._build()

    @classmethod
    def from_config(cls, options: GatewayOptions, platform: Platform) -> "GatewayNode":
        """Builds a node that has not started."""
        return cls(options, platform)

    def request_stop(self) -> None:
        """Asks the node to drain and end."""
        self._stopping.set()

    def reload(self, options: GatewayOptions) -> None:
        """Takes changed settings that can change while the node runs: the seeds."""
        for seed in options.seeds:
            self._gossip.introduce(seed.rpartition(":")[0], is_lasting=True)
        self._log.line("settings_reloaded", seeds=len(options.seeds))

    def reload_failed(self, reason: str) -> None:
        """Notes that changed settings were refused; the old ones stay in force."""
        self._log.line("settings_refused", reason=reason)

    def run(self) -> None:
        """Serves until a stop is requested, then drains."""
        self.start()
        self._stopping.wait()
        self.drain()
        self.stop()

    def start(self) -> None:
        """Starts all services."""
        self._kernel.start()
        for seed in self._options.seeds:
            self._gossip.introduce(seed.rpartition(":")[0], is_lasting=True)
        self._web = [
            serve(self._options.ready_listen, ready_app(self._options.ready_path, self.is_ready)),
            serve(
                self._options.directory_listen,
                directory_app(self._options.directory_path, self._addresses),
            ),
            serve(self._options.control_listen, snapshot_app(self._snapshot)),
            serve(self._options.metrics_listen, metrics_app(self._metrics_text)),
        ]
        self._catch_up_greenlet = supervise(self._log, "snapshots", self._catch_up)
        tune_collector()
        self._log.line("node_started", zone=self._options.zone, callers=self._options.caller_listen)

    def is_ready(self) -> bool:
        """Returns whether callers should use this node."""
        return self._is_complete() and not self._is_draining

    def _is_complete(self) -> bool:
        """Returns whether this node knows enough to serve."""
        return self._view.is_complete and self._gossip.is_settled

    def drain(self) -> None:
        """Serves callers that still know this node, then waits for running requests."""
        self._is_draining = True
        self._log.line("node_draining", running=self._listener.running)
        self._weights.stop()
        self._gossip.send_now()
        latest = boottime() + self._options.bounds.grace_s - GRACE_MARGIN_S
        known_until = boottime() + self._ttl_s * TTL_KEPT
        self._listener.drain()
        while boottime() < latest:
            if boottime() >= known_until:
                # A stream that began now might not end before the grace period does.
                self._exchange.refuse_new()
                self._listener.close_idle()
                if not self._listener.running:
                    return
            gevent.sleep(STOP_POLL_S)

    def stop(self) -> None:
        """Stops all services."""
        self._log.line("node_stopped", running=self._listener.running)
        self._catch_up_greenlet.kill()
        for server in self._web:
            server.stop(timeout=0)
        self._kernel.stop()

    @property
    def _ttl_s(self) -> float:
        return min(DIRECTORY_TTL_S, self._options.bounds.directory_ttl_s)

    def _build(self) -> None:
        options, platform = self._options, self._platform
        bounds = options.bounds
        self._log = DecisionLog({"node": options.node, "inc": self._incarnation[:6]})
        self._instruments = Instruments()
        self._view = FleetView(platform.documents, monotonic, self._log)
        self._quota = QuotaLedger.from_config(boottime, bounds.quota)
        self._repeats = RepeatLedger.from_config(monotonic, bounds.repeats)
        self._speeds = EngineSpeeds.from_config(monotonic)
        self._placement = Placement.from_config(
            monotonic, self._rng, PLACEMENT_OPTIONS, self._speeds
        )
        self._holdings = Holdings.from_config(monotonic, self._place_terms)
        self._checker = EndpointChecker(self._view.book, self._log)
        self._pool = PoolService(CONNECT_TIMEOUT_S, SILENCE_S)
        self._gossip = Gossip(
            self._me(),
            options.peer_port,
            boottime,
            self._log,
            lambda has_placed: self._peer_news.describe(has_placed),
            lambda state, use: self._peer_news.take(state, use),
            lambda gone: self._peer_news.fleet_changed(gone),
        )
        self._notices = EndpointNotices(
            self._view.book, self._log, self._rng, self._gossip.send_now
        )
        platform.engines.watch_notices(self._notices.take_from)
        platform.cache_events.watch_notices(self._notices.take_from)
        self._request_services = RequestServices(
            self._view,
            Transport(self._pool, platform.codec),
            self._placement,
            self._holdings,
            self._quota,
            self._repeats,
            self._log,
            self._instruments,
            monotonic,
            self._rng,
            options.zone,
            bounds.weights_s,
            lambda state: self._weights.look(state),
            self._notices.take,
            self._unreachable,
            lambda: len(self._gossip.present) + 1,
            self._is_complete,
        )
        self._exchange = Exchange(self._request_services)
        self._watch = StoreWatch(self._view.book, self._log, monotonic, bounds.store_return_s)
        self._endpoints = EndpointReader(
            platform.endpoint_topic,
            self._view,
            SharedReading.from_config(boottime, bounds.leaving_s),
            self._watch,
            self._log,
            monotonic,
            self._gossip,
            bounds.leaving_s,
        )
        self._follower = Follower(
            platform.operator_topic,
            self._view,
            self._watch,
            self._log,
            monotonic,
            lambda: self._endpoints.is_reader,
            self._gossip.send_now,
        )
        self._announcer = Announcer(
            platform.node_topic,
            self._gossip,
            self._watch,
            self._log,
            boottime,
            options.node,
            options.ip.encode(),
        )
        self._caches = CacheFollower(
            platform.cache_events, self._view, self._holdings, self._gossip, self._log
        )
        self._weights = WeightsService(
            self._view,
            self._gossip,
            OrderLease(
                f"{options.node}~{self._incarnation}",
                platform.lease_topic,
                self._log,
                boottime,
                bounds.lease_s,
            ),
            platform.engines,
            self._log,
            monotonic,
            bounds.weights_s,
            lambda state: state.total_prompt_tokens / self._placement.prefill_speed(state.id),
            self._unreachable,
        )
        self._peer_news = PeerNews(
            ToldServices(
                self._view,
                self._quota,
                self._repeats,
                self._speeds,
                self._holdings,
                self._checker,
                self._notices,
                self._endpoints,
                self._follower,
                self._weights,
                self._gossip,
                self._request_services.placed,
            ),
            self._me,
            self._incarnation,
            monotonic,
        )
        self._listener = CallerListener(
            options.caller_listen,
            platform.codec,
            self._exchange.serve,
            self._caller_limits,
            options.memory_mb,
        )
        self._view.watch_configuration(self._configured)
        platform.store_era.watch(self._follower.era_changed)
        for name, service in (
            ("log", self._log),
            ("gossip", self._gossip),
            ("endpoints", self._endpoints),
            ("follower", self._follower),
            ("announcer", self._announcer),
            ("pool", self._pool),
            ("caches", self._caches),
            ("weights", self._weights),
            ("listener", self._listener),
        ):
            self._kernel.register(name, service)

    def _caller_limits(self) -> CallerLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration else CallerLimits()

    def _configured(self, configuration: Configuration) -> None:
        for service in configuration.services.values():
            if service.engine and service.engine.transfer_tokens_per_s:
                self._placement.assume_import_speed(service.engine.transfer_tokens_per_s)
        self._quota.declare(
            {name: (entry.rate, entry.burst) for name, entry in configuration.accounts.items()}
        )

    def _place_terms(self, place: str) -> PlaceTerms:
        if self._caches.follows(place):
            return USUAL_TERMS
        return terms_of(place, self._view.configuration, self._view.book)

    def _unreachable(self, state: EndpointState) -> None:
        if not state.is_down:
            self._log.line("endpoint_unreachable", endpoint=state.id, found_by="request")
        self._view.book.unreachable(state)
        self._checker.check(state)

    def _metrics_text(self) -> str:
        return self._instruments.text()

    def _addresses(self, zone: str) -> bytes | None:
        nodes = [
            EntryNode(peer.callers, peer.zone) for peer in self._gossip.present if peer.is_ready
        ]
        if self.is_ready():
            nodes.append(EntryNode(self._options.caller_listen, self._options.zone))
        if not nodes:
            return None
        addresses = addresses_for(zone, nodes, self._rng)
        return self._platform.directory_body(addresses, self._ttl_s)

    def _me(self) -> Member:
        options, configuration = self._options, self._view.configuration
        return Member(
            options.node,
            options.ip,
            options.zone,
            options.caller_listen,
            options.control_listen,
            self.is_ready(),
            configuration.version if configuration else 0,
            options.capacity,
        )

    def _catch_up(self) -> None:
        """Asks a peer for what the store does not give."""
        while True:
            gevent.sleep(SNAPSHOT_INTERVAL_S)
            peer = self._peer_ahead()
            if peer is None:
                continue
            snapshot = fetch_snapshot(peer.control)
            self._log.line("snapshot_fetched", peer=peer.node, found=snapshot is not None)
            if snapshot is not None:
                self._take_snapshot(snapshot, peer.node)

    def _snapshot(self) -> Snapshot:
        view = self._view
        return Snapshot(self._endpoints.position, view.operator_records, view.endpoint_records)

    def _take_snapshot(self, snapshot: Snapshot, peer: str) -> None:
        for record in snapshot.operator:
            self._view.take_operator(record, peer)
        if snapshot.position is not None:
            self._endpoints.take_snapshot(snapshot.endpoints, snapshot.position, peer)

    def _peer_ahead(self) -> Member | None:
        configuration = self._view.configuration
        version = configuration.version if configuration else 0
        ahead = [peer for peer in self._gossip.present if peer.config > version]
        relay = self._gossip.relay
        if relay is not None and self._view.is_complete:
            # All nodes at once would be too much for the first one that has a configuration.
            ahead = [relay] if relay.config > version else []
        if ahead:
            return max(ahead, key=lambda peer: peer.config)
        if self._view.is_complete and (self._watch.has_store or not self._endpoints.has_missed):
            return None
        ready = [peer for peer in self._gossip.present if peer.is_ready]
        return self._rng.choice(ready) if ready else None
