"""A node that is cut off from the store lets an isolated tenant share KV cache with another one."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from http_messages import read_body, read_head, request
from proxy import Proxy
from world import BOUNDS, HOST, World, model_service, route, tenant

HERE = Path(__file__).resolve().parent

MODEL = "daka510000"
#: Both tenants' prompts begin with the same guide; the last part is each request's own.
GUIDE = "5c1e07a2:6300"
KEYS = {"school": "key-school", "mayor": "key-mayor"}
#: Length of the cut: the largest of the site's list of troubles, seconds.
CUT_S = 5.5
#: The configuration is acknowledged this long after the beginning of the cut, seconds.
CONFIG_AT_S = 0.3
#: Both requests are sent this long after the acknowledgement, beyond ``configApplyMs``, seconds.
REQUESTS_AT_S = BOUNDS["configApplyMs"] / 1000 + 0.7
STABLE_S = 4.0


async def ask(world: World, who: str, request_id: str) -> int:
    """Sends a request of a tenant; returns the status of its complete answer."""
    reader, writer = await asyncio.open_connection(*world.front(0))
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Authorization": f"Token {KEYS[who]}",
        "Deadline-Ms": "4000",
        "Model": MODEL,
        "Token-Usage": "6500,5",
        "Prompt-Prefix": f"{GUIDE},{request_id}:200",
    }
    world.note("client", "sent", id=request_id, tenant=who)
    writer.write(request("POST", "/assist/suit", headers, b"x" * 100))
    head = await read_head(reader)
    status = 0
    if head is not None:
        await read_body(reader, head[1])
        status = int(head[0].split(" ")[1])
    world.note("client", "answer", id=request_id, status=status)
    writer.close()
    return status


def shared_uses(record: Path, since: float) -> list[dict]:
    """Returns the uses of KV cache that another tenant's request made since a time."""
    lines = [json.loads(line) for line in record.read_text().splitlines()]
    sent = {line["id"]: line["at"] for line in lines if line["what"] == "sent"}
    return [
        line
        for line in lines
        if line["what"] == "kv_used"
        and line["tenant"] != line["maker"]
        and sent[line["id"]] >= since
    ]


async def run() -> int:
    """Plays the case; returns the exit code."""
    is_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(HERE / "record.txt")
    path = Proxy(world.store)
    await path.start()
    try:
        world.worker(id="i-engine-1", service="models", model=MODEL)
        routes = [route("assist", "streaming", "models", resumable=True, maxAttempts=2)]
        services = [model_service("models", MODEL)]
        tenants = [tenant(name, key) for name, key in KEYS.items()]
        await world.configure(routes, services, tenants)
        world.nodes = [world.start_node(0, path.address)]
        await world.wait_ready(0)
        await asyncio.sleep(STABLE_S)
        for who in KEYS:
            if await ask(world, who, f"aa{who.encode().hex()}") != 200:
                raise RuntimeError("a request before the cut was not served")
        began = time.monotonic()
        if is_trouble:
            world.note("proxy", "cut begins")
            path.cut()
        await asyncio.sleep(CONFIG_AT_S)
        await world.configure(
            routes, services, [{**one, "isolated": one["name"] == "mayor"} for one in tenants]
        )
        acknowledged = time.monotonic()
        world.note("store", "config acknowledged", isolated="mayor")
        await asyncio.sleep(REQUESTS_AT_S)
        for number in range(3):
            for who in KEYS:
                await ask(world, who, f"bb{number}{who.encode().hex()}")
        await asyncio.sleep(max(0.0, began + CUT_S - time.monotonic()))
        path.heal()
        world.note("proxy", "cut ends")
        found = shared_uses(world.record, acknowledged + BOUNDS["configApplyMs"] / 1000)
        world.note("check", "uses", count=len(found), rule="WALL")
        print(f"{len(found)} uses of KV cache across the wall of an isolated tenant")
        return 1 if found else 0
    finally:
        await path.stop()
        world.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (OSError, RuntimeError, TimeoutError) as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
