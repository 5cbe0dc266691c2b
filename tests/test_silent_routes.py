"""Changes of routes, keys and limits hold while sound workers are silent across their bounds."""

import time
import unittest
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

import gevent

from tests.fake_configuration import configuration
from tests.route_callers import Asked, RouteCallers, Target
from tests.soak.fleet import BOUNDS, Backend, FleetSize, SoakFleet
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.notes import Run
from tests.soak.program import PORTS
from tests.soak.rules import DENIED, DRAIN_S, Kind, late_runs

NODES = 3
DESKS = 3
#: Workers of the service to which routes move.
COUNTERS = 2
READY_S = 20.0
CALLERS = 24
WARM_UP_S = 0.7
AFTER_S = 0.7
#: Time after its acknowledgement in which a configuration comes into force; the pages'
#: ``configApplyMs``.
APPLY_S = 2.0
#: Time after a worker has seen the effect of a version in which its node may handle requests as
#: an older one allows; the pages' ``rollbackSlackMs``.
ROLLBACK_S = 0.25
#: Timeout of the routes in the test of timeouts.
TIMEOUT_S = 0.7
#: The pages' ``quotaWindowS``, and ``quotaOverage`` and ``quotaSlack`` of the nodes' settings.
WINDOW_S = 8.0
OVERAGE = 0.1
SLACK = 20
#: Rate in requests per second, and burst in requests, before and after they are lowered.
HIGH, LOW = 40, 5


@dataclass(frozen=True)
class Silence:
    """Silence of sound workers.

    :ivar seconds: how long it lasts.
    :ivar before_s: how long before the bound it begins.
    :ivar workers: how many workers of a service fall silent together.
    """

    seconds: float
    before_s: float
    workers: int


#: Silences, and the time from the acknowledgement of a change to their bound, seconds: the change
#: itself, after which nodes send nothing to the old service, and the time by which it is in force.
SILENCES = (
    (Silence(1.0, 0.5, workers=1), APPLY_S),
    (Silence(1.5, 1.4, workers=DESKS), APPLY_S),
    (Silence(1.5, 0.2, workers=DESKS), 0.0),
)

SCHOOL, GUEST, NEWCOMER = "key-school", "key-guest", "key-newcomer"
#: The service to which each configuration sends a target's requests; absent: it refuses them.
FIRST = {
    Target("keep", SCHOOL, Kind.LOOK): "desk",
    Target("move", SCHOOL, Kind.LOOK): "desk",
    Target("move-book", SCHOOL, Kind.BOOK): "desk",
    Target("drop", SCHOOL, Kind.LOOK): "desk",
    Target("drop-book", SCHOOL, Kind.BOOK): "desk",
    Target("keep", GUEST, Kind.LOOK): "desk",
}
SECOND = {
    Target("keep", SCHOOL, Kind.LOOK): "desk",
    Target("move", SCHOOL, Kind.LOOK): "counter",
    Target("move-book", SCHOOL, Kind.BOOK): "counter",
    Target("add", SCHOOL, Kind.LOOK): "desk",
    Target("keep", NEWCOMER, Kind.LOOK): "desk",
}
TARGETS = tuple({**FIRST, **SECOND})

Services = dict[Target, str]


def fields_of(version: int, services: Services, **account: object) -> dict:
    """Returns a configuration that sends requests for targets to services.

    :param account: fields of the accounts that differ from the defaults.
    """
    fields = configuration(version)
    _chat, book, look = fields["routes"]
    samples = {Kind.BOOK: book, Kind.LOOK: look}
    routes = {
        target.route: {
            **samples[target.kind],
            "name": target.route,
            "pathPrefix": f"/{target.route}/",
            "service": service,
        }
        for target, service in services.items()
    }
    llm, desk = fields["services"]
    sample = {**fields["tenants"][0], **account}
    tenants = [
        {**sample, "name": key.removeprefix("key-"), "apiKeys": [key]}
        for key in sorted({target.key for target in services})
    ]
    return {
        **fields,
        "routes": list(routes.values()),
        "services": [llm, desk, {**desk, "name": "counter"}],
        "tenants": tenants,
    }


