"""Processor time of a placement decision by candidates, and memory of the index by entries.

``python -m bench.placement_cost`` prints both with fitted lines and writes
``bench/out/placement_cost.csv``.
"""

import csv
import hashlib
import statistics
import time
import tracemalloc
from pathlib import Path
from random import Random

from arbutustally.cache_index import Anchor, CacheIndex, CacheScope
from arbutustally.clock import VirtualClock
from arbutustally.declarations import ClassOfWork
from arbutustally.placement import Placement
from arbutustally.placement_types import Candidate, PlacementRequest
from arbutustally.prefixes import split_levels

OUT = Path(__file__).resolve().parent / "out" / "placement_cost.csv"
#: 2,600 workers of 6 models make 433 candidates.
CANDIDATES = (6, 9, 32, 108, 433)
ENTRIES = (10_000, 40_000, 200_000, 1_000_000)
DECISIONS = 200
GUIDES = 20
PROMPT_BYTES = 100_000


def messages(guide: int, question: int) -> list[dict[str, str]]:
    """Returns a chat prompt of about ``PROMPT_BYTES`` with a shared guide."""
    text = f"guide {guide} " * (PROMPT_BYTES // 9)
    return [
        {"role": "system", "content": text},
        {"role": "user", "content": f"question {question}"},
    ]


def decision_us(count: int) -> float:
    """Returns the median processor time of a decision among ``count`` candidates."""
    rng = Random(1)
    clock = VirtualClock(100.0)
    placement = Placement.from_config(clock, rng)
    candidates = [
        Candidate(f"engine-{i}", "1", "zone-1", rng.uniform(0, 5000), 3, "v1", report_age_s=0.3)
        for i in range(count)
    ]
    target = ClassOfWork(first_token_ms=1600.0, recompute_percent=None)
    costs = []
    for number in range(DECISIONS):
        shape = split_levels(messages(rng.randrange(GUIDES), number))
        request = PlacementRequest("school", "marelle", "v1", shape, 100, target)
        begun = time.process_time_ns()
        placement.choose(request, candidates)
        costs.append((time.process_time_ns() - begun) / 1000)
        clock.advance(0.01)
    return statistics.median(costs)


def index_bytes(entries: int) -> float:
    """Returns the memory of an index of ``entries`` prefixes with one holder each."""
    scope = CacheScope("school", "marelle", "v1")
    names = [
        Anchor(hashlib.blake2b(str(number).encode(), digest_size=16).digest(), 1000)
        for number in range(entries)
    ]
    tracemalloc.start()
    index = CacheIndex(entries)
    for number, name in enumerate(names):
        index.record(scope, [name], f"engine-{number % 433}", "1", 0.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Returns slope, value at 0 and largest residual of a least-squares line."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    residual = max(abs(y - (line.slope * x + line.intercept)) for x, y in points)
    return line.slope, line.intercept, residual


def main() -> None:
    rows = [("decision", "candidates", n, decision_us(n), "us") for n in CANDIDATES]
    rows += [("index", "entries", n, index_bytes(n) / 1024, "KiB") for n in ENTRIES]
    OUT.parent.mkdir(exist_ok=True)
    with OUT.open("w", newline="") as handle:
        csv.writer(handle).writerows([("figure", "of", "count", "value", "unit"), *rows])
    for figure in ("decision", "index"):
        points = [(row[2], row[3]) for row in rows if row[0] == figure]
        for row in rows:
            if row[0] == figure:
                print(f"{figure}: {row[2]} {row[1]}: {row[3]:.0f} {row[4]}")
        slope, base, residual = fit(points)
        print(f"{figure}: slope {slope:.4f}, at 0 {base:.1f}, largest residual {residual:.1f}")


if __name__ == "__main__":
    main()
