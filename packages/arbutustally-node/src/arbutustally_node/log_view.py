"""The state folded from the log, its subscribers and the latest records kept for peers."""

from collections import deque
from collections.abc import Callable
from itertools import islice

from arbutustally.errors import SnapshotInvalidError
from arbutustally.logs import get_logger
from arbutustally.records import CheckpointPart, Outcome, Record
from arbutustally.state import ControlState
from arbutustally.verdicts import Reason, Verdict, rejected

#: Receives the offset, the record (``None`` if it cannot be decoded) and the verdict; must not
#: block.
Subscriber = Callable[[int, Record | None, Verdict], None]

#: Records kept for peers, so that one that missed some seconds of the log catches up without a
#: whole snapshot.
RECENT_RECORDS = 2048
#: Also limits the kept records by payload, because responses of bookings and parts of checkpoints
#: are large and a limit on the number alone does not bound memory.
RECENT_BYTES = 4 << 20

_log = get_logger("log")


class LogView:
    """Holds the state; every way of changing it checks the order of offsets.

    :param booking_window_s: see ``ControlState``.
    """

    def __init__(self, booking_window_s: float) -> None:
        self._booking_window_s = booking_window_s
        self._state = ControlState(booking_window_s)
        self._recent: deque[tuple[int, Record | None]] = deque()
        self._recent_bytes = 0
        self._subscribers: list[Subscriber] = []
        self._snapshot_subscribers: list[Callable[[], None]] = []

    @property
    def state(self) -> ControlState:
        """Returns the current state."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record to apply."""
        return self._state.offset + 1

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a callback that runs after each record."""
        self._subscribers.append(subscriber)

    def subscribe_snapshot(self, subscriber: Callable[[], None]) -> None:
        """Registers a callback that runs after a snapshot skipped records."""
        self._snapshot_subscribers.append(subscriber)

    def apply(self, offset: int, record: Record | None) -> bool:
        """Applies a record if it is the next one.

        :return: ``False`` if records before it are missing; a record that was already applied is
            ignored and gives ``True``.
        """
        if offset < self.next_offset:
            return True
        if offset > self.next_offset:
            return False
        verdict = self._apply_to_state(offset, record)
        self._keep_recent(offset, record)
        for subscriber in self._subscribers:
            try:
                subscriber(offset, record, verdict)
            except Exception as error:  # One subscriber must not stop the reader
                _log.error("log subscriber failed", offset=offset, error=repr(error))
        return True

    def _keep_recent(self, offset: int, record: Record | None) -> None:
        self._recent.append((offset, record))
        self._recent_bytes += _payload_bytes(record)
        while len(self._recent) > RECENT_RECORDS or self._recent_bytes > RECENT_BYTES:
            _, oldest = self._recent.popleft()
            self._recent_bytes -= _payload_bytes(oldest)

    def _apply_to_state(self, offset: int, record: Record | None) -> Verdict:
        try:
            return self._state.apply(offset, record)
        except Exception as error:  # A record must never stop the reader
            _log.error(
                "applying a log record raised an exception; report this",
                offset=offset,
                error=repr(error),
            )
            return rejected(Reason.MALFORMED)

    def install(self, snapshot: bytes) -> bool:
        """Replaces the state by a snapshot if its offset is higher.

        :return: whether it was installed.
        :raises SnapshotInvalidError: if it is damaged or belongs to another log.
        """
        restored = ControlState.restore(snapshot, self._booking_window_s)
        if restored.offset <= self._state.offset:
            return False
        if restored.version < self._state.version:
            raise SnapshotInvalidError(
                f"the snapshot has version {restored.version}, below {self._state.version}, at a "
                "higher offset; it belongs to another log"
            )
        self._state = restored
        self._recent.clear()
        self._recent_bytes = 0
        for subscriber in self._snapshot_subscribers:
            subscriber()
        _log.info("snapshot installed", offset=restored.offset, version=restored.version)
        return True

    def recent_from(self, start: int, limit: int) -> list[tuple[int, Record | None]] | None:
        """Returns records from an offset on, or ``None`` if some are no longer kept.

        :param limit: largest number of records to return.
        """
        if start >= self.next_offset:
            return []
        if not self._recent or self._recent[0][0] > start:
            return None
        first = start - self._recent[0][0]
        return list(islice(self._recent, first, first + limit))


def _payload_bytes(record: Record | None) -> int:
    """Returns the size in bytes of a response or checkpoint part.

    Only these can be large and numerous; every other record counts as zero.
    """
    body = record.body if record is not None else None
    if isinstance(body, Outcome):
        return len(body.body)
    return len(body.data) if isinstance(body, CheckpointPart) else 0
