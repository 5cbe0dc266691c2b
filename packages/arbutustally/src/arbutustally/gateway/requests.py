"""Decoded request of a caller."""

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
    """One request of a caller; a retry by the caller is another one.

    :ivar headers: names in lower case; only those that are forwarded to an endpoint.
    :ivar key: the caller's key, empty without one.
    :ivar time_left_s: time until the caller's timeout, seconds; ``None`` if it states none.
    :ivar model: empty for a request to a plain service.
    :ivar prompt_tokens: ``None`` if the caller states no tokens.
    :ivar resume_from: id of the last event that the caller received, empty for a new stream.
    :ivar arrived_at: time of the first byte, monotonic seconds.
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

    def release_body(self) -> None:
        """Releases the body once the request has ended; a later use of it raises AttributeError.

        The objects of a request refer to each other, so that the body would stay in memory until
        the next collection, after its bytes have left the account of the process.
        """
        object.__delattr__(self, "body")

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.partition("?")[0]

    @property
    def tokens(self) -> int | None:
        """Returns the tokens charged to the account, ``None`` if the caller states none."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens

    def latest_end(self, timeout_s: float) -> float:
        """Returns when the caller or the route gives the request up, monotonic seconds.

        :param timeout_s: of the route, seconds.
        """
        if self.time_left_s is None:
            return self.arrived_at + timeout_s
        return self.arrived_at + min(timeout_s, self.time_left_s)


def shape_of(request: CallerRequest) -> PromptShape:
    """Returns the nested prefixes of a prompt for ``arbutustally.placement``."""
    levels: list[Level] = []
    running = blake2b(digest_size=DIGEST_BYTES)
    total = 0
    for part in request.parts:
        running.update(part.id.encode() + b"\0")
        total += part.tokens
        levels.append(Level(running.digest(), total))
    return PromptShape(tuple(levels), (), max(total, request.prompt_tokens or 0))
