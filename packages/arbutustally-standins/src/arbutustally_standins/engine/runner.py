"""Drives the engine model with the monotonic clock and keeps the streams of its requests."""

import uuid
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.event import Event

from arbutustally.clock import Clock
from arbutustally_standins.cache_events import CacheEvents
from arbutustally_standins.engine.faults import EngineFaults, RuleBook
from arbutustally_standins.engine.options import EngineOptions
from arbutustally_standins.engine_model import EngineModel
from arbutustally_standins.engine_types import (
    EVICTED,
    FINISHED,
    FIRST_TOKEN,
    STORED,
    TOKEN,
    EngineEvent,
    ModelRequest,
    Ticket,
)
from arbutustally_standins.faults import FaultSwitch

_IDLE_WAIT_S = 0.5


@dataclass(frozen=True)
class StreamPlan:
    """What one request will generate.

    :ivar route: ``chat`` or ``completions``.
    :ivar tokens: output in order, beginning at ``first_index``.
    :ivar first_index: number of the first token, above 0 for a continuation.
    :ivar prompt_tokens: tokens of the prompt without continued output.
    :ivar finish_reason: ``length`` or ``stop``.
    """

    request_id: str
    route: str
    version: str
    tokens: tuple[str, ...]
    first_index: int
    prompt_tokens: int
    finish_reason: str


class Stream:
    """The output of one request, read by any number of connections."""

    def __init__(self, plan: StreamPlan, ticket: Ticket, incarnation: str, now: float) -> None:
        self.plan = plan
        self.ticket = ticket
        self.incarnation = incarnation
        self.emitted = 0
        self.lost = False
        self.readers = 0
        self.unread_since = now
        self._changed = Event()

    @property
    def finished(self) -> bool:
        """Returns whether all tokens were generated."""
        return self.emitted == len(self.plan.tokens)

    @property
    def tail(self) -> int:
        """Returns the number of the next token to be generated."""
        return self.plan.first_index + self.emitted

    @property
    def end(self) -> int:
        """Returns the number of tokens of the whole answer, continued ones included."""
        return self.plan.first_index + len(self.plan.tokens)

    def add_token(self) -> None:
        """Notes that the next token was generated."""
        self.emitted += 1
        self._wake()

    def lose(self) -> None:
        """Ends the stream without its remaining tokens."""
        self.lost = True
        self._wake()

    def tokens(self, start: int) -> Iterator[tuple[int, str]]:
        """Yields numbered tokens from one on as they are generated; ends early when lost."""
        for index in range(start, self.end):
            while index >= self.tail and not self.lost:
                self._changed.wait()
            if index >= self.tail:
                return
            yield index, self.plan.tokens[index - self.plan.first_index]

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()


class Runner:
    """Runs one engine.

    :param switch: the present faults.
    """

    def __init__(
        self, options: EngineOptions, switch: FaultSwitch[EngineFaults], clock: Clock
    ) -> None:
        self._options = options
        self._switch = switch
        self._clock = clock
        self.model = EngineModel.from_config(options.model, clock, _random_incarnation)
        self.rules = RuleBook(clock, options.seed)
        self.events = CacheEvents(clock, options.seed)
        self.counts: Counter[str] = Counter()
        self._streams: dict[str, Stream] = {}
        self._by_ticket: dict[Ticket, Stream] = {}
        self._wake = Event()
        self._greenlet: gevent.Greenlet | None = None
        switch.on_change(self._wake.set)

    def start(self) -> None:
        """Begins to run steps."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Runs on until every stream has ended, as a graceful shutdown does."""
        gevent.spawn(self._finish)

    def submit(self, request: ModelRequest, plan: StreamPlan) -> Stream:
        """Queues a request.

        :raises VersionNotLoadedError: if its version is not loaded.
        """
        ticket = self.model.submit(request)
        stream = Stream(plan, ticket, self.model.incarnation, self._clock())
        self._streams[plan.request_id] = stream
        self._by_ticket[ticket] = stream
        self._wake.set()
        return stream

    def stream(self, request_id: str) -> Stream | None:
        """Returns a stream that can be read or resumed."""
        return self._streams.get(request_id)

    def other_stream(self, request_id: str) -> Stream | None:
        """Returns the newest stream of another request."""
        others = [s for s in self._streams.values() if s.plan.request_id != request_id]
        return others[-1] if others else None

    def cancel(self, request_id: str) -> bool:
        """Ends a request and drops its stream."""
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return False
        if not stream.finished:
            self.counts["cancelled"] += 1
        self._by_ticket.pop(stream.ticket, None)
        self.model.cancel(stream.ticket)
        stream.lose()
        return True

    def restart(self) -> None:
        """Loses all work and the cache, and begins a new incarnation."""
        self.model.restart()
        self.events.clear()
        for stream in list(self._streams.values()):
            stream.lose()
        self._streams.clear()
        self._by_ticket.clear()
        self.counts["restarts"] += 1
        self._wake.set()

    def load(self, version: str) -> None:
        """Makes a version available whose weights have arrived."""
        self.model.load(version, 0.0)
        self._wake.set()

    def _finish(self) -> None:
        while any(not stream.finished for stream in self._by_ticket.values()):
            gevent.sleep(_IDLE_WAIT_S / 10)
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            self._apply_slowness()
            for event in self.model.advance_to(self._clock()):
                self._handle(event)
            self._drop_unread()
            due = self.model.next_event_at()
            wait_s = _IDLE_WAIT_S if due is None else due - self._clock()
            self._wake.wait(timeout=max(0.0, min(wait_s, _IDLE_WAIT_S)))
            self._wake.clear()

    def _apply_slowness(self) -> None:
        faults = self._switch.now
        self.rules.replace(faults.rules)
        self.model.set_slow_factor(faults.slow_factor)
        factors = self.rules.slow_factors(self.model.versions, self.model.running)
        for version, factor in factors.items():
            self.model.set_slow_factor(factor, version)

    def _handle(self, event: EngineEvent) -> None:
        if event.kind in (STORED, EVICTED):
            self.events.add(event.kind, event.blocks, self._switch.now.event_loss)
            self.counts[f"blocks_{event.kind}"] += len(event.blocks)
            return
        stream = self._by_ticket.get(event.ticket) if event.ticket else None
        if stream is None:
            return
        if event.kind == FIRST_TOKEN:
            self._count_prefill(stream.ticket)
        if event.kind in (FIRST_TOKEN, TOKEN):
            stream.add_token()
            self.counts["output_tokens"] += 1
        if event.kind == FINISHED:
            self.counts["finished"] += 1
            self._by_ticket.pop(stream.ticket, None)

    def _count_prefill(self, ticket: Ticket) -> None:
        held = ticket.cached_tokens + ticket.imported_tokens
        self.counts["prompt_tokens"] += ticket.request.prompt_tokens
        self.counts["cached_tokens"] += ticket.cached_tokens
        self.counts["imported_tokens"] += ticket.imported_tokens
        self.counts["prefill_tokens"] += ticket.request.prompt_tokens - held

    def _drop_unread(self) -> None:
        """Cancels streams that nobody has read for the time for which they are kept."""
        limit = self._clock() - self._options.keep_s
        for request_id, stream in list(self._streams.items()):
            if not stream.readers and stream.unread_since < limit:
                self.cancel(request_id)


def _random_incarnation(_restarts: int) -> str:
    return uuid.uuid4().hex[:16]
