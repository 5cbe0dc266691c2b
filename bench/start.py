"""Time from the start of a node process to its first served request, and its idle cost.

``python -m bench.start`` starts a fleet, restarts one node with the log up and with the log down,
and then reads processor time and memory of the idle nodes. It writes ``bench/out/start.csv``.
"""

from gevent import monkey

monkey.patch_all()

import csv  # noqa: E402
import os  # noqa: E402
import statistics  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import urllib3  # noqa: E402

from tests.fleet import Fleet  # noqa: E402

OUT = Path(__file__).resolve().parent / "out" / "start.csv"
NODES = 6
#: The default of the setting; the tests of processes use shorter leases.
LEASE_S = 10
#: Enough for a draining node to hand its leases over; the default is 20 s.
GRACE_S = 5
RUNS = 5
IDLE_S = 20.0
#: Time in which released standing shares find new holders, seconds.
SETTLE_S = 10.0
_POLL_S = 0.01
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

_http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=1, read=10))


def first_served_s(fleet: Fleet, name: str, key: str) -> float:
    """Restarts a node and returns the seconds until it has answered a completion.

    The node is drained first: a crash would leave its standing shares unused for two hours.
    """
    fleet.nodes[name].terminate()
    begun = time.monotonic()
    node = fleet.add_node(name, lease_s=LEASE_S, drain_grace_s=GRACE_S)
    body = {"model": "marelle", "prompt": "ready?", "max_tokens": 1}
    url = f"http://{node.address}/v1/completions"
    headers = {"Authorization": f"Bearer {key}"}
    while time.monotonic() - begun < 60:
        try:
            if _http.request("POST", url, json=body, headers=headers).status == 200:
                return time.monotonic() - begun
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(_POLL_S)
    raise SystemExit(f"{name} served nothing in 60 s; see {node.output}")


def cpu_s(pid: int) -> float:
    """Returns user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


def idle_rows(fleet: Fleet) -> list[tuple[str, str, float]]:
    """Returns processor time and memory of the idle nodes."""
    pids = [node.popen.pid for node in fleet.nodes.values()]
    before = [cpu_s(pid) for pid in pids]
    time.sleep(IDLE_S)
    used = [100 * (cpu_s(pid) - old) / IDLE_S for pid, old in zip(pids, before, strict=True)]
    memory = [resident_mb(pid) for pid in pids]
    return [
        ("idle processor time, mean", "% of a core", statistics.mean(used)),
        ("idle processor time, most", "% of a core", max(used)),
        ("idle resident memory, most", "MB", max(memory)),
    ]


def main() -> None:
    fleet = Fleet.from_config(engines=3, nodes=NODES, lease_s=LEASE_S, drain_grace_s=GRACE_S)
    try:
        applied = fleet.apply()
        if applied.returncode:
            raise SystemExit(applied.stderr)
        key, _ = fleet.issue_key()
        fleet.wait_serving(key)
        up = [first_served_s(fleet, f"node-{run % NODES + 1}", key) for run in range(RUNS)]
        fleet.wait_serving(key)
        time.sleep(SETTLE_S)
        fleet.fault(fleet.log, outage=True)
        down = [first_served_s(fleet, "node-1", key)]
        fleet.fault(fleet.log, outage=False)
        fleet.wait_serving(key)
        rows = [
            ("start to first served request, log up, median", "s", statistics.median(up)),
            ("start to first served request, log up, most", "s", max(up)),
            ("start to first served request, log down", "s", down[0]),
            *idle_rows(fleet),
        ]
    finally:
        fleet.stop()
    OUT.parent.mkdir(exist_ok=True)
    with OUT.open("w", newline="") as handle:
        csv.writer(handle).writerows([("figure", "unit", "value"), *rows])
    for figure, unit, value in rows:
        print(f"| {figure} | {value:.2f} {unit} |")


if __name__ == "__main__":
    main()
