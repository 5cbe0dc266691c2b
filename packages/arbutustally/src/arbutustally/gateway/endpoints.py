"""What a node believes of the endpoints, from the platform's list, its own calls and its peers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from arbutustally.clock import Clock

#: Time for which an endpoint gets no requests after several failures, seconds; doubled with each
#: further time.
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
#: Failures after which an endpoint that still answers is avoided.
FAILURES_TO_SUSPECT = 3
#: Time constant of the average of failures, seconds.
FAILURE_MEMORY_S = 3.0
#: Weight of one answer in the average latency.
LATENCY_GAIN = 0.2


@dataclass(frozen=True)
class EndpointEntry:
    """An endpoint as the platform's list has it.

    :ivar slots: requests that it runs at once.
    :ivar is_leaving: it finishes what runs and takes no new work.
    :ivar weights: version of each model's weights.
    :ivar incarnation: differs between two starts of an endpoint, also under the same id.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    weights: Mapping[str, int]
    incarnation: str


@dataclass
class EndpointState:
    """Belief about one endpoint.

    :ivar running: requests of this node at the endpoint.
    :ivar prompt_tokens: tokens of this node's requests that have no first event yet.
    :ivar memory_tokens: tokens that this node's running requests keep in memory.
    :ivar unrepeatable: of ``running``, those that would be lost if the endpoint broke them off.
    :ivar peer_load: the same four figures by peer.
    :ivar gone_at: when the entry was removed, ``None`` while it is listed.
    :ivar kept_until: until then it counts as present although its entry was removed.
    :ivar is_down: no connection could be made.
    :ivar is_replaced: another endpoint was found at its address.
    """

    entry: EndpointEntry
    running: int = 0
    prompt_tokens: float = 0.0
    memory_tokens: float = 0.0
    unrepeatable: int = 0
    peer_load: dict[str, tuple[int, float, float, int]] = field(default_factory=dict)
    weights: dict[str, int] = field(default_factory=dict)
    loading: bool = False
    loading_until: float = 0.0
    gone_at: float | None = None
    kept_until: float = 0.0
    is_replaced: bool = False
    is_down: bool = False
    suspect_until: float = 0.0
    suspicions: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    latency_s: float = 0.0

    @property
    def id(self) -> str:
        """Returns the id of the endpoint."""
        return self.entry.id

    @property
    def address(self) -> str:
        """Returns ``host:port``."""
        return self.entry.address

    @property
    def newer_weights(self) -> dict[str, int]:
        """Returns the weights that it is known to run and that the list does not have yet."""
        listed = self.entry.weights
        return {
            model: version
            for model, version in self.weights.items()
            if version > listed.get(model, 0)
        }

    @property
    def total_running(self) -> int:
        """Returns the requests of all nodes."""
        return self.running + sum(load[0] for load in self.peer_load.values())

    @property
    def total_unrepeatable(self) -> int:
        """Returns the requests of all nodes that can't go on elsewhere."""
        return self.unrepeatable + sum(load[3] for load in self.peer_load.values())

    @property
    def total_prompt_tokens(self) -> float:
        """Returns the tokens of all nodes' requests without a first event."""
        return self.prompt_tokens + sum(load[1] for load in self.peer_load.values())

    @property
    def total_memory_tokens(self) -> float:
        """Returns the tokens in memory of all nodes' requests."""
        return self.memory_tokens + sum(load[2] for load in self.peer_load.values())


