"""Dials the peers to which links are needed, and closes the dialled links that no longer are."""

import random
from collections.abc import Callable, Mapping

import gevent
from gevent.event import Event as Signal

from arbutustally.clock import Clock
from arbutustally.metrics import Metrics, declare
from arbutustally.topology import Plan, opens_link, plan
from arbutustally_node.peer_link import PeerLink

#: Bounds of the delay between two attempts to dial a node, seconds.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0
#: After a link that lasted longer than this, the delay starts again at its lower bound, seconds.
STABLE_LINK_S = 5.0
#: A direct link for calls is closed after this long without a call, seconds.
IDLE_LINK_S = 60.0
#: The node with the larger id dials only if the other has opened no link this long after it
#: became known, seconds.
DIAL_GRACE_S = 3.0
REPLAN_INTERVAL_S = 1.0

PEER_REDIALLED = declare(
    "retried.peer_link", "Attempts to open a peer link again after a failure; check the peer."
)


class PeerDialler:
    """Maintains the links of the topology plan and direct links for calls.

    :param addresses: returns the peer address of each known node by id.
    :param links: current links by node id; their owner adds and removes them.
    :param dial: opens a link to the node with this id and address and serves it until it ends;
        does not raise if that fails.
    :param mesh_up_to: largest number of nodes that form a full mesh instead of groups.
    """

    def __init__(
        self,
        node_id: str,
        addresses: Callable[[], dict[str, str]],
        links: Mapping[str, PeerLink],
        dial: Callable[[str, str], None],
        metrics: Metrics,
        clock: Clock,
        mesh_up_to: int,
    ) -> None:
        self._node_id = node_id
        self._addresses = addresses
        self._links = links
        self._dial = dial
        self._metrics = metrics
        self._clock = clock
        self._mesh_up_to = mesh_up_to
        self._random = random.Random()
        self._plan = Plan(())
        self._wanted: set[str] = set()
        self._known_since: dict[str, float] = {}
        self._far_attempts: dict[str, int] = {}
        self._direct_used_at: dict[str, float] = {}
        self._dial_loops: dict[str, gevent.Greenlet] = {}
        self._replan_loop: gevent.Greenlet | None = None
        self._stopping = Signal()

    @property
    def plan(self) -> Plan:
        """Returns the current topology plan."""
        return self._plan

    def start(self) -> None:
        """Starts dialling."""
        self._replan_loop = gevent.spawn(self._replan_forever)

    def stop(self) -> None:
        """Stops dialling and serving the dialled links."""
        self._stopping.set()
        loops = [*self._dial_loops.values()]
        if self._replan_loop is not None:
            loops.append(self._replan_loop)
        gevent.killall(loops, timeout=1)

    def note_call(self, node_id: str) -> None:
        """Records a call to a node, for which its link is kept."""
        self._direct_used_at[node_id] = self._clock()

    def dial_for_call(self, node_id: str) -> None:
        """Starts to dial a node that is to be called, if it is not being dialled already."""
        self.note_call(node_id)
        self._ensure_dialling(node_id)

    def _replan_forever(self) -> None:
        while not self._stopping.is_set():
            self._replan()
            self._stopping.wait(REPLAN_INTERVAL_S * self._random.uniform(0.8, 1.2))

    def _replan(self) -> None:
        known = self._addresses()
        now = self._clock()
        self._plan = plan(self._node_id, known, self._mesh_up_to)
        wanted = set(self._plan.near)
        wanted.update(self._choose_far_peer(group) for group in self._plan.far)
        wanted.update(
            node_id for node_id, used in self._direct_used_at.items() if used > now - IDLE_LINK_S
        )
        self._wanted = wanted
        self._known_since = {node_id: self._known_since.get(node_id, now) for node_id in known}
        for node_id in wanted:
            waited = now - self._known_since.get(node_id, now)
            if opens_link(self._node_id, node_id) or waited > DIAL_GRACE_S:
                self._ensure_dialling(node_id)
        self._close_unwanted()

    def _choose_far_peer(self, group: tuple[str, ...]) -> str:
        for node_id in group:
            if node_id in self._links:
                return node_id
        return group[self._far_attempts.get(group[0], 0) % len(group)]

    def _close_unwanted(self) -> None:
        for node_id, link in list(self._links.items()):
            # Only the dialling end closes it; the listening end cannot know why the link was opened.
            if link.dialler == self._node_id and node_id not in self._wanted:
                link.close()

    def _ensure_dialling(self, node_id: str) -> None:
        loop = self._dial_loops.get(node_id)
        if loop is None or loop.dead:
            self._dial_loops[node_id] = gevent.spawn(self._keep_link, node_id)

    def _keep_link(self, node_id: str) -> None:
        backoff = BACKOFF_MIN_S
        while not self._stopping.is_set() and self._is_wanted(node_id):
            address = self._addresses().get(node_id)
            if address is None:
                return
            if node_id not in self._links:
                started_at = self._clock()
                self._dial(node_id, address)
                self._count_far_attempt(node_id)
                if self._clock() - started_at > STABLE_LINK_S:
                    backoff = BACKOFF_MIN_S
                self._metrics.count(PEER_REDIALLED)
            # Jitter spreads the dials of many nodes that lost the same peer.
            self._stopping.wait(backoff * self._random.uniform(0.5, 1.5))
            backoff = min(backoff * 2, BACKOFF_MAX_S)

    def _count_far_attempt(self, node_id: str) -> None:
        for group in self._plan.far:
            if node_id in group:
                self._far_attempts[group[0]] = self._far_attempts.get(group[0], 0) + 1

    def _is_wanted(self, node_id: str) -> bool:
        recent = self._direct_used_at.get(node_id, -IDLE_LINK_S) > self._clock() - IDLE_LINK_S
        return node_id in self._wanted or recent
