"""One soak: callers, overlapping faults of a seed, and the promises that must hold."""

import re
import signal
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import gevent

from arbutustally.clock import monotonic
from tests.soak.callers import Callers
from tests.soak.faults import FAULTS, Fault
from tests.soak.fleet import FleetSize, SoakFleet
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.notes import Notes
from tests.soak.program import PORTS
from tests.soak.proxy import Harm
from tests.soak.rules import cold_bursts, evacuated_runs, late_runs, outdated_runs, overlapping_runs

#: Callers of a fleet of the default size; larger ones have more.
CALLERS = 16
_RULE = re.compile(r"\b[A-Z]{5,}\b")
DEFAULT_SIZE = FleetSize()
READY_S = 20.0
#: Time after the last fault in which the fleet must serve again, and must have named weights.
RECOVER_S = 12.0
#: Part of the requests after recovery that must be served.
SERVED_PART = 0.9
CHECK_REQUESTS = 60


@dataclass
class Report:
    """What a soak found.

    :ivar faults: faults that were injected, with their start in seconds.
    :ivar spoils: answers of workers that were spoiled, by kind.
    :ivar unmarked: successes without a marked end.
    :ivar short: those among them that ended early, which nobody could tell.
    :ivar broken: promises that were broken.
    """

    seed: int
    logs: str
    requests: int = 0
    served: int = 0
    faults: list[tuple[float, str]] = field(default_factory=list)
    spoils: Counter[str] = field(default_factory=Counter)
    unmarked: int = 0
    short: int = 0
    broken: list[str] = field(default_factory=list)

    @property
    def rules(self) -> Counter[str]:
        """Returns how often each rule was broken; promises without a rule count as one."""
        found = (_RULE.search(line) for line in self.broken)
        return Counter(match[0] if match else "other" for match in found)

    def __str__(self) -> str:
        verdict = "kept"
        names = " ".join(f"{name}@{at:.1f}" for at, name in self.faults)
        if self.broken:
            verdict = f"BROKEN {dict(self.rules)} {self.broken[:3]}"
        served = f"{self.served}/{self.requests} served, {self.unmarked} unmarked"
        spoils = " ".join(f"{kind}:{count}" for kind, count in sorted(self.spoils.items()))
        return f"seed {self.seed}: {served}, {self.short} short, {verdict}; {spoils}; {names}"


