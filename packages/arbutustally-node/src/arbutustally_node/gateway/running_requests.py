"""Which requests may run while descriptors for connections to endpoints are few."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from arbutustally.errors import OverloadedError
from arbutustally.gateway.memory_account import RETRY_S

#: Share of the running requests below which the requests of a caller may use the reserve.
FEW_FRACTION = 1 / 16


class RunningRequests:
    """Counts running requests, and keeps a reserve for callers that have few.

    :param reserve: requests of callers with few that may run beyond the limit.
    :param on_refused: called for each request that is refused.
    """

    def __init__(self, reserve: int, on_refused: Callable[[], None] = lambda: None) -> None:
        self._reserve = reserve
        self._usual = 0
        self._reserved = 0
        self._callers: Counter[str] = Counter()
        self._on_refused = on_refused

    @property
    def reserved(self) -> int:
        """Returns the number of requests that run from the reserve."""
        return self._reserved

    @contextmanager
    def running(self, caller: str, limit: float) -> Iterator[None]:
        """Counts a request while it runs.

        :param caller: address of the caller, without its port.
        :param limit: requests that may run without the reserve now.
        :raises OverloadedError: if the request may not run.
        """
        is_reserved = self._usual >= limit
        if is_reserved and not self._may_use_reserve(caller):
            self._on_refused()
            raise OverloadedError(
                "not run: the node's descriptors are in use; retry later", retry_after_s=RETRY_S
            )
        self._add(caller, is_reserved, 1)
        try:
            yield
        finally:
            self._add(caller, is_reserved, -1)

    def _may_use_reserve(self, caller: str) -> bool:
        own = self._callers.get(caller, 0)
        return self._reserved < self._reserve and own < self._usual * FEW_FRACTION

    def _add(self, caller: str, is_reserved: bool, count: int) -> None:
        if is_reserved:
            self._reserved += count
        else:
            self._usual += count
        self._callers[caller] += count
        if not self._callers[caller]:
            del self._callers[caller]
