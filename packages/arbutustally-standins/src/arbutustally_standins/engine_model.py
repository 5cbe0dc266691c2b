"""Queue, continuous batching and prefix cache of an engine on a given clock.

The engine process drives the model with the monotonic clock, a replay with a virtual one. The
model is deterministic and never sleeps: ``advance_to`` returns what has happened up to an instant.
"""

import heapq
from collections.abc import Callable

from arbutustally.clock import Clock
from arbutustally_standins.block_cache import BlockCache
from arbutustally_standins.engine_types import (
    EVICTED,
    FINISHED,
    FIRST_TOKEN,
    LOADED,
    STARTED,
    STORED,
    TOKEN,
    EngineEvent,
    EngineModelOptions,
    LoadReport,
    ModelRequest,
    Ticket,
    VersionNotLoadedError,
)
from arbutustally_standins.tokens import BLOCK_TOKENS, PIECE_TOKENS

__all__ = [
    "EngineEvent",
    "EngineModel",
    "EngineModelOptions",
    "LoadReport",
    "ModelRequest",
    "Ticket",
    "VersionNotLoadedError",
]


class EngineModel:
    """One engine.

    :param clock: monotonic seconds; events never lie after it.
    :param name_incarnation: names the run after a number of restarts; the default is
        ``engine/number``.
    """

    def __init__(
        self,
        options: EngineModelOptions,
        clock: Clock,
        name_incarnation: Callable[[int], str] | None = None,
    ) -> None:
        self._options = options
        self._name_incarnation = name_incarnation or self._numbered
        self._clock = clock
        self._cache = BlockCache(options.cache_blocks)
        self._versions = list(options.versions)
        self._slow_factor = 1.0
        self._version_slow: dict[str, float] = {}
        self._restarts = -1
        self._arrivals = 0
        self._events: list[EngineEvent] = []
        self.restart()

    @classmethod
    def from_config(
        cls,
        options: EngineModelOptions,
        clock: Clock,
        name_incarnation: Callable[[int], str] | None = None,
    ) -> "EngineModel":
        """Builds an engine with an empty cache and the declared versions loaded."""
        return cls(options, clock, name_incarnation)

    @property
    def options(self) -> EngineModelOptions:
        """Returns the engine's speeds and sizes."""
        return self._options

    @property
    def incarnation(self) -> str:
        """Returns the identity of this run, new after each restart."""
        return self._incarnation

    @property
    def versions(self) -> tuple[str, ...]:
        """Returns the loaded versions, the oldest load first."""
        return tuple(self._versions)

    @property
    def cache(self) -> BlockCache:
        """Returns the prefix cache."""
        return self._cache

    @property
    def running(self) -> int:
        """Returns the number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Returns the number of queued requests."""
        return sum(1 for *_, ticket in self._queue if not ticket.cancelled)

    def submit(self, request: ModelRequest) -> Ticket:
        """Queues a request at the present instant.

        :raises VersionNotLoadedError: if its version is not loaded.
        """
        version = request.version or (self._versions[0] if self._versions else "")
        if version not in self._versions:
            raise VersionNotLoadedError(f"version {version!r} is not loaded; order a load first")
        ticket = Ticket(request, version, self._clock(), request.prompt_tokens)
        self._arrivals += 1
        heapq.heappush(self._queue, (request.priority, self._arrivals, ticket))
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Ends a request; it emits nothing more."""
        ticket.cancelled = True
        if ticket in self._running:
            self._running.remove(ticket)

    def lookup(self, blocks: tuple[bytes, ...]) -> int:
        """Returns how many leading prompt tokens of a chain are cached."""
        return self._cache.match(blocks) * BLOCK_TOKENS

    def store(self, blocks: tuple[bytes, ...]) -> None:
        """Puts blocks into the cache, as after an import."""
        self._store(blocks, self._clock())

    def load(self, version: str, duration_s: float | None = None) -> None:
        """Starts to load a version.

        :param duration_s: time that it takes, the option ``load_s`` by default.
        """
        duration = self._options.load_s if duration_s is None else duration_s
        if version not in self._versions:
            self._loads.setdefault(version, self._clock() + duration)

    def unload(self, version: str) -> None:
        """Drops a version; requests that run on it finish."""
        self._loads.pop(version, None)
        if version in self._versions:
            self._versions.remove(version)

    def set_slow_factor(self, factor: float, version: str | None = None) -> None:
        """Multiplies step durations, of all steps or of those with requests of one version."""
        if version is None:
            self._slow_factor = factor
        else:
            self._version_slow[version] = factor

    def restart(self) -> list[Ticket]:
        """Begins a new incarnation with an empty cache; loaded versions stay.

        :returns: requests that were lost.
        """
        lost = []
        if self._restarts >= 0:
            lost = self._running + [ticket for *_, ticket in sorted(self._queue)]
        for ticket in lost:
            ticket.cancelled = True
        self._restarts += 1
        self._incarnation = self._name_incarnation(self._restarts)
        self._cache.clear()
        self._queue: list[tuple[int, int, Ticket]] = []
        self._running: list[Ticket] = []
        self._loads: dict[str, float] = {}
        self._events.clear()
        self._step_end: float | None = None
        self._free_at = self._clock()
        self._report: LoadReport | None = None
        return lost

    def load_report(self) -> LoadReport:
        """Returns the last sampled load; it is refreshed once older than ``report_lag_s``."""
        now = self._clock()
        report = self._report
        if report is None or now - report.sampled_at >= self._options.report_lag_s:
            report = self._sample(now)
            self._report = report
        return report

    def next_event_at(self) -> float | None:
        """Returns when the next step or load ends, ``None`` while idle."""
        self._begin()
        instants = list(self._loads.values())
        if self._step_end is not None:
            instants.append(self._step_end)
        return min(instants, default=None)

    def step(self) -> list[EngineEvent]:
        """Runs to the end of the next step or load, for use with a virtual clock.

        The caller moves its clock to ``next_event_at`` first.
        """
        instant = self.next_event_at()
        return self._take_events() if instant is None else self.advance_to(instant)

    def advance_to(self, instant: float) -> list[EngineEvent]:
        """Returns everything that happened up to an instant, in order of time."""
        while True:
            due = self.next_event_at()
            if due is None or due > instant:
                return self._take_events()
            self._finish_loads(due)
            if self._step_end == due:
                self._end_step()

    def _numbered(self, restarts: int) -> str:
        return f"{self._options.engine}/{restarts}"

    def _take_events(self) -> list[EngineEvent]:
        events, self._events = self._events, []
        return events

    def _emit(self, kind: str, at: float, ticket: Ticket | None = None, index: int = -1) -> None:
        self._events.append(EngineEvent(kind, at, ticket, index))

    def _finish_loads(self, at: float) -> None:
        for version, due in sorted(self._loads.items()):
            if due <= at:
                del self._loads[version]
                self._versions.append(version)
                self._events.append(EngineEvent(LOADED, due, version=version))

    def _begin(self) -> None:
        """Starts a step unless one runs or there is no work."""
        if self._step_end is not None:
            return
        self._drop_cancelled()
        if not self._running and not self._queue:
            return
        start = self._free_at
        if not self._running:
            start = max(start, min(ticket.submitted_at for *_, ticket in self._queue))
        self._admit(start)
        import_s = self._plan_prefill()
        decoding = [ticket for ticket in self._running if ticket.prefill_left == 0]
        self._decoding = decoding
        duration = import_s + sum(self._prefill.values()) / self._options.prefill_tokens_per_s
        if decoding:
            duration += self._options.decode_step_s
            duration += self._options.decode_per_request_s * len(decoding)
        self._step_end = start + duration * self._factor()

    def _drop_cancelled(self) -> None:
        if any(entry[2].cancelled for entry in self._queue):
            self._queue = [entry for entry in self._queue if not entry[2].cancelled]
            heapq.heapify(self._queue)

    def _factor(self) -> float:
        factors = [self._version_slow.get(ticket.version, 1.0) for ticket in self._running]
        return self._slow_factor * max(factors, default=1.0)

    def _admit(self, start: float) -> None:
        """Moves requests into the batch while it has room."""
        while len(self._running) < self._options.max_batch:
            entry = self._pop_submitted(start)
            if entry is None:
                break
            ticket = entry[2]
            ticket.started_at = start
            self._running.append(ticket)
            self._emit(STARTED, start, ticket)

    def _pop_submitted(self, start: float) -> tuple[int, int, Ticket] | None:
        """Takes the first request in order of priority that was submitted by an instant.

        The first of the queue may have come later than one of lower priority; a step that admits
        neither would take no time and be repeated for ever.
        """
        if self._queue and self._queue[0][2].submitted_at <= start:
            return heapq.heappop(self._queue)
        submitted = [entry for entry in self._queue if entry[2].submitted_at <= start]
        if not submitted:
            return None
        entry = min(submitted)
        self._queue.remove(entry)
        heapq.heapify(self._queue)
        return entry

    def _plan_prefill(self) -> float:
        """Shares the prefill of one step out; returns the time that imports take."""
        left = self._options.prefill_chunk_tokens
        import_s = 0.0
        self._prefill: dict[Ticket, int] = {}
        for ticket in self._running:
            if left == 0:
                break
            if ticket.cached_tokens < 0:
                import_s += self._match(ticket)
            part = min(left, ticket.prefill_left)
            if part > 0:
                self._prefill[ticket] = part
                left -= part
        return import_s

    def _match(self, ticket: Ticket) -> float:
        """Finds the cached prefix of a request; returns the time that its import takes.

        This is done when the prefill begins, so a request finds what those before it computed.
        """
        request = ticket.request
        matched = self._cache.match(request.blocks)
        self._cache.touch(request.blocks[:matched])
        # The last prompt token is always computed, since its output begins the answer.
        limit = request.prompt_tokens - 1
        ticket.cached_tokens = min(matched * BLOCK_TOKENS, limit)
        held = min(max(matched, request.import_blocks) * BLOCK_TOKENS, limit)
        ticket.imported_tokens = held - ticket.cached_tokens
        ticket.prefill_left = request.prompt_tokens - held
        return -(-ticket.imported_tokens // PIECE_TOKENS) * self._options.import_piece_s

    def _end_step(self) -> None:
        at = self._step_end or 0.0
        self._step_end = None
        self._free_at = at
        for ticket, part in self._prefill.items():
            ticket.prefill_left -= part
            if ticket.prefill_left == 0 and not ticket.cancelled:
                self._store(ticket.request.blocks, at)
                self._emit_token(ticket, at)
        for ticket in self._decoding:
            if not ticket.cancelled:
                self._emit_token(ticket, at)

    def _emit_token(self, ticket: Ticket, at: float) -> None:
        if ticket.first_token_at is None:
            ticket.first_token_at = at
        kind = FIRST_TOKEN if ticket.emitted == 0 else TOKEN
        self._emit(kind, at, ticket, ticket.emitted)
        ticket.emitted += 1
        if ticket.emitted >= ticket.request.output_tokens:
            self._finish(ticket, at)

    def _finish(self, ticket: Ticket, at: float) -> None:
        ticket.finished_at = at
        self._running.remove(ticket)
        if self._options.cache_output:
            self._store(ticket.request.blocks + ticket.request.output_blocks, at)
        self._emit(FINISHED, at, ticket, ticket.emitted - 1)

    def _store(self, blocks: tuple[bytes, ...], at: float) -> None:
        stored, evicted = self._cache.store(blocks)
        if stored:
            self._events.append(EngineEvent(STORED, at, blocks=tuple(stored)))
        if evicted:
            self._events.append(EngineEvent(EVICTED, at, blocks=tuple(evicted)))

    def _sample(self, now: float) -> LoadReport:
        waiting = [ticket for *_, ticket in self._queue if not ticket.cancelled]
        tokens = sum(ticket.prefill_left for ticket in self._running + waiting)
        return LoadReport(
            self._options.engine,
            self._incarnation,
            self._options.model,
            self.versions,
            tokens,
            len(self._running),
            len(waiting),
            now,
        )
