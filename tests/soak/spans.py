"""Spans of time in which something was disrupted."""

import math
import time


class Spans:
    """Spans of the machine's monotonic clock; one that has not ended lasts on."""

    def __init__(self) -> None:
        self._spans: list[tuple[float, float]] = []

    def begin(self) -> None:
        """Begins a span now, unless one lasts."""
        if not self._spans or self._spans[-1][1] != math.inf:
            self._spans.append((time.monotonic(), math.inf))

    def end(self) -> None:
        """Ends the span that lasts now, if any."""
        if self._spans and self._spans[-1][1] == math.inf:
            self._spans[-1] = (self._spans[-1][0], time.monotonic())

    def add(self, began: float, ended: float) -> None:
        """Adds a span that is over."""
        self._spans.append((began, ended))

    def common_s(self, began: float, ended: float) -> float:
        """Returns how long the spans, which must not overlap, last within another one."""
        return sum(max(0.0, min(until, ended) - max(since, began)) for since, until in self._spans)

    def last_end(self, before: float) -> float:
        """Returns until when the spans that began before a time lasted, 0 if there were none."""
        return max((until for since, until in self._spans if since < before), default=0.0)

    def touch(self, began: float, ended: float) -> bool:
        """Returns whether a span has a moment in common with another one."""
        return any(since <= ended and until >= began for since, until in self._spans)

    def began_before(self, at: float) -> float | None:
        """Returns when the span that lasts at a time began, ``None`` if none does."""
        return next((since for since, until in self._spans if since <= at < until), None)

    def next_begin(self, after: float) -> float:
        """Returns when the next span began, infinite if none did."""
        return min((since for since, _until in self._spans if since >= after), default=math.inf)
