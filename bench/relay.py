"""Processor time of a relayed stream event: the node against a bare bottle-and-urllib3 relay.

``python -m bench.relay`` runs both in turn against the same engine; each is a process of its own.
Paced streams deliver one event a read, as in service; bursts deliver many.
"""

from gevent import monkey

monkey.patch_all()

import csv
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import gevent

from bench.raw_http import completion_body, processor_s, stream
from bench.relay_processes import KEY, end, spawn

OUT = Path(__file__).resolve().parent / "out" / "relay.csv"
ROUNDS = 3


@dataclass(frozen=True)
class Load:
    """A load: ``streams`` at once, each of ``tokens``, one token every ``gap_s`` seconds."""

    name: str
    streams: int
    tokens: int
    gap_s: float


LOADS = (
    Load("paced", 100, 100, 0.02),
    Load("paced long", 50, 400, 0.01),
    Load("burst", 8, 4000, 0.0),
)


def measure(load: Load, address: str, pid: int) -> float:
    """Returns microseconds of processor time per event."""
    body = completion_body(load.tokens)
    before = processor_s(pid)
    jobs = [gevent.spawn(stream, address, body, KEY) for _ in range(load.streams)]
    gevent.joinall(jobs, raise_error=True)
    events = sum(job.get().events for job in jobs)
    if events != load.streams * load.tokens:
        raise RuntimeError(f"{events} events arrived, expected {load.streams * load.tokens}")
    return (processor_s(pid) - before) / events * 1e6


def main() -> None:
    rows = []
    for load in LOADS:
        engine, engine_address = spawn("engine", "--gap-s", str(load.gap_s))
        relays = {name: spawn(name, "--engine", engine_address) for name in ("node", "bare")}
        for process, address in relays.values():
            measure(Load("warm", 4, 50, 0.0), address, process.pid)
        for number in range(ROUNDS):
            for name, (process, address) in relays.items():
                cost = measure(load, address, process.pid)
                rows.append((load.name, name, number, round(cost, 2)))
        end(*[process for process, _ in relays.values()], engine)
    OUT.parent.mkdir(exist_ok=True)
    with OUT.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("load", "relay", "round", "cpu_us_per_event"))
        writer.writerows(rows)
    for load in LOADS:
        node, bare = (
            median(cost for name, relay, _, cost in rows if (name, relay) == (load.name, which))
            for which in ("node", "bare")
        )
        print(f"{load.name}: node {node:.1f} us, bare {bare:.1f} us, ratio {node / bare:.2f}")


if __name__ == "__main__":
    main()
