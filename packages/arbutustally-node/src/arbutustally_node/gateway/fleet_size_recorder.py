"""Keeps the size of the fleet in the platform's store, for nodes that start."""

import math
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.fleet_size import MAX_NODES, FleetSize
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import Batch, StatusTopic
from arbutustally_node.gateway.supervision import supervise

#: Key of the record in its topic; the value is the number of nodes in decimal digits.
KEY = "nodes"
#: Interval at which the number of sharing nodes is compared with the last one, seconds.
COMPARE_S = 0.1
#: Interval at which the writer compares the size with the record, seconds.
CHECK_S = 0.5
#: Interval at which the writer reads the record again, seconds: while the nodes find each other,
#: two of them may take themselves for the writer.
CONFIRM_S = 10.0
#: Delay before the first retry of a failed call, seconds; doubles up to ``MAX_RETRY_S``.
RETRY_S = 0.2
MAX_RETRY_S = 2.0
#: Digits of the longest value that is read.
MAX_DIGITS = len(str(MAX_NODES))


class FleetSizeRecorder:
    """Reads the recorded size once after the start; one node writes it when it changes.

    :param is_writer: returns whether this node writes for the fleet now.
    :param on_change: called after the number of sharing nodes has changed.
    """

    def __init__(
        self,
        topic: StatusTopic,
        size: FleetSize,
        log: DecisionLog,
        clock: Clock,
        is_writer: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._topic = topic
        self._size = size
        self._log = log
        self._clock = clock
        self._is_writer = is_writer
        self._on_change = on_change
        self._sharing = size.sharing_nodes
        self._is_read = False
        self._stored: int | None = None
        self._confirmed_at = -math.inf
        self._greenlets: list[Any] = []

    def start(self) -> None:
        """Starts reading, watching and writing the size."""
        self._greenlets = [
            supervise(self._log, "fleet_size", self._watch),
            supervise(self._log, "fleet_size_record", self._run),
        ]

    def stop(self) -> None:
        """Stops."""
        for greenlet in self._greenlets:
            greenlet.kill()

    def era_changed(self, _era: int) -> None:
        """Has the record read again: the store may have lost it."""
        self._confirmed_at = -math.inf

    def _watch(self) -> None:
        while True:
            self._compare()
            gevent.sleep(COMPARE_S)

    def _compare(self) -> None:
        nodes = self._size.sharing_nodes
        if nodes == self._sharing:
            return
        self._sharing = nodes
        heard, recorded = self._size.heard, self._size.recorded
        self._log.line("fleet_size", nodes=nodes, heard=heard, recorded=recorded)
        self._on_change()

    def _run(self) -> None:
        retry_s = RETRY_S
        while True:
            try:
                self._step()
                retry_s = RETRY_S
                gevent.sleep(CHECK_S)
            except StoreUnavailableError:
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _step(self) -> None:
        if not self._is_read:
            self._read_first()
        if not self._is_writer():
            self._confirmed_at = -math.inf
            return
        is_confirmed = self._clock() - self._confirmed_at < CONFIRM_S
        if is_confirmed and self._stored == self._size.nodes:
            return
        self._read()
        nodes = self._size.nodes
        if self._stored != nodes:
            self._topic.put(KEY, str(nodes).encode())
            self._stored = nodes

    def _read_first(self) -> None:
        self._read()
        self._is_read = True
        if self._stored is not None:
            self._size.record_read(self._stored)
            self._compare()

    def _read(self) -> None:
        self._stored = _recorded_size(self._topic.newest())
        self._confirmed_at = self._clock()


def _recorded_size(batch: Batch) -> int | None:
    """Returns the size in the topic, ``None`` if it has none that can be used."""
    for record in batch.records:
        if record.key == KEY and record.value is not None and len(record.value) <= MAX_DIGITS:
            nodes = int(record.value) if record.value.isdigit() else 0
            return nodes if 0 < nodes <= MAX_NODES else None
    return None