class EndpointBook:
    """All endpoints that a node knows.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, EndpointState] = {}
        self._keep_removed_until = 0.0

    @classmethod
    def from_config(cls, clock: Clock) -> "EndpointBook":
        """Builds an empty book."""
        return cls(clock)

    def __len__(self) -> int:
        return len(self._states)

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns the state of an endpoint, ``None`` if it is unknown."""
        return self._states.get(endpoint_id)

    def all(self) -> list[EndpointState]:
        """Returns every known endpoint."""
        return list(self._states.values())

    def of_service(self, service: str) -> list[EndpointState]:
        """Returns the endpoints of a service, leaving ones included."""
        return [state for state in self._states.values() if state.entry.service == service]

    def usable(self, service: str) -> list[EndpointState]:
        """Returns the endpoints that may get a new request now.

        Suspected endpoints are left out as long as another one remains.
        """
        now = self._clock()
        able = [
            state
            for state in self.of_service(service)
            if not (state.entry.is_leaving or state.is_replaced or self._is_gone(state, now))
        ]
        trusted = [state for state in able if not state.is_down and state.suspect_until <= now]
        return trusted or able

    def keep_removed(self, until: float) -> None:
        """Treats entries that are removed from now on as present until an instant.

        Entries lapse while the platform's store is away, and come back soon after its return.
        What was removed before the store went away stays removed.
        """
        now = self._clock()
        self._keep_removed_until = until
        for state in self._states.values():
            if state.gone_at is not None and state.kept_until > now:
                state.kept_until = until

    def keep(self, endpoint_id: str, until: float) -> None:
        """Treats a removed entry as present until an instant."""
        state = self._states.get(endpoint_id)
        if state is not None and state.gone_at is not None:
            state.kept_until = max(state.kept_until, until)

    @property
    def keeps_removed_s(self) -> float:
        """Returns the time for which entries removed now count as present, seconds."""
        return max(0.0, self._keep_removed_until - self._clock())

    def put(self, entry: EndpointEntry) -> bool:
        """Takes an entry; returns whether it says anything new."""
        state = self._states.get(entry.id)
        if state is None or state.entry.incarnation != entry.incarnation:
            self._states[entry.id] = EndpointState(entry, weights=dict(entry.weights))
            return True
        is_new = state.entry != entry or state.gone_at is not None
        state.entry = entry
        state.gone_at = None
        for model, version in entry.weights.items():
            state.weights[model] = max(state.weights.get(model, 0), version)
        return is_new

    def remove(self, endpoint_id: str) -> bool:
        """Notes that an entry was removed; returns whether it was present."""
        state = self._states.get(endpoint_id)
        if state is None or state.gone_at is not None:
            return False
        state.gone_at = self._clock()
        state.kept_until = self._keep_removed_until
        return True

    def replace_all(self, entries: Iterable[EndpointEntry]) -> None:
        """Takes a whole list; endpoints that it lacks are removed."""
        listed = set()
        for entry in entries:
            listed.add(entry.id)
            self.put(entry)
        for endpoint_id in list(self._states):
            if endpoint_id not in listed:
                self.remove(endpoint_id)

    def replaced(self, state: EndpointState) -> None:
        """Notes that another endpoint has the address: this one is gone for good."""
        state.is_replaced = True

    def forget_gone(self, after_s: float) -> list[EndpointState]:
        """Drops endpoints that were removed longer ago than ``after_s`` and returns them."""
        now = self._clock()
        gone = [
            state
            for state in self._states.values()
            if state.gone_at is not None and now - state.gone_at > after_s and not state.running
        ]
        for state in gone:
            del self._states[state.id]
        return gone

    def unreachable(self, state: EndpointState) -> None:
        """Notes that no connection to an endpoint could be made."""
        state.is_down = True

    def reachable(self, state: EndpointState) -> None:
        """Notes that a connection to an endpoint could be made."""
        state.is_down = False

    def failed(self, state: EndpointState) -> bool:
        """Notes a failed answer; returns whether the endpoint is now avoided."""
        now = self._clock()
        decay = max(0.0, 1.0 - (now - state.failed_at) / FAILURE_MEMORY_S)
        state.failures = state.failures * decay + 1.0
        state.failed_at = now
        if state.failures < FAILURES_TO_SUSPECT:
            return False
        state.suspect_until = now + min(SUSPECT_S * 2**state.suspicions, MAX_SUSPECT_S)
        state.suspicions += 1
        return True

    def answered(self, state: EndpointState, latency_s: float) -> None:
        """Notes a good answer."""
        state.suspicions = 0
        state.suspect_until = 0.0
        state.is_down = False
        gain = LATENCY_GAIN if state.latency_s else 1.0
        state.latency_s += (latency_s - state.latency_s) * gain

    def set_peer_load(self, peer: str, loads: Mapping[str, tuple[int, float, float, int]]) -> None:
        """Replaces what a peer has at the endpoints."""
        for state in self._states.values():
            load = loads.get(state.id)
            if load is None:
                state.peer_load.pop(peer, None)
            else:
                state.peer_load[peer] = load

    def _is_gone(self, state: EndpointState, now: float) -> bool:
        return state.gone_at is not None and now >= state.kept_until
