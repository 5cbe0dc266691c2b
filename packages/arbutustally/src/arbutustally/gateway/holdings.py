"""Which parts of prompts each engine and the store of parts hold.

Load pattern: many prompts share long parts, and engines drop parts within seconds. What engines
say of their caches comes late and with gaps, so a part that was just read somewhere counts as held
there until the engine says otherwise or the assumption is old.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.gateway.requests import PromptPart

#: Time for which a part counts as held without word from the engine, seconds.
ASSUMED_S = 10.0
#: Engines keep whole blocks, so the end of a part may be missing (site sheets), tokens.
BLOCK_TOKENS = 16
#: Parts remembered for each place.
MAX_PARTS = 8192


@dataclass
class _Held:
    tokens: int
    at: float
    is_confirmed: bool
    is_pending: bool = False


class Holdings:
    """Held parts by place; a place is the id of an endpoint, or the name of a store of parts.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._places: dict[str, OrderedDict[tuple[str, str], _Held]] = {}

    @classmethod
    def from_config(cls, clock: Clock) -> "Holdings":
        """Builds holdings of no place."""
        return cls(clock)

    def assume(self, place: str, scope: str, parts: Iterable[PromptPart]) -> None:
        """Notes that a place has just read or received these parts."""
        now = self._clock()
        for part in parts:
            self._put(place, (scope, part.id), _Held(part.tokens, now, False))

    def expect(self, place: str, scope: str, parts: Iterable[PromptPart]) -> None:
        """Notes that a place has been asked to read these parts.

        A later request with the same parts finds them there if it queues behind; elsewhere they
        would be read a second time. They can't be fetched from the place yet.
        """
        now = self._clock()
        held = self._places.get(place, {})
        for part in parts:
            if (scope, part.id) not in held:
                self._put(place, (scope, part.id), _Held(part.tokens, now, False, True))

    def unexpect(self, place: str, scope: str, parts: Iterable[PromptPart]) -> None:
        """Notes that a place did not read parts that it was asked to read."""
        held = self._places.get(place, {})
        for part in parts:
            entry = held.get((scope, part.id))
            if entry is not None and entry.is_pending:
                del held[(scope, part.id)]

    def stored(self, place: str, scope: str, part_id: str, tokens: int) -> None:
        """Notes that a place said that it holds a part."""
        self._put(place, (scope, part_id), _Held(tokens, self._clock(), True))

    def dropped(self, place: str, scope: str, part_id: str, tokens: int) -> None:
        """Notes that a place said that only ``tokens`` of a part are left."""
        if tokens > 0:
            self.stored(place, scope, part_id, tokens)
            return
        self._places.get(place, OrderedDict()).pop((scope, part_id), None)

    def forget(self, place: str) -> None:
        """Forgets all parts of a place that restarted or was emptied."""
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

        :param with_pending: count parts that the place is reading now.
        :param with_assumed: count parts of which the place itself has said nothing.
        """
        held = self._places.get(place)
        if not held:
            return 0
        oldest = self._clock() - ASSUMED_S
        total = 0
        for part in parts:
            entry = held.get((scope, part.id))
            if entry is None or not (entry.is_confirmed or entry.at >= oldest):
                break
            if not (entry.is_confirmed or with_assumed):
                break
            if entry.is_pending and not with_pending:
                break
            total += min(entry.tokens, part.tokens)
            if entry.tokens + BLOCK_TOKENS < part.tokens:
                break
        return total

    def _put(self, place: str, key: tuple[str, str], entry: _Held) -> None:
        held = self._places.setdefault(place, OrderedDict())
        held[key] = entry
        held.move_to_end(key)
        if len(held) > MAX_PARTS:
            held.popitem(last=False)
