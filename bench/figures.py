"""Figures of a load run: histograms per account, a table and a CSV file."""

import csv
from collections import Counter
from collections.abc import Iterable
from dataclasses import astuple, dataclass, field, fields
from pathlib import Path

from hdrh.histogram import HdrHistogram

_MOST_US = 120_000_000
_DIGITS = 3
_PERCENTILES = (50.0, 95.0, 99.0)
ALL = "all"


@dataclass(frozen=True)
class Sample:
    """One call.

    :ivar at_s: when the trace wanted it, from the start of the run.
    :ivar kind: ``chat``, ``completions`` or ``booking``.
    :ivar code: ``ok`` or the code of the refusal or failure.
    :ivar ran: what the refusal says about the work, empty for ``ok``.
    :ivar within_rate: one exact bucket of the fleet would have admitted it.
    :ivar first_token_ms: from the wanted instant, so that a late start counts; ``-1`` without one.
    :ivar nodes: nodes that served it, more than one after a resume.
    """

    at_s: float
    account: str
    kind: str
    code: str
    ran: str
    within_rate: bool
    first_token_ms: float
    total_ms: float
    tokens: int
    prompt_tokens: int
    cached_tokens: int
    nodes: int


@dataclass
class _Group:
    first_token: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _MOST_US, _DIGITS))
    gap: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _MOST_US, _DIGITS))
    codes: Counter[str] = field(default_factory=Counter)
    within_rate_refused: int = 0
    resumed: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class Figures:
    """Collects samples by account and for all accounts together."""

    def __init__(self) -> None:
        self._samples: list[Sample] = []
        self._groups: dict[str, _Group] = {}

    @property
    def samples(self) -> list[Sample]:
        """Returns the samples in order of the trace."""
        return sorted(self._samples, key=lambda sample: sample.at_s)

    def codes(self, account: str = ALL) -> dict[str, int]:
        """Returns the number of calls by code."""
        return dict(self._group(account).codes)

    def add(self, sample: Sample, gaps_s: Iterable[float] = ()) -> None:
        """Adds one call and the gaps between its tokens."""
        self._samples.append(sample)
        gaps_us = [int(gap * 1e6) for gap in gaps_s]
        for group in (self._group(ALL), self._group(sample.account)):
            group.codes[sample.code] += 1
            group.prompt_tokens += sample.prompt_tokens
            group.cached_tokens += sample.cached_tokens
            group.resumed += sample.nodes > 1
            refused = sample.ran == "not_run"
            group.within_rate_refused += refused and sample.within_rate
            if sample.first_token_ms >= 0:
                group.first_token.record_value(max(1, int(sample.first_token_ms * 1000)))
            for gap in gaps_us:
                group.gap.record_value(max(1, gap))

    def write_csv(self, path: Path) -> None:
        """Writes one line per call."""
        with path.open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow([column.name for column in fields(Sample)])
            writer.writerows(astuple(sample) for sample in self.samples)

    def table(self) -> str:
        """Returns the figures as text, one line per account; times are in milliseconds."""
        head = ["account", "calls", "ok", "refused in rate", "resumed", "hit %"]
        head += [f"first p{p:g}" for p in _PERCENTILES] + [f"gap p{p:g}" for p in _PERCENTILES]
        rows = [head, *(self._row(name) for name in self._names())]
        widths = [max(len(row[column]) for row in rows) for column in range(len(head))]
        lines = ["  ".join(c.rjust(w) for c, w in zip(r, widths, strict=True)) for r in rows]
        lines.append("refusals and failures by code:")
        lines += [f"  {name}: {self._failures(name)}" for name in self._names()]
        return "\n".join(lines)

    def _failures(self, name: str) -> str:
        others = sorted((code, n) for code, n in self.codes(name).items() if code != "ok")
        return ", ".join(f"{code} {n}" for code, n in others) or "none"

    def _names(self) -> list[str]:
        return [*sorted(name for name in self._groups if name != ALL), ALL]

    def _row(self, name: str) -> list[str]:
        group = self._group(name)
        hit = 100 * group.cached_tokens / max(1, group.prompt_tokens)
        row = [
            name,
            str(group.codes.total()),
            str(group.codes["ok"]),
            str(group.within_rate_refused),
            str(group.resumed),
            f"{hit:.1f}",
        ]
        for histogram in (group.first_token, group.gap):
            row += [f"{histogram.get_value_at_percentile(p) / 1000:.1f}" for p in _PERCENTILES]
        return row

    def _group(self, name: str) -> _Group:
        return self._groups.setdefault(name, _Group())
