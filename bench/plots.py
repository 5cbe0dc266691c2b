"""Draws the CSV of bench/out as PNG and writes a page that shows them.

``python -m bench.plots``
"""

import csv
import html
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

OUT = Path(__file__).resolve().parent / "out"


def read(name: str) -> list[dict[str, str]]:
    """Returns the rows of a CSV, none if it was not written."""
    path = OUT / f"{name}.csv"
    if not path.exists():
        return []
    with path.open(newline="") as handle:
        return list(csv.DictReader(handle))


def bars(name: str, label: str, columns: tuple[str, ...], title: str) -> Path | None:
    """Draws one group of bars per row and returns the file.

    :param label: column that names the rows.
    """
    rows = read(name)
    if not rows:
        return None
    figure, axes = pyplot.subplots(1, len(columns), figsize=(5 * len(columns), 4))
    names = [row[label] for row in rows]
    for axis, column in zip(axes, columns, strict=True):
        axis.barh(names, [float(row[column]) for row in rows])
        axis.invert_yaxis()
        axis.set_xlabel(column)
    return _save(figure, name, title)


def grid(name: str, title: str) -> Path | None:
    """Draws the robustness cells against the hash of the whole prefix."""
    rows = read(name)
    if not rows:
        return None
    figure, axes = pyplot.subplots(1, 2, figsize=(12, 4))
    cells = [f"{row['lag s']}/{row['lost %']}/{row['nodes']}" for row in rows]
    for axis, (ours, other) in zip(
        axes, (("reused %", "hash %"), ("p99 s", "hash p99 s")), strict=True
    ):
        axis.plot(cells, [float(row[ours]) for row in rows], label="ours")
        axis.plot(cells, [float(row[other]) for row in rows], label="hash of whole prefix")
        axis.set_ylabel(ours)
        axis.tick_params(axis="x", rotation=90, labelsize=6)
        axis.legend()
    return _save(figure, name, title)


def _save(figure: pyplot.Figure, name: str, title: str) -> Path:
    figure.suptitle(title)
    figure.tight_layout()
    path = OUT / f"{name}.png"
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
    return path


def draw() -> list[tuple[str, Path]]:
    """Draws every known CSV and returns titles and files."""
    drawn: list[tuple[str, Path | None]] = []
    for deployment in ("ramdin", "hollybank"):
        for length, words in (("0", "committed trace"), ("600", "600 s")):
            title = f"Placement, {deployment}, {words}"
            columns = ("reused %", "waste tokens", "p99 s")
            drawn.append(
                (title, bars(f"placement-{deployment}-{length}", "policy", columns, title))
            )
        title = f"Ablation, {deployment}"
        columns = ("reused %", "waste tokens", "p99 s")
        drawn.append((title, bars(f"ablation-{deployment}", "part", columns, title)))
        title = f"Robustness, {deployment}: lag s / lost % / nodes"
        drawn.append((title, grid(f"robustness-{deployment}", title)))
    return [(title, path) for title, path in drawn if path is not None]


def main() -> None:
    """Draws the figures and writes bench/out/index.html."""
    drawn = draw()
    body = "".join(
        f'<h2>{html.escape(title)}</h2><img src="{path.name}" alt="{html.escape(title)}">\n'
        for title, path in drawn
    )
    page = f"<!doctype html><meta charset=utf-8><title>Measurements</title>\n{body}"
    (OUT / "index.html").write_text(page)
    print(f"{len(drawn)} figures in bench/out")


if __name__ == "__main__":
    main()
