"""Service ``fairness``: queues requests in the fair queue of their class and pool."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from gevent import sleep, spawn
from gevent.event import Event

from arbutustally.clock import Clock, monotonic
from arbutustally.endpoint_load import DEFAULT_PREFILL_TOKENS_PER_S
from arbutustally.fairness import (
    MIN_COMPUTED_SHARE,
    SHED,
    FairQueue,
    QueueLimits,
    Ticket,
    TicketState,
)
from arbutustally.logs import get_logger
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options

#: Interval in seconds at which queue limits are updated from the load of the endpoints.
REFRESH_S = 0.1

_PoolKey = tuple[str, str, str]


class Admission:
    """A slot in the pool; released by ``started`` or on leaving the context.

    :param queue: queue that admitted the request.
    :param ticket: ticket of the request in this queue.
    """

    def __init__(self, queue: FairQueue, ticket: Ticket) -> None:
        self._queue = queue
        self._ticket = ticket

    @property
    def priority(self) -> int:
        """Returns the engine priority of the class; lower values run first."""
        return self._queue.limits.priority

    def started(self) -> None:
        """Releases the slot: the engine has sent the first token, so the prefill is over."""
        self._queue.release(self._ticket)


class AdmissionService:
    """Fair queues by (class, service, model).

    :param kernel: finds ``log``, ``membership``, ``placement`` and ``metrics``.
    :param clock: monotonic seconds.
    """

    def __init__(self, kernel: Kernel, clock: Clock = monotonic) -> None:
        self._kernel = kernel
        self._clock = clock
        self._queues: dict[_PoolKey, FairQueue] = {}
        self._greenlet: Any = None
        self._log = get_logger("admission")

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "AdmissionService":
        """Builds the service; its limits come from the declarations."""
        return cls(kernel)

    def start(self) -> None:
        """Starts updating the queue limits from the load of the endpoints."""
        self._greenlet = spawn(self._refresh)

    def stop(self) -> None:
        """Stops the updates; waiting requests reach their deadline."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    @contextmanager
    def admit(
        self,
        account: str,
        class_name: str,
        tokens: float,
        trace: Any,
        service: str = "",
        model: str = "",
    ) -> Iterator[Admission]:
        """Waits for a slot in the pool.

        :param tokens: tokens to prefill.
        :param trace: trace of the request, or ``None``.
        :param service: service of the pool's endpoints.
        :param model: model of the pool's endpoints, empty for a plain service.
        :raises OverloadedError: if the request is shed before any work has begun.
        """
        pool = (class_name, service, model)
        queue = self._queue(pool)
        changed = Event()
        began = self._clock()
        deadline = began + queue.limits.wait_s
        try:
            ticket = queue.submit(account, tokens, deadline, changed.set)
            self._wait(queue, ticket, changed)
        except Exception:
            self._kernel.lookup("metrics").count(SHED)
            raise
        if trace is not None:
            trace.note(
                "admission",
                waited_s=round(self._clock() - began, 4),
                priority=queue.limits.priority,
                derivation=queue.limits.explain(),
            )
        try:
            yield Admission(queue, ticket)
        finally:
            queue.release(ticket)

    def _wait(self, queue: FairQueue, ticket: Ticket, changed: Event) -> None:
        try:
            if ticket.state is TicketState.WAITING:
                changed.wait(timeout=max(0.0, ticket.deadline - self._clock()))
            queue.expire()
            if ticket.state is not TicketState.ADMITTED:
                raise queue.refusal(ticket)
        except BaseException:
            # A caller that disconnects kills the greenlet while it waits.
            queue.release(ticket)
            raise

    def _queue(self, pool: _PoolKey) -> FairQueue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = FairQueue(self._clock, self._limits(pool, 0.0), self._weights())
            self._queues[pool] = queue
        return queue

    def _weights(self) -> dict[str, float]:
        accounts = self._kernel.lookup("log").state.declarations.accounts
        return {name: account.rate for name, account in accounts.items()}

    def _limits(self, pool: _PoolKey, own: float) -> QueueLimits:
        class_name, service, model = pool
        target = self._kernel.lookup("log").state.declarations.classes[class_name]
        membership = self._kernel.lookup("membership")
        endpoints = membership.endpoints(service, model or None)
        nodes = max(len(membership.nodes()), 1)
        speed = self._speed([entry.id for entry in endpoints])
        reported = sum(entry.queued_tokens for entry in endpoints)
        share = self._kernel.lookup("placement").computed_share if model else 1.0
        limits = QueueLimits.from_config(target, len(endpoints), speed, share)
        return limits.for_node(max(reported / max(share, MIN_COMPUTED_SHARE) - own, 0.0), nodes)

    def _speed(self, endpoints: list[str]) -> float:
        """Returns the mean prefill speed of endpoints in tokens/s."""
        if not endpoints:
            return DEFAULT_PREFILL_TOKENS_PER_S
        placement = self._kernel.lookup("placement")
        return sum(placement.prefill_speed(entry) for entry in endpoints) / len(endpoints)

    def _refresh(self) -> None:
        while True:
            sleep(REFRESH_S)
            for pool, queue in list(self._queues.items()):
                try:
                    queue.configure(self._limits(pool, queue.in_flight), self._weights())
                    queue.expire()
                except (KeyError, LookupError) as error:
                    # The class was removed from the declarations; its queue keeps its last limits.
                    self._log.debug("queue bounds not refreshed", pool=pool, error=str(error))
