"""Reads the log by long polling and searches it for a checkpoint when records are missing."""

from collections.abc import Callable
from random import Random
from typing import Protocol

import gevent
from gevent.event import Event

from arbutustally.checkpoint import CheckpointAssembler
from arbutustally.clock import Clock
from arbutustally.doubled_delay import doubled_delay_s
from arbutustally.errors import HoleFoundError, LogUnavailableError, SnapshotInvalidError
from arbutustally.log_client import ReadResult
from arbutustally.logs import get_logger
from arbutustally.metrics import Metrics, declare
from arbutustally.records import CheckpointPart, Record
from arbutustally_node.log_view import LogView

READ_RETRIED = declare(
    "retried.log_read", "a read of the log failed and is repeated; look at the log"
)
HOLE_FOUND = declare(
    "retried.log_hole", "records were missing and a checkpoint is awaited; raise the retention"
)

BATCH_RECORDS = 1000
_FIRST_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0
#: Pause after a read at the tail, so that records of other nodes are read in groups. With one read
#: per record, a node would transfer more bytes of HTTP headers than of records.
TAIL_PAUSE_S = 0.2
#: If the last confirmation is older than this many longest waits of a poll, the process is taken
#: to have been paused.
_PAUSED_POLLS = 2.0
#: Pause after an empty response that did not wait for records, to avoid a busy loop.
_EMPTY_PAUSE_S = 0.05

_log = get_logger("log_reader")


class ReadClient(Protocol):
    """The methods of the log client that the reader uses."""

    def read(self, start: int, limit: int, wait_s: float) -> ReadResult:
        """Reads up to ``limit`` records, waiting up to ``wait_s`` seconds for the first one."""


class _Scan:
    """A search for a checkpoint from the oldest record of the log."""

    def __init__(self, oldest: int) -> None:
        self.next = oldest
        self.oldest = oldest
        self.assembler = CheckpointAssembler()

    def advance(self, oldest: int) -> None:
        """Skips records that the log has dropped since."""
        self.oldest = max(self.oldest, oldest)
        self.next = max(self.next, oldest)


class LogReader:
    """Applies records to the view in log order.

    :param wait_s: longest wait of a poll in seconds; it bounds the age of the last confirmation of
        the tail.
    :param has_pending_appends: returns whether a record of this node is to be read back; the
        reader then does not pause.
    """

    def __init__(
        self,
        client: ReadClient,
        view: LogView,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
        wait_s: float,
        has_pending_appends: Callable[[], bool],
    ) -> None:
        self._client = client
        self._view = view
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._wait_s = wait_s
        self._has_pending_appends = has_pending_appends
        self._pause_skipped = Event()
        self._scan: _Scan | None = None
        self._confirmed_at = float("-inf")
        self._failures = 0
        self._at_tail = False
        self._greenlet: gevent.Greenlet | None = None

    @property
    def confirmed_at(self) -> float:
        """Returns when the last read that reached the tail was sent, in monotonic seconds."""
        return self._confirmed_at

    @property
    def is_scanning(self) -> bool:
        """Returns whether records are missing and a checkpoint is searched for."""
        return self._scan is not None

    @property
    def is_failing(self) -> bool:
        """Returns whether the last read failed."""
        return self._failures > 0

    def start(self) -> None:
        """Starts the reading greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops reading."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def _run(self) -> None:
        while True:
            pause_s = self.step()
            self._pause_skipped.clear()
            if not self._has_pending_appends() or self._failures or self._scan is not None:
                self._pause_skipped.wait(pause_s)
            gevent.sleep(0)

    def skip_pause(self) -> None:
        """Ends a pause between reads, because this node is about to append a record.

        A pause after a failed read is not cut short.
        """
        if not self._failures:
            self._pause_skipped.set()

    def step(self) -> float:
        """Reads once.

        :return: seconds to pause before the next read.
        """
        scan = self._current_scan()
        start = scan.next if scan is not None else self._view.next_offset
        sent_at = self._clock()
        wait_s = self._wait_s if self._is_confirmed(sent_at) else 0.0
        try:
            result = self._client.read(start, BATCH_RECORDS, wait_s)
            if result.oldest > start:
                raise HoleFoundError(
                    "the response of the log starts at a later offset", oldest=result.oldest
                )
        except HoleFoundError as error:
            return self._handle_missing(start, error)
        except LogUnavailableError as error:
            return self._retry(error)
        except Exception as error:  # The reader must survive a fault of the client
            return self._retry(error)
        if result.next < start:
            # The log lost its tail. The state keeps what was accepted, and reading continues once
            # the log has grown past this offset again.
            return self._retry(f"the log ends at {result.next}, below {start}")
        self._failures = 0
        if scan is not None:
            return self._search(scan, result)
        return self._follow(start, result, sent_at)

    def _is_confirmed(self, now: float) -> bool:
        """Returns whether the next read may wait for records.

        At the start, after a failure and after a pause of the process, the read does not wait, so
        that it confirms the tail at once.
        """
        return self._at_tail and now - self._confirmed_at <= _PAUSED_POLLS * self._wait_s

    def _current_scan(self) -> _Scan | None:
        """Returns the search in progress; ends it once a snapshot has closed the gap."""
        if self._scan is not None and self._view.next_offset >= self._scan.oldest:
            self._scan = None
        return self._scan

    def _follow(self, start: int, result: ReadResult, sent_at: float) -> float:
        expected = start
        for offset, record in result.records:
            if offset != expected or not self._view.apply(offset, record):
                return self._handle_missing(
                    start, HoleFoundError("offsets are missing", oldest=offset)
                )
            expected += 1
        was_at_tail = self._at_tail
        self._at_tail = len(result.records) < BATCH_RECORDS
        if self._at_tail:
            self._confirmed_at = sent_at
        if result.records and self._at_tail:
            return TAIL_PAUSE_S
        if was_at_tail and not result.records and self._clock() - sent_at < _EMPTY_PAUSE_S:
            return _EMPTY_PAUSE_S
        return 0.0

    def _handle_missing(self, start: int, error: HoleFoundError) -> float:
        self._metrics.count(HOLE_FOUND)
        self._at_tail = False
        _log.warning(
            "records are missing from the log; searching for a checkpoint",
            start=start,
            oldest=error.oldest,
        )
        if self._scan is None:
            self._scan = _Scan(error.oldest)
        self._scan.advance(error.oldest)
        return self._rng.uniform(0, _FIRST_RETRY_DELAY_S)

    def _search(self, scan: _Scan, result: ReadResult) -> float:
        scan.advance(result.oldest)
        for _, record in result.records:
            self._collect(scan, record)
            if self._current_scan() is None:
                return 0.0
        scan.next = max(scan.next, result.next)
        return 0.0 if result.records else _EMPTY_PAUSE_S

    def _collect(self, scan: _Scan, record: Record | None) -> None:
        if record is None or not isinstance(record.body, CheckpointPart):
            return
        part = record.body
        try:
            snapshot = scan.assembler.add(part)
            if snapshot is not None:
                self._view.install(snapshot)
        except SnapshotInvalidError as error:
            _log.error("invalid checkpoint ignored", upto=part.upto, error=error.message)

    def _retry(self, error: object) -> float:
        self._metrics.count(READ_RETRIED)
        self._at_tail = False
        if not self._failures:
            _log.warning("read of the log failed; retrying", error=str(error))
        self._failures += 1
        longest = doubled_delay_s(_FIRST_RETRY_DELAY_S, self._failures, _MAX_RETRY_DELAY_S)
        return self._rng.uniform(_FIRST_RETRY_DELAY_S / 2, longest)
