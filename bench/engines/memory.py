"""Memory of an engine: blocks of running requests and of cached parts."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from arbutustally.gateway.requests import PromptPart

#: Takes the key of a part and the tokens that are held of it now, 0 if it was dropped.
Watcher = Callable[["PartKey", int], None]


@dataclass(frozen=True)
class PartKey:
    """A cached part.

    :ivar scope: requests of other scopes do not find the part.
    """

    scope: str
    id: str


@dataclass
class _Part:
    tokens: int
    users: int = 0


class BlockMemory:
    """Blocks in use; cached parts without a user yield, the least recently used first.

    :param capacity: tokens.
    :param block: tokens of a block.
    :param watch: called when a part is stored or dropped.
    """

    def __init__(self, capacity: int, block: int, watch: Watcher | None = None) -> None:
        self._capacity = capacity // block
        self._block = block
        self._watch = watch
        self._parts: OrderedDict[PartKey, _Part] = OrderedDict()
        self._cached = 0
        self._idle = 0
        self._private = 0

    @property
    def used_tokens(self) -> int:
        """Returns the tokens that can't yield."""
        return (self._private + self._cached - self._idle) * self._block

    @property
    def held(self) -> dict[PartKey, int]:
        """Returns the cached parts with their tokens."""
        return {key: part.tokens for key, part in self._parts.items()}

    def blocks(self, tokens: int) -> int:
        """Returns the blocks that tokens take."""
        return -(-tokens // self._block)

    def fits(self, tokens: int) -> bool:
        """Returns whether a request could ever run."""
        return self.blocks(tokens) <= self._capacity

    def held_of(self, key: PartKey) -> int:
        """Returns the tokens that are held of a part."""
        part = self._parts.get(key)
        return part.tokens if part else 0

    def leading(self, scope: str, parts: Sequence[PromptPart]) -> list[PartKey]:
        """Returns the cached parts with which a prompt begins.

        Engines keep whole blocks, so a part may lack its last tokens; what follows is cached too.
        """
        keys = []
        for part in parts:
            key = PartKey(scope, part.id)
            if key not in self._parts:
                break
            keys.append(key)
            if self._parts[key].tokens + self._block < part.tokens:
                break
        return keys

    def hold(self, keys: Sequence[PartKey]) -> None:
        """Keeps parts while a request uses them."""
        for key in keys:
            part = self._parts[key]
            if not part.users:
                self._idle -= self.blocks(part.tokens)
            part.users += 1

    def release(self, keys: Sequence[PartKey]) -> None:
        """Ends the use of parts, which may yield from now on, the last ones of the prompt first."""
        for key in reversed(keys):
            part = self._parts.get(key)
            if part is None:
                continue
            part.users -= 1
            if not part.users:
                self._idle += self.blocks(part.tokens)
            self._parts.move_to_end(key)

    def take(self, blocks: int) -> bool:
        """Takes blocks for a request; cached parts yield. Returns whether there was room."""
        if self._private + self._cached - self._idle + blocks > self._capacity:
            return False
        self._yield_for(blocks)
        self._private += blocks
        return True

    def give_back(self, blocks: int) -> None:
        """Returns blocks of a request."""
        self._private -= blocks

    def keep(self, key: PartKey, tokens: int) -> int:
        """Turns blocks of a request into a cached part that the request uses.

        :returns: blocks that the part takes; they no longer belong to the request.
        """
        whole = tokens // self._block * self._block
        if not whole:
            return 0
        blocks = self.blocks(whole)
        self._private -= blocks
        if key in self._parts:
            # Another request has read the same part meanwhile.
            self.hold([key])
            return blocks
        self._cached += blocks
        self._parts[key] = _Part(whole, 1)
        self._notify(key, whole)
        return blocks

    def store(self, key: PartKey, tokens: int) -> None:
        """Takes a part that no request uses; others yield."""
        if key in self._parts:
            self._parts.move_to_end(key)
            return
        blocks = self.blocks(tokens)
        if blocks and self.take(blocks):
            self.keep(key, blocks * self._block)
            self.release([key])

    def drop(self, key: PartKey) -> None:
        """Drops a part."""
        part = self._parts.pop(key)
        blocks = self.blocks(part.tokens)
        self._cached -= blocks
        if not part.users:
            self._idle -= blocks
        self._notify(key, 0)

    def clear_cached(self) -> None:
        """Drops all parts that no request uses."""
        for key in [key for key, part in self._parts.items() if not part.users]:
            self.drop(key)

    def _yield_for(self, blocks: int) -> None:
        if self._private + self._cached + blocks <= self._capacity:
            return
        for key in [key for key, part in self._parts.items() if not part.users]:
            self.drop(key)
            if self._private + self._cached + blocks <= self._capacity:
                return

    def _notify(self, key: PartKey, tokens: int) -> None:
        if self._watch is not None:
            self._watch(key, tokens)


class ReadParts:
    """Which parts any engine of the site has read, and what was read again.

    :ivar again_tokens: tokens of parts that an engine read although one had read them before.
    """

    def __init__(self) -> None:
        self.again_tokens = 0
        self._seen: set[PartKey] = set()

    def note(self, key: PartKey, tokens: int) -> None:
        """Notes that an engine has read tokens of a part."""
        if key in self._seen:
            self.again_tokens += tokens
        self._seen.add(key)
