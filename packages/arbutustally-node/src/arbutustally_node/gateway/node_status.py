"""Readiness of a node, and the membership data that it sends to its peers."""

from collections.abc import Callable

from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.ports import GatewayOptions


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
        )

    def begin_drain(self) -> None:
        """Marks the node as not ready, so that callers are directed to other nodes."""
        self._is_draining = True
