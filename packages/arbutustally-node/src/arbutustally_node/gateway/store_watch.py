"""Tracks whether the platform's store answers this node."""

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally_node.gateway.decision_log import DecisionLog


class StoreWatch:
    """Records every answer and failure of the store.

    :param return_s: time after the store's return within which a missing entry may reappear, seconds.
    """

    def __init__(self, book: EndpointBook, log: DecisionLog, clock: Clock, return_s: float) -> None:
        self._book = book
        self._log = log
        self._clock = clock
        self._return_s = return_s
        self._lost_since: float | None = None

    @property
    def has_store(self) -> bool:
        """Returns whether the last call to the store succeeded."""
        return self._lost_since is None

    def list_restored(self) -> None:
        """Records that the list of endpoints was restored from an older copy.

        Endpoints missing from it are rewritten within the same time as expired ones.
        """
        self._book.keep_removed(self._clock() + self._return_s)

    def failed(self, error: StoreUnavailableError) -> None:
        """Records a failed call to the store."""
        now = self._clock()
        # Entries may expire during an outage of the store and reappear some time after its return.
        self._book.keep_removed(now + self._return_s)
        if self._lost_since is None:
            self._lost_since = now
            self._log.line("store_lost", reason=error.message)

    def answered(self) -> None:
        """Records a successful call to the store."""
        if self._lost_since is None:
            return
        lost_s = self._clock() - self._lost_since
        self._lost_since = None
        self._book.keep_removed(self._clock() + self._return_s)
        self._log.line("store_regained", lost_s=round(lost_s, 2))
