"""Counters and duration histograms of the gateway, exported as text."""

from collections import Counter as Tally

from hdrh.histogram import HdrHistogram

LOWEST_US = 100
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 100.0)


class Instruments:
    """Counters by name and label, and histograms of durations by name and label."""

    def __init__(self) -> None:
        self._counts: Tally[tuple[str, str]] = Tally()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increments a counter."""
        self._counts[(name, label)] += amount

    def value(self, name: str, label: str = "") -> int:
        """Returns the value of a counter."""
        return self._counts[(name, label)]

    def duration(self, name: str, label: str, seconds: float) -> None:
        """Records a duration."""
        key = (name, label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US))

    def text(self) -> str:
        """Returns all counters and histograms, one sample a line."""
        lines = [
            f'arbutustally_{name}{{label="{label}"}} {count}'
            for (name, label), count in sorted(self._counts.items())
        ]
        for (name, label), histogram in sorted(self._histograms.items()):
            head = f"arbutustally_{name}_seconds"
            lines.append(f'{head}_count{{label="{label}"}} {histogram.get_total_count()}')
            for percentile in PERCENTILES:
                seconds = histogram.get_value_at_percentile(percentile) / 1e6
                lines.append(
                    f'{head}{{label="{label}",quantile="{percentile / 100:g}"}} {seconds:g}'
                )
        return "\n".join(lines) + "\n"
