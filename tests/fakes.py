"""Fakes for tests of the request path, with the signatures of section 16 of the design."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from arbutustally.errors import KeyInvalidError
from arbutustally.logs import configure
from arbutustally.metrics import Metrics
from arbutustally_node.booking_service import BookingService
from arbutustally_node.caller_http import CallerHttp
from arbutustally_node.explain import ExplainService
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.pool import PoolService
from arbutustally_node.streams import StreamsService
from tests.node_options import with_defaults

configure("error")


def node_options(**changes: Any) -> Options:
    """Returns options with the defaults of the settings and the given changes."""
    values = {
        "node_id": "entry-1",
        "zone": "zone-a",
        "log_url": "http://127.0.0.1:1",
        "instances_url": "http://127.0.0.1:1",
        "peer_secret": "s" * 24,
        "operator_token": "o" * 24,
    }
    return with_defaults(values | changes)


@dataclass(frozen=True)
class Declared:
    """A declaration of a route or a class."""

    path: str = ""
    kind: str = "model"
    class_: str = "chat"
    service: str = "engines"
    methods: tuple[str, ...] = ("GET", "POST")
    idempotent: bool = True
    open: bool = False
    first_token_ms: float | None = 200.0
    recompute_percent: float | None = None


ROUTES = {
    "chat": Declared("/v1/chat/completions"),
    "text": Declared("/v1/completions"),
    "quotes": Declared("/quotes", "plain", service="quotes", idempotent=False),
    "guide": Declared("/guide", "plain", service="quotes", open=True),
}
DECLARATIONS = SimpleNamespace(routes=ROUTES, models={"marelle": 1}, classes={"chat": Declared()})


@dataclass
class Endpoint:
    """An ``EndpointState``."""

    id: str
    address: str
    service: str = "engines"
    model: str = "marelle"
    version: str = "v1"
    incarnation: str = ""
    zone: str = "zone-a"
    leaving: bool = False
    queued_tokens: int = 0
    running: int = 0
    versions: tuple[str, ...] = ()


class FakeMembership:
    """Endpoints by id; records dead incarnations and dispatched load."""

    def __init__(self, *endpoints: Endpoint) -> None:
        self.states = {endpoint.id: endpoint for endpoint in endpoints}
        self.dead: set[tuple[str, str]] = set()
        self.load: dict[str, int] = {}
        self.draining = False

    def endpoints(self, service: str, model: str | None = None) -> list[Endpoint]:
        return [
            state
            for state in self.states.values()
            if state.service == service and (state.id, state.incarnation) not in self.dead
        ]

    def mark_dead(self, endpoint_id: str, incarnation: str) -> None:
        self.dead.add((endpoint_id, incarnation))

    def add_dispatch(self, endpoint_id: str, tokens: int) -> None:
        self.load[endpoint_id] = self.load.get(endpoint_id, 0) + tokens

    def remove_dispatch(self, endpoint_id: str, tokens: int) -> None:
        self.load[endpoint_id] -= tokens


class FakePlacement:
    """Chooses the first candidate."""

    def __init__(self) -> None:
        self.learned: list[Any] = []

    def choose(self, request: Any, candidates: list[Any]) -> Any:
        first = candidates[0]
        return SimpleNamespace(
            endpoint=first.endpoint,
            incarnation=first.incarnation,
            expected_cached_tokens=0,
            estimate_s=0.0,
            import_kv=False,
            reasons=("first",),
            ranked=(),
            dispatch=0,
        )

    def learn(self, observation: Any) -> None:
        self.learned.append(observation)

    def drop(self, endpoint: str, incarnation: str) -> None:
        return


class FakePlatform:
    """``keys``, ``limits``, ``fairness``, ``versions`` and ``directory`` in one."""

    def __init__(self) -> None:
        self.settled: list[int] = []
        self.observed: list[bool] = []

    def authenticate(self, header: str) -> str:
        if not header.startswith("Bearer key-of-"):
            raise KeyInvalidError("the key is unknown; ask the operator for one")
        return header.removeprefix("Bearer key-of-")

    def reserve(self, account: str, tokens: int, trace: Any) -> int:
        return tokens

    def settle(self, reservation: int, used_tokens: int) -> None:
        self.settled.append(used_tokens)

    @contextmanager
    def admit(self, account: str, class_name: str, *rest: Any, **pool: str) -> Iterator[Any]:
        yield SimpleNamespace(priority=1, started=lambda: None)

    def pick(self, model: str, request_id: str) -> str:
        return "v1"

    def observe(self, model: str, version: str, *rest: Any) -> None:
        self.observed.append(rest[2])

    def entry(self, account: str) -> tuple[tuple[str, ...], float]:
        return ("127.0.0.1:1", "127.0.0.1:2"), 20


class FakeLog:
    """A log service that holds declarations and no bookings."""

    def __init__(self) -> None:
        self.ready = True
        self.state = SimpleNamespace(declarations=DECLARATIONS, claim=lambda key: None, version=1)

    def subscribe(self, callback: Any) -> None:
        return

    def subscribe_snapshot(self, callback: Any) -> None:
        return


def node_kernel(membership: FakeMembership, options: Options, log: Any = None) -> Kernel:
    """Returns a kernel with the real request path over fakes of the other services."""
    kernel = Kernel()
    platform = FakePlatform()
    for name in ("keys", "limits", "fairness", "versions", "directory"):
        kernel.register(name, platform)
    kernel.register("options", options)
    kernel.register("metrics", Metrics())
    kernel.register("log", log or FakeLog())
    kernel.register("membership", membership)
    kernel.register("placement", FakePlacement())
    kernel.register("explain", ExplainService.from_config(kernel, options))
    kernel.register("pool", PoolService.from_config(kernel, options))
    kernel.register("streams", StreamsService.from_config(kernel, options))
    kernel.register("bookings", BookingService.from_config(kernel, options))
    kernel.register("caller_http", CallerHttp.from_config(kernel, options))
    return kernel
