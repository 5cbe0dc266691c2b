"""One soak: callers, overlapping faults of a seed, and the promises that must hold."""

import signal
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import gevent

from arbutustally.clock import monotonic
from tests.soak.callers import Callers
from tests.soak.faults import FAULTS
from tests.soak.fleet import PORTS, SoakFleet
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.proxy import Harm

CALLERS = 16
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
    :ivar broken: promises that were broken.
    """

    seed: int
    logs: str
    requests: int = 0
    served: int = 0
    faults: list[tuple[float, str]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        verdict = "kept" if not self.broken else f"BROKEN {self.broken[:5]}"
        names = " ".join(f"{name}@{at:.1f}" for at, name in self.faults)
        return f"seed {self.seed}: {self.served}/{self.requests} served, {verdict}; {names}"


def run(seed: int, seconds: float, first_network: int = FIRST_NETWORK) -> Report:
    """Plays one seed.

    :param seconds: time during which faults begin.
    :param first_network: number of the first network to try; the first free one is used.
    """
    rng = Random(seed)
    fleet = SoakFleet(Network.reserve_free(first_network, tuple(PORTS.values())))
    report = Report(seed, str(fleet.directory))
    callers = Callers(fleet, Random(seed))
    try:
        _wait(lambda: all(map(fleet.is_ready, fleet.ips)), READY_S)
        callers.start(CALLERS)
        _inject(fleet, rng, seconds, report)
        _heal(fleet)
        report.broken.extend(_not_recovered(fleet, callers))
        callers.stop()
        report.broken.extend(_broken_promises(fleet, callers))
        report.broken.extend(_bad_stops(fleet))
    finally:
        fleet.stop()
    report.requests = len(callers.results)
    report.served = sum(result.is_served for result in callers.results)
    return report


def _inject(fleet: SoakFleet, rng: Random, seconds: float, report: Report) -> None:
    began = monotonic()
    running = []
    while (at := monotonic() - began) < seconds:
        fault = rng.choice(FAULTS)
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


def _broken_promises(fleet: SoakFleet, callers: Callers) -> Iterator[str]:
    ran = fleet.ran()
    for result in callers.results:
        if fault := result.fault(ran.get(result.id, [])):
            yield f"{result.kind} {result.id}: {fault}"
    unasked = ran.keys() - {result.id for result in callers.results}
    if unasked:
        yield f"requests ran that nobody sent: {sorted(unasked)[:3]}"
    holders: dict[int, set[str]] = {}
    for engine, orders in fleet.orders().items():
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
