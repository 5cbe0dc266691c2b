"""Two nodes that the store turns away share KV cache between tenants, one of them isolated."""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Callable
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
from review.common_3.workers import Run, Worker  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = ("leicester", "coventry", "derby")
#: Machines of the deployment, and those of them that are left.
MACHINES = 6
LEFT = 2
HOST = "quotes.example"
SERVICE = "estimator"
MODEL = "m0"
SHOP, MAYOR = "shop", "mayor"
KEYS = {SHOP: "key-of-the-shop", MAYOR: "key-of-the-mayor"}
AWAY_AT_S = 3.0
AWAY_S = 9.0
CHANGE_AFTER_S = 0.3
#: Time after the change from which requests are sent that are judged; ``configApplyMs`` is 2 s.
JUDGED_AFTER_S = 2.7
PAIRS = 12
PAIR_EVERY_S = 0.4


def configuration(version: int, is_isolated: bool) -> dict:
    """Returns the operator's configuration: one route of streams, two tenants.

    :param is_isolated: whether the tenant ``MAYOR`` is isolated.
    """
    tenant = {
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": 200_000,
        "burst": 200_000,
    }
    return {
        "version": version,
        "routes": [
            {
                "name": "draft",
                "host": HOST,
                "pathPrefix": "/draft/",
                "kind": "streaming",
                "timeoutMs": 12000,
                "targetLatencyMs": 300,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 2,
                "public": False,
                "sessionAffinity": True,
                "resumable": True,
                "gapAimMs": 300,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthCheck": "/healthz",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 101817,
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
            {**tenant, "name": SHOP, "apiKeys": [KEYS[SHOP]], "isolated": False},
            {**tenant, "name": MAYOR, "apiKeys": [KEYS[MAYOR]], "isolated": is_isolated},
        ],
    }


async def ask(nodes: list[Node], tenant: str, part: str, sent: list[Sent]) -> None:
    """Sends one request whose prompt begins with a shared part, and reads its answer."""
    directory = Directory(nodes, HOST, ZONES[0])
    headers = {
        "Model": MODEL,
        "Token-Usage": "826,49",
        "Prompt-Prefix": f"{part}:198,{len(sent):04x}ff:628",
    }
    await Caller(directory, "/draft/a", KEYS[tenant], headers, 875, 12.0, sent).ask()


async def disturb(store: Store, paths: list[str], note: Callable[[str], None]) -> None:
    """Lets the store turn both machines away for a while."""
    await asyncio.sleep(AWAY_AT_S)
    store.turned_away |= set(paths)
    note("the store turns both machines away (503), and serves the operator and the workers")
    await asyncio.sleep(AWAY_S)
    store.turned_away.clear()
    note("the store serves both machines again")


async def play(with_trouble: bool, directory: Path) -> int:
    """Plays the case; returns the exit code."""
    store = Store()
    await store.start()
    workers = [Worker(f"i-{n}", SERVICE, ZONES[n % 3], store, MODEL) for n in range(3)]
    for worker in workers:
        await worker.start()
    store.put("keyed.op", "config", configuration(3, False))
    store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    ips = free_network(MACHINES)
    # The first machines, which the settings name as seeds, are down.
    numbers = range(MACHINES - LEFT, MACHINES)
    paths = [await store.add_path() for _ in numbers]
    nodes = [
        build_node(number, ips, 7600, ZONES[number % 3], path, directory)
        for number, path in zip(numbers, paths, strict=True)
    ]
    for node in nodes:
        node.settings["seeds"] = [f"{ip}:8608" for ip in (ips[0], *ips[-LEFT:])]
    notes: list[tuple[float, str]] = []
    sent: list[Sent] = []
    try:
        for node in nodes:
            node.start()
        await await_ready(nodes)
        began = time.monotonic()

        def note(text: str) -> None:
            notes.append((time.monotonic() - began, text))

        trouble = disturb(store, paths, note) if with_trouble else asyncio.sleep(0)
        task = asyncio.create_task(trouble)
        await asyncio.sleep(AWAY_AT_S + CHANGE_AFTER_S)
        store.put("keyed.op", "config", configuration(5, True))
        changed_at = time.monotonic()
        note(f"the store has acknowledged the configuration that makes {MAYOR} isolated")
        await asyncio.sleep(JUDGED_AFTER_S)
        for number in range(PAIRS):
            for tenant in (MAYOR, SHOP):
                await ask(nodes, tenant, f"aa{number:02x}", sent)
            await asyncio.sleep(PAIR_EVERY_S)
        await task
        if not all(node.is_alive for node in nodes):
            raise CannotRunError("a node has ended by itself")
    finally:
        for node in nodes:
            node.kill()
    runs = [run for worker in workers for run in worker.runs]
    return judge(sent, runs, changed_at, began, notes)


def judge(
    sent: list[Sent],
    runs: list[Run],
    changed_at: float,
    began: float,
    notes: list[tuple[float, str]],
) -> int:
    """Writes the record and returns the exit code."""
    sent_at = {one.request_id: one.at for one in sent}
    judged_from = changed_at + BOUNDS["configApplyMs"] / 1000
    lines, broken = list(notes), []
    for run in runs:
        uses = "; ".join(f"{one.part} made by {one.request_id} of {one.tenant}" for one in run.uses)
        lines.append(
            (
                run.at - began,
                f"{run.request_id} of {run.tenant} sent {sent_at[run.request_id] - began:.3f} s, "
                f"runs at {run.worker}, Cache-Salt {run.salt}, uses {uses or 'nothing'}",
            )
        )
        for one in run.uses:
            is_judged = min(sent_at[one.request_id], sent_at[run.request_id]) > judged_from
            if one.tenant != run.tenant and is_judged:
                broken.append(f"WALL: {run.request_id} of {run.tenant} uses {one}")
    text = "".join(f"{at:7.3f} s  {line}\n" for at, line in sorted(lines))
    answers = [f"{one.request_id} answered {one.status}" for one in sent]
    verdict = [*broken, "the rule is broken" if broken else "the rule held"]
    (FOLDER / "record.txt").write_text(text + "\n".join([*answers, *verdict]) + "\n")
    print("\n".join(verdict[-3:]))
    return int(bool(broken))


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
