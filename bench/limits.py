"""Account limits on a virtual clock: refusals within the rate, over-admission, calls.

``python -m bench.limits`` runs the modules of the product over the simulated fleet of the tests
and writes bench/out/limits.csv. The reference is one bucket of the account's whole rate and burst
that sees every request in order.
"""

import argparse
import csv
from collections.abc import Iterator
from dataclasses import astuple, dataclass, fields
from heapq import heappop, heappush
from itertools import count, product
from pathlib import Path
from random import Random

from arbutustally.limit_issuer import Demand
from arbutustally_node.limits_service import MAINTENANCE_INTERVAL_S, REPORT_INTERVAL_S, WAIT_S
from tests.limits_world import ACCOUNT, SimNode, World

OUT = Path(__file__).resolve().parent / "out" / "limits.csv"
RATE = 1000.0
#: Time before the measurement in which leases and shares settle and buckets fill, seconds.
WARM_S = 60.0
MEASURED_S = 60.0
#: Duration of a request, seconds.
REQUEST_S = 3.0
MEAN_TOKENS = 40.0
#: Shortest pause between two attempts; the product has one request of an account ask at a time.
MIN_PAUSE_S = 0.05
FAILURE_AT_S = 15.0
REPAIRED_AT_S = 40.0


@dataclass(frozen=True)
class Case:
    """One run.

    :ivar offered: offered tokens as part of the rate.
    :ivar burst_s: burst as time of the rate, seconds.
    :ivar used: part of its reservation that a request uses.
    :ivar spread: ``home`` sends requests to the two home nodes, ``all`` to every node.
    :ivar mode: ``ahead`` fetches grants ahead, ``each`` asks once for each request.
    :ivar failure: the owner is frozen for a while.
    """

    nodes: int
    offered: float
    burst_s: float
    used: float
    spread: str
    mode: str
    failure: bool


@dataclass(frozen=True)
class Figures:
    """Results of a run; counts of requests, tokens.

    :ivar refused_within: requests refused although the reference admitted them, in percent.
    :ivar admitted_percent: admitted tokens as part of what the reference admitted.
    :ivar excess: largest excess of any interval over rate x interval + burst; 0 or less is right.
    """

    requests: int
    refused: int
    reference_refused: int
    refused_within_percent: float
    admitted_percent: float
    excess: float
    calls_per_request: float


