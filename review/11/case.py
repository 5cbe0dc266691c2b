"""Nodes that start while they are cut off from the others admit a tenant's whole limit each."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common_3.callers import Caller, Directory, Sent  # noqa: E402
from review.common_3.datagrams import DatagramProxy  # noqa: E402
from review.common_3.nodes import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Node,
    await_ready,
    build_node,
    free_network,
)
from review.common_3.store import Store  # noqa: E402
from review.common_3.workers import Run, Worker  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = ("leicester", "coventry", "derby")
NODES = 6
#: Nodes that are cut off: 0.35 of six, rounded down as the bench does.
CUT_NODES = (3, 5)
CUT_S = 12.0
CUT_AT_S = 6.0
KILL_AT_S = 7.0
DOWN_S = 0.5
END_S = 22.0
MODEL = "m0"
HOST = "quotes.example"
TENANT = "hot"
KEY = "key-of-the-hot-tenant"
RATE = 60_000
BURST = 60_000
#: One request of the sheet's first kind, in and out.
USAGE = "9190,9"
TOKENS = 9199
#: The sheet's hot tenant sends 7.5 times its usual, and its limit is 1.8 times its usual.
DEMAND = RATE * 7.5 / 1.8


def configuration() -> dict:
    """Returns the operator's configuration: one kind of request, one tenant."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "check",
                "host": HOST,
                "pathPrefix": "/check/",
                "kind": "streaming",
                "timeoutMs": 4000,
                "targetLatencyMs": 600,
                "priority": 1,
                "service": "estimator",
                "maxAttempts": 1,
                "public": False,
                "sessionAffinity": True,
                "resumable": False,
                "gapAimMs": 300,
            }
        ],
        "services": [
            {
                "name": "estimator",
                "healthCheck": "/healthz",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 1_000_000,
                    "kvTokenBytes": 163840,
                    "linkMbps": 2200000.0,
                    "maxInflight": 12,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "isolated": False,
                "ratePerS": RATE,
                "burst": BURST,
            }
        ],
    }


def limit() -> float:
    """Returns the tokens that the rule QUOTA allows in one window."""
    window_s = BOUNDS["quotaWindowS"]
    return (RATE * window_s + BURST) * (1 + BOUNDS["quotaOverage"]) + BOUNDS["quotaSlack"]


def worst_window(sent: dict[str, Sent], runs: list[Run]) -> tuple[float, int]:
    """Returns begin and tokens of the worst window: both sent and run within it."""
    window_s = BOUNDS["quotaWindowS"]
    spans = sorted((sent[run.request_id].at, run.at) for run in runs if run.request_id in sent)
    worst = 0.0, 0
    for begin, _at in spans:
        inside = sum(one >= begin and at <= begin + window_s for one, at in spans)
        worst = max(worst, (begin, inside * TOKENS), key=lambda found: found[1])
    return worst


async def send_load(nodes: list[Node], sent: list[Sent], until: float) -> None:
    """Sends the hot tenant's requests; each client asks the nodes in another order."""
    interval_s = TOKENS / DEMAND
    headers = {"Model": MODEL, "Token-Usage": USAGE, "Prompt-Prefix": "aa:2520,bb:3780,cc:2890"}
    callers = []
    for number in range(NODES):
        ordered = nodes[number:] + nodes[:number]
        directory = Directory(ordered, HOST, ZONES[number % len(ZONES)])
        callers.append(Caller(directory, "/check/a", KEY, headers, TOKENS, 4.0, sent))
    tasks = set()
    number = 0
    while time.monotonic() < until:
        task = asyncio.create_task(callers[number % NODES].ask())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)


async def disturb(nodes: list[Node], proxy: DatagramProxy, note) -> None:
    """Cuts two nodes off from the others, then kills all processes, which start again."""
    await asyncio.sleep(CUT_AT_S)
    proxy.cut = set(CUT_NODES)
    note(f"cut off from all other nodes: {[nodes[number].name for number in CUT_NODES]}")
    await asyncio.sleep(KILL_AT_S - CUT_AT_S)
    for node in nodes:
        node.send(signal.SIGKILL)
    note("all processes killed")
    await asyncio.sleep(DOWN_S)
    for node in nodes:
        node.kill()
        node.start()
    note("all processes started again")
    await asyncio.sleep(CUT_AT_S + CUT_S - KILL_AT_S - DOWN_S)
    proxy.cut = set()
    note("the cut has healed")


async def play(with_trouble: bool, directory: Path) -> int:
    """Plays the case; returns the exit code."""
    store = Store()
    await store.start()
    workers = [
        Worker(f"i-{number}", "estimator", ZONES[number % 3], store, MODEL) for number in range(9)
    ]
    for worker in workers:
        await worker.start()
    store.put("keyed.op", "config", configuration())
    store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    ips = free_network(NODES)
    # The ports differ only so that the proxy can listen between the nodes.
    ports = [7600 + 16 * number for number in range(NODES)]
    proxy = DatagramProxy(ips, ports)
    await proxy.start()
    nodes = [
        build_node(number, ips, ports[number], ZONES[number % 3], store.address, directory)
        for number in range(NODES)
    ]
    lines: list[str] = []
    sent: list[Sent] = []
    try:
        for node in nodes:
            node.start()
        await await_ready(nodes)
        began = time.monotonic()

        def note(text: str) -> None:
            lines.append(f"{time.monotonic() - began:7.3f} s  {text}")

        load = asyncio.create_task(send_load(nodes, sent, began + END_S))
        if with_trouble:
            await disturb(nodes, proxy, note)
        await load
        if not with_trouble and not all(node.is_alive for node in nodes):
            raise CannotRunError("a node has ended by itself")
    finally:
        for node in nodes:
            node.kill()
        proxy.stop()
    runs = sorted((run for worker in workers for run in worker.runs), key=lambda run: run.at)
    begin, tokens = worst_window({one.request_id: one for one in sent}, runs)
    front = {f"{node.front[0]}:{node.front[1]}": node.name for node in nodes}
    ran_at = {run.request_id: run for run in runs}
    for one in sent:
        run = ran_at.get(one.request_id)
        where = f"ran at {run.worker} {run.at - began:.3f} s" if run else "ran nowhere"
        lines.append(
            f"{one.at - began:7.3f} s  {one.request_id} tokens {one.tokens} sent to "
            f"{front[one.node]}, answered {one.status or 'nothing'}, {where}"
        )
    lines.sort(key=lambda line: float(line.split(" s")[0]))
    lines.append(f"datagrams passed {proxy.passed}, dropped {proxy.dropped}")
    by_node: dict[str, int] = {}
    for one in sent:
        if one.request_id in ran_at and begin <= one.at <= begin + BOUNDS["quotaWindowS"]:
            by_node[front[one.node]] = by_node.get(front[one.node], 0) + one.tokens
    lines.append(f"worst window from {begin - began:.3f} s by node: {by_node}")
    lines.append(f"QUOTA: {tokens} tokens ran in one window of 8 s, {limit():.0f} are allowed")
    is_broken = tokens > limit()
    lines.append("the rule is broken" if is_broken else "the rule held")
    (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-4:]))
    return int(is_broken)


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
