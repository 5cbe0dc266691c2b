"""What callers must never see, and requests that must not run twice."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from tests.soak.content import answer_body, stream_body
from tests.soak.fleet import BOUNDS, COLD_PER_S, SoakFleet
from tests.soak.notes import Run
from tests.soak.wire import Framing, Headers

#: Statuses that state that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
DENIED = (401, 403, 404)
#: Time for which an engine may work on after the next one has begun, seconds.
OVERLAP_S = 0.4
#: Time before the second run in which nothing may have been disrupted, seconds; the pages'
#: ``stableWindowMs``.
CALM_S = 3.0
#: Time after which a worker that leaves gets nothing new, seconds; the pages' ``drainMs``.
DRAIN_S = 2.0
#: Time after which no request may begin on replaced weights, seconds.
VERSION_S = BOUNDS["versionMs"] / 1000
#: Time after which an evacuated zone gets nothing; the pages' ``evacuateMs``.
EVACUATE_S = 5.0
#: Time after which nodes know that a worker is cold, seconds; its entry may be read that late.
COLD_KNOWN_S = 2.0
#: Most requests to a cold worker in a second; the pages' ``coldOverage`` and ``coldSlack``.
COLD_LIMIT = COLD_PER_S * 1.5 + 5


class Kind(StrEnum):
    """Kinds of requests."""

    BOOK = "book"
    LOOK = "look"
    CHAT = "chat"


@dataclass
class Result:
    """What a caller saw of one request.

    :ivar ip: of the node that was asked.
    :ivar sent_at: when it was sent.
    :ivar status: 0 without an answer.
    :ivar is_whole: the answer came to its end, as its framing says.
    :ivar is_done: the caller waits for nothing more.
    :ivar stray: bytes that are no answer, or belong to none.
    """

    id: str
    kind: Kind
    ip: str
    sent_at: float = 0.0
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    framing: Framing | None = None
    is_whole: bool = False
    is_done: bool = False
    stray: str = ""

    @property
    def is_served(self) -> bool:
        """Returns whether the caller got what it asked for."""
        return self.status == 200 and self.is_whole

    @property
    def is_unmarked(self) -> bool:
        """Returns whether only the end of the connection marks the end of a success."""
        return self.is_served and self.framing is Framing.CLOSE

    def values(self, name: str) -> list[str]:
        """Returns the values of a header, whose name is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def is_short(self, runs: list[Run]) -> bool:
        """Returns whether a success ended early without a marked end, which nobody can tell."""
        return self.is_unmarked and self.body not in map(self._body_of, runs)

    def faults(self, runs: list[Run]) -> Iterator[str]:
        """Yields the promises that the answer breaks.

        :param runs: of the request.
        """
        if self.kind is Kind.BOOK and len(runs) > 1:
            yield f"TWICE ran at {[run.worker for run in runs]}"
        if self.status in NOT_RUN and runs:
            yield f"REFUSED with {self.status}, but ran at {[run.worker for run in runs]}"
        if self.status in DENIED:
            yield f"denied with {self.status}"
        if self.stray:
            yield f"MIXED no answer: {self.stray}"
        if self.status == 200 or self.values("server-stamp"):
            yield from self._faults_of_signed(runs)

    def _faults_of_signed(self, runs: list[Run]) -> Iterator[str]:
        stamps, echoed = self.values("server-stamp"), self.values("request-id")
        run = next((run for run in runs if [run.signature] == stamps), None)
        if run is None:
            yield f"MIXED {self.status} with signature {stamps} that no run of it has, id {echoed}"
            return
        if run.status != self.status:
            yield f"MIXED {self.status}, but the worker answered {run.status}"
        if echoed != [self.id]:
            yield f"MIXED answer of another request {echoed}"
        expected = self._body_of(run)
        rule = "ORDER" if self.kind is Kind.CHAT else "MIXED"
        if not expected.startswith(self.body):
            yield f"{rule} other bytes: ...{self.body[-200:]!r}"
        elif self.is_whole and self.framing is not Framing.CLOSE and self.body != expected:
            got = f"{len(self.body)} of {len(expected)} bytes"
            yield f"{rule} looks complete by {self.framing} with {got}"

    def _body_of(self, run: Run) -> bytes:
        is_stream = self.kind is Kind.CHAT and run.status == 200
        return stream_body(self.id) if is_stream else answer_body(self.id, run.token)


