"""Tokens of the stand-in engine: 4 bytes of UTF-8 text are one token.

Output tokens are a deterministic function of the model version and all text before them, so any
engine with the same version continues a stream with the same tokens.
"""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any

TOKEN_BYTES = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
#: A piece of the KV store: about 1,000 tokens, a whole number of blocks.
PIECE_BLOCKS = 63
PIECE_TOKENS = PIECE_BLOCKS * BLOCK_TOKENS
_DIGEST_BYTES = 16
_LETTERS = "abcdefghijklmnopqrstuvwxyz"


def count_tokens(text: str) -> int:
    """Returns the number of tokens of a text; a partial last token counts as one."""
    return -(-len(text.encode()) // TOKEN_BYTES)


def prompt_text(body: Mapping[str, Any]) -> str:
    """Returns the prompt of a chat or completion request as one text.

    A message is rendered as role, newline, content, newline, and the answer follows the line
    ``assistant``, so the next turn of a chat extends the text of the turn before it.
    """
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "".join(prompt)
    parts = [f"{message['role']}\n{_content(message)}\n" for message in body["messages"]]
    return "".join(parts) + "assistant\n"


def _content(message: Mapping[str, Any]) -> str:
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)


def block_chain(text: str, salt: str, model: str, version: str) -> tuple[bytes, ...]:
    """Returns the chained hashes of all whole blocks of a text.

    :param salt: the account's cache salt; other salts, models and versions share no block.
    """
    data = text.encode()
    previous = hashlib.blake2b(
        "\0".join((salt, model, version)).encode(), digest_size=_DIGEST_BYTES
    ).digest()
    chain = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        previous = hashlib.blake2b(previous + block, digest_size=_DIGEST_BYTES).digest()
        chain.append(previous)
    return tuple(chain)


def output_tokens(model: str, version: str, prompt: str, continued: str = "") -> Iterator[str]:
    """Yields output tokens without end, each 4 bytes of ASCII text.

    :param continued: output that was emitted before; the first token yielded follows it.
    """
    state = hashlib.blake2b("\0".join((model, version, prompt)).encode(), digest_size=16).digest()
    data = continued.encode()
    for start in range(0, len(data), TOKEN_BYTES):
        state = _next_state(state, data[start : start + TOKEN_BYTES])
    while True:
        token = "".join(_LETTERS[byte % len(_LETTERS)] for byte in state[:3]) + " "
        yield token
        state = _next_state(state, token.encode())


def _next_state(state: bytes, token: bytes) -> bytes:
    return hashlib.blake2b(state + token, digest_size=_DIGEST_BYTES).digest()
