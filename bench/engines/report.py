"""Tables and CSV of results."""

import csv
import math
from collections.abc import Iterable, Sequence
from pathlib import Path

from bench.engines.policies import LEAST_LOAD
from bench.engines.tally import Ending, Record, Result, counts_by, percentile

ENDINGS = tuple(Ending)
CSV_COLUMNS = (
    "scenario",
    "policy",
    "seed",
    "group",
    "value",
    *(ending.replace(" ", "_") for ending in ENDINGS),
    "first_p50_ms",
    "first_p99_ms",
    "read_again_tokens",
    "preemptions",
)
#: Fields of a record by which endings are counted.
GROUPS = ("kind", "account", "second")


def first_ms(records: Iterable[Record], part: float) -> float:
    """Returns a percentile of the time to the first event of streams, in ms."""
    times = (
        record.first_s for record in records if record.is_stream and record.first_s is not None
    )
    return percentile(times, part) * 1000


def ratios(results: Sequence[Result]) -> dict[str, list[float]]:
    """Returns by policy, for each seed, the part served on time over that of least load."""
    base = {
        result.seed: result.share(Ending.ON_TIME)
        for result in results
        if result.policy == LEAST_LOAD
    }
    table: dict[str, list[float]] = {}
    for result in results:
        if base.get(result.seed):
            ratio = result.share(Ending.ON_TIME) / base[result.seed]
            table.setdefault(result.policy, []).append(ratio)
    return table


def render(results: Sequence[Result]) -> str:
    """Returns the tables of all scenarios."""
    scenarios = dict.fromkeys(result.scenario for result in results)
    blocks = []
    for scenario in scenarios:
        of_scenario = [result for result in results if result.scenario == scenario]
        seeds = len({result.seed for result in of_scenario})
        blocks += [
            f"{scenario}: mean of {seeds} seed(s)",
            _whole(of_scenario),
            f"{scenario}: by kind of request, % on time / late / refused / failed",
            _by_kind(of_scenario),
            f"{scenario}: by second of arrival, % on time",
            _by_second(of_scenario),
        ]
    return "\n\n".join(blocks)


def write_csv(path: Path, results: Sequence[Result]) -> None:
    """Writes one row for each run, and for each kind, account and second of it.

    :raises OSError: if the file can't be written.
    """
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(CSV_COLUMNS)
        for result in results:
            run = (result.scenario, result.policy, result.seed)
            whole = (result.read_again, result.preemptions)
            writer.writerow([*run, "all", "", *_figures(result.records), *whole])
            for group in GROUPS:
                for value in counts_by(result.records, group):
                    part = [
                        entry for entry in result.records if str(getattr(entry, group)) == value
                    ]
                    writer.writerow([*run, group, value, *_figures(part), "", ""])


def _figures(records: Sequence[Record]) -> list[object]:
    counts = [sum(record.ending is ending for record in records) for ending in ENDINGS]
    return [*counts, *(_number(first_ms(records, part), 1) for part in (0.5, 0.99))]


def _whole(results: Sequence[Result]) -> str:
    columns = ["policy", "requests", *(f"{ending} %" for ending in ENDINGS)]
    columns += ["first p50 ms", "p99 ms", "read again", "preempted", "over least load", "spread"]
    to_base = ratios(results)
    rows = []
    for policy, runs in _by_policy(results).items():
        shares = [_mean(100 * run.share(ending) for run in runs) for ending in ENDINGS]
        times = [_mean(first_ms(run.records, part) for run in runs) for part in (0.5, 0.99)]
        ratio = to_base.get(policy, [math.nan])
        rows.append(
            [
                policy,
                _number(_mean(run.arrived for run in runs), 0),
                *(_number(share, 1) for share in shares),
                *(_number(time, 0) for time in times),
                _number(_mean(run.read_again for run in runs), 0),
                _number(_mean(run.preemptions for run in runs), 0),
                _number(_mean(ratio), 3),
                f"{min(ratio):.3f} to {max(ratio):.3f}",
            ]
        )
    return markdown(columns, rows)


def _by_kind(results: Sequence[Result]) -> str:
    kinds = sorted({record.kind for result in results for record in result.records})
    rows = []
    for policy, runs in _by_policy(results).items():
        cells = []
        for kind in kinds:
            records = [record for run in runs for record in run.records if record.kind == kind]
            cells.append(" / ".join(_number(_percent(records, ending), 1) for ending in ENDINGS))
        rows.append([policy, *cells])
    return markdown(["policy", *kinds], rows)


def _by_second(results: Sequence[Result]) -> str:
    seconds = sorted({record.second for result in results for record in result.records})
    rows = []
    for policy, runs in _by_policy(results).items():
        cells = []
        for second in seconds:
            records = [record for run in runs for record in run.records if record.second == second]
            cells.append(_number(_percent(records, Ending.ON_TIME), 0))
        rows.append([policy, *cells])
    return markdown(["policy", *map(str, seconds)], rows)


def _by_policy(results: Sequence[Result]) -> dict[str, list[Result]]:
    table: dict[str, list[Result]] = {}
    for result in results:
        table.setdefault(result.policy, []).append(result)
    return table


def _percent(records: Sequence[Record], ending: Ending) -> float:
    if not records:
        return math.nan
    return 100 * sum(record.ending is ending for record in records) / len(records)


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed)


def _number(value: float, digits: int) -> str:
    return "" if math.isnan(value) else f"{value:.{digits}f}"


def markdown(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)
