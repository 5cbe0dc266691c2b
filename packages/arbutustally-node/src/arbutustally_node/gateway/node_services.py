"""Builds the services of a node and connects them.

The exchange with peers reads from all services and updates them all, so some services are referred
to in functions that run only after all are built.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from arbutustally.clock import boottime, monotonic
from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.configuration_age import ConfigurationAge
from arbutustally.gateway.contact import CATCH_UP_S, Contact
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.fleet_size import FleetSize
from arbutustally.gateway.holdings import USUAL_TERMS, Holdings, PlaceTerms
from arbutustally.gateway.list_outage import ListOutage
from arbutustally.gateway.memory_account import MemoryAccount
from arbutustally.gateway.place_terms import terms_of
from arbutustally.gateway.relaying import RETRIAL_LEVEL, Member
from arbutustally.gateway.shared_reading import SharedReading
from arbutustally.gateway.wait_calibration import WaitCalibration
from arbutustally.gateway.zone_spill import ZoneSpill
from arbutustally_node.gateway.announcer import Announcer
from arbutustally_node.gateway.begin_watch import BeginWatch
from arbutustally_node.gateway.cache_follower import CacheFollower
from arbutustally_node.gateway.catch_up import CatchUp
from arbutustally_node.gateway.crash_watch import CrashWatch
from arbutustally_node.gateway.endpoint_check import EndpointChecker
from arbutustally_node.gateway.endpoint_notices import EndpointNotices
from arbutustally_node.gateway.endpoint_reader import READING_DUTY, EndpointReader
from arbutustally_node.gateway.fleet_size_recorder import FleetSizeRecorder
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.isolation_recorder import IsolationRecorder
from arbutustally_node.gateway.listener import BACKLOG, CallerListener, connection_limit
from arbutustally_node.gateway.loop_lag import LoopLagMonitor
from arbutustally_node.gateway.memory_monitor import MemoryMonitor
from arbutustally_node.gateway.node_state import NodeState
from arbutustally_node.gateway.node_status import NodeStatus
from arbutustally_node.gateway.operator_reader import OperatorReader
from arbutustally_node.gateway.order_lease import OrderLease
from arbutustally_node.gateway.part_quarantine import PartQuarantine
from arbutustally_node.gateway.peer_sync import PeerSync, SyncedServices
from arbutustally_node.gateway.ports import GatewayOptions, Platform
from arbutustally_node.gateway.receive_queues import QueueSizes
from arbutustally_node.gateway.request_handler import RequestHandler
from arbutustally_node.gateway.request_services import RequestServices
from arbutustally_node.gateway.rollout_record import encode_progress
from arbutustally_node.gateway.rollout_service import RolloutService
from arbutustally_node.gateway.store_returns import StoreReturnMonitor
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.transport import Transport
from arbutustally_node.gateway.weights_service import WeightsService
from arbutustally_node.kernel import Kernel, Service
from arbutustally_node.pool import PoolService

CONNECT_TIMEOUT_S = 0.2
#: Share of the time within which a configuration must be in force for which a node without contact
#: counts on the one that it has. What it heard last may have been held up on its way.
SURE_SHARE = 0.85
#: Longest pause of an endpoint within an answer, seconds. It has no limit of its own: the remaining
#: time of the request and the hedge bound the wait.
SILENCE_S = math.inf


@dataclass(frozen=True)
class StoreReaders:
    """Services that read the platform's store."""

    watch: StoreWatch
    endpoints: EndpointReader
    operator_reader: OperatorReader
    announcer: Announcer
    isolation: IsolationRecorder


@dataclass(frozen=True)
class NodeServices:
    """Services of one node.

    :ivar kernel: starts and stops the services that run in the background.
    """

    kernel: Kernel
    state: NodeState
    status: NodeStatus
    gossip: Gossip
    store: StoreReaders
    catch_up: CatchUp
    weights: WeightsService
    exchange: RequestHandler
    listener: CallerListener
    requests: RequestServices


