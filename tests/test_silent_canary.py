"""A sound release whose endpoint falls silent once is kept, and a slow one is not."""

import heapq
import math
import unittest
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


class SilentCanaryTest(unittest.TestCase):
    """Replays a sound release at one endpoint, which falls silent once as any server may."""

    REQUESTS_PER_S = 60
    DURATION_S = 10.0
    STEP_S = 0.1

    def end_state(
        self,
        seed: int,
        silence_s: float,
        slowdown: float = 1.0,
        takeover_s: float = math.inf,
        order_s: float = math.inf,
    ) -> RolloutState:
        """Returns the end of a roll-out whose canary answers as fast as the baseline.

        :param slowdown: factor by which its answers take longer all the time.
        :param takeover_s: time from the end of the silence after which another node decides,
            seconds.
        :param order_s: time from the end of the silence after which a further order for the release
            continues the trial, seconds.
        """
        rng, clock = Random(seed), VirtualClock(100.0)
        rollouts, endpoints = RolloutBook(), EndpointBook.from_config(clock)
        evidence = RolloutEvidence(rollouts, clock)
        silent_at = clock() + rng.uniform(2.0, 6.0)
        takeover_at = silent_at + silence_s + takeover_s
        order_at = silent_at + silence_s + order_s

        def service_of(is_first: bool) -> RolloutService:
            return RolloutService(
                rollouts,
                evidence,
                endpoints,
                SimpleNamespace(newest=lambda: Batch((), 0), put=lambda *_: 1),
                PlatformDocuments(),
                DecisionLog({}, clock=clock),
                clock,
                lambda: (clock() < takeover_at) is is_first,
                lambda _progress: None,
                lambda: True,
            )

        services = [service_of(True), service_of(False)]
        known = KnownOrder(RolloutOrder("llm", "v2", self.DURATION_S), clock())
        rollouts.add_order(known.order, known.known_at)
        old = EndpointState(entry("a", service="llm", release="v1"))
        new = EndpointState(entry("c", service="llm", release="v2"))
        events: list[tuple[float, int, object]] = []
        at = clock()
        while at < known.known_at + self.DURATION_S:
            at += rng.expovariate(self.REQUESTS_PER_S)
            events.append((at, len(events), None))
        for step in range(1, round(self.DURATION_S / self.STEP_S)):
            events.append((known.known_at + step * self.STEP_S, len(events), services))
        heapq.heapify(events)
        while events:
            at, number, what = heapq.heappop(events)
            clock.advance_to(at)
            progress = rollouts.progress("llm")
            if what is services:
                if at >= order_at:
                    rollouts.add_order(RolloutOrder("llm", "v2", self.DURATION_S + 1.0), at)
                for service in services:
                    service._step(rollouts.orders[0])
            elif what is not None:
                evidence.ended(what, False)
            elif progress is not None:
                is_new = rng.random() < progress.share
                ends_at = at + 0.05 * math.exp(rng.gauss(0.0, 0.5)) * (slowdown if is_new else 1.0)
                if is_new and at < silent_at + silence_s and ends_at > silent_at:
                    ends_at += silent_at + silence_s - max(at, silent_at)
                run = evidence.began(new if is_new else old, "look", 0.0)
                heapq.heappush(events, (ends_at, self.DURATION_S * 1e6 + number, run))
        return rollouts.progress("llm").state

    def rolled_back(
        self,
        silence_s: float,
        slowdown: float = 1.0,
        takeover_s: float = math.inf,
        order_s: float = math.inf,
    ) -> int:
        """Returns how many of ten roll-outs were rolled back."""
        ends = [
            self.end_state(seed, silence_s, slowdown, takeover_s, order_s) for seed in range(10)
        ]
        return ends.count(RolloutState.ROLLED_BACK)

    def test_sound_release_is_kept_and_a_slow_one_is_not(self) -> None:
        """Shows that the replay tells sound releases from slow ones."""
        self.assertLessEqual(self.rolled_back(0.0), 1)
        self.assertEqual(self.rolled_back(0.0, slowdown=3.0), 10)

    def test_sound_release_is_not_rolled_back_after_a_silence(self) -> None:
        """Guards against one silence that counts as many independent slow answers."""
        self.assertLessEqual(self.rolled_back(1.0), 1)

    def test_silence_before_another_node_decides_does_not_roll_back(self) -> None:
        """Guards against a new decider that takes all earlier answers for those of one moment."""
        self.assertLessEqual(self.rolled_back(1.5, takeover_s=0.3), self.rolled_back(1.5))

    def test_slow_answers_before_a_further_order_count(self) -> None:
        """Guards against an order that continues a trial and has all earlier answers left out."""
        rolled_back = self.rolled_back(0.0, slowdown=2.0, order_s=2.0)
        self.assertGreaterEqual(rolled_back, self.rolled_back(0.0, slowdown=2.0))
