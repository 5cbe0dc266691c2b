"""Evidence on versions: this node's own and that of its peers, and trips of the breaker."""

from dataclasses import asdict, astuple
from typing import Any

from gevent import spawn

from arbutustally.breaker import Breaker, Report
from arbutustally.evidence import EvidenceKey, Sample, Tally
from arbutustally.logs import get_logger
from arbutustally.metrics import declare
from arbutustally.trips import Trip
from arbutustally_node.kernel import Kernel

TRIPPED = declare(
    "versions.tripped", "a version was stopped on own evidence; see the move's evidence in status"
)

TRIP_TOPIC = "trip"
EVIDENCE_TOPIC = "evidence"


class VersionEvidence:
    """Passes evidence to the breaker and exchanges it with the peers.

    :param kernel: finds ``log``, ``peers`` and ``metrics``.
    """

    def __init__(self, kernel: Kernel, breaker: Breaker) -> None:
        self._kernel = kernel
        self._breaker = breaker
        self._log = get_logger("versions")

    def start(self) -> None:
        """Subscribes to the trips and the evidence of the peers."""
        peers = self._kernel.lookup("peers")
        peers.subscribe(TRIP_TOPIC, self._on_trip)
        peers.subscribe(EVIDENCE_TOPIC, self._on_evidence)

    def observe(self, key: EvidenceKey, sample: Sample) -> None:
        """Records the result of a response; may trip the breaker."""
        previous = self._previous(key.model, key.version)
        self._record_trip(self._breaker.observe(key, sample, previous))
        if not sample.ok and previous:
            # A failure of a new version is sent at once, so that all nodes stop it together.
            spawn(self._send_reports, self._reports(key.model, key.version, previous))

    def report(self) -> None:
        """Sends the counts of each model that moves to the peers."""
        reports: list[Report] = []
        for model in self._kernel.lookup("log").state.declarations.models:
            move = self._move(model)
            if move is None or move.step not in ("started", "raised", "done"):
                continue
            reports.extend(self._reports(model, move.version, move.previous))
        self._send_reports(reports)

    def _on_trip(self, node_id: str, payload: Any) -> None:
        try:
            trip = Trip(**{**payload, "key": EvidenceKey(**payload["key"])})
        except (TypeError, KeyError) as error:
            self._log.warning("trip of a peer is malformed", peer=node_id, error=str(error))
            return
        self._breaker.trip(trip)

    def _on_evidence(self, node_id: str, payload: Any) -> None:
        try:
            reports = [
                Report(EvidenceKey(*entry["key"]), Tally(*entry["recent"]), Tally(*entry["total"]))
                for entry in payload["reports"]
            ]
        except (TypeError, KeyError) as error:
            self._log.warning("evidence of a peer is malformed", peer=node_id, error=str(error))
            return
        for report in reports:
            key = report.key
            previous = self._previous(key.model, key.version)
            self._record_trip(self._breaker.add_peer_reports(node_id, [report], previous))

    def _record_trip(self, trip: Trip | None) -> None:
        if trip is None:
            return
        self._kernel.lookup("metrics").count(TRIPPED)
        self._log.warning("version stopped", reason=trip.describe())
        spawn(self._broadcast, TRIP_TOPIC, asdict(trip))

    def _broadcast(self, topic: str, payload: Any) -> None:
        self._kernel.lookup("peers").broadcast(topic, payload)

    def _reports(self, model: str, version: str, previous: str) -> list[Report]:
        """Returns the counts of both versions; the previous one's come first, as the baseline."""
        return [
            *self._breaker.reports(model, previous, version),
            *self._breaker.reports(model, version),
        ]

    def _send_reports(self, reports: list[Report]) -> None:
        if not reports:
            return
        entries = [
            {
                "key": list(astuple(report.key)),
                "recent": list(astuple(report.recent)),
                "total": list(astuple(report.total)),
            }
            for report in reports
        ]
        self._broadcast(EVIDENCE_TOPIC, {"reports": entries})

    def _move(self, model: str) -> Any:
        return self._kernel.lookup("log").state.move(model)

    def _previous(self, model: str, version: str) -> str:
        move = self._move(model)
        return move.previous if move is not None and move.version == version else ""
