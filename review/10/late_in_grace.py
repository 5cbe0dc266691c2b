"""Streams that a stopping node takes just after the third second, and cuts before their end.

One of three nodes is stopped. A client may use an address for three times ``ttlS`` after the answer
that named it has come, and such answers still come some ms after the signal.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from http_messages import read_body, read_head, request
from world import HOST, KEY, World, model_service, route

HERE = Path(__file__).resolve().parent

MODEL = "daka510000"
NODES = 3
STOPPED = 0
#: Clients ask the other nodes for addresses around the signal: from this long before it to this long
#: after it, seconds.
ASK_BEFORE_S, ASK_AFTER_S = 0.1, 0.3
#: One way between clients and nodes, as on the sheet, seconds.
CLIENT_S = 0.003
#: ``ttlS`` of the directory, and for how much longer some clients keep an answer.
TTL_S, TTL_FACTOR = 1.0, 3
#: A stream takes 8 s, less than its deadline and its route's timeout of 12 s.
EVENTS, GAP_MS = 80, 100
DEADLINE_MS = 12_000
#: When the first request is sent, seconds after the SIGTERM, and the pause between two.
FIRST_S = 2.98
BETWEEN_S = 0.0005
#: Requests that were sent no later are excused if their worker is still at work at the end.
EXCUSED_S = 3.0
STABLE_S = 4.0


class Stream:
    """One request and how it ended.

    :ivar sent_s: when it was sent, seconds after the SIGTERM.
    """

    def __init__(self, world: World, request_id: str, began: float) -> None:
        self._world = world
        self._began = began
        self.id = request_id
        self.sent_s = 0.0
        self.status = 0
        self.is_whole = False

    async def run(self, address: str) -> None:
        """Sends the request on a new connection and reads its answer."""
        host, _, port = address.rpartition(":")
        headers = {
            "Host": HOST,
            "Request-Id": self.id,
            "Authorization": f"Token {KEY}",
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": MODEL,
            "Token-Usage": "826,80",
            "Prompt-Prefix": f"5c1e07a2:198,{self.id}:628",
        }
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            self.sent_s = time.monotonic() - self._began
            writer.write(request("POST", "/reply/draft", headers, b"x" * 100))
            head = await read_head(reader)
            if head is not None:
                self.status = int(head[0].split(" ")[1])
                await read_body(reader, head[1])
                self.is_whole = True
            writer.close()
        except (OSError, EOFError):
            pass
        self._world.note(
            "client",
            "answer",
            id=self.id,
            sent_s=round(self.sent_s, 4),
            status=self.status,
            whole=self.is_whole,
            ended_s=round(time.monotonic() - self._began, 3),
        )


async def ask_directory(
    world: World, node: int, address: str, named: list[float], until: float
) -> None:
    """Notes when answers of a node's directory come that name an address."""
    while time.monotonic() < until:
        await asyncio.sleep(CLIENT_S)
        addresses = await world.resolve(node)
        await asyncio.sleep(CLIENT_S)
        if address in addresses:
            named.append(time.monotonic())


async def run() -> int:
    """Plays the case; returns the exit code."""
    is_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(HERE / "record.txt")
    try:
        world.worker(
            id="i-engine-1", service="models", model=MODEL, events=EVENTS, gap_ms=GAP_MS, slots=256
        )
        routes = [route("reply", "streaming", "models", timeoutMs=DEADLINE_MS)]
        await world.configure(routes, [model_service("models", MODEL)])
        await world.start_nodes(NODES)
        await asyncio.sleep(STABLE_S)
        address = ":".join(map(str, world.front(STOPPED)))
        named: list[float] = []
        signal_at = time.monotonic() + ASK_BEFORE_S
        ends_at = signal_at + ASK_AFTER_S
        asking = [
            asyncio.create_task(ask_directory(world, node, address, named, ends_at))
            for node in range(NODES)
            if node != STOPPED
        ]
        await asyncio.sleep(ASK_BEFORE_S)
        if is_trouble:
            world.nodes[STOPPED].send_signal(signal.SIGTERM)
        began = time.monotonic()
        world.note("platform", "SIGTERM", sent=is_trouble)
        await asyncio.gather(*asking)
        until = max(named) + TTL_FACTOR * TTL_S
        world.note("client", "named", last_s=round(max(named) - began, 4))
        streams: list[Stream] = []
        tasks = []
        await asyncio.sleep(began + FIRST_S - time.monotonic())
        while time.monotonic() < until:
            streams.append(Stream(world, f"{len(streams) + 1:08x}", began))
            tasks.append(asyncio.create_task(streams[-1].run(address)))
            await asyncio.sleep(BETWEEN_S)
        await asyncio.gather(*tasks)
        late = [one for one in streams if one.sent_s > EXCUSED_S]
        lost = [one for one in late if one.status == 200 and not one.is_whole]
        refused = sum(one.status == 503 for one in late)
        world.note("check", "lost", lost=[one.id for one in lost], of=len(late), rule="LOST")
        print(f"sent later than {EXCUSED_S:g} s after the SIGTERM: {len(late)}; ", end="")
        print(f"refused {refused}, taken and cut {len(lost)}")
        return 1 if lost else 0
    finally:
        world.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (OSError, RuntimeError, IndexError, TimeoutError) as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
