"""Service ``membership``: nodes and endpoints, from the instance list, polls and peers."""

import random
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event as Signal
from gevent.pool import Pool

from arbutustally.clock import Clock, monotonic
from arbutustally.directory import top_nodes
from arbutustally.engine_client import EngineClient
from arbutustally.errors import InstanceListUnavailableError
from arbutustally.instance_client import Instance, InstanceClient
from arbutustally.logs import get_logger
from arbutustally.metrics import Metrics, declare
from arbutustally_node.endpoint_table import EndpointState, EndpointTable, Load, Mark
from arbutustally_node.kernel import Kernel
from arbutustally_node.load_polls import LoadFunction, LoadPolls
from arbutustally_node.node_table import Node, NodeTable
from arbutustally_node.options import Options

TOPIC = "membership"
ENTRY_SERVICE = "entry"
#: Interval of the batched deltas, seconds.
DELTA_INTERVAL_S = 1.0
#: Deltas after which one carries everything, which repairs lost ones.
FULL_EVERY = 10
#: Nodes that repeat a mark. One would not do: it may be the node that has missed the mark; all
#: would send every mark of the fleet as often as there are nodes.
MARK_COPIES = 3
#: Longest silence of an engine that is asked for its load, seconds.
LOAD_TIMEOUT_S = 1.0
#: Load polls in flight at the same time.
MAX_POLLS = 16

LIST_FAILED = declare(
    "retried.instance_list", "Reads of the instance list that failed; check the platform."
)

_log = get_logger("membership")


