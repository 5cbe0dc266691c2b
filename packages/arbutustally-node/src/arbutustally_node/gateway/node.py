"""A gateway node: runs its services, and stops without interrupting requests."""

import secrets
from collections.abc import Sequence
from typing import Any

import gevent
from bottle import Bottle
from gevent.event import Event

from arbutustally.clock import boottime
from arbutustally.gateway.entry_nodes import addresses_for
from arbutustally.gateway.stop_plan import StopPlan
from arbutustally_node.collector import tune_collector
from arbutustally_node.gateway.node_services import NodeServices, build_services
from arbutustally_node.gateway.ports import GatewayOptions, Platform
from arbutustally_node.gateway.preview import Preview, add_explain
from arbutustally_node.gateway.web import (
    directory_app,
    metrics_app,
    ready_app,
    serve,
    snapshot_app,
)

#: Time for which callers may cache an answer with addresses, seconds.
DIRECTORY_TTL_S = 1.0
STOP_POLL_S = 0.05


class GatewayNode:
    """One node with all its services.

    :param options: settings of the node.
    :param platform: adapter of the platform.
    """

    def __init__(self, options: GatewayOptions, platform: Platform, services: NodeServices) -> None:
        self._options = options
        self._platform = platform
        self._services = services
        self._log = services.state.log
        self._view = services.state.view
        self._status = services.status
        self._gossip = services.gossip
        self._endpoints = services.store.endpoints
        self._weights = services.weights
        self._exchange = services.exchange
        self._listener = services.listener
        self._stopping = Event()
        self._stop_plan: StopPlan | None = None
        self._web: list[Any] = []

    @classmethod
    def from_config(cls, options: GatewayOptions, platform: Platform) -> "GatewayNode":
        """Builds a node without starting it."""
        return cls(options, platform, build_services(options, platform, secrets.token_hex(6)))

    def request_stop(self, signalled_at: float | None = None) -> None:
        """Requests that the node drain and stop; a further request changes nothing.

        :param signalled_at: when the signal to stop was noted, steady seconds, ``None`` for now.
        """
        if self._stop_plan is not None:
            return
        began = boottime() if signalled_at is None else signalled_at
        self._stop_plan = StopPlan.from_config(began, self._options.bounds.grace_s, self._ttl_s)
        self._exchange.plan_stop(self._stop_plan)
        self._stopping.set()

    def reload(self, options: GatewayOptions) -> None:
        """Applies the settings that can change while the node runs: the seeds."""
        self._add_seeds(options.seeds)
        self._log.line("settings_reloaded", seeds=len(options.seeds))

    def reload_failed(self, reason: str) -> None:
        """Logs that changed settings were refused; the old ones stay in force."""
        self._log.line("settings_refused", reason=reason)

    def run(self) -> None:
        """Serves until a stop is requested, then drains."""
        self.start()
        self._stopping.wait()
        self.drain()
        self.stop()

    def start(self) -> None:
        """Starts all services."""
        # Seeds come first: a node without them treats itself as the only one of the fleet, and
        # then counts as settled for the rest of its life.
        self._add_seeds(self._options.seeds)
        self._services.kernel.start()
        self._web = self._serve_web()
        self._services.catch_up.start()
        tune_collector()
        self._log.line("node_started", zone=self._options.zone, callers=self._options.caller_listen)

    def is_ready(self) -> bool:
        """Returns whether callers should use this node."""
        return self._status.is_ready

    def drain(self) -> None:
        """Serves callers that still have this node's address, then waits for running requests."""
        self.request_stop()
        plan = self._stop_plan
        self._status.begin_drain()
        late_s = boottime() - plan.signalled_at
        self._log.line(
            "node_draining", running=self._listener.running, late_ms=round(late_s * 1000, 1)
        )
        self._listener.drain()
        # It gives up a lease at once, but writes that to a store that may not answer.
        gevent.spawn(self._weights.stop)
        gevent.sleep(0)
        self._gossip.send_now()
        while (left_s := plan.end_at - boottime()) > 0:
            if boottime() >= plan.leave_at:
                self._listener.close_idle()
                if not self._listener.running:
                    return
            gevent.sleep(min(STOP_POLL_S, left_s))
        self._listener.end_running()
        gevent.sleep(plan.last_answers_s)

    def stop(self) -> None:
        """Stops all services."""
        self._log.line("node_stopped", running=self._listener.running)
        self._services.catch_up.stop()
        for server in self._web:
            server.stop(timeout=0)
        self._services.kernel.stop()

    @property
    def _ttl_s(self) -> float:
        return min(DIRECTORY_TTL_S, self._options.bounds.directory_ttl_s)

    def _add_seeds(self, seeds: Sequence[str]) -> None:
        for seed in seeds:
            self._gossip.add_candidate(seed.rpartition(":")[0], is_lasting=True)

    def _serve_web(self) -> list[Any]:
        options, services = self._options, self._services
        return [
            serve(options.ready_listen, ready_app(options.ready_path, self.is_ready)),
            serve(options.directory_listen, directory_app(options.directory_path, self._addresses)),
            serve(options.control_listen, self._control_app()),
            serve(options.metrics_listen, metrics_app(services.state.instruments.text)),
        ]

    def _control_app(self) -> Bottle:
        requests = self._services.requests
        return add_explain(
            snapshot_app(self._services.catch_up.snapshot),
            Preview(requests, self._options.node),
            requests,
        )

    def _addresses(self, zone: str) -> bytes | None:
        nodes = self._status.ready_nodes(self._gossip.present)
        if not nodes:
            return None
        addresses = addresses_for(zone, nodes, self._services.state.rng)
        return self._platform.directory_body(addresses, self._ttl_s)
