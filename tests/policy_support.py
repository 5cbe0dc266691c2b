"""Helpers of the tests of placement, fairness and versions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ClassTarget:
    """A class target; exactly one field is set."""

    first_token_ms: float | None = None
    recompute_percent: float | None = None
