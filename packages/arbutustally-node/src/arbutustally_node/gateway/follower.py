"""Follows the operator's records in the platform's store, and announces this node there."""

import math
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import HoleFoundError, StoreUnavailableError
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.ports import KeyedTopic, NodeTopic, Platform
from arbutustally_node.gateway.store_watch import StoreWatch

#: Longest wait of a read for the next record, seconds.
WAIT_S = 20.0
#: Pause after a failed call, seconds; doubled with each further failure.
RETRY_S = 0.2
MAX_RETRY_S = 1.0
#: Time for which a connection to the store may have been silent before a call on it fails, seconds.
UNNOTICED_S = 3.0


class Follower:
    """Keeps a ``FleetView`` current with what the operator writes.

    :param announcement: name and value of this node's record.
    """

    def __init__(
        self,
        platform: Platform,
        view: FleetView,
        gossip: Gossip,
        watch: StoreWatch,
        log: DecisionLog,
        clock: Clock,
        announcement: tuple[str, bytes],
    ) -> None:
        self._platform = platform
        self._view = view
        self._gossip = gossip
        self._watch = watch
        self._log = log
        self._clock = clock
        self._announcement = announcement
        self._greenlets: list[Any] = []

    def start(self) -> None:
        """Starts following."""
        self._greenlets = [
            gevent.spawn(self._follow, self._platform.operator_topic),
            gevent.spawn(self._announce, self._platform.node_topic),
        ]

    def stop(self) -> None:
        """Stops following and removes this node's record."""
        for greenlet in self._greenlets:
            greenlet.kill()
        try:
            self._platform.node_topic.announce(self._announcement[0], None)
        except StoreUnavailableError as error:
            self._log.line("announcement_not_removed", reason=error.message)

    def _follow(self, topic: KeyedTopic) -> None:
        offset: int | None = None
        retry_s = RETRY_S
        # Earliest time at which the next records may have been written.
        unread_since = -math.inf
        while True:
            try:
                batch = topic.newest() if offset is None else topic.since(offset, WAIT_S)
                self._watch.answered()
                known_at = min(unread_since, self._clock())
                for record in batch.records:
                    self._view.take_operator(record, "store", known_at)
                unread_since = math.inf
                offset = batch.next_offset
                retry_s = RETRY_S
            except HoleFoundError as error:
                self._log.line("store_history_gone", oldest=error.oldest, read_from=offset)
                unread_since = min(unread_since, self._clock() - UNNOTICED_S)
                offset = None
            except StoreUnavailableError as error:
                self._watch.failed(error)
                unread_since = min(unread_since, self._clock() - UNNOTICED_S)
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _announce(self, topic: NodeTopic) -> None:
        retry_s = RETRY_S
        while True:
            try:
                topic.announce(*self._announcement)
                for record in topic.newest().records:
                    if record.value is not None:
                        self._gossip.introduce(record.value.decode("ascii", "replace"))
                return
            except StoreUnavailableError as error:
                self._watch.failed(error)
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)
