"""Follows the cache events of engines and part stores."""

from typing import Any

import gevent

from arbutustally.gateway.fleet_size import FleetSize
from arbutustally.gateway.holdings import Holdings
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.ports import CacheEvents
from arbutustally_node.gateway.supervision import supervise

#: Longest wait of one call for changes, seconds.
WAIT_S = 1.0
#: Pause after an answer, so that changes arrive in batches, seconds.
PAUSE_S = 0.2
#: Pause after a call without an answer, seconds.
RETRY_S = 1.0
#: Interval at which greenlets are started for new places and ended for removed ones, seconds.
REVIEW_S = 0.5
#: Fraction of the concurrent calls that a place accepts which the fleet may use.
WATCHER_FRACTION = 0.8


class CacheFollower:
    """Runs one greenlet for each place whose changes this node follows."""

    def __init__(
        self,
        events: CacheEvents,
        view: FleetView,
        holdings: Holdings,
        size: FleetSize,
        log: DecisionLog,
    ) -> None:
        self._events = events
        self._view = view
        self._holdings = holdings
        self._size = size
        self._log = log
        self._greenlets: dict[str, Any] = {}
        self._greenlet: Any = None

    def follows(self, place: str) -> bool:
        """Returns whether this node follows a place's cache, and so learns what the place drops."""
        return place in self._greenlets

    def start(self) -> None:
        """Starts following caches."""
        self._greenlet = supervise(self._log, "caches", self._review)

    def stop(self) -> None:
        """Stops following caches."""
        self._greenlet.kill()
        for greenlet in self._greenlets.values():
            greenlet.kill()

    def _review(self) -> None:
        while True:
            places = self._places()
            for place in [name for name in self._greenlets if name not in places]:
                self._greenlets.pop(place).kill()
                self._holdings.forget(place)
            for place, address in places.items():
                if place not in self._greenlets:
                    self._greenlets[place] = supervise(
                        self._log, "cache_events", self._follow, place, address
                    )
            gevent.sleep(REVIEW_S)

    def _places(self) -> dict[str, str]:
        """Returns the addresses of the places to follow, by place."""
        configuration = self._view.configuration
        if configuration is None:
            return {}
        nodes = self._size.nodes
        places = {}
        for service in configuration.services.values():
            if service.part_store and nodes <= service.part_store.max_watchers * WATCHER_FRACTION:
                places[service.name] = service.part_store.address
            if service.engine and nodes <= service.engine.max_watchers * WATCHER_FRACTION:
                for state in self._view.book.of_service(service.name):
                    if state.gone_at is None:
                        places[state.id] = state.address
        return places

    def _follow(self, place: str, address: str) -> None:
        epoch, since = None, 0
        while True:
            state = self._view.book.get(place)
            if state is not None and self._view.book.is_paused(state):
                gevent.sleep(PAUSE_S)
                continue
            batch = self._events.changes(address, since, WAIT_S)
            if batch is None:
                gevent.sleep(RETRY_S)
                continue
            if epoch is not None and batch.epoch != epoch:
                self._holdings.forget(place)
                self._log.line("cache_emptied", place=place, epoch=batch.epoch)
            if batch.has_gap:
                self._log.line("cache_events_lost", place=place, next=batch.next_number)
            epoch, since = batch.epoch, batch.next_number
            for change in batch.changes:
                if change.is_stored:
                    self._holdings.record_stored(place, change.scope, change.part_id, change.tokens)
                else:
                    self._holdings.record_dropped(
                        place, change.scope, change.part_id, change.tokens
                    )
            gevent.sleep(PAUSE_S)
