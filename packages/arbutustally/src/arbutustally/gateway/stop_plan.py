"""Which requests a node still takes after the signal to stop, and when it ends the running ones."""

from dataclasses import dataclass

#: Time after the signal within which every request is taken, seconds. One that is taken later must
#: end before the node does.
TAKE_ALL_S = 3.0
#: Share of the grace period that this time is at most.
TAKE_ALL_SHARE = 0.5
#: How much later than it was sent a signal may be noted, seconds.
SIGNAL_LAG_S = 0.05
#: Factor of the directory's TTL for which some callers keep an answer.
TTL_CACHED_FACTOR = 3
#: Time after the signal until no other node names this one to callers, seconds.
NOTICE_S = 0.3
#: Time before the end of the grace period at which running requests are ended, seconds, and the
#: share of the period that it is at most. They may be ended in its last sixth only.
GRACE_MARGIN_S = 0.6
GRACE_MARGIN_SHARE = 0.15
#: Share of that time for the answers to them.
LAST_ANSWERS_SHARE = 1 / 3


@dataclass(frozen=True)
class StopPlan:
    """Times of a stop, all fixed when its signal was noted, steady seconds.

    :ivar signalled_at: when the signal was noted.
    :ivar take_all_until: until when a request is taken however long it may last.
    :ivar leave_at: from when on callers no longer hold this node's address, so that it may end as
        soon as no request runs.
    :ivar end_at: when the requests that still run are ended.
    :ivar last_answers_s: time for the answers to them, seconds.
    """

    signalled_at: float
    take_all_until: float
    leave_at: float
    end_at: float
    last_answers_s: float

    @classmethod
    def from_config(cls, signalled_at: float, grace_s: float, ttl_s: float) -> "StopPlan":
        """Returns the plan of a stop.

        :param grace_s: time from the signal until the process is killed, seconds.
        :param ttl_s: time for which callers may cache this node's address, seconds.
        """
        margin_s = min(GRACE_MARGIN_S, grace_s * GRACE_MARGIN_SHARE)
        taking_s = min(TAKE_ALL_S, grace_s * TAKE_ALL_SHARE)
        return cls(
            signalled_at,
            signalled_at + taking_s - SIGNAL_LAG_S,
            signalled_at + min(NOTICE_S + ttl_s * TTL_CACHED_FACTOR, grace_s * TAKE_ALL_SHARE),
            signalled_at + grace_s - margin_s,
            margin_s * LAST_ANSWERS_SHARE,
        )

    def takes(self, now: float, latest_end: float) -> bool:
        """Returns whether a request that has arrived completely is served.

        :param latest_end: when its deadline or its route's timeout ends it, steady seconds.
        """
        return now < self.take_all_until or latest_end <= self.end_at
