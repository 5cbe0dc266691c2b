"""Learned index of cached prefixes: which endpoint is expected to hold which prefix.

Entries are estimates. They are keyed by account, model and weights version, and each stores the
incarnation that it was learned from, so that an entry of another account, of other weights or of a
dead engine is never used.
"""

from collections import OrderedDict
from dataclasses import dataclass

from arbutustally.prefixes import PromptShape

#: Default bound on entries; an entry takes about 470 bytes, so the index stays below 16 MB.
DEFAULT_MAX_ENTRIES = 32_000
#: Number of leading chunks that each end in an anchor. Beyond them the distance between anchors
#: doubles with each doubling of the length, so at most 1/16 of a shared prefix is missed.
DENSE_ANCHORS = 16
#: Endpoints remembered per prefix.
MAX_HOLDERS = 8
#: Initial value of the learned time for which engines retain an unused prefix, in seconds.
DEFAULT_RETENTION_S = 30.0
#: Bounds of the retention time in seconds.
RETENTION_BOUNDS_S = (1.0, 600.0)
#: Factors that raise the retention time after a late hit and lower it after a miss within it.
RETENTION_RAISE = 1.1
RETENTION_LOWER = 0.8


@dataclass(frozen=True)
class CacheScope:
    """Owner of a cached block; blocks are never shared between scopes."""

    account: str
    model: str
    version: str


@dataclass(frozen=True)
class Anchor:
    """A prefix that the index stores.

    :ivar hash: hash of the prefix.
    :ivar tokens: its length in tokens.
    """

    hash: bytes
    tokens: int


def prefix_anchors(shape: PromptShape, levels: bool = True) -> list[Anchor]:
    """Returns the prefixes of a prompt that the index stores, longest first.

    :param levels: include the levels as well as the chunks.
    """
    found = {level.tokens: level.hash for level in shape.levels} if levels else {}
    for number in _anchor_numbers(len(shape.chunks)):
        found.setdefault(number * shape.chunk_tokens, shape.chunks[number - 1])
    return [Anchor(found[tokens], tokens) for tokens in sorted(found, reverse=True)]


def _anchor_numbers(chunks: int) -> list[int]:
    numbers = []
    number, distance = 1, 1
    while number <= chunks:
        numbers.append(number)
        if number >= DENSE_ANCHORS * distance:
            distance *= 2
        number += distance
    return numbers


@dataclass
class _Holder:
    incarnation: str
    seen_at: float


class CacheIndex:
    """Bounded map from (scope, prefix) to the endpoints that hold it; evicts the oldest entries.

    :param max_entries: bound on prefixes.
    """

    def __init__(self, max_entries: int = DEFAULT_MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[CacheScope, bytes], dict[str, _Holder]] = OrderedDict()
        self._dead: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._retention_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def retention_s(self, endpoint: str) -> float:
        """Returns the learned time in seconds for which an endpoint retains an unused prefix."""
        return self._retention_s.get(endpoint, DEFAULT_RETENTION_S)

    def set_initial_retention(self, endpoint: str, seconds: float) -> None:
        """Sets the initial retention time of one endpoint, in place of the default."""
        self._retention_s[endpoint] = seconds

    def cached_tokens(
        self, scope: CacheScope, anchors: list[Anchor], endpoint: str, incarnation: str, now: float
    ) -> int:
        """Returns the tokens of the longest prefix that the endpoint is expected to hold."""
        for anchor in anchors:
            holders = self._entries.get((scope, anchor.hash))
            holder = holders.get(endpoint) if holders else None
            if holder is None:
                continue
            if holder.incarnation != incarnation or (endpoint, incarnation) in self._dead:
                del holders[endpoint]
                continue
            if now - holder.seen_at <= self.retention_s(endpoint):
                return anchor.tokens
        return 0

    def holders(self, scope: CacheScope, anchors: list[Anchor]) -> set[str]:
        """Returns the endpoints that may hold any of the prefixes."""
        found: set[str] = set()
        for anchor in anchors:
            found.update(self._entries.get((scope, anchor.hash), ()))
        return found

    def learn(
        self,
        scope: CacheScope,
        anchors: list[Anchor],
        endpoint: str,
        incarnation: str,
        cached: int,
        now: float,
    ) -> None:
        """Records the whole prompt after a response that reports ``cached`` tokens of it as cached.

        A finished prefill leaves the whole prompt in the cache. The cached count adjusts the
        learned retention time. A late response of a dead incarnation is ignored.
        """
        if (endpoint, incarnation) in self._dead:
            return
        self._adjust_retention(scope, anchors, endpoint, incarnation, cached, now)
        self.record(scope, anchors, endpoint, incarnation, now)

    def record(
        self, scope: CacheScope, anchors: list[Anchor], endpoint: str, incarnation: str, now: float
    ) -> None:
        """Records that the endpoint holds all these prefixes as of ``now``."""
        if (endpoint, incarnation) in self._dead:
            return
        for anchor in anchors:
            key = (scope, anchor.hash)
            holders = self._entries.setdefault(key, {})
            holders.pop(endpoint, None)
            holders[endpoint] = _Holder(incarnation, now)
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._entries.move_to_end(key)
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def forget(
        self, scope: CacheScope, anchors: list[Anchor], endpoint: str, above_tokens: int
    ) -> None:
        """Removes the endpoint from prefixes longer than ``above_tokens`` that it does not hold."""
        for anchor in anchors:
            if anchor.tokens > above_tokens:
                holders = self._entries.get((scope, anchor.hash))
                if holders:
                    holders.pop(endpoint, None)

    def drop(self, endpoint: str, incarnation: str) -> None:
        """Marks an incarnation as permanently dead; its entries are no longer used."""
        self._dead[(endpoint, incarnation)] = None
        while len(self._dead) > self._max_entries:
            self._dead.popitem(last=False)

    def _adjust_retention(
        self,
        scope: CacheScope,
        anchors: list[Anchor],
        endpoint: str,
        incarnation: str,
        cached: int,
        now: float,
    ) -> None:
        for anchor in anchors:
            holder = (self._entries.get((scope, anchor.hash)) or {}).get(endpoint)
            if holder is None or holder.incarnation != incarnation:
                continue
            age = now - holder.seen_at
            retention = self.retention_s(endpoint)
            if cached >= anchor.tokens:
                if age > retention * 0.5:
                    retention = max(retention * RETENTION_RAISE, min(age, retention * 2))
            elif age <= retention:
                retention *= RETENTION_LOWER
            low, high = RETENTION_BOUNDS_S
            self._retention_s[endpoint] = min(max(retention, low), high)
            return
