"""Learned index of cached prefixes: which endpoint holds how much of which prefix.

Entries are estimates. They are keyed by account, model and weights version, and each holds the
incarnation that it was learned from, so that an entry of another account, of other weights or of a
dead engine is never relied on.
"""

from collections import OrderedDict
from dataclasses import dataclass

from arbutustally.prefixes import PromptShape

#: Default bound on entries; one takes about 470 bytes, so the index stays below 16 MB.
DEFAULT_MAX_ENTRIES = 32_000
#: Chunks that all become anchors; beyond them the distance of anchors doubles with each doubling
#: of the length, so an anchor misses at most 1/16 of a shared prefix.
DENSE_ANCHORS = 16
#: Endpoints remembered per prefix.
MAX_HOLDERS = 8
#: Start of the learned time for which engines keep an unused prefix, in seconds.
DEFAULT_KEEP_S = 30.0
#: Bounds of that time in seconds.
KEEP_BOUNDS_S = (1.0, 600.0)
#: Factors by which a hit beyond it raises that time and a miss within it lowers it.
KEEP_RAISE = 1.1
KEEP_LOWER = 0.8


@dataclass(frozen=True)
class CacheScope:
    """What a cached block belongs to; blocks of different scopes are never shared."""

    account: str
    model: str
    version: str


@dataclass(frozen=True)
class Anchor:
    """A prefix that the index can name.

    :ivar hash: hash of the prefix.
    :ivar tokens: its length in tokens.
    """

    hash: bytes
    tokens: int


def anchors(shape: PromptShape, levels: bool = True) -> list[Anchor]:
    """Returns the prefixes of a prompt that the index names, longest first.

    :param levels: include the ends of the levels beside the chunks.
    """
    found = {level.tokens: level.hash for level in shape.levels} if levels else {}
    for number in _anchor_numbers(len(shape.pieces)):
        found.setdefault(number * shape.piece_tokens, shape.pieces[number - 1])
    return [Anchor(found[tokens], tokens) for tokens in sorted(found, reverse=True)]


def _anchor_numbers(pieces: int) -> list[int]:
    numbers = []
    number, distance = 1, 1
    while number <= pieces:
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
    """Bounded map from (scope, prefix) to the endpoints that hold it; the oldest go first.

    :param max_entries: bound on prefixes.
    """

    def __init__(self, max_entries: int = DEFAULT_MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[CacheScope, bytes], dict[str, _Holder]] = OrderedDict()
        self._dead: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._keep_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def keep_s(self, endpoint: str) -> float:
        """Returns the learned time for which an endpoint keeps an unused prefix."""
        return self._keep_s.get(endpoint, DEFAULT_KEEP_S)

    def assume_keep(self, endpoint: str, seconds: float) -> None:
        """Gives one place another keep time to start from than the default."""
        self._keep_s[endpoint] = seconds

    def cached_tokens(
        self, scope: CacheScope, names: list[Anchor], endpoint: str, incarnation: str, now: float
    ) -> int:
        """Returns the tokens of the longest prefix that the endpoint is expected to hold."""
        for anchor in names:
            holders = self._entries.get((scope, anchor.hash))
            holder = holders.get(endpoint) if holders else None
            if holder is None:
                continue
            if holder.incarnation != incarnation or (endpoint, incarnation) in self._dead:
                del holders[endpoint]
                continue
            if now - holder.seen_at <= self.keep_s(endpoint):
                return anchor.tokens
        return 0

    def holders(self, scope: CacheScope, names: list[Anchor]) -> set[str]:
        """Returns the endpoints that may hold any of the prefixes."""
        found: set[str] = set()
        for anchor in names:
            found.update(self._entries.get((scope, anchor.hash), ()))
        return found

    def learn(
        self,
        scope: CacheScope,
        names: list[Anchor],
        endpoint: str,
        incarnation: str,
        cached: int,
        now: float,
    ) -> None:
        """Enters the whole prompt after an answer that found ``cached`` tokens of it.

        A finished prefill leaves the whole prompt in the cache; the cached count corrects the
        learned keep time. A late answer of a dead incarnation is ignored.
        """
        if (endpoint, incarnation) in self._dead:
            return
        self._correct_keep(scope, names, endpoint, incarnation, cached, now)
        self.enter(scope, names, endpoint, incarnation, now)

    def enter(
        self, scope: CacheScope, names: list[Anchor], endpoint: str, incarnation: str, now: float
    ) -> None:
        """Notes that the endpoint holds all these prefixes from ``now``."""
        if (endpoint, incarnation) in self._dead:
            return
        for anchor in names:
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
        self, scope: CacheScope, names: list[Anchor], endpoint: str, above_tokens: int
    ) -> None:
        """Drops prefixes longer than ``above_tokens`` that the endpoint turned out not to hold."""
        for anchor in names:
            if anchor.tokens > above_tokens:
                holders = self._entries.get((scope, anchor.hash))
                if holders:
                    holders.pop(endpoint, None)

    def drop(self, endpoint: str, incarnation: str) -> None:
        """Marks an incarnation dead for good; its entries are never relied on again."""
        self._dead[(endpoint, incarnation)] = None
        while len(self._dead) > self._max_entries:
            self._dead.popitem(last=False)

    def _correct_keep(
        self,
        scope: CacheScope,
        names: list[Anchor],
        endpoint: str,
        incarnation: str,
        cached: int,
        now: float,
    ) -> None:
        for anchor in names:
            holder = (self._entries.get((scope, anchor.hash)) or {}).get(endpoint)
            if holder is None or holder.incarnation != incarnation:
                continue
            age = now - holder.seen_at
            keep = self.keep_s(endpoint)
            if cached >= anchor.tokens:
                if age > keep * 0.5:
                    keep = max(keep * KEEP_RAISE, min(age, keep * 2))
            elif age <= keep:
                keep *= KEEP_LOWER
            low, high = KEEP_BOUNDS_S
            self._keep_s[endpoint] = min(max(keep, low), high)
            return
