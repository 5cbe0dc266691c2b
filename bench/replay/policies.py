"""Placement policies side by side: each node has one instance."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from arbutustally.clock import Clock
from arbutustally.placement import Placement
from arbutustally.placement_types import Candidate, Observation, PlacementOptions, PlacementRequest
from arbutustally.rendezvous import order
from bench.replay.calls import Call

MODEL = "model"
VERSION = "1"


@dataclass(frozen=True)
class Aim:
    """Class target of the replay; exactly one of the two is set."""

    first_token_ms: float | None = None
    recompute_percent: float | None = None


@dataclass(frozen=True)
class View:
    """What a node knows of an engine.

    :ivar queued: tokens in its last report.
    :ivar age_s: age of the report.
    """

    name: str
    incarnation: str
    queued: float
    age_s: float


@dataclass(frozen=True)
class Decision:
    """Engine chosen, and whether to import from the KV store."""

    engine: str
    import_kv: bool = False
    dispatch: int = 0


class Policy(Protocol):
    """Chooses engines for the calls of one node."""

    def choose(self, call: Call, views: list[View]) -> Decision:
        """Returns the engine for a call."""

    def answered(self, call: Call, decision: Decision, view: View, cached: int, s: float) -> None:
        """Takes the cached count and time to first token of an answer."""

    def dropped(self, engine: str, incarnation: str) -> None:
        """Learns that an engine crashed."""


class _Blind:
    """A policy that learns nothing."""

    def answered(self, call: Call, decision: Decision, view: View, cached: int, s: float) -> None:
        """Ignores the answer."""

    def dropped(self, engine: str, incarnation: str) -> None:
        """Ignores the crash."""


class RandomPolicy(_Blind):
    """Any engine."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, call: Call, views: list[View]) -> Decision:
        """Returns a random engine."""
        return Decision(self._rng.choice(views).name)


class RoundRobin(_Blind):
    """Each engine in turn."""

    def __init__(self, rng: Random) -> None:
        self._next = rng.randrange(1000)

    def choose(self, call: Call, views: list[View]) -> Decision:
        """Returns the next engine."""
        self._next += 1
        return Decision(views[self._next % len(views)].name)


class LeastLoad:
    """The engine with the fewest queued tokens, own calls without a first token included."""

    def __init__(self, rng: Random, clock: Clock) -> None:
        self._rng = rng
        self._clock = clock
        self._open: dict[str, dict[int, tuple[float, int]]] = {}

    def choose(self, call: Call, views: list[View]) -> Decision:
        """Returns the least loaded engine, a random one of equals."""
        loads = {view.name: view.queued + self._own(view) for view in views}
        least = min(loads.values())
        name = self._rng.choice([name for name, load in loads.items() if load == least])
        self._open.setdefault(name, {})[call.number] = (self._clock(), call.prompt_tokens)
        return Decision(name)

    def _own(self, view: View) -> float:
        since = self._clock() - view.age_s
        return sum(tokens for at, tokens in self._open.get(view.name, {}).values() if at > since)

    def answered(self, call: Call, decision: Decision, view: View, cached: int, s: float) -> None:
        """Takes the call off the engine's load."""
        self._open.get(decision.engine, {}).pop(call.number, None)

    def dropped(self, engine: str, incarnation: str) -> None:
        """Forgets the calls of a crashed engine."""
        self._open.pop(engine, None)


class PrefixHash(_Blind):
    """Rendezvous hash of everything before the last user message."""

    def choose(self, call: Call, views: list[View]) -> Decision:
        """Returns the home of the whole prefix."""
        levels = call.shape.levels
        level = levels[-2] if len(levels) > 1 else levels[-1]
        key = call.account.encode() + level.hash
        return Decision(order(key, [view.name for view in views])[0])


class Ours:
    """The placement of the product."""

    def __init__(self, placement: Placement, target: Aim, imports: bool) -> None:
        self._placement = placement
        self._target = target
        self._imports = imports

    def choose(self, call: Call, views: list[View]) -> Decision:
        """Returns the choice of ``Placement``."""
        request = PlacementRequest(
            call.account, MODEL, VERSION, call.shape, call.output_tokens, self._target
        )
        candidates = [
            Candidate(
                view.name,
                view.incarnation,
                "zone",
                view.queued,
                0,
                VERSION,
                True,
                self._imports,
                view.age_s,
            )
            for view in views
        ]
        choice = self._placement.choose(request, candidates)
        return Decision(choice.endpoint, choice.import_kv, choice.dispatch)

    def answered(self, call: Call, decision: Decision, view: View, cached: int, s: float) -> None:
        """Passes the answer on as an observation."""
        self._placement.learn(
            Observation(
                call.account,
                MODEL,
                VERSION,
                call.shape,
                decision.engine,
                view.incarnation,
                cached,
                call.prompt_tokens,
                s,
                decision.dispatch,
                decision.import_kv,
            )
        )

    def dropped(self, engine: str, incarnation: str) -> None:
        """Passes the crash on."""
        self._placement.drop(engine, incarnation)


Maker = Callable[[Random, Clock], Policy]


def ours(target: Aim, imports: bool = True, **parts: bool) -> Maker:
    """Returns a maker of the product's placement with parts switched off."""
    options = PlacementOptions(imports=imports, **parts)
    return lambda rng, clock: Ours(
        Placement.from_config(clock, rng, options), target, imports=imports
    )


def baselines() -> dict[str, Maker]:
    """Returns the policies to compare with."""
    return {
        "random": lambda rng, clock: RandomPolicy(rng),
        "round robin": lambda rng, clock: RoundRobin(rng),
        "least load": LeastLoad,
        "hash of whole prefix": lambda rng, clock: PrefixHash(),
    }
