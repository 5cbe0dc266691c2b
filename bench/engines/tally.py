"""Counts of what became of requests."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from bench.engines.arrivals import Arrival


class Ending(StrEnum):
    """What became of a caller's request.

    ``FAILED`` covers callers that left and answers that broke off or never came.
    """

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class Record:
    """One request that has ended.

    :ivar second: second of its arrival.
    :ivar first_s: time to the first event, or to the answer, ``None`` without one.
    """

    kind: str
    is_stream: bool
    account: str
    second: int
    ending: Ending
    first_s: float | None


class Tally:
    """Records of one run."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def ended(self, arrival: Arrival, ending: Ending, first_s: float | None) -> None:
        """Notes the end of a request."""
        second = int(arrival.at)
        sizes = arrival.sizes
        is_stream = sizes.kind == "stream"
        record = Record(sizes.name, is_stream, arrival.account.name, second, ending, first_s)
        self.records.append(record)


@dataclass(frozen=True)
class Result:
    """One run of one policy.

    :ivar arrived: requests that callers began.
    :ivar read_again: tokens of prompts that engines read although one had read them before.
    :ivar preemptions: requests that lost their memory in an engine.
    """

    scenario: str
    policy: str
    seed: int
    arrived: int
    records: tuple[Record, ...]
    read_again: int
    preemptions: int

    def share(self, ending: Ending) -> float:
        """Returns the part of the requests with an ending."""
        return sum(record.ending is ending for record in self.records) / max(self.arrived, 1)


def percentile(values: Iterable[float], part: float) -> float:
    """Returns the nearest-rank percentile, ``nan`` without values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


def counts_by(records: Sequence[Record], field: str) -> dict[str, Counter[Ending]]:
    """Returns the endings by a field of the records, in order of the field."""
    table: dict[str, Counter[Ending]] = {}
    for record in sorted(records, key=lambda record: getattr(record, field)):
        table.setdefault(str(getattr(record, field)), Counter())[record.ending] += 1
    return table
