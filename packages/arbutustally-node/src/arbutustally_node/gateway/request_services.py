"""What the requests of one node share, and what is noted of each."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from arbutustally.clock import Clock
from arbutustally.gateway.attempts import RepeatLedger
from arbutustally.gateway.endpoints import EndpointNotice, EndpointState
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.quota import QuotaLedger
from arbutustally.placement import Placement
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.placed_log import PlacedLog
from arbutustally_node.gateway.rollout_evidence import RolloutEvidence
from arbutustally_node.gateway.transport import Transport


@dataclass(frozen=True)
class RequestServices:
    """Services that every request of a node uses.

    :ivar zone: of the node; endpoints there go first among equals.
    :ivar weights_s: after this time no request may begin on weights older than those named.
    :ivar on_other_weights: called for an engine that has other weights than expected.
    :ivar on_notice: called with what an endpoint says of itself.
    :ivar on_unreachable: called for an endpoint to which no connection could be made.
    :ivar on_silent: called for an endpoint that is silent while a request waits for it.
    :ivar nodes: returns the number of nodes of the fleet, this one included.
    :ivar is_complete: returns whether the node knows enough to serve.
    :ivar rollouts: answers of releases that are compared.
    :ivar placed: placements to tell the peers.
    """

    view: FleetView
    transport: Transport
    placement: Placement
    holdings: Holdings
    quota: QuotaLedger
    repeats: RepeatLedger
    log: DecisionLog
    instruments: Instruments
    clock: Clock
    rng: Random
    zone: str
    weights_s: float
    on_other_weights: Callable[[EndpointState], None]
    on_notice: Callable[[EndpointState, EndpointNotice], None]
    on_unreachable: Callable[[EndpointState], None]
    on_silent: Callable[[EndpointState], None]
    nodes: Callable[[], int]
    is_complete: Callable[[], bool]
    rollouts: RolloutEvidence
    placed: PlacedLog = field(default_factory=PlacedLog)


@dataclass
class Trace:
    """What happened to one request, for its decision line.

    :ivar attempts: endpoint, reason and seconds of each attempt.
    """

    request_id: str
    route: str = ""
    account: str = ""
    outcome: str = ""
    status: int = 0
    attempts: list[tuple[str, str, float]] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)
