"""Interfaces to engines apart from requests: reports, load orders and changes of their caches."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally_node.gateway.ports.codec import NoticeWatcher


@dataclass(frozen=True)
class EngineReport:
    """Load and weights of an engine.

    :ivar orders: number of orders accepted since the engine's start.
    :ivar is_busy: an order is in progress.
    """

    orders: int
    is_busy: bool
    weights: Mapping[str, int]


class OrderReply:
    """Outcomes of a load order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_ENDPOINT = "other_endpoint"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class CacheChange:
    """A prompt part that a cache has added or dropped.

    :ivar is_stored: the part was added; otherwise it was dropped.
    :ivar tokens: number of tokens of the part that the cache holds now.
    """

    is_stored: bool
    scope: str
    part_id: str
    tokens: int


@dataclass(frozen=True)
class CacheBatch:
    """Changes of one cache.

    :ivar epoch: differs between two starts of the cache's process.
    :ivar next_number: number of the change from which to read next.
    :ivar has_gap: changes before these were lost.
    """

    epoch: int
    next_number: int
    has_gap: bool
    changes: tuple[CacheChange, ...]


class CacheEvents(Protocol):
    """Changes of caches as reported by engines and stores of prompt parts."""

    def changes(self, address: str, since: int, wait_s: float) -> CacheBatch | None:
        """Returns the changes from a number on; waits up to ``wait_s`` seconds for the first.

        :returns: ``None`` if there was no answer.
        """

    def watch_notices(self, watcher: NoticeWatcher) -> None:
        """Passes the notices in answers to ``watcher``."""


@dataclass(frozen=True)
class LoadOrder:
    """An order to load weights.

    :ivar orders: number of orders that the engine must have accepted so far.
    :ivar breaks_runs_off: the engine aborts its runs at once; otherwise they finish first.
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
        """Orders an engine to load weights.

        :param holder: name of the lease's holder.
        :param fence: fencing number of the lease.
        :returns: one of the values of ``OrderReply``.
        """

    def watch_notices(self, watcher: NoticeWatcher) -> None:
        """Passes the notices in answers to ``watcher``."""
