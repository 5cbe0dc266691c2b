"""No request begins on replaced weights after their period, however long an engine is silent."""

import time
import unittest
from random import Random

import gevent

from tests.soak.callers import Callers, LibraryCaller
from tests.soak.fleet import BOUNDS, FleetSize, SoakFleet
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.notes import Run
from tests.soak.program import PORTS
from tests.soak.rules import Kind, Result

NODES = 3
ENGINES = 8
#: Time after which a request may no longer begin on replaced weights, seconds.
PERIOD_S = BOUNDS["versionMs"] / 1000
READY_S = 20.0
#: Time for which callers send before the naming, so that all nodes know the engines, seconds.
WARM_UP_S = 1.5
#: Interval between two streams, seconds.
INTERVAL_S = 0.025
#: Silences of the engines that do not load, and how long before the end of the period they begin,
#: seconds. The pages allow a sound server to be silent for a second or so.
SILENCES_S = ((1.2, 1.1), (2.0, 1.9))
#: Time for which callers send after the period, seconds.
AFTER_S = 1.5


class LateBeginsTest(unittest.TestCase):
    """Real processes; engines that do not load the named weights leave orders unanswered."""

    def start_fleet(self, loading: int) -> None:
        """Starts the processes.

        :param loading: number of engines that carry orders out.
        """
        network = Network.reserve_free(FIRST_NETWORK, tuple(PORTS.values()))
        self.fleet = SoakFleet(network, FleetSize(NODES, ENGINES, 1), seed=1)
        self.addCleanup(self.fleet.stop)
        engines = [one for one in self.fleet.backends if one.model]
        self.old = engines[loading:]
        for engine in self.old:
            engine.ignore_orders()
        latest = time.monotonic() + READY_S
        while not all(map(self.fleet.is_ready, self.fleet.ips)):
            self.assertLess(time.monotonic(), latest, "nodes are not ready")
            gevent.sleep(0.1)
        # A node that has just begun to read dates the first records too early.
        self.fleet.change_configuration()

    def send_until(self, until: float) -> list[Result]:
        """Sends streams to all nodes in turn; returns what their callers saw."""
        callers = Callers(self.fleet, Random(1))
        asking = []
        while time.monotonic() < until:
            number = len(asking)
            ip = self.fleet.ips[number % NODES]
            result = Result(f"{until:.3f}-{number}", Kind.CHAT, ip)
            asking.append(gevent.spawn(callers.ask, LibraryCaller(), result))
            gevent.sleep(INTERVAL_S)
        gevent.joinall(asking, raise_error=True)
        return callers.results

    def play(self, silence_s: float, before_s: float) -> tuple[list[Result], list[str]]:
        """Silences the engines that do not load near the end of the period.

        :param silence_s: how long they are silent.
        :param before_s: how long before the end of the period that begins.
        :returns: results, and the runs that began late.
        """
        self.send_until(time.monotonic() + WARM_UP_S)
        self.fleet.name_weights()
        named_at = time.monotonic()
        for engine in self.old:
            pause_s = PERIOD_S - before_s
            gevent.spawn_later(pause_s, engine.program.freeze, silence_s)
        results = self.send_until(named_at + PERIOD_S + AFTER_S)
        runs = self.fleet.notes().runs()
        old = {engine.id for engine in self.old}
        late = [
            self.describe(result, run, named_at)
            for result in results
            for run in runs.get(result.id, [])
            if run.worker in old and run.began > named_at + PERIOD_S
        ]
        return results, late

    def describe(self, result: Result, run: Run, named_at: float) -> str:
        sent, began = result.sent_at - named_at, run.began - named_at
        return f"{result.id} sent at {sent:.3f} s began on version 1 at {began:.3f} s"

    def test_engines_that_fall_silent_before_the_end_of_the_period(self) -> None:
        """Guards against requests that wait in silent engines across the bound."""
        for silence_s, before_s in SILENCES_S:
            with self.subTest(silence_s=silence_s, before_s=before_s):
                self.start_fleet(loading=1)
                results, late = self.play(silence_s, before_s)
                served = sum(result.is_served for result in results)
                print(f"silent {silence_s} s from {before_s} s before: {served}/{len(results)}")
                self.assertEqual(late, [])
                self.fleet.stop()

    def test_no_caller_is_refused_while_all_engines_are_sound(self) -> None:
        """Guards against a bound that is kept by refusing callers in calm."""
        self.start_fleet(loading=ENGINES)
        results, _ = self.play(0.0, 0.0)
        lost = [(one.id, one.status) for one in results if not one.is_served]
        self.assertEqual(lost, [])
