"""Requests as an engine sees them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from arbutustally.gateway.requests import PromptPart
from bench.engines.links import Link
from bench.engines.memory import BlockMemory, PartKey


class Rejection(StrEnum):
    """Why an endpoint did not run a request."""

    FULL = "full"
    LOADING = "loading"
    OTHER_WEIGHTS = "other_weights"
    UNREACHABLE = "unreachable"


class JobListener(Protocol):
    """Hears what becomes of a request at an endpoint."""

    def progressed(self, made: int, is_complete: bool) -> None:
        """Takes an event.

        :param made: tokens made so far.
        """

    def rejected(self, reason: Rejection, pause_s: float, version: int) -> None:
        """Notes that the request did not run.

        :param pause_s: pause that the endpoint asks for, 0 for none.
        :param version: weights of the engine.
        """

    def broken(self) -> None:
        """Notes that the connection broke off."""


@dataclass(frozen=True)
class PartPlace:
    """A place from which an engine fetches parts, or to which it saves them.

    :ivar memory: ``None`` if the place is gone.
    """

    memory: BlockMemory | None
    link: Link


@dataclass(eq=False)
class Job:
    """One request at one engine.

    :ivar version: weights on which it must run.
    :ivar priority: 0 is the most urgent.
    :ivar made: tokens made so far; not 0 at the start if a stream is resumed.
    :ivar fetched: tokens that came from elsewhere and are not read.
    :ivar unread: prompt tokens that are still to be read.
    :ivar had: leading tokens that were cached or fetched when it got its slot.
    :ivar used: cached parts that it uses.
    :ivar private: blocks that belong to it alone.
    :ivar loose: tokens in them beside those made since the prompt was read.
    :ivar order: number by which it was accepted.
    """

    listener: JobListener
    scope: str
    version: int
    parts: tuple[PromptPart, ...]
    output_tokens: int
    priority: int
    fetch_from: PartPlace | None = None
    save_to: PartPlace | None = None
    made: int = 0
    fetched: int = 0
    unread: int = 0
    had: int = 0
    cached: int = 0
    used: list[PartKey] = field(default_factory=list)
    private: int = 0
    loose: int = 0
    made_at_read: int = 0
    order: int = 0
    admitted: int = 0
    is_active: bool = False
    is_over: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Returns the tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def context(self) -> int:
        """Returns the tokens of prompt and output so far."""
        return self.prompt_tokens + self.made
