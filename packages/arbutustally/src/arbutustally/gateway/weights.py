"""Which engines are told to load newly named weights, and when.

Load pattern: new weights are named while traffic runs, often before the last ones are in place.
Engines load a few at a time, since more at once slow each other down and take capacity away;
engines that miss more versions go first, idle ones before busy ones. An engine that loads returns
with an empty cache, so loads are begun step by step, and where the others fall behind only as many
go on as the bound on old weights needs: an old version costs a caller less than a late answer.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from arbutustally.gateway.endpoints import EndpointState

#: Time after which a load that was accepted and not reported as done is looked at again, seconds.
LOAD_CHECK_S = 2.0
#: Longest time for which an engine gets no new requests before it is told to load, seconds.
EMPTYING_S = 1.0
#: Shortest such time: all nodes have heard by then that the engine will load.
TELLING_S = 0.25
#: Requests that an engine may have left for them to be moved to others; more would use up the
#: budget of repeats.
MAX_MOVED = 8
#: Part of the engines that may load at once; beyond it loads slow each other down (site sheets).
LOADING_SHARE = 0.4
#: Part of the engines that begin to load in one step, and the least number.
STEP_SHARE = 0.1
LEAST_STEP = 2
#: Time of a step, in which nodes hear how the others bear it, seconds.
STEP_PAUSE_S = 0.4
#: Part of the shortest target that the other engines' mean wait may take.
BEARABLE_PART = 0.3
#: Part of the time until old weights are not allowed that loads which could wait may take.
USED_PART = 0.8


@dataclass(frozen=True)
class LoadPlan:
    """Loads that are due.

    :ivar engines: ids of the engines to order, most useful first.
    :ivar pending: engines that still have older weights.
    """

    engines: tuple[str, ...]
    pending: int


def plan_loads(
    states: Sequence[EndpointState], model: str, named: int, at_once: int, now: float
) -> LoadPlan:
    """Returns the next engines to order.

    :param states: engines of the model that are not leaving.
    :param named: newest version that the operator named.
    :param at_once: loads that may run at the same time.
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
    free.sort(key=lambda state: (state.weights.get(model, 0), state.total_memory_tokens))
    room = max(0, at_once - len(busy))
    return LoadPlan(tuple(state.id for state in free[:room]), len(old))


def unrepeatable_runs(
    state: EndpointState, loading: Sequence[EndpointState], repeats_left: int
) -> int:
    """Returns this node's requests that would be lost if an engine broke them off.

    Each request that goes on elsewhere takes a repeat, and engines that load at the same time share
    the node's budget of them.

    :param loading: engines that load or are about to.
    :param repeats_left: repeats for which the node's budget has room.
    """
    others = sum(
        other.running - other.unrepeatable
        for other in loading
        if other is not state and other.entry.service == state.entry.service
    )
    repeatable = state.running - state.unrepeatable
    lacking = max(0, others + repeatable - repeats_left)
    return state.unrepeatable + min(repeatable, lacking)


def is_emptied(state: EndpointState, waited_s: float, unrepeatable: int) -> bool:
    """Returns whether an engine that gets no new requests should load now.

    Requests that can't go on elsewhere end first, the others are moved by the load.

    :param unrepeatable: requests of all nodes that can't go on elsewhere.
    """
    if waited_s >= EMPTYING_S:
        return True
    return waited_s >= TELLING_S and state.total_running <= 1 and not unrepeatable


def breaks_runs_off(state: EndpointState, unrepeatable: int) -> bool:
    """Returns whether an engine ends its runs at once rather than letting them finish.

    :param unrepeatable: as for ``is_emptied``.
    """
    return not unrepeatable and state.total_running <= MAX_MOVED


def loads_at_once(
    engines: int,
    pending: int = 0,
    left_s: float = 0.0,
    load_s: float = 1.0,
    is_behind: bool = False,
) -> int:
    """Returns how many engines load at the same time: at least one.

    :param pending: engines that still have older weights.
    :param left_s: time until older weights are no longer allowed.
    :param load_s: time for which a load takes an engine away.
    :param is_behind: the other engines can't bear more loads.
    """
    most = max(1, int(engines * LOADING_SHARE))
    if not is_behind:
        return most
    rounds = max(1, math.floor(left_s * USED_PART / load_s))
    return min(most, math.ceil(pending / rounds))


def loads_in_step(engines: int) -> int:
    """Returns how many engines begin to load in one step."""
    return max(LEAST_STEP, int(engines * STEP_SHARE))


def are_behind(waits_s: Sequence[float], shortest_target_s: float) -> bool:
    """Returns whether engines can't bear that others load.

    :param waits_s: expected wait at each engine that takes requests.
    """
    if not waits_s:
        return False
    return sum(waits_s) / len(waits_s) > shortest_target_s * BEARABLE_PART
