"""Loads of weights, which slow each other down when many engines load at once."""

from collections.abc import Callable

from bench.replay.loop import EventLoop


class LoadPool:
    """All loads of the site.

    :param load_s: time of one load alone.
    :param at_once: loads beyond which all take longer.
    """

    def __init__(self, loop: EventLoop, load_s: float, at_once: int) -> None:
        self._loop = loop
        self._load_s = load_s
        self._at_once = at_once
        self._left: dict[Callable[[], None], float] = {}
        self._seen_at = 0.0
        self._turn = 0

    def begin(self, done: Callable[[], None]) -> None:
        """Begins a load; ``done`` is called at its end."""
        self._advance()
        self._left[done] = self._load_s
        self._plan()

    def _speed(self) -> float:
        return min(1.0, self._at_once / max(len(self._left), 1))

    def _advance(self) -> None:
        now = self._loop.clock()
        passed = (now - self._seen_at) * self._speed()
        self._seen_at = now
        for done in self._left:
            self._left[done] -= passed

    def _plan(self) -> None:
        self._turn += 1
        turn = self._turn
        if self._left:
            wait = max(min(self._left.values()), 0.0) / self._speed()
            self._loop.after(wait, lambda: self._finish(turn))

    def _finish(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._advance()
        ended = [done for done, left in self._left.items() if left <= 1e-9]
        for done in ended:
            del self._left[done]
        self._plan()
        for done in ended:
            done()
