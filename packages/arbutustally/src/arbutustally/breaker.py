"""Circuit breaker: stops a version whose responses are worse than those of the old version."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from arbutustally.clock import Clock, monotonic
from arbutustally.evidence import (
    MIN_BASELINE_SAMPLES,
    Evidence,
    EvidenceKey,
    Latencies,
    Sample,
    Tally,
    TallyHistory,
    tail_probability,
)

FAILURES = "failures"
SLOW_FIRST_TOKEN = "slow_first_token"
SLOW_TOKENS = "slow_tokens"
#: Share of failures that is accepted regardless of the old version's share.
TOLERATED_FAILURES = 0.02
#: The breaker trips if bad responses would occur by chance with less than this probability. The
#: test is repeated for every response, so the value is far below the wanted rate of false trips;
#: three failures in five responses are below it.
TRIP_PROBABILITY = 1e-4
#: A response is slow if it takes longer than this multiple of the old version's 95th percentile.
SLOW_FACTOR = 1.5
#: Share of slow responses that is accepted. A good version starts with cold caches on few
#: endpoints, which made 13 of 88 responses slow in the replay; five slow responses in five are
#: below ``TRIP_PROBABILITY``.
TOLERATED_SLOW = 0.15
#: Most responses of a slow version take longer than this multiple of the old version's median. A
#: cold cache makes a third of the responses of a good version slow, as its prefills delay the
#: tokens of other requests, so times between tokens are judged by the median alone.
MEDIAN_FACTOR = 2.0
#: Share of responses above that bound that is accepted.
TOLERATED_ABOVE_MEDIAN = 0.4
#: Latest responses of the new version that are compared; few, so that a fault that begins late is
#: detected quickly.
RECENT_RESPONSES = 40
#: Consecutive responses of the new version that are compared with the last one of the old version;
#: in a longer run that one no longer shows how fast the old version would be at present.
MAX_UNPAIRED_RESPONSES = 11
#: Rule of three: if none of ``n`` responses is slow, the share of slow ones may still be 3/n.
RULE_OF_THREE = 3
#: Concurrent responses of the old version that suffice to decide whether a slow new version is at
#: fault.
CONTROL_RESPONSES = 20
#: Time after which a doubt ends without new responses, seconds.
DOUBT_S = 10.0


@dataclass(frozen=True)
class Trip:
    """Why a version must not be used.

    :ivar reason: ``FAILURES``, ``SLOW_FIRST_TOKEN`` or ``SLOW_TOKENS``.
    :ivar bad: bad responses among ``answers``.
    :ivar answers: responses compared.
    :ivar accepted: share of bad responses that the old version has or that is tolerated.
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
class _JudgedSample:
    """A sample with its comparisons; ``None`` where it could not be compared.

    :ivar paired: at most ``MAX_UNPAIRED_RESPONSES`` responses of the new version, including
        this one, came since the last response of the old version.
    """

    paired: bool
    ok: bool
    slow: bool | None
    above_median: bool | None
    gap_above_median: bool | None


class _VersionRecord:
    """Responses of a version on one class and route."""

    def __init__(self) -> None:
        self.evidence = Evidence()
        self.history = TallyHistory()
        self._recent: deque[tuple[float, _JudgedSample]] = deque(maxlen=RECENT_RESPONSES)
        self._old_responses = 0
        self._unpaired = 0

    def add(self, sample: Sample, now: float) -> None:
        """Adds a response of a version that is not on trial; its own past is the base."""
        self._add(sample, self.evidence, True, now)

    def add_on_trial(self, sample: Sample, old: "_VersionRecord | None", now: float) -> None:
        """Adds a response of a version on trial after comparing it with the old version."""
        old_responses = old.history.total.answers if old else 0
        if old_responses != self._old_responses:
            self._old_responses = old_responses
            self._unpaired = 0
        self._unpaired += 1
        paired = old_responses > 0 and self._unpaired <= MAX_UNPAIRED_RESPONSES
        self._add(sample, old.evidence if old else None, paired, now)

    def _add(self, sample: Sample, base: Evidence | None, paired: bool, now: float) -> None:
        judged = _compare(sample, base, paired)
        self.evidence.add(sample)
        self._recent.append((now, judged))
        self.history.add(now, _count([judged]))

    @property
    def recent(self) -> Tally:
        """Returns the counts of the last responses; unpaired ones count as not compared."""
        return _count(judged for _, judged in self._recent)

    @property
    def recent_compared(self) -> Tally:
        """Returns the counts of the last responses as if all were paired."""
        return _count(replace(judged, paired=True) for _, judged in self._recent)

    @property
    def recent_since(self) -> float:
        """Returns the time of the first of the last responses, infinity without responses."""
        return self._recent[0][0] if self._recent else float("inf")


