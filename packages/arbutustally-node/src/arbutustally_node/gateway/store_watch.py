"""Tracks whether the platform's store answers this node."""

from collections.abc import Callable

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.configuration_age import ConfigurationAge
from arbutustally.gateway.contact import Contact
from arbutustally_node.gateway.decision_log import DecisionLog


class StoreWatch:
    """Records every answer and failure of the store.

    :param contact: records that the store was heard.
    :param age: records which answers show that the operator's records are known.
    """

    def __init__(
        self, log: DecisionLog, clock: Clock, contact: Contact, age: ConfigurationAge
    ) -> None:
        self._log = log
        self._clock = clock
        self._contact = contact
        self._age = age
        self._unfollowed: Callable[[float], None] = lambda _asked_at: None
        self._lost_since: float | None = None

    @property
    def has_store(self) -> bool:
        """Returns whether the last call to the store succeeded."""
        return self._lost_since is None

    @property
    def configuration_age(self) -> ConfigurationAge:
        """Returns the age of what this node knows of the operator's records."""
        return self._age

    def watch_unfollowed(self, notify: Callable[[float], None]) -> None:
        """Passes ``notify`` the time of a call that the store answered without a waiting read.

        Such a read waits for the operator's records.
        """
        self._unfollowed = notify

    def failed(self, error: StoreUnavailableError) -> None:
        """Records a failed call to the store.

        A read that waits may have lost its connection at the same time, without a reset.
        """
        self._age.following_ended()
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

    def list_read(self, asked_at: float) -> None:
        """Records that the list of endpoints was read.

        :param asked_at: when the store was asked for it, steady seconds.
        """
        if not self._age.store_answered(asked_at):
            self._unfollowed(asked_at)

    def configuration_read(self, current_at: float) -> bool:
        """Records that all records of the operator were read.

        :param current_at: when they certainly were all records, steady seconds.
        :returns: whether no read waited for them before.
        """
        self._contact.configuration_read(current_at)
        return self._age.records_read(current_at)
