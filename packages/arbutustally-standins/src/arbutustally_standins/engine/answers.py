"""Answers of the engine: server-sent events, whole answers, and their faults."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

from arbutustally_standins.engine.runner import Stream

DONE = b"data: [DONE]\n\n"
STRAY_ID = "stray-request"
STRAY_TOKEN = "xxx "


def _nothing() -> None:
    """Ends an answer cleanly."""


@dataclass(frozen=True)
class StreamFault:
    """What goes wrong in one stream; token numbers of ``-1`` mean never.

    :ivar abort_at: the answer ends before this token.
    :ivar abort: called then; it may close the connection.
    :ivar cross_at: from this token on, chunks belong to another request.
    :ivar crossed_id: id of that request.
    :ivar skip_at: this token is left out.
    :ivar repeat_at: this token is sent twice.
    """

    abort_at: int = -1
    abort: Callable[[], None] = _nothing
    cross_at: int = -1
    crossed_id: str = STRAY_ID
    skip_at: int = -1
    repeat_at: int = -1


def event(data: Any) -> bytes:
    """Encodes one server-sent event."""
    return b"data: " + orjson.dumps(data) + b"\n\n"


def usage(stream: Stream) -> dict[str, Any]:
    """Returns the usage of the whole answer, continued tokens included."""
    prompt_tokens = stream.plan.prompt_tokens
    details = {
        "cached_tokens": min(max(0, stream.ticket.cached_tokens), prompt_tokens),
        "imported_tokens": min(stream.ticket.imported_tokens, prompt_tokens),
    }
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": stream.end,
        "total_tokens": prompt_tokens + stream.end,
        "prompt_tokens_details": details,
    }


def _chunk(stream: Stream, choices: list[dict[str, Any]]) -> dict[str, Any]:
    chat = stream.plan.route == "chat"
    return {
        "id": stream.plan.request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "incarnation": stream.incarnation,
        "version": stream.plan.version,
        "choices": choices,
    }


def token_chunk(stream: Stream, index: int, token: str) -> dict[str, Any]:
    """Returns the chunk of one token; the last carries finish reason and usage."""
    last = index == stream.end - 1
    choice: dict[str, Any] = {
        "index": 0,
        "delta": {"content": token},
        "token_index": index,
        "finish_reason": stream.plan.finish_reason if last else None,
    }
    if stream.plan.route != "chat":
        choice["text"] = token
    chunk = _chunk(stream, [choice])
    if last:
        chunk["usage"] = usage(stream)
    return chunk


def events(stream: Stream, start: int, fault: StreamFault) -> Iterator[bytes]:
    """Yields the events of a stream from a token on.

    A stream that was lost ends with an error event and without ``[DONE]``.
    """
    for index, token in stream.tokens(start):
        if index == fault.abort_at:
            fault.abort()
            return
        if index == fault.skip_at:
            continue
        chunk = token_chunk(stream, index, token)
        if 0 <= fault.cross_at <= index:
            chunk = {**token_chunk(stream, index, STRAY_TOKEN), "id": fault.crossed_id}
        yield event(chunk)
        if index == fault.repeat_at:
            yield event(chunk)
    if stream.lost and not stream.finished:
        yield event({"error": {"code": "stream_lost", "message": "the engine lost the stream"}})
        return
    if start == stream.end:
        yield event({**_chunk(stream, []), "usage": usage(stream)})
    yield DONE


def whole(stream: Stream) -> dict[str, Any]:
    """Returns the answer to a request without streaming; continued tokens are not repeated."""
    text = "".join(stream.plan.tokens)
    chat = stream.plan.route == "chat"
    choice: dict[str, Any] = {"index": 0, "finish_reason": stream.plan.finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = _chunk(stream, [choice])
    body["object"] = "chat.completion" if chat else "text_completion"
    body["usage"] = usage(stream)
    return body


def crossed(body: dict[str, Any], other_id: str) -> dict[str, Any]:
    """Returns an answer like ``body`` that belongs to another request."""
    choice = dict(body["choices"][0])
    if "message" in choice:
        choice["message"] = {"role": "assistant", "content": STRAY_TOKEN}
    else:
        choice["text"] = STRAY_TOKEN
    return {**body, "id": other_id, "choices": [choice]}


def stray_answer() -> bytes:
    """Returns a whole HTTP answer that nobody asked for."""
    body = orjson.dumps({"id": STRAY_ID, "choices": [{"index": 0, "text": STRAY_TOKEN}]})
    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body