@dataclass
class Change:
    """A change from one configuration to another.

    :ivar written_at: when the operator began to write the new one.
    :ivar acknowledged_at: when the store acknowledged it.
    :ivar seen_at: when a worker first saw its effect, for each node.
    """

    old: Services
    new: Services
    written_at: float
    acknowledged_at: float
    seen_at: dict[str, float]

    def possible(self, asked: Asked, until: float) -> list[Services]:
        """Returns the configurations by which a node may handle a request until a time."""
        seen_at = self.seen_at.get(asked.ip, self.acknowledged_at + APPLY_S)
        latest = min(self.acknowledged_at + APPLY_S, seen_at + ROLLBACK_S)
        old = [self.old] if asked.sent_at <= latest else []
        return [*old, self.new] if until >= self.written_at else [self.old]

    def faults(self, asked: Asked, runs: list[Run], services: dict[str, str]) -> Iterator[str]:
        """Yields how a request was handled as no configuration in force allows.

        :param services: the service of each worker.
        """
        since = f"sent {asked.sent_at - self.acknowledged_at:.3f} s after, node {asked.ip}"
        for run in runs:
            service = services[run.worker]
            if service not in [one.get(asked.target) for one in self.possible(asked, run.began)]:
                began = run.began - self.acknowledged_at
                yield f"CONFIG ran at {service} at {began:.3f} s, {since}"
            if service not in (self.old.get(asked.target), self.new.get(asked.target)):
                yield f"ROUTE ran at {service}, {since}"
        possible = self.possible(asked, asked.done_at)
        if asked.status in DENIED and all(asked.target in one for one in possible):
            yield f"CONFIG denied with {asked.status}, {since}"
        if asked.status == 0:
            yield f"LOST no answer, {since}"


