"""Use of one standing share slot by its holder."""

from collections.abc import Callable
from typing import Any

from arbutustally.clock import Clock
from arbutustally.errors import LeaseLostError, RouterError
from arbutustally.limit_issuer import Issuer
from arbutustally.logs import get_logger
from arbutustally.records import ShareRecord
from arbutustally.standing_shares import SLOT_FRACTION, SlotTenure
from arbutustally_node.shard_owner import DISPLACED_S, HANDOVER_S

_log = get_logger("limits")


class SlotHolder:
    """Issues grants from a slot while this node may use it.

    :param holder: this node's incarnation as recorded in the log.
    :param log: returns the ``log`` service.
    """

    def __init__(
        self, shard: int, slot: int, holder: str, clock: Clock, log: Callable[[], Any]
    ) -> None:
        self._shard = shard
        self._slot = slot
        self._holder = holder
        self._clock = clock
        self._log = log
        self._tenure = SlotTenure(
            holder, lambda: log().state.share(shard, slot), lambda: log().confirmed_at
        )
        self._issuer: Issuer | None = None
        self._displaced_since: float | None = None

    def issuer(self) -> Issuer:
        """Returns the issuer of the slot.

        :raises LeaseLostError: if this node may not use the slot now.
        """
        if not self.is_usable:
            raise LeaseLostError(
                f"this node may not use share slot {self._slot} of shard {self._shard}; "
                "ask the owner of the shard",
                retry_after_s=1.0,
            )
        if self._issuer is None or self._issuer.epoch != self._tenure.epoch:
            self._issuer = Issuer.from_config(self._clock, self._tenure, lambda: SLOT_FRACTION)
        return self._issuer

    @property
    def is_usable(self) -> bool:
        """Returns whether this node may use the slot now."""
        return self._tenure.remaining(self._clock()) > 0

    def confirm_owner_lowered(self, offset: int) -> None:
        """Records the owner's confirmation that the assignment at an offset is in effect."""
        self._tenure.confirm_owner_lowered(offset)

    def maintain(self, home_ids: list[str], draining: bool) -> None:
        """Records new assignments; releases the slot when this node drains or is no longer a home.

        :param home_ids: ids of the home nodes of the shard.
        """
        now = self._clock()
        self._tenure.observe(now)
        if self._tenure.epoch < 0:
            return
        if self.is_usable:
            # Creates the issuer so that its bucket fills from when the slot may be used, not from
            # the first request.
            self.issuer()
        displaced = self._holder.partition("#")[0] not in home_ids
        if not displaced:
            self._displaced_since = None
        elif self._displaced_since is None:
            self._displaced_since = now
        long_displaced = displaced and now - self._displaced_since >= DISPLACED_S
        if (draining or long_displaced) and self._tenure.usable(now):
            self._tenure.end_at(now + HANDOVER_S)
        if self._tenure.ends_at <= now:
            self._release()

    def _release(self) -> None:
        try:
            self._log().append(ShareRecord(self._shard, self._slot, "", self._tenure.epoch))
        except RouterError as error:
            # The next call of ``maintain`` retries; all grants have already ended.
            _log.debug("slot not released", shard=self._shard, slot=self._slot, code=error.code)
