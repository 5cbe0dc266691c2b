"""Policies that an experiment compares."""

from dataclasses import dataclass
from enum import StrEnum


class EngineChoice(StrEnum):
    """How an engine is chosen."""

    RANDOM = "random"
    LEAST_LOAD = "least_load"
    PRODUCT = "product"


@dataclass(frozen=True)
class Policy:
    """Which decisions of the product are in force.

    :ivar has_admission: requests that can't be served in time are rejected before an attempt.
    :ivar has_cached_parts: held parts count in the choice, and are fetched and saved.
    :ivar has_repeat_budget: repeats are bounded over all nodes.
    """

    choice: EngineChoice
    has_admission: bool = False
    has_cached_parts: bool = False
    has_repeat_budget: bool = True


LEAST_LOAD = "least load"
OURS = "ours"
POLICIES = {
    "random": Policy(EngineChoice.RANDOM),
    LEAST_LOAD: Policy(EngineChoice.LEAST_LOAD),
    OURS: Policy(EngineChoice.PRODUCT, True, True),
    "ours without cached parts": Policy(EngineChoice.PRODUCT, has_admission=True),
    "ours without admission": Policy(EngineChoice.PRODUCT, has_cached_parts=True),
    "ours without repeat budget": Policy(EngineChoice.PRODUCT, True, True, False),
}
