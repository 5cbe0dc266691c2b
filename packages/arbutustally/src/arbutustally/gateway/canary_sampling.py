"""Share of each route's requests that is routed to a canary while it is evaluated.

Load pattern: a release is bad on a route that gets a small part of the requests. The same share of
all routes brings too few answers there before the roll-out must end, so rare routes get a larger
one. All routes together get at most ``EXTRA_SHARE`` more.
"""

from collections import Counter
from dataclasses import dataclass, field

#: Share of all requests of a service that is divided evenly among its routes.
EXTRA_SHARE = 0.03
#: Largest share of the requests of one route.
MAX_ROUTE_SHARE = 0.5


@dataclass
class _Trial:
    name: str
    requests: Counter[str] = field(default_factory=Counter)


class CanarySampling:
    """Counts the requests of each service's present trial by route."""

    def __init__(self) -> None:
        self._trials: dict[str, _Trial] = {}

    def share(self, service: str, trial: str, route: str, least: float) -> float:
        """Counts a request and returns the share of its route.

        :param trial: name of the trial; another one begins anew.
        :param least: share of all routes.
        """
        known = self._trials.get(service)
        if known is None or known.name != trial:
            known = self._trials[service] = _Trial(trial)
        known.requests[route] += 1
        evenly = known.requests.total() / len(known.requests)
        return max(least, min(EXTRA_SHARE * evenly / known.requests[route], MAX_ROUTE_SHARE))
