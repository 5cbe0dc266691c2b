"""A platform log with lost answers and late appends, and log services that fold its bookings."""

from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any

from arbutustally.errors import LogUnavailableError, Ran
from arbutustally.records import Body, Claim, Outcome
from tests.fakes import DECLARATIONS


@dataclass(frozen=True)
class Entry:
    """A ``ClaimEntry``."""

    key: str
    request_digest: str
    holder: str
    offset: int
    key_time_s: float
    outcome: Outcome | None = None


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
        self.state = SimpleNamespace(
            declarations=DECLARATIONS, claim=lambda key: self.claims.get(key), version=1
        )
        self.claims: dict[str, Entry] = {}
        self._platform = platform
        self._after_append = after_append
        self._read = 0
        self._callbacks: list[Any] = []
        self._verdicts: list[Any] = []

    def subscribe(self, callback: Any) -> None:
        self._callbacks.append(callback)

    def subscribe_jump(self, callback: Any) -> None:
        return

    def append_many(self, bodies: list[Body]) -> list[Any]:
        first = self._platform.append(bodies)
        self.sync()
        self._after_append()
        return [
            SimpleNamespace(offset=first + n, verdict=self._verdicts[first + n])
            for n in range(len(bodies))
        ]

    def sync(self) -> None:
        """Reads to the tail."""
        while self._read < len(self._platform.records):
            offset, body = self._read, self._platform.records[self._read]
            self._read += 1
            verdict = self._fold(offset, body)
            self._verdicts.append(verdict)
            for callback in self._callbacks:
                callback(offset, SimpleNamespace(id=str(offset), body=body), verdict)

    def _fold(self, offset: int, body: Body) -> Any:
        entry = self.claims.get(body.key)
        accepted = False
        if isinstance(body, Claim):
            free = entry is None or entry.outcome is not None and entry.outcome.ran == "not_run"
            if accepted := free:
                self.claims[body.key] = Entry(
                    body.key, body.request_digest, body.holder, offset, body.key_time_s
                )
        elif entry is not None and entry.offset == body.claim and entry.outcome is None:
            accepted = True
            self.claims[body.key] = replace(entry, outcome=body)
        beaten_by = None if accepted or entry is None else entry.offset
        return SimpleNamespace(accepted=accepted, reason="", beaten_by=beaten_by)
