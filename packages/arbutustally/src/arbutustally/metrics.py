"""statsd metrics and the registry of all refusal and retry counters."""

from dataclasses import dataclass
from typing import Any

from statsd import StatsClient

REFUSAL = "refused"
RETRY = "retried"


@dataclass(frozen=True)
class Counter:
    """One declared counter.

    :ivar name: full statsd name below the prefix.
    :ivar help: meaning of an increment and what an operator does about it.
    """

    name: str
    help: str


_REGISTRY: dict[str, Counter] = {}


def declare(name: str, help_text: str) -> Counter:
    """Declares a counter; called once, when the module that increments it is imported.

    :raises ValueError: if the name is declared twice.
    """
    if name in _REGISTRY:
        raise ValueError(f"counter {name} is declared twice; give each reason its own name")
    counter = Counter(name, help_text)
    _REGISTRY[name] = counter
    return counter


def declared() -> list[Counter]:
    """Returns all declared counters in order of name."""
    return sorted(_REGISTRY.values(), key=lambda counter: counter.name)


class Metrics:
    """Counts locally and sends to statsd over UDP.

    :param client: statsd client, or ``None`` to count locally only.
    """

    def __init__(self, client: StatsClient | None = None) -> None:
        self._client = client
        self._counts: dict[str, int] = {}

    @classmethod
    def from_config(cls, host: str, port: int, prefix: str) -> "Metrics":
        """Builds metrics that are sent to ``host:port``; an empty host counts locally only."""
        client = StatsClient(host, port, prefix=prefix) if host else None
        return cls(client)

    @property
    def counts(self) -> dict[str, int]:
        """Returns a copy of the local counts by name."""
        return dict(self._counts)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Adds to a counter."""
        self._counts[counter.name] = self._counts.get(counter.name, 0) + amount
        if self._client is not None:
            self._client.incr(counter.name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration, sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def snapshot(self) -> dict[str, Any]:
        """Returns the count of every declared counter, for the status report."""
        return {name: self._counts.get(name, 0) for name in sorted(_REGISTRY)}
