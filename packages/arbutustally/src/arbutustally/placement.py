"""Placement: the endpoint with the least estimated time to first token, or the least recomputation.

Without any state the rendezvous order of the guide level gives every node the same homes. Learned
cache entries, own dispatches and learned speeds refine the estimate.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from arbutustally.cache_index import (
    DEFAULT_MAX_ENTRIES,
    Anchor,
    CacheIndex,
    CacheScope,
    anchors,
)
from arbutustally.clock import Clock
from arbutustally.endpoint_load import DEFAULT_PREFILL_TOKENS_PER_S, EndpointLoad
from arbutustally.errors import NoEndpointError
from arbutustally.hot_prefixes import HotPrefixes
from arbutustally.prefixes import PromptShape
from arbutustally.rendezvous import order, score

#: Candidates whose cost is within this share of the best are equal.
NEAR_TIE = 0.05
#: Candidates within this many seconds of the best are equal whatever their share.
NEAR_TIE_S = 0.002
#: Time that loading weights takes where no observation says otherwise, in seconds.
DEFAULT_LOAD_S = 0.5
#: Import speed of the KV store in tokens/s and its fixed delay in seconds, until learned.
DEFAULT_IMPORT_TOKENS_PER_S = 20_000.0
DEFAULT_IMPORT_DELAY_S = 0.02
#: Longest queue that a class with a recompute target accepts for a cache hit, in seconds.
RECOMPUTE_QUEUE_BOUND_S = 2.0
#: Part of a home's missed guide that counts in the estimate: the prefill also serves the requests
#: that follow, and another endpoint would lose cache space to a copy of the guide.
HOME_SHARE = 0.5


class Target(Protocol):
    """The target of a class of work; exactly one of the two is set."""

    first_token_ms: float | None
    recompute_percent: float | None


@dataclass(frozen=True)
class PlacementOptions:
    """Bounds and parts of placement; replays switch parts off to measure what each earns.

    :ivar max_entries: bound on entries of the cache index.
    :ivar prefill_tokens_per_s: prefill speed of an unobserved endpoint.
    :ivar by_level: order homes by guide level and know every chunk; otherwise whole prompts only.
    :ivar in_band: learn from the cached counts of answers.
    :ivar widen: give hot prefixes more homes.
    :ivar own_dispatches: count own dispatches since the last report.
    :ivar random_ties: choose among near-equal candidates at random.
    :ivar imports: import from the KV store where that is estimated to be faster.
    """

    max_entries: int = DEFAULT_MAX_ENTRIES
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    by_level: bool = True
    in_band: bool = True
    widen: bool = True
    own_dispatches: bool = True
    random_ties: bool = True
    imports: bool = True


@dataclass(frozen=True)
class PlacementRequest:
    """A request to place.

    :ivar version: weights version that must run it.
    :ivar shape: see ``arbutustally.prefixes.split_levels``.
    :ivar output_tokens: largest number of tokens to generate.
    :ivar target: class of work.
    """

    account: str
    model: str
    version: str
    shape: PromptShape
    output_tokens: int
    target: Target


@dataclass(frozen=True)
class Candidate:
    """An endpoint that may run the request.

    :ivar queued_tokens: tokens waiting for prefill.
    :ivar running: requests that are generating.
    :ivar loaded: the endpoint has the wanted weights; otherwise it has to load them first.
    :ivar import_available: the KV store can be read by this endpoint.
    :ivar report_age_s: age of ``queued_tokens``; ``None`` if it already includes the dispatches of
        this node since the report.
    """

    endpoint: str
    incarnation: str
    zone: str
    queued_tokens: float
    running: int
    version: str
    loaded: bool = True
    import_available: bool = False
    report_age_s: float | None = None


@dataclass(frozen=True)
class Estimate:
    """What placement expects of one candidate.

    :ivar cached_tokens: tokens expected in its cache.
    :ivar queue_s: seconds until it starts this request.
    :ivar first_token_s: seconds until the first token.
    :ivar cost: what placement minimises, seconds or tokens.
    :ivar import_kv: an import is expected to be faster than prefill.
    """

    endpoint: str
    incarnation: str
    cached_tokens: int
    queue_s: float
    first_token_s: float
    cost: float
    import_kv: bool


@dataclass(frozen=True)
class Choice:
    """The chosen endpoint and why.

    :ivar estimate_s: expected time to first token in seconds.
    :ivar import_kv: tell the engine to import missing chunks.
    :ivar reasons: sentences for ``explain``.
    :ivar ranked: estimates of all candidates, best first.
    :ivar dispatch: number to return in the observation.
    """

    endpoint: str
    incarnation: str
    expected_cached_tokens: int
    estimate_s: float
    import_kv: bool
    reasons: tuple[str, ...]
    ranked: tuple[Estimate, ...]
    dispatch: int = 0


@dataclass(frozen=True)
class Observation:
    """What an answer, or its failure, showed.

    :ivar cached_tokens: prompt tokens that the engine found in its cache; ``None`` if the request
        failed before the engine said so.
    :ivar prompt_tokens: the engine's count of the whole prompt.
    :ivar first_token_s: seconds from dispatch to first token; ``None`` without one.
    :ivar dispatch: ``Choice.dispatch``.
    :ivar imported: the engine was told to import.
    """

    account: str
    model: str
    version: str
    shape: PromptShape
    endpoint: str
    incarnation: str
    cached_tokens: int | None
    prompt_tokens: int = 0
    first_token_s: float | None = None
    dispatch: int = 0
    imported: bool = False


@dataclass(frozen=True)
class _View:
    """The parts of one decision that all candidates share."""

    request: PlacementRequest
    scope: CacheScope
    names: list[Anchor]
    guide_tokens: int
    homes: list[str]
    now: float


@dataclass
class Placement:
    """Chooses endpoints and learns from answers.

    :param clock: monotonic seconds.
    :param rng: source of the random choice between near-equal candidates.
    """

    clock: Clock
    rng: Random
    options: PlacementOptions = field(default_factory=PlacementOptions)

    def __post_init__(self) -> None:
        self._index = CacheIndex(self.options.max_entries)
        self._load = EndpointLoad(self.options.prefill_tokens_per_s)
        self._hot = HotPrefixes()

    @classmethod
    def from_config(
        cls, clock: Clock, rng: Random, options: PlacementOptions | None = None
    ) -> "Placement":
        """Builds placement; ``options`` may be omitted."""
        return cls(clock, rng, options or PlacementOptions())

    @property
    def index_entries(self) -> int:
        """Returns the number of prefixes in the cache index."""
        return len(self._index)

    def prefill_speed(self, endpoint: str) -> float:
        """Returns the learned prefill speed of an endpoint in tokens/s."""
        return self._load.speed(endpoint)

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
        estimates = [self._estimate(view, candidate) for candidate in able]
        estimates.sort(key=lambda entry: (entry.cost, view.homes.index(entry.endpoint)))
        best, tied = self._pick(view, estimates)
        missed = request.shape.total_tokens - best.cached_tokens
        number = self._load.dispatched(
            best.endpoint, missed, best.queue_s * self._load.speed(best.endpoint), view.now
        )
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
        if self.options.in_band:
            now = self.clock()
            self._index.learn(
                scope, names, observation.endpoint, observation.incarnation, cached, now
            )
        if dispatch is not None and observation.first_token_s and not observation.imported:
            missed = observation.shape.total_tokens - cached
            self._load.learn_speed(
                observation.endpoint, missed + dispatch.ahead, observation.first_token_s
            )

    def drop(self, endpoint: str, incarnation: str) -> None:
        """Forgets an incarnation for good after a crash or restart."""
        self._index.drop(endpoint, incarnation)
        self._load.forget(endpoint)

    def _names(self, shape: PromptShape) -> list[Anchor]:
        if self.options.by_level:
            return anchors(shape)
        return [Anchor(shape.levels[-1].hash, shape.total_tokens)] if shape.levels else []

    def _view(self, request: PlacementRequest, able: list[Candidate]) -> _View:
        scope = CacheScope(request.account, request.model, request.version)
        shape, now = request.shape, self.clock()
        level = shape.levels[0 if self.options.by_level else -1] if shape.levels else None
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
            width = self._hot.requested(key, self._work(shape), self._load.speed(homes[0]), now)
        else:
            width = 1
        if width > 1 and len(shape.levels) > 1:
            deeper = shape.levels[1].hash
            homes[:width] = sorted(
                homes[:width], key=lambda name: score(key + deeper, name), reverse=True
            )
        guide = level.tokens if level else 0
        return _View(request, scope, self._names(shape), guide, homes, now)

    def _work(self, shape: PromptShape) -> float:
        """Returns the tokens of a prompt beyond its guide, which a home has cached."""
        return shape.total_tokens - (shape.levels[0].tokens if len(shape.levels) > 1 else 0)

    def _cached_estimate(self, observation: Observation) -> int:
        """Returns the engine's cached count in estimated tokens."""
        total = observation.shape.total_tokens
        if not observation.prompt_tokens:
            return min(observation.cached_tokens or 0, total)
        share = (observation.cached_tokens or 0) / observation.prompt_tokens
        return round(min(share, 1.0) * total)

    def _estimate(self, view: _View, candidate: Candidate) -> Estimate:
        speed = self._load.speed(candidate.endpoint)
        queued = candidate.queued_tokens
        if candidate.report_age_s is not None and self.options.own_dispatches:
            reported_at = view.now - candidate.report_age_s
            queued += self._load.pending_tokens(candidate.endpoint, reported_at)
        queue_s = queued / speed
        cached = 0
        if self.options.in_band:
            cached = self._index.cached_tokens(
                view.scope, view.names, candidate.endpoint, candidate.incarnation, view.now
            )
        missed = view.request.shape.total_tokens - cached
        compute_s = missed / speed
        import_s = DEFAULT_IMPORT_DELAY_S + missed / DEFAULT_IMPORT_TOKENS_PER_S
        import_kv = self.options.imports and candidate.import_available and import_s < compute_s
        work_s = import_s if import_kv else compute_s
        first_s = queue_s + work_s + (0.0 if candidate.loaded else DEFAULT_LOAD_S)
        cost = self._cost(view, first_s, queue_s, missed)
        return Estimate(
            candidate.endpoint,
            candidate.incarnation,
            cached,
            queue_s,
            first_s,
            cost,
            import_kv,
        )

    def _cost(self, view: _View, first_s: float, queue_s: float, missed: float) -> float:
        if view.request.target.first_token_ms is not None:
            return first_s
        return missed + max(0.0, queue_s - RECOMPUTE_QUEUE_BOUND_S) * 1e6

    def _pick(self, view: _View, estimates: list[Estimate]) -> tuple[Estimate, int]:
        best = estimates[0]
        if not self.options.random_ties:
            return best, 1
        slack = max(abs(best.cost) * NEAR_TIE, NEAR_TIE_S)
        tied = [entry for entry in estimates if entry.cost <= best.cost + slack]
        if best.cached_tokens == 0:
            return min(tied, key=lambda entry: view.homes.index(entry.endpoint)), len(tied)
        return self.rng.choice(tied), len(tied)

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
