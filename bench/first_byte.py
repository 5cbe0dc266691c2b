"""Time to first byte that the node adds, at 50 requests/s with prompts of 100 KB.

``python -m bench.first_byte`` sends requests in turn to the engine and through the node.
"""

from gevent import monkey

monkey.patch_all()

import csv
from pathlib import Path
from statistics import quantiles

import gevent

from arbutustally.clock import monotonic
from bench.raw_http import completion_body, stream
from bench.relay_processes import KEY, end, spawn

OUT = Path(__file__).resolve().parent / "out" / "first_byte.csv"
RATE = 50
SECONDS = 20
PROMPT_BYTES = 100_000
ENGINE_FIRST_S = 0.005


def main() -> None:
    engine, engine_address = spawn("engine", "--first-s", str(ENGINE_FIRST_S))
    node, node_address = spawn("node", "--engine", engine_address)
    addresses = {"direct": engine_address, "node": node_address}
    jobs = []
    begun = monotonic()
    for number in range(RATE * SECONDS * 2):
        # The direct call and the one through the node share each interval.
        gevent.sleep(max(0.0, begun + number / RATE / 2 - monotonic()))
        name = ("direct", "node")[number % 2]
        text = f"{number:08d}" * (PROMPT_BYTES // 8)
        body = completion_body(2, text)
        jobs.append((name, gevent.spawn(stream, addresses[name], body, KEY)))
    gevent.joinall([job for _, job in jobs], raise_error=True)
    end(node, engine)
    OUT.parent.mkdir(exist_ok=True)
    with OUT.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("path", "first_byte_ms"))
        writer.writerows((name, round(job.get().first_s * 1000, 3)) for name, job in jobs)
    found = {}
    for name in addresses:
        cuts = quantiles([job.get().first_s * 1000 for which, job in jobs if which == name], n=100)
        found[name] = (cuts[49], cuts[98])
        print(f"{name}: median {cuts[49]:.2f} ms, 99th percentile {cuts[98]:.2f} ms")
    (direct50, direct99), (node50, node99) = found["direct"], found["node"]
    print(f"added: median {node50 - direct50:.2f} ms, 99th percentile {node99 - direct99:.2f} ms")


if __name__ == "__main__":
    main()
