"""Where requests were lost or late, by route and cause, from the decision lines of nodes.

Reads lines as nodes write them, also with text before them, from files or standard input:
``python -m bench.lost node-1.log node-2.log``.
"""

import argparse
import csv
import fileinput
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

#: Pause inside a stream above which it counts as late where nothing else is said, ms.
DEFAULT_PAUSE_MS = 300
#: Outcomes that end no request of the account: the caller asked for what does not exist.
NOT_OWED = frozenset({"route_unknown", "key_invalid", "bad_request"})
LINE_START = '{"t":'


class Cause(StrEnum):
    """Why a request was lost or late; the first that holds counts."""

    ON_TIME = "on time"
    LIMIT = "refused: rate of the account"
    REFUSED = "refused: engines behind or none able"
    FULL = "refused: every endpoint tried was full"
    FAILED = "failed at the endpoint"
    TIMEOUT = "no answer in time"
    GONE = "caller left"
    OTHER = "other refusal or fault"
    LATE_MOVED = "late: more than one endpoint was tried"
    LATE_FORESEEN = "late: the wait was expected"
    LATE_UNFORESEEN = "late: the wait was not expected"
    LATE_PAUSE = "late: pause inside the stream"
    LATE_PLAIN = "late: plain endpoint slow"


@dataclass(frozen=True)
class Row:
    """A row of the table.

    :ivar share: of the requests of the route.
    """

    route: str
    cause: Cause
    requests: int
    share: float


def decision_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the decision lines about requests; other lines are passed over."""
    for line in lines:
        start = line.find(LINE_START)
        if start < 0:
            continue
        try:
            fields = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if fields.get("event") == "request" and fields.get("outcome") not in NOT_OWED:
            yield fields


def cause_of(line: dict[str, Any], pause_ms: float) -> Cause:
    """Returns why the request of a decision line was lost or late."""
    outcome = line.get("outcome")
    if outcome == "answered":
        return _lateness(line, pause_ms)
    if outcome == "rate_limited":
        return Cause.LIMIT
    if outcome in ("overloaded", "no_endpoint"):
        return Cause.FULL if line.get("attempts") else Cause.REFUSED
    if outcome == "endpoint_failed":
        return Cause.FAILED
    if outcome == "endpoint_timeout":
        return Cause.TIMEOUT
    if outcome in ("caller_gone", "caller_unwritable"):
        return Cause.GONE
    return Cause.OTHER


def _lateness(line: dict[str, Any], pause_ms: float) -> Cause:
    target = line.get("target_ms", float("inf"))
    if "expected_ms" not in line:
        return Cause.LATE_PLAIN if line["took_ms"] > target else Cause.ON_TIME
    before_first = sum(took_s for _id, _reason, took_s, *_rest in line["attempts"][:-1]) * 1000
    if line.get("first_ms", 0) + before_first > target:
        if len(line["attempts"]) > 1:
            return Cause.LATE_MOVED
        is_foreseen = line["expected_ms"] > target
        return Cause.LATE_FORESEEN if is_foreseen else Cause.LATE_UNFORESEEN
    return Cause.LATE_PAUSE if line.get("gap_ms", 0) > pause_ms else Cause.ON_TIME


def table(lines: Iterable[str], pause_ms: float = DEFAULT_PAUSE_MS) -> list[Row]:
    """Returns the rows of all routes; the shares of a route add up to 1."""
    counts: dict[str, Counter[Cause]] = {}
    for line in decision_lines(lines):
        counts.setdefault(line.get("route", ""), Counter())[cause_of(line, pause_ms)] += 1
    return [
        Row(route, cause, number, number / causes.total())
        for route, causes in sorted(counts.items())
        for cause, number in causes.most_common()
    ]


def main() -> int:
    """Prints the table as CSV."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*", help="logs of nodes; standard input by default")
    parser.add_argument(
        "--pause-ms", type=float, default=DEFAULT_PAUSE_MS, help="longest pause in time (300)"
    )
    arguments = parser.parse_args()
    writer = csv.writer(sys.stdout)
    writer.writerow(("route", "cause", "requests", "share"))
    with fileinput.input(arguments.files, errors="replace") as lines:
        for row in table(lines, arguments.pause_ms):
            writer.writerow((row.route, row.cause, row.requests, f"{row.share:.3f}"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