def overlapping_runs(fleet: SoakFleet, result: Result, runs: list[Run]) -> Iterator[str]:
    """Yields the runs of a stream on which two engines worked at the same time for too long.

    A hedge that is left before it has begun to answer does not continue the stream, so the time
    counts until the first of the two engines has ended its work.
    """
    if result.kind is not Kind.CHAT:
        return
    for earlier, later in zip(runs, runs[1:], strict=False):
        worked_s = fleet.worked_s(earlier, later.began, fleet.end_of(later))
        span = later.began - CALM_S, later.began + OVERLAP_S
        # A request that was held up on its way may begin first at the engine that was asked last.
        workers = earlier.worker, later.worker
        if worked_s > OVERLAP_S and fleet.is_in_touch(result.ip, workers, *span):
            lasted_s = fleet.end_of(later) - later.began
            first = "none" if later.first is None else f"after {later.first - later.began:.3f} s"
            where = f"{earlier.worker} and {later.worker} worked side by side for {worked_s:.3f} s"
            yield (
                f"TWICE {where}, the later one {lasted_s:.3f} s, first event {first}, "
                f"at {later.began:.3f}, node {result.ip}"
            )


def late_runs(fleet: SoakFleet, result: Result, runs: list[Run]) -> Iterator[str]:
    """Yields the runs at workers that had left, while store and node were calm since then.

    A request reaches its worker when the worker reads it, so one that waited in a silent worker
    counts. One that was sent in time is late by its fault only if worker and path were sound.
    """
    for run in runs:
        worker = next(one for one in fleet.backends if one.id == run.worker)
        left_at = worker.left.began_before(run.began)
        if left_at is None or run.began < left_at + DRAIN_S:
            continue
        in_time = result.sent_at < left_at + DRAIN_S
        if in_time and not fleet.is_in_touch(
            result.ip, (run.worker,), run.began - CALM_S, run.began
        ):
            continue
        calm = not fleet.store_disrupted.touch(left_at - CALM_S, run.began)
        span = min(left_at, run.began - CALM_S), run.began
        path = fleet.stores[result.ip].harmed
        if calm and not path.touch(*span) and fleet.is_in_touch(result.ip, (), *span):
            yield (
                f"DRAIN ran at {run.worker} {run.began - left_at:.3f} s after it left, "
                f"at {run.began:.3f}, sent at {result.sent_at:.3f}, node {result.ip}"
            )


def outdated_runs(fleet: SoakFleet, result: Result, runs: list[Run]) -> Iterator[str]:
    """Yields the runs that began on older weights after their period, in one calm stretch."""
    for run in runs if result.kind is Kind.CHAT else ():
        named_at = next((at for version, at in fleet.named if version > run.version), math.inf)
        since = max(named_at, fleet.calm_since(run.began) + CALM_S)
        if run.began < since + VERSION_S:
            continue
        if fleet.is_in_touch(result.ip, (run.worker,), run.began - CALM_S, run.began):
            yield (
                f"VERSION ran at {run.worker} on version {run.version} "
                f"{run.began - named_at:.3f} s after a newer one, at {run.began:.3f}, "
                f"sent at {result.sent_at:.3f}, node {result.ip}"
            )


def evacuated_runs(fleet: SoakFleet, result: Result, runs: list[Run]) -> Iterator[str]:
    """Yields the runs at workers whose zone was evacuated.

    The store may be disrupted as soon as the nodes have had the time to read the order. A node that
    has also been disrupted may not know the order, if the store has lost it.
    """
    for run in runs:
        worker = next(one for one in fleet.backends if one.id == run.worker)
        since = worker.evacuated.began_before(run.began)
        if since is None or run.began < since + EVACUATE_S:
            continue
        is_read = not fleet.store_disrupted.touch(since - CALM_S, since + EVACUATE_S)
        is_kept = not fleet.store_disrupted.touch(since - CALM_S, run.began)
        known_from = run.began if is_kept else since
        if is_read and fleet.is_in_touch(result.ip, (run.worker,), known_from - CALM_S, run.began):
            yield (
                f"EVACUATED ran at {run.worker} {run.began - since:.3f} s after its zone was "
                f"evacuated, at {run.began:.3f}, node {result.ip}"
            )


def cold_bursts(fleet: SoakFleet, runs: list[Run]) -> Iterator[str]:
    """Yields the seconds in which a cold worker got too many requests, while all else was calm."""
    for worker in fleet.backends:
        begins = sorted(run.began for run in runs if run.worker == worker.id)
        for at in begins:
            since = worker.cold.began_before(at)
            if since is None or at < since + COLD_KNOWN_S:
                continue
            calm = [fleet.store_disrupted, *(one.harmed for one in fleet.stores.values())]
            is_calm = not any(one.touch(since - CALM_S, at + 1.0) for one in calm)
            in_touch = all(
                fleet.is_in_touch(ip, (worker.id,), since - CALM_S, at + 1.0) for ip in fleet.ips
            )
            # Requests after the end of the cold time do not count.
            count = sum(
                at <= one < at + 1.0 and worker.cold.began_before(one) is not None for one in begins
            )
            if count > COLD_LIMIT and is_calm and in_touch:
                yield f"COLDRATE {count} requests in a second at {worker.id}, from {at:.3f}"
