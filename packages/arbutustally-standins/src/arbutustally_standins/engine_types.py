"""Options, requests and events of the engine model."""

from dataclasses import dataclass

STARTED = "started"
FIRST_TOKEN = "first_token"
TOKEN = "token"
FINISHED = "finished"
STORED = "stored"
EVICTED = "evicted"
LOADED = "loaded"


class VersionNotLoadedError(Exception):
    """The engine has not loaded the requested weights version."""


@dataclass(frozen=True)
class EngineModelOptions:
    """Speeds and sizes of one engine.

    :ivar versions: weights versions loaded at the start.
    :ivar prefill_tokens_per_s: speed of prefill over missed prompt tokens.
    :ivar prefill_chunk_tokens: most prompt tokens computed in one step, so that a long prompt
        delays the decoding of others by a bounded time.
    :ivar decode_step_s: duration of a decoding step, before the part per request.
    :ivar decode_per_request_s: added to a step for each decoding request.
    :ivar max_batch: most requests that run at once.
    :ivar cache_blocks: blocks of 16 tokens that fit in the cache.
    :ivar import_piece_s: time to import one piece of about 1,000 tokens from the KV store.
    :ivar load_s: time to load a weights version.
    :ivar report_lag_s: a load report is sampled at most this often.
    :ivar cache_output: also cache the blocks that the output completes.
    """

    engine: str = "engine-1"
    model: str = "marelle"
    versions: tuple[str, ...] = ("1",)
    prefill_tokens_per_s: float = 8000.0
    prefill_chunk_tokens: int = 1024
    decode_step_s: float = 0.008
    decode_per_request_s: float = 0.0005
    max_batch: int = 16
    cache_blocks: int = 4096
    import_piece_s: float = 0.01
    load_s: float = 0.5
    report_lag_s: float = 0.25
    cache_output: bool = True


@dataclass(frozen=True)
class ModelRequest:
    """One request as the engine's scheduler sees it.

    :ivar blocks: chained hashes of the whole blocks of the prompt and of continued output.
    :ivar prompt_tokens: tokens to prefill, continued output included.
    :ivar output_tokens: tokens to generate now, at least 1.
    :ivar priority: lower runs first; equal priorities run in order of arrival.
    :ivar version: weights version, empty for the first loaded one.
    :ivar import_blocks: leading blocks that the KV store holds, 0 without import.
    :ivar output_blocks: blocks that the output completes, cached when the request finishes.
    """

    request_id: str
    blocks: tuple[bytes, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    version: str = ""
    import_blocks: int = 0
    output_blocks: tuple[bytes, ...] = ()


@dataclass(eq=False)
class Ticket:
    """A submitted request and its progress.

    :ivar cached_tokens: prompt tokens found in the cache at the start, ``-1`` before it.
    :ivar imported_tokens: prompt tokens imported from the KV store.
    :ivar prefill_left: prompt tokens still to compute.
    :ivar emitted: output tokens generated.
    """

    request: ModelRequest
    version: str
    submitted_at: float
    prefill_left: int
    cached_tokens: int = -1
    imported_tokens: int = 0
    emitted: int = 0
    started_at: float | None = None
    first_token_at: float | None = None
    finished_at: float | None = None
    cancelled: bool = False


@dataclass(frozen=True)
class EngineEvent:
    """Something that happened in the engine.

    :ivar kind: ``started``, ``first_token``, ``token``, ``finished``, ``stored``, ``evicted`` or
        ``loaded``; a token event with index 0 is ``first_token``, and ``finished`` follows the
        last token at the same instant.
    :ivar at: seconds on the model's clock.
    :ivar index: number of the output token, from 0.
    :ivar blocks: blocks stored or evicted.
    :ivar version: the version loaded.
    """

    kind: str
    at: float
    ticket: Ticket | None = None
    index: int = -1
    blocks: tuple[bytes, ...] = ()
    version: str = ""


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine when it was sampled.

    :ivar queued_tokens: prompt tokens still to compute, running requests included.
    :ivar running: requests in the batch.
    :ivar waiting: requests in the queue.
    :ivar sampled_at: seconds on the model's clock.
    """

    engine: str
    incarnation: str
    model: str
    versions: tuple[str, ...]
    queued_tokens: int
    running: int
    waiting: int
    sampled_at: float