def run(
    seed: int,
    seconds: float,
    first_network: int = FIRST_NETWORK,
    faults: tuple[Fault, ...] = FAULTS,
    size: FleetSize = DEFAULT_SIZE,
) -> Report:
    """Plays one seed.

    :param seconds: time during which faults begin.
    :param first_network: number of the first network to try; the first free one is used.
    """
    rng = Random(seed)
    fleet = SoakFleet(Network.reserve_free(first_network, tuple(PORTS.values())), size, seed)
    report = Report(seed, str(fleet.directory))
    callers = Callers(fleet, Random(seed))
    try:
        _wait(lambda: all(map(fleet.is_ready, fleet.ips)), READY_S)
        callers.start(CALLERS * size.nodes // DEFAULT_SIZE.nodes)
        _inject(fleet, rng, seconds, report, faults)
        _heal(fleet)
        report.broken.extend(_not_recovered(fleet, callers))
        callers.stop()
        _judge(fleet, callers, report)
        report.broken.extend(_bad_stops(fleet))
    finally:
        fleet.stop()
        callers.close()
    (fleet.directory / "broken.txt").write_text("\n".join(report.broken))
    report.requests = len(callers.results)
    report.served = sum(result.is_served for result in callers.results)
    return report


def _inject(
    fleet: SoakFleet, rng: Random, seconds: float, report: Report, faults: tuple[Fault, ...]
) -> None:
    began = monotonic()
    running = []
    while (at := monotonic() - began) < seconds:
        fault = rng.choice(faults)
        report.faults.append((at, fault.__name__))
        running.append(gevent.spawn(fault, fleet, Random(rng.random())))
        gevent.sleep(rng.uniform(0.1, 1.5))
    gevent.joinall(running, raise_error=True)


def _heal(fleet: SoakFleet) -> None:
    fleet.set_store_status(200)
    for proxy in (*fleet.stores.values(), *(one.proxy for one in fleet.backends)):
        proxy.set(Harm.NONE)
    for program in (*fleet.nodes.values(), *fleet.programs):
        program.send(signal.SIGCONT)
    for node in fleet.nodes.values():
        node.start()
    for backend in fleet.backends:
        if not backend.program.is_alive:
            backend.restart()
        backend.list("ready")


def _not_recovered(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    for ip in fleet.ips:
        if not _wait(lambda ip=ip: fleet.is_ready(ip), RECOVER_S):
            yield f"node {ip} is not ready"
    engines = [backend.id for backend in fleet.backends if backend.model]

    def in_place() -> bool:
        return all(fleet.ordered_version(one) == fleet.weights for one in engines)

    if not _wait(in_place, RECOVER_S):
        found = {one: fleet.ordered_version(one) for one in engines}
        yield f"engines have {found}, version {fleet.weights} was named"
    first = len(callers.results)
    _wait(lambda: len(callers.results) >= first + CHECK_REQUESTS, RECOVER_S)
    checked = callers.results[first : first + CHECK_REQUESTS]
    _wait(lambda: all(result.is_done for result in checked), RECOVER_S)
    served = sum(result.is_served for result in checked)
    if served < SERVED_PART * CHECK_REQUESTS:
        lost = [(one.id, str(one.kind), one.status) for one in checked if not one.is_served]
        yield f"{served} of {CHECK_REQUESTS} requests are served after the faults: {lost}"


def _judge(fleet: SoakFleet, callers: Callers, report: Report) -> None:
    """Adds to the report which promises answers, runs and orders break."""
    notes = fleet.notes()
    runs = notes.runs()
    report.spoils = notes.spoils
    for result in callers.results:
        own = runs.get(result.id, [])
        report.unmarked += result.is_unmarked
        report.short += result.is_short(own)
        found = (
            *result.faults(own),
            *overlapping_runs(fleet, result, own),
            *late_runs(fleet, result, own),
            *outdated_runs(fleet, result, own),
            *evacuated_runs(fleet, result, own),
        )
        for fault in found:
            report.broken.append(f"{result.kind} {result.id}: {fault}")
    unasked = runs.keys() - {result.id for result in callers.results}
    if unasked:
        report.broken.append(f"requests ran that nobody sent: {sorted(unasked)[:3]}")
    if notes.changed:
        report.broken.append(f"requests ran with a changed body: {notes.changed[:3]}")
    report.broken.extend(_bad_orders(notes))
    report.broken.extend(cold_bursts(fleet, [run for own in runs.values() for run in own]))


def _bad_orders(notes: Notes) -> Iterator[str]:
    holders: dict[int, set[str]] = {}
    for engine, orders in notes.orders.items():
        fences = [order.fence for order in orders]
        if fences != sorted(fences):
            yield f"{engine} was ordered with fencing numbers {fences}"
        for order in orders:
            holders.setdefault(order.fence, set()).add(order.holder)
    for fence, names in holders.items():
        if len(names) > 1:
            yield f"{sorted(names)} used the fencing number {fence}"


def _bad_stops(fleet: SoakFleet) -> Iterator[str]:
    """Stops all nodes in an orderly way; every one must end by itself."""
    ends = [gevent.spawn(node.end, signal.SIGTERM) for node in fleet.nodes.values()]
    gevent.joinall(ends)
    codes = [end.value for end in ends]
    if any(code != 0 for code in codes):
        yield f"nodes ended with {codes}"


def _wait(condition, within_s: float) -> bool:
    latest = monotonic() + within_s
    while not condition():
        if monotonic() > latest:
            return False
        gevent.sleep(0.1)
    return True