def build_services(options: GatewayOptions, platform: Platform, incarnation: str) -> NodeServices:
    """Builds the services of a node without starting them."""
    state = NodeState.from_config(options, platform.documents, incarnation)
    log, view = state.log, state.view
    sure_s = options.bounds.configuration_s * SURE_SHARE
    age = ConfigurationAge(boottime, lambda: loop_lag.earliest_arrival())
    contact = Contact(
        boottime,
        sure_s,
        lambda: _are_level(gossip.present, view.configuration),
        lambda: age.age_s <= sure_s,
    )
    contact.watch_gaps(lambda: age.forget(CATCH_UP_S))
    status = NodeStatus(options, view, lambda: gossip.is_settled)
    gossip = Gossip(
        status.member,
        options.peer_port,
        boottime,
        log,
        lambda has_placements: sync.describe(has_placements),
        lambda received, use: sync.take(received, use),
        lambda gone: sync.fleet_changed(gone),
        contact,
    )
    size = FleetSize(boottime, lambda: gossip.known, lambda: gossip.is_discovering)
    checker = EndpointChecker(view.book, log, monotonic)
    notices = _build_notices(platform, state, gossip)
    holdings = Holdings.from_config(monotonic, lambda place: _place_terms(place, caches, state))
    caches = CacheFollower(platform.cache_events, view, holdings, size, log)
    pool = PoolService(CONNECT_TIMEOUT_S, SILENCE_S, id_header=platform.codec.id_header)
    quarantine = PartQuarantine(log, state.instruments, boottime, monotonic, gossip.rank)
    begins = BeginWatch(lambda model, version: requests.weights_until(model, version), monotonic)
    view.watch_weights(begins.weights_changed)
    requests = RequestServices(
        view,
        Transport(pool, platform.codec),
        state.placement,
        holdings,
        state.quota,
        state.repeats,
        log,
        state.instruments,
        monotonic,
        state.rng,
        options.zone,
        options.bounds.weights_s,
        lambda endpoint: weights.poll_weights(endpoint),
        notices.take,
        checker.unreachable,
        checker.check_silent,
        lambda: status.entry_node_count(gossip.present, gossip.is_direct),
        lambda: status.is_complete,
        state.rollouts,
        lambda: store.endpoints.list_age_s,
        CrashWatch(log, state.instruments, monotonic, quarantine.crashed),
        quarantine,
        ZoneSpill(options.zone_costs, options.zone, monotonic, state.rng),
        WaitCalibration.from_config(monotonic),
        contact,
        begins,
        has_relayed_loads=lambda: not gossip.is_direct,
    )
    exchange = RequestHandler(requests)
    loop_lag = LoopLagMonitor(log, state.instruments, monotonic)
    store = _build_store_readers(options, platform, state, gossip, contact, age, loop_lag)
    weights = _build_weights(options, platform, state, gossip, checker.unreachable)
    synced = SyncedServices(
        view,
        state.quota,
        state.repeats,
        state.speeds,
        holdings,
        checker,
        notices,
        store.endpoints,
        store.operator_reader,
        weights,
        gossip,
        size,
        requests.placed,
        state.rollouts,
        quarantine,
    )
    sync = PeerSync(synced, lambda: status.member, incarnation, monotonic)
    recorder = FleetSizeRecorder(
        platform.fleet_size_topic,
        size,
        log,
        monotonic,
        lambda: gossip.is_settled and _is_decider(store.endpoints, gossip),
        sync.size_changed,
    )
    platform.store_era.watch(recorder.era_changed)
    rollouts = _build_rollouts(platform, state, gossip, store)
    memory = MemoryAccount.from_config(options.memory_mb)
    listener = CallerListener(
        options.caller_listen,
        platform.codec,
        exchange.serve,
        lambda: state.caller_limits,
        memory,
        QueueSizes.from_config(options.memory_mb, BACKLOG, connection_limit()),
        lambda: state.instruments.count("descriptors_refused"),
    )
    kernel = _register(
        ("log", log),
        ("loop_lag", loop_lag),
        ("gossip", gossip),
        ("fleet_size", recorder),
        ("isolation", store.isolation),
        ("endpoints", store.endpoints),
        ("follower", store.operator_reader),
        ("announcer", store.announcer),
        ("pool", pool),
        ("caches", caches),
        ("weights", weights),
        ("rollouts", rollouts),
        ("memory", MemoryMonitor(memory, log, state.instruments)),
        ("listener", listener),
    )
    catch_up = CatchUp(view, store.endpoints, gossip, store.watch, log, state.rng)
    return NodeServices(
        kernel, state, status, gossip, store, catch_up, weights, exchange, listener, requests
    )


