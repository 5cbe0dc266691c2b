"""Prompt parts that each engine and part store holds in its cache.

Load pattern: many prompts share long parts, and engines drop parts within seconds. Cache events of
engines arrive late and with gaps, and in a large fleet no node follows them. A part that was just
computed or received somewhere therefore counts as held there until the engine reports otherwise,
the assumption expires, or the parts added there since fill the engine's memory: engines evict the
least recently used parts.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from arbutustally.clock import Clock
from arbutustally.gateway.requests import PromptPart

#: Time for which a part counts as held without a cache event of the engine, seconds.
ASSUMED_S = 10.0
#: The same for a part store, which is larger than the engines' caches, seconds. After a store was
#: emptied, a part is saved again after this time at the latest.
STORE_ASSUMED_S = 20.0
#: Block size of the engines' caches (site sheets), tokens. Only whole blocks are kept, so the end
#: of a part may be missing.
BLOCK_TOKENS = 16
#: Parts remembered per place.
MAX_PARTS = 8192


@dataclass(frozen=True)
class PlaceTerms:
    """Assumptions about a place that does not report what it drops.

    :ivar memory_tokens: capacity of its memory, tokens.
    :ivar assumed_s: time for which a part counts as held there without an event from it, seconds.
    """

    memory_tokens: float = math.inf
    assumed_s: float = ASSUMED_S


#: Terms of unknown places.
USUAL_TERMS = PlaceTerms()


@dataclass
class _Held:
    """A part at a place.

    :ivar until: when it no longer counts as held; infinite if the place itself reported it.
    :ivar is_pending: a request for it was sent and has not been processed yet.
    """

    tokens: int
    until: float
    is_pending: bool = False

    @property
    def is_confirmed(self) -> bool:
        return self.until == math.inf


@dataclass
class _Place:
    """Parts of one place, least recently used first, and the sum of their tokens."""

    parts: OrderedDict[tuple[str, str], _Held] = field(default_factory=OrderedDict)
    tokens: int = 0

    def put(self, key: tuple[str, str], entry: _Held, most_tokens: float) -> None:
        """Adds a part as the most recently used one and evicts others that no longer fit."""
        self.drop(key)
        self.parts[key] = entry
        self.tokens += entry.tokens
        while len(self.parts) > 1 and (self.tokens > most_tokens or len(self.parts) > MAX_PARTS):
            self.drop(next(iter(self.parts)))

    def drop(self, key: tuple[str, str]) -> None:
        """Drops a part, if it is held."""
        entry = self.parts.pop(key, None)
        if entry is not None:
            self.tokens -= entry.tokens


class Holdings:
    """Held parts by place; a place is the id of an endpoint, or the name of a part store.

    :param clock: monotonic seconds.
    :param terms: returns the assumptions about a place.
    """

    def __init__(self, clock: Clock, terms: Callable[[str], PlaceTerms]) -> None:
        self._clock = clock
        self._terms = terms
        self._places: dict[str, _Place] = {}

    @classmethod
    def from_config(
        cls, clock: Clock, terms: Callable[[str], PlaceTerms] = lambda _place: USUAL_TERMS
    ) -> "Holdings":
        """Builds empty holdings."""
        return cls(clock, terms)

    def assume(self, place: str, scope: str, parts: Iterable[PromptPart]) -> None:
        """Records that a place has just computed or received these parts."""
        until = self._clock() + self._terms(place).assumed_s
        for part in parts:
            self._put(place, (scope, part.id), _Held(part.tokens, until))

    def expect(self, place: str, scope: str, parts: Iterable[PromptPart]) -> None:
        """Records that a place has been sent a request with these parts.

        A later request with the same parts finds them there if it queues behind the first; on
        another engine they would be computed a second time. They can't be fetched from the place
        yet.
        """
        until = self._clock() + self._terms(place).assumed_s
        held = self._parts(place)
        for part in parts:
            if (scope, part.id) not in held:
                self._put(place, (scope, part.id), _Held(part.tokens, until, True))

    def cancel_expected(self, place: str, scope: str, parts: Iterable[PromptPart]) -> None:
        """Reverts ``expect`` for parts that a place did not compute."""
        for part in parts:
            entry = self._parts(place).get((scope, part.id))
            if entry is not None and entry.is_pending:
                self._places[place].drop((scope, part.id))

    def record_stored(self, place: str, scope: str, part_id: str, tokens: int) -> None:
        """Records that a place reported that it holds a part."""
        self._put(place, (scope, part_id), _Held(tokens, math.inf))

    def record_dropped(self, place: str, scope: str, part_id: str, tokens: int) -> None:
        """Records that a place reported that only ``tokens`` of a part are left."""
        if tokens > 0:
            self.record_stored(place, scope, part_id, tokens)
            return
        if place in self._places:
            self._places[place].drop((scope, part_id))

    def forget(self, place: str) -> None:
        """Removes all parts of a place that restarted or was emptied."""
        self._places.pop(place, None)

    def prefix_tokens(
        self,
        place: str,
        scope: str,
        parts: Sequence[PromptPart],
        with_pending: bool = False,
        with_assumed: bool = True,
    ) -> int:
        """Returns the tokens of the leading parts that a place holds.

        :param with_pending: count parts that the place has yet to compute.
        :param with_assumed: count parts that the place itself has not reported.
        """
        held = self._parts(place)
        if not held:
            return 0
        now = self._clock()
        total = 0
        for part in parts:
            entry = held.get((scope, part.id))
            if entry is None or entry.until < now:
                break
            if not (entry.is_confirmed or with_assumed):
                break
            if entry.is_pending and not with_pending:
                break
            total += min(entry.tokens, part.tokens)
            if entry.tokens + BLOCK_TOKENS < part.tokens:
                break
        return total

    def held_until(self, place: str, scope: str, part: PromptPart) -> float:
        """Returns until when a part counts as held at a place, ``-inf`` if it is not known."""
        entry = self._parts(place).get((scope, part.id))
        return -math.inf if entry is None else entry.until

    def _parts(self, place: str) -> dict[tuple[str, str], _Held]:
        held = self._places.get(place)
        return held.parts if held is not None else {}

    def _put(self, place: str, key: tuple[str, str], entry: _Held) -> None:
        held = self._places.setdefault(place, _Place())
        held.put(key, entry, self._terms(place).memory_tokens)
