"""Log and count of records that other programs wrote and that can't be read."""

from collections.abc import Callable

from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import Record

#: Refused records that are remembered, to log each once.
MAX_REMEMBERED = 1000
#: Characters of a key in the log.
MAX_LOGGED_KEY = 100


class RefusedRecords:
    """Counts refused records, and logs each once, however often it is written or read again.

    :param count: counts an event.
    """

    def __init__(self, log: DecisionLog, count: Callable[[str], None]) -> None:
        self._log = log
        self._count = count
        self._values: dict[tuple[str, str], int] = {}

    def add(self, event: str, record: Record, source: str) -> None:
        """Counts a refused record.

        :param source: the store, or the peer that sent it.
        """
        self._count(event)
        place, value = (event, record.key), hash(record.value)
        if self._values.get(place) == value:
            return
        if len(self._values) >= MAX_REMEMBERED:
            self._values.clear()
        self._values[place] = value
        self._log.line(event, key=record.key[:MAX_LOGGED_KEY], source=source)
