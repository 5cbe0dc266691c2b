"""Tallies of a service's canary and baseline answers, of this node and as reported by its peers.

A node counts answers and their durations while a roll-out is judged. A run that takes far longer
than the baseline's runs on its route is counted before it ends, with its duration so far, since the
slowest answers arrive last.
"""

import math
from collections.abc import Mapping
from dataclasses import astuple, dataclass, fields

from arbutustally.clock import Clock
from arbutustally.evidence import Latencies
from arbutustally.gateway.answer_tallies import AnswerTally, add_tallies
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.release_comparison import MIN_BASELINE_TIMES
from arbutustally.gateway.rollout_book import RolloutBook

#: Quantile of the baseline's durations with which a run that has not ended is compared.
BASELINE_QUANTILE = 0.75
#: Multiple of that quantile from which a run is counted before it has ended.
LONG_RUN_FACTOR = 1.5
#: Largest fraction of an answer's duration that is attributed to reading the prompt with a cold cache.
COLD_CACHE_FRACTION = 0.5

#: Groups of answers, by the names used in messages between nodes.
CANARY = "new"
BASELINE = "old"
#: Last parts of the totals' names, one per field of a tally in their order.
_PARTS = tuple(str(number) for number in range(len(fields(AnswerTally))))
#: Separates the parts of these totals' names. It also begins the names, to distinguish them from the
#: accounts' totals in the same messages.
SEPARATOR = "\x1f"


@dataclass
class AnswerRun:
    """A request at an endpoint of a service that is judged.

    :ivar trial: name of the trial in which it began, see ``RolloutBook.trial``.
    :ivar began: start time on this node's clock, seconds.
    :ivar prompt_read_s: time that reading the prompt may take at an endpoint with an empty cache,
        seconds.
    :ivar counted_early: tally that was counted before the run ended, ``None`` if none was.
    """

    service: str
    trial: str
    group: str
    route: str
    began: float
    prompt_read_s: float
    counted_early: AnswerTally | None = None

    def tally(self, now: float) -> AnswerTally:
        """Returns the run's duration so far as a tally, less the part due to a cold cache."""
        duration_s = now - self.began
        cold_s = (
            min(self.prompt_read_s, duration_s * COLD_CACHE_FRACTION)
            if self.group == CANARY
            else 0.0
        )
        return AnswerTally.of_time(duration_s - cold_s)


class RolloutEvidence:
    """Tallies of this node, and their sums with the tallies of the peers."""

    def __init__(self, book: RolloutBook, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._baseline_times: dict[tuple[str, str], Latencies] = {}
        self._running: dict[int, AnswerRun] = {}
        self._own_tallies: dict[str, AnswerTally] = {}
        self._peer_totals: dict[str, dict[str, AnswerTally]] = {}

    @property
    def totals(self) -> dict[str, float]:
        """Returns the running totals of this node, to send to the peers."""
        self._count_long_runs()
        return {
            f"{SEPARATOR}{name}{SEPARATOR}{part}": float(count)
            for name, tally in self._own_tallies.items()
            for part, count in enumerate(astuple(tally))
            if count
        }

    def set_peer_totals(self, source: str, totals: Mapping[str, float]) -> None:
        """Replaces the running totals of a peer, or of the nodes behind a relay."""
        rows: dict[str, list[float]] = {}
        for key, count in totals.items():
            name, _, part = key.removeprefix(SEPARATOR).rpartition(SEPARATOR)
            if key.startswith(SEPARATOR) and part in _PARTS:
                rows.setdefault(name, [0.0] * len(_PARTS))[_PARTS.index(part)] = count
        if rows:
            self._peer_totals[source] = {name: AnswerTally(*row) for name, row in rows.items()}

    def tallies(self, service: str, trial: str, group: str) -> dict[str, AnswerTally]:
        """Returns the tallies of all nodes' answers in a trial by route."""
        self._count_long_runs()
        start = _name(service, trial, group, "")
        all_tallies = add_tallies([self._own_tallies, *self._peer_totals.values()])
        return {
            name.removeprefix(start): tally
            for name, tally in all_tallies.items()
            if name.startswith(start)
        }

    def began(self, state: EndpointState, route: str, prompt_read_s: float) -> AnswerRun:
        """Records that a request was sent to an endpoint."""
        service = state.entry.service
        trial = self._book.trial(service)
        group = CANARY if self._book.is_canary(state) else BASELINE
        run = AnswerRun(service, trial, group, route, self._clock(), prompt_read_s)
        if self._book.is_judged(service):
            self._running[id(run)] = run
        return run

    def withdrawn(self, run: AnswerRun) -> None:
        """Records that this node or the caller ended a request; an early tally stays counted."""
        self._running.pop(id(run), None)

    def ended(self, run: AnswerRun, is_failed: bool) -> None:
        """Records the end of a run.

        :param is_failed: the endpoint failed or gave no answer.
        """
        now = self._clock()
        if self._running.pop(id(run), None) is not None:
            self._add(run, AnswerTally(answers=1, failures=int(is_failed)))
            if not is_failed:
                self._add(run, run.tally(now).minus(run.counted_early or AnswerTally()))
                self._count_usual_run(run)
        if run.group == BASELINE and not is_failed:
            times = self._baseline_times.setdefault((run.service, run.route), Latencies())
            times.add(now - run.began)

    def _count_long_runs(self) -> None:
        now = self._clock()
        for run in self._running.values():
            if run.counted_early is None and now - run.began > self._long_run_s(run):
                run.counted_early = run.tally(now)
                self._add(run, run.counted_early)
                self._add(run, AnswerTally(aged=1, long=1))

    def _count_usual_run(self, run: AnswerRun) -> None:
        if run.counted_early is None and math.isfinite(self._long_run_s(run)):
            self._add(run, AnswerTally(aged=1))

    def longest_usual_s(self, service: str) -> float:
        """Returns the time after which every usual run of a service has ended, seconds.

        0 if this node knows too few runs of the baseline.
        """
        return max(
            (
                times.quantile(BASELINE_QUANTILE) * LONG_RUN_FACTOR
                for (name, _route), times in self._baseline_times.items()
                if name == service and len(times) >= MIN_BASELINE_TIMES
            ),
            default=0.0,
        )

    def _long_run_s(self, run: AnswerRun) -> float:
        times = self._baseline_times.get((run.service, run.route))
        if times is None or len(times) < MIN_BASELINE_TIMES:
            return math.inf
        return times.quantile(BASELINE_QUANTILE) * LONG_RUN_FACTOR + run.prompt_read_s

    def _add(self, run: AnswerRun, tally: AnswerTally) -> None:
        name = _name(run.service, run.trial, run.group, run.route)
        self._own_tallies[name] = self._own_tallies.get(name, AnswerTally()).plus(tally)


def _name(service: str, trial: str, group: str, route: str) -> str:
    return f"{service}{SEPARATOR}{trial}{SEPARATOR}{group}{SEPARATOR}{route}"
