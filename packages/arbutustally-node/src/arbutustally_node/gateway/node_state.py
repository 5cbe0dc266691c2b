"""In-memory state of a node that its services share."""

from dataclasses import dataclass
from random import Random

from arbutustally.clock import boottime, monotonic
from arbutustally.gateway.attempts import RepeatLedger
from arbutustally.gateway.choice import PLACEMENT_OPTIONS
from arbutustally.gateway.configuration import CallerLimits, Configuration
from arbutustally.gateway.engine_speeds import EngineSpeeds
from arbutustally.gateway.quota import QuotaLedger
from arbutustally.gateway.slow_start import SlowStart
from arbutustally.placement import Placement
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.ports import Documents, GatewayOptions
from arbutustally_node.gateway.rollout_evidence import RolloutEvidence


@dataclass(frozen=True)
class NodeState:
    """Shared tables and counters of one node.

    :ivar incarnation: differs between two starts of the node.
    :ivar repeats: number of repeated attempts that the node may still make.
    """

    incarnation: str
    log: DecisionLog
    instruments: Instruments
    rng: Random
    view: FleetView
    quota: QuotaLedger
    repeats: RepeatLedger
    speeds: EngineSpeeds
    placement: Placement
    rollouts: RolloutEvidence

    @classmethod
    def from_config(
        cls, options: GatewayOptions, documents: Documents, incarnation: str
    ) -> "NodeState":
        """Builds empty tables, which are updated with each configuration that comes into force."""
        rng = Random()
        log = DecisionLog({"node": options.node, "inc": incarnation[:6]})
        speeds = EngineSpeeds.from_config(monotonic)
        instruments = Instruments()
        weights_s = options.bounds.weights_s
        view = FleetView(documents, monotonic, log, instruments.count, weights_s)
        view.book.slow_start = SlowStart(monotonic, options.node, options.bounds.cold)
        state = cls(
            incarnation,
            log,
            instruments,
            rng,
            view,
            QuotaLedger.from_config(boottime, options.bounds.quota),
            RepeatLedger.from_config(monotonic, options.bounds.repeats),
            speeds,
            Placement.from_config(monotonic, rng, PLACEMENT_OPTIONS, speeds),
            RolloutEvidence(view.rollouts, monotonic),
        )
        state.view.watch_configuration(state._apply_configuration)
        return state

    @property
    def caller_limits(self) -> CallerLimits:
        """Returns the limits of callers' connections, the defaults without a configuration."""
        configuration = self.view.configuration
        return configuration.limits if configuration else CallerLimits()

    def _apply_configuration(self, configuration: Configuration) -> None:
        for service in configuration.services.values():
            if service.engine and service.engine.transfer_tokens_per_s:
                self.placement.set_import_speed(service.engine.transfer_tokens_per_s)
        self.view.book.slow_start.set_rates(
            {service.name: service.cold_rate for service in configuration.services.values()}
        )
        self.quota.set_limits(
            {name: (entry.rate, entry.burst) for name, entry in configuration.accounts.items()}
        )
