"""Streams that a stopping node takes just after the third second, and cuts before their end.

All nodes are stopped at once, so the directories name no other address, and clients keep theirs.
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
NODES = 2
#: A stream takes 8 s, less than its deadline and its route's timeout of 12 s.
EVENTS, GAP_MS = 80, 100
DEADLINE_MS = 12_000
#: Requests are sent over this span, seconds after the SIGTERM.
FIRST_S, LAST_S = 2.9, 3.15
BETWEEN_S = 0.004
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
        address = (await world.resolve(0))[0]
        if is_trouble:
            for node in world.nodes:
                node.send_signal(signal.SIGTERM)
        began = time.monotonic()
        world.note("platform", "SIGTERM", sent=is_trouble)
        streams: list[Stream] = []
        tasks = []
        await asyncio.sleep(1.0)
        answers = [await world.resolve(number) for number in range(NODES)]
        world.note("client", "resolve", answers=answers)
        await asyncio.sleep(began + FIRST_S - time.monotonic())
        while time.monotonic() < began + LAST_S:
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