def _compare(sample: Sample, old: Evidence | None, paired: bool) -> _JudgedSample:
    if old is None:
        return _JudgedSample(paired, sample.ok, None, None, None)
    slowness = old.slowness_of(sample)
    return _JudgedSample(
        paired,
        sample.ok,
        _exceeds(slowness, old.slowness, 0.95, SLOW_FACTOR),
        _exceeds(slowness, old.slowness, 0.5, MEDIAN_FACTOR),
        _exceeds(sample.gap_s, old.gap, 0.5, MEDIAN_FACTOR),
    )


def _exceeds(value: float | None, base: Latencies, share: float, factor: float) -> bool | None:
    if value is None or len(base) < MIN_BASELINE_SAMPLES:
        return None
    return value > base.quantile(share) * factor


def _count(answers: Iterable[_JudgedSample]) -> Tally:
    judged = list(answers)
    paired = [entry for entry in judged if entry.paired]
    return Tally(
        len(judged),
        sum(not entry.ok for entry in judged),
        sum(entry.slow is not None for entry in paired),
        sum(entry.slow is True for entry in paired),
        sum(entry.above_median is True for entry in paired),
        sum(entry.gap_above_median is not None for entry in paired),
        sum(entry.gap_above_median is True for entry in paired),
    )


@dataclass(frozen=True)
class Accepted:
    """Shares of bad responses that are accepted; by default those tolerated of any version."""

    failures: float = TOLERATED_FAILURES
    slow: float = TOLERATED_SLOW
    above_median: float = TOLERATED_ABOVE_MEDIAN
    slow_gaps: float = TOLERATED_ABOVE_MEDIAN

    @classmethod
    def from_old(cls, failure_share: float, concurrent: Tally) -> "Accepted":
        """Returns the shares of the old version, at least the tolerated ones.

        :param failure_share: share of failures of the old version.
        :param concurrent: its concurrent responses, since a busy machine makes both versions slow.
        """
        return cls(
            max(failure_share, TOLERATED_FAILURES),
            max(_highest_share(concurrent.slow, concurrent.timed), TOLERATED_SLOW),
            max(_highest_share(concurrent.above_median, concurrent.timed), TOLERATED_ABOVE_MEDIAN),
            max(_highest_share(concurrent.slow_gaps, concurrent.gapped), TOLERATED_ABOVE_MEDIAN),
        )


def _highest_share(slow: int, answers: int) -> float:
    """Returns the largest share of slow responses that counts allow; 1 without responses."""
    return (slow + RULE_OF_THREE) / (answers + RULE_OF_THREE)


def judge_tally(key: EvidenceKey, tally: Tally, accepted: Accepted) -> Trip | None:
    """Returns a trip if more responses are bad than chance explains, else ``None``."""
    for reason, bad, answers, share in (
        (FAILURES, tally.failures, tally.answers, accepted.failures),
        (SLOW_FIRST_TOKEN, tally.slow, tally.timed, accepted.slow),
        (SLOW_FIRST_TOKEN, tally.above_median, tally.timed, accepted.above_median),
        (SLOW_TOKENS, tally.slow_gaps, tally.gapped, accepted.slow_gaps),
    ):
        if bad and tail_probability(bad, answers, share) < TRIP_PROBABILITY:
            return Trip(key, reason, bad, answers, share)
    return None


@dataclass(frozen=True)
class Report:
    """Counts of one node for one version, class and route.

    :ivar recent: its last responses, at most ``RECENT_RESPONSES``; of the old version those during
        the recent ones of the version on trial.
    :ivar total: all its responses since the version was reset.
    """

    key: EvidenceKey
    recent: Tally
    total: Tally


