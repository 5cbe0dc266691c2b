"""What workers note on disk of their runs and orders, so that a kill loses nothing.

Times are those of the machine's monotonic clock, which all processes share.
"""

import os
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

from tests.soak.content import signature


@dataclass(frozen=True)
class Run:
    """A run of a request at a worker.

    :ivar token: unique per run.
    :ivar status: with which the worker answers.
    :ivar ended: ``None`` if the worker noted no end, as one that was killed.
    :ivar first: when the first event of a stream was sent, ``None`` without one.
    :ivar version: of the worker's weights when the run began.
    """

    id: str
    worker: str
    token: str
    status: int
    began: float
    ended: float | None = None
    first: float | None = None
    version: int = 1

    @property
    def signature(self) -> str:
        """Returns what the worker signs the answer of this run with."""
        return signature(self.worker, self.token)


@dataclass(frozen=True)
class Order:
    """An order that an engine accepted.

    :ivar fence: fencing number.
    :ivar holder: of the lease.
    """

    fence: int
    version: int
    holder: str


class NoteWriter:
    """Appends lines to the notes of one worker."""

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def write(self, *words: object) -> None:
        """Appends a line."""
        os.write(self._file, (" ".join(map(str, words)) + "\n").encode())

    def begin(self, request_id: str, token: str, status: int, version: int) -> None:
        """Notes that a run begins on a version of the weights."""
        self.write("begin", request_id, token, status, time.monotonic(), version)

    def first(self, request_id: str, token: str) -> None:
        """Notes that the first event of a stream is sent."""
        self.write("first", request_id, token, time.monotonic())

    def end(self, request_id: str, token: str) -> None:
        """Notes that the worker no longer works on a run."""
        self.write("end", request_id, token, time.monotonic())


class Notes:
    """The notes of all workers of a fleet.

    :ivar changed: ids of requests whose body was not the caller's.
    :ivar spoils: how many answers were spoiled in each way.
    """

    def __init__(self, directory: Path) -> None:
        self._began: dict[tuple[str, str], Run] = {}
        self.orders: dict[str, list[Order]] = {}
        self.changed: list[str] = []
        self.spoils: Counter[str] = Counter()
        for path in sorted(directory.glob("*.ran")):
            for line in path.read_text().splitlines():
                self._add(path.stem, *line.split())

    def _add(self, worker: str, word: str, *values: str) -> None:
        if word == "begin":
            request_id, token, status, at, version = values
            run = Run(request_id, worker, token, int(status), float(at), version=int(version))
            self._began[worker, token] = run
        elif word in ("first", "end"):
            _id, token, at = values
            run, field = self._began[worker, token], "first" if word == "first" else "ended"
            self._began[worker, token] = replace(run, **{field: float(at)})
        elif word == "order":
            fence, version, holder = values
            self.orders.setdefault(worker, []).append(Order(int(fence), int(version), holder))
        elif word == "changed":
            self.changed.append(values[0])
        else:
            self.spoils.update(values)

    def runs(self) -> dict[str, list[Run]]:
        """Returns the runs of each request, in the order in which they began."""
        found: dict[str, list[Run]] = {}
        for run in sorted(self._began.values(), key=lambda run: run.began):
            found.setdefault(run.id, []).append(run)
        return found
