"""Service ``versions``: picks weights versions and runs moves between them under a lease.

A version is stopped on this node's own evidence, on its peers' evidence or on a trip of a peer.
"""

from datetime import UTC, datetime
from time import time
from typing import Any, Protocol

from gevent import sleep, spawn

from arbutustally.breaker import Breaker
from arbutustally.clock import Clock, monotonic
from arbutustally.engine_client import EngineClient, Order
from arbutustally.errors import LogUnavailableError, ModelUnknownError, RouterError
from arbutustally.evidence import EvidenceKey, Sample
from arbutustally.logs import get_logger
from arbutustally.metrics import declare
from arbutustally.records import MoveStep, Record
from arbutustally.rendezvous import order
from arbutustally.versions import (
    EndpointVersions,
    FleetEvidence,
    MoveController,
    MoveView,
    OrderLoad,
    WriteStep,
    is_control,
    pick_version,
)
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.version_evidence import VersionEvidence

ORDER_FAILED = declare(
    "versions.order_failed", "an endpoint did not take a load order; check its weights and fencing"
)

#: Interval between two steps of the controllers and two reports of evidence, in seconds.
STEP_INTERVAL_S = 0.5
#: Longest wait for the response to a load order, in seconds.
ORDER_TIMEOUT_S = 5.0
#: Time after which an unconfirmed load counts as failed and is ordered again, in seconds.
LOAD_TIMEOUT_S = 30.0
#: Nodes that claim a lease, by rendezvous rank: the second takes over when the first fails.
CLAIMANTS = 2


class OrderSender(Protocol):
    """Sends orders to endpoints; raises a ``RouterError`` when one is not accepted."""

    def order(self, address: str, order: Order) -> None:
        """Sends an order to the endpoint at ``address``."""


