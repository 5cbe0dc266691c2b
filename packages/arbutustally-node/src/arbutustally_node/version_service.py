"""Service ``versions``: picks weights versions, trips on own evidence, runs moves under a lease."""

from dataclasses import asdict, astuple
from datetime import UTC, datetime
from time import time
from typing import Any, Protocol

from gevent import sleep, spawn

from arbutustally.breaker import Breaker, Trip
from arbutustally.clock import Clock, monotonic
from arbutustally.engine_client import EngineClient, Order
from arbutustally.errors import LogUnavailableError, ModelUnknownError, RouterError
from arbutustally.evidence import EvidenceKey, Sample, Tally
from arbutustally.logs import get_logger
from arbutustally.metrics import declare
from arbutustally.records import MoveStep, Record
from arbutustally.versions import (
    EndpointVersions,
    FleetEvidence,
    MoveController,
    MoveView,
    OrderLoad,
    WriteStep,
    pick_version,
)
from arbutustally_node.kernel import Kernel
from arbutustally_node.lease_hold import LeaseHold
from arbutustally_node.options import Options

TRIPPED = declare(
    "versions.tripped", "a version was stopped on own evidence; see the move's evidence in status"
)
ORDER_FAILED = declare(
    "versions.order_failed", "an endpoint did not take a load order; check its weights and fencing"
)

#: Interval between two steps of the controllers and two reports of evidence, in seconds.
STEP_INTERVAL_S = 1.0
#: Longest wait for the answer to a load order, in seconds.
ORDER_TIMEOUT_S = 5.0
#: Time after which an unanswered load counts as failed and is ordered again, in seconds.
LOAD_TIMEOUT_S = 30.0
#: Tokens of work to which a time to first token is scaled; below that, latency dominates.
WORK_UNIT_TOKENS = 1000.0
TRIP_TOPIC = "trip"
EVIDENCE_TOPIC = "evidence"


class OrderSender(Protocol):
    """Sends orders to endpoints; raises a ``RouterError`` when one is not taken."""

    def order(self, address: str, order: Order) -> None:
        """Sends an order to the endpoint at ``address``."""


