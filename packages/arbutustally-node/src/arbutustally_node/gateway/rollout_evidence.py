"""Answers of a service's releases as this node sees them, and what the peers tell of theirs.

A node counts answers while a roll-out is judged. An answer is slow if it takes far longer than the
usual ones of the release before on the same route; a run counts as slow as soon as it has taken so
long, since the slowest answers come last.
"""

from collections.abc import Mapping
from dataclasses import astuple, dataclass

from arbutustally.clock import Clock
from arbutustally.evidence import Latencies
from arbutustally.gateway.endpoints import EndpointState
from arbutustally.gateway.rollouts import AnswerTally, RolloutBook, add_tallies

#: Answers of the release before on a route until slowness is judged.
MIN_USUAL = 20
#: Quantile of the usual times and the factor above which an answer is slow.
USUAL_QUANTILE = 0.75
SLOW_FACTOR = 1.5

NEW = "new"
OLD = "old"
#: Begins the names of these totals among those that nodes tell each other.
PREFIX = "\x1f"


@dataclass
class AnswerRun:
    """A request at an endpoint of a service that is judged.

    :ivar extra_s: time that reading the prompt may take at an endpoint with an empty cache.
    """

    service: str
    group: str
    route: str
    began: float
    extra_s: float
    is_slow: bool = False


class RolloutEvidence:
    """Tallies of this node, and their sums with those of the peers."""

    def __init__(self, book: RolloutBook, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._usual: dict[tuple[str, str], Latencies] = {}
        self._running: dict[int, AnswerRun] = {}
        self._own: dict[str, AnswerTally] = {}
        self._heard: dict[str, dict[str, AnswerTally]] = {}

    @property
    def totals(self) -> dict[str, float]:
        """Returns the running totals of this node, to tell the peers."""
        self._note_slow_runs()
        return {
            f"{PREFIX}{name}{PREFIX}{part}": float(count)
            for name, tally in self._own.items()
            for part, count in enumerate(astuple(tally))
            if count
        }

    def heard(self, source: str, totals: Mapping[str, float]) -> None:
        """Takes the running totals of a peer, or of the nodes behind a relay."""
        tallies: dict[str, list[int]] = {}
        for key, count in totals.items():
            name, _, part = key.removeprefix(PREFIX).rpartition(PREFIX)
            if key.startswith(PREFIX) and part in ("0", "1", "2"):
                tallies.setdefault(name, [0, 0, 0])[int(part)] = int(count)
        if tallies:
            self._heard[source] = {name: AnswerTally(*row) for name, row in tallies.items()}

    def tallies(self, service: str, target: str, group: str) -> dict[str, AnswerTally]:
        """Returns the answers of all nodes by route."""
        self._note_slow_runs()
        start = _name(service, target, group, "")
        whole = add_tallies([self._own, *self._heard.values()])
        return {
            name.removeprefix(start): tally
            for name, tally in whole.items()
            if name.startswith(start)
        }

    def began(self, state: EndpointState, route: str, extra_s: float) -> AnswerRun:
        """Notes that a request was sent to an endpoint."""
        service = state.entry.service
        is_new = state.entry.release == self._book.target(service)
        run = AnswerRun(service, NEW if is_new else OLD, route, self._clock(), extra_s)
        if self._book.is_judged(service):
            self._running[id(run)] = run
        return run

    def withdrawn(self, run: AnswerRun) -> None:
        """Notes that a request was ended by this node or its caller."""
        if self._running.pop(id(run), None) is not None and run.is_slow:
            self._add(run, AnswerTally(1))

    def ended(self, run: AnswerRun, is_failed: bool) -> None:
        """Notes an answer, or that there was none."""
        took_s = self._clock() - run.began
        is_judged = self._running.pop(id(run), None) is not None
        if is_judged:
            is_slow = not run.is_slow and self._is_slow(run, took_s)
            self._add(run, AnswerTally(1, int(is_failed), int(is_slow)))
        if run.group == OLD and not is_failed:
            self._usual.setdefault((run.service, run.route), Latencies()).add(took_s)

    def _note_slow_runs(self) -> None:
        now = self._clock()
        for run in self._running.values():
            if not run.is_slow and self._is_slow(run, now - run.began):
                run.is_slow = True
                self._add(run, AnswerTally(slow=1))

    def _is_slow(self, run: AnswerRun, took_s: float) -> bool:
        usual = self._usual.get((run.service, run.route))
        if usual is None or len(usual) < MIN_USUAL:
            return False
        return took_s > usual.quantile(USUAL_QUANTILE) * SLOW_FACTOR + run.extra_s

    def _add(self, run: AnswerRun, tally: AnswerTally) -> None:
        target = self._book.target(run.service) or ""
        name = _name(run.service, target, run.group, run.route)
        self._own[name] = self._own.get(name, AnswerTally()).plus(tally)


def _name(service: str, target: str, group: str, route: str) -> str:
    return f"{service}{PREFIX}{target}{PREFIX}{group}{PREFIX}{route}"
