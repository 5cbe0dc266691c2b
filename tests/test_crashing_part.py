"""Prompts with one part that ends the process of each engine that begins to answer on it."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

import gevent
import urllib3

from tests.crashing_engines import CrashingEngine, has_part
from tests.gateway_fleet import GatewayCase

NODES = 4
ENGINES = 8
#: Rates of sound requests, and of those with the bad part, requests a second.
SOUND_RATE = 20.0
BAD_RATE = 4.0
#: Time without bad requests, and then with them, seconds.
CALM_S = 4.0
BAD_S = 14.0
#: Time after the fifth crash from which on only ``MAX_LATE`` more bad requests may reach engines,
#: seconds (``stableWindowMs``); after twice that time sound requests must be served again.
WINDOW_S = 3.0
MAX_LATE = 3
FREE_CRASHES = 5
SHARED, BAD = "aa", "bad"


@dataclass(frozen=True)
class Sent:
    """One request of a caller.

    :ivar is_served: whether it was answered completely.
    """

    at: float
    is_bad: bool
    status: int
    is_served: bool


class CrashingPartTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        for worker in self.engines:
            self.store.put("keyed.servers", worker.id, None)
        self.crashing = [CrashingEngine(self.store, f"c{n}", BAD) for n in range(ENGINES)]
        for engine in self.crashing:
            self.addCleanup(engine.stop)
        self.nodes = self.start_nodes(NODES)
        for node in self.nodes:
            self.wait_ready(node, ENGINES)
            self.eventually(lambda node=node: len(node._gossip.present) == NODES - 1)
        self.rng = Random(3)
        self.sent: list[Sent] = []
        self.http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=50)

    def ask(self, number: int, is_bad: bool) -> None:
        at, node = time.monotonic(), self.rng.choice(self.nodes)
        middle = BAD if is_bad else f"5{self.rng.randrange(40):03x}"
        prompt = f"{SHARED}:60,{middle}:20,{'e' if is_bad else 'f'}{number:06x}:20"
        name = f"{'bad' if is_bad else 'sound'}{number}"
        try:
            answer = self.call(node, "/chat/x", name, Prompt_Prefix=prompt)
        except urllib3.exceptions.HTTPError:
            self.sent.append(Sent(at, is_bad, 0, False))
            return
        is_served = answer.status == 200 and b"piece 6" in answer.data
        self.sent.append(Sent(at, is_bad, answer.status, is_served))

    def send(self, seconds: float, rate: float, is_bad: bool) -> None:
        """Sends requests at random times at a mean rate."""
        asking, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            gevent.sleep(self.rng.expovariate(rate))
            asking.append(gevent.spawn(self.ask, len(asking), is_bad))
        gevent.joinall(asking)

    def play(self) -> None:
        sound = gevent.spawn(self.send, CALM_S + BAD_S, SOUND_RATE, False)
        gevent.sleep(CALM_S)
        bad = gevent.spawn(self.send, BAD_S, BAD_RATE, True)
        gevent.joinall([sound, bad])

    @property
    def crashes(self) -> list[float]:
        return sorted(at for engine in self.crashing for at in engine.crashes)

    def bad_arrivals(self) -> Iterator[float]:
        for engine in self.crashing:
            yield from (at for at, asked in engine.arrivals if has_part(asked, BAD))

    def share_served(self, since: float, until: float) -> float:
        sound = [one for one in self.sent if not one.is_bad and since <= one.at < until]
        return sum(one.is_served for one in sound) / len(sound)

    def test_bad_part_ends_few_engines_and_sound_requests_are_served(self) -> None:
        """Guards against engines that end one after the other through one kind of request."""
        began = time.monotonic()
        self.play()
        fifth = self.crashes[:FREE_CRASHES][-1]
        late = [at for at in self.bad_arrivals() if at > fifth + WINDOW_S]
        calm = self.share_served(began, began + CALM_S)
        after = self.share_served(fifth + 2 * WINDOW_S, began + CALM_S + BAD_S)
        print(f"crashes {len(self.crashes)}, late {len(late)}, sound {calm:.2f}, {after:.2f}")
        self.assertLessEqual(len(late), MAX_LATE)
        self.assertGreaterEqual(after, calm / 2)
