"""Records of the log with offsets and bounded retention."""

from collections import deque
from collections.abc import Sequence
from itertools import islice
from typing import Any

from arbutustally.clock import Clock


class BelowOldestError(Exception):
    """A read begins below the oldest record kept.

    :ivar oldest: offset at which a read may begin.
    """

    def __init__(self, oldest: int) -> None:
        super().__init__(f"records below offset {oldest} are gone; read from it")
        self.oldest = oldest


class Journal:
    """An append-only sequence of records.

    :param retain_records: most records kept.
    :param retain_s: age in seconds after which a record is dropped.
    """

    def __init__(self, retain_records: int, retain_s: float, clock: Clock) -> None:
        self._retain_records = retain_records
        self._retain_s = retain_s
        self._clock = clock
        self._records: deque[tuple[float, dict[str, Any]]] = deque()
        self._oldest = 0

    @property
    def oldest(self) -> int:
        """Returns the offset of the oldest record kept, the tail if there is none."""
        self._expire()
        return self._oldest

    @property
    def tail(self) -> int:
        """Returns the offset of the next record."""
        return self._oldest + len(self._records)

    def append(self, records: Sequence[dict[str, Any]]) -> int:
        """Appends records in order and returns the offset of the first."""
        first = self.tail
        now = self._clock()
        for number, record in enumerate(records):
            kept = {"offset": first + number, **{n: record[n] for n in ("id", "kind", "body")}}
            self._records.append((now, kept))
        self._expire()
        return first

    def read(self, start: int, limit: int) -> list[dict[str, Any]]:
        """Returns records from an offset on; none if it lies at or beyond the tail.

        :raises BelowOldestError: if records at the offset are gone.
        """
        self._expire()
        if start < self._oldest:
            raise BelowOldestError(self._oldest)
        skip = start - self._oldest
        return [record for _, record in islice(self._records, skip, skip + limit)]

    def _expire(self) -> None:
        limit = self._clock() - self._retain_s
        while self._records and (
            len(self._records) > self._retain_records or self._records[0][0] < limit
        ):
            self._records.popleft()
            self._oldest += 1
