"""Service ``peers``: links to other nodes, which carry calls and, once a second, broadcasts."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event as Signal
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection

from arbutustally.clock import Clock, monotonic
from arbutustally.errors import PeerRejectedError, PeerUnavailableError, Ran
from arbutustally.logs import get_logger
from arbutustally.metrics import Counter, Metrics, declare
from arbutustally.peer_channel import Handshake, Identity, SecureChannel
from arbutustally.peer_protocol import Event, Events, encode
from arbutustally.topology import FULL_MESH_NODES
from arbutustally_node.broadcasts import Broadcasts
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.peer_connection import PeerClientConnection
from arbutustally_node.peer_dialler import PeerDialler
from arbutustally_node.peer_link import (
    HANDSHAKE_TIMEOUT_S,
    WEBSOCKET_OPTIONS,
    Handler,
    PeerLink,
    dial_handshake,
)
from arbutustally_node.peer_listener import PeerListener

#: Interval at which collected broadcasts of other groups are forwarded in one frame, seconds.
FORWARD_INTERVAL_S = 0.25
#: A node without a link counts as connected for this long after its last message arrived,
#: directly or forwarded, seconds.
LIVENESS_TIMEOUT_S = 5.0

PEER_REJECTED = declare(
    "refused.peer_rejected",
    "Peer links closed for failed authentication or broken frames; check the peer secrets.",
)
PEER_UNAVAILABLE = declare(
    "refused.peer_unavailable",
    "Calls to peers that failed for want of a link or an answer; check the network.",
)

_log = get_logger("peers")


class PeersService:
    """Carries calls and broadcasts over the links to other nodes.

    :param addresses: returns the peer address of each known node by id.
    :param mesh_up_to: largest number of nodes that form a full mesh instead of groups.
    """

    def __init__(
        self,
        options: Options,
        metrics: Metrics,
        addresses: Callable[[], dict[str, str]],
        clock: Clock = monotonic,
        mesh_up_to: int = FULL_MESH_NODES,
    ) -> None:
        self._options = options
        self._metrics = metrics
        self._addresses = addresses
        self._clock = clock
        self._handlers: dict[str, Handler] = {}
        self._links: dict[str, PeerLink] = {}
        self._received_at: dict[str, float] = {}
        own = Identity(options.node_id, options.incarnation)
        self._broadcasts = Broadcasts.from_config(own)
        self._linked = Signal()
        self._dialler = PeerDialler(
            options.node_id, addresses, self._links, self._try_dial, metrics, clock, mesh_up_to
        )
        self._listener = PeerListener(
            self._handshake, self._serve_accepted, lambda error: self._reject(error, "unknown")
        )
        self._address = options.peer_listen
        self._forward_loop: gevent.Greenlet | None = None
        self._stopping = Signal()

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "PeersService":
        """Builds the service; node addresses come from ``membership`` at run time."""
        return cls(
            options,
            kernel.lookup("metrics"),
            lambda: kernel.lookup("membership").peer_addresses(),
        )

    @property
    def address(self) -> str:
        """Returns the address of the peer listener, ``host:port``; valid after ``start``."""
        return self._address

    def start(self) -> None:
        """Opens the listener and starts dialling."""
        self._address = self._listener.start(self._options.peer_listen)
        self._dialler.start()
        self._forward_loop = gevent.spawn(self._forward_forever)

    def stop(self) -> None:
        """Closes the listener and all links."""
        self._stopping.set()
        self._dialler.stop()
        if self._forward_loop is not None:
            gevent.killall([self._forward_loop], timeout=1)
        self._listener.stop()
        for link in list(self._links.values()):
            link.close()

    def handle(self, method: str, function: Handler) -> None:
        """Registers ``function(node_id, payload)`` as the handler of a method.

        A ``RouterError`` that it raises is returned to the calling node with its code.
        """
        self._handlers[method] = function

    def subscribe(self, topic: str, function: Callable[[str, Any], None]) -> None:
        """Registers ``function(node_id, payload)`` for the broadcasts of a topic.

        :param function: must not block; the node id is that of the origin.
        """
        self._broadcasts.subscribe(topic, function)

    def connected(self) -> list[str]:
        """Returns the nodes with a link or with a message received within ``LIVENESS_TIMEOUT_S``."""
        since = self._clock() - LIVENESS_TIMEOUT_S
        active = {node_id for node_id, instant in self._received_at.items() if instant >= since}
        return sorted(active | set(self._links))

    def broadcast(self, topic: str, payload: Any) -> frozenset[Identity]:
        """Sends a message to all reachable nodes; best effort, delivered at most once to each.

        :return: processes to which it was sent over a direct link; the rest receive it forwarded.
        :raises PeerRejectedError: if the message exceeds the size of a frame.
        """
        data = encode(Events((self._broadcasts.event(topic, payload),)))
        links = self._broadcast_links()
        for link in links:
            link.post(data)
        return frozenset(link.peer for link in links)

    def call(self, node_id: str, method: str, payload: Any, timeout_s: float) -> Any:
        """Calls a method of a node over its direct link, which is opened if there is none.

        :raises PeerUnavailableError: if the node cannot be reached or does not answer in time.
        :raises RouterError: the typed error of the node's handler.
        """
        if node_id == self._options.node_id:
            return self._handlers[method](node_id, payload)
        deadline = self._clock() + timeout_s
        try:
            link = self._links.get(node_id) or self._open_direct(node_id, deadline)
            self._dialler.note_call(node_id)
            return link.call(method, payload, max(deadline - self._clock(), 0.001))
        except PeerUnavailableError:
            self._metrics.count(PEER_UNAVAILABLE)
            raise

    def metric(self, counter: Counter) -> int:
        """Returns the value of one of this service's counters for the status report."""
        return self._metrics.counts.get(counter.name, 0)

    def stats(self) -> dict[str, float]:
        """Returns statistics of the links for the status report."""
        return {
            "links": len(self._links),
            "sent_bytes": sum(link.sent_bytes for link in self._links.values()),
            "sent_frames": sum(link.sent_frames for link in self._links.values()),
        }

    def _serve_accepted(
        self, connection: Connection, peer: Identity, channel: SecureChannel
    ) -> None:
        self._run(PeerLink(connection, peer, channel, self._handlers, self._on_events), peer)

    def _dial(self, node_id: str, address: str) -> None:
        """Opens a link and serves it until it ends.

        :raises PeerRejectedError: if the other end is not that node.
        :raises OSError: if the connection fails.
        """
        connection = connect(
            f"ws://{address}/",
            open_timeout=HANDSHAKE_TIMEOUT_S,
            proxy=None,
            create_connection=PeerClientConnection,
            **WEBSOCKET_OPTIONS,
        )
        try:
            peer, channel = dial_handshake(connection, self._handshake(), node_id)
        except (PeerRejectedError, WebSocketException, OSError):
            connection.close()
            raise
        own = Identity(self._options.node_id, self._options.incarnation)
        self._run(PeerLink(connection, peer, channel, self._handlers, self._on_events), own)

    def _handshake(self) -> Handshake:
        options = self._options
        return Handshake.from_config(
            options.node_id, options.incarnation, options.peer_secret, options.peer_secret_previous
        )

    def _run(self, link: PeerLink, dialler: Identity) -> None:
        node_id = link.peer.node_id
        link.dialler = dialler.node_id
        if not self._register_link(link):
            link.close()
            return
        try:
            link.run()
        except PeerRejectedError as error:
            self._reject(error, node_id)
        finally:
            if self._links.get(node_id) is link:
                del self._links[node_id]

    def _register_link(self, link: PeerLink) -> bool:
        """Registers the only link to a peer; if both ends dialled, both keep the same link.

        :return: whether the link is kept.
        """
        node_id = link.peer.node_id
        existing = self._links.get(node_id)
        if existing is not None and not existing.closed:
            first = min(node_id, self._options.node_id)
            same_process = existing.peer == link.peer
            if same_process and existing.dialler == first and link.dialler != first:
                return False
            existing.close()
        self._links[node_id] = link
        self._received_at[node_id] = self._clock()
        self._linked.set()
        self._linked.clear()
        return True

    def _reject(self, error: PeerRejectedError, node_id: str) -> None:
        self._metrics.count(PEER_REJECTED)
        _log.warning("peer rejected", peer=node_id, reason=error.message)

    def _open_direct(self, node_id: str, deadline: float) -> PeerLink:
        address = self._addresses().get(node_id)
        if address is None:
            raise PeerUnavailableError(
                f"node {node_id} is not in the instance list; retry when it is listed",
                retry_after_s=1.0,
            )
        self._dialler.dial_for_call(node_id)
        while node_id not in self._links:
            remaining = deadline - self._clock()
            if remaining <= 0:
                raise PeerUnavailableError(
                    f"no link to node {node_id} was opened in time; retry or use another node",
                    ran=Ran.NOT_RUN,
                    retry_after_s=1.0,
                )
            self._linked.wait(remaining)
        return self._links[node_id]

    def _try_dial(self, node_id: str, address: str) -> None:
        try:
            self._dial(node_id, address)
        except PeerRejectedError as error:
            self._reject(error, node_id)
        except (WebSocketException, OSError) as error:
            _log.debug("peer dial failed", peer=node_id, error=type(error).__name__)

    def _broadcast_links(self) -> list[PeerLink]:
        chosen = [*self._dialler.plan.near]
        for group in self._dialler.plan.far:
            linked = next((node_id for node_id in group if node_id in self._links), None)
            if linked is not None:
                chosen.append(linked)
        return [self._links[node_id] for node_id in chosen if node_id in self._links]

    def _on_events(self, link: PeerLink, events: Events) -> None:
        self._received_at[link.peer.node_id] = self._clock()
        is_near = link.peer.node_id in self._dialler.plan.near
        for origin in self._broadcasts.receive(events, link.peer.node_id, is_near):
            self._received_at[origin] = self._clock()

    def _forward_forever(self) -> None:
        while not self._stopping.is_set():
            self._stopping.wait(FORWARD_INTERVAL_S)
            events = self._broadcasts.take_events_to_forward()
            if events:
                self._forward(events)

    def _forward(self, events: list[Event]) -> None:
        try:
            data = encode(Events(tuple(events)))
        except PeerRejectedError:
            if len(events) > 1:
                self._forward(events[: len(events) // 2])
                self._forward(events[len(events) // 2 :])
            return
        for node_id in self._dialler.plan.near:
            link = self._links.get(node_id)
            if link is not None:
                link.post(data)
