"""Calls to engines beside requests: reports, orders and changes of their caches."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from arbutustally.gateway.endpoints import EndpointEntry
from arbutustally_node.gateway.ports.codec import NoticeWatcher


@dataclass(frozen=True)
class EngineReport:
    """Load and weights of an engine.

    :ivar orders: orders accepted since its start.
    :ivar is_busy: an order is in progress.
    """

    orders: int
    is_busy: bool
    weights: Mapping[str, int]


class OrderReply:
    """Kinds of answers to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_ENDPOINT = "other_endpoint"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class CacheChange:
    """A part that a place began to hold or dropped.

    :ivar tokens: tokens of the part that the place holds now.
    """

    is_stored: bool
    scope: str
    part_id: str
    tokens: int


@dataclass(frozen=True)
class CacheBatch:
    """Changes of one cache.

    :ivar epoch: differs between two starts of the place.
    :ivar next_number: where to read on.
    :ivar has_gap: changes before these were lost.
    """

    epoch: int
    next_number: int
    has_gap: bool
    changes: tuple[CacheChange, ...]


class CacheEvents(Protocol):
    """Changes of caches as engines and stores of parts tell them."""

    def changes(self, address: str, since: int, wait_s: float) -> CacheBatch | None:
        """Returns the changes from a number on, waiting for some; ``None`` without an answer."""

    def watch_notices(self, watcher: NoticeWatcher) -> None:
        """Passes notices in answers to ``watcher``."""


@dataclass(frozen=True)
class LoadOrder:
    """What an engine is told to load.

    :ivar orders: orders that the engine must have accepted so far.
    :ivar breaks_runs_off: end what runs at once; otherwise it finishes first.
    """

    model: str
    version: int
    orders: int
    breaks_runs_off: bool


class EngineControl(Protocol):
    """Calls that manage an engine."""

    def report(self, endpoint: EndpointEntry) -> EngineReport | None:
        """Returns the engine's report, ``None`` if it does not answer."""

    def load_weights(
        self,
        endpoint: EndpointEntry,
        order: LoadOrder,
        holder: str,
        fence: int,
    ) -> str:
        """Orders an engine to load weights; returns one of ``OrderReply``."""

    def watch_notices(self, watcher: NoticeWatcher) -> None:
        """Passes notices in answers to ``watcher``."""