class VersionService:
    """Versions in use, evidence on them and the moves between them.

    :param kernel: finds ``log``, ``membership``, ``peers`` and ``metrics``.
    :param engines: sends orders, see ``arbutustally.engine_client``.
    :param lease_s: duration of a lease in seconds.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, kernel: Kernel, engines: OrderSender, lease_s: float, clock: Clock = monotonic
    ) -> None:
        self._kernel = kernel
        self._engines = engines
        self._lease_s = lease_s
        self._clock = clock
        self._breaker = Breaker()
        self._controllers: dict[str, MoveController] = {}
        self._leases: dict[str, LeaseHold] = {}
        self._acquired: dict[str, tuple[int, float]] = {}
        self._fleet: dict[str, dict[EvidenceKey, Tally]] = {}
        self._loading: dict[tuple[str, str], float] = {}
        self._greenlet: Any = None
        self._log = get_logger("versions")

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "VersionService":
        """Builds the service."""
        engines = EngineClient.from_config(options.endpoint_connect_timeout_s, ORDER_TIMEOUT_S)
        return cls(kernel, engines, options.lease_s)

    def start(self) -> None:
        """Subscribes to trips, evidence and moves, and starts the controllers."""
        peers = self._kernel.lookup("peers")
        peers.subscribe(TRIP_TOPIC, self._on_trip)
        peers.subscribe(EVIDENCE_TOPIC, self._on_evidence)
        self._kernel.lookup("log").subscribe(self._on_record)
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stops the controllers and releases their leases."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        for lease in self._leases.values():
            lease.stop()
        self._leases.clear()

    def pick(self, model: str, request_id: str) -> str:
        """Returns the weights version that runs the request.

        :raises ModelUnknownError: if the model is not declared.
        """
        wanted = self._wanted(model).version
        move = self._move(model)
        tripped = move is not None and self._stopped(model, move)
        return pick_version(model, request_id, move, wanted, tripped)

    def observe(
        self,
        model: str,
        version: str,
        class_name: str,
        route: str,
        ok: bool,
        first_token_s: float | None,
        gap_s: float | None,
        work_tokens: float | None = None,
    ) -> None:
        """Takes the result of an answer as evidence; may trip the breaker.

        :param gap_s: mean time between tokens in seconds.
        :param work_tokens: tokens computed before the first token, ``Choice.work_tokens``; with it
            a cold cache does not look like a slow version.
        """
        key = EvidenceKey(model, version, class_name, route)
        sample = Sample(ok, per_work(first_token_s, work_tokens), gap_s)
        trip = self._breaker.observe(key, sample, self._previous(model, version))
        if trip is not None:
            self._kernel.lookup("metrics").count(TRIPPED)
            self._log.warning("version stopped", reason=trip.describe())
            spawn(self._tell, TRIP_TOPIC, asdict(trip))

    def moves(self) -> list[dict[str, Any]]:
        """Returns the last step of each model's move and the local trips, for the status."""
        result = []
        for model in self._kernel.lookup("log").state.declarations.models:
            move = self._move(model)
            if move is None:
                continue
            trip = self._breaker.tripped(model, move.version)
            result.append(
                {
                    "model": model,
                    "version": move.version,
                    "previous": move.previous,
                    "step": move.step,
                    "share": move.share,
                    "evidence": dict(move.evidence),
                    "tripped": trip.describe() if trip else "",
                }
            )
        return result

    def _wanted(self, model: str) -> Any:
        models = self._kernel.lookup("log").state.declarations.models
        if model not in models:
            raise ModelUnknownError(
                f"model {model} is not declared; GET /v1/models lists the models"
            )
        return models[model]

    def _move(self, model: str) -> Any:
        return self._kernel.lookup("log").state.move(model)

    def _stopped(self, model: str, move: Any) -> bool:
        """Returns whether the breaker tripped and the old version can still take the traffic."""
        if self._breaker.tripped(model, move.version) is None:
            return False
        return move.step != "done" or any(
            move.previous in entry.versions for entry in self._endpoints(model)
        )

    def _previous(self, model: str, version: str) -> str:
        move = self._move(model)
        return move.previous if move is not None and move.version == version else ""

    def _on_trip(self, node_id: str, payload: Any) -> None:
        try:
            trip = Trip(**{**payload, "key": EvidenceKey(**payload["key"])})
        except (TypeError, KeyError) as error:
            self._log.warning("trip of a peer is malformed", peer=node_id, error=str(error))
            return
        self._breaker.trip(trip)

    def _on_evidence(self, node_id: str, payload: Any) -> None:
        try:
            tallies = {
                EvidenceKey(*entry["key"]): Tally(**entry["tally"]) for entry in payload["tallies"]
            }
        except (TypeError, KeyError) as error:
            self._log.warning("evidence of a peer is malformed", peer=node_id, error=str(error))
            return
        self._fleet[node_id] = tallies

    def _on_record(self, _offset: int, record: Record | None, verdict: Any) -> None:
        if record is None or not isinstance(record.body, MoveStep) or not verdict.accepted:
            return
        if record.body.step == "started":
            self._breaker.reset(record.body.model, record.body.version)
            self._fleet.clear()

    def _tell(self, topic: str, payload: Any) -> None:
        self._kernel.lookup("peers").broadcast(topic, payload)

    def _run(self) -> None:
        while True:
            sleep(STEP_INTERVAL_S)
            try:
                self._report_evidence()
                self.step()
            except RouterError as error:
                self._log.warning("move step failed", code=error.code, error=error.message)

    def _report_evidence(self) -> None:
        tallies = {}
        for model in self._kernel.lookup("log").state.declarations.models:
            move = self._move(model)
            if move is None or move.step not in ("started", "raised", "done"):
                continue
            for version in (move.version, move.previous):
                tallies.update(self._breaker.tallies(model, version))
        if tallies:
            entries = [
                {"key": list(astuple(key)), "tally": asdict(tally)}
                for key, tally in tallies.items()
            ]
            self._tell(EVIDENCE_TOPIC, {"tallies": entries})

    def step(self) -> None:
        """Runs one step of each move that this node controls."""
        for model, declared in self._kernel.lookup("log").state.declarations.models.items():
            lease = self._lease(model)
            if not lease.valid():
                self._acquired.pop(model, None)
                self._controllers.pop(model, None)
                continue
            controller = self._controllers.setdefault(model, MoveController())
            view = self._view(model, declared, lease)
            for action in controller.step(view, self._evidence(model), self._clock()):
                # The lease is checked before each effect: this greenlet may have been paused.
                if lease.valid():
                    self._act(model, action)

    def _lease(self, model: str) -> LeaseHold:
        if model not in self._leases:
            self._leases[model] = self._kernel.lookup("log").hold(f"move/{model}")
            self._leases[model].start()
        return self._leases[model]

    def _acquired_at(self, model: str, lease: LeaseHold) -> float:
        """Returns when this node first saw itself as the holder in the current tenure."""
        epoch, since = self._acquired.get(model, (-1, 0.0))
        if epoch != lease.epoch:
            since = self._clock()
            self._acquired[model] = (lease.epoch, since)
        return since

    def _view(self, model: str, declared: Any, lease: LeaseHold) -> MoveView:
        now = self._clock()
        limit = now - LOAD_TIMEOUT_S
        self._loading = {key: at for key, at in self._loading.items() if at > limit}
        return MoveView(
            model,
            declared.version,
            self._move(model),
            lease.epoch,
            lease.valid(),
            self._acquired_at(model, lease) + self._lease_s + ORDER_TIMEOUT_S,
            _deadline(declared.move_by, now),
            declared.max_concurrent_loads,
            tuple(self._endpoints(model)),
            frozenset(endpoint for endpoint, loading in self._loading if loading == model),
        )

    def _endpoints(self, model: str) -> list[EndpointVersions]:
        declared = self._kernel.lookup("log").state.declarations.endpoints
        return [
            EndpointVersions(
                entry.id,
                frozenset(getattr(entry, "versions", ()) or (entry.version,)),
                entry.service in declared and declared[entry.service].checks_fencing,
            )
            for entry in self._kernel.lookup("membership").endpoints(None, model)
            if not entry.leaving
        ]

    def _evidence(self, model: str) -> FleetEvidence:
        move = self._move(model)
        if move is None:
            return FleetEvidence()
        return FleetEvidence(
            self._sum(model, move.version),
            self._sum(model, move.previous),
            self._breaker.tripped(model, move.version),
        )

    def _sum(self, model: str, version: str) -> dict[EvidenceKey, Tally]:
        total = self._breaker.tallies(model, version)
        for tallies in self._fleet.values():
            for key, tally in tallies.items():
                if (key.model, key.version) == (model, version):
                    total[key] = total.get(key, Tally()).plus(tally)
        return total

    def _act(self, model: str, action: OrderLoad | WriteStep) -> None:
        if isinstance(action, OrderLoad):
            self._loading[(action.endpoint, model)] = self._clock()
            spawn(self._order, model, action)
            return
        try:
            self._kernel.lookup("log").append(action.step)
        except LogUnavailableError as error:
            # The step is decided again from the log's state; a repeated step changes nothing.
            self._log.warning("step not recorded", model=model, error=error.message)

    def _order(self, model: str, action: OrderLoad) -> None:
        addresses = {
            entry.id: entry.address
            for entry in self._kernel.lookup("membership").endpoints(None, model)
        }
        order = Order("load", model, action.version, fence=action.fence)
        try:
            self._engines.order(addresses[action.endpoint], order)
        except (RouterError, KeyError) as error:
            self._kernel.lookup("metrics").count(ORDER_FAILED)
            self._log.warning("load order failed", endpoint=action.endpoint, error=str(error))
            self._loading.pop((action.endpoint, model), None)


def per_work(seconds: float | None, work_tokens: float | None) -> float | None:
    """Returns the time to first token for ``WORK_UNIT_TOKENS`` of work."""
    if seconds is None or work_tokens is None:
        return seconds
    return seconds * WORK_UNIT_TOKENS / max(work_tokens, WORK_UNIT_TOKENS)


def _deadline(move_by: str | None, now: float) -> float | None:
    """Converts ``move_by`` (ISO 8601) to a monotonic instant."""
    if not move_by:
        return None
    instant = datetime.fromisoformat(move_by)
    if instant.tzinfo is None:
        instant = instant.replace(tzinfo=UTC)
    return now + instant.timestamp() - time()
