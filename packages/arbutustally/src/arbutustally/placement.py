"""Placement: the endpoint with the least estimated time to first token, or the least recomputation.

Without any state the rendezvous order of the guide level gives every node the same homes. Learned
cache entries, own dispatches and learned speeds refine the estimate.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nlargest, nsmallest
from random import Random

from arbutustally.cache_index import Anchor, CacheIndex, CacheScope, anchors
from arbutustally.clock import Clock
from arbutustally.endpoint_load import Dispatch, EndpointLoad, SharedSpeeds
from arbutustally.errors import NoEndpointError
from arbutustally.hot_prefixes import HotPrefixes
from arbutustally.placement_types import (
    Candidate,
    Choice,
    Estimate,
    Observation,
    PlacementOptions,
    PlacementRequest,
    Target,
)
from arbutustally.prefixes import PromptShape
from arbutustally.rendezvous import order, score

__all__ = [
    "Candidate",
    "Choice",
    "Estimate",
    "Observation",
    "Placement",
    "PlacementOptions",
    "PlacementRequest",
    "Target",
]

#: Candidates whose cost is within this share of the best are equal.
NEAR_TIE = 0.05
#: Candidates within this many seconds of the best are equal whatever their share.
NEAR_TIE_S = 0.002
#: Time that loading weights takes where no observation says otherwise, in seconds.
DEFAULT_LOAD_S = 0.5
#: Import speed of the KV store in tokens/s, until learned.
DEFAULT_IMPORT_TOKENS_PER_S = 40_000.0
#: Fixed delay of an import in seconds.
IMPORT_DELAY_S = 0.01
#: Name under which the index and the learned speeds keep the KV store; no endpoint has it.
KV_STORE = "\0kv"
#: Time for which the KV store keeps a prompt, in seconds; it is larger than the engines' caches.
KV_KEEP_S = 600.0
#: Longest queue that a class with a recompute target accepts for a cache hit, in seconds.
RECOMPUTE_QUEUE_BOUND_S = 2.0
#: Cost in tokens of each second above that bound; it outweighs any prompt.
OVER_BOUND_TOKENS_PER_S = 1e6
#: Engine time of an output token in prefill tokens, at a moderately filled batch.
OUTPUT_COST = 10.0
#: Weight of one answer in the share of computed tokens.
SHARE_GAIN = 0.02
#: Part of a home's missed guide that counts in the estimate: the prefill also serves the requests
#: that follow, and another endpoint would lose cache space to a copy of the guide.
HOME_SHARE = 0.5
#: Number of candidates up to which all get an estimate; beyond it, the homes and the candidates
#: with short queues that do, beside the known holders.
ALL_ESTIMATED = 32
ESTIMATED_HOMES = 8
ESTIMATED_IDLE = 8
ESTIMATED_HOLDERS = 8


@dataclass(frozen=True)
class _View:
    """The parts of one decision that all candidates share."""

    request: PlacementRequest
    scope: CacheScope
    names: list[Anchor]
    guide_tokens: int
    homes: list[str]
    ranks: dict[str, int]
    width: int
    home_speed: float
    now: float


@dataclass
class Placement:
    """Chooses endpoints and learns from answers.

    :param clock: monotonic seconds.
    :param rng: source of the random choice between near-equal candidates.
    :param speeds: prefill speeds that nodes learn together; ``None`` if each learns alone.
    """

    clock: Clock
    rng: Random
    options: PlacementOptions = field(default_factory=PlacementOptions)
    speeds: SharedSpeeds | None = None

    def __post_init__(self) -> None:
        self._index = CacheIndex(self.options.max_entries)
        self._load = EndpointLoad(self.options.prefill_tokens_per_s, self.speeds)
        self._load.assume_speed(KV_STORE, DEFAULT_IMPORT_TOKENS_PER_S)
        self._index.assume_keep(KV_STORE, KV_KEEP_S)
        self._hot = HotPrefixes(widen_at=self.options.widen_at)
        self._computed_share = 1.0

    @classmethod
    def from_config(
        cls,
        clock: Clock,
        rng: Random,
        options: PlacementOptions | None = None,
        speeds: SharedSpeeds | None = None,
    ) -> "Placement":
        """Builds placement; ``options`` and ``speeds`` may be omitted."""
        return cls(clock, rng, options or PlacementOptions(), speeds)

    def prefill_speed(self, endpoint: str) -> float:
        """Returns the learned prefill speed of an endpoint in tokens/s."""
        return self._load.speed(endpoint)

    def assume_import_speed(self, tokens_per_s: float) -> None:
        """Takes the speed at which engines import cached parts, as declared."""
        self._load.assume_speed(KV_STORE, tokens_per_s)

    @property
    def computed_share(self) -> float:
        """Returns the recent share of prompt tokens that engines had to compute, 0 to 1."""
        return self._computed_share

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Chooses an endpoint and counts the dispatch to it.

        :raises NoEndpointError: if no candidate runs the wanted version.
        """
        able = [entry for entry in candidates if entry.version == request.version]
        if not able:
            raise NoEndpointError(
                f"no endpoint of model {request.model} runs version {request.version}; retry when "
                "one is live",
                retry_after_s=1.0,
            )
        view = self._view(request, able)
        estimates = [self._estimate(view, entry) for entry in self._shortlist(view, able)]
        estimates.sort(key=lambda entry: (entry.cost, view.ranks[entry.endpoint]))
        zones = {entry.endpoint: entry.zone for entry in able}
        best, tied = self._pick(view, estimates, zones)
        missed = request.shape.total_tokens - best.cached_tokens
        ahead = best.queue_s * self._load.speed(best.endpoint)
        number = self._load.dispatched(best.endpoint, missed, ahead, view.now)
        if self.options.in_band:
            self._index.enter(view.scope, view.names, best.endpoint, best.incarnation, view.now)
        return Choice(
            best.endpoint,
            best.incarnation,
            best.cached_tokens,
            best.first_token_s,
            best.import_kv,
            self._reasons(view, best, tied),
            tuple(estimates),
            number,
            missed + ahead,
        )

    def learn(self, observation: Observation) -> None:
        """Takes the cached count and the time to first token of an answer."""
        dispatch = self._load.answered(observation.endpoint, observation.dispatch)
        names = self._names(observation.shape)
        scope = CacheScope(observation.account, observation.model, observation.version)
        if observation.cached_tokens is None:
            self._index.forget(scope, names, observation.endpoint, 0)
            return
        cached = self._cached_estimate(observation)
        total = observation.shape.total_tokens
        self._computed_share += ((total - cached) / max(total, 1) - self._computed_share) * (
            SHARE_GAIN
        )
        if self.options.in_band:
            now = self.clock()
            self._index.learn(
                scope, names, observation.endpoint, observation.incarnation, cached, now
            )
            self._index.enter(scope, names, KV_STORE, "", now)
        if dispatch is not None and observation.first_token_s:
            missed = observation.shape.total_tokens - cached
            self._learn_speed(observation, dispatch, missed)

    def drop(self, endpoint: str, incarnation: str) -> None:
        """Forgets an incarnation for good after a crash or restart."""
        self._index.drop(endpoint, incarnation)
        self._load.forget(endpoint)

    def _learn_speed(self, observation: Observation, dispatch: Dispatch, missed: int) -> None:
        seconds = observation.first_token_s
        if not observation.imported:
            self._load.learn_speed(observation.endpoint, missed + dispatch.ahead, seconds)
            return
        queue_s = dispatch.ahead / self._load.speed(observation.endpoint)
        self._load.learn_speed(KV_STORE, missed, seconds - queue_s - IMPORT_DELAY_S)

    def _names(self, shape: PromptShape) -> list[Anchor]:
        if self.options.by_level:
            return anchors(shape)
        return [Anchor(shape.levels[-1].hash, shape.total_tokens)] if shape.levels else []

    def _view(self, request: PlacementRequest, able: list[Candidate]) -> _View:
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
        homes = order(key, [entry.endpoint for entry in able])
        if self.options.widen:
            work = self._work(request, home_level) * request.nodes
            width = self._hot.requested(key, work, self._load.speed(homes[0]), now)
        else:
            width = 1
        if width > 1 and len(shape.levels) > home_level + 1 > 0:
            deeper = shape.levels[home_level + 1].hash
            homes[:width] = sorted(
                homes[:width], key=lambda name: score(key + deeper, name), reverse=True
            )
        guide = level.tokens if level else 0
        ranks = {name: rank for rank, name in enumerate(homes)}
        speed = max(self._load.speed(name) for name in homes[:width])
        return _View(request, scope, self._names(shape), guide, homes, ranks, width, speed, now)

    def _shortlist(self, view: _View, able: list[Candidate]) -> list[Candidate]:
        """Returns the candidates worth an estimate: homes, known holders and some with short queues.

        An estimate takes about 20 us, which is 9 ms for the 433 engines of a model at the planned
        size. The short queues are taken from a random sample, so that nodes do not herd.
        """
        if len(able) <= ALL_ESTIMATED:
            return able
        names = set(view.homes[: max(ESTIMATED_HOMES, view.width)])
        names |= self._index.holders(view.scope, view.names)
        # Of many that hold as much, each request looks at others, so that nodes do not herd.
        shuffled = self.rng.sample(able, len(able))
        told = nlargest(ESTIMATED_HOLDERS, shuffled, key=lambda entry: entry.cached_tokens or 0)
        names.update(entry.endpoint for entry in told if entry.cached_tokens)
        sampled = self.rng.sample(able, 2 * ESTIMATED_IDLE)
        idle = nsmallest(ESTIMATED_IDLE, sampled, key=lambda entry: entry.queued_tokens)
        names.update(entry.endpoint for entry in idle)
        return [entry for entry in able if entry.endpoint in names]

    def _work(self, request: PlacementRequest, home_level: int) -> float:
        """Returns the engine time of a request at a home that has its prefix, in prefill tokens."""
        shape = request.shape
        has_more = 0 <= home_level < len(shape.levels) - 1
        guide = shape.levels[home_level].tokens if has_more else 0
        return shape.total_tokens - guide + OUTPUT_COST * request.output_tokens

    def _cached_estimate(self, observation: Observation) -> int:
        """Returns the engine's cached count in estimated tokens."""
        total = observation.shape.total_tokens
        if not observation.prompt_tokens:
            return min(observation.cached_tokens or 0, total)
        share = (observation.cached_tokens or 0) / observation.prompt_tokens
        return round(min(share, 1.0) * total)

    def _estimate(self, view: _View, candidate: Candidate) -> Estimate:
        speed = self._load.speed(candidate.endpoint)
        queue_s = self._queued(view, candidate) / speed + candidate.room_s
        cached = candidate.cached_tokens
        if cached is None:
            cached = self._cached(view, candidate.endpoint, candidate.incarnation)
        missed = view.request.shape.total_tokens - cached
        compute_s = missed / speed
        import_s = self._import_s(view, candidate, cached, speed)
        import_kv = import_s < compute_s
        first_s = queue_s + min(import_s, compute_s)
        if not candidate.loaded:
            first_s += DEFAULT_LOAD_S
        cost = self._cost(view, first_s, queue_s, missed)
        if cached < view.guide_tokens:
            rank = view.ranks[candidate.endpoint]
            if rank < view.width:
                cost -= self._investment(view, cached, min(import_s, compute_s), speed)
            elif rank >= self.options.homes:
                cost += self._copy_cost(view, cached)
        return Estimate(
            candidate.endpoint, candidate.incarnation, cached, queue_s, first_s, cost, import_kv
        )

    def _queued(self, view: _View, candidate: Candidate) -> float:
        queued = candidate.queued_tokens
        if candidate.report_age_s is not None and self.options.own_dispatches:
            reported_at = view.now - candidate.report_age_s
            queued += self._load.pending_tokens(candidate.endpoint, reported_at)
        return queued

    def _cached(self, view: _View, endpoint: str, incarnation: str) -> int:
        if not self.options.in_band:
            return 0
        return self._index.cached_tokens(view.scope, view.names, endpoint, incarnation, view.now)

    def _import_s(self, view: _View, candidate: Candidate, cached: int, speed: float) -> float:
        """Returns the time to import what the KV store has and to compute the rest."""
        if not (self.options.imports and candidate.import_available):
            return math.inf
        held = candidate.importable_tokens or self._cached(view, KV_STORE, "")
        if held <= cached:
            return math.inf
        imported_s = IMPORT_DELAY_S + (held - cached) / self._load.speed(KV_STORE)
        return imported_s + (view.request.shape.total_tokens - held) / speed

    def _investment(self, view: _View, cached: int, read_s: float, speed: float) -> float:
        """Returns what a new home of a hot prefix may cost more than an old one.

        :param read_s: seconds until it has computed or imported what it lacks of the prompt.
        """
        if view.width < 2:
            return 0.0
        missed = (view.guide_tokens - cached) * HOME_SHARE
        if view.request.target.first_token_ms is None:
            return missed
        own_s = (view.request.shape.total_tokens - view.guide_tokens) / speed
        return min(missed / view.home_speed, max(0.0, read_s - own_s))

    def _copy_cost(self, view: _View, cached: int) -> float:
        """Returns what a copy of a prefix outside its homes costs the prefixes it pushes out."""
        missed = (view.guide_tokens - cached) * self.options.copy_share
        return (
            missed / view.home_speed if view.request.target.first_token_ms is not None else missed
        )

    def _cost(self, view: _View, first_s: float, queue_s: float, missed: float) -> float:
        if view.request.target.first_token_ms is not None:
            return first_s
        return missed + max(0.0, queue_s - RECOMPUTE_QUEUE_BOUND_S) * OVER_BOUND_TOKENS_PER_S

    def _pick(
        self, view: _View, estimates: list[Estimate], zones: Mapping[str, str]
    ) -> tuple[Estimate, int]:
        best = estimates[0]
        if not self.options.random_ties:
            return best, 1
        slack = max(abs(best.cost) * NEAR_TIE, NEAR_TIE_S)
        tied = [entry for entry in estimates if entry.cost <= best.cost + slack]
        if best.cached_tokens == 0:
            return min(tied, key=lambda entry: view.ranks[entry.endpoint]), len(tied)
        near = [entry for entry in tied if zones[entry.endpoint] == view.request.zone]
        return self.rng.choice(near or tied), len(tied)

    def _reasons(self, view: _View, best: Estimate, tied: int) -> tuple[str, ...]:
        total = view.request.shape.total_tokens
        target = view.request.target
        aim = (
            f"class target is {target.first_token_ms:g} ms to first token"
            if target.first_token_ms is not None
            else f"class target is at most {target.recompute_percent:g}% recomputed tokens"
        )
        reasons = [
            aim,
            f"{best.endpoint} is expected to hold {best.cached_tokens} of {total} prompt tokens",
            f"its queue takes {best.queue_s:.3f} s; first token after {best.first_token_s:.3f} s",
        ]
        if best.import_kv:
            reasons.append("import from the KV store is expected to be faster than prefill")
        if best.cached_tokens == 0:
            reasons.append(f"cold prefix, rendezvous order is {', '.join(view.homes[:3])}")
        elif tied > 1:
            reasons.append(f"chosen at random from {tied} candidates of nearly equal cost")
        return tuple(reasons)
