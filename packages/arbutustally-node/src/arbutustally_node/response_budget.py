"""Memory of the responses to a node's own calls, such as reports of engines.

A small response is always read. What a response has beyond that is reserved from one budget, so that
many servers which send far too much together do not take more than one part of the process's memory.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from arbutustally.errors import OverloadedError

#: Bytes of each response that need no reservation. Sound responses are rarely larger.
FREE_BYTES = 64 << 10


class ResponseBudget:
    """Bytes that responses may have beyond ``FREE_BYTES`` each.

    :param limit: bytes of all responses together.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Returns the reserved bytes."""
        return self._reserved

    @contextmanager
    def response(self) -> Iterator["ResponseMemory"]:
        """Yields the memory of one response, which is released at the end."""
        memory = ResponseMemory(self)
        try:
            yield memory
        finally:
            self._reserved -= memory.reserved

    def take(self, count: int) -> bool:
        """Reserves bytes; returns whether they are available."""
        if self._reserved + count > self._limit:
            return False
        self._reserved += count
        return True


class ResponseMemory:
    """Memory of one response, as ``PooledResponse.read_whole`` reserves it."""

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self._size = 0
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Returns the bytes reserved from the budget."""
        return self._reserved

    def try_answer(self, count: int) -> bool:
        """Reserves the bytes of a response; returns whether they are available now."""
        missing = max(0, self._size + count - FREE_BYTES) - self._reserved
        if not self._budget.take(missing):
            return False
        self._size += count
        self._reserved += missing
        return True

    def reserve_answer(self, count: int) -> None:
        """Reserves further bytes of a response of unknown length.

        :raises OverloadedError: if they are not available.
        """
        if not self.try_answer(count):
            raise OverloadedError("other responses use the memory for responses; call again")
