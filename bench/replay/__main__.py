"""Prints the tables of the replay and writes CSV under bench/out.

``python -m bench.replay placement|ablation|robustness|hot|fairness|moves|all``
"""

import argparse
from itertools import product

from bench.replay.cells import BOUND, OURS, PARTS, WITHOUT_FAIR, Cell, MoveCell, run_all, run_moves
from bench.replay.policies import baselines
from bench.replay.report import COLUMNS, row, save, table
from bench.workloads import DEPLOYMENTS, VERSIONS

#: Length of a trace in which the first use of each guide is under 1% of the calls, in seconds.
LONG_S = 600.0
ABLATION_S = 300.0
ABLATION_SEEDS = (1, 2, 3)
ROBUSTNESS_S = 120.0
HOT_S = 60.0
#: Prefill speed at which the flood exceeds the pool, tokens/s of an engine.
FLOOD_SPEED = 2500.0
HASH = "hash of whole prefix"


def placement(workers: int) -> None:
    """Compares all policies on the committed trace and on a long one."""
    policies = [*baselines(), OURS, BOUND]
    for deployment, duration in product(DEPLOYMENTS, (0.0, LONG_S)):
        cells = [Cell(deployment, policy, duration) for policy in policies]
        rows = [row(summary) for summary in run_all(cells, workers)]
        length = f"{duration:.0f} s" if duration else "committed trace"
        table(f"Placement, {deployment}, {length}, seed 1", COLUMNS, rows)
        save(f"placement-{deployment}-{duration:.0f}", COLUMNS, rows)


def ablation(workers: int) -> None:
    """Removes one part at a time; figures are means over the seeds."""
    policies = [OURS, *PARTS, WITHOUT_FAIR]
    columns = ("part", "reused %", "waste tokens", "p95 s", "p99 s", "p99.9 s", "worst/mean")
    for deployment in DEPLOYMENTS:
        cells = [
            Cell(deployment, policy, ABLATION_S, seed)
            for policy in policies
            for seed in ABLATION_SEEDS
        ]
        summaries = run_all(cells, workers)
        rows = []
        for number, policy in enumerate(policies):
            part = summaries[number * len(ABLATION_SEEDS) :][: len(ABLATION_SEEDS)]
            figures = [(100 * s.reused, s.waste, *s.first_token[1:], s.worst) for s in part]
            means = [sum(column) / len(part) for column in zip(*figures, strict=True)]
            cells_of = [f"{means[0]:.1f}", f"{means[1]:.0f}", *(f"{m:.3f}" for m in means[2:5])]
            rows.append([policy, *cells_of, f"{means[5]:.2f}"])
        table(f"Ablation, {deployment}, {ABLATION_S:.0f} s, mean of 3 seeds", columns, rows)
        save(f"ablation-{deployment}", columns, rows)


def robustness(workers: int) -> None:
    """Compares with the hash of the whole prefix under lag, loss and numbers of nodes."""
    columns = ("lag s", "lost %", "nodes", "reused %", "hash %", "p99 s", "hash p99 s", "below")
    for deployment in DEPLOYMENTS:
        grid = list(product((0.0, 0.5, 2.0), (0.0, 0.1, 0.5), (2, 8, 32)))
        cells = [
            Cell(deployment, policy, ROBUSTNESS_S, 1, lag, lost, nodes)
            for lag, lost, nodes in grid
            for policy in (OURS, HASH)
        ]
        summaries = run_all(cells, workers)
        rows = []
        for number, (lag, lost, nodes) in enumerate(grid):
            mine, other = summaries[2 * number : 2 * number + 2]
            below = mine.reused < other.reused or mine.first_token[2] > other.first_token[2]
            rows.append(
                [
                    f"{lag:g}",
                    f"{100 * lost:.0f}",
                    f"{nodes}",
                    f"{100 * mine.reused:.1f}",
                    f"{100 * other.reused:.1f}",
                    f"{mine.first_token[2]:.3f}",
                    f"{other.first_token[2]:.3f}",
                    "yes" if below else "no",
                ]
            )
        table(f"Robustness, {deployment}, {ROBUSTNESS_S:.0f} s, seed 1", columns, rows)
        save(f"robustness-{deployment}", columns, rows)


