"""Replays of loads of several zones for the decision whether a request leaves its zone.

Requests are spread over the nodes of their zone. A node sees the queues of all endpoints as they
were ``age_s`` ago and its own requests since then. Run as a script, it prints for each load and
policy the worth of the requests as a share of an offline bound, and the share that left its zone.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import pi, sin
from random import Random

from arbutustally.clock import VirtualClock
from arbutustally.gateway.zone_spill import ZoneCandidate, ZoneCosts, ZoneSpill

ZONES = ("a", "b", "c")
ENDPOINTS = 4
NODES = 8
SLOTS = 4
#: Requests that an endpoint serves in a second.
RATE = 20.0
STEP_S = 0.05
SECONDS = 40.0
TARGET_S = 0.4
TIMEOUT_S = 5.0
LATE_WORTH = 0.3
#: Change of the share of leaving requests within a second that counts as a jump.
JUMP_SHARE = 0.25
#: Worth lost by each request that leaves its zone.
CROSSING_WORTH = 0.02
#: The same in the terms of the decision: the delay that a request's bytes are worth.
COSTS = ZoneCosts(s_per_gb=1000.0, delay_s=0.002)
BYTES = 10_000.0


@dataclass(frozen=True)
class Load:
    """Demand of each zone relative to its capacity, and endpoints that have crashed.

    :ivar age_s: age of the queues that a node sees, seconds.
    """

    demand: Callable[[str, float], float]
    crashed: Callable[[str, float], int] = lambda _zone, _at: 0
    age_s: float = 0.3


def _half(zone: str, at: float) -> float:
    return 0.6


def _double(zone: str, at: float) -> float:
    return 2.0 if zone == "a" else 0.35


def _waves(zone: str, at: float) -> float:
    return 0.75 + 0.55 * sin(2 * pi * (at / 20 + ZONES.index(zone) / 2))


def _crashing(zone: str, at: float) -> int:
    return min(ENDPOINTS, int(at / 8)) if zone == "a" else 0


LOADS = {
    "even": Load(_half),
    "double": Load(_double),
    "waves": Load(_waves),
    "crashes": Load(_half, _crashing),
    "double, 3 s old": Load(_double, age_s=3.0),
    "waves, 3 s old": Load(_waves, age_s=3.0),
    "crashes, 3 s old": Load(_half, _crashing, 3.0),
}


@dataclass(frozen=True)
class Result:
    """Outcome of a replay.

    :ivar worth: worth of all requests as a share of the offline bound.
    :ivar left: share of the requests that left their zone.
    :ivar jumps: seconds in which the share of leaving requests differed from that of the second
        before by more than ``JUMP_SHARE``.
    """

    worth: float
    left: float
    jumps: int


def replay(load: Load, policy: str, seed: int = 1) -> Result:
    """Plays a load; ``policy`` is ``never``, ``least`` or ``spill``."""
    rng, clock = Random(seed), VirtualClock(0.0)
    names = [(zone, number) for zone in ZONES for number in range(ENDPOINTS)]
    queues = dict.fromkeys(names, 0.0)
    seen: deque[dict] = deque([dict(queues)], maxlen=round(load.age_s / STEP_S) + 1)
    nodes = {
        zone: [ZoneSpill(COSTS, zone, clock, Random(rng.random())) for _ in range(NODES)]
        for zone in ZONES
    }
    own = {node: deque() for group in nodes.values() for node in group}
    worth, total, left, pooled, bound = 0.0, 0, 0, 0.0, 0.0
    by_second: dict[int, list[int]] = {}
    while clock() < SECONDS:
        alive = [n for n in names if n[1] >= load.crashed(n[0], clock())]
        for name in alive:
            queues[name] = max(0.0, queues[name] - RATE * STEP_S)
        pooled = max(0.0, pooled - RATE * STEP_S * len(alive))
        second = by_second.setdefault(int(clock()), [0, 0])
        for zone in _arrivals(load, clock(), rng):
            node = rng.choice(nodes[zone])
            sent = own[node]
            view = _view(seen[0], sent, clock() - load.age_s)
            times = {name: (view[name] + 1) / RATE for name in alive}
            name = _choose(policy, node, zone, times, rng)
            wait_s = (queues[name] + 1) / RATE
            queues[name] += 1
            sent.append((clock(), name))
            worth += _worth(wait_s) - CROSSING_WORTH * (name[0] != zone)
            bound += _pooled_worth(pooled, len(alive))
            pooled += (pooled + 1) / (RATE * len(alive)) <= TARGET_S
            total += 1
            left += name[0] != zone
            second[0] += 1
            second[1] += name[0] != zone
        seen.append(dict(queues))
        clock.advance(STEP_S)
    return Result(worth / bound, left / total, _jumps(by_second))


def _arrivals(load: Load, at: float, rng: Random) -> list[str]:
    """Returns the zones of the requests of a step, in random order."""
    arrivals = [
        zone
        for zone in ZONES
        for _ in range(_count(rng, load.demand(zone, at) * ENDPOINTS * RATE * STEP_S))
    ]
    rng.shuffle(arrivals)
    return arrivals


def _view(reported: dict, sent: deque, reported_at: float) -> dict:
    """Returns the queues that a node assumes: the reported ones and what it has sent since.

    Drops older requests from ``sent``.
    """
    while sent and sent[0][0] < reported_at:
        sent.popleft()
    view = dict(reported)
    for _at, name in sent:
        view[name] += 1
    return view


def _jumps(by_second: dict[int, list[int]]) -> int:
    """Returns the seconds in which the share of leaving requests changed by more than a quarter."""
    shares = [gone / max(count, 1) for count, gone in by_second.values()]
    return sum(abs(b - a) > JUMP_SHARE for a, b in zip(shares, shares[1:], strict=False))


def _count(rng: Random, mean: float) -> int:
    return int(mean) + (rng.random() < mean % 1)


def _worth(wait_s: float) -> float:
    if wait_s <= TARGET_S:
        return 1.0
    return LATE_WORTH if wait_s <= TIMEOUT_S else 0.0


def _pooled_worth(pooled: float, alive: int) -> float:
    """Returns the most that a request can be worth if all endpoints were one fast one."""
    return 1.0 if (pooled + 1) / (RATE * alive) <= TARGET_S else LATE_WORTH


def _choose(policy: str, node: ZoneSpill, zone: str, times: dict, rng: Random) -> tuple:
    usable = list(times)
    local = [name for name in usable if name[0] == zone]
    if policy == "never":
        usable = local or usable
    elif policy == "spill":
        candidates = [ZoneCandidate(n[0], times[n], times[n] - 1 / RATE, SLOTS) for n in usable]
        wanted = node.decide("s", candidates, BYTES).zone
        usable = [name for name in usable if name[0] == wanted]
    best = min(times[name] for name in usable)
    tied = [name for name in usable if times[name] <= best * 1.1]
    return rng.choice([name for name in tied if name[0] == zone] or tied)


def main() -> None:
    """Prints the table."""
    print("load,policy,share of the bound,left the zone,jumps")
    for title, load in LOADS.items():
        for policy in ("never", "least", "spill"):
            got = replay(load, policy)
            print(f"{title},{policy},{got.worth:.3f},{got.left:.3f},{got.jumps}")


if __name__ == "__main__":
    main()
