"""Keeps the names of the accounts that were isolated in the platform's store."""

from collections.abc import Callable
from typing import Any

import gevent

from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.isolation_history import IsolationHistory
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import StatusTopic
from arbutustally_node.gateway.supervision import supervise

#: Interval at which new names are looked for, seconds. A name is written while its account is still
#: isolated, so it is there before a node can start without knowing it.
CHECK_S = 0.5
#: Delay before the first retry of a failed call, seconds; doubles up to ``MAX_RETRY_S``.
RETRY_S = 0.2
MAX_RETRY_S = 2.0
_VALUE = b"1"


class IsolationRecorder:
    """Reads the names once, and writes those that the store lacks.

    Two nodes may write the same name: the topic keeps one record for each.

    :param is_writer: returns whether this node writes for the fleet now.
    """

    def __init__(
        self,
        topic: StatusTopic,
        history: IsolationHistory,
        log: DecisionLog,
        is_writer: Callable[[], bool],
    ) -> None:
        self._topic = topic
        self._history = history
        self._log = log
        self._is_writer = is_writer
        self._stored: set[str] | None = None
        self._has_failed = False
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts reading and writing."""
        self._greenlet = supervise(self._log, "isolation", self._run)

    def stop(self) -> None:
        """Stops reading and writing."""
        self._greenlet.kill()

    def era_changed(self, _era: int) -> None:
        """Has the names read again: the store may have lost some."""
        self._stored = None

    def _run(self) -> None:
        retry_s = RETRY_S
        while True:
            try:
                self._step()
                retry_s = RETRY_S
                self._has_failed = False
                gevent.sleep(CHECK_S)
            except StoreUnavailableError as error:
                if not self._has_failed:
                    self._log.line("isolated_accounts_unread", reason=error.message)
                self._has_failed = True
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _step(self) -> None:
        if self._stored is None:
            self._read()
        missing = [name for name in self._history.names if name not in self._stored]
        if not missing or not self._is_writer():
            return
        # Another node may have written them.
        self._read()
        for name in missing:
            if name not in self._stored:
                self._topic.put(name, _VALUE)
                self._stored.add(name)
                self._log.line("isolated_account_recorded", account=name)

    def _read(self) -> None:
        stored = {record.key for record in self._topic.newest().records if record.value}
        for name in sorted(stored):
            self._history.add(name)
        self._history.complete()
        self._stored = stored
