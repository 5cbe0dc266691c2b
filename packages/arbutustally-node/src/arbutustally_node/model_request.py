"""Parsing and validation of the JSON body of a model request."""

from dataclasses import dataclass
from typing import Any

import orjson

from arbutustally.engine_completions import CHAT_PATH
from arbutustally.errors import BadRequestError

#: Limit on output tokens when the caller sets none; the rate limit must reserve an amount.
DEFAULT_OUTPUT_TOKENS = 1024
MAX_OUTPUT_TOKENS = 1 << 20


@dataclass(frozen=True)
class ModelRequest:
    """A validated body.

    :ivar prompt: messages, or the prompt's text.
    :ivar output_tokens: limit on the tokens of the response.
    """

    model: str
    fields: dict[str, Any]
    prompt: Any
    output_tokens: int
    stream: bool


def parse_model_request(path: str, body: bytes) -> ModelRequest:
    """Parses and validates a body.

    :raises BadRequestError: naming the field and its accepted form.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise BadRequestError("the body is not JSON in UTF-8; correct it") from None
    if not isinstance(fields, dict):
        raise BadRequestError("the body is not a JSON object; send an object")
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequestError("model is missing; name a model of GET /v1/models")
    if fields.get("n") not in (None, 1):
        raise BadRequestError("n is not 1; send one request for each completion")
    stream = fields.get("stream")
    if stream not in (None, True, False):
        raise BadRequestError("stream is not true or false; correct it")
    prompt = _messages(fields) if path == CHAT_PATH else _prompt(fields)
    output_tokens = _output_tokens(fields)
    fields["max_tokens"] = output_tokens
    fields.pop("max_completion_tokens", None)
    return ModelRequest(model, fields, prompt, output_tokens, bool(stream))


def _messages(fields: dict[str, Any]) -> list[dict[str, Any]]:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError("messages is missing; send a list with at least one message")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadRequestError("a message has no role; send objects with role and content")
        if not isinstance(message.get("content"), (str, list, type(None))):
            raise BadRequestError("a message's content is neither text nor a list of parts")
    return messages


def _prompt(fields: dict[str, Any]) -> str:
    prompt = fields.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = fields["prompt"] = prompt[0]
    if not isinstance(prompt, str):
        raise BadRequestError("prompt is missing or no text; send one text")
    return prompt


def _output_tokens(fields: dict[str, Any]) -> int:
    value = fields.get("max_completion_tokens")
    name = "max_tokens" if value is None else "max_completion_tokens"
    if value is None:
        value = fields.get("max_tokens")
    if value is None:
        return DEFAULT_OUTPUT_TOKENS
    if type(value) is not int or not 0 < value <= MAX_OUTPUT_TOKENS:
        raise BadRequestError(f"{name} is not a number from 1 to {MAX_OUTPUT_TOKENS}; correct it")
    return value
