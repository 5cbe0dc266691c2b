"""Worst-case load on a virtual clock: many nodes place prompts by delayed reports."""

import unittest
from collections import defaultdict, deque
from dataclasses import dataclass
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.choice import PLACEMENT_OPTIONS, choose_engine
from arbutustally.gateway.configuration import Engine, Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.engine_speeds import EngineSpeeds
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.requests import CallerRequest
from arbutustally.placement import Placement
from arbutustally.placement_types import Choice
from tests.gateway_values import entry, prompt

ENGINES = 70
NODES = 80
SLOTS = 12
#: Delay of the reports between nodes, seconds.
REPORT_DELAY_S = 0.3
#: Prefill speed of an engine, tokens/s.
PREFILL_SPEED = 90_000.0
GUIDE, HISTORY, OWN = 2_500, 3_800, 2_900


@dataclass(frozen=True)
class Sent:
    """A request that was placed.

    :ivar at: time at which it was placed.
    :ivar began: time at which its engine starts the prefill.
    :ivar ended: time at which its engine ends the prefill.
    """

    at: float
    engine: str
    began: float
    ended: float
    request: CallerRequest


class EngineFleet:
    """Engines that process prompts one at a time, and nodes that learn of it with a delay."""

    def __init__(self, seed: int) -> None:
        self.clock = VirtualClock(100.0)
        self.rng = Random(seed)
        self.states = [EndpointState(entry(f"e{number}", slots=SLOTS)) for number in range(ENGINES)]
        self.service = Service("s", 10, Engine(SLOTS, 100_000))
        self.holdings = Holdings.from_config(self.clock)
        speeds = EngineSpeeds.from_config(self.clock)
        self.nodes = [
            Placement.from_config(self.clock, Random(node), PLACEMENT_OPTIONS, speeds)
            for node in range(NODES)
        ]
        for node in self.nodes:
            node.set_import_speed(2e6)
        self.free_at: dict[str, float] = defaultdict(float)
        self.holders: dict[str, set[str]] = defaultdict(set)
        self.sent: list[Sent] = []
        self._unreported: deque[Sent] = deque()

    def place(self, request: CallerRequest) -> Choice:
        """Sends a request through one of the nodes."""
        now = self.clock()
        self._receive_reports(now)
        node = self.rng.choice(self.nodes)
        shared = sum(part.tokens for part in request.parts[:-1])
        held = self.holders[request.parts[-2].id]
        choice = choose_engine(
            node,
            self.holdings,
            request,
            self.service,
            self.states,
            1,
            "",
            "1.",
            shared if held else 0,
            0.5,
            "z1",
            NODES,
        )
        read = request.prompt_tokens - (shared if held else 0)
        began = max(self.free_at[choice.endpoint], now)
        self.free_at[choice.endpoint] = began + read / PREFILL_SPEED
        held.add(choice.endpoint)
        sent = Sent(now, choice.endpoint, began, self.free_at[choice.endpoint], request)
        self.sent.append(sent)
        self._unreported.append(sent)
        return choice

    def _receive_reports(self, now: float) -> None:
        while self._unreported and now - self._unreported[0].at > REPORT_DELAY_S:
            reported = self._unreported.popleft()
            self.holdings.assume(reported.engine, "1.", reported.request.parts)
        for state in self.states:
            left_s = max(0.0, self._known_free_at(state.id, now) - now)
            state.prompt_tokens = left_s * PREFILL_SPEED

    def _known_free_at(self, engine: str, now: float) -> float:
        known = [sent.ended for sent in self.sent[-400:] if sent.engine == engine]
        unreported = [sent for sent in self._unreported if sent.engine == engine]
        return known[-len(unreported) - 1] if len(known) > len(unreported) else 0.0


class SharedPartsTest(unittest.TestCase):
    """Simulates prompts with shared histories from 80 nodes to engines with empty caches."""

    HISTORIES = 16
    RATE = 400
    SECONDS = 4
    TARGET_S = 0.5

    def setUp(self) -> None:
        self.fleet = EngineFleet(1)
        for number in range(self.RATE * self.SECONDS):
            history = f"history-{self.fleet.rng.randrange(self.HISTORIES)}"
            parts = ("guide", GUIDE), (history, HISTORY), (f"own-{number}", OWN)
            self.fleet.place(prompt(*parts))
            self.fleet.clock.advance(1 / self.RATE)

    def test_a_shared_part_is_kept_by_few_engines(self) -> None:
        """Guards against copies of every part on every engine, which evict each other."""
        copies = [len(held) for part, held in self.fleet.holders.items()]
        self.assertLessEqual(sum(copies) / len(copies), ENGINES / 5)

    def test_prompts_do_not_queue_at_the_holders(self) -> None:
        """Guards against a queue of prompts at the few home engines of a shared part."""
        waits = sorted(sent.began - sent.at for sent in self.fleet.sent)
        self.assertLess(waits[int(0.9 * len(waits))], self.TARGET_S / 5)