class Reference:
    """One bucket for the whole fleet, with the same wait as the product."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst, self._level, self._at = rate, burst, burst, now
        self.tokens = 0.0

    def admit(self, tokens: float, now: float) -> bool:
        self._level = min(self._level + self._rate * (now - self._at), self._burst)
        self._at = now
        if self._level + self._rate * WAIT_S < tokens:
            return False
        self._level -= tokens
        self.tokens += tokens
        return True

    def settle(self, unused: float) -> None:
        self._level = min(self._level + unused, self._burst)
        self.tokens -= unused


class Run:
    """Events of one case in order of time."""

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._random = Random(seed)
        burst = RATE * case.burst_s
        self._world = World(case.nodes, RATE, burst)
        self._world.run(WARM_S + case.burst_s)
        self._start = self._world.now
        self._reference = Reference(RATE, burst, self._start)
        self._demand: dict[str, Demand] = {}
        self._events: list[tuple] = []
        self._serial = count()
        self._requests = self._refused = self._reference_refused = self._within = 0
        first = self._world.owner_index()
        ranked = [node for node in self._world.nodes if node != f"n{first}"]
        self._owner_id = f"n{first}"
        share = self._world.node(0).state.share(0, 1).holder.partition("#")[0]
        self._homes = [self._owner_id, share if share in ranked else ranked[0]]

    def _at(self, instant: float, function: object, *arguments: object) -> None:
        heappush(self._events, (instant, next(self._serial), function, arguments))

    def figures(self) -> Figures:
        """Runs all events and returns the results."""
        end = self._start + MEASURED_S
        for instant in self._arrivals(end):
            self._at(instant, self._arrive)
        self._every(MAINTENANCE_INTERVAL_S, end, self._world.maintain)
        self._every(REPORT_INTERVAL_S, end, self._report)
        if self._case.failure:
            self._at(self._start + FAILURE_AT_S, self._freeze, True)
            self._at(self._start + REPAIRED_AT_S, self._freeze, False)
        self._world.calls = 0
        while self._events:
            instant, _, function, arguments = heappop(self._events)
            self._world.now = max(self._world.now, instant)
            function(*arguments)
        admitted = sum(admission.tokens for admission in self._world.admissions)
        return Figures(
            self._requests,
            self._refused,
            self._reference_refused,
            round(100 * self._within / self._requests, 3),
            round(100 * admitted / self._reference.tokens, 2),
            round(self._world.excess(), 6),
            round(self._world.calls / self._requests, 3),
        )

    def _arrivals(self, end: float) -> Iterator[float]:
        instant = self._start
        while True:
            per_second = self._case.offered * RATE / (MEAN_TOKENS * self._case.used)
            instant += self._random.expovariate(per_second)
            if instant >= end:
                return
            yield instant

    def _every(self, interval: float, end: float, function: object) -> None:
        steps = int((end - self._start) / interval)
        for step in range(steps):
            self._at(self._start + step * interval, function)

    def _freeze(self, frozen: bool) -> None:
        self._world.nodes[self._owner_id].frozen = frozen

    def _report(self) -> None:
        for node in self._live():
            node.sources.report(ACCOUNT)

    def _live(self) -> list[SimNode]:
        return [node for node in self._world.nodes.values() if not node.frozen]

    def _arrive(self) -> None:
        live = self._live()
        if self._case.spread == "home":
            live = [node for node in live if node.id in self._homes] or live
        tokens = self._random.uniform(0.5, 1.5) * MEAN_TOKENS
        admitted = self._reference.admit(tokens, self._world.now)
        if admitted:
            unused = tokens * (1 - self._case.used)
            self._at(self._world.now + REQUEST_S, self._reference.settle, unused)
        self._requests += 1
        self._reference_refused += not admitted
        node = self._random.choice(live)
        self._try(node, tokens, self._world.now + WAIT_S, admitted)

    def _try(self, node: SimNode, tokens: float, deadline: float, expected: bool) -> None:
        if not node.frozen and self._admit(node, tokens):
            admission = self._world.admissions[-1]
            instant = self._world.now + REQUEST_S
            self._at(instant, self._world.settle, admission, self._case.used)
            return
        refusal = node.sources.last_refusal(ACCOUNT)
        pause = max(refusal.retry_after_s or MIN_PAUSE_S, MIN_PAUSE_S)
        if self._world.now + pause <= deadline:
            self._at(self._world.now + pause, self._try, node, tokens, deadline, expected)
            return
        self._refused += 1
        self._within += expected

    def _admit(self, node: SimNode, tokens: float) -> bool:
        if self._case.mode == "each":
            # A call for each request, and nothing kept: grants are closed at once.
            node.sources.report(ACCOUNT, everything=True)
            return self._world.admit(node, tokens)
        now, burst = node.clock(), self._world.burst
        demand = self._demand.setdefault(node.holder, Demand(now))
        admitted = self._world.admit(node, tokens, demand.prefetch_tokens(now, burst))
        if admitted:
            demand.note(tokens, now)
            missing = demand.missing(node.pool.available(ACCOUNT), tokens, now, burst)
            if missing > 0 and not node.sources.is_owner(ACCOUNT):
                node.try_ahead(missing)
        return admitted


def cases() -> list[Case]:
    """Returns the cases of the table."""
    table = []
    for nodes, offered, spread in product((2, 8, 32), (0.5, 0.9, 1.0, 2.0), ("home", "all")):
        table.append(Case(nodes, offered, 10.0, 1.0, spread, "ahead", False))
    for nodes, mode in product((2, 8, 32), ("ahead", "each")):
        table.append(Case(nodes, 0.9, 10.0, 1.0, "all", mode, False))
        table.append(Case(nodes, 0.9, 10.0, 1.0, "home", mode, True))
        table.append(Case(nodes, 0.7, 10.0, 1.0, "home", mode, True))
    for burst_s, used in product((2.0, 30.0), (1.0, 0.3)):
        table.append(Case(8, 0.9, burst_s, used, "all", "ahead", False))
    return list(dict.fromkeys(table))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    names = [field.name for field in (*fields(Case), *fields(Figures))]
    OUT.parent.mkdir(exist_ok=True)
    worst = float("-inf")
    with OUT.open("w", newline="") as handle:
        writer = csv.writer(handle)
        writer.writerow(names)
        print(" ".join(names))
        for case in cases():
            figures = Run(case, arguments.seed).figures()
            worst = max(worst, figures.excess)
            row = (*astuple(case), *astuple(figures))
            writer.writerow(row)
            print(*row)
    print(f"largest excess over rate x interval + burst: {worst} tokens")
    return 0 if worst <= 1e-6 else 1


if __name__ == "__main__":
    raise SystemExit(main())
