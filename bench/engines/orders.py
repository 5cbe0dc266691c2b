"""Orders to engines to load named weights, by the product's plan.

One node orders. Its peers hear after the age of their knowledge that an engine is being drained.
"""

from arbutustally.gateway.choice import expected_wait_s
from arbutustally.gateway.configuration import Engine, Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.weights import (
    LOAD_CHECK_S,
    MAX_DRAIN_S,
    STEP_PAUSE_S,
    are_overloaded,
    is_drained,
    loads_at_once,
    loads_in_step,
    plan_loads,
    unrepeatable_runs,
)
from bench.engines.experiment import MS, Experiment
from bench.engines.node import ENGINES, MODEL, Node
from bench.engines.sites import Site

#: Interval at which the node checks engines that are draining, seconds.
LOOK_S = 0.05


class Orders:
    """The node that orders, and what the others hear of it."""

    def __init__(self, experiment: Experiment, site: Site, nodes: list[Node]) -> None:
        self._experiment = experiment
        self._site = site
        self._nodes = nodes
        self._age_s = experiment.nodes.knowledge_age_ms * MS
        sizes = experiment.engines
        self._service = Service(ENGINES, 1, Engine(sizes.slots, sizes.kv_tokens))
        streams = [entry.aim_ms for entry in experiment.requests if entry.kind == "stream"]
        self._target_s = min(streams, default=0.0) * MS
        self._version = 1
        self._is_running = False

    def name(self) -> None:
        """Names new weights; all nodes know of them at once."""
        self._version += 1
        now = self._site.clock()
        for node in self._nodes:
            node.weights_known_at[self._version] = now
        if not self._is_running:
            self._is_running = True
            self._step()

    def _step(self) -> None:
        node = self._nodes[0]
        now = self._site.clock()
        states = [
            state
            for state in node.book.of_service(ENGINES)
            if state.gone_at is None and not state.is_leaving
        ]
        pending = sum(state.weights[MODEL] < self._version for state in states)
        if not pending:
            self._is_running = False
            return
        left_s = node.weights_known_at[self._version] + self._experiment.bounds.old_weights_s - now
        waits_s = [
            expected_wait_s(node.placement, state, 0.0, self._service)
            for state in states
            if not state.loading and not state.is_down
        ]
        at_once = loads_at_once(
            len(states),
            pending,
            max(0.0, left_s),
            max(self._experiment.engines.load_s, MS),
            bool(self._target_s) and are_overloaded(waits_s, self._target_s),
        )
        plan = plan_loads(states, MODEL, self._version, at_once, now)
        for name in plan.engines[: loads_in_step(len(states))]:
            self._drain(node.book.get(name))
        self._site.loop.after(STEP_PAUSE_S, self._step)

    def _unrepeatable(self, state: EndpointState) -> int:
        """Returns the requests of all nodes that are lost if an engine breaks its runs off."""
        node = self._nodes[0]
        loading = [one for one in node.book.all() if one.loading]
        left = node.repeats.left(state.entry.service)
        return unrepeatable_runs(state, loading, left) + state.peer_unrepeatable

    def _drain(self, state: EndpointState) -> None:
        began = self._site.clock()
        self._set_loading(state.id, True)

        def look() -> None:
            if not is_drained(state, self._site.clock() - began, self._unrepeatable(state)):
                self._site.loop.after(LOOK_S, look)
                return
            engine = self._site.engines[state.id]
            if not engine.load(self._version, lambda: self._loaded(state.id)):
                self._set_loading(state.id, False)

        self._site.loop.after(LOOK_S, look)

    def _loaded(self, name: str) -> None:
        node = self._nodes[0]
        node.learn_weights(node.book.get(name), self._site.engines[name].version)
        self._set_loading(name, False)

    def _set_loading(self, name: str, is_loading: bool) -> None:
        until = self._site.clock() + MAX_DRAIN_S + LOAD_CHECK_S

        def set_at(node: Node) -> None:
            state = node.book.get(name)
            state.loading = is_loading
            state.loading_until = until
            if not is_loading:
                node.learn_weights(state, self._site.engines[name].version)

        set_at(self._nodes[0])
        for node in self._nodes[1:]:
            self._site.loop.after(self._age_s, lambda node=node: set_at(node))
