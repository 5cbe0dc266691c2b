"""Placement: chooses the endpoint with the lowest estimated time to first token or recomputation.

Rendezvous hashing of a prefix of the prompt, by default the guide (the leading system messages),
determines its home endpoints; every node derives the same homes without shared state. The cache
index, the requests that this node has dispatched and learned prefill speeds refine the estimate.
"""

from collections.abc import Mapping
from copy import copy
from dataclasses import dataclass, field
from heapq import nlargest, nsmallest
from random import Random

from arbutustally.cache_index import Anchor, CacheIndex, CacheScope, prefix_anchors
from arbutustally.clock import Clock
from arbutustally.endpoint_load import Dispatch, EndpointLoad, SharedSpeeds
from arbutustally.errors import NoEndpointError
from arbutustally.hot_prefixes import HotPrefixes
from arbutustally.placement_estimates import (
    IMPORT_DELAY_S,
    KV_STORE,
    Estimator,
    PlacementContext,
)
from arbutustally.placement_types import (
    Candidate,
    Choice,
    Estimate,
    Observation,
    PlacementOptions,
    PlacementRequest,
)
from arbutustally.prefixes import PromptShape
from arbutustally.rendezvous import order, score

#: Candidates whose cost is within this fraction of the lowest cost count as equal.
NEAR_TIE = 0.05
#: Candidates within this many seconds of the lowest cost count as equal whatever the fraction.
NEAR_TIE_S = 0.002
#: Import speed of the KV store in tokens/s before any observation.
DEFAULT_IMPORT_TOKENS_PER_S = 40_000.0
#: Initial estimate of how long the KV store retains a prompt, in seconds; longer than for engines
#: because the store is larger than their caches.
KV_STORE_RETENTION_S = 600.0
#: Engine time of an output token, in prefill tokens, with a moderately filled batch.
OUTPUT_COST = 10.0
#: Weight of one response in the moving average of the share of computed tokens.
COMPUTED_SHARE_WEIGHT = 0.02
#: Up to this many candidates, all are estimated. Above it, only these numbers of homes, of
#: candidates with short queues and of endpoints that report cached tokens are estimated, and every
#: holder in the cache index.
ALL_ESTIMATED = 32
ESTIMATED_HOMES = 8
ESTIMATED_IDLE = 8
ESTIMATED_HOLDERS = 8
#: Holders of cached tokens that are estimated where the other candidates are picked at random.
SAMPLED_HOLDERS = 2


