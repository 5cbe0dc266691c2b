"""Statistics of the answers of a release, by route."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

#: Lower limit of a response time before its logarithm is taken, seconds.
MIN_TIME_S = 1e-4
#: Lower limit of the variance of log times; keeps z-scores finite where all times are equal.
MIN_VARIANCE = 0.01


@dataclass(frozen=True)
class AnswerTally:
    """Statistics of the answers of one release on one route.

    :ivar answers: number of answers.
    :ivar failures: failed ones of these.
    :ivar timed: number of recorded response times; includes those of running requests that already
        take long.
    :ivar log_sum: sum of the logarithms of these times in seconds.
    :ivar log_squares: sum of the squares of these logarithms.
    :ivar aged: number of runs of which it is known whether they take longer than usual.
    :ivar long: those of ``aged`` that do.
    """

    answers: float = 0
    failures: float = 0
    timed: float = 0
    log_sum: float = 0.0
    log_squares: float = 0.0
    aged: float = 0
    long: float = 0

    @classmethod
    def of_time(cls, seconds: float) -> "AnswerTally":
        """Returns the tally of a single response time."""
        log = math.log(max(seconds, MIN_TIME_S))
        return cls(timed=1, log_sum=log, log_squares=log * log)

    @property
    def mean(self) -> float:
        """Returns the mean of the log times."""
        return self.log_sum / self.timed

    @property
    def variance(self) -> float:
        """Returns the variance of the log times, at least ``MIN_VARIANCE``."""
        return max(self.log_squares / self.timed - self.mean**2, MIN_VARIANCE)

    def plus(self, other: "AnswerTally") -> "AnswerTally":
        """Returns the sum of both tallies."""
        return AnswerTally(
            self.answers + other.answers,
            self.failures + other.failures,
            self.timed + other.timed,
            self.log_sum + other.log_sum,
            self.log_squares + other.log_squares,
            self.aged + other.aged,
            self.long + other.long,
        )

    def minus(self, other: "AnswerTally") -> "AnswerTally":
        """Returns the difference to an earlier tally."""
        return AnswerTally(
            self.answers - other.answers,
            self.failures - other.failures,
            self.timed - other.timed,
            self.log_sum - other.log_sum,
            self.log_squares - other.log_squares,
            self.aged - other.aged,
            self.long - other.long,
        )


#: Tallies by route.
Tallies = Mapping[str, AnswerTally]


def add_tallies(tables: Iterable[Tallies]) -> dict[str, AnswerTally]:
    """Returns the sums of tallies by route."""
    total: dict[str, AnswerTally] = {}
    for table in tables:
        for route, tally in table.items():
            total[route] = total.get(route, AnswerTally()).plus(tally)
    return total


def subtract(now: Tallies, before: Tallies) -> dict[str, AnswerTally]:
    """Returns the differences to earlier tallies by route."""
    return {route: tally.minus(before.get(route, AnswerTally())) for route, tally in now.items()}
