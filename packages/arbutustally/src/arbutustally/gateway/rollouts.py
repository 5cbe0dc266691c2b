"""Canary roll-outs of a service's releases: orders, and the decision to keep a release or not.

The canary is the release that the operator's order names; the baseline is every other release that
was not rolled back. Few requests are routed to the canary until the order's time is nearly over.
"""

from dataclasses import dataclass
from enum import StrEnum

from arbutustally.gateway.answer_tallies import Tallies
from arbutustally.gateway.release_comparison import is_bad, is_sound

#: Share of the requests routed to the canary while it is evaluated.
CANARY_SHARE = 0.06
#: Time before the end of the order at which all new requests are routed to a sound canary, seconds;
#: meanwhile the baseline finishes its running requests.
MOVE_S = 1.2
#: Observation time at the start of that period, before which the canary is not kept, seconds.
WATCH_S = 0.5
#: Time for enough runs that began in that period to become long, and for all nodes' reports of
#: them, seconds, and the longest observation time.
NOTICE_S = 0.5
MAX_WATCH_S = 2.0
#: Time before the end at which the decision to keep the canary is made although the baseline still
#: runs requests, seconds.
KEEP_S = 0.4


class RolloutState(StrEnum):
    """Progress state of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service's requests to a release.

    :ivar target: release that is the canary.
    :ivar duration_s: time within which the roll-out must end, seconds.
    """

    service: str
    target: str
    duration_s: float


@dataclass(frozen=True)
class RolloutProgress:
    """Latest decision of the node that decides on roll-outs.

    :ivar share: share of the requests that are routed to the canary.
    :ivar order_s: duration of the order in force at the decision, seconds; ``None`` if the node that
        decided runs a program that does not tell.
    :ivar retrial_s: duration of the order with which this trial of the release began, seconds;
        ``None`` in the first trial.
    """

    service: str
    target: str
    state: RolloutState
    share: float
    order_s: float | None = None
    retrial_s: float | None = None

    @property
    def is_final(self) -> bool:
        """Returns whether no further decision follows."""
        return self.state is not RolloutState.RUNNING


def next_progress(
    order: RolloutOrder,
    current: RolloutProgress | None,
    left_s: float,
    canary: Tallies,
    baseline: Tallies,
    is_bad_lately: bool,
    baseline_running: int,
    retrial_s: float | None = None,
    is_suspect: bool = False,
    usual_s: float = 0.0,
) -> RolloutProgress:
    """Returns the progress that applies from now on.

    A canary may turn bad late in the roll-out, so all requests are moved to it only shortly before
    the end, but early enough to see whether runs that begin then take longer than usual.

    :param left_s: time until the order's end, seconds.
    :param canary: answers of the canary so far.
    :param baseline: answers of the baseline in the same period.
    :param is_bad_lately: whether the canary's latest answers alone are bad.
    :param baseline_running: number of requests that endpoints of other releases still run.
    :param retrial_s: see ``RolloutProgress``.
    :param is_suspect: whether the latest answers alone may be bad, so that requests are not moved to
        the canary yet.
    :param usual_s: time after which the usual runs have ended, seconds.
    """
    watch_s = max(WATCH_S, min(usual_s + NOTICE_S, MAX_WATCH_S))
    move_s = max(MOVE_S, watch_s + KEEP_S)

    def progress(state: RolloutState, share: float) -> RolloutProgress:
        return RolloutProgress(
            order.service, order.target, state, share, order.duration_s, retrial_s
        )

    if current is not None and current.is_final:
        return current
    if is_bad_lately or is_bad(canary, baseline):
        return progress(RolloutState.ROLLED_BACK, 0.0)
    has_moved = current is not None and current.share == 1.0
    is_watched = left_s <= move_s - watch_s
    is_drained = baseline_running == 0
    must_end = left_s <= KEEP_S
    if has_moved and (must_end or (is_watched and is_drained)):
        is_kept = is_sound(canary, baseline)
        end = RolloutState.COMPLETED if is_kept else RolloutState.ROLLED_BACK
        return progress(end, 1.0 if is_kept else 0.0)
    may_move = left_s <= move_s and not is_suspect and is_sound(canary, baseline)
    if has_moved or may_move:
        return progress(RolloutState.RUNNING, 1.0)
    return progress(RolloutState.RUNNING, CANARY_SHARE)
