"""Event loop on a virtual clock."""

import heapq
from collections.abc import Callable
from itertools import count

from arbutustally.clock import VirtualClock


class EventLoop:
    """Runs functions at instants of a virtual clock, in order of time, then of scheduling."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, instant: float, function: Callable[[], None]) -> None:
        """Schedules a function; an instant in the past means now."""
        heapq.heappush(self._due, (max(instant, self.clock()), next(self._numbers), function))

    def after(self, seconds: float, function: Callable[[], None]) -> None:
        """Schedules a function after a delay in seconds."""
        self.at(self.clock() + seconds, function)

    def run(self, until: float) -> None:
        """Runs everything that is due up to an instant."""
        while self._due and self._due[0][0] <= until:
            instant, _, function = heapq.heappop(self._due)
            self.clock.advance_to(instant)
            function()
