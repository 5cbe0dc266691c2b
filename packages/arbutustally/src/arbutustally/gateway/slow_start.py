"""Limits the requests to cold endpoints over all nodes, without messages.

Each cold endpoint has a few owner nodes, the first ones in rendezvous order of all nodes that this
node remembers; only they may send to it. There are as many owners as the endpoint sustains requests
a second, so each sends one request a second, or a few where the fleet has fewer nodes than that.
Each owner counts in its own steady time, so the clocks of nodes need not agree.

Bound, for rate r, n nodes and windows of a second. If n > r, there are k = max(1, floor(r)) owners
with one request each, at most max(1, r) in all. A node that lacks m of the fleet's names may take
itself for an owner at a rank below k + m, so the fleet sends at most k + m requests, and the limit
``r * overage + slack`` holds for m <= r * overage + slack - k. Otherwise each node sends the
rounded r / n requests, at most 4/3 r in all; one that lacks a name, r / (n - 1). Names that are no
longer of the fleet only lower the sum. Nodes remember the names of peers that they no longer hear,
so a cut of the network changes no owner.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.rendezvous import rank

#: Time for which peers are remembered that are no longer heard, seconds. It exceeds the time for
#: which nodes may be cut off from each other, and the life of most cold endpoints.
MEMORY_S = 600.0
#: Time after the start in which a node sends no requests to cold endpoints, seconds: it does not
#: know all peers yet, nor the requests that it sent before a restart.
START_S = 3.0
#: Shortest window in which an owner counts its requests, seconds. The part above 1 s is the longest
#: difference between the times that two requests take to reach an endpoint.
WINDOW_S = 1.2
#: Interval at which peers that were last heard long ago are forgotten, seconds.
FORGET_INTERVAL_S = 1.0
#: Endpoints whose ranks are kept between two changes of the fleet, so that removed ones do not
#: accumulate.
MAX_RANKS = 4096


@dataclass(frozen=True)
class ColdTolerance:
    """Most requests that a cold endpoint may get in a second, over all nodes.

    The limit is the sustained rate times ``overage``, plus ``slack`` requests.
    """

    overage: float = 1.5
    slack: float = 5.0

    def limit(self, rate: float) -> float:
        """Returns the limit for a sustained rate, requests."""
        return rate * self.overage + self.slack


class SlowStart:
    """Decides which cold endpoints this node may send a request to.

    :param clock: monotonic seconds.
    :param name: name of this node, unique in the fleet.
    """

    def __init__(self, clock: Clock, name: str, tolerance: ColdTolerance = ColdTolerance()) -> None:
        self._clock = clock
        self._name = name
        self._tolerance = tolerance
        self._started_at = self._forgot_at = clock()
        self._present: frozenset[str] = frozenset()
        self._present_at: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._ranks: dict[str, int] = {}

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Sets the requests per second that a cold endpoint sustains, by service.

        A service that is not listed, or whose rate is 0, has no limit.
        """
        self._rates = {service: rate for service, rate in rates.items() if rate > 0}

    def update_peers(self, names: Iterable[str]) -> None:
        """Replaces the names of the peers that are present."""
        now = self._clock()
        before = self._present
        self._present = frozenset(names)
        self._present_at.update(dict.fromkeys(before | self._present, now))
        self._ranks.clear()

    def is_cold(self, state: EndpointState) -> bool:
        """Returns whether an endpoint is cold and its service limits requests to cold ones."""
        return state.entry.service in self._rates and state.cold_until > self._clock()

    def may_send(self, state: EndpointState) -> bool:
        """Returns whether this node may send a request to an endpoint now."""
        if not self.is_cold(state):
            return True
        now = self._clock()
        self._forget(now)
        owners, count, window_s = self._shares(state)
        if now - self._started_at < START_S or self._rank(state.id) >= owners:
            return False
        return sum(now - at < window_s for at in state.cold_sent) < count

    def record_sent(self, state: EndpointState) -> bool:
        """Counts a request that is sent; returns whether the endpoint is cold."""
        if not self.is_cold(state):
            return False
        now = self._clock()
        window_s = self._shares(state)[2]
        while state.cold_sent and now - state.cold_sent[0] >= window_s:
            state.cold_sent.popleft()
        state.cold_sent.append(now)
        return True

    def _shares(self, state: EndpointState) -> tuple[int, int, float]:
        nodes = len(self._present_at.keys() | {self._name})
        return shares(self._rates[state.entry.service], nodes, self._tolerance)

    def _forget(self, now: float) -> None:
        if now - self._forgot_at < FORGET_INTERVAL_S:
            return
        self._forgot_at = now
        self._present_at.update(dict.fromkeys(self._present, now))
        old = [name for name, at in self._present_at.items() if now - at > MEMORY_S]
        for name in old:
            del self._present_at[name]
        if old or len(self._ranks) > MAX_RANKS:
            self._ranks.clear()

    def _rank(self, endpoint: str) -> int:
        if endpoint not in self._ranks:
            self._ranks[endpoint] = rank(endpoint.encode(), self._name, self._present_at)
        return self._ranks[endpoint]


def shares(rate: float, nodes: int, tolerance: ColdTolerance) -> tuple[int, int, float]:
    """Returns how a rate is divided among owner nodes.

    :param rate: requests per second that an endpoint sustains, above 0.
    :param nodes: nodes of the fleet.
    :returns: number of owners, requests of each owner in a window, and the window in seconds.
    """
    limit = math.floor(tolerance.limit(rate))
    owners = min(nodes, max(1, math.floor(rate)), limit)
    count = 1 if nodes > rate else max(1, min(round(rate / nodes), limit // nodes))
    return owners, count, max(WINDOW_S, count * owners / rate)