class MembershipService:
    """Keeps the tables of nodes and endpoints current.

    :param list_instances: reads the instance list.
    :param load: reads the load report of the engine at an address.
    :param peers: returns the ``peers`` service.
    """

    def __init__(
        self,
        options: Options,
        metrics: Metrics,
        list_instances: Callable[[], list[Instance]],
        load: LoadFunction,
        peers: Callable[[], Any],
        clock: Clock = monotonic,
    ) -> None:
        self._options = options
        self._metrics = metrics
        self._list_instances = list_instances
        self._peers = peers
        self._clock = clock
        self._random = random.Random()
        self._endpoints = EndpointTable(clock)
        self._nodes = NodeTable(clock)
        self._polls = LoadPolls(self._endpoints, load, self.mark_dead, metrics, clock)
        self._draining = False
        self._fresh_marks: list[Mark] = []
        self._deltas = 0
        self._last_connected: list[str] = []
        self._reached: frozenset[Any] = frozenset()
        self._introduced: frozenset[Any] = frozenset()
        self._stopping = Signal()
        self._loops: list[gevent.Greenlet] = []

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "MembershipService":
        """Builds the service over HTTP clients of the platform and the engines."""
        engines = EngineClient.from_config(options.endpoint_connect_timeout_s, LOAD_TIMEOUT_S)
        return cls(
            options,
            kernel.lookup("metrics"),
            InstanceClient.from_config(options.instances_url).list,
            engines.load,
            lambda: kernel.lookup("peers"),
        )

    def start(self) -> None:
        """Begins to read the list, poll loads and share deltas."""
        self._peers().subscribe(TOPIC, self._on_delta)
        self._loops = [
            gevent.spawn(self._list_forever),
            gevent.spawn(self._poll_forever),
            gevent.spawn(self._share_forever),
        ]

    def stop(self) -> None:
        """Ends all polls."""
        self._stopping.set()
        gevent.killall(self._loops, timeout=1)

    # Queries

    def nodes(self) -> list[Node]:
        """Returns all known nodes, this one included, in order of id."""
        others = [node for node in self._nodes.nodes() if node.id != self._options.node_id]
        return sorted([*others, self._own_node()], key=lambda node: node.id)

    def live_nodes(self) -> list[Node]:
        """Returns this node and the nodes that are reachable, named to callers and not draining.

        A node that reaches less than half of the fleet cannot tell its own isolation from the
        failure of the others, so it leaves none out for being unreachable.
        """
        known = self.nodes()
        reachable = {*self._peers().connected(), self._options.node_id}
        present = [node for node in known if node.id in reachable]
        if len(present) * 2 < len(known):
            present = known
        return [node for node in present if not node.draining and node.caller_address]

    def endpoints(self, service: str | None, model: str | None = None) -> list[EndpointState]:
        """Returns the endpoints that are not dead; skip leaving ones for new work.

        :param service: one service, or ``None`` for all.
        """
        return self._endpoints.endpoints(service, model)

    def peer_addresses(self) -> dict[str, str]:
        """Returns the peer address of each other node by id."""
        return {
            node.id: node.peer_address
            for node in self._nodes.nodes()
            if node.peer_address and node.id != self._options.node_id
        }

    @property
    def draining(self) -> bool:
        """Returns whether this node has begun to drain."""
        return self._draining

    # Marks and own dispatches

    def mark_dead(self, endpoint_id: str, incarnation: str) -> None:
        """Excludes an incarnation for good on all nodes."""
        self._mark(Mark(endpoint_id, incarnation, "dead"))

    def mark_leaving(self, endpoint_id: str) -> None:
        """Gives the current incarnation no new work on all nodes."""
        incarnation = self._endpoints.incarnation(endpoint_id)
        self._mark(Mark(endpoint_id, incarnation, "leaving"))

    def add_dispatch(self, endpoint_id: str, tokens: int) -> None:
        """Adds work sent by this node to the load of an endpoint."""
        self._endpoints.add_dispatch(endpoint_id, tokens)

    def remove_dispatch(self, endpoint_id: str, tokens: int) -> None:
        """Removes work sent by this node from the load of an endpoint."""
        self._endpoints.remove_dispatch(endpoint_id, tokens)

    def drain(self) -> None:
        """Announces at once that this node is no longer to be named to callers."""
        self._draining = True
        self._broadcast({"node": self._own_announcement()})

    def _mark(self, mark: Mark) -> None:
        if self._endpoints.apply(mark):
            _log.info("endpoint marked", endpoint=mark.endpoint_id, kind=mark.kind)
            # Sent at once: until the others know, they lose requests on it.
            self._broadcast({"marks": [mark.to_values()]})
            self._fresh_marks.append(mark)

    # List

    def _list_forever(self) -> None:
        while not self._stopping.is_set():
            self.refresh()
            self._pause(self._options.poll_interval_s)

    def refresh(self) -> None:
        """Reads the instance list once; on failure the last list stays in use."""
        try:
            instances = self._list_instances()
        except InstanceListUnavailableError as error:
            self._metrics.count(LIST_FAILED)
            _log.debug("instance list failed", reason=error.message)
            return
        self._nodes.update_list(i for i in instances if i.service == ENTRY_SERVICE)
        marks = self._endpoints.update_list(i for i in instances if i.service != ENTRY_SERVICE)
        self._fresh_marks.extend(marks)
        if marks:
            self._broadcast({"marks": [mark.to_values() for mark in marks]})

    # Load

    def _poll_forever(self) -> None:
        pool = Pool(MAX_POLLS)
        while not self._stopping.is_set():
            for instance in self.assigned():
                pool.spawn(self.poll, instance)
            pool.join()
            self._pause(self._options.poll_interval_s)

    def assigned(self) -> list[Instance]:
        """Returns the engines that this node polls."""
        return [instance for instance in self._own_part(1) if instance.model is not None]

    def _own_part(self, copies: int) -> list[Instance]:
        """Returns this node's part of the endpoints of its zone.

        A zone without a live node is split over the nodes of the other zones.

        :param copies: number of nodes to which each endpoint falls.
        """
        reachable = {*self._peers().connected(), self._options.node_id}
        live = [node for node in self.nodes() if node.id in reachable]
        by_zone: dict[str, list[str]] = {}
        for node in live:
            by_zone.setdefault(node.zone, []).append(node.id)
        everyone = [node.id for node in live]
        return [
            instance
            for instance in self._endpoints.listed()
            if self._options.node_id
            in top_nodes(instance.id, by_zone.get(instance.zone, everyone), copies)
        ]

    def poll(self, instance: Instance) -> None:
        """Reads the load of one engine."""
        self._polls.poll(instance)

    # Deltas

    def _share_forever(self) -> None:
        while not self._stopping.is_set():
            self.share()
            self._pause(DELTA_INTERVAL_S)

    def share(self) -> None:
        """Sends one delta; everything to newly connected nodes and now and then."""
        full = self._is_full_due()
        self._deltas += 1
        marks = self._own_marks() if full else self._fresh_marks
        self._fresh_marks = []
        delta: dict[str, Any] = {}
        if full:
            delta["node"] = self._own_announcement()
        if marks:
            delta["marks"] = [mark.to_values() for mark in marks]
        now = self._clock()
        loads = [load.to_values(now) for load in self._polls.take_unsent(full)]
        self._polls.keep({instance.id for instance in self.assigned()})
        if loads:
            delta["loads"] = loads
        self._reached = self._broadcast(delta)
        if full:
            self._introduced = self._reached

    def _is_full_due(self) -> bool:
        """Returns whether the next delta has to tell everything.

        A node can be connected before broadcasts reach it, because this node has not read of it in
        the list yet; and one that restarts at once is connected all the time. So what counts
        besides is which processes the last delta reached and no full one did.
        """
        connected = self._peers().connected()
        is_changed = connected != self._last_connected
        self._last_connected = connected
        is_news = not self._reached <= self._introduced
        return is_changed or is_news or self._deltas % FULL_EVERY == 0

    def _own_marks(self) -> list[Mark]:
        own = {instance.id for instance in self._own_part(MARK_COPIES)}
        repeated = [mark for mark in self._endpoints.marks() if mark.endpoint_id in own]
        return list(dict.fromkeys([*self._fresh_marks, *repeated]))

    def _broadcast(self, delta: dict[str, Any]) -> frozenset[Any]:
        return self._peers().broadcast(TOPIC, delta)

    def _on_delta(self, node_id: str, delta: dict[str, Any]) -> None:
        if "node" in delta:
            self._nodes.announced(Node(node_id, *delta["node"]))
        for values in delta.get("marks", ()):
            self._endpoints.apply(Mark(*values))
        now = self._clock()
        for values in delta.get("loads", ()):
            self._endpoints.report(Load.from_values(values, now))

    def _own_node(self) -> Node:
        return Node(self._options.node_id, *self._own_announcement())

    def _own_announcement(self) -> list[Any]:
        options = self._options
        listed_leaving = any(
            node.id == options.node_id and node.draining for node in self._nodes.nodes()
        )
        draining = self._draining or listed_leaving
        peer_address = options.peer_advertise or self._peers().address
        caller_address = options.caller_advertise or options.caller_listen
        return [options.incarnation, options.zone, caller_address, peer_address, draining]

    def _pause(self, seconds: float) -> None:
        # Jitter keeps nodes that started together from polling together.
        self._stopping.wait(seconds * self._random.uniform(0.8, 1.2))
