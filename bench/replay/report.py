"""Markdown tables and CSV of the replay."""

import csv
from collections.abc import Sequence
from pathlib import Path

from bench.replay.summary import Summary

OUT = Path(__file__).resolve().parent.parent / "out"
COLUMNS = (
    "policy",
    "hit %",
    "reused %",
    "waste tokens",
    "p50 s",
    "p95 s",
    "p99 s",
    "p99.9 s",
    "p99 all s",
    "worst/mean",
    "refused inside %",
    "refused flooder",
    "over tokens",
    "decision us",
)


def row(summary: Summary) -> list[str]:
    """Returns the cells of a summary in the order of ``COLUMNS``."""
    return [
        summary.policy,
        f"{100 * summary.hit:.1f}",
        f"{100 * summary.reused:.1f}",
        f"{summary.waste}",
        *(f"{value:.3f}" for value in summary.first_token),
        f"{summary.first_token_all:.3f}",
        f"{summary.worst:.2f}",
        f"{100 * summary.refused_inside:.2f}",
        f"{summary.refused_flooder}",
        f"{summary.over:.0f}",
        f"{summary.placed_us:.0f}",
    ]


def table(title: str, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Prints a markdown table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for cells in rows:
        print("| " + " | ".join(cells) + " |")


def save(name: str, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Writes CSV to ``bench/out``."""
    OUT.mkdir(parents=True, exist_ok=True)
    with (OUT / f"{name}.csv").open("w", newline="") as handle:
        csv.writer(handle).writerows([columns, *rows])
