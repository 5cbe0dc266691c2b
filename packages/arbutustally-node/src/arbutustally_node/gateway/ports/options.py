"""Settings of one node and bounds of its deployment."""

from dataclasses import dataclass

from arbutustally.gateway.attempts import RepeatBudget
from arbutustally.gateway.quota import QuotaTolerance


@dataclass(frozen=True)
class GatewayBounds:
    """Bounds that the deployment sets.

    :ivar weights_s: after this time no request may begin on weights older than those named.
    :ivar lease_s: least time between orders of two holders.
    :ivar leaving_s: after this time a leaving endpoint gets no new requests.
    :ivar store_return_s: time after the store's return for which a missing entry may come back.
    :ivar grace_s: time from SIGTERM to SIGKILL.
    :ivar directory_ttl_s: longest time for which an answer with addresses counts.
    """

    weights_s: float
    lease_s: float
    grace_s: float
    directory_ttl_s: float
    quota: QuotaTolerance
    repeats: RepeatBudget
    leaving_s: float = 2.0
    store_return_s: float = 2.5


@dataclass(frozen=True)
class GatewayOptions:
    """Settings of one node.

    :ivar node: name of the node.
    :ivar ip: address of the instance.
    :ivar caller_listen: ``host:port`` for callers; the others likewise.
    :ivar peer_port: UDP port for messages between nodes, the same on all.
    :ivar metrics_listen: ``host:port`` for metrics.
    :ivar seeds: ``host:port`` of control listeners of some nodes.
    :ivar memory_mb: memory of the process.
    :ivar capacity: of processor and link; instances with more relay for others first.
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
