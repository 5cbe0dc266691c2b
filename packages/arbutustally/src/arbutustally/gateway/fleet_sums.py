"""Sums over nodes: load at endpoints, and what accounts were admitted.

Load pattern: a relay adds up what its nodes say several times a second while nodes start, end and
change to other relays.
"""

from collections.abc import Iterable, Mapping

#: Load at one endpoint: running requests, unread prompt tokens, tokens in memory, and requests
#: that can't go on elsewhere.
Load = tuple[int, float, float, int]
Loads = Mapping[str, Load]


def add_loads(tables: Iterable[Loads]) -> dict[str, Load]:
    """Returns the sum of loads by endpoint."""
    total: dict[str, Load] = {}
    for table in tables:
        for endpoint, load in table.items():
            have = total.get(endpoint)
            total[endpoint] = tuple(load) if have is None else _add(have, load)
    return total


def subtract_loads(total: Loads, part: Loads) -> dict[str, Load]:
    """Returns the loads of a total without a part of it; what is left is never negative."""
    rest = {}
    for endpoint, load in total.items():
        own = part.get(endpoint)
        left = tuple(load) if own is None else _subtract(load, own)
        if any(left):
            rest[endpoint] = left
    return rest


def _add(left: Load, right: Load) -> Load:
    return (
        left[0] + right[0],
        left[1] + right[1],
        left[2] + right[2],
        left[3] + right[3],
    )


def _subtract(left: Load, right: Load) -> Load:
    return (
        max(0, left[0] - right[0]),
        max(0.0, left[1] - right[1]),
        max(0.0, left[2] - right[2]),
        max(0, left[3] - right[3]),
    )


class RunningTotals:
    """Totals by account over sources that each have a running total of their own.

    Only what a source adds after it was first heard counts, so a source that is heard through
    another relay from now on is not counted twice.
    """

    def __init__(self) -> None:
        self._totals: dict[str, float] = {}
        self._heard: dict[str, dict[str, float]] = {}

    @property
    def totals(self) -> Mapping[str, float]:
        """Returns the running totals by account."""
        return self._totals

    def take(self, source: str, totals: Mapping[str, float]) -> None:
        """Takes a source's running totals.

        :param source: unique for each start of a node.
        """
        before = self._heard.get(source)
        self._heard[source] = dict(totals)
        if before is None:
            return
        for account, total in totals.items():
            added = total - before.get(account, 0.0)
            if added:
                self._totals[account] = self._totals.get(account, 0.0) + added

    def forget(self, source: str) -> None:
        """Forgets a source that has ended."""
        self._heard.pop(source, None)
