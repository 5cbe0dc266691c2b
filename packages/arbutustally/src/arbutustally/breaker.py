"""Circuit breaker: stops a version whose responses are worse than those of the old version."""

from dataclasses import dataclass

from arbutustally.clock import Clock, monotonic
from arbutustally.evidence import EvidenceKey, Sample, Tally
from arbutustally.trips import FAILURES, SLOW_TOKENS, Accepted, Trip, judge_tally
from arbutustally.version_responses import VersionResponses

#: Concurrent responses of the old version that suffice to decide whether a slow new version is at
#: fault.
CONTROL_RESPONSES = 20
#: Time after which a doubt ends without new responses, seconds.
DOUBT_S = 10.0


@dataclass(frozen=True)
class Report:
    """Counts of one node for one version, class and route.

    :ivar recent: its last responses, at most ``version_responses.RECENT_RESPONSES``; of the old
        version those during the recent ones of the version on trial.
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
        self._records: dict[EvidenceKey, VersionResponses] = {}
        self._peer_reports: dict[EvidenceKey, dict[str, Report]] = {}
        self._trips: dict[tuple[str, str], Trip] = {}
        self._doubts: dict[EvidenceKey, float] = {}

    def observe(self, key: EvidenceKey, sample: Sample, previous: str = "") -> Trip | None:
        """Adds a response and compares the version with the old one.

        :param previous: the old version; empty if the version is not on trial.
        :returns: the trip, if this response caused it.
        """
        record = self._records.setdefault(key, VersionResponses())
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