@dataclass
class Placement:
    """Chooses endpoints and learns from their responses.

    :param clock: monotonic seconds.
    :param rng: source of the random choice between near-equal candidates.
    :param speeds: prefill speeds shared between nodes; ``None`` if each node learns its own.
    """

    clock: Clock
    rng: Random
    options: PlacementOptions = field(default_factory=PlacementOptions)
    speeds: SharedSpeeds | None = None

    def __post_init__(self) -> None:
        self._index = CacheIndex(self.options.max_entries)
        self._load = EndpointLoad(self.options.prefill_tokens_per_s, self.speeds)
        self._load.set_initial_speed(KV_STORE, DEFAULT_IMPORT_TOKENS_PER_S)
        self._index.set_initial_retention(KV_STORE, KV_STORE_RETENTION_S)
        self._hot = HotPrefixes(widen_at=self.options.widen_at)
        self._estimator = Estimator(self._index, self._load, self.options)
        self._computed_share = 1.0
        self._is_recording = True

    @classmethod
    def from_config(
        cls,
        clock: Clock,
        rng: Random,
        options: PlacementOptions | None = None,
        speeds: SharedSpeeds | None = None,
    ) -> "Placement":
        """Builds a placement; ``options`` defaults to ``PlacementOptions()``."""
        return cls(clock, rng, options or PlacementOptions(), speeds)

    def prefill_speed(self, endpoint: str) -> float:
        """Returns the learned prefill speed of an endpoint in tokens/s."""
        return self._load.speed(endpoint)

    def set_import_speed(self, tokens_per_s: float) -> None:
        """Sets the declared speed at which engines import cached chunks, in tokens/s."""
        self._load.set_initial_speed(KV_STORE, tokens_per_s)

    @property
    def computed_share(self) -> float:
        """Returns the recent share of prompt tokens that engines had to compute, 0 to 1."""
        return self._computed_share

    def preview(self, rng: Random) -> "Placement":
        """Returns a placement that chooses as this one does now, and leaves its tables unchanged.

        :param rng: source of the random choice between near-equal candidates.
        """
        copied = copy(self)
        copied.rng = rng
        copied._is_recording = False
        copied._hot = self._hot.copied()
        return copied

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Chooses an endpoint and records the dispatch to it.

        :raises NoEndpointError: if no candidate runs the requested version.
        """
        eligible = [entry for entry in candidates if entry.version == request.version]
        if not eligible:
            raise NoEndpointError(
                f"no endpoint of model {request.model} runs version {request.version}; retry when "
                "one is live",
                retry_after_s=1.0,
            )
        context = self._context(request, eligible)
        estimates = [
            self._estimator.estimate(context, entry) for entry in self._shortlist(context, eligible)
        ]
        estimates.sort(key=lambda entry: (entry.cost, context.ranks[entry.endpoint]))
        zones = {entry.endpoint: entry.zone for entry in eligible}
        best, tied = self._pick(context, estimates, zones)
        missed = request.shape.total_tokens - best.cached_tokens
        ahead = best.queue_s * self._load.speed(best.endpoint)
        number = 0
        if self._is_recording:
            number = self._load.record_dispatch(best.endpoint, missed, ahead, context.now)
        if self._is_recording and self.options.in_band:
            self._index.record(
                context.scope, context.anchors, best.endpoint, best.incarnation, context.now
            )
        return Choice(
            best.endpoint,
            best.incarnation,
            best.cached_tokens,
            best.first_token_s,
            best.import_kv,
            self._reasons(context, best, tied),
            tuple(estimates),
            number,
            missed + ahead,
        )

    def learn(self, observation: Observation) -> None:
        """Learns from the cached token count and the time to first token of a response."""
        dispatch = self._load.complete_dispatch(observation.endpoint, observation.dispatch)
        anchors = self._anchors(observation.shape)
        scope = CacheScope(observation.account, observation.model, observation.version)
        if observation.cached_tokens is None:
            self._index.forget(scope, anchors, observation.endpoint, 0)
            return
        cached = self._cached_estimate(observation)
        total = observation.shape.total_tokens
        self._computed_share += ((total - cached) / max(total, 1) - self._computed_share) * (
            COMPUTED_SHARE_WEIGHT
        )
        if self.options.in_band:
            now = self.clock()
            self._index.learn(
                scope, anchors, observation.endpoint, observation.incarnation, cached, now
            )
            self._index.record(scope, anchors, KV_STORE, "", now)
        if dispatch is not None and observation.first_token_s:
            missed = observation.shape.total_tokens - cached
            self._learn_speed(observation, dispatch, missed)

    def drop(self, endpoint: str, incarnation: str) -> None:
        """Marks a crashed or restarted incarnation as permanently dead.

        Its cache entries and open dispatches are discarded; the learned speed is kept.
        """
        self._index.drop(endpoint, incarnation)
        self._load.forget(endpoint)

    def _learn_speed(self, observation: Observation, dispatch: Dispatch, missed: int) -> None:
        seconds = observation.first_token_s
        if not observation.imported:
            self._load.learn_speed(observation.endpoint, missed + dispatch.ahead, seconds)
            return
        queue_s = dispatch.ahead / self._load.speed(observation.endpoint)
        self._load.learn_speed(KV_STORE, missed, seconds - queue_s - IMPORT_DELAY_S)

    def _anchors(self, shape: PromptShape) -> list[Anchor]:
        if self.options.by_level:
            return prefix_anchors(shape)
        return [Anchor(shape.levels[-1].hash, shape.total_tokens)] if shape.levels else []

    def _context(self, request: PlacementRequest, eligible: list[Candidate]) -> PlacementContext:
        scope = CacheScope(request.account, request.model, request.version)
        shape, now = request.shape, self.clock()
        home_level = min(request.home_level, len(shape.levels) - 1) if self.options.by_level else -1
        level = shape.levels[home_level] if shape.levels else None
        key = b"\xff".join(
            (
                request.account.encode(),
                request.model.encode(),
                request.version.encode(),
                level.hash if level else b"",
            )
        )
        homes = order(key, [entry.endpoint for entry in eligible])
        if self.options.widen:
            work = self._work(request, home_level) * request.nodes
            width = self._hot.record_request(key, work, self._load.speed(homes[0]), now)
        else:
            width = 1
        if width > 1 and len(shape.levels) > home_level + 1 > 0:
            deeper = shape.levels[home_level + 1].hash
            homes[:width] = sorted(
                homes[:width], key=lambda name: score(key + deeper, name), reverse=True
            )
        home_tokens = level.tokens if level else 0
        ranks = {name: rank for rank, name in enumerate(homes)}
        speed = max(self._load.speed(name) for name in homes[:width])
        return PlacementContext(
            request, scope, self._anchors(shape), home_tokens, homes, ranks, width, speed, now
        )

    def _shortlist(self, context: PlacementContext, eligible: list[Candidate]) -> list[Candidate]:
        """Returns the candidates to estimate: homes, known holders and some with short queues.

        An estimate takes about 20 us, so all 433 engines of a model at the planned fleet size would
        take 9 ms. Short queues are picked from a random sample, so that nodes do not all choose the
        same endpoint.
        """
        if context.request.random_candidates:
            return self._sample(context, eligible)
        if len(eligible) <= ALL_ESTIMATED:
            return eligible
        names = set(context.homes[: max(ESTIMATED_HOMES, context.width)])
        names |= self._index.holders(context.scope, context.anchors)
        # Shuffling breaks ties between holders of equally many tokens differently for each request,
        # so that nodes do not all choose the same endpoint.
        shuffled = self.rng.sample(eligible, len(eligible))
        reported = nlargest(ESTIMATED_HOLDERS, shuffled, key=lambda entry: entry.cached_tokens or 0)
        names.update(entry.endpoint for entry in reported if entry.cached_tokens)
        sampled = self.rng.sample(eligible, 2 * ESTIMATED_IDLE)
        idle = nsmallest(ESTIMATED_IDLE, sampled, key=lambda entry: entry.queued_tokens)
        names.update(entry.endpoint for entry in idle)
        return [entry for entry in eligible if entry.endpoint in names]

    def _sample(self, context: PlacementContext, eligible: list[Candidate]) -> list[Candidate]:
        """Returns the homes, the holders of most cached tokens and some endpoints at random.

        If all nodes compared all endpoints by the same old load, they would send all requests until
        the next report to the endpoint that seemed idle. Random candidates spread the requests.
        """
        names = set(context.homes[: max(self.options.homes, context.width)])
        shuffled = self.rng.sample(eligible, len(eligible))
        holders = nlargest(SAMPLED_HOLDERS, shuffled, key=lambda entry: entry.cached_tokens or 0)
        names.update(entry.endpoint for entry in holders if entry.cached_tokens)
        names.update(entry.endpoint for entry in shuffled[: context.request.random_candidates])
        return [entry for entry in eligible if entry.endpoint in names]

    def _work(self, request: PlacementRequest, home_level: int) -> float:
        """Returns the engine time of a request in prefill tokens, with its home prefix cached."""
        shape = request.shape
        has_more = 0 <= home_level < len(shape.levels) - 1
        home_tokens = shape.levels[home_level].tokens if has_more else 0
        return shape.total_tokens - home_tokens + OUTPUT_COST * request.output_tokens

    def _cached_estimate(self, observation: Observation) -> int:
        """Returns the cached token count of the engine, scaled to estimated tokens."""
        total = observation.shape.total_tokens
        if not observation.prompt_tokens:
            return min(observation.cached_tokens or 0, total)
        share = (observation.cached_tokens or 0) / observation.prompt_tokens
        return round(min(share, 1.0) * total)

    def _pick(
        self, context: PlacementContext, estimates: list[Estimate], zones: Mapping[str, str]
    ) -> tuple[Estimate, int]:
        best = estimates[0]
        if not self.options.random_ties:
            return best, 1
        slack = max(abs(best.cost) * NEAR_TIE, NEAR_TIE_S)
        tied = [entry for entry in estimates if entry.cost <= best.cost + slack]
        if best.cached_tokens == 0:
            return min(tied, key=lambda entry: context.ranks[entry.endpoint]), len(tied)
        near = [entry for entry in tied if zones[entry.endpoint] == context.request.zone]
        return self.rng.choice(near or tied), len(tied)

    def _reasons(self, context: PlacementContext, best: Estimate, tied: int) -> tuple[str, ...]:
        total = context.request.shape.total_tokens
        target = context.request.target
        target_text = (
            f"class target is {target.first_token_ms:g} ms to first token"
            if target.first_token_ms is not None
            else f"class target is at most {target.recompute_percent:g}% recomputed tokens"
        )
        reasons = [
            target_text,
            f"{best.endpoint} is expected to hold {best.cached_tokens} of {total} prompt tokens",
            f"its queue takes {best.queue_s:.3f} s; first token after {best.first_token_s:.3f} s",
        ]
        if best.import_kv:
            reasons.append("import from the KV store is expected to be faster than prefill")
        if best.cached_tokens == 0:
            reasons.append(f"cold prefix, rendezvous order is {', '.join(context.homes[:3])}")
        elif tied > 1:
            reasons.append(f"chosen at random from {tied} candidates of nearly equal cost")
        return tuple(reasons)
