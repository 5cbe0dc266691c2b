"""Readiness of a node, and the membership data that it sends to its peers."""

import math
from collections.abc import Callable, Sequence

from arbutustally.clock import monotonic
from arbutustally.gateway.entry_nodes import entry_nodes
from arbutustally.gateway.relaying import RETRIAL_LEVEL, Member
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.ports import GatewayOptions

#: Time for which a count of the entry nodes is used, seconds; each request needs it.
COUNT_INTERVAL_S = 0.5


class NodeStatus:
    """Readiness and membership data of a node.

    :param is_settled: returns whether the node's view of the fleet has been settled once.
    """

    def __init__(
        self, options: GatewayOptions, view: FleetView, is_settled: Callable[[], bool]
    ) -> None:
        self._options = options
        self._view = view
        self._is_settled = is_settled
        self._is_draining = False
        self._entry_count = 1
        self._counted_at = -math.inf

    @property
    def is_complete(self) -> bool:
        """Returns whether the node has the data, and the settled view of the fleet, to serve."""
        return self._view.is_complete and self._is_settled()

    @property
    def is_ready(self) -> bool:
        """Returns whether callers should use the node."""
        return self.is_complete and not self._is_draining

    @property
    def member(self) -> Member:
        """Returns the node's membership data for its peers."""
        options, configuration = self._options, self._view.configuration
        return Member(
            options.node,
            options.ip,
            options.zone,
            options.caller_listen,
            options.control_listen,
            self.is_ready,
            configuration.version if configuration else 0,
            options.capacity,
            RETRIAL_LEVEL,
        )

    def ready_nodes(self, peers: Sequence[Member]) -> list[Member]:
        """Returns the nodes that callers may use, this one included if it is ready.

        :param peers: the other nodes that are present.
        """
        nodes = [peer for peer in peers if peer.is_ready]
        return [*nodes, self.member] if self.is_ready else nodes

    def entry_node_count(self, peers: Sequence[Member], is_direct: bool) -> int:
        """Returns the number of nodes among which callers are divided, at least one.

        :param peers: the other nodes that are present.
        :param is_direct: whether nodes exchange their load directly. Such a fleet is small, and
            callers are named all of its nodes.
        """
        if is_direct:
            return len(peers) + 1
        now = monotonic()
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._entry_count = max(1, len(entry_nodes(self.ready_nodes(peers))))
            self._counted_at = now
        return self._entry_count

    def begin_drain(self) -> None:
        """Marks the node as not ready, so that callers are directed to other nodes."""
        self._is_draining = True
