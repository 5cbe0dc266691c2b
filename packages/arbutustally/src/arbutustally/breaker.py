"""Circuit breaker: stops a version whose answers are worse than those of the old version."""

from dataclasses import dataclass

from arbutustally.evidence import (
    MIN_BASE_SAMPLES,
    Evidence,
    EvidenceKey,
    Latencies,
    Sample,
    Tally,
    tail_probability,
)

#: Failure share that is accepted whatever the old version shows.
TOLERATED_FAILURES = 0.02
#: Probability under which bad answers are not taken as chance. The test is repeated for every
#: answer, so the value is far below the wanted rate of false trips; three failures in five
#: answers are below it.
TRIP_PROBABILITY = 1e-4
#: A slow answer takes this many times the old version's 95th percentile.
SLOW_FACTOR = 1.5
#: Share of slow answers that is accepted. A good version starts with cold caches on few endpoints,
#: which made 13 of 88 answers slow in the replay; five slow answers in five are below
#: ``TRIP_PROBABILITY``.
TOLERATED_SLOW = 0.15
#: Most answers of a slow version take this many times the old version's median. A cold cache makes
#: a third of the answers of a good version slow, as its prefills stand between the tokens of other
#: requests, so times between tokens are judged by this alone.
MEDIAN_FACTOR = 2.0
#: Share of answers above that bound that is accepted.
TOLERATED_ABOVE_MEDIAN = 0.4
#: Answers of the new version that are compared; few, so that a late fault shows at once.
RECENT = 40


@dataclass(frozen=True)
class Trip:
    """Why a version must not be used.

    :ivar reason: ``failures``, ``slow_first_token`` or ``slow_tokens``.
    :ivar bad: bad answers among ``answers``.
    :ivar answers: answers compared.
    :ivar accepted: share of bad answers that the old version shows or that is tolerated.
    """

    key: EvidenceKey
    reason: str
    bad: int
    answers: int
    accepted: float

    def describe(self) -> str:
        """Returns a sentence for ``explain`` and the log."""
        return (
            f"version {self.key.version} of {self.key.model}: {self.reason} in {self.bad} of "
            f"{self.answers} answers on route {self.key.route}, class {self.key.class_name}; "
            f"accepted share is {self.accepted:.3f}"
        )


@dataclass(frozen=True)
class _Judged:
    """A sample with its comparisons; ``None`` where it could not be compared."""

    ok: bool
    slow: bool | None
    above_median: bool | None
    gap_above_median: bool | None


class _Trial:
    """Answers of a version on one class and route."""

    def __init__(self) -> None:
        self.evidence = Evidence()
        self.judged: list[_Judged] = []
        self.tally = Tally()

    def add(self, sample: Sample, old: Evidence | None) -> None:
        self.evidence.add(sample)
        judged = _compare(sample, old) if old else _Judged(sample.ok, None, None, None)
        self.judged = [*self.judged[1 - RECENT :], judged]
        self.tally = self.tally.plus(_count(self.judged[-1:]))


def _compare(sample: Sample, old: Evidence) -> _Judged:
    slowness = old.slowness_of(sample)
    return _Judged(
        sample.ok,
        _exceeds(slowness, old.slowness, 0.95, SLOW_FACTOR),
        _exceeds(slowness, old.slowness, 0.5, MEDIAN_FACTOR),
        _exceeds(sample.gap_s, old.gap, 0.5, MEDIAN_FACTOR),
    )


def _exceeds(value: float | None, base: Latencies, share: float, factor: float) -> bool | None:
    if value is None or len(base) < MIN_BASE_SAMPLES:
        return None
    return value > base.quantile(share) * factor


def _count(judged: list[_Judged]) -> Tally:
    return Tally(
        len(judged),
        sum(not entry.ok for entry in judged),
        sum(entry.slow is not None for entry in judged),
        sum(entry.slow is True for entry in judged),
        sum(entry.above_median is True for entry in judged),
        sum(entry.gap_above_median is not None for entry in judged),
        sum(entry.gap_above_median is True for entry in judged),
    )


