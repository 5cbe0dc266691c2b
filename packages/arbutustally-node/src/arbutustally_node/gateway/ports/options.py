"""Settings of a node and bounds set by its deployment."""

from dataclasses import dataclass

from arbutustally.gateway.attempts import RepeatBudget
from arbutustally.gateway.quota import QuotaTolerance
from arbutustally.gateway.slow_start import ColdTolerance
from arbutustally.gateway.zone_spill import ZoneCosts


@dataclass(frozen=True)
class GatewayBounds:
    """Bounds set by the deployment.

    :ivar weights_s: time after which no request may begin on weights older than the named ones,
        seconds.
    :ivar lease_s: shortest time between orders of two holders, seconds.
    :ivar leaving_s: time after which a leaving endpoint gets no new requests, seconds.
    :ivar configuration_s: time after which a new configuration must be in force, seconds.
    :ivar cold: most requests that a cold endpoint may get in a second.
    :ivar store_return_s: time after the store's return within which a missing entry may reappear,
        seconds.
    :ivar heartbeat_s: interval at which endpoints renew their entries in the list, seconds.
    :ivar grace_s: time from SIGTERM to SIGKILL, seconds.
    :ivar directory_ttl_s: longest time for which an answer with addresses is valid, seconds.
    """

    weights_s: float
    lease_s: float
    grace_s: float
    directory_ttl_s: float
    quota: QuotaTolerance
    repeats: RepeatBudget
    cold: ColdTolerance = ColdTolerance()
    leaving_s: float = 2.0
    configuration_s: float = 2.0
    store_return_s: float = 2.5
    heartbeat_s: float = 1.2

    @property
    def known_s(self) -> float:
        """Returns the time within which changes at the store must be known, seconds."""
        return min(self.leaving_s, self.configuration_s)


@dataclass(frozen=True)
class GatewayOptions:
    """Settings of a node.

    :ivar node: name of the node.
    :ivar ip: address of the instance.
    :ivar caller_listen: ``host:port`` for callers; the other ``*_listen`` likewise.
    :ivar peer_port: UDP port for messages between nodes, the same on all.
    :ivar metrics_listen: ``host:port`` for metrics.
    :ivar seeds: ``host:port`` of the control listeners of some nodes, to join the fleet.
    :ivar memory_mb: memory available to the process, MiB.
    :ivar capacity: capacity of processor and link; instances with more of it are the first to relay
        for others.
    :ivar zone_costs: costs of traffic between zones.
    """

    node: str
    ip: str
    zone: str
    caller_listen: str
    ready_listen: str
    directory_listen: str
    control_listen: str
    metrics_listen: str
    peer_port: int
    seeds: tuple[str, ...]
    memory_mb: int
    bounds: GatewayBounds
    capacity: int = 0
    ready_path: str = "/ready"
    directory_path: str = "/addresses"
    zone_costs: ZoneCosts = ZoneCosts()
