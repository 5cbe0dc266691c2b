"""An engine on a virtual clock.

In each step every running request makes one token, and a chunk of the waiting prompts is read.
Requests wait by urgency, then by age. When memory runs out, the newest of the least urgent requests
is preempted: it loses its memory and is read again.
"""

import heapq
from collections.abc import Callable
from itertools import count

from arbutustally.gateway.requests import PromptPart
from bench.engines.experiment import MS, EngineSizes
from bench.engines.jobs import Job, Rejection
from bench.engines.links import Link
from bench.engines.loads import LoadPool
from bench.engines.memory import BlockMemory, PartKey, ReadParts, Watcher
from bench.replay.loop import EventLoop

#: Time after which a request learns that the source of its parts is gone, seconds.
DEAD_SOURCE_S = 0.3
#: Time after which a request learns that the source of its parts lacks them, seconds.
MISS_S = 0.001


class Engine:
    """One engine; ``incarnation`` grows with each start.

    :param read_parts: notes what the engines of the site read.
    :param watch: hears which parts are stored and dropped.
    :ivar read_tokens: prompt tokens that were read, those read again after a preemption included.
    :ivar preemptions: requests that lost their memory.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        sizes: EngineSizes,
        loop: EventLoop,
        loads: LoadPool,
        read_parts: ReadParts,
        watch: Watcher | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        queues_at_both = sizes.transfers_queue == "both"
        self.link = Link(loop.clock, sizes.transfer_tokens_per_s, zone, queues_at_both)
        self.version = 1
        self.incarnation = 1
        self.is_up = True
        self.is_dark = False
        self.is_loading = False
        self.slow_factor = 1.0
        self.read_tokens = 0
        self.preemptions = 0
        self._sizes = sizes
        self._loop = loop
        self._loads = loads
        self._read_parts = read_parts
        self._watch = watch
        self._orders = count(1)
        self._admissions = count(1)
        self._reset()

    def _reset(self) -> None:
        self._loaded: Callable[[], None] | None = None
        self.memory = BlockMemory(self._sizes.kv_tokens, self._sizes.block_tokens, self._watch)
        self._arriving: set[Job] = set()
        self._waiting: list[tuple[int, int, Job]] = []
        self._reading: list[Job] = []
        self._running: set[Job] = set()
        self._due: list[tuple[int, int, Job, int]] = []
        self._step_number = 0
        self._context = 0
        self._is_stepping = False

    @property
    def num_waiting(self) -> int:
        """Returns the requests that wait for a slot."""
        return sum(1 for *_key, job in self._waiting if not job.is_over)

    @property
    def num_running(self) -> int:
        """Returns the requests that have a slot."""
        return len(self._reading) + len(self._running)

    def submit(self, job: Job) -> None:
        """Takes a request; its listener hears what becomes of it."""
        if self.is_dark:
            return
        rejection = self._rejection(job)
        if rejection is not None:
            pause_s = self._sizes.retry_after_ms * MS if rejection is Rejection.FULL else 0.0
            job.is_over = True
            job.listener.rejected(rejection, pause_s, self.version)
            return
        job.order = next(self._orders)
        self._arriving.add(job)
        incarnation = self.incarnation
        self._loop.after(
            self._sizes.first_ms * MS + self._fetch(job), lambda: self._arrive(job, incarnation)
        )

    def cancel(self, job: Job) -> None:
        """Drops a request whose connection was closed."""
        if job.is_over:
            return
        job.is_over = True
        self._arriving.discard(job)
        if job.is_active:
            self._remove(job)
        self._check_load()

    def crash(self) -> None:
        """Ends the engine; connections break off."""
        jobs = self._all_jobs()
        self.is_up = False
        self.is_loading = False
        self.incarnation += 1
        self._reset()
        for job in jobs:
            job.is_over = True
            job.listener.broken()

    def restart(self) -> None:
        """Starts the engine again without any memory, with the weights that it had."""
        self.is_up = True

    def go_dark(self) -> None:
        """Cuts the engine off: nothing is answered, and requests on it are lost unheard."""
        for job in self._all_jobs():
            self.cancel(job)
        self.is_dark = True

    def come_back(self) -> None:
        """Ends the darkness."""
        self.is_dark = False

    def load(self, version: int, loaded: Callable[[], None]) -> bool:
        """Loads new weights once what runs has ended; returns whether the order was accepted."""
        if not self.is_up or self.is_dark or self.is_loading or version <= self.version:
            return False
        self.is_loading = True
        waiting = [job for *_key, job in self._waiting if not job.is_over]
        for job in [*waiting, *sorted(self._arriving, key=_by_order)]:
            job.is_over = True
            job.listener.rejected(Rejection.LOADING, 0.0, self.version)
        self._arriving.clear()
        self._waiting.clear()
        incarnation = self.incarnation

        def finish() -> None:
            if self.incarnation != incarnation:
                return
            self.version = version
            self.is_loading = False
            self.memory.clear_cached()
            loaded()

        self._loaded = finish
        self._check_load()
        return True

    def _check_load(self) -> None:
        if self._loaded is not None and self.is_loading and not self.num_running:
            finish, self._loaded = self._loaded, None
            self._loads.begin(finish)

    def _all_jobs(self) -> list[Job]:
        waiting = [job for *_key, job in self._waiting if not job.is_over]
        return [*self._reading, *sorted(self._running, key=_by_order), *waiting] + sorted(
            self._arriving, key=_by_order
        )

    def _rejection(self, job: Job) -> Rejection | None:
        if not self.is_up:
            return Rejection.UNREACHABLE
        if job.version != self.version:
            return Rejection.OTHER_WEIGHTS
        if self.is_loading:
            return Rejection.LOADING
        open_jobs = self.num_running + self.num_waiting + len(self._arriving)
        has_room = open_jobs < self._sizes.slots + self._sizes.queue
        if not has_room or not self.memory.fits(job.prompt_tokens + job.output_tokens):
            return Rejection.FULL
        return None

    def _fetch(self, job: Job) -> float:
        """Begins to fetch parts from elsewhere; returns how long that takes in seconds."""
        source = job.fetch_from
        if source is None:
            return 0.0
        if source.memory is None:
            return DEAD_SOURCE_S
        mine = self._tokens_of(job.parts, job.scope, self.memory)
        theirs = self._tokens_of(job.parts, job.scope, source.memory)
        if theirs <= mine:
            return MISS_S
        seconds = source.link.send(self.link, theirs - mine)
        if seconds is None:
            return MISS_S
        job.fetched = theirs
        return seconds + self._sizes.setup_ms * MS

    def _tokens_of(self, parts: tuple[PromptPart, ...], scope: str, memory: BlockMemory) -> int:
        return sum(memory.held_of(key) for key in memory.leading(scope, parts))

    def _arrive(self, job: Job, incarnation: int) -> None:
        if job.is_over or incarnation != self.incarnation:
            return
        self._arriving.discard(job)
        heapq.heappush(self._waiting, (job.priority, job.order, job))
        self._start_step()

    def _start_step(self) -> None:
        if self._is_stepping:
            return
        self._admit()
        if not (self._reading or self._running):
            return
        self._is_stepping = True
        read, work_ms = self._plan_reading()
        sizes = self._sizes
        step_ms = sizes.step_ms + sizes.step_ms_per_slot * len(self._running)
        step_ms += sizes.context_ms_per_k * self._context / 1000 + work_ms
        incarnation = self.incarnation
        self._loop.after(step_ms * MS * self.slow_factor, lambda: self._end_step(read, incarnation))

    def _plan_reading(self) -> tuple[list[tuple[Job, int]], float]:
        """Returns what the step reads of which prompt, and how long that takes in ms."""
        left = self._sizes.chunk_tokens
        work_ms = 0.0
        read = []
        for job in self._reading:
            tokens = min(left, job.unread)
            before = job.context - job.unread
            work_ms += tokens / self._sizes.prefill_tokens_per_ms
            work_ms += tokens * before / 1e6 * self._sizes.pairs_ms_per_m
            read.append((job, tokens))
            left -= tokens
            if not left:
                break
        return read, work_ms

    def _end_step(self, read: list[tuple[Job, int]], incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self._is_stepping = False
        self._step_number += 1
        self._context += len(self._running)
        for job, tokens in read:
            if job.is_active and job in self._reading:
                job.unread -= tokens
                self.read_tokens += tokens
                if not job.unread:
                    self._begin_run(job)
        while self._due and self._due[0][0] <= self._step_number:
            *_when, job, admitted = heapq.heappop(self._due)
            if job.is_active and job.admitted == admitted:
                self._make(job)
        self._check_load()
        self._start_step()

    def _admit(self) -> None:
        while self._waiting:
            job = self._waiting[0][2]
            if not job.is_over and not self._take_room(job):
                return
            heapq.heappop(self._waiting)
            if not job.is_over:
                job.is_active = True
                job.admitted = next(self._admissions)
                self._reading.append(job)

    def _take_room(self, job: Job) -> bool:
        """Gives a request a slot and memory; less urgent requests make room."""
        while True:
            if self.num_running < self._sizes.slots and self._take_memory(job):
                return True
            victim = self._victim()
            if victim is None or victim.priority <= job.priority:
                return False
            self._preempt(victim)

    def _take_memory(self, job: Job) -> bool:
        used = self.memory.leading(job.scope, job.parts)
        cached = sum(self.memory.held_of(key) for key in used)
        missing = job.context - cached
        self.memory.hold(used)
        blocks = self.memory.blocks(missing)
        if not self.memory.take(blocks):
            self.memory.release(used)
            return False
        job.used, job.private, job.cached = used, blocks, cached
        # The last token is computed in any case.
        job.had = max(cached, job.fetched)
        job.unread = max(1, job.context - job.had)
        job.fetched = 0
        return True

    def _begin_run(self, job: Job) -> None:
        """Makes the read parts available to others and the first token."""
        self._reading.remove(job)
        self._running.add(job)
        self._context += job.context
        self._note_read(job)
        kept = 0
        for part in job.parts[len(job.used) :]:
            key = PartKey(job.scope, part.id)
            blocks = self.memory.keep(key, part.tokens)
            if not blocks:
                break
            job.private -= blocks
            kept += blocks * self._sizes.block_tokens
            job.used.append(key)
        job.loose = job.context - job.cached - kept
        job.made_at_read = job.made
        self._save(job)
        job.made += 1
        self._context += 1
        self._tell(job)

    def _note_read(self, job: Job) -> None:
        end = 0
        for part in job.parts:
            end += part.tokens
            if end > job.had:
                key = PartKey(job.scope, part.id)
                self._read_parts.note(key, min(part.tokens, end - job.had))

    def _make(self, job: Job) -> None:
        """Makes the tokens of one event."""
        made = min(job.made + self._sizes.stride_tokens, job.output_tokens)
        needed = self.memory.blocks(job.loose + made - job.made_at_read)
        while needed > job.private:
            if self.memory.take(needed - job.private):
                job.private = needed
                break
            victim = self._victim()
            self._preempt(victim)
            if victim is job:
                return
        job.made = made
        self._tell(job)

    def _tell(self, job: Job) -> None:
        is_complete = job.made >= job.output_tokens
        if is_complete:
            job.is_over = True
            self._remove(job)
        else:
            tokens = min(self._sizes.stride_tokens, job.output_tokens - job.made)
            entry = (self._step_number + tokens, job.order, job, job.admitted)
            heapq.heappush(self._due, entry)
        job.listener.progressed(job.made, is_complete)

    def _victim(self) -> Job | None:
        """Returns the newest of the least urgent requests in slots."""
        jobs = [*self._reading, *self._running]
        return max(jobs, key=lambda job: (job.priority, job.admitted), default=None)

    def _preempt(self, job: Job) -> None:
        self.preemptions += 1
        self._remove(job)
        heapq.heappush(self._waiting, (job.priority, job.order, job))

    def _remove(self, job: Job) -> None:
        """Takes a request out of its slot and its memory back."""
        job.is_active = False
        if job in self._running:
            self._running.discard(job)
            self._context -= job.context
        else:
            self._reading.remove(job)
        self.memory.give_back(job.private)
        self.memory.release(job.used)
        job.private, job.used = 0, []

    def _save(self, job: Job) -> None:
        """Sends the shared parts of a prompt to a store."""
        store = job.save_to
        if store is None or store.memory is None:
            return
        shared = job.parts[:-1]
        new = [part for part in shared if not store.memory.held_of(PartKey(job.scope, part.id))]
        seconds = self.link.send(store.link, sum(part.tokens for part in new)) if new else None
        if seconds is None:
            return

        def arrive() -> None:
            for part in new:
                store.memory.store(PartKey(job.scope, part.id), part.tokens)

        self._loop.after(seconds, arrive)


def _by_order(job: Job) -> int:
    return job.order
