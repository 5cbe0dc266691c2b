"""Arrivals of callers, drawn once for a load and a seed, so that all policies meet the same."""

import math
from dataclasses import dataclass
from random import Random

from arbutustally.gateway.requests import PromptPart
from bench.engines.experiment import MS, AccountSizes, Experiment, RequestSizes, SharedPart


@dataclass(frozen=True)
class Arrival:
    """One caller's request.

    :ivar nodes: nodes that its attempts go to.
    :ivar work_s: time at a worker of the plain service.
    """

    number: int
    at: float
    sizes: RequestSizes
    account: AccountSizes
    nodes: tuple[int, ...]
    parts: tuple[PromptPart, ...]
    output_tokens: int
    work_s: float

    @property
    def prompt_tokens(self) -> int:
        """Returns the tokens of the prompt."""
        return sum(part.tokens for part in self.parts)


def lognormal(rng: Random, mean: float, spread: float, most: float = math.inf) -> float:
    """Returns a positive number of a given mean whose logarithm has a given deviation."""
    return min(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread), most)


class PartLevel:
    """The parts of one level of one kind of request; their sizes are drawn once."""

    def __init__(self, name: str, sizes: SharedPart, rng: Random) -> None:
        self._parts = [
            PromptPart(
                f"{name}.{number}", max(1, round(lognormal(rng, sizes.tokens, sizes.spread)))
            )
            for number in range(sizes.count)
        ]
        self._weights = [1 / (rank + 1) ** sizes.skew for rank in range(sizes.count)]

    def draw(self, rng: Random) -> PromptPart:
        """Returns a part by its popularity."""
        return rng.choices(self._parts, self._weights)[0]


def burst_factor(experiment: Experiment, at: float) -> float:
    """Returns the rate at an instant over the steady rate."""
    bursts = experiment.bursts
    return bursts.factor if at % bursts.every_s < bursts.for_s else 1.0


def draw_arrivals(experiment: Experiment, load: float, seed: int) -> list[Arrival]:
    """Returns the arrivals of a run in order of time.

    :param load: multiple of the rates of all kinds.
    """
    rng = Random(f"{seed}/{load}")
    levels = {
        sizes.name: [
            PartLevel(f"{sizes.name}.{depth}", part, rng) for depth, part in enumerate(sizes.parts)
        ]
        for sizes in experiment.requests
    }
    rates = [sizes.per_s for sizes in experiment.requests]
    shares = [account.share for account in experiment.accounts]
    most = max(1.0, experiment.bursts.factor)
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        at += rng.expovariate(sum(rates) * load * most)
        if at >= experiment.run.duration_s:
            return arrivals
        if rng.random() * most >= burst_factor(experiment, at):
            continue
        sizes = rng.choices(experiment.requests, rates)[0]
        number = len(arrivals)
        arrivals.append(
            Arrival(
                number,
                at,
                sizes,
                rng.choices(experiment.accounts, shares)[0],
                tuple(rng.randrange(experiment.nodes.count) for _ in range(sizes.retries + 1)),
                _draw_parts(sizes, levels[sizes.name], number, rng),
                _draw_output(sizes, rng),
                lognormal(rng, sizes.work_ms * MS, sizes.work_spread) if sizes.work_ms else 0.0,
            )
        )


def _draw_parts(
    sizes: RequestSizes, levels: list[PartLevel], number: int, rng: Random
) -> tuple[PromptPart, ...]:
    if sizes.service != "engines":
        return ()
    own = lognormal(rng, sizes.own_tokens, sizes.own_spread, sizes.own_max_tokens)
    shared = [level.draw(rng) for level in levels]
    return (*shared, PromptPart(f"own.{number}", max(1, round(own))))


def _draw_output(sizes: RequestSizes, rng: Random) -> int:
    drawn = lognormal(rng, sizes.output_tokens, sizes.output_spread, sizes.output_max_tokens)
    return max(1, round(drawn))
