"""Notices in endpoints' answers: that the endpoint is leaving, or that it asks for a pause."""

from collections.abc import Callable, Mapping
from random import Random

from arbutustally.gateway.endpoint_entry import EndpointNotice
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally_node.gateway.decision_log import DecisionLog


class EndpointNotices:
    """Records notices in the book of endpoints, and informs peers of endpoints that leave.

    A pause applies to this node only: the endpoint may still accept requests from others.

    :param notify_peers: sends this node's state to the peers immediately.
    """

    def __init__(
        self, book: EndpointBook, log: DecisionLog, rng: Random, notify_peers: Callable[[], None]
    ) -> None:
        self._book = book
        self._log = log
        self._rng = rng
        self._notify_peers = notify_peers

    @property
    def leaving(self) -> dict[str, str]:
        """Returns the incarnations of endpoints that announced that they leave, by id."""
        return {
            state.id: state.entry.incarnation
            for state in self._book.all()
            if state.has_announced_leaving
        }

    def take(self, state: EndpointState, notice: EndpointNotice) -> None:
        """Applies a notice that an endpoint sent to this node."""
        if notice.pause_s > 0:
            self._book.pause(state, notice.pause_s, self._rng)
            self._log.line("endpoint_paused", endpoint=state.id, pause_s=notice.pause_s)
        if notice.cold_s is not None and self._book.record_cold(state, notice.cold_s):
            self._log.line(
                "endpoint_cold", endpoint=state.id, cold_s=notice.cold_s, source="endpoint"
            )
        if notice.is_leaving and self._book.record_leaving(state):
            self._log.line("endpoint_leaving", endpoint=state.id, source="endpoint")
            self._notify_peers()

    def take_from_address(self, address: str, notice: EndpointNotice) -> None:
        """Applies a notice that the endpoint at an address sent to this node."""
        for state in self._book.all():
            if state.address == address and state.gone_at is None:
                self.take(state, notice)

    def apply_leaving(self, leaving: Mapping[str, str], peer: str) -> None:
        """Applies a peer's list of endpoints that leave, with their incarnations by id."""
        for endpoint_id, incarnation in leaving.items():
            state = self._book.get(endpoint_id)
            if state is None or state.entry.incarnation != incarnation:
                continue
            if not state.has_announced_leaving and self._book.record_leaving(state):
                self._log.line("endpoint_leaving", endpoint=state.id, source=peer)
