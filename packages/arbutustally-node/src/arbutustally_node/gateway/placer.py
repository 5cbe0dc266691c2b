"""Selection of the endpoint for the next attempt of one request."""

import math
from dataclasses import dataclass, replace

from arbutustally.errors import (
    EndpointFailedError,
    NoEndpointError,
    OverloadedError,
    Ran,
    RouterError,
)
from arbutustally.gateway.admission import max_expected_s, must_reject, retry_after_s
from arbutustally.gateway.cache_scope import cache_scope
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
from arbutustally.gateway.configuration import ClientAccount, Configuration, Route, Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.requests import CallerRequest
from arbutustally.gateway.zone_choice import engines_in_zone, plain_in_zone
from arbutustally.gateway.zone_spill import SpillReason, ZoneDecision
from arbutustally.placement_types import Choice
from arbutustally.rendezvous import uniform_hash
from arbutustally_node.gateway.request_services import RequestServices, Trace

#: Retry delay suggested to callers if no estimate is available, seconds.
DEFAULT_RETRY_S = 0.25
#: Old weights are used only for requests that are expected to begin this time before the end of the
#: period in which they are allowed, seconds.
WEIGHTS_MARGIN_S = 0.8
#: The same for a request that may not go on at another engine if this one does not begin it in
#: time, seconds; as long as a working engine may be silent.
LAST_ATTEMPT_MARGIN_S = 2.0
#: Longest expected wait at the engines with new weights, as a fraction of the route's target time
#: to the first event; above it, engines with older weights may be used.
MAX_WEIGHTS_WAIT_FRACTION = 0.3


@dataclass(frozen=True)
class Placed:
    """The endpoint selected for an attempt.

    :ivar choice: result of placement, ``None`` for a plain service.
    :ivar version: version of the weights to run on, ``None`` for a plain service.
    :ivar cache_scope: scope of the cached prompt parts that the attempt may use.
    :ivar source: place from which the engine fetches parts missing in its cache.
    :ivar zone: decision whether the request leaves the zone of the node.
    :ivar was_tried: whether an earlier attempt of the request was sent to the same address. A
        worker that has started again may be listed under two ids.
    """

    state: EndpointState
    choice: Choice | None = None
    version: int | None = None
    cache_scope: str = ""
    source: PartSource | None = None
    zone: ZoneDecision = ZoneDecision("", SpillReason.OFF)
    was_tried: bool = False


