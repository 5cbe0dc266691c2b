"""Helpers of the tests of placement, fairness and versions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Aim:
    """A class target; exactly one of the two is set."""

    first_token_ms: float | None = None
    recompute_percent: float | None = None
