"""Builds the state that a node sends to its peers, and applies the states that it receives."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.gateway.attempts import RepeatLedger
from arbutustally.gateway.engine_speeds import EngineSpeeds
from arbutustally.gateway.fleet_size import FleetSize
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.named_weights import NamedWeights
from arbutustally.gateway.quota import QuotaLedger
from arbutustally.gateway.relaying import Member
from arbutustally.gateway.requests import PromptPart
from arbutustally.gateway.weights import unrepeatable_runs
from arbutustally_node.gateway.endpoint_check import EndpointChecker
from arbutustally_node.gateway.endpoint_notices import EndpointNotices
from arbutustally_node.gateway.endpoint_reader import EndpointReader
from arbutustally_node.gateway.fleet_table import PeerUse
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.operator_reader import OperatorReader
from arbutustally_node.gateway.part_quarantine import PartQuarantine
from arbutustally_node.gateway.peer_state import Covers, PeerState
from arbutustally_node.gateway.placement_log import PlacementLog
from arbutustally_node.gateway.rollout_evidence import SEPARATOR, RolloutEvidence
from arbutustally_node.gateway.weights_service import WeightsService

#: Time for which an endpoint counts as loading after a peer reported it, in message intervals.
LOADING_TIMEOUT_INTERVALS = 2.5

#: Age that is stated for weights that were named at an unknown time, seconds.
UNKNOWN_AGE_S = 1e9


@dataclass(frozen=True)
class SyncedServices:
    """Services whose state the nodes exchange."""

    view: FleetView
    quota: QuotaLedger
    repeats: RepeatLedger
    speeds: EngineSpeeds
    holdings: Holdings
    checker: EndpointChecker
    notices: EndpointNotices
    endpoints: EndpointReader
    operator_reader: OperatorReader
    weights: WeightsService
    gossip: Gossip
    size: FleetSize
    placed: PlacementLog
    rollouts: RolloutEvidence
    quarantine: PartQuarantine


class PeerSync:
    """Builds this node's state for its peers, and applies theirs.

    :param member: returns this node's membership data.
    :param incarnation: differs between two starts of the node.
    """

    def __init__(
        self, services: SyncedServices, member: Callable[[], Member], incarnation: str, clock: Clock
    ) -> None:
        self._services = services
        self._member = member
        self._incarnation = incarnation
        self._clock = clock

    def describe(self, has_placements: bool) -> PeerState:
        """Returns this node's state.

        :param has_placements: whether to include the latest placements, each of which is sent once.
        """
        services = self._services
        view, weights = services.view, services.weights
        now = self._clock()
        states = view.book.all()
        loading = [state for state in states if state.loading]
        return PeerState(
            self._member(),
            self._incarnation,
            0,
            Covers.NODE,
            loads={
                state.id: (
                    state.running,
                    round(state.prompt_tokens),
                    round(state.memory_tokens),
                    unrepeatable_runs(state, loading, services.repeats.left(state.entry.service)),
                )
                for state in states
                if state.running
            },
            admitted={**services.quota.admitted, **services.rollouts.totals},
            speeds=services.speeds.own(),
            weights={model: _ages(named, now) for model, named in view.weights.items()},
            engines={state.id: dict(newer) for state in states if (newer := state.newer_weights)},
            orders_engines=weights.is_holder,
            loading=tuple(state.id for state in states if state.loading and weights.is_holder),
            down=tuple(state.id for state in states if state.is_down),
            leaving=services.notices.leaving,
            placed=services.placed.take(0) if has_placements else (),
            quarantine=services.quarantine.describe(),
            updates=services.endpoints.updates(),
            operator=services.operator_reader.updates(services.endpoints.is_reader),
        )

    def take(self, state: PeerState, use: PeerUse | None) -> None:
        """Applies a peer's state.

        :param use: use by peers, ``None`` if the message does not report it.
        """
        services, node = self._services, state.sender.node
        if state.updates is not None:
            services.endpoints.take(state.updates, node)
        services.operator_reader.take(state.operator, node)
        if use is not None:
            services.view.book.set_peer_load(use.source, use.loads)
            accounts = {k: v for k, v in use.admitted.items() if not k.startswith(SEPARATOR)}
            services.quota.record_admitted(use.source, accounts)
            services.rollouts.set_peer_totals(use.source, use.admitted)
            services.speeds.set_peers(use.source, use.speeds)
        self._apply_weights(state)
        services.notices.apply_leaving(state.leaving, node)
        services.quarantine.take(state.quarantine, node)
        for endpoint_id in state.down:
            endpoint = services.view.book.get(endpoint_id)
            if endpoint is not None and not endpoint.is_down:
                services.checker.check(endpoint)
        if not services.weights.is_holder:
            self._apply_loading(state)
        for endpoint_id, scope, parts, is_pending in state.placed:
            take = services.holdings.expect if is_pending else services.holdings.assume
            take(endpoint_id, scope, [PromptPart(*part) for part in parts])

    def fleet_changed(self, gone: set[str]) -> None:
        """Updates the services that depend on the size of the fleet, and drops sources.

        :param gone: sources of use that no longer count.
        """
        services = self._services
        services.view.book.slow_start.update_peers(peer.node for peer in services.gossip.present)
        for source in gone:
            services.view.book.set_peer_load(source, {})
            services.quota.forget(source)
            services.speeds.set_peers(source, {})
        self.size_changed()

    def size_changed(self) -> None:
        """Updates the services that divide limits among the nodes."""
        services = self._services
        nodes = services.size.sharing_nodes
        services.quota.set_reporting_nodes(len(services.gossip.present) + 1, nodes)
        services.repeats.set_node_count(nodes)

    def _apply_weights(self, state: PeerState) -> None:
        view, now = self._services.view, self._clock()
        for model, versions in state.weights.items():
            for version, age in versions.items():
                known_at = now - age if age < UNKNOWN_AGE_S else -math.inf
                view.learn_weights(model, version, known_at, state.sender.node)
        for endpoint_id, weights in state.engines.items():
            endpoint = view.book.get(endpoint_id)
            if endpoint is None:
                continue
            for model, version in weights.items():
                endpoint.weights[model] = max(endpoint.weights.get(model, 0), version)

    def _apply_loading(self, state: PeerState) -> None:
        view, now = self._services.view, self._clock()
        for endpoint_id in state.loading:
            endpoint = view.book.get(endpoint_id)
            # A state that came through relays may be older than the report that loading has ended.
            if endpoint is not None and view.has_outdated_weights(endpoint):
                endpoint.loading = True
                endpoint.loading_until = (
                    now + LOADING_TIMEOUT_INTERVALS * self._services.gossip.interval_s
                )
        for endpoint in view.book.all():
            if endpoint.loading and now >= endpoint.loading_until:
                endpoint.loading = False


def _ages(named: NamedWeights, now: float) -> dict[int, float]:
    """Returns the time since each version was named, as peers are told it, seconds.

    A node that has started since finds only the newest one in the store. Without the others it
    would take the date of the newest one for that of the replacement of all older weights. It finds
    an undated newest one by itself, and peers that have not read it yet will date it.
    """
    ages = dict.fromkeys(named.undated, UNKNOWN_AGE_S)
    return ages | {version: round(now - at, 3) for version, at in named.dated.items()}
