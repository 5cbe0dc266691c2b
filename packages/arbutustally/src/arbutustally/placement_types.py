"""Requests, candidates, choices and observations of placement."""

from dataclasses import dataclass
from typing import Protocol

from arbutustally.cache_index import DEFAULT_MAX_ENTRIES
from arbutustally.endpoint_load import DEFAULT_PREFILL_TOKENS_PER_S
from arbutustally.hot_prefixes import WIDEN_AT
from arbutustally.prefixes import PromptShape


class Target(Protocol):
    """Target of a class of work; exactly one field is set."""

    first_token_ms: float | None
    recompute_percent: float | None


@dataclass(frozen=True)
class PlacementOptions:
    """Bounds and features of placement; replays disable features to measure the effect of each.

    :ivar max_entries: bound on entries of the cache index.
    :ivar prefill_tokens_per_s: prefill speed of an unobserved endpoint.
    :ivar by_level: derive homes from the home level and index each level and chunk; otherwise
        use the hash of the whole prompt for both.
    :ivar in_band: learn from the cached token counts in responses.
    :ivar widen: assign more homes to hot prefixes.
    :ivar own_dispatches: add this node's dispatches since the last load report to the queue.
    :ivar random_ties: choose among near-equal candidates at random.
    :ivar imports: import from the KV store where that is estimated to be faster.
    :ivar homes: number of first endpoints in rendezvous order that may hold a prefix without the
        copy cost before demand adds homes.
    :ivar widen_at: demand for a prefix, as a share of an endpoint's speed, that adds a home.
    :ivar copy_share: fraction of the work of a prefix that is charged for a copy outside its homes,
        because the copy evicts other prefixes from the cache.
    """

    max_entries: int = DEFAULT_MAX_ENTRIES
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    by_level: bool = True
    in_band: bool = True
    widen: bool = True
    own_dispatches: bool = True
    random_ties: bool = True
    imports: bool = True
    homes: int = 1
    widen_at: float = WIDEN_AT
    copy_share: float = 0.0


@dataclass(frozen=True)
class PlacementRequest:
    """A request to place.

    :ivar version: weights version that must run it.
    :ivar shape: see ``arbutustally.prefixes.split_levels``.
    :ivar output_tokens: largest number of tokens to generate.
    :ivar target: target of the class of work.
    :ivar zone: preferred availability zone among candidates of equal cost; empty for none.
    :ivar nodes: nodes that place requests of this kind; each sees only its part of the demand, so
        the demand is multiplied by this number.
    :ivar home_level: index of the level whose hash determines the homes.
    :ivar random_candidates: number of endpoints, picked at random, that are compared with the homes
        and the holders of cached tokens; 0 to compare as many as an estimate may take time for.
    """

    account: str
    model: str
    version: str
    shape: PromptShape
    output_tokens: int
    target: Target
    zone: str = ""
    nodes: int = 1
    home_level: int = 0
    random_candidates: int = 0


@dataclass(frozen=True)
class Candidate:
    """An endpoint that may run the request.

    :ivar queued_tokens: tokens waiting for prefill.
    :ivar running: requests that are generating tokens.
    :ivar loaded: the endpoint has loaded the requested weights; otherwise it loads them first.
    :ivar import_available: the endpoint can import from the KV store.
    :ivar cached_tokens: tokens of the prompt that the endpoint is known to hold; ``None`` to use
        the estimate of the cache index.
    :ivar importable_tokens: tokens that it can import from the source that holds the most; 0 to use
        the estimate of the cache index.
    :ivar room_s: seconds until it has capacity for another request.
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
    cached_tokens: int | None = None
    importable_tokens: int = 0
    room_s: float = 0.0


@dataclass(frozen=True)
class Estimate:
    """Estimate for one candidate.

    :ivar cached_tokens: prompt tokens expected in its cache.
    :ivar queue_s: seconds until it starts this request.
    :ivar first_token_s: seconds until the first token.
    :ivar cost: value that placement minimises: seconds for a first-token target, tokens for a
        recompute target.
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
    """The chosen endpoint and the reasons for it.

    :ivar estimate_s: expected time to first token in seconds.
    :ivar import_kv: instruct the engine to import missing chunks.
    :ivar reasons: sentences for the output of ``explain``.
    :ivar ranked: estimates of all estimated candidates, lowest cost first.
    :ivar dispatch: number of the dispatch, to be passed in the observation.
    :ivar work_tokens: tokens expected to be computed before the first token, queue included.
    """

    endpoint: str
    incarnation: str
    expected_cached_tokens: int
    estimate_s: float
    import_kv: bool
    reasons: tuple[str, ...]
    ranked: tuple[Estimate, ...]
    dispatch: int = 0
    work_tokens: float = 0.0


@dataclass(frozen=True)
class Observation:
    """Measurements from a response or a failed request.

    :ivar cached_tokens: prompt tokens that the engine found in its cache; ``None`` if the request
        failed before the engine reported it.
    :ivar prompt_tokens: the engine's count of the whole prompt.
    :ivar first_token_s: seconds from dispatch to first token; ``None`` without one.
    :ivar dispatch: ``Choice.dispatch``.
    :ivar imported: the engine was instructed to import.
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
