"""Appends records to the log in batches from one greenlet and waits until they are read back."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import gevent
import orjson
from gevent.event import AsyncResult, Event

from arbutustally.clock import Clock
from arbutustally.doubled_delay import doubled_delay_s
from arbutustally.errors import BadRequestError, LogUnavailableError, Ran
from arbutustally.logs import get_logger
from arbutustally.metrics import Metrics, declare
from arbutustally.records import Body, Record, wrap
from arbutustally.verdicts import Verdict

APPEND_RETRIED = declare(
    "retried.log_append", "an append was sent again; look at the log's latency and errors"
)

BATCH_RECORDS = 500
BATCH_BYTES = 1 << 20
#: A larger record would fill a whole batch of every reader.
MAX_RECORD_BYTES = 8 << 20
#: Limits of the interval between two appends under load, in which records collect for the next
#: batch. It grows with the latency of the log.
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 0.5
DEFAULT_TIMEOUT_S = 5.0
_FIRST_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
#: Time after the deadline within which a record that the log accepted in time must be read back.
READ_BACK_GRACE_S = 1.0

_log = get_logger("log_writer")


@dataclass(frozen=True)
class Appended:
    """The result of an append, once this node has read the record back.

    :ivar offset: offset of the record in the log.
    :ivar verdict: verdict of the fold on the record.
    """

    offset: int
    verdict: Verdict


class AppendClient(Protocol):
    """The methods of the log client that the writer uses."""

    def append(self, records: list[Record]) -> int:
        """Appends records and returns the offset of the first one."""


@dataclass
class _Pending:
    """A record to append.

    :ivar size: encoded size in bytes.
    :ivar deadline: when the caller stops waiting, in monotonic seconds.
    :ivar ran: whether the record may have reached the log.
    """

    record: Record
    size: int
    deadline: float
    ran: Ran = Ran.NOT_RUN
    result: AsyncResult = field(default_factory=AsyncResult)


class LogWriter:
    """Sends records until they are read back or their deadline passes.

    If a response is lost, the record is sent again under the same id. The first copy read decides
    the verdict, and the fold ignores later ones.
    """

    def __init__(self, client: AppendClient, clock: Clock, rng: Random, metrics: Metrics) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._queue: deque[_Pending] = deque()
        self._pending: dict[str, _Pending] = {}
        self._wake = Event()
        self._append_latency_s = 0.0
        self._failures = 0
        self._greenlet: gevent.Greenlet | None = None

    @property
    def has_pending(self) -> bool:
        """Returns whether any record has not been read back yet."""
        return bool(self._pending)

    def start(self) -> None:
        """Starts the sending greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops sending; waiting callers get a ``LogUnavailableError``."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        for pending in list(self._pending.values()):
            pending.result.set_exception(_unavailable("the node is stopping", pending.ran))

    def append_many(self, bodies: Sequence[Body], timeout_s: float) -> list[Appended]:
        """Appends records and waits until all of them have been read back.

        :param timeout_s: time for all of them together, in seconds.
        :raises LogUnavailableError: ``not_run`` only if none of them can have reached the log.
        :raises BadRequestError: if a body cannot be encoded.
        """
        deadline = self._clock() + timeout_s
        entries = [_prepare(body, deadline) for body in bodies]
        for entry in entries:
            self._pending[entry.record.id] = entry
        self._queue.extend(entries)
        self._wake.set()
        try:
            return [self._wait(entry) for entry in entries]
        except LogUnavailableError as error:
            if any(entry.ran != Ran.NOT_RUN for entry in entries):
                error.ran = Ran.MAY_HAVE_RUN
            raise
        finally:
            self._forget(entries)

    def _wait(self, entry: _Pending) -> Appended:
        try:
            return entry.result.get(timeout=max(0.0, entry.deadline - self._clock()))
        except gevent.Timeout:
            pass
        if entry.ran != Ran.NOT_RUN:
            try:
                return entry.result.get(timeout=READ_BACK_GRACE_S)
            except gevent.Timeout:
                pass
        raise _unavailable("the log did not confirm the append in time", entry.ran)

    def _forget(self, entries: list[_Pending]) -> None:
        for entry in entries:
            self._pending.pop(entry.record.id, None)
        forgotten_ids = {entry.record.id for entry in entries}
        self._queue = deque(entry for entry in self._queue if entry.record.id not in forgotten_ids)

    def complete(self, offset: int, record: Record | None, verdict: Verdict) -> None:
        """Completes the pending append of a record; subscribed to the view."""
        entry = self._pending.pop(record.id, None) if record is not None else None
        if entry is not None:
            entry.result.set(Appended(offset, verdict))

    def fail_skipped(self) -> None:
        """Fails appends whose records may be among those that a snapshot skipped.

        Their verdicts can no longer be known, and the verdict on a later copy would be misleading.
        """
        for entry in list(self._pending.values()):
            if entry.ran != Ran.NOT_RUN:
                self._pending.pop(entry.record.id, None)
                error = _unavailable("a snapshot skipped records that may include it", entry.ran)
                entry.result.set_exception(error)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            batch = self._take_batch()
            if not batch:
                self._wake.clear()
                continue
            gevent.sleep(self._send(batch))

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        now = self._clock()
        while self._queue and len(batch) < BATCH_RECORDS:
            entry = self._queue[0]
            if batch and size + entry.size > BATCH_BYTES:
                break
            self._queue.popleft()
            if entry.record.id in self._pending and entry.deadline > now:
                batch.append(entry)
                size += entry.size
        return batch

    def _send(self, batch: list[_Pending]) -> float:
        """Sends a batch once.

        :return: seconds to wait before the next batch.
        """
        ran_before = [entry.ran for entry in batch]
        for entry in batch:
            entry.ran = Ran.MAY_HAVE_RUN
        started = self._clock()
        try:
            self._client.append([entry.record for entry in batch])
        except LogUnavailableError as error:
            if error.ran == Ran.NOT_RUN:
                for entry, ran in zip(batch, ran_before, strict=True):
                    entry.ran = ran
            return self._retry(batch, error)
        except Exception as error:  # The writer must survive a fault of the client
            return self._retry(batch, error)
        self._failures = 0
        self._append_latency_s = 0.8 * self._append_latency_s + 0.2 * (self._clock() - started)
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, 2 * self._append_latency_s))

    def _retry(self, batch: list[_Pending], error: Any) -> float:
        self._metrics.count(APPEND_RETRIED)
        _log.warning("append to the log failed; retrying", records=len(batch), error=str(error))
        self._queue.extendleft(reversed(batch))
        self._failures += 1
        longest = doubled_delay_s(_FIRST_RETRY_DELAY_S, self._failures, _MAX_RETRY_DELAY_S)
        return self._rng.uniform(MIN_INTERVAL_S, longest)


def _prepare(body: Body, deadline: float) -> _Pending:
    record = wrap(body)
    try:
        size = len(orjson.dumps(record.encode()))
    except TypeError as error:
        raise BadRequestError(
            f"the record cannot be written as JSON: {error}; correct it"
        ) from None
    if size > MAX_RECORD_BYTES:
        raise BadRequestError(f"the record has {size} bytes; split it below {MAX_RECORD_BYTES}")
    return _Pending(record, size, deadline)


def _unavailable(cause: str, ran: Ran) -> LogUnavailableError:
    remedy = (
        "retry" if ran == Ran.NOT_RUN else "it may have run, so check its effect before you retry"
    )
    return LogUnavailableError(
        f"{cause}; {remedy}",
        ran=ran,
        retry_after_s=_MAX_RETRY_DELAY_S,
    )
