"""Active configuration: routes, services, client accounts and limits on what callers send."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from arbutustally.errors import KeyInvalidError, RouteUnknownError


class RouteKind(StrEnum):
    """Kind of a route's requests, which decides whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """Share of a route's traffic that is routed to one service.

    :ivar weight: relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """A route of one host.

    :ivar path_prefix: begins and ends with a slash.
    :ivar timeout_s: longest time that a caller waits, seconds.
    :ivar target_s: targeted time to the answer, or to the first event of a stream, seconds.
    :ivar priority: 0 is the most urgent.
    :ivar max_attempts: number of endpoints on which one request may run.
    :ivar is_public: requests need no key.
    :ivar is_resumable: an interrupted stream may continue at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Returns whether a request that may have run can be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True)
class Engine:
    """Properties of every engine of a service.

    :ivar slots: requests that run concurrently.
    :ivar cache_tokens: capacity of the memory for running requests and cached parts, tokens.
    :ivar transfer_tokens_per_s: speed at which an engine fetches cached parts from another place.
    :ivar max_watchers: concurrent calls for cache events that one engine answers.
    :ivar token_bytes: bytes of a cached token.
    """

    slots: int
    cache_tokens: int
    transfer_tokens_per_s: float = 0.0
    max_watchers: int = 0
    token_bytes: float = 0.0


@dataclass(frozen=True)
class PartStore:
    """A store of cached parts that engines read and write.

    :ivar address: ``host:port``.
    :ivar max_watchers: concurrent calls for cache events that it answers.
    """

    address: str
    zone: str
    max_watchers: int


@dataclass(frozen=True)
class Service:
    """A group of endpoints.

    :ivar max_connections: connections that one endpoint accepts from all nodes together.
    :ivar engine: ``None`` for a plain service.
    :ivar part_store: set for a service that is a store of cached parts.
    :ivar cold_rate: requests per second that a cold endpoint sustains, 0 for no limit.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    part_store: PartStore | None = None
    cold_rate: float = 0.0


@dataclass(frozen=True)
class ClientAccount:
    """A client account.

    :ivar priority: 0 is the most urgent; takes precedence over the priority of the route.
    :ivar rate: tokens/s or requests/s over all instances, 0 for no limit.
    :ivar burst: tokens or requests, as ``rate``.
    :ivar counts_tokens: whether rate and burst are in tokens; otherwise in requests.
    :ivar plain_tokens: tokens counted for a request that states none.
    :ivar is_isolated: whether the account shares no cached part with other accounts.
    """

    name: str
    priority: int
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int
    is_isolated: bool

    def cost(self, tokens: int | None) -> float:
        """Returns the cost of a request in the unit of the account's burst.

        :param tokens: tokens that the request states, ``None`` without any.
        """
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@dataclass(frozen=True)
class CallerLimits:
    """Limits on what a caller may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration.

    :ivar version: increases with every change.
    :ivar accounts_by_key: account of each key; empty where routes need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: Mapping[str, ClientAccount]
    accounts_by_key: Mapping[str, str]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def part_stores(self) -> tuple[Service, ...]:
        """Returns the services that are stores of cached parts."""
        return tuple(entry for entry in self.services.values() if entry.part_store)

    def route_of(self, host: str, path: str) -> Route:
        """Returns the route with the longest matching path prefix.

        :raises RouteUnknownError: if no route of the host matches.
        """
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        if not matching:
            raise RouteUnknownError("no route matches; check the host and the path")
        return max(matching, key=lambda route: len(route.path_prefix))

    def account_of(self, route: Route, key: str) -> ClientAccount | None:
        """Returns the account that holds a key, ``None`` on a public route.

        :raises KeyInvalidError: if the route needs a key and this one is unknown.
        """
        name = self.accounts_by_key.get(key)
        if name is not None:
            return self.accounts[name]
        if route.is_public or not self.accounts:
            return None
        raise KeyInvalidError("the key is missing or unknown; send a key that is in force")
