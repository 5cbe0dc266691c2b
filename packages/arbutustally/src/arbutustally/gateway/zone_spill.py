"""Decision whether a request leaves the availability zone of its node.

Load pattern: traffic between zones is paid for and slower, but a zone may have too few endpoints
for its callers. The nodes of a zone see the same loads, which are 0.3 s old and up to 3 s when
messages are lost. If each of them sent its requests to the zone with the shortest queue, they would
overload it before a report shows that, and then return together. Each node therefore lets only a
share of its requests leave. The share rises while leaving pays off, falls while it does not, and
holds in between; each request draws whether it is in the share, and to which zone it goes.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random
from statistics import fmean

from arbutustally.clock import Clock

#: Gain, as a share of the expected time in the own zone, above which the share rises. Between zero
#: and this gain it holds, so that small differences do not move traffic back and forth.
RISE_AT = 0.4
#: Smallest gain that makes a request leave, seconds. Smaller ones are within the error of the
#: expected times.
LEAST_GAIN_S = 0.005
#: Time in which the share rises from 0 to 1 while the gain is the whole expected time, seconds.
RISE_S = 12.0
#: Time in which the share falls from 1 to 0 while other zones are twice as slow, seconds.
FALL_S = 4.0
#: Share that is added at once for the part of the relative gain above ``RISE_AT``.
IMMEDIATE = 0.3
#: Longest time between two decisions that counts for the share, seconds.
LONGEST_STEP_S = 0.5


class SpillReason(StrEnum):
    """Why a request stays in the zone of its node, or leaves it."""

    OFF = "off"
    OWN_ZONE = "own_zone"
    NO_ENDPOINT = "no_endpoint"
    PARTS_CACHED = "parts_cached"
    BUSY = "busy"
    TOO_LATE = "too_late"


@dataclass(frozen=True)
class ZoneCosts:
    """Costs of traffic between zones.

    :ivar s_per_gb: delay that 10**9 bytes between zones are worth, seconds.
    :ivar delay_s: time that a request to another zone takes longer, both ways, seconds.
    """

    s_per_gb: float = 0.0
    delay_s: float = 0.0

    @property
    def is_set(self) -> bool:
        """Returns whether any cost is set; without one, zones only break ties."""
        return self.s_per_gb > 0 or self.delay_s > 0

    def bytes_s(self, count: float) -> float:
        """Returns the delay that a number of bytes between zones is worth, seconds."""
        return count * self.s_per_gb / 1e9


@dataclass(frozen=True)
class ZoneCandidate:
    """An endpoint that may run the request.

    :ivar expected_s: expected time to the first event or to the answer, seconds.
    :ivar wait_s: part of ``expected_s`` until the request begins, seconds.
    :ivar slots: requests that it runs concurrently, and those of the endpoints that were not
        estimated and that it represents.
    :ivar fetched_bytes: cached parts that it would fetch from another zone than its own.
    """

    zone: str
    expected_s: float
    wait_s: float = 0.0
    slots: float = 1
    fetched_bytes: float = 0.0


@dataclass(frozen=True)
class ZoneDecision:
    """The zone in which a request is to run.

    :ivar zone: empty if any zone may be used.
    :ivar gain_s: mean time that a request gains in the best other zone, costs included, seconds.
    :ivar share: share of the requests that leave at present.
    """

    zone: str
    reason: SpillReason
    gain_s: float = 0.0
    share: float = 0.0


@dataclass(frozen=True)
class _ZoneEstimate:
    """Expected times in a zone.

    :ivar cost_s: expected time, costs included, of a request that waits as long as in the mean of
        the zone. The shortest wait of a zone is no estimate while the loads are old.
    :ivar least_s: the same for its best endpoint.
    :ivar slots: slots of all its endpoints.
    """

    cost_s: float
    wait_s: float
    least_s: float
    slots: float


@dataclass
class _LeavingShare:
    value: float = 0.0
    changed_at: float = field(default=float("-inf"))


class ZoneSpill:
    """Decides for the requests of one node.

    :param zone: zone of the node.
    :param clock: steady clock, seconds.
    """

    def __init__(self, costs: ZoneCosts, zone: str, clock: Clock, rng: Random) -> None:
        self._costs = costs
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._shares: dict[str, _LeavingShare] = {}

    @property
    def is_active(self) -> bool:
        """Returns whether the costs call for decisions."""
        return self._costs.is_set and bool(self._zone)

    @property
    def costs(self) -> ZoneCosts:
        """Returns the costs of traffic between zones."""
        return self._costs

    @property
    def rng(self) -> Random:
        """Returns the source of its draws."""
        return self._rng

    @property
    def zone(self) -> str:
        """Returns the zone of the node."""
        return self._zone

    def preview(self, rng: Random) -> "ZoneSpill":
        """Returns a copy that decides as this one does now; its decisions do not change this one.

        :param rng: source of its draws.
        """
        copied = ZoneSpill(self._costs, self._zone, self._clock, rng)
        copied._shares = {name: replace(share) for name, share in self._shares.items()}
        return copied

    def decide(
        self,
        service: str,
        candidates: Sequence[ZoneCandidate],
        exchanged_bytes: float,
        limit_s: float = math.inf,
    ) -> ZoneDecision:
        """Returns the zone in which a request is to run.

        :param candidates: may be empty only while no decision is made (``is_active``).
        :param exchanged_bytes: bytes of the request and its answer.
        :param limit_s: expected time to the first event above which the request is rejected,
            seconds.
        """
        if not self.is_active:
            return ZoneDecision("", SpillReason.OFF)
        estimates = self._estimates(candidates, exchanged_bytes)
        own = estimates.pop(self._zone, None)
        if own is None:
            return ZoneDecision(self._draw_zone(estimates), SpillReason.NO_ENDPOINT, share=1.0)
        if not estimates:
            return ZoneDecision(self._zone, SpillReason.OWN_ZONE)
        best = min(estimates.values(), key=lambda estimate: estimate.cost_s)
        gain_s = own.cost_s - best.cost_s
        better = {
            zone: estimate
            for zone, estimate in estimates.items()
            if own.cost_s - estimate.cost_s > LEAST_GAIN_S
        }
        if better and own.wait_s <= best.wait_s:
            # The gain comes from cached parts, not from the load, so nothing is to be balanced.
            zone = min(better, key=lambda name: better[name].cost_s)
            return ZoneDecision(zone, SpillReason.PARTS_CACHED, gain_s)
        relative = gain_s / max(own.cost_s, LEAST_GAIN_S)
        share = self._updated_share(service, relative)
        timely = {zone: other for zone, other in estimates.items() if other.least_s <= limit_s}
        if timely and own.least_s > limit_s:
            return ZoneDecision(self._draw_zone(timely), SpillReason.TOO_LATE, gain_s, share)
        chance = min(1.0, share + IMMEDIATE * max(0.0, relative - RISE_AT))
        if better and self._rng.random() < chance:
            return ZoneDecision(self._draw_zone(better), SpillReason.BUSY, gain_s, share)
        return ZoneDecision(self._zone, SpillReason.OWN_ZONE, gain_s, share)

    def _estimates(
        self, candidates: Sequence[ZoneCandidate], exchanged_bytes: float
    ) -> dict[str, _ZoneEstimate]:
        crossing_s = self._costs.delay_s + self._costs.bytes_s(exchanged_bytes)
        zones: dict[str, list[ZoneCandidate]] = {}
        for one in candidates:
            zones.setdefault(one.zone, []).append(one)
        return {
            zone: self._estimate(group, 0.0 if zone == self._zone else crossing_s)
            for zone, group in zones.items()
        }

    def _estimate(self, group: Sequence[ZoneCandidate], crossing_s: float) -> _ZoneEstimate:
        wait_s = fmean(one.wait_s for one in group)
        begun_s = min(
            one.expected_s - one.wait_s + self._costs.bytes_s(one.fetched_bytes) for one in group
        )
        least_s = min(one.expected_s for one in group) + crossing_s
        slots = sum(one.slots for one in group)
        return _ZoneEstimate(wait_s + begun_s + crossing_s, wait_s, least_s, slots)

    def _draw_zone(self, estimates: dict[str, _ZoneEstimate]) -> str:
        """Draws a zone; one with many slots and a short time is the likeliest."""
        zones = sorted(estimates)
        weights = [
            max(estimates[zone].slots, 1) / max(estimates[zone].cost_s, LEAST_GAIN_S)
            for zone in zones
        ]
        return self._rng.choices(zones, weights)[0]

    def _updated_share(self, service: str, relative: float) -> float:
        """Moves the share of a service according to the relative gain, and returns it."""
        state = self._shares.setdefault(service, _LeavingShare())
        now = self._clock()
        step_s = min(now - state.changed_at, LONGEST_STEP_S)
        state.changed_at = now
        if relative > RISE_AT:
            state.value += step_s / RISE_S * relative
        elif relative < 0:
            state.value -= step_s / FALL_S * min(1.0, -relative)
        state.value = min(1.0, max(0.0, state.value))
        return state.value
