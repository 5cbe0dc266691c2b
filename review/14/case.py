"""A foreign entry without a start time hides that its worker leaves later."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common_3.callers import Caller, Directory, Sent  # noqa: E402
from review.common_3.nodes import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Node,
    await_ready,
    build_node,
    free_network,
)
from review.common_3.store import Store  # noqa: E402
from review.common_3.workers import Worker  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = ("leicester", "coventry", "derby")
NODES = 3
HOST = "quotes.example"
KEY = "key-of-the-shop"
SERVICE = "quote-desk"
#: A page of the shop looks up several quotes at once.
PAGE_EVERY_S = 3.0
LOOKUPS_OF_A_PAGE = 6
PAGES = 10
FOREIGN_AT_S = 4.0
#: Each old worker reports that it leaves, this long after a page; the next page follows later than
#: the 2 s after which nothing may reach it.
DRAIN_AT_S = (9.4, 15.4, 21.4)
#: The new worker starts this long before, and the old one ends this long after.
START_AHEAD_S = 2.5
SERVES_ON_S = 5.5


def configuration() -> dict:
    """Returns the operator's configuration: one route, one tenant."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "lookup",
                "host": HOST,
                "pathPrefix": "/lookup/",
                "kind": "idempotent",
                "timeoutMs": 600,
                "targetLatencyMs": 125,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 2,
                "public": False,
                "sessionAffinity": False,
                "resumable": False,
            }
        ],
        "services": [{"name": SERVICE, "healthCheck": "/healthz", "maxConnections": 96}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "shop",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "isolated": False,
                "ratePerS": 100_000,
                "burst": 100_000,
            }
        ],
    }


async def write_foreign(store: Store, workers: list[Worker], note) -> None:
    """Writes each worker's entry once, as a writer does that lacks one of its fields."""
    await asyncio.sleep(FOREIGN_AT_S)
    for worker in workers:
        entry = worker.entry()
        del entry["born"]
        store.put("keyed.servers", worker.id, entry)
        note(f"another writer writes the entry of {worker.id} without its field born")


async def replace_workers(old: list[Worker], new: list[Worker], left: dict, note) -> None:
    """Replaces the workers one after the other: the new one starts, then the old one leaves."""
    began = time.monotonic()
    for worker, follower, at in zip(old, new, DRAIN_AT_S, strict=True):
        await asyncio.sleep(began + at - START_AHEAD_S - time.monotonic())
        await follower.start()
        note(f"{follower.id} starts")
        await asyncio.sleep(began + at - time.monotonic())
        left[worker.id] = worker.drain()
        note(f"the store has acknowledged that {worker.id} is draining")
        await asyncio.sleep(SERVES_ON_S)
        worker.stop()
        note(f"{worker.id} ends")


async def send_pages(callers: list[Caller]) -> None:
    """Sends the look-ups of one page after the other."""
    began = time.monotonic()
    for page in range(PAGES):
        await asyncio.sleep(began + page * PAGE_EVERY_S - time.monotonic())
        lookups = range(LOOKUPS_OF_A_PAGE)
        await asyncio.gather(*(callers[(page + n) % len(callers)].ask() for n in lookups))


async def play(with_trouble: bool, directory: Path) -> int:
    """Plays the case; returns the exit code."""
    store = Store()
    await store.start()
    old = [Worker(f"i-old-{n}", SERVICE, ZONES[n], store, slots=6) for n in range(3)]
    new = [Worker(f"i-new-{n}", SERVICE, ZONES[n], store, slots=6) for n in range(3)]
    for worker in old:
        await worker.start()
    store.put("keyed.op", "config", configuration())
    ips = free_network(NODES)
    nodes = [
        build_node(number, ips, 7600, ZONES[number], store.address, directory)
        for number in range(NODES)
    ]
    lines: list[tuple[float, str]] = []
    sent: list[Sent] = []
    left: dict[str, float] = {}
    try:
        for node in nodes:
            node.start()
        await await_ready(nodes)
        began = time.monotonic()

        def note(text: str) -> None:
            lines.append((time.monotonic() - began, text))

        directories = [Directory(nodes[n:] + nodes[:n], HOST, ZONES[n]) for n in range(NODES)]
        callers = [Caller(one, "/lookup/a", KEY, {}, 200, 0.6, sent, "GET") for one in directories]
        tasks = [send_pages(callers), replace_workers(old, new, left, note)]
        if with_trouble:
            tasks.append(write_foreign(store, old, note))
        await asyncio.gather(*tasks)
        if not all(node.is_alive for node in nodes):
            raise CannotRunError("a node has ended by itself")
    finally:
        for node in nodes:
            node.kill()
    late = [
        (run.worker, run.at - left[run.worker])
        for worker in old
        for run in worker.runs
        if run.at > left[run.worker] + BOUNDS["drainMs"] / 1000
    ]
    lines += lines_of_requests(sent, [*old, *new], nodes, began)
    verdict = [f"DRAIN: a request reaches {name} {s:.3f} s after its draining" for name, s in late]
    verdict.append("the rule is broken" if late else "the rule held")
    text = "".join(f"{at:7.3f} s  {line}\n" for at, line in sorted(lines))
    (FOLDER / "record.txt").write_text(text + "\n".join(verdict) + "\n")
    print("\n".join(verdict))
    return int(bool(late))


def lines_of_requests(
    sent: list[Sent], workers: list[Worker], nodes: list[Node], began: float
) -> list[tuple[float, str]]:
    """Returns what was sent, answered and run, with the times of sending."""
    front = {f"{node.front[0]}:{node.front[1]}": node.name for node in nodes}
    ran = {run.request_id: run for worker in workers for run in worker.runs}
    lines = []
    for one in sent:
        run = ran.get(one.request_id)
        where = f"ran at {run.worker} {run.at - began:.3f} s" if run else "ran nowhere"
        text = f"{one.request_id} sent to {front[one.node]}, answered {one.status}, {where}"
        lines.append((one.at - began, text))
    return lines


def main() -> int:
    with tempfile.TemporaryDirectory() as name:
        try:
            with_trouble = os.environ.get("TROUBLE", "1") != "0"
            return asyncio.run(asyncio.wait_for(play(with_trouble, Path(name)), 110))
        except (CannotRunError, TimeoutError, OSError) as error:
            print(f"the case could not run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
