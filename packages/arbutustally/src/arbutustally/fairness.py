"""Weighted fair queue, in tokens, between the accounts of a class in front of a pool.

Start-time fair queueing: the start tag of a ticket is the later of the virtual time and the finish
tag of the account's previous ticket; the lowest start tag is served first. The queue reads a clock
and never blocks; ``arbutustally_node.admission`` waits for its tickets.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

from arbutustally.clock import Clock
from arbutustally.errors import OverloadedError
from arbutustally.metrics import declare

SHED = declare(
    "refused.overloaded",
    "a request was shed before work began; add endpoints or lower the load of the class",
)

#: Share of a first-token target that a request may spend in the queue; the rest is for prefill.
QUEUE_SHARE_OF_TARGET = 0.5
#: Longest queueing time of a class with a recompute target, in seconds.
RECOMPUTE_QUEUE_S = 2.0
#: Engine priority of a class with a recompute target; lower runs first. The priority of a class
#: with a first-token target is the target in milliseconds.
RECOMPUTE_PRIORITY = 60_000
#: Seconds of work that a pool may have in flight: enough to keep the engines busy, but so little
#: that the order is decided by this queue and not by the engines' queues.
IN_FLIGHT_S = 1.0
#: Lower bound of the share of computed tokens that bounds are derived from, because decoding takes
#: engine time as well.
MIN_COMPUTED_SHARE = 0.1


class Target(Protocol):
    """Target of a class of work; exactly one field is set."""

    first_token_ms: float | None
    recompute_percent: float | None


@dataclass(frozen=True)
class QueueLimits:
    """Bounds of a queue, derived from the class target and the speed of the pool.

    :ivar in_flight_tokens: tokens admitted and not yet started by an engine.
    :ivar queued_tokens: tokens waiting.
    :ivar pool_tokens: tokens in flight, over all nodes, that keep the whole pool busy.
    :ivar tokens_per_s: speed of the pool in prompt tokens, including cached ones.
    :ivar wait_s: longest queueing time in seconds.
    :ivar priority: engine priority, lower first.
    """

    in_flight_tokens: float
    queued_tokens: float
    tokens_per_s: float
    wait_s: float
    priority: int
    pool_tokens: float = 0.0

    @classmethod
    def from_config(
        cls, target: Target, endpoints: int, tokens_per_s: float, computed_share: float = 1.0
    ) -> "QueueLimits":
        """Derives the bounds.

        :param endpoints: live endpoints of the pool.
        :param tokens_per_s: prefill speed of one endpoint.
        :param computed_share: share of prompt tokens that are not in the engines' caches; tickets
            count prompt tokens, of which the pool serves more than it computes.
        """
        share = min(max(computed_share, MIN_COMPUTED_SHARE), 1.0)
        speed = max(endpoints, 1) * tokens_per_s / share
        wait = longest_wait_s(target)
        busy = speed * IN_FLIGHT_S
        return cls(busy, speed * wait, speed, wait, engine_priority(target), busy)

    def for_node(self, others: float, nodes: int) -> "QueueLimits":
        """Returns the bounds of one of several nodes that share the pool.

        The node may use the part of the bound that the others leave, so that the queue at the
        engines stays short, and always an equal part of it, so that no node is starved.

        :param others: tokens queued at the engines by other nodes.
        :param nodes: live nodes.
        """
        left = self.in_flight_tokens - others
        equal_part = self.in_flight_tokens / max(nodes, 1)
        return replace(self, in_flight_tokens=max(left, equal_part))

    def explain(self) -> str:
        """Returns the derivation of the bounds as text."""
        return (
            f"the class target allows {self.wait_s:g} s in the queue; at "
            f"{self.tokens_per_s:g} tokens/s that is {self.queued_tokens:g} tokens"
        )


def longest_wait_s(target: Target) -> float:
    """Returns the longest wait in the queue that a class target allows, in seconds."""
    if target.first_token_ms is None:
        return RECOMPUTE_QUEUE_S
    return target.first_token_ms / 1000 * QUEUE_SHARE_OF_TARGET


def engine_priority(target: Target) -> int:
    """Returns the engine priority of a class; lower runs first."""
    if target.first_token_ms is None:
        return RECOMPUTE_PRIORITY
    return min(round(target.first_token_ms), RECOMPUTE_PRIORITY - 1)


class TicketState(StrEnum):
    """States of a ticket."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    SHED = "shed"
    RELEASED = "released"


