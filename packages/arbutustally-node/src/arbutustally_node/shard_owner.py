"""Ownership of one shard: its lease, its issuer, and the assignment of its share slots."""

from collections.abc import Callable
from typing import Any

from arbutustally.clock import Clock
from arbutustally.errors import LeaseLostError, RouterError
from arbutustally.limit_issuer import Issuer
from arbutustally.logs import get_logger
from arbutustally.records import ShareRecord
from arbutustally.standing_shares import SLOTS, owner_fraction
from arbutustally_node.lease_hold import LeaseHold
from arbutustally_node.node_table import Node

#: An owner that no longer ranks first hands over after this long, seconds; shorter changes of the
#: ranking come from outdated lists of nodes.
DISPLACED_S = 5.0
#: From the decision to hand over to the release, seconds; grants made meanwhile end by then.
HANDOVER_S = 2.0
#: A slot is reassigned when its holder was not among the live nodes for this long, seconds.
ABSENT_S = 60.0
CONFIRM_TIMEOUT_S = 1.0

SLOT_EFFECTIVE = "limits.slot_effective"

_log = get_logger("limits")


class _BoundedTenure:
    """The tenure of the lease for its issuer; it ends at the handover at the latest."""

    def __init__(self, hold: LeaseHold, ends_at: Callable[[], float]) -> None:
        self._hold = hold
        self._ends_at = ends_at

    @property
    def epoch(self) -> int:
        return self._hold.epoch

    def remaining(self, now: float) -> float:
        if not self._hold.valid(now):
            return 0.0
        return min(self._hold.held.remaining(now), self._ends_at() - now)


def lease_name(shard: int) -> str:
    """Returns the name of a shard's lease."""
    return f"shard/{shard}"


class ShardOwner:
    """Claims a shard's lease while this node ranks first, and issues grants under it.

    :param log: returns the ``log`` service.
    :param call: calls a method of a node, as ``peers.call``.
    """

    def __init__(
        self,
        shard: int,
        node_id: str,
        clock: Clock,
        log: Callable[[], Any],
        call: Callable[[str, str, Any, float], Any],
    ) -> None:
        self._shard = shard
        self._node_id = node_id
        self._clock = clock
        self._log = log
        self._call = call
        self._hold: LeaseHold | None = None
        self._tenure: _BoundedTenure | None = None
        self._issuer: Issuer | None = None
        self._wanted = False
        self._displaced_since: float | None = None
        self._ends_at = float("inf")
        self._last_present: dict[int, tuple[str, float]] = {}
        self._confirmed: set[tuple[int, int, int]] = set()

    @property
    def wanted(self) -> bool:
        """Returns whether this node should hold the lease."""
        return self._wanted

    def issuer(self) -> Issuer:
        """Returns the issuer under the current lease.

        :raises LeaseLostError: if this node does not hold the lease.
        """
        tenure = self._tenure
        if tenure is None or not self._wanted or tenure.remaining(self._clock()) <= 0:
            raise LeaseLostError(
                f"this node does not hold the lease of shard {self._shard}; ask its holder",
                retry_after_s=1.0,
            )
        if self._issuer is None or self._issuer.epoch != tenure.epoch:
            self._issuer = Issuer.from_config(self._clock, tenure, self._fraction)
            self._confirmed.clear()
        return self._issuer

    def maintain(self, ranked: list[Node]) -> None:
        """Claims, keeps or hands over the lease, and assigns and confirms the slots.

        :param ranked: live nodes in the shard's order.
        """
        now = self._clock()
        first = bool(ranked) and ranked[0].id == self._node_id
        if self._ends_at <= now:
            self._end()
        elif not first:
            self._displace(now)
        elif self._ends_at == float("inf"):
            self._displaced_since = None
            self._want()
        try:
            issuer = self.issuer()
        except LeaseLostError:
            return
        self._maintain_slots(issuer, ranked, now)

    def hand_over(self) -> None:
        """Starts the handover at once; used when the node drains."""
        if self._wanted and self._ends_at == float("inf"):
            self._ends_at = self._clock() + HANDOVER_S

    def stop(self) -> None:
        """Ends the renewals; the lease is released only if no grant is live under it."""
        self._wanted = False
        if self._hold is None:
            return
        if self._issuer is None or self._issuer.outstanding <= 0 or not self._hold.valid():
            self._hold.stop()

    def _want(self) -> None:
        self._wanted = True
        if self._hold is None:
            self._hold = self._log().hold(lease_name(self._shard), wanted=lambda: self._wanted)
            self._tenure = _BoundedTenure(self._hold, lambda: self._ends_at)
            self._hold.start()

    def _displace(self, now: float) -> None:
        if self._displaced_since is None:
            self._displaced_since = now
        if now - self._displaced_since >= DISPLACED_S:
            self.hand_over()

    def _end(self) -> None:
        # All grants end before the handover, so the next owner can start with an empty bucket
        # without missing a live grant. The hold releases the lease once it is not wanted.
        self._wanted = False
        self._issuer = None
        self._ends_at = float("inf")
        self._displaced_since = None

    def _fraction(self) -> float:
        state = self._log().state
        recorded = sum(state.share(self._shard, slot) is not None for slot in range(SLOTS))
        return owner_fraction(recorded)

    # Slots

    def _maintain_slots(self, issuer: Issuer, ranked: list[Node], now: float) -> None:
        present = {f"{node.id}#{node.incarnation}" for node in ranked if node.incarnation}
        for slot in range(min(SLOTS, len(ranked))):
            entry = self._log().state.share(self._shard, slot)
            try:
                if entry is None or not entry.holder or self._is_absent(slot, entry, present, now):
                    self._assign(slot, self._slot_home(slot, ranked), entry)
                else:
                    self._confirm(issuer, slot, entry)
            except RouterError as error:
                # The next call of ``maintain`` retries; until then the slot is unchanged.
                _log.debug(
                    "share slot not assigned or confirmed; will retry",
                    shard=self._shard,
                    slot=slot,
                    code=error.code,
                )

    def _is_absent(self, slot: int, entry: Any, present: set[str], now: float) -> bool:
        holder, seen_at = self._last_present.get(slot, ("", now))
        if entry.holder in present or holder != entry.holder:
            self._last_present[slot] = (entry.holder, now)
            return False
        return now - seen_at > ABSENT_S

    def _slot_home(self, slot: int, ranked: list[Node]) -> Node:
        """Returns the home node for a slot; another slot's node is avoided to survive its loss."""
        entries = [self._log().state.share(self._shard, other) for other in range(SLOTS)]
        taken = {
            entry.holder.partition("#")[0]
            for other, entry in enumerate(entries)
            if other != slot and entry is not None
        }
        homes = ranked[:SLOTS]
        return next((node for node in homes if node.id not in taken), homes[slot])

    def _assign(self, slot: int, node: Node, entry: Any) -> None:
        if not node.incarnation:
            return
        base = entry.last_offset if entry is not None else -1
        holder = f"{node.id}#{node.incarnation}"
        self._log().append(ShareRecord(self._shard, slot, holder, base))

    def _confirm(self, issuer: Issuer, slot: int, entry: Any) -> None:
        key = (issuer.epoch, slot, entry.last_offset)
        if key in self._confirmed or not issuer.apply_fraction():
            return
        # An owner whose lease has expired may not have read records that its successor has read.
        self.issuer()
        node_id = entry.holder.partition("#")[0]
        payload = [self._shard, slot, entry.last_offset]
        self._call(node_id, SLOT_EFFECTIVE, payload, CONFIRM_TIMEOUT_S)
        self._confirmed.add(key)
