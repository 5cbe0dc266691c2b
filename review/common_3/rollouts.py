"""Play and judgement of a roll-out, without any disruption but a bad version."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from review.common_3.callers import Caller, Directory, Sent
from review.common_3.nodes import (
    BOUNDS,
    CannotRunError,
    Node,
    await_ready,
    build_node,
    free_network,
)
from review.common_3.store import Store
from review.common_3.workers import Worker

ZONES = ("leicester", "coventry", "derby")
NODES = 3
HOST = "quotes.example"
KEY = "key-of-the-shop"
TARGET = "v2"
ORDER_AT_S = 4.0
BAD_ANSWERS = 50
#: Builds the clients of one kind of request, each with its directory.
CallerFactory = Callable[[Directory, list[Sent]], Caller]


@dataclass(frozen=True)
class Load:
    """Requests of one kind.

    :ivar per_s: rate over all clients.
    """

    per_s: float
    build: CallerFactory


@dataclass
class Rollout:
    """One roll-out of a service.

    :ivar duration_s: time within which the operator wants it to end.
    :ivar after_s: time after that for which requests go on.
    """

    store: Store
    service: str
    old: list[Worker]
    new: list[Worker]
    duration_s: float
    after_s: float
    sent: list[Sent] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    began: float = 0.0

    def note(self, text: str, at: float | None = None) -> None:
        """Notes an event, at the present time unless another one is given."""
        self.notes.append(((time.monotonic() if at is None else at) - self.began, text))

    async def play(self, loads: list[Load], directory: Path) -> None:
        """Starts the nodes, sends the requests and orders the roll-out.

        :raises CannotRunError: if the nodes don't run.
        """
        ips = free_network(NODES)
        self.nodes = [
            build_node(number, ips, 7600, ZONES[number], self.store.address, directory)
            for number in range(NODES)
        ]
        try:
            for node in self.nodes:
                node.start()
            await await_ready(self.nodes)
            self.began = time.monotonic()
            operator = asyncio.create_task(self._operate())
            until = self.began + ORDER_AT_S + self.duration_s + self.after_s
            await asyncio.gather(*(self._send(load, until) for load in loads))
            operator.cancel()
            if not all(node.is_alive for node in self.nodes):
                raise CannotRunError("a node has ended by itself")
        finally:
            for node in self.nodes:
                node.kill()

    async def _send(self, load: Load, until: float) -> None:
        """Sends requests at a steady rate, by one client after the other."""
        nodes = self.nodes
        directories = [Directory(nodes[n:] + nodes[:n], HOST, ZONES[n]) for n in range(NODES)]
        callers = [load.build(one, self.sent) for one in directories]
        tasks = set()
        number = 0
        while time.monotonic() < until:
            task = asyncio.create_task(callers[number % len(callers)].ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1 / load.per_s)
        await asyncio.gather(*tasks)

    async def _operate(self) -> None:
        """Orders the roll-out, and stops the old workers once it is completed."""
        await asyncio.sleep(ORDER_AT_S)
        order = {"service": self.service, "target": TARGET, "durationS": self.duration_s}
        self.store.put("keyed.op", f"rollout/{self.service}", order)
        self.note(f"the operator orders the roll-out of {TARGET} within {self.duration_s} s")
        state = ""
        while True:
            status = self.store.newest("keyed.status", f"rollout/{self.service}") or {}
            if status.get("state", "") != state:
                state = status["state"]
                self.note(f"the system reports {state}")
            if state == "completed":
                for worker in self.old:
                    worker.stop()
                self.note("the old workers are stopped")
                return
            await asyncio.sleep(0.05)

    def judge(self) -> bool:
        """Returns whether EXPOSURE is broken by requests after the 50th bad answer."""
        sent_at = {one.request_id: one.at for one in self.sent}
        bad = sorted(one.at for worker in self.new for one in worker.answers if one.is_bad)
        if len(bad) < BAD_ANSWERS:
            self.note(f"EXPOSURE: {len(bad)} bad answers of {TARGET} in all")
            return False
        limit = bad[BAD_ANSWERS - 1] + BOUNDS["rollbackMs"] / 1000
        runs = [run for worker in self.new for run in worker.runs]
        late = sum(sent_at[run.request_id] > limit for run in runs)
        self.note(f"the {BAD_ANSWERS}th bad answer of {TARGET}", bad[BAD_ANSWERS - 1])
        self.note(
            f"EXPOSURE: {late} requests that were sent later than 5 s after the {BAD_ANSWERS}th "
            f"bad answer ran at {TARGET}, which gave {len(bad)} bad answers"
        )
        return late > 0

    def record(self, path: Path, verdict: str) -> None:
        """Writes what was sent, answered and run."""
        front = {f"{node.front[0]}:{node.front[1]}": node.name for node in self.nodes}
        ran: dict[str, list[str]] = {}
        for worker in (*self.old, *self.new):
            for one in worker.answers:
                kind = "bad" if one.is_bad else "good"
                text = f"{worker.id} until {one.at - self.began:.3f} s, {one.status} {kind}"
                ran.setdefault(one.request_id, []).append(text)
        lines = [
            (
                one.at - self.began,
                f"{one.request_id} {one.path} sent to {front[one.node]}, answered "
                f"{one.status or 'nothing'}, ran at "
                f"{' and '.join(ran.get(one.request_id, ['no worker']))}",
            )
            for one in self.sent
        ]
        text = "".join(f"{at:7.3f} s  {line}\n" for at, line in sorted([*lines, *self.notes]))
        path.write_text(f"{text}{verdict}\n")
        print("".join(f"{at:7.3f} s  {line}\n" for at, line in sorted(self.notes)) + verdict)