class SilentRoutesTest(unittest.TestCase):
    """Real processes: nodes, a store, and workers of two plain services."""

    @classmethod
    def setUpClass(cls) -> None:
        network = Network.reserve_free(FIRST_NETWORK, tuple(PORTS.values()))
        bounds = {**BOUNDS, "quotaOverage": OVERAGE, "quotaSlack": SLACK}
        cls.fleet = SoakFleet(network, FleetSize(NODES, 1, DESKS), seed=1, bounds=bounds)
        cls.addClassCleanup(cls.fleet.stop)
        for number in range(1, COUNTERS + 1):
            counter = Backend(cls.fleet, f"c{number}", "counter", "")
            cls.fleet.backends.append(counter)
            counter.start()
            heartbeats = gevent.spawn(counter.write_heartbeats)
            cls.addClassCleanup(heartbeats.kill)
        cls.services = {one.id: one.service for one in cls.fleet.backends}
        cls.version = 100
        latest = time.monotonic() + READY_S
        while not all(map(cls.fleet.is_ready, cls.fleet.ips)):
            if time.monotonic() > latest:
                raise TimeoutError("nodes are not ready")
            gevent.sleep(0.1)

    def configure(self, services: Services, **account: object) -> None:
        """Puts a newer configuration in force."""
        self.write(fields_of(self.new_version(), services, **account))

    def new_version(self) -> int:
        type(self).version += 7
        return self.version

    def write(self, fields: dict) -> None:
        self.fleet.write("keyed.op", "config", fields)

    def workers(self, service: str, count: int) -> list[Backend]:
        return [one for one in self.fleet.backends if one.service == service][:count]

    def silence_at(self, workers: Iterable[Backend], silence: Silence, bound_s: float) -> None:
        """Lets workers fall silent before a bound.

        :param bound_s: time from now to the bound.
        """
        for worker in workers:
            gevent.spawn_later(
                max(0.0, bound_s - silence.before_s), worker.fall_silent, silence.seconds
            )

    def callers(self, name: str, targets: Iterable[Target]) -> RouteCallers:
        """Starts callers and lets them send for a while."""
        callers = RouteCallers(self.fleet.ips, Random(name), name)
        callers.start(CALLERS, tuple(targets))
        gevent.sleep(WARM_UP_S)
        return callers

    def promises(self, callers: RouteCallers) -> list[str]:
        """Returns the promises broken by answers, denials apart."""
        runs = self.fleet.notes().runs()
        found = [
            f"{one.target.route} {one.id}: {fault}"
            for one in callers.results
            for fault in one.faults(runs.get(one.id, []))
            if not fault.startswith("denied")
        ]
        unasked = [one for one in runs if one.startswith(f"{callers.name}-")]
        known = {one.id for one in callers.results}
        return found + [f"UNASKED {one}" for one in unasked if one not in known]

    def change(
        self, name: str, old: Services, new: Services, silence: Silence, bound_s: float
    ) -> list[str]:
        """Changes the configuration while workers of both services are silent; returns what broke.

        :param bound_s: time from the acknowledgement of the change to the bound of the silence.
        """
        callers = self.callers(name, TARGETS)
        silent = [*self.workers("desk", silence.workers), *self.workers("counter", silence.workers)]
        pause_s = 0.0 if bound_s else silence.before_s
        self.silence_at(silent, silence, pause_s + bound_s)
        gevent.sleep(pause_s)
        written_at = time.monotonic()
        self.configure(new)
        change = Change(old, new, written_at, time.monotonic(), {})
        gevent.sleep(APPLY_S + silence.seconds - silence.before_s + AFTER_S)
        callers.stop()
        runs = self.fleet.notes().runs()
        for one in callers.results:
            for run in runs.get(one.id, []):
                if self.services[run.worker] == new.get(one.target) != old.get(one.target):
                    seen_at = change.seen_at.get(one.ip, run.began)
                    change.seen_at[one.ip] = min(seen_at, run.began)
        self.assertEqual(set(change.seen_at), set(self.fleet.ips))
        faults = [
            f"{one.target.route} {one.target.key} {one.id}: {fault}"
            for one in callers.results
            for fault in change.faults(one, runs.get(one.id, []), self.services)
        ]
        held = sum(
            run.began > written_at + bound_s > one.sent_at
            for one in callers.results
            for run in runs.get(one.id, [])
        )
        print(f"{name}: {len(callers.results)} requests, {held} ran across the bound")
        return faults + self.promises(callers)

    def test_routes_and_keys_change_while_workers_are_silent(self) -> None:
        """Guards against requests that a silence carries past a change of routes or keys."""
        old, new = FIRST, SECOND
        self.configure(old)
        gevent.sleep(APPLY_S)
        for number, (silence, bound_s) in enumerate(SILENCES):
            with self.subTest(silence=silence, bound_s=bound_s):
                self.assertEqual(self.change(f"r{number}", old, new, silence, bound_s), [])
            old, new = new, old

    def test_lower_limit_holds_while_workers_are_silent(self) -> None:
        """Guards against a limit that rises by what silent workers hold."""
        targets = {Target("keep", SCHOOL, Kind.LOOK): "desk"}
        self.configure(targets, unit="requests", ratePerS=HIGH, burst=HIGH)
        gevent.sleep(APPLY_S)
        callers = self.callers("q", targets)
        self.configure(targets, unit="requests", ratePerS=LOW, burst=LOW)
        bound = time.monotonic() + APPLY_S
        self.silence_at(self.workers("desk", DESKS), Silence(1.5, 0.7, DESKS), APPLY_S)
        self.silence_at(self.workers("desk", 1), Silence(1.0, 0.5, 1), APPLY_S + WINDOW_S / 2)
        gevent.sleep(APPLY_S + WINDOW_S + AFTER_S)
        callers.stop()
        runs = self.fleet.notes().runs()
        counted = [
            (one.sent_at, run.began)
            for one in callers.results
            for run in runs.get(one.id, [])
            if one.sent_at >= bound
        ]
        limit = (LOW * WINDOW_S + LOW) * (1 + OVERAGE) + SLACK
        most = max(
            sum(since <= sent and began <= since + WINDOW_S for sent, began in counted)
            for since, _began in counted
        )
        asked = sum(one.sent_at >= bound for one in callers.results)
        print(f"at most {most} in {WINDOW_S:.0f} s, {limit:.1f} allowed, {asked} asked for")
        self.assertGreater(asked, 2 * limit)
        self.assertLessEqual(most, limit)
        self.assertEqual(self.promises(callers), [])

    def test_worker_leaves_while_it_is_silent(self) -> None:
        """Guards against requests that reach a worker after it has left, through its silence."""
        targets = {
            Target("look", SCHOOL, Kind.LOOK): "desk",
            Target("book", SCHOOL, Kind.BOOK): "desk",
        }
        self.configure(targets)
        gevent.sleep(APPLY_S)
        desk = self.workers("desk", 1)
        plays = ((1.5, 0.1, 0.0), (1.0, 0.5, DRAIN_S))
        for number, (seconds, before_s, bound_s) in enumerate(plays):
            state = ("draining", None)[number % 2]
            silence = Silence(seconds, before_s, workers=1)
            with self.subTest(silence=silence, bound_s=bound_s, state=state):
                callers = self.callers(f"d{number}", targets)
                self.silence_at(desk, silence, before_s + bound_s)
                gevent.sleep(before_s)
                desk[0].list(state)
                gevent.sleep(DRAIN_S + AFTER_S)
                callers.stop()
                runs = self.fleet.notes().runs()
                late = [
                    f"{one.id}: {fault}"
                    for one in callers.results
                    for fault in late_runs(self.fleet, one, runs.get(one.id, []))
                ]
                lost = [(one.id, one.status) for one in callers.results if one.status == 0]
                print(f"{state}: {len(callers.results)} requests")
                desk[0].list("ready")
                gevent.sleep(AFTER_S)
                self.assertEqual([late, lost, self.promises(callers)], [[], [], []])

    def test_bookings_time_out_while_workers_are_silent(self) -> None:
        """Guards against bookings that run twice, or that run although callers were told not."""
        targets = {
            Target("book", SCHOOL, Kind.BOOK): "desk",
            Target("look", SCHOOL, Kind.LOOK): "desk",
        }
        fields = fields_of(self.new_version(), targets)
        for route in fields["routes"]:
            route["timeoutMs"] = round(TIMEOUT_S * 1000)
        self.write(fields)
        gevent.sleep(APPLY_S)
        desks = self.workers("desk", DESKS)
        # Some workers run what they read although its connection is closed by then.
        self.addCleanup(desks[0].drop_closed)
        desks[0].serve_closed()
        for number, (seconds, count) in enumerate(((1.0, 1), (1.5, DESKS))):
            with self.subTest(seconds=seconds, workers=count):
                callers = self.callers(f"t{number}", targets)
                self.silence_at(desks[:count], Silence(seconds, 0.0, count), 0.0)
                gevent.sleep(seconds + AFTER_S)
                callers.stop()
                gevent.sleep(AFTER_S)
                self.check_timeouts(callers)

    def check_timeouts(self, callers: RouteCallers) -> None:
        runs = self.fleet.notes().runs()
        told = [one for one in callers.results if one.kind is Kind.BOOK and one.status == 504]
        ran = sum(bool(runs.get(one.id)) for one in told)
        print(f"{len(callers.results)} requests, {len(told)} bookings timed out, {ran} of them ran")
        self.assertEqual(self.promises(callers), [])
        self.assertGreater(len(told), 0)
        self.assertEqual([one.id for one in callers.results if one.status == 0], [])
