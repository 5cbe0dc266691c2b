"""Rejection of requests before any work begins.

Load pattern: more prompts arrive than the engines can read. A request whose first event can't come
before its caller gives up is rejected at once, with the time in which the backlog shrinks to what
its target bears, so that callers come back when there is room and not all together.
"""

from random import Random

#: Part of the time that is left by which the first event must be expected.
USABLE_PART = 0.6
#: Bounds of the time after which a rejected caller is asked to return, seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
#: Returns are spread by this part of the wait, so that callers do not come back in step.
SPREAD = 0.5


def must_reject(expected_s: float, left_s: float) -> bool:
    """Returns whether a request can't be served in the time that is left."""
    return expected_s > left_s * USABLE_PART


def retry_after_s(backlog_s: float, left_s: float, rng: Random) -> float:
    """Returns when a rejected caller should come back.

    :param backlog_s: time in which the work ahead is done.
    :param left_s: time that the caller has left; a third of it is the most that helps.
    """
    wait = min(max(backlog_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S, max(left_s / 3, 0.0))
    return round(max(wait * (1 - SPREAD * rng.random()), MIN_RETRY_AFTER_S), 3)
