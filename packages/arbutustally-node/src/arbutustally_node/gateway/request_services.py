"""Services shared by the requests of one node, and the record of one request for the log."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, NamedTuple

from arbutustally.clock import Clock
from arbutustally.gateway.attempts import RepeatLedger
from arbutustally.gateway.contact import Contact
from arbutustally.gateway.endpoint_entry import EndpointNotice
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.quota import QuotaLedger
from arbutustally.gateway.wait_calibration import WaitCalibration
from arbutustally.gateway.zone_spill import ZoneSpill
from arbutustally.placement import Placement
from arbutustally_node.gateway.begin_watch import BeginWatch
from arbutustally_node.gateway.crash_watch import CrashWatch
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.part_quarantine import PartQuarantine
from arbutustally_node.gateway.placement_log import PlacementLog
from arbutustally_node.gateway.rollout_evidence import RolloutEvidence
from arbutustally_node.gateway.transport import Transport


@dataclass(frozen=True)
class RequestServices:
    """Services that every request of a node uses.

    :ivar repeats: budget of repeated and hedged attempts.
    :ivar zone: availability zone of the node, preferred among otherwise equal endpoints.
    :ivar weights_s: time after which no request may start on weights older than those announced,
        seconds.
    :ivar on_other_weights: called for an engine whose weights differ from those expected.
    :ivar on_notice: called with the notice in an endpoint's response.
    :ivar on_unreachable: called for an endpoint to which no connection could be established.
    :ivar on_silent: called for an endpoint that is silent while a request waits for it.
    :ivar nodes: returns the number of nodes among which callers are divided.
    :ivar is_complete: returns whether the node has all data it needs to serve.
    :ivar rollouts: results of the releases that are being compared.
    :ivar list_age_s: returns the time since the endpoints' list was known to be current, seconds.
    :ivar crashes: recognises endpoints that end while they begin to answer.
    :ivar quarantine: rejects prompts with parts that end endpoints.
    :ivar spill: decides whether requests leave the zone.
    :ivar waits: correction of expected times by the observed ones.
    :ivar contact: tells whether the node may have missed a configuration.
    :ivar begins: leaves engines that have not begun when their weights are about to expire.
    :ivar placed: placements to announce to the peers.
    :ivar has_relayed_loads: returns whether load reports of other nodes pass through relays.
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
    list_age_s: Callable[[], float]
    crashes: CrashWatch
    quarantine: PartQuarantine
    spill: ZoneSpill
    waits: WaitCalibration
    contact: Contact
    begins: BeginWatch
    placed: PlacementLog = field(default_factory=PlacementLog)
    has_relayed_loads: Callable[[], bool] = lambda: False

    def weights_until(self, model: str, version: int | None) -> float:
        """Returns until when requests may begin on weights, steady seconds; ``inf`` if no end."""
        named = self.view.weights.get(model)
        if named is None or version is None:
            return math.inf
        return named.allowed_until(version, self.weights_s)

    def preview(self) -> "RequestServices":
        """Returns services for a decision that is not acted upon.

        It makes the same draws as the next decision, and changes nothing that others use.
        """
        rng = Random()
        rng.setstate(self.rng.getstate())
        return replace(
            self,
            rng=rng,
            placement=self.placement.preview(rng),
            spill=self.spill.preview(rng),
            on_other_weights=lambda _state: None,
            instruments=Instruments(),
        )


class AttemptTrace(NamedTuple):
    """One attempt in the log line of its request.

    :ivar took_s: duration, seconds.
    :ivar began_s: time from the arrival of the request until the attempt was sent, seconds.
    :ivar head_s: the same until its response head, ``None`` without one.
    :ivar reading: how the response arrived, empty without one.
    :ivar weights: version of the weights it was sent for, ``None`` at a plain service.
    :ivar first_s: as ``began_s``, until its first event, ``None`` without one.
    :ivar weights_until_s: the same until the weights were no longer allowed, as known at the end of
        the attempt; ``None`` if no newer ones were named.
    """

    endpoint: str
    reason: str
    took_s: float
    began_s: float
    head_s: float | None
    reading: str
    weights: int | None
    first_s: float | None
    weights_until_s: float | None


@dataclass
class Trace:
    """Record of one request for its log line.

    :ivar attempts: attempts that have ended, in that order.
    :ivar facts: further fields of the log line.
    """

    request_id: str
    route: str = ""
    account: str = ""
    outcome: str = ""
    status: int = 0
    attempts: list[AttemptTrace] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)
