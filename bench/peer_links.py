"""Cost of peer links: full mesh against groups, in real processes on the loopback.

``python -m bench.peer_links`` starts 4 to 64 processes with the ``peers`` service only, lets each
broadcast a delta once a second, and writes bench/out/peer_links.csv and peer_links_fit.csv. For
each topology it fits ``figure = base + slope x links`` by least squares and names the residual.
"""

import argparse
import csv
import os
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import orjson

ROOT = Path(__file__).resolve().parent.parent
OUT = ROOT / "bench" / "out"
SIZES = (4, 8, 16, 32, 64)
#: Size of one node's delta: about five engines' loads, bytes.
DELTA_BYTES = 240
DELTA_INTERVAL_S = 1.0
#: Time to link up before the measurement, seconds, and a part of it for each node.
SETTLE_S = 8.0
SETTLE_PER_NODE_S = 0.15
MEASURED_S = 15.0
#: Time for which a node stays after its measurement, for the others measure a little later, seconds.
LINGER_S = 8.0
SECRET = "bench-secret-0123456789"
FIGURES = ("bytes_per_s", "frames_per_s", "cpu_percent", "rss_mb")


def node(index: int, base_port: int, size: int, mesh_up_to: int, settle_s: float) -> None:
    """Runs one node and prints its figures as one JSON line.

    :param mesh_up_to: largest fleet with a full mesh.
    """
    from gevent import monkey

    monkey.patch_all()
    import gevent

    from arbutustally.logs import configure
    from arbutustally.metrics import Metrics
    from arbutustally_node.peers import PeersService
    from tests.node_options import options

    configure("error")
    addresses = {f"node-{i:03}": f"127.0.0.1:{base_port + i}" for i in range(size)}
    name = f"node-{index:03}"
    own = options(name, peer_listen=addresses[name], peer_secret=SECRET)
    service = PeersService(own, Metrics(), lambda: addresses, mesh_up_to=mesh_up_to)
    received = [0]
    service.subscribe("delta", lambda _origin, _payload: received.__setitem__(0, received[0] + 1))
    service.start()

    def broadcast() -> None:
        gevent.sleep(index / size * DELTA_INTERVAL_S)
        while True:
            service.broadcast("delta", bytes(DELTA_BYTES))
            gevent.sleep(DELTA_INTERVAL_S)

    gevent.spawn(broadcast)
    gevent.sleep(settle_s)
    received[0] = 0
    before, cpu, began = service.stats(), time.process_time(), time.monotonic()
    gevent.sleep(MEASURED_S)
    elapsed = time.monotonic() - began
    after = service.stats()
    figures = {
        "links": after["links"],
        "bytes_per_s": (after["sent_bytes"] - before["sent_bytes"]) / elapsed,
        "frames_per_s": (after["sent_frames"] - before["sent_frames"]) / elapsed,
        "cpu_percent": 100 * (time.process_time() - cpu) / elapsed,
        "rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "delivered_percent": 100 * received[0] / ((size - 1) * MEASURED_S / DELTA_INTERVAL_S),
    }
    gevent.sleep(LINGER_S)
    print(orjson.dumps(figures).decode(), flush=True)
    os._exit(0)


def run_fleet(size: int, topology: str, base_port: int) -> dict[str, float]:
    """Returns the mean figures of a fleet; ends its processes by their ids."""
    mesh_up_to = size if topology == "mesh" else 3
    settle_s = SETTLE_S + SETTLE_PER_NODE_S * size
    started = [
        subprocess.Popen(
            [
                *(sys.executable, "-m", "bench.peer_links", "--node", str(index)),
                *("--base-port", str(base_port), "--size", str(size)),
                *("--mesh-up-to", str(mesh_up_to), "--settle", str(settle_s)),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        for index in range(size)
    ]
    deadline = time.monotonic() + settle_s + MEASURED_S + 60
    rows = []
    try:
        for process in started:
            output, _ = process.communicate(timeout=max(deadline - time.monotonic(), 1))
            rows.append(orjson.loads(output))
    finally:
        for process in started:
            if process.poll() is None:
                process.kill()
    names = ("links", *FIGURES, "delivered_percent")
    return {name: statistics.fmean(row[name] for row in rows) for name in names}


def fit(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Returns base, slope and the largest residual of a least-squares line."""
    slope, base = statistics.linear_regression(xs, ys)
    residual = max(abs(y - base - slope * x) for x, y in zip(xs, ys, strict=True))
    return base, slope, residual


def write(path: Path, header: list[str], rows: list[list]) -> None:
    """Writes one CSV."""
    path.parent.mkdir(exist_ok=True)
    with path.open("w", newline="") as handle:
        csv.writer(handle).writerows([header, *rows])


def measure(sizes: list[int], base_port: int, report: Callable[..., None]) -> None:
    """Measures all fleets and writes both tables."""
    names = ["links", *FIGURES, "delivered_percent"]
    rows, fits = [], []
    report("topology", "nodes", *names)
    for topology in ("mesh", "groups"):
        measured = []
        for size in sizes:
            figures = run_fleet(size, topology, base_port)
            base_port += size
            measured.append(figures)
            rows.append([topology, size, *(round(figures[name], 2) for name in names)])
            report(*rows[-1])
        for name in FIGURES:
            for axis in ("links", "nodes"):
                xs = [row["links"] for row in measured] if axis == "links" else list(sizes)
                line = fit(xs, [row[name] for row in measured])
                fits.append([topology, name, axis, *(round(value, 3) for value in line)])
                report("fit", *fits[-1])
    write(OUT / "peer_links.csv", ["topology", "nodes", *names], rows)
    header = ["topology", "figure", "per", "base", "slope", "largest_residual"]
    write(OUT / "peer_links_fit.csv", header, fits)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--node", type=int, help="run one node of a fleet; used by this program")
    parser.add_argument("--size", type=int, default=0)
    parser.add_argument("--mesh-up-to", type=int, default=0)
    parser.add_argument("--settle", type=float, default=SETTLE_S)
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    arguments = parser.parse_args()
    if arguments.node is not None:
        node(
            arguments.node,
            arguments.base_port,
            arguments.size,
            arguments.mesh_up_to,
            arguments.settle,
        )
        return 0
    measure(arguments.sizes, arguments.base_port, print)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
