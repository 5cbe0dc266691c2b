"""Rejection of requests before any work begins.

Load pattern: more prompts arrive than the engines can process. A request whose first event can't
arrive before the caller's timeout is rejected immediately. The answer states after what time to
retry: when the backlog has shrunk enough to meet the request's target, with a random spread so that
callers do not all retry together.
"""

from random import Random

#: Share of the remaining time within which the first event must be expected.
USABLE_SHARE = 0.6
#: Limits of the time after which a rejected caller is asked to retry, seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
#: Largest random reduction of the wait, as a share of it, so that callers do not retry in step.
RETRY_SPREAD = 0.5


def must_reject(expected_s: float, left_s: float) -> bool:
    """Returns whether a request can't be served in the remaining time.

    :param expected_s: expected time to the first event, seconds.
    :param left_s: time until the caller's timeout, seconds.
    """
    return expected_s > max_expected_s(left_s)


def max_expected_s(left_s: float) -> float:
    """Returns the longest expected time to the first event that is accepted, seconds."""
    return left_s * USABLE_SHARE


def retry_after_s(backlog_s: float, left_s: float, rng: Random) -> float:
    """Returns after how many seconds a rejected caller should retry.

    :param backlog_s: time to work off the backlog, seconds.
    :param left_s: time until the caller's timeout, seconds; the wait is at most a third of it,
        since a longer one leaves too little time for the retry.
    """
    wait = min(max(backlog_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S, max(left_s / 3, 0.0))
    return round(max(wait * (1 - RETRY_SPREAD * rng.random()), MIN_RETRY_AFTER_S), 3)
