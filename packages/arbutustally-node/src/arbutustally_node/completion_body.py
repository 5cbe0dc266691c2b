"""Response body of a model call without streaming."""

import time
from typing import Any

from arbutustally.engine_completions import CHAT_PATH, Usage
from arbutustally_node.calls import ModelCall
from arbutustally_node.relay import StreamCursor


def completion_body(call: ModelCall, cursor: StreamCursor) -> dict[str, Any]:
    """Returns the JSON body of a completed call without streaming."""
    text = "".join(cursor.texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": cursor.finish_reason, "logprobs": None}
    if call.path == CHAT_PATH:
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    else:
        kind = "text_completion"
        choice["text"] = text
    body = {
        "id": call.request_id,
        "object": kind,
        "created": int(time.time()),
        "model": call.model,
        "choices": [choice],
    }
    if cursor.usage is not None:
        body["usage"] = _usage_fields(cursor.usage)
    return body


def _usage_fields(usage: Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
