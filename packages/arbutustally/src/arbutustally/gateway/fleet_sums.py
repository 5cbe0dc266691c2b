"""Sums over nodes: load at endpoints, and admitted tokens of accounts.

Load pattern: a relay sums the reports of its nodes several times a second while nodes start, stop
and change to other relays.
"""

from collections.abc import Iterable, Mapping

#: Load at one endpoint: running requests, prompt tokens of requests without a first event, tokens
#: in memory, and requests that can't continue on another endpoint.
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
    """Returns the loads of a total minus a part of it; the result is never negative."""
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
    """Totals by account over sources that each report a running total.

    Only increases after a source's first report count. A source whose reports start to arrive
    through another relay is therefore not counted twice.
    """

    def __init__(self) -> None:
        self._totals: dict[str, float] = {}
        self._last_reports: dict[str, dict[str, float]] = {}

    @property
    def totals(self) -> Mapping[str, float]:
        """Returns the running totals by account."""
        return self._totals

    def take(self, source: str, totals: Mapping[str, float]) -> None:
        """Adds the increase of a source's running totals since its last report.

        :param source: id that is unique for each start of a node.
        :param totals: running totals of the source by account.
        """
        before = self._last_reports.get(source)
        self._last_reports[source] = dict(totals)
        if before is None:
            return
        for account, total in totals.items():
            added = total - before.get(account, 0.0)
            if added:
                self._totals[account] = self._totals.get(account, 0.0) + added

    def forget(self, source: str) -> None:
        """Removes a source that has stopped; its share of the totals remains."""
        self._last_reports.pop(source, None)