class Breaker:
    """Compares versions of models by the evidence of this node and of its peers.

    A tripped version stays tripped until ``reset``.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self._clock = clock
        self._records: dict[EvidenceKey, _VersionRecord] = {}
        self._peer_reports: dict[EvidenceKey, dict[str, Report]] = {}
        self._trips: dict[tuple[str, str], Trip] = {}
        self._doubts: dict[EvidenceKey, float] = {}

    def observe(self, key: EvidenceKey, sample: Sample, previous: str = "") -> Trip | None:
        """Adds a response and compares the version with the old one.

        :param previous: the old version; empty if the version is not on trial.
        :returns: the trip, if this response caused it.
        """
        record = self._records.setdefault(key, _VersionRecord())
        if not previous or previous == key.version:
            record.add(sample, self._clock())
            return None
        record.add_on_trial(sample, self._records.get(_with_version(key, previous)), self._clock())
        return self._judge(key, previous)

    def add_peer_reports(self, node: str, reports: list[Report], previous: str = "") -> Trip | None:
        """Applies the counts of a peer, which replace those that it sent before.

        :param previous: as in ``observe``.
        :returns: the trip, if these counts caused it.
        """
        trip = None
        for report in reports:
            self._peer_reports.setdefault(report.key, {})[node] = report
            if previous and previous != report.key.version:
                trip = self._judge(report.key, previous) or trip
        return trip

    def trip(self, trip: Trip) -> None:
        """Stops the version, by this node's evidence or by a trip that a peer reported."""
        self._trips.setdefault((trip.key.model, trip.key.version), trip)

    def tripped(self, model: str, version: str) -> Trip | None:
        """Returns why the version must not be used, or ``None``."""
        return self._trips.get((model, version))

    def needs_control(self, model: str, version: str) -> bool:
        """Returns whether the version is slow and responses of the old one are too few to show why.

        The old version should then receive some requests.
        """
        since = self._clock() - DOUBT_S
        return any(
            (key.model, key.version) == (model, version) and instant >= since
            for key, instant in self._doubts.items()
        )

    def reset(self, model: str, version: str) -> None:
        """Discards evidence and trip of a version, for a new attempt."""
        self._trips.pop((model, version), None)
        for counts in (self._records, self._peer_reports, self._doubts):
            for key in [key for key in counts if (key.model, key.version) == (model, version)]:
                del counts[key]

    def reports(self, model: str, version: str, on_trial: str = "") -> list[Report]:
        """Returns this node's own counts of a version, to be sent to its peers.

        :param on_trial: version on trial, if ``version`` is the old one; then only the responses
            during the recent ones of that version count as recent.
        """
        return [
            Report(
                key,
                self._concurrent_tally(key, on_trial) if on_trial else record.recent,
                record.history.total,
            )
            for key, record in self._records.items()
            if (key.model, key.version) == (model, version)
        ]

    def totals(self, model: str, version: str) -> dict[EvidenceKey, Tally]:
        """Returns the counts of a version over this node and its peers, by class and route."""
        totals: dict[EvidenceKey, Tally] = {}
        peer_reports = [
            report for reports in self._peer_reports.values() for report in reports.values()
        ]
        for report in (*self.reports(model, version), *peer_reports):
            if (report.key.model, report.key.version) == (model, version):
                totals[report.key] = totals.get(report.key, Tally()).plus(report.total)
        return totals

    def _judge(self, key: EvidenceKey, previous: str) -> Trip | None:
        if self.tripped(key.model, key.version):
            return None
        old_key = _with_version(key, previous)
        old = self._records.get(old_key)
        share = old.evidence.failure_share if old else 0.0
        record = self._records.get(key)
        own = record.recent if record else Tally()
        concurrent = self._concurrent_tally(old_key, key.version)
        fleet = _add_recent(own, self._peer_reports.get(key, {}))
        fleet_concurrent = _add_recent(concurrent, self._peer_reports.get(old_key, {}))
        trip = judge_tally(key, own, Accepted.from_old(share, concurrent)) or judge_tally(
            key, fleet, Accepted.from_old(share, fleet_concurrent)
        )
        if trip is not None:
            self.trip(trip)
        elif record is not None:
            self._update_doubt(
                key, judge_tally(key, record.recent_compared, Accepted()), concurrent
            )
        return trip

    def _update_doubt(self, key: EvidenceKey, suspicion: Trip | None, concurrent: Tally) -> None:
        """Records whether more responses of the old version are needed to judge a suspicion.

        :param suspicion: trip that would follow if all responses were paired.
        """
        if suspicion is None or suspicion.reason == FAILURES:
            answers = CONTROL_RESPONSES
        else:
            answers = concurrent.gapped if suspicion.reason == SLOW_TOKENS else concurrent.timed
        if answers < CONTROL_RESPONSES:
            self._doubts[key] = self._clock()
        else:
            self._doubts.pop(key, None)

    def _concurrent_tally(self, old_key: EvidenceKey, version: str) -> Tally:
        """Returns the old version's responses during the recent ones of a version on trial."""
        old = self._records.get(old_key)
        record = self._records.get(_with_version(old_key, version))
        if old is None or record is None:
            return Tally()
        return old.history.since(record.recent_since)


def _with_version(key: EvidenceKey, version: str) -> EvidenceKey:
    """Returns the key of another version on the same class and route."""
    return EvidenceKey(key.model, version, key.class_name, key.route)


def _add_recent(own: Tally, peer_reports: dict[str, Report]) -> Tally:
    for report in peer_reports.values():
        own = own.plus(report.recent)
    return own
