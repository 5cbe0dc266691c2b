"""Fleet-wide rate limits of client accounts, without coordination per request.

Load pattern: one account sends many times its rate to all nodes at once. Every node keeps a token
bucket for every account and deducts what it admits and what its peers report as admitted. Peers
report several times a second, so the fleet exceeds the bucket by at most what arrives between two
reports; the excess makes the level negative, and later requests are refused until the bucket is
refilled. Until their next report, the peers are assumed to admit tokens at the same rate as before.
A node that receives no reports from some of its peers scales rate and burst by the share of known
nodes that report, itself included.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Share of the operator's tolerance by which rate and burst of the buckets are raised; the rest
#: covers what peers have admitted while their reports are in transit.
TOLERANCE_USED = 0.15
#: Time assumed between an admission at a peer and its deduction at this node, seconds.
REPORT_AGE_S = 0.3
#: Time constant of the moving average of the rate at which the peers admit tokens, seconds.
USE_AVERAGING_S = 0.6
#: Longest time that a refused caller is asked to wait, seconds.
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True)
class QuotaTolerance:
    """Amount by which the fleet may exceed a limit in a sliding window: the sum of both fields.

    :ivar share: excess as a share of rate and burst.
    :ivar tokens: further excess, tokens.
    """

    share: float
    tokens: float


@dataclass
class _Bucket:
    rate: float
    burst: float
    level: float
    filled_at: float
    peers_use: float = 0.0
    peers_used_at: float = 0.0


class QuotaLedger:
    """Token buckets of all accounts as one node sees them.

    :param clock: seconds; advances while the instance is suspended.
    :param tolerance: amount by which the fleet may exceed the limits.
    """

    def __init__(self, clock: Clock, tolerance: QuotaTolerance) -> None:
        self._clock = clock
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}
        self._admitted: dict[str, float] = {}
        self._last_reports: dict[str, Mapping[str, float]] = {}
        self._reporting_share = 1.0

    @classmethod
    def from_config(cls, clock: Clock, tolerance: QuotaTolerance) -> "QuotaLedger":
        """Builds a ledger without accounts."""
        return cls(clock, tolerance)

    @property
    def admitted(self) -> Mapping[str, float]:
        """Returns the tokens that this node has admitted since its start, by account."""
        return self._admitted

    def level(self, account: str) -> float:
        """Returns the tokens left in an account's bucket."""
        bucket = self._buckets[account]
        self._fill(bucket)
        return bucket.level

    def set_limits(self, limits: Mapping[str, tuple[float, float]]) -> None:
        """Sets the limits of all accounts; an account that is not listed has no limit.

        :param limits: rate (tokens/s) and burst (tokens) by account; a rate of 0 removes the limit.
        """
        now = self._clock()
        share = 1 + self._tolerance.share * TOLERANCE_USED
        for account, (rate, burst) in limits.items():
            if rate <= 0:
                self._buckets.pop(account, None)
                continue
            size = burst * share + self._tolerance.tokens * TOLERANCE_USED
            bucket = self._buckets.get(account)
            if bucket is None:
                # The fleet may have used the burst just before this node started, so the bucket
                # starts with the tolerance's additional tokens only.
                first = min(size, self._tolerance.tokens * TOLERANCE_USED)
                self._buckets[account] = _Bucket(rate * share, size, first, now)
                continue
            self._fill(bucket)
            bucket.rate, bucket.burst = rate * share, size
            bucket.level = min(bucket.level, size)
        for account in [name for name in self._buckets if name not in limits]:
            del self._buckets[account]

    def set_reporting_nodes(self, reporting: int, known: int) -> None:
        """Sets how many nodes report what they admit, and how many are known.

        Both numbers include this node.
        """
        for bucket in self._buckets.values():
            self._fill(bucket)
        self._reporting_share = reporting / max(known, reporting, 1)
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, bucket.burst * self._reporting_share)

    def take(self, account: str, tokens: float) -> float | None:
        """Deducts the tokens of a request if they are available.

        A request larger than the burst needs only a full bucket; the level is negative afterwards.

        :returns: ``None`` if the request is admitted, otherwise seconds until it may be.
        """
        bucket = self._buckets.get(account)
        if bucket is not None:
            self._fill(bucket)
            needed = min(tokens, bucket.burst * self._reporting_share) + self._unreported(bucket)
            if bucket.level < needed:
                rate = bucket.rate * self._reporting_share
                return min((needed - bucket.level) / rate, MAX_RETRY_AFTER_S)
            bucket.level -= tokens
        self._admitted[account] = self._admitted.get(account, 0.0) + tokens
        return None

    def refund(self, account: str, tokens: float) -> None:
        """Refunds the tokens of a request that did not run."""
        self._admitted[account] = self._admitted.get(account, 0.0) - tokens
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level = min(bucket.level + tokens, bucket.burst)

    def record_admitted(self, peer: str, admitted: Mapping[str, float]) -> None:
        """Deducts what a peer, or the nodes it reports for, admitted since its last report.

        :param peer: key of the source of the reports, different after each start of the peer.
        :param admitted: tokens admitted since the start, by account.
        """
        # The initial level already accounts for what a peer admitted before its first report.
        before = self._last_reports.get(peer, admitted)
        self._last_reports[peer] = dict(admitted)
        for account, total in admitted.items():
            bucket = self._buckets.get(account)
            added = total - before.get(account, 0.0)
            if bucket is not None and added:
                self._fill(bucket)
                bucket.level = min(bucket.level - added, bucket.burst)
                bucket.peers_use = self._peers_use(bucket) + max(added, 0.0) / USE_AVERAGING_S
                bucket.peers_used_at = self._clock()

    def forget(self, peer: str) -> None:
        """Removes the last report of a source whose reports are no longer used.

        What is admitted from now on is deducted when other sources report it.
        """
        self._last_reports.pop(peer, None)

    def _peers_use(self, bucket: _Bucket) -> float:
        """Returns the moving average of the rate at which the peers admit tokens, tokens/s."""
        age_s = self._clock() - bucket.peers_used_at
        return bucket.peers_use * math.exp(-age_s / USE_AVERAGING_S)

    def _unreported(self, bucket: _Bucket) -> float:
        """Returns the estimated tokens that the peers have admitted and not reported yet."""
        return self._peers_use(bucket) * REPORT_AGE_S

    def _fill(self, bucket: _Bucket) -> None:
        now = self._clock()
        if now > bucket.filled_at:
            gained = bucket.rate * self._reporting_share * (now - bucket.filled_at)
            bucket.level = min(bucket.level + gained, bucket.burst * self._reporting_share)
            bucket.filled_at = now