def fairness(workers: int) -> None:
    """Floods a slow pool from one account whose rate is lifted."""
    for deployment in DEPLOYMENTS:
        cells = [
            Cell(deployment, policy, ROBUSTNESS_S, speed=FLOOD_SPEED, flood=True)
            for policy in (OURS, WITHOUT_FAIR)
        ]
        rows = [row(summary) for summary in run_all(cells, workers)]
        title = f"Flood, {deployment}, {FLOOD_SPEED:.0f} tokens/s an engine, account-3 unlimited"
        table(title, COLUMNS, rows)
        save(f"fairness-{deployment}", COLUMNS, rows)


def moves(workers: int) -> None:
    """Moves to each kind of new version."""
    columns = ("deployment", "trace", "seed", "version", "end", "in time", "end s")
    columns += ("on new", "harmed", "harmed %", "late")
    lengths = ((0.0, 1), *((ABLATION_S, seed) for seed in ABLATION_SEEDS))
    cells = [
        MoveCell(deployment, behaviour, duration, seed)
        for deployment in DEPLOYMENTS
        for duration, seed in lengths
        for behaviour in VERSIONS
    ]
    rows = []
    for cell, result in zip(cells, run_moves(cells, workers), strict=True):
        length = f"{cell.duration_s:.0f} s" if cell.duration_s else "committed"
        rows.append(
            [
                cell.deployment,
                length,
                f"{cell.seed}",
                cell.behaviour,
                result.ended or "open",
                "yes" if result.in_time else "no",
                f"{result.ended_s:.1f}",
                f"{result.on_new}",
                f"{result.harmed}",
                f"{100 * result.harmed / result.calls:.2f}",
                f"{result.late}",
            ]
        )
    table("Moves between versions", columns, rows)
    save("moves", columns, rows)


def hot(workers: int) -> None:
    """Sends one very hot guide per account with reports that are 1 s old."""
    columns = ("deployment", "part", "reused %", "waste tokens", "p95 s", "p99 s", "p99 all s")
    policies = (OURS, "without hot-prefix widening", "least load")
    rows = []
    for deployment in DEPLOYMENTS:
        cells = [
            Cell(deployment, policy, HOT_S, seed, 1.0, hot=True)
            for policy in policies
            for seed in ABLATION_SEEDS
        ]
        summaries = run_all(cells, workers)
        for number, policy in enumerate(policies):
            part = summaries[number * len(ABLATION_SEEDS) :][: len(ABLATION_SEEDS)]
            figures = [
                (100 * s.reused, s.waste, *s.first_token[1:3], s.first_token_all) for s in part
            ]
            means = [sum(column) / len(part) for column in zip(*figures, strict=True)]
            times = [f"{mean:.3f}" for mean in means[2:]]
            rows.append([deployment, policy, f"{means[0]:.1f}", f"{means[1]:.0f}", *times])
    table("One hot guide, 40 requests/s, reports 1 s old, mean of 3 seeds", columns, rows)
    save("hot", columns, rows)


PARTS_OF_RUN = {
    "placement": placement,
    "ablation": ablation,
    "robustness": robustness,
    "hot": hot,
    "fairness": fairness,
    "moves": moves,
}


def main() -> None:
    """Runs the wanted tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("part", choices=[*PARTS_OF_RUN, "all"])
    parser.add_argument("--workers", type=int, default=6, help="replays run at once")
    arguments = parser.parse_args()
    for name, function in PARTS_OF_RUN.items():
        if arguments.part in (name, "all"):
            function(arguments.workers)


if __name__ == "__main__":
    main()
