"""Orders engines to load the weights that the operator named last.

One node at a time sends orders, under a lease that is held only while some engine has outdated
weights. The ready nodes are ranked. The first one claims the lease as soon as it sees outdated
weights, each further one after a delay that grows with its rank, and only if no peer reports that
it holds the lease.
"""

import math
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.attempts import RepeatLedger
from arbutustally.gateway.configuration import RouteKind
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.weights import (
    LOAD_CHECK_S,
    MAX_DRAIN_S,
    STEP_PAUSE_S,
    are_overloaded,
    breaks_runs_off,
    is_drained,
    loads_at_once,
    loads_in_step,
    plan_loads,
    record_order,
    unrepeatable_runs,
)
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.order_lease import OrderLease
from arbutustally_node.gateway.ports import EngineControl, LoadOrder, OrderReply
from arbutustally_node.gateway.supervision import supervise

#: Key from which all nodes derive the same ranking of the nodes that may order engines to load.
LOADS_DUTY = b"loads"
#: Poll interval while some engine has outdated weights, seconds.
STEP_S = 0.1
#: Poll interval while all engines are current, seconds.
IDLE_STEP_S = 0.2
#: Additional delay per rank before a node claims the lease, seconds.
RANK_DELAY_S = 0.4
#: Number of nodes ranked after the first that also poll another holder's lease, to take over soon
#: after it expires.
STANDBY_NODES = 2
#: Delays before a retry, seconds: after the store was unavailable, and after a failed claim.
STORE_RETRY_S = 0.5
CLAIM_RETRY_S = 0.3
#: Delay from an order to the first poll of its engine, and interval of further polls, seconds.
FIRST_POLL_S = 0.4
POLL_S = 0.15
#: Interval at which an engine that is draining before a load is checked, seconds.
DRAIN_CHECK_INTERVAL_S = 0.05
#: Initial estimate of the time for which loading weights makes an engine unavailable, seconds, and
#: the weight of each measured duration in its moving average.
INITIAL_LOAD_S = 2.5
LOAD_GAIN = 0.3


