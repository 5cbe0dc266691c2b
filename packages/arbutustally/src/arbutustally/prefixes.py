"""Prompt prefixes: cumulative hashes of a prompt up to the end of each level and of each chunk.

The hashes identify text only. Cache keys add account, model and weights version, see
``arbutustally.cache_index.CacheScope``.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import orjson

#: Estimated size of a token, in bytes of UTF-8.
BYTES_PER_TOKEN = 4
#: Size of a chunk in bytes; the KV store keeps chunks of about 1,000 tokens.
CHUNK_BYTES = 4000
#: Bytes hashed between two calls of ``pause``, about 0.05 ms of work, so that a 400 KB prompt does
#: not block other greenlets.
SLICE_BYTES = 32_000
#: Digest length in bytes; 16 makes an accidental collision negligible at 120 million blocks.
DIGEST_BYTES = 16

Message = dict[str, Any]
Pause = Callable[[], None]


@dataclass(frozen=True)
class Level:
    """A nested prefix of a prompt.

    :ivar hash: cumulative hash of the text up to the end of the level.
    :ivar tokens: estimated tokens up to the end of the level.
    """

    hash: bytes
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """Levels, chunk hashes and size of a prompt.

    :ivar levels: guide (leading system and developer messages), history (up to the last user
        message) and question (whole prompt), shortest first; levels of equal length appear once.
    :ivar chunks: cumulative hashes up to the end of each full chunk, in order.
    :ivar total_tokens: estimated tokens of the whole prompt.
    """

    levels: tuple[Level, ...]
    chunks: tuple[bytes, ...]
    total_tokens: int

    @property
    def chunk_tokens(self) -> int:
        """Returns the estimated tokens of a full chunk."""
        return CHUNK_BYTES // BYTES_PER_TOKEN


def split_levels(prompt: Sequence[Message] | str, pause: Pause | None = None) -> PromptShape:
    """Hashes the levels and chunks of a prompt.

    :param prompt: chat messages, or the text of a completion.
    :param pause: called between slices of ``SLICE_BYTES``; a node passes a cooperative yield.
    :raises TypeError: if a message is not a mapping.
    """
    if isinstance(prompt, str):
        return _split_text(prompt.encode(), pause)
    parts = [_encode_message(message) for message in prompt]
    return _hash(parts, _level_ends(prompt, parts), pause)


def _split_text(text: bytes, pause: Pause | None) -> PromptShape:
    # Plain text has no message boundaries: its first chunk is taken as the guide and its full
    # chunks as the history.
    whole = len(text) // CHUNK_BYTES * CHUNK_BYTES
    ends = sorted({min(len(text), CHUNK_BYTES), whole or len(text), len(text)})
    return _hash([text], ends, pause)


def _encode_message(message: Message) -> bytes:
    role = str(message.get("role", "")).encode()
    content = message.get("content")
    rest = {name: value for name, value in message.items() if name not in ("role", "content")}
    body = content.encode() if isinstance(content, str) else _canonical(content)
    # Fields are delimited by bytes that UTF-8 text cannot contain, so that moving text from one
    # field to the next changes the hash.
    return b"\xfe" + role + b"\xff" + body + (b"\xff" + _canonical(rest) if rest else b"")


def _canonical(value: Any) -> bytes:
    return b"" if value is None else orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def _level_ends(messages: Sequence[Message], parts: Sequence[bytes]) -> list[int]:
    """Returns the byte offsets at which guide, history and question end."""
    ends = [0]
    for part in parts:
        ends.append(ends[-1] + len(part))
    leading = 0
    while leading < len(messages) and messages[leading].get("role") in ("system", "developer"):
        leading += 1
    last_user = len(messages)
    for number in range(len(messages) - 1, -1, -1):
        if messages[number].get("role") == "user":
            last_user = number
            break
    return sorted({ends[leading], ends[max(last_user, leading)], ends[-1]} - {0})


def _hash(parts: Sequence[bytes], ends: Sequence[int], pause: Pause | None) -> PromptShape:
    total = sum(len(part) for part in parts)
    prefix_hash = blake2b(digest_size=DIGEST_BYTES)
    levels: list[Level] = []
    chunks: list[bytes] = []
    hashed_bytes = 0
    for chunk in _chunks(parts):
        if pause is not None and hashed_bytes and hashed_bytes % SLICE_BYTES == 0:
            pause()
        start = 0
        for end in ends:
            if hashed_bytes < end <= hashed_bytes + len(chunk):
                prefix_hash.update(chunk[start : end - hashed_bytes])
                start = end - hashed_bytes
                levels.append(Level(prefix_hash.digest(), _tokens(end)))
        prefix_hash.update(chunk[start:])
        hashed_bytes += len(chunk)
        if len(chunk) == CHUNK_BYTES:
            chunks.append(prefix_hash.digest())
    return PromptShape(tuple(levels), tuple(chunks), _tokens(total))


def _tokens(size: int) -> int:
    return -(-size // BYTES_PER_TOKEN)


def _chunks(parts: Sequence[bytes]) -> Iterator[bytes]:
    """Yields the chunks of the concatenation of ``parts`` without building it in memory."""
    rest = b""
    for part in parts:
        data = rest + part if rest else part
        whole = len(data) // CHUNK_BYTES * CHUNK_BYTES
        for start in range(0, whole, CHUNK_BYTES):
            yield data[start : start + CHUNK_BYTES]
        rest = data[whole:]
    if rest:
        yield rest
