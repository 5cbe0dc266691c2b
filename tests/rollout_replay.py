"""A replay of one roll-out on a virtual clock: the decision alone, without network and processes."""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random
from types import SimpleNamespace

from arbutustally.clock import VirtualClock
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.rollout_book import KnownOrder, RolloutBook
from arbutustally.gateway.rollouts import RolloutOrder, RolloutState
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import Batch
from arbutustally_node.gateway.rollout_evidence import RolloutEvidence
from arbutustally_node.gateway.rollout_service import RolloutService
from arbutustally_platform.documents import PlatformDocuments
from tests.gateway_values import entry

SERVICE = "desk"
#: Interval at which the node decides, seconds.
STEP_S = 0.1
#: Time after the end of the order for which requests go on, seconds.
AFTER_S = 3.0


@dataclass(frozen=True)
class Traffic:
    """Requests of one route.

    :ivar per_s: rate, requests per second.
    :ivar median_s: median duration of a sound answer, seconds.
    :ivar spread: standard deviation of the logarithm of the durations.
    """

    per_s: float
    median_s: float
    spread: float = 0.3


@dataclass(frozen=True)
class Behaviour:
    """How the canary differs from the baseline.

    :ivar fails: returns whether an answer fails, by route and time since the order.
    :ivar slowdown: returns the factor of an answer's duration, by route and by the number of
        requests that run at the canary.
    """

    fails: Callable[[str, float], bool] = lambda _route, _at: False
    slowdown: Callable[[str, int], float] = lambda _route, _running: 1.0


class RolloutReplay:
    """One roll-out with one endpoint of each release.

    :ivar harmed: requests that the canary got.
    """

    def __init__(
        self, seed: int, routes: dict[str, Traffic], canary: Behaviour, duration_s: float
    ) -> None:
        self._rng = Random(seed)
        self._routes = routes
        self._canary = canary
        self._duration_s = duration_s
        self._clock = VirtualClock(100.0)
        self._began = self._clock()
        self._book = RolloutBook()
        self._evidence = RolloutEvidence(self._book, self._clock)
        self._service = RolloutService(
            self._book,
            self._evidence,
            EndpointBook.from_config(self._clock),
            SimpleNamespace(newest=lambda: Batch((), 0), put=lambda *_: 1),
            PlatformDocuments(),
            DecisionLog({}, clock=self._clock),
            self._clock,
            lambda: True,
            lambda _progress: None,
            lambda: True,
        )
        self._old = EndpointState(entry("a", service=SERVICE, release="v1"))
        self._new = EndpointState(entry("c", service=SERVICE, release="v2"))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._running = 0
        self.harmed = 0

    def end_state(self) -> RolloutState:
        """Plays the roll-out; returns how it ended, or how it stands some time after its end."""
        known = KnownOrder(RolloutOrder(SERVICE, "v2", self._duration_s), self._began)
        self._book.add_order(known.order, known.known_at)
        end = self._began + self._duration_s + AFTER_S
        for name, traffic in self._routes.items():
            at = self._began
            while (at := at + self._rng.expovariate(traffic.per_s)) < end:
                self._at(at, lambda name=name: self._request(name))
        for step in range(1, round((self._duration_s + AFTER_S) / STEP_S)):
            self._at(self._began + step * STEP_S, lambda: self._service._step(known))
        while self._events:
            at, _number, act = heapq.heappop(self._events)
            self._clock.advance_to(at)
            act()
        return self._book.progress(SERVICE).state

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _request(self, route: str) -> None:
        is_new = self._rng.random() < self._book.share(SERVICE, route)
        traffic = self._routes[route]
        duration_s = traffic.median_s * math.exp(self._rng.gauss(0.0, traffic.spread))
        is_failed = False
        if is_new:
            self.harmed += 1
            self._running += 1
            duration_s *= self._canary.slowdown(route, self._running)
            is_failed = self._canary.fails(route, self._clock() - self._began)
        run = self._evidence.began(self._new if is_new else self._old, route, 0.0)

        def end() -> None:
            self._running -= int(is_new)
            self._evidence.ended(run, is_failed)

        self._at(self._clock() + duration_s, end)
