"""A sound endpoint that was silent for a moment gets its share of the requests again soon."""

import json
import time
import unittest
from random import Random
from statistics import median

import gevent

from tests.soak.callers import Callers, LibraryCaller
from tests.soak.fleet import FleetSize, SoakFleet
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.program import PORTS
from tests.soak.rules import Kind, Result

DESKS = 3
READY_S = 20.0
#: Interval between two requests, and time for which they are sent before a silence, seconds.
INTERVAL_S = 0.015
WARM_UP_S = 2.0
#: Time after a silence after which the endpoint must be in use again, and for which that is
#: counted, seconds.
BACK_S = 2.0
COUNTED_S = 2.0
#: Smallest part of its fair share that an endpoint in use gets.
MIN_PART = 0.5
#: Multiple of its usual time from which an answer is slow, and plays at most until the endpoint
#: gives no slow answer after its silence. One that does gets fewer requests for that reason.
SLOW_FACTOR = 1.5
PLAYS = 3


class SilentDeskTest(unittest.TestCase):
    """Real processes: one node, and endpoints of a plain service of which one falls silent."""

    def setUp(self) -> None:
        network = Network.reserve_free(FIRST_NETWORK, tuple(PORTS.values()))
        self.fleet = SoakFleet(network, FleetSize(1, 1, DESKS), seed=1)
        self.addCleanup(self.fleet.stop)
        self.desk = next(one for one in self.fleet.backends if not one.model)
        latest = time.monotonic() + READY_S
        while not self.fleet.is_ready(self.fleet.ips[0]):
            self.assertLess(time.monotonic(), latest, "the node is not ready")
            gevent.sleep(0.1)

    def check(self, silence_s: float) -> None:
        """Checks that the endpoint gets its share after a silence, in a play that can tell."""
        for number in range(PLAYS):
            part, slow_s = self.play(f"{number}-{silence_s}", silence_s)
            print(
                f"{part:.2f} of its share {BACK_S} s after a silence of {silence_s} s", flush=True
            )
            if part > MIN_PART or not slow_s:
                break
            print(f"played again, as the endpoint itself was slow then: {slow_s}", flush=True)
        self.assertGreater(part, MIN_PART)

    def play(self, name: str, silence_s: float) -> tuple[float, list[float]]:
        """Lets the endpoint fall silent once.

        :returns: the part of its fair share that it gets afterwards, and how long its slow answers
            to requests that it got after the silence took, seconds.
        """
        callers, asking = Callers(self.fleet, Random(1)), []
        silent_at = time.monotonic() + WARM_UP_S
        counted_from = silent_at + silence_s + BACK_S
        gevent.spawn_later(WARM_UP_S, self.desk.fall_silent, silence_s)
        while time.monotonic() < counted_from + COUNTED_S:
            kind = (Kind.BOOK, Kind.LOOK)[len(asking) % 2]
            result = Result(f"{name}-{len(asking)}", kind, self.fleet.ips[0])
            asking.append(gevent.spawn(callers.ask, LibraryCaller(), result))
            gevent.sleep(INTERVAL_S)
        gevent.joinall(asking, raise_error=True)
        lost = [(one.id, one.kind, one.status) for one in callers.results if not one.is_served]
        self.assertEqual(lost, [])
        runs = [run for own in self.fleet.notes().runs().values() for run in own]
        counted = [run.worker for run in runs if run.began > counted_from]
        part = counted.count(self.desk.id) * DESKS / len(counted)
        return part, self.slow_answers(silent_at, self.desk.silent.last_end(counted_from))

    def slow_answers(self, silent_at: float, ended_at: float) -> list[float]:
        """Returns how long slow answers of the endpoint after its silence took at the node."""
        log = self.fleet.directory / f"node-{self.fleet.ips[0]}.log"
        lines = [json.loads(line) for line in log.read_text().splitlines() if line[:1] == "{"]
        answers = [
            (line["t"] - took_s, took_s)
            for line in lines
            if line["event"] == "request"
            for endpoint, reason, took_s, *_others in line["attempts"]
            if endpoint == self.desk.id and reason == "status_200"
        ]
        usual_s = median(took_s for sent_at, took_s in answers if sent_at < silent_at - 1.0)
        return [
            took_s
            for sent_at, took_s in answers
            if sent_at > ended_at and took_s > usual_s * SLOW_FACTOR
        ]

    def test_endpoint_is_in_use_soon_after_a_silence_of_a_second(self) -> None:
        """Guards against answers that one silence held up and that count as a lasting slowness."""
        self.check(1.0)

    def test_endpoint_is_in_use_soon_after_a_silence_beyond_the_hedges(self) -> None:
        """Guards against failures that are over and count until the next one."""
        self.check(1.6)
