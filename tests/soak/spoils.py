"""Ways in which a worker spoils its answers, switched on and off through a file."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from random import Random

from tests.soak.wire import Answer


class Spoil(StrEnum):
    """What a faulty worker does; several may meet in one answer."""

    CUT = "cut"
    COPY = "copy"
    REFUSE = "refuse"
    FAIL = "fail"
    GARBLE = "garble"
    LOSE = "lose"
    EARLY = "early"
    SLOW = "slow"
    UNFRAMED = "unframed"


@dataclass(frozen=True)
class Spoiling:
    """Spoils that are switched on.

    :ivar share: share of the answers to which each of them happens.
    """

    kinds: frozenset[Spoil] = frozenset()
    share: float = 0.0

    def __or__(self, other: "Spoiling") -> "Spoiling":
        return Spoiling(self.kinds | other.kinds, max(self.share, other.share))

    def save(self, path: Path) -> None:
        """Writes the file that the worker reads before each answer."""
        path.with_suffix(".new").write_text(json.dumps([sorted(self.kinds), self.share]))
        path.with_suffix(".new").replace(path)

    @classmethod
    def load(cls, path: Path) -> "Spoiling":
        """Reads the file; without one nothing is spoiled."""
        if not path.exists():
            return cls()
        kinds, share = json.loads(path.read_text())
        return cls(frozenset(map(Spoil, kinds)), share)

    def draw(self, rng: Random) -> frozenset[Spoil]:
        """Returns what happens to one answer."""
        return frozenset(kind for kind in sorted(self.kinds) if rng.random() < self.share)


def cut_after(answer: Answer, rng: Random) -> int:
    """Returns after how many bytes to cut an answer, in its head or its body."""
    head, whole = len(answer.head()), len(answer.whole())
    is_in_head = rng.random() < 0.5 or head == whole
    return rng.randrange(head) if is_in_head else rng.randrange(head, whole)


def garbled(answer: Answer, rng: Random) -> bytes:
    """Returns bytes that are no answer in the protocol."""
    return rng.choice(_GARBLES)(answer.whole(), rng)


def _noise(_whole: bytes, rng: Random) -> bytes:
    return rng.randbytes(rng.randint(1, 300))


def _with_line(line: bytes) -> Callable[[bytes, Random], bytes]:
    def garble(whole: bytes, rng: Random) -> bytes:
        head, _, body = whole.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        lines.insert(rng.randint(1, len(lines)), line)
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    return garble


def _without_status(whole: bytes, _rng: Random) -> bytes:
    return whole.replace(b"HTTP/1.1 ", b"HTTP/1.1 x", 1)


_GARBLES = (
    _noise,
    _without_status,
    _with_line(b"a line that is no header"),
    _with_line(b"Content-Length: 1x"),
    _with_line(b"Content-Length: 7\r\nContent-Length: 3"),
)
