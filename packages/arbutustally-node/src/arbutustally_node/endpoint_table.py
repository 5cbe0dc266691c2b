"""What a node knows of the endpoints: list entries, load reports, marks and own dispatches."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Literal

from arbutustally.clock import Clock
from arbutustally.instance_client import Instance

#: Incarnations remembered for each endpoint, to refuse late reports of replaced ones.
MAX_PAST = 8
#: Own dispatches remembered for each endpoint between two load reports.
MAX_DISPATCHES = 4096
#: An endpoint without an incarnation is usable again this long after it was marked dead, seconds.
UNNAMED_DEAD_S = 5.0
#: Marks of an endpoint are forgotten this long after it left the list, seconds.
FORGET_S = 600.0

#: Marks of a replaced incarnation are repeated to peers for this long, seconds.
REPEAT_S = 60.0

MarkKind = Literal["dead", "leaving"]


@dataclass(frozen=True)
class Mark:
    """A sticky statement about one incarnation of an endpoint."""

    endpoint_id: str
    incarnation: str
    kind: MarkKind

    def to_values(self) -> list[str]:
        """Returns the form in which nodes share it."""
        return [self.endpoint_id, self.incarnation, self.kind]


@dataclass(frozen=True)
class Load:
    """A load report as nodes share it.

    :ivar queued_tokens: prompt tokens that wait for prefill.
    :ivar running: requests in the batch.
    :ivar taken_at: when the engine took the figures, on the clock of this node, seconds.
    """

    endpoint_id: str
    incarnation: str
    queued_tokens: int
    running: int
    versions: tuple[str, ...]
    taken_at: float

    @classmethod
    def from_values(cls, values: list[Any], now: float) -> "Load":
        """Returns the load that a peer shared, as of its arrival."""
        endpoint_id, incarnation, queued, running, versions, age_ms = values
        return cls(endpoint_id, incarnation, queued, running, tuple(versions), now - age_ms / 1000)

    def to_values(self, now: float) -> list[Any]:
        """Returns the form in which nodes share it, with its age in milliseconds."""
        age_ms = int((now - self.taken_at) * 1000)
        return [
            self.endpoint_id,
            self.incarnation,
            self.queued_tokens,
            self.running,
            list(self.versions),
            age_ms,
        ]


@dataclass(frozen=True)
class EndpointState:
    """An endpoint that is not known to be dead.

    :ivar leaving: no new work; work in progress may finish or resume there.
    :ivar queued_tokens: last report plus own dispatches since.
    :ivar running: last report plus own dispatches since.
    :ivar report_age_s: age of the report; infinite without one.
    :ivar versions: weights versions that it has loaded.
    """

    id: str
    address: str
    zone: str
    service: str
    model: str | None
    version: str | None
    incarnation: str
    leaving: bool
    queued_tokens: int
    running: int
    report_age_s: float
    versions: tuple[str, ...] = ()


class _Entry:
    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.load: Load | None = None
        self.incarnation = ""
        self.past: deque[str] = deque(maxlen=MAX_PAST)
        self.dispatches: deque[tuple[float, int]] = deque(maxlen=MAX_DISPATCHES)
        self.unreachable = False
        self.listed_leaving_for: str | None = None
        self.gone_since: float | None = None


class EndpointTable:
    """Merges the lagging list with reports and marks; marks win over the list.

    :param clock: clock of this node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._marks: dict[Mark, float] = {}

    def update_list(self, instances: Iterable[Instance]) -> list[Mark]:
        """Takes a new list; returns marks that follow from entries that began to leave."""
        now = self._clock()
        listed = {instance.id: instance for instance in instances}
        fresh = []
        for endpoint_id, instance in listed.items():
            entry = self._entries.setdefault(endpoint_id, _Entry(instance))
            if instance.address != entry.instance.address:
                # Another address is another process, whatever the engine will report.
                self._replace(entry, "")
            entry.instance = instance
            entry.gone_since = None
            fresh.extend(self._list_mark(entry))
        for endpoint_id, entry in list(self._entries.items()):
            if endpoint_id not in listed:
                entry.gone_since = entry.gone_since if entry.gone_since is not None else now
                if now - entry.gone_since > FORGET_S:
                    self._forget(endpoint_id)
        return fresh

    def _list_mark(self, entry: _Entry) -> list[Mark]:
        if entry.instance.state != "leaving":
            entry.listed_leaving_for = None
            return []
        if entry.listed_leaving_for is not None:
            # The list lags: the entry may still speak of the previous incarnation.
            return []
        entry.listed_leaving_for = entry.incarnation
        mark = Mark(entry.instance.id, entry.incarnation, "leaving")
        return [mark] if self.apply(mark) else []

    def report(self, load: Load) -> bool:
        """Takes a load report; returns whether it is newer than the known one.

        A report of a replaced or dead incarnation, or one older than the last, is dropped.
        """
        entry = self._entries.get(load.endpoint_id)
        if entry is None or load.incarnation in entry.past:
            return False
        if self._marked(load.endpoint_id, load.incarnation, "dead"):
            return False
        if entry.load is not None and load.taken_at < entry.load.taken_at:
            return False
        if load.incarnation != entry.incarnation:
            self._replace(entry, load.incarnation)
        entry.load = load
        # The engine has counted what was dispatched before it took the figures.
        while entry.dispatches and entry.dispatches[0][0] <= load.taken_at:
            entry.dispatches.popleft()
        return True

    def _replace(self, entry: _Entry, incarnation: str) -> None:
        if entry.incarnation:
            entry.past.append(entry.incarnation)
        entry.incarnation = incarnation
        entry.load = None
        entry.dispatches.clear()
        entry.unreachable = False

    def apply(self, mark: Mark) -> bool:
        """Takes a mark; returns whether it is new. Marks of an incarnation are never undone."""
        if mark in self._marks and not self._expired(mark):
            return False
        self._marks[mark] = self._clock()
        entry = self._entries.get(mark.endpoint_id)
        if entry is not None and mark.kind == "dead" and mark.incarnation == entry.incarnation:
            entry.load = None
            entry.dispatches.clear()
        return True

    def marks(self) -> list[Mark]:
        """Returns the marks that other nodes may need.

        A mark of a replaced incarnation is left out after ``REPEAT_S``; by then every node has
        seen the new one.
        """
        since = self._clock() - REPEAT_S
        return [
            mark
            for mark, instant in self._marks.items()
            if not self._expired(mark)
            and (instant >= since or mark.incarnation == self.incarnation(mark.endpoint_id))
        ]

    def incarnation(self, endpoint_id: str) -> str:
        """Returns the current incarnation, empty if unknown."""
        entry = self._entries.get(endpoint_id)
        return entry.incarnation if entry is not None else ""

    def set_unreachable(self, endpoint_id: str, unreachable: bool) -> None:
        """Notes whether this node's own polls fail; it holds for this node only."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.unreachable = unreachable

    def dispatched(self, endpoint_id: str, tokens: int) -> None:
        """Adds work sent by this node until a later report includes it."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.dispatches.append((self._clock(), tokens))

    def finished(self, endpoint_id: str, tokens: int) -> None:
        """Removes work sent by this node that no report includes yet."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        for dispatch in entry.dispatches:
            if dispatch[1] == tokens:
                entry.dispatches.remove(dispatch)
                return

    def endpoints(self, service: str | None, model: str | None = None) -> list[EndpointState]:
        """Returns the endpoints that are listed and not dead, in order of id.

        :param service: one service, or ``None`` for all.
        """
        chosen = [
            entry
            for entry in self._entries.values()
            if (service is None or entry.instance.service == service)
            and (model is None or entry.instance.model == model)
            and self._usable(entry)
        ]
        states = [self._state(entry) for entry in chosen]
        return sorted(states, key=lambda state: state.id)

    def listed(self) -> list[Instance]:
        """Returns the entries of the last list."""
        return [entry.instance for entry in self._entries.values() if entry.gone_since is None]

    def _usable(self, entry: _Entry) -> bool:
        if entry.gone_since is not None or entry.unreachable:
            return False
        return not self._marked(entry.instance.id, entry.incarnation, "dead")

    def _state(self, entry: _Entry) -> EndpointState:
        instance, load = entry.instance, entry.load
        leaving = instance.state == "leaving" or self._marked(
            instance.id, entry.incarnation, "leaving"
        )
        return EndpointState(
            instance.id,
            instance.address,
            instance.zone,
            instance.service,
            instance.model,
            load.versions[0] if load is not None and load.versions else instance.version,
            entry.incarnation,
            leaving,
            (load.queued_tokens if load else 0) + sum(tokens for _, tokens in entry.dispatches),
            (load.running if load else 0) + len(entry.dispatches),
            self._clock() - load.taken_at if load else float("inf"),
            load.versions if load else (),
        )

    def _marked(self, endpoint_id: str, incarnation: str, kind: MarkKind) -> bool:
        mark = Mark(endpoint_id, incarnation, kind)
        return mark in self._marks and not self._expired(mark)

    def _expired(self, mark: Mark) -> bool:
        # Nothing would ever revive a plain service marked dead, for it has no incarnation.
        unnamed = mark.kind == "dead" and not mark.incarnation
        return unnamed and self._clock() - self._marks[mark] > UNNAMED_DEAD_S

    def _forget(self, endpoint_id: str) -> None:
        del self._entries[endpoint_id]
        self._marks = {
            mark: instant
            for mark, instant in self._marks.items()
            if mark.endpoint_id != endpoint_id
        }
