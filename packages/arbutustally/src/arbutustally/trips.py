"""Decides from the counts of a version's responses whether the version must be stopped."""

from dataclasses import dataclass

from arbutustally.evidence import EvidenceKey, Tally, tail_probability

FAILURES = "failures"
SLOW_FIRST_TOKEN = "slow_first_token"
SLOW_TOKENS = "slow_tokens"
#: Share of failures that is accepted regardless of the old version's share.
TOLERATED_FAILURES = 0.02
#: The breaker trips if bad responses would occur by chance with less than this probability. The
#: test is repeated for every response, so the value is far below the wanted rate of false trips;
#: three failures in five responses are below it.
TRIP_PROBABILITY = 1e-4
#: Share of slow responses that is accepted. A good version starts with cold caches on few
#: endpoints, which made 13 of 88 responses slow in the replay; five slow responses in five are
#: below ``TRIP_PROBABILITY``.
TOLERATED_SLOW = 0.15
#: Share of responses above ``version_responses.MEDIAN_FACTOR`` that is accepted.
TOLERATED_ABOVE_MEDIAN = 0.4
#: Rule of three: if none of ``n`` responses is slow, the share of slow ones may still be 3/n.
RULE_OF_THREE = 3


@dataclass(frozen=True)
class Trip:
    """Why a version must not be used.

    :ivar reason: ``FAILURES``, ``SLOW_FIRST_TOKEN`` or ``SLOW_TOKENS``.
    :ivar bad: bad responses among ``answers``.
    :ivar answers: responses compared.
    :ivar accepted: share of bad responses that the old version has or that is tolerated.
    """

    key: EvidenceKey
    reason: str
    bad: int
    answers: int
    accepted: float

    def describe(self) -> str:
        """Returns a sentence for ``explain`` and the log."""
        return (
            f"version {self.key.version} of {self.key.model}: {self.reason} in {self.bad} of "
            f"{self.answers} answers on route {self.key.route}, class {self.key.class_name}; "
            f"accepted share is {self.accepted:.3f}"
        )


@dataclass(frozen=True)
class Accepted:
    """Shares of bad responses that are accepted; by default those tolerated of any version."""

    failures: float = TOLERATED_FAILURES
    slow: float = TOLERATED_SLOW
    above_median: float = TOLERATED_ABOVE_MEDIAN
    slow_gaps: float = TOLERATED_ABOVE_MEDIAN

    @classmethod
    def from_old(cls, failure_share: float, concurrent: Tally) -> "Accepted":
        """Returns the shares of the old version, at least the tolerated ones.

        :param failure_share: share of failures of the old version.
        :param concurrent: its concurrent responses, since a busy machine makes both versions slow.
        """
        return cls(
            max(failure_share, TOLERATED_FAILURES),
            max(_highest_share(concurrent.slow, concurrent.timed), TOLERATED_SLOW),
            max(_highest_share(concurrent.above_median, concurrent.timed), TOLERATED_ABOVE_MEDIAN),
            max(_highest_share(concurrent.slow_gaps, concurrent.gapped), TOLERATED_ABOVE_MEDIAN),
        )


def _highest_share(slow: int, answers: int) -> float:
    """Returns the largest share of slow responses that counts allow; 1 without responses."""
    return (slow + RULE_OF_THREE) / (answers + RULE_OF_THREE)


def judge_tally(key: EvidenceKey, tally: Tally, accepted: Accepted) -> Trip | None:
    """Returns a trip if more responses are bad than chance explains, else ``None``."""
    for reason, bad, answers, share in (
        (FAILURES, tally.failures, tally.answers, accepted.failures),
        (SLOW_FIRST_TOKEN, tally.slow, tally.timed, accepted.slow),
        (SLOW_FIRST_TOKEN, tally.above_median, tally.timed, accepted.above_median),
        (SLOW_TOKENS, tally.slow_gaps, tally.gapped, accepted.slow_gaps),
    ):
        if bad and tail_probability(bad, answers, share) < TRIP_PROBABILITY:
            return Trip(key, reason, bad, answers, share)
    return None