class WeightsService:
    """Updates engines to the weights that the operator named last, while this node has the lease.

    :param weights_s: time after which replaced weights are no longer allowed, seconds.
    :param wait_s: returns the expected wait at an engine, seconds.
    :param on_unreachable: called for an engine that does not answer.
    :param repeats: budget for requests that are repeated elsewhere after an engine aborts them.
    """

    def __init__(
        self,
        view: FleetView,
        gossip: Gossip,
        lease: OrderLease,
        engines: EngineControl,
        log: DecisionLog,
        clock: Clock,
        weights_s: float,
        wait_s: Callable[[EndpointState], float],
        on_unreachable: Callable[[EndpointState], None],
        repeats: RepeatLedger,
    ) -> None:
        self._view = view
        self._gossip = gossip
        self._lease = lease
        self._engines = engines
        self._log = log
        self._clock = clock
        self._weights_s = weights_s
        self._wait_s = wait_s
        self._load_estimate_s = INITIAL_LOAD_S
        self._step_at = -math.inf
        self._on_unreachable = on_unreachable
        self._repeats = repeats
        self._outdated_since: float | None = None
        self._loading_engines: set[str] = set()
        self._polled_at: dict[str, float] = {}
        self._is_renewing = False
        self._is_stopping = False
        self._greenlet: Any = None

    @property
    def is_holder(self) -> bool:
        """Returns whether this node may send orders now."""
        return self._lease.is_held

    def start(self) -> None:
        """Starts watching for engines with outdated weights."""
        self._greenlet = supervise(self._log, "weights", self._run)

    def stop(self) -> None:
        """Stops ordering and releases the lease."""
        self._is_stopping = True
        self._release()
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while not self._is_stopping:
            try:
                is_busy = self._step()
            except StoreUnavailableError as error:
                self._log.line("weights_lease_unknown", reason=error.message)
                gevent.sleep(STORE_RETRY_S)
                continue
            gevent.sleep(STEP_S if is_busy else IDLE_STEP_S)

    def _step(self) -> bool:
        outdated = self._outdated_models()
        if not outdated:
            self._outdated_since = None
            self._release()
            self._poll_lease()
            return False
        now = self._clock()
        if self._outdated_since is None:
            self._outdated_since = now
        if not self.is_holder:
            if now - self._outdated_since < self._gossip.rank(LOADS_DUTY) * RANK_DELAY_S:
                return True
            if self._gossip.has_order_lease_holder:
                self._poll_lease(True)
                return True
            if not self._lease.claim():
                gevent.sleep(CLAIM_RETRY_S)
                return True
        elif self._lease.must_renew and not self._is_renewing:
            self._is_renewing = True
            gevent.spawn(self._renew)
        for model, named in outdated:
            self._order(model, named)
        return True

    def _renew(self) -> None:
        """Renews the lease in its own greenlet; orders are sent meanwhile while it is valid."""
        try:
            self._lease.renew()
        except StoreUnavailableError as error:
            self._log.line("weights_lease_not_renewed", reason=error.message)
        finally:
            self._is_renewing = False

    def _release(self) -> None:
        if self.is_holder and not self._loading_engines:
            self._lease.release()

    def _poll_lease(self, has_holder: bool = False) -> None:
        """Polls the lease of another holder if this node is ranked among the first.

        :param has_holder: whether a peer reports that it holds the lease; if none does, the lease
            is polled only if it may not have been released.
        """
        may_claim = self._gossip.rank(LOADS_DUTY) <= STANDBY_NODES
        if not self.is_holder and may_claim and (has_holder or self._lease.is_open):
            self._lease.poll()

    def _outdated_models(self) -> list[tuple[str, int]]:
        """Returns each model that some available engine runs with outdated weights.

        The second value is the version that the operator named last.
        """
        return [
            (model, named.version)
            for model, named in self._view.weights.items()
            if any(
                state.weights.get(model, 0) < named.version
                and not state.is_down
                and self._clock() >= max(state.suspect_until, state.paused_until)
                for state in self._engines_of(model)
            )
        ]

    def _engines_of(self, model: str) -> list[EndpointState]:
        return [
            state
            for state in self._view.book.all()
            if model in state.weights
            and state.gone_at is None
            and not (state.is_leaving or state.is_replaced)
        ]

    def _order(self, model: str, named: int) -> None:
        now = self._clock()
        if now - self._step_at < STEP_PAUSE_S:
            return
        states = self._engines_of(model)
        plan = plan_loads(states, model, named, self._load_limit(states, model, named), now)
        chosen = [engine for engine in plan.engines if engine not in self._loading_engines]
        chosen = chosen[: loads_in_step(len(states))]
        if not chosen or not self.is_holder:
            return
        self._step_at = now
        for engine in chosen:
            self._loading_engines.add(engine)
            state = self._view.book.get(engine)
            state.loading = True
            state.loading_until = self._clock() + MAX_DRAIN_S + LOAD_CHECK_S
            gevent.spawn(self._load, state, model)
        self._gossip.send_now()

    def _load_limit(self, states: list[EndpointState], model: str, named: int) -> int:
        """Returns how many engines may load at the same time now."""
        now = self._clock()
        pending = sum(state.weights.get(model, 0) < named for state in states)
        known_at = self._view.weights[model].known_at.get(named, now)
        # A version that was named before this node started may have been named ``weights_s`` ago,
        # so no time is assumed to be left.
        left_s = max(0.0, known_at + self._weights_s - now)
        waits_s = [
            self._wait_s(state) for state in states if not state.loading and not state.is_down
        ]
        configuration = self._view.configuration
        routes = configuration.routes if configuration else ()
        targets_s = [route.target_s for route in routes if route.kind is RouteKind.STREAM]
        is_overloaded = bool(targets_s) and are_overloaded(waits_s, min(targets_s))
        return loads_at_once(len(states), pending, left_s, self._load_estimate_s, is_overloaded)

    def _load(self, state: EndpointState, model: str) -> None:
        """Drains one engine, orders the load and polls the engine until it has loaded."""
        began = self._clock()
        try:
            self._drain(state)
            # A newer version may have been named while the engine was draining.
            named = self._view.weights[model].version
            if self._send_order(state, model, named):
                self._await_load(state, model, named)
                self._load_estimate_s += (self._clock() - began - self._load_estimate_s) * LOAD_GAIN
        finally:
            state.loading = False
            self._loading_engines.discard(state.id)

    def _drain(self, state: EndpointState) -> None:
        """Waits until an engine has few enough requests left, at most ``MAX_DRAIN_S``.

        It gets no new requests meanwhile.
        """
        began = self._clock()
        while not is_drained(state, self._clock() - began, self._unrepeatable(state)):
            gevent.sleep(DRAIN_CHECK_INTERVAL_S)

    def _unrepeatable(self, state: EndpointState) -> int:
        """Returns how many requests of all nodes would be lost if the engine aborted its runs."""
        loading = [one for one in self._view.book.all() if one.loading]
        left = self._repeats.left(state.entry.service)
        return unrepeatable_runs(state, loading, left) + state.peer_unrepeatable

    def _send_order(self, state: EndpointState, model: str, named: int) -> bool:
        report = self._engines.report(state.entry)
        if report is None and self._view.book.is_paused(state):
            return False
        if report is None:
            self._on_unreachable(state)
            self._log.line("engine_report_missing", engine=state.id)
            return False
        self._apply_weights(state, report.weights)
        if report.weights.get(model, 0) >= named or report.is_busy:
            return report.is_busy
        if not self.is_holder:
            return False
        fence = self._lease.fence
        unanswered_before = state.unanswered_orders
        unrepeatable = self._unrepeatable(state)
        breaks_off = breaks_runs_off(state, unrepeatable)
        order = LoadOrder(model, named, report.orders, breaks_off)
        reply = self._engines.load_weights(state.entry, order, self._lease.holder, fence)
        self._log.line(
            "weights_ordered",
            engine=state.id,
            model=model,
            version=named,
            fence=fence,
            orders=report.orders,
            breaks_runs_off=order.breaks_runs_off,
            running=state.total_running,
            unrepeatable=unrepeatable,
            reply=reply,
            unanswered_before=unanswered_before,
        )
        record_order(state, reply != OrderReply.UNKNOWN, self._clock())
        if reply == OrderReply.HOLDS_ALREADY:
            self._apply_weights(state, {model: named})
        if reply == OrderReply.OTHER_ENDPOINT:
            self._view.book.mark_replaced(state)
        if reply == OrderReply.FENCED:
            self._lease.drop()
        return reply in (OrderReply.ACCEPTED, OrderReply.BUSY, OrderReply.UNKNOWN)

    def _await_load(self, state: EndpointState, model: str, named: int) -> None:
        gevent.sleep(FIRST_POLL_S)
        while self._clock() < state.loading_until:
            if state.weights.get(model, 0) >= named or self._view.book.is_paused(state):
                return
            report = self._engines.report(state.entry)
            if report is None:
                return
            self._apply_weights(state, report.weights)
            if not report.is_busy:
                return
            gevent.sleep(POLL_S)

    def poll_weights(self, state: EndpointState) -> None:
        """Asks an engine in the background which weights it runs, at most once per ``POLL_S``."""
        now = self._clock()
        if self._view.book.is_paused(state):
            return
        if now - self._polled_at.get(state.id, 0.0) >= POLL_S:
            self._polled_at[state.id] = now
            gevent.spawn(self._poll_weights, state)

    def _poll_weights(self, state: EndpointState) -> None:
        report = self._engines.report(state.entry)
        if report is not None:
            self._apply_weights(state, report.weights)

    def _apply_weights(self, state: EndpointState, weights: dict[str, int]) -> None:
        for model, version in weights.items():
            # Models that no entry lists have no requests, and their number has no bound.
            if version > state.weights.get(model, version):
                state.weights[model] = version
                self._log.line("engine_weights", engine=state.id, model=model, version=version)
