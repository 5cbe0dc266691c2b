"""Whether a node serves, and how its peers know it."""

from collections.abc import Callable

from arbutustally.gateway.relaying import Member
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.ports import GatewayOptions


class NodeStatus:
    """Whether a node serves.

    :param is_settled: returns whether the node has known the fleet well enough once.
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
        """Returns whether the node knows enough to serve."""
        return self._view.is_complete and self._is_settled()

    @property
    def is_ready(self) -> bool:
        """Returns whether callers should use the node."""
        return self.is_complete and not self._is_draining

    @property
    def member(self) -> Member:
        """Returns the node as its peers know it."""
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
        """Sends callers to other nodes from now on."""
        self._is_draining = True
