"""Memory of one caller's connection in the account of the process."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent

from arbutustally.errors import OverloadedError
from arbutustally.gateway.memory_account import RETRY_S, MemoryAccount
from arbutustally.gateway.slow_senders import is_too_slow

#: What a request occupies besides its bytes, bytes.
REQUEST_BYTES = 8192


class ConnectionMemory:
    """Reserves memory for one connection, and interrupts it if that memory is taken for others.

    The interruption reaches the serving greenlet only inside ``reading`` and ``writing``.

    :param account: account of the process.
    :param caller: address of the caller.
    """

    def __init__(self, account: MemoryAccount, caller: str) -> None:
        self._account = account
        self._holding = account.open(caller, self._on_shed)
        self._greenlet = gevent.getcurrent()
        self._interrupt: Exception | None = None
        self._is_shed = False
        self._has_begun = False
        self._answer_bytes = 0

    def reserve(self, count: int) -> None:
        """Reserves bytes of a request that has not arrived completely.

        :raises OverloadedError: if they are not available.
        """
        if self._is_shed:
            raise shed_error()
        if not self._has_begun:
            self._has_begun = True
            count += REQUEST_BYTES
        self._account.expose(self._holding)
        self._account.reserve(self._holding, count)

    def release(self, count: int) -> None:
        """Releases bytes of a request."""
        self._account.release(self._holding, count)
        if self._has_begun and not self._holding.may_be_shed:
            self._has_begun = False
            self._account.release(self._holding, REQUEST_BYTES)

    def is_too_slow(self, elapsed_s: float, silent_s: float, received: int) -> bool:
        """Returns whether a request arrives too slowly for the memory that is left."""
        return is_too_slow(self._account.is_scarce, elapsed_s, silent_s, received)

    def try_answer(self, count: int) -> bool:
        """Reserves the bytes of a response; returns whether they are available now.

        :raises OverloadedError: if there will never be as many.
        """
        if count > self._account.limit:
            raise OverloadedError("the response exceeds the node's memory for requests")
        if not self._account.try_reserve(self._holding, count):
            return False
        self._answer_bytes += count
        return True

    def reserve_answer(self, count: int) -> None:
        """Reserves bytes of a response.

        :raises OverloadedError: if they are not available.
        """
        self._account.reserve(self._holding, count)
        self._answer_bytes += count

    def end_request(self) -> None:
        """Releases the bytes of the responses to a request."""
        self._account.release(self._holding, self._answer_bytes)
        self._answer_bytes = 0

    def close(self) -> None:
        """Releases everything."""
        self._account.close(self._holding)

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Lets the memory be taken while a request arrives.

        :raises OverloadedError: if it is taken.
        """
        self._interrupt = shed_error()
        try:
            yield
        finally:
            self._interrupt = None
            self._account.protect(self._holding)

    @contextmanager
    def writing(self) -> Iterator["Writing"]:
        """Lets the memory be taken while the caller does not read its response.

        :raises ConnectionAbortedError: if it is taken.
        """
        self._interrupt = ConnectionAbortedError("the caller does not read its response")
        try:
            yield Writing(self._account, self._holding)
        finally:
            self._interrupt = None
            self._account.protect(self._holding)

    def _on_shed(self) -> None:
        self._is_shed = True
        gevent.get_hub().loop.run_callback(self._throw)

    def _throw(self) -> None:
        if self._interrupt is not None:
            self._greenlet.throw(self._interrupt)


class Writing:
    """Progress of writing one response."""

    def __init__(self, account: MemoryAccount, holding: Any) -> None:
        self._account = account
        self._holding = holding

    def stalls(self) -> None:
        """Records that the caller has stopped reading."""
        self._account.expose(self._holding)

    def goes_on(self) -> None:
        """Records that the caller reads."""
        self._account.protect(self._holding)


def shed_error() -> OverloadedError:
    """Returns the rejection of a request whose memory was taken for other callers."""
    return OverloadedError(
        "not run: the node needed the memory of the unfinished request; retry later",
        retry_after_s=RETRY_S,
    )