class VersionService:
    """Versions in use, evidence on them and the moves between them.

    :param kernel: finds ``log``, ``membership``, ``peers`` and ``metrics``.
    :param engines: sends orders, see ``arbutustally.engine_client``.
    :param node_id: name of this node.
    :param lease_s: duration of a lease in seconds.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        kernel: Kernel,
        engines: OrderSender,
        node_id: str,
        lease_s: float,
        clock: Clock = monotonic,
    ) -> None:
        self._kernel = kernel
        self._node_id = node_id
        self._engines = engines
        self._lease_s = lease_s
        self._clock = clock
        self._breaker = Breaker(clock)
        self._evidence = VersionEvidence(kernel, self._breaker)
        self._controllers: dict[str, MoveController] = {}
        self._holds: dict[str, _Hold] = {}
        self._loading: dict[tuple[str, str], float] = {}
        self._greenlet: Any = None
        self._log = get_logger("versions")

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "VersionService":
        """Builds the service."""
        engines = EngineClient.from_config(options.endpoint_connect_timeout_s, ORDER_TIMEOUT_S)
        return cls(kernel, engines, options.node_id, options.lease_s)

    def start(self) -> None:
        """Subscribes to trips, evidence and moves, and starts the controllers."""
        self._evidence.start()
        self._kernel.lookup("log").subscribe(self._on_record)
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stops the controllers."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        for hold in self._holds.values():
            hold.lease.stop()
        self._holds.clear()

    def pick(self, model: str, request_id: str) -> str:
        """Returns the weights version that runs the request.

        :raises ModelUnknownError: if the model is not declared.
        """
        wanted = self._wanted(model).version
        move = self._move(model)
        if move is None or not move.previous:
            return pick_version(model, request_id, move, wanted, False)
        # This node may read a step before it receives the load reports on which the step is based.
        avoided = self._stopped(model, move) or not self._is_held(model, move.version)
        if not avoided and self._breaker.needs_control(model, move.version):
            avoided = is_control(model, request_id) and self._is_held(model, move.previous)
        return pick_version(model, request_id, move, wanted, avoided)

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
        """Records the result of a response as evidence; may trip the breaker.

        :param gap_s: mean time between tokens in seconds.
        :param work_tokens: tokens to compute before the first token, ``Choice.work_tokens``;
            without them the time to first token is not compared: a cold cache looks like a slow
            version.
        """
        key = EvidenceKey(model, version, class_name, route)
        self._evidence.observe(key, Sample(ok, first_token_s, gap_s, work_tokens))

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
        return move.step != "done" or self._is_held(model, move.previous)

    def _is_held(self, model: str, version: str) -> bool:
        return any(version in entry.versions for entry in self._endpoints(model))

    def _on_record(self, _offset: int, record: Record | None, verdict: Any) -> None:
        if record is None or not isinstance(record.body, MoveStep) or not verdict.accepted:
            return
        if record.body.step == "started":
            self._breaker.reset(record.body.model, record.body.version)

    def _run(self) -> None:
        while True:
            sleep(STEP_INTERVAL_S)
            try:
                self._evidence.report()
                self.step()
            except RouterError as error:
                self._log.warning("move step failed", code=error.code, error=error.message)

    def step(self) -> None:
        """Runs one step of each move that this node controls."""
        models = self._kernel.lookup("log").state.declarations.models
        for model in [name for name in self._holds if name not in models]:
            self._holds.pop(model).lease.stop()
        for model, declared in models.items():
            hold = self._hold(model)
            if not hold.lease.valid():
                self._controllers.pop(model, None)
                continue
            hold.record_tenure(self._clock())
            controller = self._controllers.setdefault(model, MoveController())
            view = self._view(model, declared, hold)
            for action in controller.step(view, self._fleet_evidence(model), self._clock()):
                # The lease is checked before each effect: this greenlet may have been paused.
                if hold.lease.valid():
                    self._act(model, action)

    def _hold(self, model: str) -> "_Hold":
        hold = self._holds.get(model)
        if hold is None:
            name = f"move/{model}"
            lease = self._kernel.lookup("log").hold(name, lambda: self._is_claimant(name))
            hold = _Hold(lease)
            self._holds[model] = hold
            lease.start()
        return hold

    def _is_claimant(self, name: str) -> bool:
        """Returns whether this node is among the ``CLAIMANTS`` that claim a lease."""
        nodes = [node.id for node in self._kernel.lookup("membership").nodes() if not node.draining]
        return self._node_id in order(name.encode(), nodes)[:CLAIMANTS]

    def _view(self, model: str, declared: Any, hold: "_Hold") -> MoveView:
        now = self._clock()
        limit = now - LOAD_TIMEOUT_S
        endpoints = tuple(self._endpoints(model))
        self._loading = {key: at for key, at in self._loading.items() if at > limit}
        return MoveView(
            model,
            declared.version,
            self._move(model),
            hold.lease.epoch,
            hold.lease.valid(),
            hold.seen_at + self._lease_s + ORDER_TIMEOUT_S,
            _deadline(declared.move_by, now),
            declared.max_concurrent_loads,
            endpoints,
            frozenset(endpoint for endpoint, loading in self._loading if loading == model),
        )

    def _endpoints(self, model: str) -> list[EndpointVersions]:
        declared = self._kernel.lookup("log").state.declarations.endpoints
        return [
            EndpointVersions(
                entry.id,
                frozenset(entry.versions or (entry.version,)),
                entry.service in declared and declared[entry.service].checks_fencing,
            )
            for entry in self._states(model)
            if not entry.leaving
        ]

    def _states(self, model: str) -> list[Any]:
        """Returns the endpoints of a model in all services that model routes name."""
        routes = self._kernel.lookup("log").state.declarations.routes.values()
        services = sorted({route.service for route in routes if route.kind == "model"})
        membership = self._kernel.lookup("membership")
        return [entry for name in services for entry in membership.endpoints(name, model)]

    def _fleet_evidence(self, model: str) -> FleetEvidence:
        move = self._move(model)
        if move is None:
            return FleetEvidence()
        return FleetEvidence(
            self._breaker.totals(model, move.version),
            self._breaker.totals(model, move.previous),
            self._breaker.tripped(model, move.version),
        )

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
        addresses = {entry.id: entry.address for entry in self._states(model)}
        command = Order("load", model, action.version, fence=action.fence)
        try:
            self._engines.order(addresses[action.endpoint], command)
        except (RouterError, KeyError) as error:
            self._kernel.lookup("metrics").count(ORDER_FAILED)
            self._log.warning("load order failed", endpoint=action.endpoint, error=str(error))
            self._loading.pop((action.endpoint, model), None)


class _Hold:
    """A lease and when this node first observed its current tenure.

    :param lease: see ``LogService.hold``.
    """

    def __init__(self, lease: Any) -> None:
        self.lease = lease
        self.seen_at = 0.0
        self._epoch = -1

    def record_tenure(self, now: float) -> None:
        """Records the start of a tenure, at or after the time this node read its accepted claim."""
        if self.lease.epoch != self._epoch:
            self._epoch = self.lease.epoch
            self.seen_at = now


def _deadline(move_by: str | None, now: float) -> float | None:
    """Converts ``move_by`` (ISO 8601, UTC by default) to monotonic seconds."""
    if not move_by:
        return None
    instant = datetime.fromisoformat(move_by)
    if instant.tzinfo is None:
        instant = instant.replace(tzinfo=UTC)
    return now + instant.timestamp() - time()
