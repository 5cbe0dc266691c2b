"""Follows the platform's store: operator's records, endpoints, and other nodes."""

import math
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import HoleFoundError, StoreUnavailableError
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.ports import KeyedTopic, NodeTopic, Platform, Record

#: Longest wait of a read for the next record, seconds.
OPERATOR_WAIT_S = 20.0
#: Pause between two reads of endpoints, whose heartbeats come many times a second, seconds.
ENDPOINT_PAUSE_S = 0.7
ENDPOINT_WAIT_S = 5.0
#: Pause after a failed call, seconds; doubled with each further failure.
RETRY_S = 0.2
MAX_RETRY_S = 1.0
#: Time for which a connection to the store may have been silent before a call on it fails, seconds.
UNNOTICED_S = 3.0


class Follower:
    """Keeps a ``FleetView`` current.

    :param zone: of this node.
    """

    def __init__(
        self,
        platform: Platform,
        view: FleetView,
        gossip: Gossip,
        log: DecisionLog,
        clock: Clock,
        announcement: tuple[str, bytes],
        return_s: float,
    ) -> None:
        self._platform = platform
        self._view = view
        self._gossip = gossip
        self._log = log
        self._clock = clock
        self._announcement = announcement
        self._return_s = return_s
        self._lost_since: float | None = None
        self._greenlets: list[Any] = []

    @property
    def has_store(self) -> bool:
        """Returns whether the last call to the store succeeded."""
        return self._lost_since is None

    def start(self) -> None:
        """Starts following."""
        platform = self._platform
        self._greenlets = [
            gevent.spawn(self._follow, platform.operator_topic, self._operator, OPERATOR_WAIT_S, 0),
            gevent.spawn(
                self._follow,
                platform.endpoint_topic,
                self._endpoints,
                ENDPOINT_WAIT_S,
                ENDPOINT_PAUSE_S,
            ),
            gevent.spawn(self._announce, platform.node_topic),
        ]

    def stop(self) -> None:
        """Stops following and removes this node's record."""
        for greenlet in self._greenlets:
            greenlet.kill()
        try:
            self._platform.node_topic.announce(self._announcement[0], None)
        except StoreUnavailableError as error:
            self._log.line("announcement_not_removed", reason=error.message)

    def _follow(
        self,
        topic: KeyedTopic,
        take: Callable[[tuple[Record, ...], bool, float], None],
        wait_s: float,
        pause_s: float,
    ) -> None:
        offset: int | None = None
        retry_s = RETRY_S
        # Earliest time at which the next records may have been written.
        unread_since = -math.inf
        while True:
            try:
                batch = topic.newest() if offset is None else topic.since(offset, wait_s)
                self._store_answered()
                take(batch.records, offset is None, min(unread_since, self._clock()))
                unread_since = math.inf
                offset = batch.next_offset
                retry_s = RETRY_S
                gevent.sleep(pause_s)
            except HoleFoundError as error:
                self._log.line("store_history_gone", oldest=error.oldest, read_from=offset)
                unread_since = min(unread_since, self._clock() - UNNOTICED_S)
                offset = None
            except StoreUnavailableError as error:
                self._store_failed(error)
                unread_since = min(unread_since, self._clock() - UNNOTICED_S)
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _operator(self, records: tuple[Record, ...], is_whole: bool, known_at: float) -> None:
        for record in records:
            self._view.take_operator(record, "store", known_at)

    def _endpoints(self, records: tuple[Record, ...], is_whole: bool, _known_at: float) -> None:
        if is_whole:
            self._view.replace_endpoints(records, "store")
        else:
            for record in records:
                self._view.take_endpoint(record, "store")
        self._view.forget_gone()

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
                self._store_failed(error)
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _store_failed(self, error: StoreUnavailableError) -> None:
        now = self._clock()
        # Entries may lapse while the store is away and are back some time after its return.
        self._view.book.keep_removed(now + self._return_s)
        if self._lost_since is None:
            self._lost_since = now
            self._log.line("store_lost", reason=error.message)

    def _store_answered(self) -> None:
        if self._lost_since is None:
            return
        lost_s = self._clock() - self._lost_since
        self._lost_since = None
        self._view.book.keep_removed(self._clock() + self._return_s)
        self._log.line("store_regained", lost_s=round(lost_s, 2))
