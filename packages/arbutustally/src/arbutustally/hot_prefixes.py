"""Number of homes of each prefix: grows with demand before queues build up, then shrinks again."""

import math
from collections import OrderedDict
from dataclasses import dataclass

#: Time constant of the moving average of demand, in seconds.
DEMAND_WINDOW_S = 10.0
#: Share of an endpoint's prefill speed per home at which a home is added. Queues grow steeply above
#: about 60% utilisation, so homes are added well before that.
WIDEN_AT = 0.25
#: Fraction of the ``widen_at`` share, applied to the speed of the remaining homes, below which a
#: home is removed. This hysteresis keeps small changes of demand from changing the number of homes.
NARROW_FRACTION = 0.6
#: Bound on prefixes whose demand is tracked.
MAX_PREFIXES = 4096


@dataclass
class _Demand:
    tokens_per_s: float
    updated_at: float
    homes: int = 1


class HotPrefixes:
    """Demand and number of homes by prefix.

    :param max_prefixes: bound on tracked prefixes; the least recently requested are evicted.
    :param widen_at: share of an endpoint's speed per home at which a home is added.
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES, widen_at: float = WIDEN_AT) -> None:
        self._max_prefixes = max_prefixes
        self._widen_at = widen_at
        self._narrow_at = widen_at * NARROW_FRACTION
        self._demands: OrderedDict[bytes, _Demand] = OrderedDict()

    def copied(self) -> "HotPrefixes":
        """Returns a copy; requests recorded in it do not change this one."""
        other = HotPrefixes(self._max_prefixes, self._widen_at)
        other._demands = OrderedDict(
            (key, _Demand(one.tokens_per_s, one.updated_at, one.homes))
            for key, one in self._demands.items()
        )
        return other

    def homes(self, key: bytes) -> int:
        """Returns the number of homes of a prefix, at least 1."""
        demand = self._demands.get(key)
        return demand.homes if demand else 1

    def record_request(self, key: bytes, tokens: float, speed: float, now: float) -> int:
        """Records a request that computes ``tokens`` and returns the number of homes.

        :param speed: prefill speed of one endpoint in tokens/s.
        """
        demand = self._demands.setdefault(key, _Demand(0.0, now))
        demand.tokens_per_s *= math.exp((demand.updated_at - now) / DEMAND_WINDOW_S)
        demand.tokens_per_s += tokens / DEMAND_WINDOW_S
        demand.updated_at = now
        self._demands.move_to_end(key)
        if len(self._demands) > self._max_prefixes:
            self._demands.popitem(last=False)
        utilisation = demand.tokens_per_s / speed
        demand.homes = max(demand.homes, math.ceil(utilisation / self._widen_at), 1)
        while demand.homes > 1 and utilisation < self._narrow_at * (demand.homes - 1):
            demand.homes -= 1
        return demand.homes
