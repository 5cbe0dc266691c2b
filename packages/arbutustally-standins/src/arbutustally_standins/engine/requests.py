"""Turns a completion request into work for the model and into the output it will generate."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
from typing import Any

from arbutustally_standins.engine.runner import StreamPlan
from arbutustally_standins.engine_types import ModelRequest
from arbutustally_standins.tokens import block_chain, count_tokens, output_tokens, prompt_text

DEFAULT_MAX_TOKENS = 16
_MOST_TOKENS = 100_000


class RequestInvalidError(Exception):
    """A request is malformed."""


@dataclass(frozen=True)
class Work:
    """A request as understood by the engine.

    :ivar version: weights version.
    :ivar weights: version and adapter, on which cache and output depend.
    :ivar prompt: text of the prompt without continued output.
    :ivar blocks: chained hashes of the prompt and continued output.
    """

    request_id: str
    route: str
    version: str
    weights: str
    prompt: str
    continued: str
    salt: str
    max_tokens: int
    priority: int
    blocks: tuple[bytes, ...]
    stream: bool
    kv_import: bool


def understand(
    body: dict[str, Any], route: str, request_id: str, model: str, versions: Sequence[str]
) -> Work:
    """Reads a request body.

    :param versions: loaded versions; the first serves requests that name none.
    :raises RequestInvalidError: naming the field.
    """
    try:
        prompt = prompt_text(body)
    except (KeyError, TypeError, AttributeError):
        raise RequestInvalidError("messages need a role and a content") from None
    if not prompt:
        raise RequestInvalidError("send a non-empty prompt or messages")
    version = str(body.get("weights_version") or (versions[0] if versions else ""))
    adapter = str(body.get("adapter") or "")
    weights = f"{version}+{adapter}" if adapter else version
    continued = _text(body.get("continue_tokens"))
    salt = str(body.get("cache_salt") or "")
    return Work(
        request_id=request_id,
        route=route,
        version=version,
        weights=weights,
        prompt=prompt,
        continued=continued,
        salt=salt,
        max_tokens=_max_tokens(body),
        priority=int(body.get("priority") or 0),
        blocks=block_chain(prompt + continued, salt, model, weights),
        stream=bool(body.get("stream")),
        kv_import=bool(body.get("kv_import")),
    )


def _text(continued: Any) -> str:
    if continued is None:
        return ""
    if isinstance(continued, str):
        return continued
    return "".join(str(part) for part in continued)


def _max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_MAX_TOKENS
    if not isinstance(value, int) or not 1 <= value <= _MOST_TOKENS:
        raise RequestInvalidError(f"max_tokens is an integer from 1 to {_MOST_TOKENS}")
    return value


def plan_output(work: Work, model: str, stop_early: bool) -> StreamPlan:
    """Generates the output of a request ahead of time.

    ``max_tokens`` bounds the whole answer, continued tokens included, so a continuation repeats
    the request with ``continue_tokens`` added and ends where the first run would have ended.

    :raises RequestInvalidError: if nothing is left to generate.
    """
    total = _length(work, model) if stop_early else work.max_tokens
    first = count_tokens(work.continued)
    if first >= total:
        raise RequestInvalidError("continue_tokens already hold the whole answer")
    tokens = output_tokens(model, work.weights, work.prompt, work.continued)
    return StreamPlan(
        request_id=work.request_id,
        route=work.route,
        version=work.version,
        tokens=tuple(islice(tokens, total - first)),
        first_index=first,
        prompt_tokens=count_tokens(work.prompt),
        finish_reason="length" if total == work.max_tokens else "stop",
    )


def _length(work: Work, model: str) -> int:
    """Returns a length between a quarter of ``max_tokens`` and all of it, fixed by the prompt."""
    seed = blake2b(f"{model}\0{work.weights}\0{work.prompt}".encode(), digest_size=4).digest()
    least = max(1, work.max_tokens // 4)
    return least + int.from_bytes(seed, "big") % (work.max_tokens - least + 1)


def model_request(work: Work, plan: StreamPlan, model: str, import_blocks: int = 0) -> ModelRequest:
    """Returns the request as the scheduler sees it.

    :param import_blocks: leading blocks fetched from the KV store.
    """
    text = work.prompt + work.continued
    whole = block_chain(text + "".join(plan.tokens), work.salt, model, work.weights)
    return ModelRequest(
        request_id=work.request_id,
        blocks=work.blocks,
        prompt_tokens=count_tokens(text),
        output_tokens=len(plan.tokens),
        priority=work.priority,
        version=work.version,
        import_blocks=import_blocks,
        output_blocks=whole[len(work.blocks) :],
    )