def _build_notices(platform: Platform, state: NodeState, gossip: Gossip) -> EndpointNotices:
    notices = EndpointNotices(state.view.book, state.log, state.rng, gossip.send_now)
    platform.engines.watch_notices(notices.take_from_address)
    platform.cache_events.watch_notices(notices.take_from_address)
    return notices


def _build_store_readers(
    options: GatewayOptions,
    platform: Platform,
    state: NodeState,
    gossip: Gossip,
    contact: Contact,
    age: ConfigurationAge,
    loop_lag: LoopLagMonitor,
) -> StoreReaders:
    log, view, bounds = state.log, state.view, options.bounds
    watch = StoreWatch(log, monotonic, contact, age)
    StoreReturnMonitor.from_config(platform.store_era, log, state.instruments)
    endpoints = EndpointReader(
        platform.endpoint_topic,
        view,
        SharedReading.from_config(boottime, bounds.known_s),
        watch,
        log,
        monotonic,
        gossip,
        bounds.known_s,
        ListOutage(bounds.heartbeat_s),
        bounds.store_return_s,
    )

    def earliest_arrival() -> float:
        # Peers that went on meanwhile know better, and would adopt an earlier date.
        return monotonic() if gossip.known else loop_lag.earliest_arrival()

    operator_reader = OperatorReader(
        platform.operator_topic,
        view,
        watch,
        log,
        monotonic,
        lambda: endpoints.is_reader,
        gossip.send_now,
        earliest_arrival,
    )
    announcer = Announcer(
        platform.node_topic, gossip, watch, log, boottime, options.node, options.ip.encode()
    )
    isolation = IsolationRecorder(
        platform.isolated_topic, view.isolation, log, lambda: _is_decider(endpoints, gossip)
    )
    contact.watch_gaps(operator_reader.contact_resumed)
    watch.watch_unfollowed(operator_reader.store_answered)
    for service in (operator_reader, announcer, isolation):
        platform.store_era.watch(service.era_changed)
    return StoreReaders(watch, endpoints, operator_reader, announcer, isolation)


def _are_level(peers: list[Member], configuration: Configuration | None) -> bool:
    """Returns whether there are peers, and none has a newer configuration than this node."""
    version = configuration.version if configuration else 0
    return bool(peers) and all(peer.config <= version for peer in peers)


def _build_weights(
    options: GatewayOptions,
    platform: Platform,
    state: NodeState,
    gossip: Gossip,
    on_unreachable: Callable[[EndpointState], None],
) -> WeightsService:
    holder = f"{options.node}~{state.incarnation}"
    lease = OrderLease(holder, platform.lease_topic, state.log, boottime, options.bounds.lease_s)
    platform.store_era.watch(lease.record_era)

    def wait_s(endpoint: EndpointState) -> float:
        return endpoint.total_prompt_tokens / state.placement.prefill_speed(endpoint.id)

    return WeightsService(
        state.view,
        gossip,
        lease,
        platform.engines,
        state.log,
        monotonic,
        options.bounds.weights_s,
        wait_s,
        on_unreachable,
        state.repeats,
    )


def _build_rollouts(
    platform: Platform, state: NodeState, gossip: Gossip, store: StoreReaders
) -> RolloutService:
    service = RolloutService(
        state.view.rollouts,
        state.rollouts,
        state.view.book,
        platform.status_topic,
        platform.documents,
        state.log,
        monotonic,
        lambda: _is_decider(store.endpoints, gossip),
        lambda progress: store.operator_reader.publish(encode_progress(progress)),
        lambda: all(peer.level >= RETRIAL_LEVEL for peer in gossip.present if peer.is_ready),
    )
    platform.store_era.watch(service.era_changed)
    return service


def _is_decider(endpoints: EndpointReader, gossip: Gossip) -> bool:
    """Returns whether this node decides and writes for the fleet now."""
    return endpoints.is_reader and gossip.rank(READING_DUTY) == 0


def _register(*services: tuple[str, Service]) -> Kernel:
    kernel = Kernel()
    for name, service in services:
        kernel.register(name, service)
    return kernel


def _place_terms(place: str, caches: CacheFollower, state: NodeState) -> PlaceTerms:
    if caches.follows(place):
        return USUAL_TERMS
    return terms_of(place, state.view.configuration, state.view.book)
