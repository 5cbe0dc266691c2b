"""A caller's request after its wire form has been decoded."""

from dataclasses import dataclass
from hashlib import blake2b

from arbutustally.prefixes import DIGEST_BYTES, Level, PromptShape


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt.

    :ivar id: equal parts of different prompts have the same id.
    """

    id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """One attempt of a caller.

    :ivar headers: names in lower case; only those that are passed on to an endpoint.
    :ivar key: text of the caller's key, empty without one.
    :ivar time_left_s: how long the caller waits, ``None`` if it does not say.
    :ivar model: empty for a request of a plain service.
    :ivar prompt_tokens: ``None`` where the caller states no tokens.
    :ivar resume_from: id of the last event that the caller has, empty for a new stream.
    :ivar arrived_at: seconds on the monotonic clock at the first byte.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    time_left_s: float | None
    model: str
    prompt_tokens: int | None
    output_tokens: int
    parts: tuple[PromptPart, ...]
    resume_from: str
    arrived_at: float

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.partition("?")[0]

    @property
    def tokens(self) -> int | None:
        """Returns the tokens that count towards the account, ``None`` if none are stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens


def shape_of(request: CallerRequest) -> PromptShape:
    """Returns the nested prefixes of a prompt as placement sees them."""
    levels: list[Level] = []
    running = blake2b(digest_size=DIGEST_BYTES)
    total = 0
    for part in request.parts:
        running.update(part.id.encode() + b"\0")
        total += part.tokens
        levels.append(Level(running.digest(), total))
    return PromptShape(tuple(levels), (), max(total, request.prompt_tokens or 0))
