"""Appends claims and outcomes of bookings to the log in batches."""

from collections import deque
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from arbutustally.clock import Clock
from arbutustally.errors import LogUnavailableError, RouterError
from arbutustally.logs import get_logger
from arbutustally.records import Body, Outcome
from arbutustally_node.kernel import Kernel

#: Limits of the time for which records are collected; within them it follows the duration of the
#: last append.
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 1.0
MAX_BATCH_RECORDS = 128
#: Queued records; beyond this the oldest is dropped. The result of a booking whose outcome is
#: dropped stays unknown.
MAX_QUEUED = 8192
RETRY_DELAY_S = 0.5


class PendingAppend:
    """A record that is queued to be appended."""

    def __init__(self, body: Body) -> None:
        self._body = body
        self._result: AsyncResult = AsyncResult()
        self._cancelled = False

    @property
    def body(self) -> Body:
        """Returns the record's body."""
        return self._body

    @property
    def cancelled(self) -> bool:
        """Returns whether the record must not be sent any more."""
        return self._cancelled

    def cancel(self) -> None:
        """Drops the record if it has not been sent yet."""
        self._cancelled = True

    def wait(self, timeout_s: float) -> Any:
        """Waits for the append and returns its ``Appended``.

        :param timeout_s: in seconds.
        :raises LogUnavailableError: if the log did not confirm the append in time.
        """
        try:
            return self._result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise LogUnavailableError(
                "the log did not confirm the append in time; send the request again later"
            ) from None

    def resolve(self, appended: Any) -> None:
        """Passes the result to the waiting caller."""
        self._result.set(appended)

    def fail(self, error: Exception) -> None:
        """Raises an error in the waiting caller."""
        self._result.set_exception(error)


class LogBatcher:
    """Appends all queued records from one greenlet.

    Outcomes are sent again until the log confirms them; a duplicate has no effect. Claims are sent
    once, because their caller stops waiting.

    :param kernel: provides the service ``log``.
    """

    def __init__(self, kernel: Kernel, clock: Clock) -> None:
        self._kernel = kernel
        self._clock = clock
        self._queue: deque[PendingAppend] = deque()
        self._wake = Event()
        self._greenlet: Any = None
        self._interval_s = MIN_INTERVAL_S
        self._logger = get_logger("bookings")

    def start(self) -> None:
        """Starts the greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the greenlet; queued records are lost."""
        if self._greenlet is not None:
            self._greenlet.kill()

    @property
    def waiting(self) -> int:
        """Returns the number of queued records."""
        return len(self._queue)

    def submit(self, body: Body) -> PendingAppend:
        """Queues a record; if the queue is full, its oldest record fails."""
        pending = PendingAppend(body)
        self._queue.append(pending)
        if len(self._queue) > MAX_QUEUED:
            dropped = self._queue.popleft()
            dropped.fail(
                LogUnavailableError("too many records are queued for the log; try again later")
            )
            self._logger.warning(
                "oldest record dropped; the queue for the log is full",
                kind=type(dropped.body).__name__,
            )
        self._wake.set()
        return pending

    def _run(self) -> None:
        while True:
            self._wake.wait()
            gevent.sleep(self._interval_s)
            batch = self._take_batch()
            if batch:
                self._append(batch)

    def _take_batch(self) -> list[PendingAppend]:
        batch: list[PendingAppend] = []
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            pending = self._queue.popleft()
            if not pending.cancelled:
                batch.append(pending)
        if not self._queue:
            self._wake.clear()
        return batch

    def _append(self, batch: list[PendingAppend]) -> None:
        started_at = self._clock()
        try:
            results = self._kernel.lookup("log").append_many([item.body for item in batch])
        except RouterError as error:
            self._handle_failure(batch, error)
            gevent.sleep(RETRY_DELAY_S)
            return
        finally:
            append_s = self._clock() - started_at
            self._interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, append_s))
        for pending, appended in zip(batch, results, strict=True):
            pending.resolve(appended)

    def _handle_failure(self, batch: list[PendingAppend], error: RouterError) -> None:
        for pending in batch:
            if isinstance(pending.body, Outcome) and isinstance(error, LogUnavailableError):
                self._queue.append(pending)
            else:
                pending.fail(error)
        if self._queue:
            self._wake.set()