def judge_tally(key: EvidenceKey, tally: Tally, old_failure_share: float) -> Trip | None:
    """Decides whether counts are too bad to be chance.

    :param old_failure_share: failures of the old version on the same class and route.
    """
    accepted = max(old_failure_share, TOLERATED_FAILURES)
    for reason, bad, answers, share in (
        ("failures", tally.failures, tally.answers, accepted),
        ("slow_first_token", tally.slow, tally.timed, TOLERATED_SLOW),
        ("slow_first_token", tally.above_median, tally.timed, TOLERATED_ABOVE_MEDIAN),
        ("slow_tokens", tally.slow_gaps, tally.gapped, TOLERATED_ABOVE_MEDIAN),
    ):
        if bad and tail_probability(bad, answers, share) < TRIP_PROBABILITY:
            return Trip(key, reason, bad, answers, share)
    return None


@dataclass(frozen=True)
class Report:
    """Counts of one node for one version, class and route.

    :ivar recent: its last answers, at most ``RECENT``.
    :ivar total: all its answers since the version was reset.
    """

    key: EvidenceKey
    recent: Tally
    total: Tally


class Breaker:
    """Compares the versions of models on the evidence of this node and of its peers.

    A tripped version stays tripped until ``reset``.
    """

    def __init__(self) -> None:
        self._trials: dict[EvidenceKey, _Trial] = {}
        self._heard: dict[EvidenceKey, dict[str, Report]] = {}
        self._trips: dict[tuple[str, str], Trip] = {}

    def observe(self, key: EvidenceKey, sample: Sample, previous: str = "") -> Trip | None:
        """Adds an answer and compares with the old version.

        :param previous: the old version; empty if the version is not on trial.
        :returns: the trip, if this answer caused it.
        """
        trial = self._trials.setdefault(key, _Trial())
        on_trial = bool(previous) and previous != key.version
        old = self._old(key, previous) if on_trial else None
        trial.add(sample, old)
        return self._judge(key, old) if on_trial else None

    def hear(self, node: str, reports: list[Report], previous: str = "") -> Trip | None:
        """Takes the counts of a peer, which replace those it sent before.

        :param previous: as in ``observe``.
        :returns: the trip, if these counts caused it.
        """
        trip = None
        for report in reports:
            self._heard.setdefault(report.key, {})[node] = report
            if previous and previous != report.key.version:
                trip = self._judge(report.key, self._old(report.key, previous)) or trip
        return trip

    def trip(self, trip: Trip) -> None:
        """Stops the version, on own evidence or on a peer's word."""
        self._trips.setdefault((trip.key.model, trip.key.version), trip)

    def tripped(self, model: str, version: str) -> Trip | None:
        """Returns why the version must not be used, or ``None``."""
        return self._trips.get((model, version))

    def reset(self, model: str, version: str) -> None:
        """Forgets evidence and trip of a version, for a new attempt."""
        self._trips.pop((model, version), None)
        for counts in (self._trials, self._heard):
            for key in [key for key in counts if (key.model, key.version) == (model, version)]:
                del counts[key]

    def reports(self, model: str, version: str) -> list[Report]:
        """Returns this node's own counts of a version, for its peers."""
        return [
            Report(key, _count(trial.judged), trial.tally)
            for key, trial in self._trials.items()
            if (key.model, key.version) == (model, version)
        ]

    def totals(self, model: str, version: str) -> dict[EvidenceKey, Tally]:
        """Returns the counts of a version over this node and its peers, by class and route."""
        totals: dict[EvidenceKey, Tally] = {}
        heard = [report for reports in self._heard.values() for report in reports.values()]
        for report in (*self.reports(model, version), *heard):
            if (report.key.model, report.key.version) == (model, version):
                totals[report.key] = totals.get(report.key, Tally()).plus(report.total)
        return totals

    def _judge(self, key: EvidenceKey, old: Evidence | None) -> Trip | None:
        if self.tripped(key.model, key.version):
            return None
        share = old.failure_share if old else 0.0
        trial = self._trials.get(key)
        own = _count(trial.judged) if trial else Tally()
        fleet = own
        for report in self._heard.get(key, {}).values():
            fleet = fleet.plus(report.recent)
        trip = judge_tally(key, own, share) or judge_tally(key, fleet, share)
        if trip is not None:
            self.trip(trip)
        return trip

    def _old(self, key: EvidenceKey, previous: str) -> Evidence | None:
        trial = self._trials.get(EvidenceKey(key.model, previous, key.class_name, key.route))
        return trial.evidence if trial else None
