"""An experiment: sizes of a site, its callers, its scenarios and the policies to compare.

Names of fields end with their unit.
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from bench.engines.errors import ExperimentError
from bench.engines.policies import POLICIES
from bench.engines.tables import bounded, one_of, read_table

MS = 1e-3


@dataclass(frozen=True)
class RunSizes:
    """Length of a run.

    :ivar duration_s: time in which callers arrive.
    :ivar tail_s: time after it in which the last requests may end.
    """

    duration_s: float = bounded(0.1)
    tail_s: float = bounded(0.0)


@dataclass(frozen=True)
class NodeSizes:
    """Nodes and what they know of each other.

    :ivar zones: availability zones; nodes, engines and workers are spread over them in turn.
    :ivar knowledge_age_ms: age of what nodes know of their peers.
    :ivar follows_caches: nodes hear what engines and stores say of their caches.
    :ivar cache_events_lag_ms: age of such an event.
    :ivar cache_events_lost: share of events that never arrive.
    """

    count: int = bounded(1)
    zones: tuple[str, ...]
    knowledge_age_ms: float = bounded(1.0)
    follows_caches: bool
    cache_events_lag_ms: float = bounded(0.0, default=80.0)
    cache_events_lost: float = bounded(0.0, 1.0, default=0.0)


@dataclass(frozen=True)
class NetSizes:
    """Delays one way."""

    in_zone_ms: float = bounded(0.0)
    cross_zone_ms: float = bounded(0.0)
    client_ms: float = bounded(0.0)


@dataclass(frozen=True)
class EngineSizes:
    """Every engine of the site.

    :ivar queue: requests that wait beside those in slots; further ones are rejected.
    :ivar step_ms: least time of a step, in which each running request makes one token.
    :ivar step_ms_per_slot: in addition for each running request.
    :ivar context_ms_per_k: in addition for each 1,000 tokens of context.
    :ivar pairs_ms_per_m: time to read a token for each million tokens before it.
    :ivar first_ms: time of a request beside queue and reading.
    :ivar stride_tokens: tokens of an event.
    :ivar chunk_tokens: prompt tokens that one step reads.
    :ivar kv_tokens: memory of running requests and cached parts.
    :ivar transfers_queue: links on which a transfer waits for others: that of its ``source``, or
        ``both``, in which case it keeps the other link from further transfers while it waits.
    :ivar setup_ms: time to begin a transfer of cached parts.
    :ivar load_s: time to load new weights.
    :ivar loads_at_once: loads of the whole site beyond which each takes longer.
    :ivar retry_after_ms: pause that a full engine asks for; 0 for none.
    """

    count: int = bounded(1)
    slots: int = bounded(1)
    queue: int = bounded(0)
    step_ms: float = bounded(0.01)
    step_ms_per_slot: float = bounded(0.0)
    context_ms_per_k: float = bounded(0.0)
    prefill_tokens_per_ms: float = bounded(0.01)
    pairs_ms_per_m: float = bounded(0.0)
    first_ms: float = bounded(0.0)
    stride_tokens: int = bounded(1)
    chunk_tokens: int = bounded(1)
    block_tokens: int = bounded(1)
    kv_tokens: int = bounded(1)
    kv_token_bytes: float = bounded(0.0)
    link_mbps: float = bounded(0.001)
    transfers_queue: str = one_of("source", "both")
    setup_ms: float = bounded(0.0)
    load_s: float = bounded(0.0)
    loads_at_once: int = bounded(1)
    retry_after_ms: float = bounded(0.0, default=0.0)

    @property
    def transfer_tokens_per_s(self) -> float:
        """Returns the speed at which a link carries cached parts."""
        return self.link_mbps * 1e6 / 8 / max(self.kv_token_bytes, 1e-9)


@dataclass(frozen=True)
class StoreSizes:
    """Stores of cached parts."""

    count: int = bounded(0)
    kv_tokens: int = bounded(1)
    link_mbps: float = bounded(0.001)


@dataclass(frozen=True)
class WorkerSizes:
    """Workers of the plain service."""

    count: int = bounded(0)
    slots: int = bounded(1)
    queue: int = bounded(0)


@dataclass(frozen=True)
class AccountSizes:
    """A client account.

    :ivar share: part of the traffic, relative to the other accounts.
    :ivar priority: 0 is the most urgent.
    :ivar tokens_per_s: rate of the account, 0 for no limit.
    """

    name: str
    share: float = bounded(0.0)
    priority: int = bounded(0, 9)
    tokens_per_s: float = bounded(0.0, default=0.0)
    burst_tokens: float = bounded(0.0, default=0.0)


@dataclass(frozen=True)
class SharedPart:
    """A level of parts that prompts share.

    :ivar tokens: mean size.
    :ivar spread: standard deviation of the logarithm of the size.
    :ivar count: different parts.
    :ivar skew: exponent of their popularity by rank; 0 for equal popularity.
    """

    tokens: float = bounded(1.0)
    spread: float = bounded(0.0)
    count: int = bounded(1)
    skew: float = bounded(0.0, default=0.0)


@dataclass(frozen=True)
class RequestSizes:
    """A kind of request.

    :ivar aim_ms: time to the answer, or to the first event of a stream, that is on time.
    :ivar gap_aim_ms: longest pause between events that is on time.
    :ivar attempts: endpoints on which one attempt of the caller may run.
    :ivar retries: further attempts of the caller.
    :ivar own_tokens: mean size of the last part, which no other request shares.
    :ivar work_ms: mean time at a worker of the plain service.
    """

    name: str
    service: str = one_of("engines", "workers")
    kind: str = one_of("stream", "idempotent", "at_most_once")
    per_s: float = bounded(0.0)
    aim_ms: float = bounded(1.0)
    deadline_ms: float = bounded(1.0)
    priority: int = bounded(0, 9)
    attempts: int = bounded(1)
    retries: int = bounded(0)
    is_resumable: bool = False
    gap_aim_ms: float = bounded(0.0, default=0.0)
    parts: tuple[SharedPart, ...] = ()
    own_tokens: float = bounded(1.0, default=1.0)
    own_spread: float = bounded(0.0, default=0.0)
    own_max_tokens: float = bounded(1.0, default=1e6)
    output_tokens: float = bounded(1.0, default=1.0)
    output_spread: float = bounded(0.0, default=0.0)
    output_max_tokens: float = bounded(1.0, default=1e6)
    work_ms: float = bounded(0.0, default=0.0)
    work_spread: float = bounded(0.0, default=0.0)


@dataclass(frozen=True)
class BurstSizes:
    """Bursts of callers beside the steady stream.

    :ivar factor: rate within a burst over the steady rate.
    :ivar every_s: time between the beginnings of two bursts.
    :ivar for_s: length of a burst.
    """

    factor: float = bounded(1.0, default=1.0)
    every_s: float = bounded(0.1, default=10.0)
    for_s: float = bounded(0.0, default=0.0)


@dataclass(frozen=True)
class Bounds:
    """What the operator bounds.

    :ivar repeat_share: repeats over requests in a window, over all nodes.
    :ivar repeat_slack: repeats in addition.
    :ivar quota_share: tolerance of the accounts' rates.
    :ivar old_weights_s: time after a naming for which requests may begin on older weights.
    """

    repeat_window_s: float = bounded(0.1)
    repeat_share: float = bounded(0.0)
    repeat_slack: float = bounded(0.0)
    quota_share: float = bounded(0.0)
    quota_tokens: float = bounded(0.0)
    old_weights_s: float = bounded(0.1)


@dataclass(frozen=True)
class Trouble:
    """What goes wrong in a scenario.

    ``dark`` engines answer nothing, ``crash`` ends engines and starts them again empty, ``slow``
    multiplies the time of their steps, ``leave`` announces that they leave and ends them,
    ``weights`` names new weights of the model.

    :ivar at_s: when it begins, seconds after the first caller.
    :ivar for_s: how long it lasts.
    :ivar share: part of the engines that it concerns.
    :ivar factor: of ``slow``.
    """

    kind: str = one_of("dark", "crash", "slow", "leave", "weights")
    at_s: float = bounded(0.0)
    for_s: float = bounded(0.0, default=0.0)
    share: float = bounded(0.0, 1.0, default=1.0)
    factor: float = bounded(1.0, default=1.0)


@dataclass(frozen=True)
class Scenario:
    """One load, with or without troubles.

    :ivar load: multiple of the rates of all kinds of requests.
    """

    name: str
    load: float = bounded(0.01)
    troubles: tuple[Trouble, ...] = ()


@dataclass(frozen=True)
class Experiment:
    """All of an experiment file."""

    run: RunSizes
    nodes: NodeSizes
    net: NetSizes
    engines: EngineSizes
    store: StoreSizes
    workers: WorkerSizes
    bounds: Bounds
    accounts: tuple[AccountSizes, ...]
    requests: tuple[RequestSizes, ...]
    scenarios: tuple[Scenario, ...]
    policies: tuple[str, ...]
    bursts: BurstSizes = BurstSizes()

    @classmethod
    def from_config(cls, path: Path) -> "Experiment":
        """Reads an experiment file.

        :raises ExperimentError: if the file can't be read or a value is wrong.
        """
        try:
            table = tomllib.loads(path.read_text())
        except OSError as error:
            raise ExperimentError(f"{path}: can't be read: {error.strerror}") from error
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise ExperimentError(f"{path}: no valid TOML: {error}") from error
        experiment = read_table(cls, table, path.name)
        experiment.check(path.name)
        return experiment

    def check(self, path: str) -> None:
        """Checks what no single field shows.

        :raises ExperimentError: if lists are empty, names are not unique or unknown.
        """
        for name in ("accounts", "requests", "scenarios", "policies"):
            if not getattr(self, name):
                raise ExperimentError(f"{path}.{name}: empty; give at least one")
        if not self.nodes.zones:
            raise ExperimentError(f"{path}.nodes.zones: empty; give at least one")
        for name in ("accounts", "requests", "scenarios"):
            names = [entry.name for entry in getattr(self, name)]
            if len(set(names)) < len(names):
                raise ExperimentError(f"{path}.{name}: two entries have the same name")
        for policy in self.policies:
            if policy not in POLICIES:
                known = ", ".join(POLICIES)
                raise ExperimentError(f"{path}.policies: {policy!r} is unknown; known are {known}")
        for request in self.requests:
            if request.service == "workers" and not self.workers.count:
                raise ExperimentError(
                    f"{path}.requests: {request.name} needs workers.count above 0"
                )
