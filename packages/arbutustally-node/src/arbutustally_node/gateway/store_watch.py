"""Tracks whether the platform's store answers this node."""

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.contact import Contact
from arbutustally_node.gateway.decision_log import DecisionLog


class StoreWatch:
    """Records every answer and failure of the store.

    :param contact: records that the store was heard.
    """

    def __init__(self, log: DecisionLog, clock: Clock, contact: Contact) -> None:
        self._log = log
        self._clock = clock
        self._contact = contact
        self._lost_since: float | None = None

    @property
    def has_store(self) -> bool:
        """Returns whether the last call to the store succeeded."""
        return self._lost_since is None

    def failed(self, error: StoreUnavailableError) -> None:
        """Records a failed call to the store."""
        if self._lost_since is None:
            self._lost_since = self._clock()
            self._log.line("store_lost", reason=error.message)

    def answered(self) -> None:
        """Records a successful call to the store."""
        self._contact.heard()
        if self._lost_since is None:
            return
        lost_s = self._clock() - self._lost_since
        self._lost_since = None
        self._log.line("store_regained", lost_s=round(lost_s, 2))

    def configuration_read(self, asked_at: float) -> None:
        """Records that all records of the operator were read.

        :param asked_at: when the store was asked for them, steady seconds.
        """
        self._contact.configuration_read(asked_at)
