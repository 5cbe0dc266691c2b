"""Choice of an endpoint for one request.

Load pattern: many long prompts begin with the same parts, engines differ in cached parts and queue
length, and many nodes choose concurrently. Engines are ranked by the expected time to the first
event of the response (``arbutustally.placement``); the queue of each engine includes the requests
of all nodes. A node does not know the choices that other nodes made within the last few hundred ms.
All nodes therefore derive the same few home engines for a shared part by rendezvous hashing, as
many as the demand of the fleet needs. A hash of the part that follows the shared one orders these
homes, which spreads the prompts over them. Engine memory is limited and each further copy evicts
other parts, so a copy is made on another engine only if the homes are much busier. An engine whose
free memory is too small for the prompt, or that has no free slot, is ranked as if its queue were
longer. In a fleet that relays its load reports, requests arrive faster than the reports, and the
engine with the shortest queue would get all requests of a report interval. Each request is then
compared at its homes and at a few random engines only.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from arbutustally.gateway.configuration import Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.holdings import BLOCK_TOKENS, Holdings
from arbutustally.gateway.requests import CallerRequest, PromptPart, shape_of
from arbutustally.placement import Placement
from arbutustally.placement_types import Candidate, Choice, PlacementOptions, PlacementRequest
from arbutustally.rendezvous import score

#: Queue tokens added per token that does not fit into an engine's memory: the prompt of a preempted
#: request is computed again, and a request that waits for memory waits until another stream ends.
OVERFLOW_WEIGHT = 4.0
#: Number of engines, first in rendezvous order, that may cache a shared part without the cost of an
#: additional copy, regardless of demand: the second serves requests while the first is busy; more
#: copies would evict other parts.
ENGINE_HOMES = 2
#: Demand per home engine, as a share of an engine's prefill speed, above which a part gets another
#: home engine. A node sees few of the fleet's requests, so with a smaller share random variation of
#: its own requests would add homes.
WIDEN_AT = 0.6
#: Cost of evicting other parts for an additional copy, as a share of the work of making the copy.
COPY_SHARE = 0.5
#: Random engines that a request is compared at in a fleet that relays its load reports, besides the
#: homes of its prompt. More candidates make nodes choose alike, and queues grow with them.
RANDOM_CANDIDATES = 1
PLACEMENT_OPTIONS = PlacementOptions(homes=ENGINE_HOMES, copy_share=COPY_SHARE, widen_at=WIDEN_AT)
#: Largest difference, seconds, between the expiry times of a part at two places (engines or part
#: stores) that are taken to be equally likely to still hold it.
EXPIRY_TOLERANCE_S = 0.5
#: Latency assumed for a plain endpoint until any endpoint of its service has answered, seconds.
DEFAULT_LATENCY_S = 0.05
#: Largest share of requests sent to engines with new weights, as a multiple of their share of all
#: engines.
NEW_WEIGHTS_LOAD_FACTOR = 2.0
#: Factor on the expected time until a request begins at an engine, where weights are allowed for a
#: limited time: the load that peers report is some 100 ms old, and an engine that has become slower
#: shows it only with its next answers.
BEGIN_TOLERANCE = 1.5
#: Power of a plain endpoint's expected time by which it is drawn less often than the fastest one.
TIME_POWER = 4
#: Plain endpoints whose expected times differ by at most this share count as equal.
NEAR_TIE = 0.1


class FirstEventTarget:
    """Target of a placement request that limits the time to the first event only.

    :param target_s: targeted time to the first event, seconds.
    """

    recompute_percent = None

    def __init__(self, target_s: float) -> None:
        self.first_token_ms = target_s * 1000


def usual_latency_s(states: Sequence[EndpointState]) -> float:
    """Returns the mean latency of the endpoints that have answered, or the default."""
    known = [state.latency_s for state in states if state.latency_s]
    return sum(known) / len(known) if known else DEFAULT_LATENCY_S


def plain_times_s(eligible: Sequence[EndpointState], now: float) -> dict[str, float]:
    """Returns the expected time of a request at each plain endpoint by its id, seconds.

    An endpoint that has not answered yet is assumed to have the mean latency of the others.
    """
    usual_s = usual_latency_s(eligible)

    def expected_s(state: EndpointState) -> float:
        latency = state.latency_s or usual_s
        waiting = max(0, state.total_running + 1 - state.entry.slots)
        busy = state.total_running / max(state.entry.slots, 1)
        return latency * (
            1 + busy + waiting / max(state.entry.slots, 1) + state.recent_failures(now)
        )

    return {state.id: expected_s(state) for state in eligible}


def choose_plain(
    eligible: Sequence[EndpointState], zone: str, rng: Random, now: float
) -> EndpointState:
    """Returns an endpoint drawn by its expected time; ``zone`` is preferred among equals.

    A slower one is drawn less often, but not never: only its own answers correct its average.
    """
    times = plain_times_s(eligible, now)
    best_s = min(times.values())
    weights = [(best_s / times[state.id]) ** TIME_POWER for state in eligible]
    drawn_s = times[rng.choices(eligible, weights)[0].id]
    shortest_s, longest_s = drawn_s / (1 + NEAR_TIE), drawn_s * (1 + NEAR_TIE)
    tied = [state for state in eligible if shortest_s <= times[state.id] <= longest_s]
    near = [state for state in tied if state.entry.zone == zone]
    return rng.choice(near or tied)


@dataclass(frozen=True)
class PartSource:
    """A place from which an engine can fetch cached parts.

    :ivar place: id of the engine, or name of the part store.
    :ivar tokens: tokens of the prompt that the place holds.
    """

    place: str
    address: str
    zone: str
    tokens: int


def sources_of(
    holdings: Holdings,
    scope: str,
    parts: Sequence[PromptPart],
    states: Sequence[EndpointState],
    stores: Sequence[Service],
) -> list[PartSource]:
    """Returns the places that hold leading parts of a prompt."""
    sources = [
        PartSource(state.id, state.address, state.entry.zone, tokens)
        for state in states
        if (tokens := holdings.prefix_tokens(state.id, scope, parts))
    ]
    sources += [
        PartSource(store.name, store.part_store.address, store.part_store.zone, tokens)
        for store in stores
        if (tokens := holdings.prefix_tokens(store.name, scope, parts))
    ]
    return sources


def fetch_source(
    holdings: Holdings,
    scope: str,
    parts: Sequence[PromptPart],
    engine: EndpointState,
    sources: Sequence[PartSource],
    rng: Random,
) -> PartSource | None:
    """Returns the place from which an engine fetches the parts that it may lack.

    Load patterns: engine memory is limited and engines drop parts within seconds; in a large fleet,
    nodes do not receive the engines' cache events. A source is therefore returned even if the
    engine is assumed to hold the parts, unless the engine itself has reported that it holds them;
    the engine fetches only what it lacks. Among the places that hold equally many tokens (within
    one block), those whose entry for the last shared part expires latest are the least likely to
    have dropped it: part stores, then engines that used it recently. A frequently requested part
    is held by many engines, each of which transfers one part at a time, so one of these places is
    chosen at random, from the engine's zone if there is one.
    """
    others = [source for source in sources if source.place != engine.id]
    most = max((source.tokens for source in others), default=0)
    if most <= holdings.prefix_tokens(engine.id, scope, parts, with_assumed=False):
        return None
    equal = [source for source in others if source.tokens + BLOCK_TOKENS >= most]
    last_shared = parts[max(0, len(parts) - 2)]
    until = {
        source.place: holdings.held_until(source.place, scope, last_shared) for source in equal
    }
    longest = max(until.values())
    fresh = [source for source in equal if until[source.place] >= longest - EXPIRY_TOLERANCE_S]
    near = [source for source in fresh if source.zone == engine.entry.zone]
    return rng.choice(near or fresh)


def store_of(stores: Sequence[Service], scope: str, parts: Sequence[PromptPart]) -> Service | None:
    """Returns the part store that should keep the shared parts of a prompt.

    Load pattern: the network bandwidth of one store does not suffice for the whole fleet. Every
    node derives the same store from the last shared part by rendezvous hashing, so that parts and
    traffic are divided among the stores.
    """
    if not stores or len(parts) < 2:
        return None
    key = f"{scope}/{parts[-2].id}".encode()
    return max(stores, key=lambda store: score(key, store.name))


def must_save(holdings: Holdings, scope: str, parts: Sequence[PromptPart], store: Service) -> bool:
    """Returns whether a part store lacks any of the parts that other requests may share.

    The last part belongs to one request or session; saving it would evict shared parts.
    """
    shared = parts[:-1]
    wanted = sum(part.tokens for part in shared)
    return holdings.prefix_tokens(store.name, scope, shared) + BLOCK_TOKENS * len(shared) < wanted


def choose_engine(
    placement: Placement,
    holdings: Holdings,
    request: CallerRequest,
    service: Service,
    eligible: Sequence[EndpointState],
    version: int,
    isolated_account: str,
    scope: str,
    importable_tokens: int,
    target_s: float,
    zone: str,
    nodes: int,
    has_relayed_loads: bool = False,
) -> Choice:
    """Returns the engine with the shortest expected time to the first event.

    :param eligible: usable engines that run ``version``.
    :param isolated_account: name of the account if its cached parts are isolated from other
        accounts, otherwise empty.
    :param scope: scope of the cached parts that the request may use.
    :param importable_tokens: most tokens of the prompt that one engine or part store holds, which
        the chosen engine can fetch from there.
    :param zone: engines of this zone are preferred among equals.
    :param nodes: nodes that choose concurrently, this one included.
    :param has_relayed_loads: whether the load that other nodes report passes through relays.
    """
    shape = shape_of(request)
    asked = PlacementRequest(
        account=isolated_account,
        model=request.model,
        version=str(version),
        shape=shape,
        output_tokens=request.output_tokens,
        target=FirstEventTarget(target_s),
        zone=zone,
        nodes=nodes,
        # Level of the last shared part; the part after it belongs to the request or its session.
        home_level=max(0, len(request.parts) - 2),
        random_candidates=RANDOM_CANDIDATES if has_relayed_loads else 0,
    )
    memory = service.engine.cache_tokens if service.engine else 0
    needed = shape.total_tokens + request.output_tokens
    usual_s = usual_latency_s(eligible)
    candidates = [
        Candidate(
            endpoint=state.id,
            incarnation=state.entry.incarnation,
            zone=state.entry.zone,
            queued_tokens=state.total_prompt_tokens + _overflow(state, needed, memory),
            running=state.total_running,
            version=str(version),
            import_available=importable_tokens > 0,
            cached_tokens=holdings.prefix_tokens(state.id, scope, request.parts, with_pending=True),
            importable_tokens=importable_tokens,
            room_s=_room_s(state, usual_s),
        )
        for state in eligible
    ]
    return placement.choose(asked, candidates)


def _room_s(state: EndpointState, usual_s: float) -> float:
    """Returns the expected time until the engine has a slot for the request, seconds.

    Each slot is assumed to become free once per ``usual_s``.
    """
    waiting = state.total_running + 1 - state.entry.slots
    return max(0, waiting) * usual_s / max(state.entry.slots, 1)


def _overflow(state: EndpointState, needed: float, memory: int) -> float:
    return max(0.0, state.total_memory_tokens + needed - memory) * OVERFLOW_WEIGHT


def weights_to_use(
    states: Sequence[EndpointState],
    model: str,
    named: int,
    oldest_allowed: int,
    rng: Random,
    wait_s: Callable[[EndpointState], float] = lambda _state: 0.0,
    max_wait_s: float = 0.0,
) -> tuple[int, list[EndpointState]]:
    """Returns the version of a model to use, and the engines that run it.

    Load pattern: right after the operator names new weights, few engines run them, and all nodes
    see these engines idle at the same moment. A late first event costs a request more than older
    weights do. The share of requests that goes to the engines with new weights is therefore limited
    to a multiple of their share of all engines, and the other engines serve the rest while older
    weights are allowed.

    :param named: newest version that the operator named.
    :param oldest_allowed: oldest version on which requests may still begin.
    :param wait_s: returns the expected wait at an engine, seconds.
    :param max_wait_s: longest expected wait, seconds, that is accepted to use the new weights;
        above it, the version with the shortest expected wait is used. If infinite, older weights
        are used only while no engine has the new ones.
    :returns: the newest known version and an empty list if no engine has an allowed version.
    """
    # An engine may run a version that this node has not yet received from the operator's records.
    named = max([named, *(state.weights.get(model, 0) for state in states)])
    groups: dict[int, list[EndpointState]] = {}
    for state in states:
        version = state.weights.get(model, 0)
        if not state.loading and version >= oldest_allowed:
            groups.setdefault(version, []).append(state)
    if not groups:
        return named, []
    waits = {version: min(map(wait_s, group)) for version, group in groups.items()}
    if named in groups and len(groups) > 1 and max_wait_s < math.inf:
        part = len(groups[named]) / sum(map(len, groups.values()))
        if rng.random() >= part * NEW_WEIGHTS_LOAD_FACTOR:
            del waits[named]
    if named in waits and waits[named] <= max_wait_s:
        return named, groups[named]
    best = min(waits, key=lambda version: (waits[version], -version))
    return best, groups[best]


def engines_in_time(
    states: Sequence[EndpointState],
    model: str,
    oldest_allowed_after: Callable[[float], int],
    begin_s: Callable[[EndpointState], float],
) -> list[EndpointState]:
    """Returns the engines whose weights are still allowed when a request would begin on them.

    :param oldest_allowed_after: returns the oldest version on which requests may begin after that
        many seconds.
    :param begin_s: returns the expected time until the request begins at an engine, seconds.
    """
    return [
        state
        for state in states
        if state.weights.get(model, 0) >= oldest_allowed_after(begin_s(state) * BEGIN_TOLERANCE)
    ]


def expected_wait_s(
    placement: Placement,
    state: EndpointState,
    needed: float,
    service: Service,
    usual_s: float = 0.0,
) -> float:
    """Returns the expected wait of a prompt at an engine, seconds.

    :param needed: tokens of memory that the request needs.
    :param usual_s: mean time for which a request occupies a slot.
    """
    memory = service.engine.cache_tokens if service.engine else 0
    queued = state.total_prompt_tokens + _overflow(state, needed, memory)
    return queued / placement.prefill_speed(state.id) + _room_s(state, usual_s)
