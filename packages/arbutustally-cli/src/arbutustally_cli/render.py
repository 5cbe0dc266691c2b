"""Output: tables, JSON, differences and progress."""

import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TextIO

import orjson

from arbutustally.declarations import Difference, ItemChange


def show(value: Any) -> str:
    """Returns a cell: numbers with separators, nothing for an absent value."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int):
        return str(value)
    if isinstance(value, float):
        return f"{value:,.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list | tuple):
        return ", ".join(show(entry) for entry in value) or "-"
    if isinstance(value, Mapping):
        return ", ".join(f"{name}={show(entry)}" for name, entry in value.items()) or "-"
    return str(value)


def table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Returns an aligned table.

    :param columns: field names, also the headings.
    """
    cells = [[column.replace("_", " ") for column in columns]]
    cells += [[show(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[number]) for line in cells) for number in range(len(columns))]
    lines = []
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def difference_lines(difference: Difference) -> list[str]:
    """Returns one line per item, and one per changed field."""
    lines = [f"+ {change.name}  {show(change.new)}" for change in difference.added]
    for change in difference.changed:
        lines.append(f"~ {change.name}")
        lines += _field_lines(change)
    lines += [f"- {change.name}  {show(change.old)}" for change in difference.removed]
    return lines


def _field_lines(change: ItemChange) -> list[str]:
    old, new = dict(change.old or {}), dict(change.new or {})
    names = [name for name in sorted(old | new) if old.get(name) != new.get(name)]
    return [f"    {name}: {show(old.get(name))} -> {show(new.get(name))}" for name in names]


def difference_data(difference: Difference) -> dict[str, Any]:
    """Returns the difference for JSON."""
    return {
        "added": {change.name: change.new for change in difference.added},
        "changed": {
            change.name: {"old": change.old, "new": change.new} for change in difference.changed
        },
        "removed": {change.name: change.old for change in difference.removed},
    }


@dataclass(frozen=True)
class Screen:
    """Where results, messages and progress go.

    :ivar output: ``table`` or ``json``.
    :ivar out: results.
    :ivar err: messages and progress.
    """

    output: str
    out: TextIO
    err: TextIO

    @classmethod
    def from_config(cls, output: str) -> "Screen":
        """Builds a screen on the standard streams."""
        return cls(output, sys.stdout, sys.stderr)

    @property
    def is_json(self) -> bool:
        """Returns whether results are JSON."""
        return self.output == "json"

    def result(self, data: Any, text: str) -> None:
        """Writes the result in the chosen form."""
        if self.is_json:
            text = orjson.dumps(data, option=orjson.OPT_INDENT_2).decode()
        print(text, file=self.out)

    def note(self, text: str) -> None:
        """Writes a message."""
        print(text, file=self.err)

    def progress(self, text: str) -> None:
        """Replaces the progress line; only on a terminal."""
        if self.err.isatty():
            print(f"\r\x1b[K{text}", end="", file=self.err, flush=True)

    def end_progress(self) -> None:
        """Removes the progress line."""
        self.progress("")
