"""Completions of engines: encoding of requests and decoding of streamed responses."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
END_OF_STREAM = b"[DONE]"


@dataclass(frozen=True)
class Usage:
    """Token counts of a finished request."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class StreamChunk(NamedTuple):
    """One event of an engine's stream.

    :ivar index: index of the token, -1 for an event without one.
    :ivar text: text of the token.
    :ivar finish_reason: set on the last token.
    :ivar usage: set on the last event.
    """

    request_id: str
    incarnation: str
    version: str
    index: int
    text: str
    finish_reason: str | None
    usage: Usage | None


def encode_request(
    fields: Mapping[str, Any],
    *,
    request_id: str,
    priority: int,
    cache_salt: str,
    version: str,
    emitted: Sequence[str],
    import_kv: bool,
) -> bytes:
    """Returns the body of a completion request; the engine always streams.

    :param fields: fields of the caller's request; those that the router sets are replaced.
    :param emitted: texts of the tokens that the caller has already received.
    """
    body = dict(fields)
    body.update(
        stream=True,
        request_id=request_id,
        priority=priority,
        cache_salt=cache_salt,
        weights_version=version,
        kv_import=import_kv,
    )
    body.pop("continue_tokens", None)
    if emitted:
        body["continue_tokens"] = list(emitted)
    return orjson.dumps(body)


def parse_chunk(payload: bytes) -> StreamChunk | None:
    """Decodes the data of one event; returns ``None`` if it is malformed."""
    try:
        data = orjson.loads(payload)
        choices = data["choices"]
        usage = data.get("usage")
        index, text, finish_reason = -1, "", None
        if choices:
            choice = choices[0]
            index = choice.get("token_index", -1)
            delta = choice.get("delta")
            text = (delta.get("content") if delta is not None else choice.get("text")) or ""
            finish_reason = choice.get("finish_reason")
        if type(index) is not int or type(text) is not str:
            return None
        return StreamChunk(
            data["id"],
            data["incarnation"],
            data["version"],
            index,
            text,
            finish_reason,
            None if usage is None else _usage(usage),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError, ValueError, IndexError):
        return None


def _usage(data: Mapping[str, Any]) -> Usage:
    details = data.get("prompt_tokens_details") or {}
    return Usage(
        int(data["prompt_tokens"]),
        int(data["completion_tokens"]),
        int(details.get("cached_tokens", 0)),
    )
