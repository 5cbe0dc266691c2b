"""Order and timing of loading newly named weights onto engines.

Load pattern: new weights are named under traffic, often before all engines have loaded the previous
ones. Only a few engines load at the same time, since concurrent loads slow each other down and
reduce capacity. Engines with the oldest weights go first, and idle ones before busy ones. An engine
that leaves an order unanswered keeps another one waiting, so it comes last for a time that doubles
with each such order in a row. The time has a limit and ends without an answer: only an order shows
that the engine obeys again, and while versions are named fast the others always need one too.
Engines whose time is over go first, but no more of them at the same time than a part of those that
may load. An engine has an empty cache after a load, so loads are started in steps. While the other
engines are overloaded, only as many load as are needed to meet the deadline for old weights, since
a late answer costs a caller more than an old version does.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from arbutustally.doubled_delay import doubled_delay_s
from arbutustally.gateway.endpoint_state import EndpointState

#: Time after which an accepted load that was not reported as done is checked again, seconds.
LOAD_CHECK_S = 2.0
#: Longest time for which an engine gets no new requests before it is ordered to load, seconds.
MAX_DRAIN_S = 1.0
#: Shortest such time, seconds: by then all nodes have been informed that the engine will load.
MIN_DRAIN_S = 0.25
#: Most running requests of an engine that are moved to other engines; more would use up the repeat
#: budget.
MAX_MOVED = 8
#: Time after an unanswered order for which other engines go first, seconds; doubles with each further
#: one in a row up to ``MAX_ORDER_BACKOFF_S``. At the limit, three engines that obey no order leave
#: room for a fourth where only one may load at a time.
ORDER_BACKOFF_S = 1.0
MAX_ORDER_BACKOFF_S = 12.0
#: Part of the engines that may load at once, in which those are ordered again that left their last
#: order unanswered while others need an order; at least one.
RETRIED_PART = 3
#: Share of the engines that may load at once; more loads slow each other down (site sheets).
LOADING_SHARE = 0.4
#: Share of the engines that begin to load in one step, and the least number of them.
STEP_SHARE = 0.1
MIN_STEP = 2
#: Duration of a step, seconds; in this time nodes receive the resulting load of the other engines.
STEP_PAUSE_S = 0.4
#: Limit of the other engines' mean wait, as a share of the shortest target.
MAX_MEAN_WAIT_SHARE = 0.3
#: Share of the time until old weights are forbidden over which deferred loads are spread.
DEADLINE_SHARE = 0.8


@dataclass(frozen=True)
class LoadPlan:
    """Loads that are due.

    :ivar engines: ids of the engines that should load, highest priority first.
    :ivar pending: number of engines that still have older weights.
    """

    engines: tuple[str, ...]
    pending: int


def plan_loads(
    states: Sequence[EndpointState], model: str, named: int, at_once: int, now: float
) -> LoadPlan:
    """Returns the engines that should load next.

    :param states: engines of the model that are not leaving.
    :param named: newest version that the operator named.
    :param at_once: number of loads that may run at the same time.
    :param now: monotonic seconds.
    """
    old = [state for state in states if state.weights.get(model, 0) < named]
    busy = [state for state in old if state.loading and now < state.loading_until]
    free = [
        state
        for state in old
        if state not in busy
        and not state.is_down
        and max(state.suspect_until, state.paused_until) <= now
    ]
    free.sort(
        key=lambda state: (
            state.weights.get(model, 0),
            state.unanswered_orders,
            state.total_memory_tokens,
        )
    )
    room = max(0, at_once - len(busy))
    retried = sum(state.unanswered_orders > 0 for state in busy)
    retries = max(0, max(1, at_once // RETRIED_PART) - retried)
    chosen = _in_turn(free, retries, now)[:room]
    return LoadPlan(tuple(state.id for state in chosen), len(old))


def _in_turn(free: list[EndpointState], retries: int, now: float) -> list[EndpointState]:
    """Returns the engines in the order in which they should load.

    :param free: engines by age of their weights.
    :param retries: number of those with an unanswered order that may go first.
    """
    usual = [state for state in free if not state.unanswered_orders]
    unanswered = [state for state in free if state.unanswered_orders]
    due = [state for state in unanswered if now >= state.order_backoff_until]
    first = due[:retries]
    rest = [state for state in unanswered if state not in first]
    return [*first, *usual, *sorted(rest, key=lambda state: now < state.order_backoff_until)]


def record_order(state: EndpointState, is_answered: bool, now: float) -> None:
    """Records whether an engine answered an order.

    :param now: monotonic seconds.
    """
    if is_answered:
        state.unanswered_orders, state.order_backoff_until = 0, 0.0
        return
    backoff_s = doubled_delay_s(ORDER_BACKOFF_S, state.unanswered_orders, MAX_ORDER_BACKOFF_S)
    state.unanswered_orders += 1
    state.order_backoff_until = now + backoff_s


def unrepeatable_runs(
    state: EndpointState, loading: Sequence[EndpointState], repeats_left: int
) -> int:
    """Returns the number of this node's requests that would fail if an engine aborted them.

    Each request that continues on another engine takes a repeat, and engines that load at the same
    time share the node's repeat budget.

    :param loading: engines that load or are about to load.
    :param repeats_left: number of repeats that the node's budget allows.
    """
    others = sum(
        other.running - other.unrepeatable
        for other in loading
        if other is not state and other.entry.service == state.entry.service
    )
    repeatable = state.running - state.unrepeatable
    lacking = max(0, others + repeatable - repeats_left)
    return state.unrepeatable + min(repeatable, lacking)


def is_drained(state: EndpointState, waited_s: float, unrepeatable: int) -> bool:
    """Returns whether an engine that gets no new requests should load now.

    Requests that can't continue on another engine finish first; the load moves the others.

    :param waited_s: time for which the engine has got no new requests, seconds.
    :param unrepeatable: requests of all nodes that can't continue on another engine.
    """
    if waited_s >= MAX_DRAIN_S:
        return True
    return waited_s >= MIN_DRAIN_S and state.total_running <= 1 and not unrepeatable


def breaks_runs_off(state: EndpointState, unrepeatable: int) -> bool:
    """Returns whether an engine aborts its running requests rather than letting them finish.

    :param unrepeatable: as for ``is_drained``.
    """
    return not unrepeatable and state.total_running <= MAX_MOVED


def loads_at_once(
    engines: int,
    pending: int = 0,
    left_s: float = 0.0,
    load_s: float = 1.0,
    is_overloaded: bool = False,
) -> int:
    """Returns how many engines may load at the same time, at least one.

    :param engines: number of engines of the model.
    :param pending: number of engines that still have older weights.
    :param left_s: time until older weights are no longer allowed, seconds.
    :param load_s: time for which a load makes an engine unavailable, seconds.
    :param is_overloaded: whether the other engines are overloaded.
    """
    most = max(1, int(engines * LOADING_SHARE))
    if not is_overloaded:
        return most
    rounds = max(1, math.floor(left_s * DEADLINE_SHARE / load_s))
    return min(most, math.ceil(pending / rounds))


def loads_in_step(engines: int) -> int:
    """Returns the number of engines that begin to load in one step."""
    return max(MIN_STEP, int(engines * STEP_SHARE))


def are_overloaded(waits_s: Sequence[float], shortest_target_s: float) -> bool:
    """Returns whether engines are too busy for others to load.

    :param waits_s: expected wait at each engine that takes requests, seconds.
    :param shortest_target_s: shortest target of the routes to these engines, seconds.
    """
    if not waits_s:
        return False
    return sum(waits_s) / len(waits_s) > shortest_target_s * MAX_MEAN_WAIT_SHARE
