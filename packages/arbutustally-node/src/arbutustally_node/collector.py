"""Settings of Python's garbage collector for a process that relays streams."""

import gc

#: Net allocations before a collection of the youngest generation; the default of 700 collects
#: several times within each burst of events.
_YOUNG_ALLOCATIONS = 20_000
_YOUNG_PER_MIDDLE = 20
_MIDDLE_PER_FULL = 50


def tune_collector() -> None:
    """Excludes what exists now from collections and makes them rarer.

    Call it once after start, when modules and services are loaded.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_ALLOCATIONS, _YOUNG_PER_MIDDLE, _MIDDLE_PER_FULL)
