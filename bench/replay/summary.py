"""Figures of one replay."""

from dataclasses import dataclass, replace

from bench.replay.calls import Result, offline_cached
from bench.replay.fleet import Fleet, Setup

#: Account that sends several times its rate in the traces of ``bench.workloads``.
FLOODER = "account-3"


@dataclass(frozen=True)
class Summary:
    """One row of the tables.

    :ivar hit: prompt tokens found in an engine's cache, share of all.
    :ivar reused: the same with tokens imported from the KV store.
    :ivar waste: tokens computed although an unbounded shared cache would have held them.
    :ivar first_token: time to first token at 50, 95, 99 and 99.9% of the calls of accounts inside
        their rate, in seconds.
    :ivar first_token_all: the 99th percentile of all calls, waits for the account's rate included.
    :ivar worst: mean time to first token of the worst-served account inside its rate, divided by
        the mean over these accounts.
    :ivar refused_inside: refused calls of accounts inside their rate, share of these calls.
    :ivar refused_flooder: calls of the flooding account that one exact bucket would have admitted
        and that were refused, less those admitted that it would have refused.
    :ivar over: tokens admitted above rate and burst.
    :ivar placed_us: mean time of a placement decision, microseconds of real time.
    """

    policy: str
    calls: int
    hit: float
    reused: float
    waste: int
    first_token: tuple[float, float, float, float]
    first_token_all: float
    worst: float
    refused_inside: float
    refused_flooder: int
    over: float
    placed_us: float


def quantile(values: list[float], share: float) -> float:
    """Returns the value that ``share`` of the values do not exceed, 0 without values."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def quantiles(values: list[float]) -> tuple[float, float, float, float]:
    """Returns the values at 50, 95, 99 and 99.9%."""
    return tuple(quantile(values, share) for share in (0.5, 0.95, 0.99, 0.999))


def run(name: str, setup: Setup, calls: list) -> Summary:
    """Replays a trace and returns its row."""
    fleet = Fleet(setup, calls)
    return summarise(name, fleet.run(), fleet.over_admission)


def summarise(name: str, results: list[Result], over: float) -> Summary:
    """Returns the figures of a finished replay."""
    ran = [result for result in results if result.first_token_s is not None]
    cached = offline_cached([result.call for result in results], {r.call.number for r in ran})
    prompt = sum(result.call.prompt_tokens for result in ran)
    inside = [result for result in ran if result.call.account != FLOODER]
    asked = [result for result in results if result.call.account != FLOODER]
    return Summary(
        name,
        len(results),
        sum(result.cached for result in ran) / prompt,
        sum(result.cached + result.imported for result in ran) / prompt,
        sum(_waste(result, cached[result.call.number]) for result in ran),
        quantiles([result.first_token_s for result in inside]),
        quantile([result.first_token_s for result in ran], 0.99),
        _worst(inside),
        sum(bool(result.refused) for result in asked) / len(asked),
        _flooder_refusals(results),
        over,
        sum(result.placed_s for result in ran) / len(ran) * 1e6,
    )


def bound(results: list[Result], prefill_tokens_per_s: float) -> Summary:
    """Returns the row of full knowledge: one unbounded shared cache and no queue."""
    ran = [result for result in results if result.first_token_s is not None]
    cached = offline_cached([result.call for result in results], {r.call.number for r in ran})
    prompt = sum(result.call.prompt_tokens for result in ran)
    share = sum(cached.values()) / prompt
    times = {
        result.call.number: (result.call.prompt_tokens - cached[result.call.number])
        / prefill_tokens_per_s
        for result in ran
    }
    inside = [result for result in ran if result.call.account != FLOODER]
    first = quantiles([times[result.call.number] for result in inside])
    worst = _worst([replace(result, first_token_s=times[result.call.number]) for result in inside])
    all_99 = quantile(list(times.values()), 0.99)
    name = "offline bound"
    return Summary(name, len(results), share, share, 0, first, all_99, worst, 0, 0, 0, 0)


def _waste(result: Result, known: int) -> int:
    return max(0, result.computed - (result.call.prompt_tokens - known))


def _worst(inside: list[Result]) -> float:
    by_account: dict[str, list[float]] = {}
    for result in inside:
        by_account.setdefault(result.call.account, []).append(result.first_token_s)
    means = [sum(times) / len(times) for times in by_account.values()]
    return max(means) / (sum(means) / len(means))


def _flooder_refusals(results: list[Result]) -> int:
    calls = [result for result in results if result.call.account == FLOODER]
    lost = sum(bool(result.refused) and result.call.within_rate for result in calls)
    gained = sum(not result.refused and not result.call.within_rate for result in calls)
    return lost - gained