class Ticket:
    """One request in the queue.

    :param deadline: latest admission in monotonic seconds.
    :param on_change: called once when the ticket is admitted or shed, possibly within ``submit``.
    """

    def __init__(
        self,
        account: str,
        tokens: float,
        deadline: float,
        on_change: Callable[[], None] | None = None,
    ) -> None:
        self.account = account
        self.tokens = tokens
        self.deadline = deadline
        self.state = TicketState.WAITING
        self.start_tag = 0.0
        self.reason = ""
        self._on_change = on_change

    def transition(self, state: TicketState, reason: str = "") -> None:
        """Sets a new state and calls ``on_change``."""
        self.state = state
        self.reason = reason
        if self._on_change is not None:
            self._on_change()


class _Flow:
    """Tickets of one account."""

    def __init__(self) -> None:
        self.waiting: deque[Ticket] = deque()
        self.queued_tokens = 0.0
        self.finish_tag = 0.0
        self.in_flight = 0.0


class FairQueue:
    """Queue of one class in front of one pool.

    :param clock: monotonic seconds.
    :param limits: see ``QueueLimits``.
    :param weights: weight of each account, usually its declared rate; 1 for an unknown account.
    """

    def __init__(
        self, clock: Clock, limits: QueueLimits, weights: Mapping[str, float] | None = None
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._weights = dict(weights or {})
        self._flows: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._in_flight = 0.0
        self._queued = 0.0

    @property
    def in_flight(self) -> float:
        """Returns the admitted tokens that have not been released."""
        return self._in_flight

    @property
    def queued(self) -> float:
        """Returns the waiting tokens."""
        return self._queued

    @property
    def limits(self) -> QueueLimits:
        """Returns the bounds in force."""
        return self._limits

    def configure(self, limits: QueueLimits, weights: Mapping[str, float]) -> None:
        """Replaces the bounds and weights; tickets keep their tags."""
        self._limits = limits
        self._weights = dict(weights)
        self._admit()

    def submit(
        self,
        account: str,
        tokens: float,
        deadline: float,
        on_change: Callable[[], None] | None = None,
    ) -> Ticket:
        """Enqueues a request; the ticket may be admitted at once.

        :param tokens: tokens to compute, at least 1.
        :param deadline: latest admission in monotonic seconds.
        :raises OverloadedError: if the queue is full and this account exceeds its fair share most,
            so that this request is shed.
        """
        self.expire()
        ticket = Ticket(account, max(tokens, 1.0), deadline, on_change)
        flow = self._flows.setdefault(account, _Flow())
        ticket.start_tag = max(self._virtual_time, flow.finish_tag)
        flow.finish_tag = ticket.start_tag + ticket.tokens / self._weight(account)
        flow.waiting.append(ticket)
        flow.queued_tokens += ticket.tokens
        self._queued += ticket.tokens
        self._admit()
        while self._queued > self._limits.queued_tokens and self._queued > ticket.tokens:
            self._shed_newest(self._most_over_share())
        if ticket.state is TicketState.SHED:
            self._drop_idle(account)
            raise self.refusal(ticket)
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Releases a ticket whose work has started at an engine, has failed or is cancelled."""
        if ticket.state is TicketState.ADMITTED:
            flow = self._flows[ticket.account]
            flow.in_flight -= ticket.tokens
            self._in_flight -= ticket.tokens
        elif ticket.state is TicketState.WAITING:
            self._withdraw(ticket)
        else:
            return
        ticket.state = TicketState.RELEASED
        self._drop_idle(ticket.account)
        self._admit()

    def expire(self) -> None:
        """Sheds the tickets whose deadline has passed."""
        now = self._clock()
        expired = [
            ticket
            for flow in self._flows.values()
            for ticket in flow.waiting
            if ticket.deadline <= now
        ]
        for ticket in expired:
            self._withdraw(ticket)
            ticket.transition(TicketState.SHED, "it waited as long as its class allows")
            self._drop_idle(ticket.account)

    def refusal(self, ticket: Ticket) -> OverloadedError:
        """Returns the error for a shed ticket."""
        backlog = self._queued + self._in_flight
        retry_after = max(backlog / self._limits.tokens_per_s, 0.1)
        return OverloadedError(
            f"shed before work began: {ticket.reason}; retry after {retry_after:.1f} s",
            retry_after_s=round(retry_after, 1),
        )

    def _weight(self, account: str) -> float:
        weight = self._weights.get(account, 1.0)
        return weight if weight > 0 and math.isfinite(weight) else 1.0

    def _admit(self) -> None:
        while self._queued > 0:
            waiting = [flow for flow in self._flows.values() if flow.waiting]
            if not waiting:
                return
            flow = min(waiting, key=lambda entry: entry.waiting[0].start_tag)
            ticket = flow.waiting[0]
            # A request larger than the bound is admitted alone; otherwise it would never run.
            if self._in_flight > 0 and (
                self._in_flight + ticket.tokens > self._limits.in_flight_tokens
            ):
                break
            self._admit_ticket(ticket)
        self._admit_shares()

    def _admit_shares(self) -> None:
        """Admits tickets of accounts that have less in flight than their share of the pool.

        Otherwise a request of a quiet account would wait for the first token of a flooding
        account's request that was admitted while the pool was free, which can exceed the target.
        """
        for account in list(self._flows):
            flow = self._flows[account]
            while flow.waiting and self._has_share_left(account, flow):
                self._admit_ticket(flow.waiting[0])

    def _has_share_left(self, account: str, flow: _Flow) -> bool:
        tokens = flow.waiting[0].tokens
        if account not in self._weights:
            return False
        if self._in_flight + tokens > 2 * self._limits.pool_tokens:
            return False
        part = self._weight(account) / sum(self._weight(name) for name in self._weights)
        share = self._limits.pool_tokens * part
        return flow.in_flight + tokens <= share

    def _admit_ticket(self, ticket: Ticket) -> None:
        self._remove(ticket)
        self._flows[ticket.account].in_flight += ticket.tokens
        self._in_flight += ticket.tokens
        self._virtual_time = max(self._virtual_time, ticket.start_tag)
        ticket.transition(TicketState.ADMITTED)

    def _most_over_share(self) -> str:
        """Returns the account with waiting tickets that has the most tokens per weight."""
        return max(
            (account for account, flow in self._flows.items() if flow.waiting),
            key=lambda account: (
                (self._flows[account].queued_tokens + self._flows[account].in_flight)
                / self._weight(account)
            ),
        )

    def _shed_newest(self, account: str) -> None:
        flow = self._flows[account]
        ticket = flow.waiting[-1]
        self._withdraw(ticket)
        ticket.transition(
            TicketState.SHED, "the queue is full and this account exceeds its fair share most"
        )
        self._drop_idle(account)

    def _withdraw(self, ticket: Ticket) -> None:
        """Removes a ticket that was not served, and lowers the tags of the account by its size.

        Later requests of the account are thus not charged for it.
        """
        flow = self._flows[ticket.account]
        size = ticket.tokens / self._weight(ticket.account)
        later_tickets = list(flow.waiting)[flow.waiting.index(ticket) + 1 :]
        for later in later_tickets:
            later.start_tag -= size
        flow.finish_tag -= size
        self._remove(ticket)

    def _remove(self, ticket: Ticket) -> None:
        flow = self._flows[ticket.account]
        flow.waiting.remove(ticket)
        flow.queued_tokens -= ticket.tokens
        self._queued -= ticket.tokens
        if not flow.waiting:
            flow.queued_tokens = 0.0

    def _drop_idle(self, account: str) -> None:
        flow = self._flows.get(account)
        if flow is None or flow.waiting or flow.in_flight > 0:
            return
        if flow.finish_tag <= self._virtual_time:
            del self._flows[account]
