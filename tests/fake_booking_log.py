"""A platform log with lost responses and late appends, and log services over ``ControlState``."""

from types import SimpleNamespace
from typing import Any

from arbutustally.errors import LogUnavailableError, Ran
from arbutustally.records import Body, wrap
from arbutustally.state import ControlState


class PlatformLog:
    """The records in order, and those that arrive late.

    :ivar fault: what happens to appends: ``lost_answer``, ``late``, ``down`` or nothing.
    """

    def __init__(self) -> None:
        self.records: list[Body] = []
        self.late: list[Body] = []
        self.fault = ""

    def append(self, bodies: list[Body]) -> int:
        """Returns the first offset.

        :raises LogUnavailableError: according to the fault.
        """
        if self.fault == "down":
            raise LogUnavailableError("the log is down; try again later", ran=Ran.MAY_HAVE_RUN)
        if self.fault == "late":
            self.late.extend(bodies)
            raise LogUnavailableError("no answer of the log", ran=Ran.MAY_HAVE_RUN)
        self.records.extend(bodies)
        if self.fault == "lost_answer":
            raise LogUnavailableError("no answer of the log", ran=Ran.MAY_HAVE_RUN)
        return len(self.records) - len(bodies)

    def deliver(self, position: int) -> None:
        """Appends one of the late records."""
        if self.late:
            self.records.append(self.late.pop(position % len(self.late)))


class LogService:
    """The ``log`` service of one node.

    :param after_append: called between the append and its result, as when the node is paused.
    """

    def __init__(self, platform: PlatformLog, after_append: Any) -> None:
        self.ready = True
        self.is_reachable = True
        self.state = ControlState()
        self._platform = platform
        self._after_append = after_append
        self._read = 0
        self._callbacks: list[Any] = []
        self._verdicts: list[Any] = []

    def subscribe(self, callback: Any) -> None:
        self._callbacks.append(callback)

    def subscribe_snapshot(self, callback: Any) -> None:
        return

    def append_many(self, bodies: list[Body]) -> list[Any]:
        first = self._platform.append(bodies)
        self.sync()
        self._after_append()
        return [
            SimpleNamespace(offset=first + n, verdict=self._verdicts[first + n])
            for n in range(len(bodies))
        ]

    def sync(self, upto: int | None = None) -> None:
        """Reads to an offset, or to the tail."""
        while self._read < len(self._platform.records[:upto]):
            offset, record = self._read, wrap(self._platform.records[self._read])
            self._read += 1
            verdict = self.state.apply(offset, record)
            self._verdicts.append(verdict)
            for callback in self._callbacks:
                callback(offset, record, verdict)
