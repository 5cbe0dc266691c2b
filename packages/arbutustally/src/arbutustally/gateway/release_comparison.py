"""Comparison of the answers of a release's canary with those of the baseline.

Load pattern: a canary fails or answers several times slower, immediately or later, on all routes or
on one, while each node sees only a few of its answers. The answers of all nodes are summed and
compared by route with those of the baseline in the same period.
"""

import math
import sys
from collections.abc import Sequence

from arbutustally.evidence import tail_probability
from arbutustally.gateway.answer_tallies import AnswerTally, Tallies, add_tallies

#: Minimum answers of the canary, on one route or in total, before its failures are evaluated.
MIN_ANSWERS = 8
#: The same on a route whose usual failure rate the baseline's answers show, and their number.
MIN_ROUTE_ANSWERS = 3
MIN_BASELINE_ANSWERS = 20
#: Minimum answers of the canary before it may be kept.
MIN_ANSWERS_TO_KEEP = 20
#: Minimum response times of the canary on one route before they are compared.
MIN_CANARY_TIMES = 5
#: Minimum response times of the baseline on one route before they are compared.
MIN_BASELINE_TIMES = 20
#: Failure rate allowed for a sound canary however low the baseline's is.
MIN_FAILURE_RATE = 0.04
#: Failure rate allowed for a sound canary, as a multiple of the baseline's.
FAILURE_FACTOR = 2.0
#: Significance level: probability below which the observed failures are not due to chance.
SIGNIFICANCE = 1e-4
#: Probability of a route's failures below which the canary may not be kept yet.
DOUBT = 1e-2
#: Share of runs longer than usual that is allowed for a sound canary however low the baseline's is.
MIN_LONG_SHARE = 0.2
#: Factor by which the answers of a sound canary may take longer, since its caches are cold.
ALLOWED_SLOWDOWN = 1.3
#: Combined z-score of all routes above which the canary counts as slow.
SLOW_Z = 3.1
#: Z-score of one route above which the canary counts as slow.
SLOW_ROUTE_Z = 4.0
#: Combined z-score below which the canary may be kept.
SOUND_Z = 1.5
#: Share of the canary's response times that must be on routes with enough of them to compare, for
#: it to be kept.
MIN_COMPARED_SHARE = 0.5


def is_bad(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether the canary is worse than the baseline, on any route or in total.

    :param canary: answers of the canary.
    :param baseline: answers of the baseline in the same period.
    """
    return is_failing(canary, baseline) or is_slow(canary, baseline)


def is_failing(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether more of the canary's answers fail, on any route or in total."""
    pairs = [(tally, baseline.get(route, AnswerTally())) for route, tally in canary.items()]
    whole = (_total(canary), _total(baseline))
    return any(_fails_more(one, other) for one, other in (*pairs, whole))


def is_slow(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether the canary's answers take longer, on any route or on all together."""
    return slowness(canary, baseline) > 1.0


def is_too_slow_to_keep(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether the canary's answers take longer than those of one that may be kept."""
    return is_slow(canary, baseline) or _combined_z(_z_scores(canary, baseline)) >= SOUND_Z


def slowness(canary: Tallies, baseline: Tallies) -> float:
    """Returns how slow the canary's answers are as a multiple of what counts as slow."""
    z_scores = _z_scores(canary, baseline)
    by_time = max(_combined_z(z_scores) / SLOW_Z, max(z_scores, default=0.0) / SLOW_ROUTE_Z)
    lingering = [_lingering(tally, baseline.get(route)) for route, tally in canary.items()]
    by_runs = max(lingering, default=0.0)
    return max(by_time, by_runs) if by_runs > 1.0 else by_time


def is_sound(canary: Tallies, baseline: Tallies) -> bool:
    """Returns whether enough answers show that the canary is as good as the baseline."""
    if _total(canary).answers < MIN_ANSWERS_TO_KEEP or is_bad(canary, baseline):
        return False
    if any(_is_doubtful(tally, baseline.get(route)) for route, tally in canary.items()):
        return False
    compared = [
        tally for route, tally in canary.items() if _is_compared(tally, baseline.get(route))
    ]
    if sum(tally.timed for tally in compared) < _total(canary).timed * MIN_COMPARED_SHARE:
        return False
    return bool(compared) and not is_too_slow_to_keep(canary, baseline)


def _is_compared(canary: AnswerTally, baseline: AnswerTally | None) -> bool:
    return (
        baseline is not None
        and canary.timed >= MIN_CANARY_TIMES
        and baseline.timed >= MIN_BASELINE_TIMES
    )


def _total(tallies: Tallies) -> AnswerTally:
    return add_tallies([{"": tally} for tally in tallies.values()]).get("", AnswerTally())


def _fails_more(canary: AnswerTally, baseline: AnswerTally) -> bool:
    is_known = baseline.answers >= MIN_BASELINE_ANSWERS
    if canary.answers < (MIN_ROUTE_ANSWERS if is_known else MIN_ANSWERS):
        return False
    return _failures_by_chance(canary, baseline) < SIGNIFICANCE


def _is_doubtful(canary: AnswerTally, baseline: AnswerTally | None) -> bool:
    """Returns whether a route's failures are too many for a canary that may be kept."""
    if baseline is None or baseline.answers < MIN_BASELINE_ANSWERS:
        return False
    return _failures_by_chance(canary, baseline) < DOUBT


def _failures_by_chance(canary: AnswerTally, baseline: AnswerTally) -> float:
    """Returns the probability of as many failures of a sound canary."""
    baseline_share = baseline.failures / baseline.answers if baseline.answers else 0.0
    chance = min(0.9, max(MIN_FAILURE_RATE, baseline_share * FAILURE_FACTOR))
    return tail_probability(round(canary.failures), round(canary.answers), chance)


def _lingering(canary: AnswerTally, baseline: AnswerTally | None) -> float:
    """Returns how many of a route's runs are longer than usual, as a multiple of what is slow.

    A run is longer than usual from some time on, whether or not it has ended since.
    """
    if baseline is None or baseline.aged < MIN_BASELINE_TIMES or canary.aged < MIN_ANSWERS:
        return 0.0
    chance = min(0.9, max(MIN_LONG_SHARE, baseline.long / baseline.aged * FAILURE_FACTOR))
    by_chance = tail_probability(round(canary.long), round(canary.aged), chance)
    return math.log(max(by_chance, sys.float_info.min)) / math.log(SIGNIFICANCE)


def _z_scores(canary: Tallies, baseline: Tallies) -> list[float]:
    """Returns by how many standard errors each compared route exceeds the bearable slowdown."""
    z_scores = []
    for route, tally in canary.items():
        other = baseline.get(route)
        if not _is_compared(tally, other):
            continue
        error = math.sqrt(other.variance * (1 / tally.timed + 1 / other.timed))
        z_scores.append((tally.mean - other.mean - math.log(ALLOWED_SLOWDOWN)) / error)
    return z_scores


def _combined_z(z_scores: Sequence[float]) -> float:
    """Returns the combined z-score of all routes by Stouffer's method."""
    return sum(z_scores) / math.sqrt(len(z_scores)) if z_scores else 0.0
