"""View of the endpoints, from list entries, load reports, marks and this node's dispatches."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Literal

from arbutustally.clock import Clock
from arbutustally.incarnations import is_earlier_timed_start
from arbutustally.instance_client import Instance

#: Replaced incarnations remembered per endpoint, to reject their late reports.
MAX_PAST_INCARNATIONS = 8
#: Dispatches of this node remembered per endpoint between two load reports.
MAX_DISPATCHES = 4096
#: An endpoint without an incarnation is usable again this long after it was marked dead, seconds.
DEAD_MARK_TTL_S = 5.0
#: An endpoint and its marks are removed this long after it left the list, seconds.
UNLISTED_RETENTION_S = 600.0

#: Marks of a replaced incarnation are resent to peers for this long, seconds.
MARK_RESEND_S = 60.0

MarkKind = Literal["dead", "leaving"]


@dataclass(frozen=True)
class Mark:
    """A sticky state of one incarnation of an endpoint."""

    endpoint_id: str
    incarnation: str
    kind: MarkKind

    def to_values(self) -> list[str]:
        """Returns the values that nodes exchange."""
        return [self.endpoint_id, self.incarnation, self.kind]


@dataclass(frozen=True)
class Load:
    """A load report as nodes exchange it.

    :ivar queued_tokens: prompt tokens that wait for prefill.
    :ivar running: requests in the batch.
    :ivar taken_at: time at which the engine measured the load, on the clock of this node, seconds.
    """

    endpoint_id: str
    incarnation: str
    queued_tokens: int
    running: int
    versions: tuple[str, ...]
    taken_at: float

    @classmethod
    def from_values(cls, values: list[Any], now: float) -> "Load":
        """Returns the load that a peer sent.

        :param now: time of its arrival, from which its age is subtracted, seconds.
        """
        endpoint_id, incarnation, queued, running, versions, age_ms = values
        return cls(endpoint_id, incarnation, queued, running, tuple(versions), now - age_ms / 1000)

    def to_values(self, now: float) -> list[Any]:
        """Returns the values that nodes exchange, with the age in milliseconds."""
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

    :ivar leaving: receives no new work; work in progress may finish or resume there.
    :ivar queued_tokens: last report plus this node's dispatches since.
    :ivar running: last report plus this node's dispatches since.
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
        self.past: deque[str] = deque(maxlen=MAX_PAST_INCARNATIONS)
        self.dispatches: deque[tuple[float, int]] = deque(maxlen=MAX_DISPATCHES)
        self.unreachable = False
        self.listed_leaving_for: str | None = None
        self.unlisted_since: float | None = None


class EndpointTable:
    """Merges the lagging list with reports and marks; marks take precedence over the list.

    :param clock: clock of this node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._marks: dict[Mark, float] = {}

    def update_list(self, instances: Iterable[Instance]) -> list[Mark]:
        """Applies a new list; returns the marks of entries that have become leaving."""
        now = self._clock()
        listed = {instance.id: instance for instance in instances}
        new_marks = []
        for endpoint_id, instance in listed.items():
            entry = self._entries.setdefault(endpoint_id, _Entry(instance))
            if instance.address != entry.instance.address:
                # A new address means a new process, whatever incarnation the engine reports later.
                self._replace(entry, "")
            entry.instance = instance
            entry.unlisted_since = None
            new_marks.extend(self._marks_from_list(entry))
        for endpoint_id, entry in list(self._entries.items()):
            if endpoint_id not in listed:
                entry.unlisted_since = (
                    entry.unlisted_since if entry.unlisted_since is not None else now
                )
                if now - entry.unlisted_since > UNLISTED_RETENTION_S:
                    self._remove(endpoint_id)
        return new_marks

    def _marks_from_list(self, entry: _Entry) -> list[Mark]:
        if entry.instance.state != "leaving":
            entry.listed_leaving_for = None
            return []
        if entry.listed_leaving_for is not None:
            # The list lags: the entry may still describe the previous incarnation.
            return []
        entry.listed_leaving_for = entry.incarnation
        mark = Mark(entry.instance.id, entry.incarnation, "leaving")
        return [mark] if self.apply(mark) else []

    def report(self, load: Load) -> bool:
        """Records a load report; returns whether it was accepted.

        A report of an earlier or dead incarnation, or one older than the last, is dropped.
        """
        entry = self._entries.get(load.endpoint_id)
        if entry is None or load.incarnation in entry.past:
            return False
        if is_earlier_timed_start(load.incarnation, entry.incarnation):
            return False
        if self._has_mark(load.endpoint_id, load.incarnation, "dead"):
            return False
        if entry.load is not None and load.taken_at < entry.load.taken_at:
            return False
        if load.incarnation != entry.incarnation:
            self._replace(entry, load.incarnation)
        entry.load = load
        # The report includes what was dispatched before the engine measured the load.
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
        """Records a mark; returns whether it is new. Marks of an incarnation are never removed
        while its endpoint is listed."""
        if mark in self._marks and not self._expired(mark):
            return False
        self._marks[mark] = self._clock()
        entry = self._entries.get(mark.endpoint_id)
        if entry is not None and mark.kind == "dead" and mark.incarnation == entry.incarnation:
            entry.load = None
            entry.dispatches.clear()
        return True

    def marks(self) -> list[Mark]:
        """Returns the marks to send to other nodes.

        A mark of a replaced incarnation is left out after ``MARK_RESEND_S``; by then every node has
        received the new one.
        """
        since = self._clock() - MARK_RESEND_S
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
        """Records whether this node's own polls fail; peers do not share this state."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.unreachable = unreachable

    def add_dispatch(self, endpoint_id: str, tokens: int) -> None:
        """Counts work dispatched by this node until a later report includes it."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.dispatches.append((self._clock(), tokens))

    def remove_dispatch(self, endpoint_id: str, tokens: int) -> None:
        """Removes finished work of this node that no report includes yet."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        for dispatch in entry.dispatches:
            if dispatch[1] == tokens:
                entry.dispatches.remove(dispatch)
                return

    def endpoints(self, service: str | None, model: str | None = None) -> list[EndpointState]:
        """Returns the endpoints that are listed and not dead, sorted by id.

        :param service: one service, or ``None`` for all.
        :param model: one model, or ``None`` for all.
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
        return [entry.instance for entry in self._entries.values() if entry.unlisted_since is None]

    def _usable(self, entry: _Entry) -> bool:
        if entry.unlisted_since is not None or entry.unreachable:
            return False
        return not self._has_mark(entry.instance.id, entry.incarnation, "dead")

    def _state(self, entry: _Entry) -> EndpointState:
        instance, load = entry.instance, entry.load
        leaving = instance.state == "leaving" or self._has_mark(
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

    def _has_mark(self, endpoint_id: str, incarnation: str, kind: MarkKind) -> bool:
        mark = Mark(endpoint_id, incarnation, kind)
        return mark in self._marks and not self._expired(mark)

    def _expired(self, mark: Mark) -> bool:
        # A plain service has no incarnation, so no later report could replace one marked dead.
        expires = mark.kind == "dead" and not mark.incarnation
        return expires and self._clock() - self._marks[mark] > DEAD_MARK_TTL_S

    def _remove(self, endpoint_id: str) -> None:
        del self._entries[endpoint_id]
        self._marks = {
            mark: instant
            for mark, instant in self._marks.items()
            if mark.endpoint_id != endpoint_id
        }