class Placer:
    """Selects the endpoints for the attempts of one request.

    :param account: client account, ``None`` on a public route without a key.
    """

    def __init__(
        self,
        services: RequestServices,
        request: CallerRequest,
        configuration: Configuration,
        route: Route,
        account: ClientAccount | None,
        trace: Trace,
    ) -> None:
        self._services = services
        self._request = request
        self._configuration = configuration
        self._route = route
        self._account = account
        self._trace = trace
        self._tried: set[str] = set()
        self._tried_addresses: set[str] = set()
        self._service = self._pick_service()

    @property
    def service(self) -> Service:
        """Returns the service that the request is routed to."""
        return self._service

    @property
    def isolated_account(self) -> str:
        """Returns the account's name if its cached parts are isolated, otherwise ``""``."""
        return self._account.name if self._account and self._account.is_isolated else ""

    def place(self, left_s: float, has_run: bool) -> Placed:
        """Selects the endpoint for the next attempt.

        :param left_s: time until the deadline of the caller or of the route, seconds.
        :param has_run: whether an earlier attempt may have run.
        :raises RouterError: if there is no endpoint, or none can serve the request in time.
        """
        eligible = self._usable()
        fresh = [state for state in eligible if state.id not in self._tried]
        eligible = fresh or eligible
        if not eligible:
            raise self._no_endpoint_error(self._reason_for_none(), left_s, has_run)
        return self._place_among(eligible, left_s, has_run, must_be_timely=not self._tried)

    def _reason_for_none(self) -> str:
        book, service = self._services.view.book, self._service.name

        def is_cold(state: EndpointState) -> bool:
            is_evacuated = book.evacuations.is_evacuated(state.entry.zone)
            return book.slow_start.is_cold(state) and not is_evacuated

        if not book.has_any(service, is_cold):
            return "no_endpoint"
        self._services.instruments.count("cold_rejections", service)
        return "endpoints_cold"

    def _usable(self) -> list[EndpointState]:
        """Returns the usable endpoints of the service.

        During a rollout these belong to only one release, the canary or the baseline.
        """
        view, service = self._services.view, self._service.name
        request_id, evacuations = self._request.request_id, view.book.evacuations
        usable = view.rollouts.allowed(
            view.book, service, request_id, not self._tried, self._route.name
        )
        # The traffic of a zone returns gradually, unless there is no other endpoint.
        returned = [
            state for state in usable if evacuations.has_returned(state.entry.zone, request_id)
        ]
        return returned or usable

    @property
    def _part_stores(self) -> list[Service]:
        """Returns the part stores that are not in an evacuated zone."""
        evacuations = self._services.view.book.evacuations
        return [
            store
            for store in self._configuration.part_stores
            if not evacuations.is_evacuated(store.part_store.zone)
        ]

    def _place_among(
        self, eligible: list[EndpointState], left_s: float, has_run: bool, must_be_timely: bool
    ) -> Placed:
        services = self._services
        age_s = services.list_age_s()
        self._trace.facts["list_age_ms"] = round(age_s * 1000) if math.isfinite(age_s) else None
        if self._service.engine is None or not self._request.model:
            eligible, zone = plain_in_zone(
                services.spill, self._service.name, eligible, self._request, services.clock()
            )
            state = choose_plain(eligible, services.zone, services.rng, services.clock())
            placed = Placed(state, zone=zone)
        else:
            placed = self._place_at_engine(eligible, left_s, has_run, must_be_timely)
        return replace(placed, was_tried=placed.state.address in self._tried_addresses)

    def record_sent(self, placed: Placed) -> None:
        """Records that the request is sent to an endpoint."""
        if self._services.view.book.slow_start.record_sent(placed.state):
            self._services.instruments.count("cold_requests", self._service.name)
        self._tried.add(placed.state.id)
        self._tried_addresses.add(placed.state.address)
        if placed.state.entry.zone != self._services.zone:
            self._trace.facts["left_zone"] = placed.zone.reason
            self._trace.facts["to_zone"] = placed.state.entry.zone
            self._services.instruments.count("left_zone", placed.zone.reason)

    def place_hedge(self, left_s: float) -> Placed:
        """Selects an endpoint for a hedge; no earlier attempt was sent to it.

        :param left_s: time until the deadline of the caller or of the route, seconds.
        :raises RouterError: if none can serve the request in time.
        """
        fresh = [state for state in self._usable() if state.id not in self._tried]
        if not fresh:
            raise NoEndpointError("all endpoints have been tried")
        return self._place_among(fresh, left_s, True, must_be_timely=True)

    def save_to(self, placed: Placed) -> Service | None:
        """Returns the part store to which the engine saves the prompt's shared parts.

        ``None`` if nothing needs to be saved, e.g. because the store already holds the parts.
        """
        if placed.choice is None:
            return None
        scope, parts = placed.cache_scope, self._request.parts
        store = store_of(self._part_stores, scope, parts)
        if store is None or not must_save(self._services.holdings, scope, parts, store):
            return None
        return store

    def _place_at_engine(
        self, eligible: list[EndpointState], left_s: float, has_run: bool, must_be_timely: bool
    ) -> Placed:
        services, request = self._services, self._request
        version, engines = self._engines_to_use(eligible, has_run)
        if not engines:
            # The versions that this node assumes may be older than those that the engines run,
            # e.g. after a restart of all nodes, so the weights of one engine are polled.
            services.on_other_weights(services.rng.choice(eligible))
            raise self._no_endpoint_error("no_engine_with_weights", left_s, has_run)
        scope = self._cache_scope(version)
        store = store_of(self._part_stores, scope, request.parts)
        sources = sources_of(
            services.holdings, scope, request.parts, eligible, [store] if store else []
        )
        engines, sources, zone = engines_in_zone(
            services.spill,
            services.placement,
            services.holdings,
            request,
            self._service,
            engines,
            scope,
            sources,
            self._max_expected_s(left_s) if must_be_timely else math.inf,
        )
        choice = choose_engine(
            services.placement,
            services.holdings,
            request,
            self._service,
            engines,
            version,
            self.isolated_account,
            scope,
            max((source.tokens for source in sources), default=0),
            self._route.target_s,
            services.zone,
            services.nodes(),
            services.has_relayed_loads(),
        )
        state = next(entry for entry in engines if entry.id == choice.endpoint)
        source = fetch_source(services.holdings, scope, request.parts, state, sources, services.rng)
        self._record_decision(choice, version, source)
        expected_s = choice.estimate_s * self._correction()
        if must_be_timely and must_reject(expected_s, left_s):
            wait = retry_after_s(expected_s, left_s, services.rng)
            raise OverloadedError("not run: engines are overloaded; retry", retry_after_s=wait)
        return Placed(state, choice, version, scope, source, zone)

    def _cache_scope(self, version: int) -> str:
        services = self._services
        active = services.view.configuration or self._configuration
        isolated = services.view.isolation.isolated(active)
        is_current = services.contact.is_current
        if not is_current:
            self._trace.facts["own_scope"] = True
        return cache_scope(version, self._account, active, isolated, is_current)

    def _max_expected_s(self, left_s: float) -> float:
        """Returns the longest uncorrected expected time that is not rejected, seconds."""
        return max_expected_s(left_s) / self._correction()

    def _correction(self) -> float:
        """Returns the factor for expected times, 1 unless loads are relayed.

        Relayed reports are older, so the uncorrected expectation would reject too many requests.
        """
        if not self._services.has_relayed_loads():
            return 1.0
        return self._services.waits.factor(self._route.name)

    def _engines_to_use(
        self, eligible: list[EndpointState], has_run: bool
    ) -> tuple[int, list[EndpointState]]:
        """Returns the version of the weights to run on, and the engines that have it."""
        services, request = self._services, self._request
        named = services.view.weights.get(request.model)
        can_run_twice = self._route.may_repeat and self._route.max_attempts > 1
        may_move = can_run_twice and not has_run
        margin_s = WEIGHTS_MARGIN_S if may_move else LAST_ATTEMPT_MARGIN_S
        bound_s = services.weights_s - margin_s
        prompt_tokens = request.prompt_tokens or 0
        needed = prompt_tokens + request.output_tokens
        # A later attempt uses engines with new weights however long the expected wait: a stream
        # that continues at an engine with older weights could be interrupted once more.
        usual_s = usual_latency_s(eligible)
        max_wait_s = math.inf if self._tried else self._route.target_s * MAX_WEIGHTS_WAIT_FRACTION

        def wait_s(state: EndpointState) -> float:
            return expected_wait_s(services.placement, state, needed, self._service, usual_s)

        def begin_s(state: EndpointState) -> float:
            # Parts that the engine caches now may be dropped until then, so they don't count.
            return wait_s(state) + prompt_tokens / services.placement.prefill_speed(state.id)

        def oldest_allowed(after_s: float = 0.0) -> int:
            return named.oldest_allowed(services.clock() + after_s, bound_s) if named else 0

        return weights_to_use(
            engines_in_time(eligible, request.model, oldest_allowed, begin_s),
            request.model,
            named.version if named else 0,
            oldest_allowed(),
            services.rng,
            wait_s,
            max_wait_s,
        )

    def _record_decision(self, choice: Choice, version: int, source: PartSource | None) -> None:
        """Adds the inputs of the placement decision to the log line of the request."""
        facts = self._trace.facts
        facts["expected_ms"] = round(choice.estimate_s * 1000)
        facts["cached"] = choice.expected_cached_tokens
        facts["weights"] = version
        if source is not None:
            facts["fetched"] = source.tokens
            facts["source"] = source.place

    def _no_endpoint_error(self, reason: str, left_s: float, has_run: bool) -> RouterError:
        self._trace.facts["nothing_able"] = reason
        if has_run:
            return EndpointFailedError(
                "endpoint failed and no other endpoint is left", ran=Ran.MAY_HAVE_RUN
            )
        pause_s = self._services.view.book.shortest_pause_s(self._service.name)
        wait = retry_after_s(pause_s or DEFAULT_RETRY_S, left_s, self._services.rng)
        return NoEndpointError("not run: no endpoint is available; retry", retry_after_s=wait)

    def _pick_service(self) -> Service:
        shares = self._route.shares
        total = sum(share.weight for share in shares) or 1.0
        point = uniform_hash(self._route.name.encode(), self._request.request_id) * total
        for share in shares:
            point -= share.weight
            if point < 0:
                break
        service = self._configuration.services.get(share.service)
        if service is None:
            raise NoEndpointError(
                "not run: the service of the route is unknown", retry_after_s=DEFAULT_RETRY_S
            )
        return service
