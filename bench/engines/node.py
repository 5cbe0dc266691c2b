"""A node: the product's decision modules on the virtual clock, and what it tells its peers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

from arbutustally.clock import Clock
from arbutustally.gateway.attempts import RepeatBudget, RepeatLedger
from arbutustally.gateway.choice import PLACEMENT_OPTIONS
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.engine_speeds import EngineSpeeds, Work
from arbutustally.gateway.fleet_sums import Load
from arbutustally.gateway.holdings import (
    STORE_ASSUMED_S,
    USUAL_TERMS,
    Holdings,
    PlaceTerms,
)
from arbutustally.gateway.quota import QuotaLedger, QuotaTolerance
from arbutustally.gateway.requests import PromptPart
from arbutustally.placement import Placement
from bench.engines.experiment import Experiment
from bench.engines.policies import Policy

#: The only model of the site.
MODEL = "model"
ENGINES = "engines"
WORKERS = "workers"
#: What others than this node have told, as one source.
PEERS = "peers"


@dataclass(frozen=True)
class Told:
    """Parts that a place has read, or was asked to read."""

    place: str
    scope: str
    parts: tuple[PromptPart, ...]
    is_pending: bool


class Node:
    """One node.

    :param entries: the endpoints as listed at the start.
    :ivar weights_known_at: when each version of the weights became known.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        experiment: Experiment,
        policy: Policy,
        clock: Clock,
        rng: Random,
        entries: Iterable[EndpointEntry],
    ) -> None:
        self.number = number
        self.zone = zone
        self.policy = policy
        self.rng = rng
        self.nodes = experiment.nodes.count
        self.book = EndpointBook.from_config(clock)
        self.speeds = EngineSpeeds.from_config(clock)
        self.placement = Placement.from_config(clock, rng, PLACEMENT_OPTIONS, self.speeds)
        self.placement.set_import_speed(experiment.engines.transfer_tokens_per_s)
        self.holdings = Holdings.from_config(clock, self._terms)
        bounds = experiment.bounds
        budget = RepeatBudget(bounds.repeat_window_s, bounds.repeat_share, bounds.repeat_slack)
        self.repeats = RepeatLedger.from_config(clock, budget)
        self.repeats.set_node_count(self.nodes)
        tolerance = QuotaTolerance(bounds.quota_share, bounds.quota_tokens)
        self.quota = QuotaLedger.from_config(clock, tolerance)
        self.quota.set_limits(
            {entry.name: (entry.tokens_per_s, entry.burst_tokens) for entry in experiment.accounts}
        )
        self.weights_known_at: dict[int, float] = {1: float("-inf")}
        self._clock = clock
        self._memory_tokens = experiment.engines.kv_tokens
        self._told: list[Told] = []
        for entry in entries:
            self.book.put(entry)

    @property
    def now(self) -> float:
        """Returns the virtual time, seconds."""
        return self._clock()

    @property
    def newest_weights(self) -> int:
        """Returns the newest version that was named."""
        return max(self.weights_known_at)

    def oldest_weights(self, bound_s: float) -> int:
        """Returns the oldest version on which requests may begin.

        :param bound_s: time after a naming for which older weights are allowed.
        """
        now = self._clock()
        return max(
            (version for version, at in self.weights_known_at.items() if now - at >= bound_s),
            default=0,
        )

    def take_repeat(self, service: str) -> bool:
        """Returns whether another attempt is allowed, and counts it."""
        return self.repeats.take(service) or not self.policy.has_repeat_budget

    def note_parts(self, told: Told) -> None:
        """Notes parts of a place, here and for the peers."""
        if self.policy.has_cached_parts:
            self._told.append(told)
            self.hear_parts(told)

    def hear_parts(self, told: Told) -> None:
        """Takes what a peer or this node noted."""
        take = self.holdings.expect if told.is_pending else self.holdings.assume
        take(told.place, told.scope, told.parts)

    def take_told(self) -> list[Told]:
        """Returns what was noted since the last call."""
        told, self._told = self._told, []
        return told

    def loads(self) -> dict[str, Load]:
        """Returns what this node has at the endpoints."""
        return {
            state.id: (
                state.running,
                state.prompt_tokens,
                state.memory_tokens,
                state.unrepeatable,
            )
            for state in self.book.all()
            if state.running
        }

    def hear_use(
        self, loads: Mapping[str, Load], admitted: Mapping[str, float], works: Mapping[str, Work]
    ) -> None:
        """Takes what all peers together use."""
        self.book.set_peer_load(PEERS, loads)
        self.quota.record_admitted(PEERS, admitted)
        self.speeds.set_peers(PEERS, works)

    def hear_entry(self, entry: EndpointEntry) -> None:
        """Takes an entry of the list; a new start of an endpoint holds nothing."""
        before = self.book.get(entry.id)
        if before is not None and before.entry.incarnation != entry.incarnation:
            self.holdings.forget(entry.id)
            self.placement.drop(entry.id, before.entry.incarnation)
        self.book.put(entry)

    def learn_weights(self, state: EndpointState, version: int) -> None:
        """Notes that an engine has a version."""
        if version > state.weights.get(MODEL, 0):
            state.weights[MODEL] = version
            self.holdings.forget(state.id)

    def _terms(self, place: str) -> PlaceTerms:
        if self.book.get(place) is None:
            return PlaceTerms(assumed_s=STORE_ASSUMED_S)
        return PlaceTerms(self._memory_tokens) if self._memory_tokens else USUAL_TERMS
