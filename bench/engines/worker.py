"""A worker of a plain service: slots, a short queue, and one time for each request."""

from collections import deque

from bench.engines.jobs import JobListener, Rejection
from bench.replay.loop import EventLoop


class WorkerJob:
    """One request at a worker.

    :ivar work_s: time that it takes in a slot.
    """

    def __init__(self, listener: JobListener, work_s: float) -> None:
        self.listener = listener
        self.work_s = work_s
        self.is_over = False
        self.has_slot = False


class Worker:
    """One worker; it rejects what neither a slot nor the queue has room for."""

    def __init__(self, name: str, zone: str, slots: int, queue: int, loop: EventLoop) -> None:
        self.name = name
        self.zone = zone
        self._slots = slots
        self._queue = queue
        self._loop = loop
        self._busy = 0
        self._waiting: deque[WorkerJob] = deque()

    def submit(self, job: WorkerJob) -> None:
        """Takes a request."""
        waiting = sum(1 for entry in self._waiting if not entry.is_over)
        if self._busy >= self._slots and waiting >= self._queue:
            job.is_over = True
            job.listener.rejected(Rejection.FULL, 0.0, 0)
            return
        self._waiting.append(job)
        self._begin()

    def cancel(self, job: WorkerJob) -> None:
        """Drops a request whose connection was closed."""
        if job.is_over:
            return
        job.is_over = True
        if job.has_slot:
            self._busy -= 1
            self._begin()

    def _begin(self) -> None:
        while self._waiting and self._busy < self._slots:
            job = self._waiting.popleft()
            if not job.is_over:
                job.has_slot = True
                self._busy += 1
                self._loop.after(job.work_s, lambda job=job: self._end(job))

    def _end(self, job: WorkerJob) -> None:
        if job.is_over:
            return
        job.is_over = True
        self._busy -= 1
        job.listener.progressed(1, True)
        self._begin()
