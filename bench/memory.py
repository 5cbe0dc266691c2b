"""Resident memory of the node's request path: idle, with 500 open streams, and after them."""

from gevent import monkey

monkey.patch_all()

import csv
from pathlib import Path

import gevent

from bench.raw_http import completion_body, memory_kb, stream
from bench.relay_processes import KEY, end, spawn

OUT = Path(__file__).resolve().parent / "out" / "memory.csv"
STREAMS = 500


def main() -> None:
    engine, engine_address = spawn("engine", "--gap-s", "0.5")
    node, node_address = spawn("node", "--engine", engine_address)
    rows = [("idle", memory_kb(node.pid))]
    jobs = [gevent.spawn(stream, node_address, completion_body(20), KEY) for _ in range(STREAMS)]
    gevent.sleep(5)
    rows.append((f"{STREAMS} open streams", memory_kb(node.pid)))
    gevent.joinall(jobs, raise_error=True)
    rows.append(("after them", memory_kb(node.pid)))
    end(node, engine)
    OUT.parent.mkdir(exist_ok=True)
    with OUT.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("state", "resident_kib"))
        writer.writerows(rows)
    for state, size in rows:
        print(f"{state}: {size / 1024:.1f} MiB")
    each = (rows[1][1] - rows[0][1]) / STREAMS
    print(f"each open stream: {each:.1f} KiB")


if __name__ == "__main__":
    main()
