"""Estimates of placement: time to first token and cost of a request at each candidate."""

import math
from dataclasses import dataclass

from arbutustally.cache_index import Anchor, CacheIndex, CacheScope
from arbutustally.endpoint_load import EndpointLoad
from arbutustally.placement_types import Candidate, Estimate, PlacementOptions, PlacementRequest

#: Assumed time to load weights, in seconds.
DEFAULT_LOAD_S = 0.5
#: Fixed delay of an import in seconds.
IMPORT_DELAY_S = 0.01
#: Key of the KV store in the cache index and the learned speeds; no endpoint has this name.
KV_STORE = "\0kv"
#: Longest queueing time that a class with a recompute target accepts for a cache hit, in seconds.
RECOMPUTE_QUEUE_BOUND_S = 2.0
#: Cost in tokens of each second above that bound; higher than the cost of any prompt.
OVER_BOUND_TOKENS_PER_S = 1e6
#: Fraction of the uncached home prefix that is deducted from the cost of a home of a hot prefix:
#: its prefill also serves later requests, and a copy at another endpoint would take cache space
#: there.
HOME_DISCOUNT = 0.5


@dataclass(frozen=True)
class PlacementContext:
    """Inputs of one placement decision that are the same for all candidates."""

    request: PlacementRequest
    scope: CacheScope
    anchors: list[Anchor]
    home_tokens: int
    homes: list[str]
    ranks: dict[str, int]
    width: int
    home_speed: float
    now: float


class Estimator:
    """Estimates requests at candidates.

    :param index: which prompt parts the endpoints and the KV store are expected to hold.
    :param load: learned speeds and this node's own dispatches.
    """

    def __init__(self, index: CacheIndex, load: EndpointLoad, options: PlacementOptions) -> None:
        self._index = index
        self._load = load
        self._options = options

    def estimate(self, context: PlacementContext, candidate: Candidate) -> Estimate:
        """Returns the expected times and the cost of a request at a candidate."""
        speed = self._load.speed(candidate.endpoint)
        queue_s = self._queued(context, candidate) / speed + candidate.room_s
        cached = candidate.cached_tokens
        if cached is None:
            cached = self._cached(context, candidate.endpoint, candidate.incarnation)
        missed = context.request.shape.total_tokens - cached
        compute_s = missed / speed
        import_s = self._import_s(context, candidate, cached, speed)
        import_kv = import_s < compute_s
        first_s = queue_s + min(import_s, compute_s)
        if not candidate.loaded:
            first_s += DEFAULT_LOAD_S
        cost = self._cost(context, first_s, queue_s, missed)
        if cached < context.home_tokens:
            rank = context.ranks[candidate.endpoint]
            if rank < context.width:
                cost -= self._home_discount(context, cached, min(import_s, compute_s), speed)
            elif rank >= self._options.homes:
                cost += self._copy_cost(context, cached)
        return Estimate(
            candidate.endpoint, candidate.incarnation, cached, queue_s, first_s, cost, import_kv
        )

    def _queued(self, context: PlacementContext, candidate: Candidate) -> float:
        queued = candidate.queued_tokens
        if candidate.report_age_s is not None and self._options.own_dispatches:
            reported_at = context.now - candidate.report_age_s
            queued += self._load.pending_tokens(candidate.endpoint, reported_at)
        return queued

    def _cached(self, context: PlacementContext, endpoint: str, incarnation: str) -> int:
        if not self._options.in_band:
            return 0
        return self._index.cached_tokens(
            context.scope, context.anchors, endpoint, incarnation, context.now
        )

    def _import_s(
        self, context: PlacementContext, candidate: Candidate, cached: int, speed: float
    ) -> float:
        """Returns the seconds to import what the KV store holds and to compute the rest.

        Infinite if no import is possible or the store holds no more than the endpoint.
        """
        if not (self._options.imports and candidate.import_available):
            return math.inf
        held = candidate.importable_tokens or self._cached(context, KV_STORE, "")
        if held <= cached:
            return math.inf
        imported_s = IMPORT_DELAY_S + (held - cached) / self._load.speed(KV_STORE)
        return imported_s + (context.request.shape.total_tokens - held) / speed

    def _home_discount(
        self, context: PlacementContext, cached: int, compute_or_import_s: float, speed: float
    ) -> float:
        """Returns the deduction from the cost of a home that does not hold its hot prefix yet.

        It lets a new home compete with one that holds the prefix; zero for a prefix with one home.

        :param compute_or_import_s: seconds to compute or import the uncached part of the prompt.
        """
        if context.width < 2:
            return 0.0
        missed = (context.home_tokens - cached) * HOME_DISCOUNT
        if context.request.target.first_token_ms is None:
            return missed
        own_s = (context.request.shape.total_tokens - context.home_tokens) / speed
        return min(missed / context.home_speed, max(0.0, compute_or_import_s - own_s))

    def _copy_cost(self, context: PlacementContext, cached: int) -> float:
        """Returns the cost of a copy outside the homes, which evicts other cached prefixes."""
        missed = (context.home_tokens - cached) * self._options.copy_share
        return (
            missed / context.home_speed
            if context.request.target.first_token_ms is not None
            else missed
        )

    def _cost(
        self, context: PlacementContext, first_s: float, queue_s: float, missed: float
    ) -> float:
        if context.request.target.first_token_ms is not None:
            return first_s
        return missed + max(0.0, queue_s - RECOMPUTE_QUEUE_BOUND_S) * OVER_BOUND_TOKENS_PER_S
