"""Choice of the endpoint for an attempt, by the policy of the run.

The product's policy calls the modules in the order in which ``arbutustally_node.gateway.placer``
does.
"""

import math
from dataclasses import dataclass

from arbutustally.gateway.admission import must_reject, retry_after_s
from arbutustally.gateway.choice import (
    PartSource,
    choose_engine,
    choose_plain,
    engines_in_time,
    expected_wait_s,
    fetch_source,
    must_save,
    sources_of,
    store_of,
    usual_latency_s,
    weights_to_use,
)
from arbutustally.gateway.configuration import Engine, PartStore, Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.requests import CallerRequest
from arbutustally.placement_types import Choice
from bench.engines.experiment import Experiment
from bench.engines.node import ENGINES, MODEL, WORKERS, Node
from bench.engines.policies import EngineChoice

#: Return of callers where nothing tells when a request can be served, seconds.
DEFAULT_RETRY_S = 0.25
#: Time before the bound on old weights at which they are no longer used, seconds.
WEIGHTS_MARGIN_S = 0.8
#: Part of a request's target that it waits for engines with new weights.
BEARABLE_PART = 0.3


@dataclass(frozen=True)
class Placed:
    """Where an attempt goes.

    :ivar choice: ``None`` unless the product chose.
    :ivar version: weights that it runs on, 0 at a worker.
    """

    state: EndpointState
    choice: Choice | None = None
    version: int = 0
    scope: str = ""
    source: PartSource | None = None
    save_to: Service | None = None


@dataclass(frozen=True)
class Refused:
    """No endpoint takes the request now."""

    retry_after_s: float


class Placer:
    """Places requests of one site.

    :param stores: names of the stores of cached parts, with their zones.
    """

    def __init__(self, experiment: Experiment, stores: dict[str, str]) -> None:
        sizes = experiment.engines
        self._bounds = experiment.bounds
        speed = sizes.transfer_tokens_per_s
        self._service = Service(ENGINES, 1, Engine(sizes.slots, sizes.kv_tokens, speed))
        self._stores = [
            Service(name, 1, part_store=PartStore(name, zone, 1)) for name, zone in stores.items()
        ]

    def place(
        self, node: Node, request: CallerRequest, target_s: float, left_s: float, tried: set[str]
    ) -> Placed | Refused:
        """Returns where the next attempt of a request goes.

        :param tried: endpoints to which earlier attempts went.
        """
        service = ENGINES if request.model else WORKERS
        eligible = node.book.usable(service)
        eligible = [state for state in eligible if state.id not in tried] or eligible
        if eligible and not request.model:
            return Placed(self._plain(node, eligible))
        if eligible and node.policy.choice is not EngineChoice.PRODUCT:
            return self._baseline(node, eligible)
        if eligible:
            return self._product(node, request, target_s, left_s, eligible, bool(tried))
        pause_s = node.book.shortest_pause_s(service)
        return Refused(retry_after_s(pause_s or DEFAULT_RETRY_S, left_s, node.rng))

    def _plain(self, node: Node, eligible: list[EndpointState]) -> EndpointState:
        if node.policy.choice is EngineChoice.PRODUCT:
            return choose_plain(eligible, node.zone, node.rng, node.now)
        return self._simple(node, eligible)

    def _simple(self, node: Node, eligible: list[EndpointState]) -> EndpointState:
        if node.policy.choice is EngineChoice.RANDOM:
            return node.rng.choice(eligible)
        least = min(state.total_running for state in eligible)
        return node.rng.choice([state for state in eligible if state.total_running == least])

    def _oldest(self, node: Node, after_s: float = 0.0) -> int:
        return node.oldest_weights(self._bounds.old_weights_s - WEIGHTS_MARGIN_S - after_s)

    def _baseline(self, node: Node, eligible: list[EndpointState]) -> Placed | Refused:
        oldest = self._oldest(node)
        engines = [
            state
            for state in eligible
            if not state.loading and state.weights.get(MODEL, 0) >= oldest
        ]
        if not engines:
            return Refused(DEFAULT_RETRY_S)
        state = self._simple(node, engines)
        version = state.weights[MODEL]
        return Placed(state, version=version, scope=f"{version}.")

    def _product(
        self,
        node: Node,
        request: CallerRequest,
        target_s: float,
        left_s: float,
        eligible: list[EndpointState],
        is_repeat: bool,
    ) -> Placed | Refused:
        usual_s = usual_latency_s(eligible)
        prompt_tokens = request.prompt_tokens or 0
        needed = prompt_tokens + request.output_tokens

        def wait_s(state: EndpointState) -> float:
            return expected_wait_s(node.placement, state, needed, self._service, usual_s)

        def begin_s(state: EndpointState) -> float:
            return wait_s(state) + prompt_tokens / node.placement.prefill_speed(state.id)

        version, engines = weights_to_use(
            engines_in_time(eligible, MODEL, lambda after_s: self._oldest(node, after_s), begin_s),
            MODEL,
            node.newest_weights,
            self._oldest(node),
            node.rng,
            wait_s,
            math.inf if is_repeat else target_s * BEARABLE_PART,
        )
        if not engines:
            return Refused(retry_after_s(DEFAULT_RETRY_S, left_s, node.rng))
        scope = f"{version}."
        stores = self._stores if node.policy.has_cached_parts else []
        store = store_of(stores, scope, request.parts)
        sources = sources_of(
            node.holdings, scope, request.parts, eligible, [store] if store else []
        )
        choice = choose_engine(
            node.placement,
            node.holdings,
            request,
            self._service,
            engines,
            version,
            "",
            scope,
            max((source.tokens for source in sources), default=0),
            target_s,
            node.zone,
            node.nodes,
        )
        if node.policy.has_admission and not is_repeat and must_reject(choice.estimate_s, left_s):
            return Refused(retry_after_s(choice.estimate_s, left_s, node.rng))
        state = next(entry for entry in engines if entry.id == choice.endpoint)
        source = fetch_source(node.holdings, scope, request.parts, state, sources, node.rng)
        saves = store is not None and must_save(node.holdings, scope, request.parts, store)
        return Placed(state, choice, version, scope, source, store if saves else None)
