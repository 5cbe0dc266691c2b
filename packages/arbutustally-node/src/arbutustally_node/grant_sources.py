"""Where a node gets grants: the owner of the shard, then its standing share slots."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutustally.clock import Clock
from arbutustally.directory import shard_of
from arbutustally.errors import LeaseLostError, LimitUnavailableError, RouterError
from arbutustally.grant_pool import GrantPool
from arbutustally.grants import grant_for_receiver
from arbutustally.limit_issuer import GrantRequest, GrantResponse, Issuer
from arbutustally.standing_shares import SLOT_FRACTION, SLOTS, owner_fraction
from arbutustally_node.options import Options
from arbutustally_node.shard_owner import ShardOwner, lease_name
from arbutustally_node.slot_holder import SlotHolder

#: Timeout of one call to an issuer, seconds.
CALL_TIMEOUT_S = 0.25
#: A node that did not respond is not called again for this long, seconds; the pause doubles with
#: each further call without a response. It starts short because a single late response may only
#: mean that the machine is busy.
PAUSE_FIRST_S = 0.1
PAUSE_LAST_S = 1.0
#: A grant that ends within this time is closed, so that its unused tokens return to its issuer,
#: seconds.
CLOSE_AHEAD_S = 0.5
#: Interval of reports of use to an issuer that was sent no request meanwhile, seconds.
REPORT_S = 1.0
#: Most epochs whose issuers are kept, several for each shard of the planned size.
MAX_EPOCHS = 4096

GRANT = "limits.grant"
SHARE_GRANT = "limits.share_grant"


@dataclass(frozen=True)
class Refusal:
    """Reason why no grant was made.

    :ivar unavailable: no issuer could be reached.
    :ivar retry_after_s: earliest time at which an issuer may grant, seconds; for an account without
        a reachable issuer, when its caller should retry.
    :ivar within_rate: the account's use is within its rate as far as is known.
    """

    unavailable: bool
    retry_after_s: float | None
    within_rate: bool


_UNAVAILABLE = Refusal(True, 1.0, True)


@dataclass(frozen=True)
class _Pause:
    """Period in which a node that did not respond is not called.

    :ivar until: end of the pause, monotonic seconds.
    :ivar length_s: length of this pause, seconds.
    """

    until: float
    length_s: float


class GrantSources:
    """Requests grants from issuers and handles requests to the issuers of this node.

    :param call: calls a method of a node, as ``peers.call``.
    :param pool: receives the grants.
    :param owners: by shard.
    :param slots: by shard and slot.
    """

    def __init__(
        self,
        options: Options,
        clock: Clock,
        log: Callable[[], Any],
        call: Callable[[str, str, Any, float], Any],
        pool: GrantPool,
        owners: list[ShardOwner],
        slots: list[list[SlotHolder]],
    ) -> None:
        self._node_id = options.node_id
        self._shards = options.shards
        self._clock = clock
        self._log = log
        self._call = call
        self._pool = pool
        self._owners = owners
        self._slots = slots
        self._pauses: dict[str, _Pause] = {}
        self._refusals: dict[str, Refusal] = {}
        # Node, method and slot of the issuer of each epoch that made grants, for the reports.
        self._issuers: dict[int, tuple[str, str, int]] = {}
        self._reported: dict[str, dict[int, float]] = {}

    # Requests to the issuers of this node

    def on_grant(self, node_id: str, payload: list[Any]) -> list[Any]:
        """Handles a grant request of a node to this owner.

        :raises LeaseLostError: if this node does not own the account's shard.
        """
        request = GrantRequest.from_payload(payload)
        issuer = self._owners[self._shard(request.account)].issuer()
        return self._answer(issuer, node_id, request).to_payload()

    def on_share_grant(self, node_id: str, payload: list[Any]) -> list[Any]:
        """Handles a grant request of a node to a slot of this node.

        :raises LeaseLostError: if this node may not use the slot.
        """
        slot, *values = payload
        request = GrantRequest.from_payload(values)
        issuer = self._slots[self._shard(request.account)][slot].issuer()
        return self._answer(issuer, node_id, request).to_payload()

    def _answer(self, issuer: Issuer, node_id: str, request: GrantRequest) -> GrantResponse:
        limits = self._log().state.declarations.accounts.get(request.account)
        if limits is None:
            raise LimitUnavailableError(
                f"account {request.account!r} has no declared limit; "
                f"declare [accounts.{request.account}]"
            )
        return issuer.answer(node_id, request, limits.rate, limits.burst)

    # Requests to issuers

    def is_owner(self, account: str) -> bool:
        """Returns whether this node owns the account's shard."""
        return self._owner_node(account) == self._node_id

    def last_refusal(self, account: str) -> Refusal:
        """Returns the latest refusal of an account."""
        return self._refusals.get(account, _UNAVAILABLE)

    def fetch(self, account: str, needed: float, wanted: float) -> Refusal | None:
        """Requests tokens from the owner, then the slots; returns the refusal if they fall short.

        A need above the capacity of any one issuer is collected in parts.
        """
        refusals = []
        missing = needed
        plan = self._plan(account)
        for position, (ask, most) in enumerate(plan):
            if sum(capacity for _, capacity in plan[position:]) < missing:
                # The remaining issuers cannot cover the need; a request would waste their tokens.
                break
            part = min(missing, most)
            try:
                offer = ask(account, part, wanted if part == needed else part)
            except RouterError:
                refusals.append(_UNAVAILABLE)
                continue
            if offer.tokens >= part:
                missing -= part
            else:
                refusals.append(Refusal(False, offer.retry_after_s, offer.within_rate))
            if missing <= 0:
                return None
        refusal = _merge_refusals(refusals)
        self._refusals[account] = refusal
        return refusal

    def _plan(self, account: str) -> list[tuple[Callable[..., GrantResponse], float]]:
        """Returns the issuers in order, each with the most that it can ever grant at once."""
        state = self._log().state
        limits = state.declarations.accounts.get(account)
        if limits is None:
            return []
        burst = limits.burst
        shard = self._shard(account)
        entries = [state.share(shard, slot) for slot in range(SLOTS)]
        recorded = [slot for slot, entry in enumerate(entries) if entry is not None]
        plan: list[tuple[Callable[..., GrantResponse], float]] = [
            (self.ask_owner, burst * owner_fraction(len(recorded)))
        ]
        # A slot of this node comes first because it needs no message.
        recorded.sort(key=lambda slot: self._slot_node(entries[slot]) != self._node_id)
        for slot in recorded:
            node_id = self._slot_node(entries[slot])
            if node_id:
                plan.append((self._slot_asker(slot, node_id), burst * SLOT_FRACTION))
        return plan

    def _slot_asker(self, slot: int, node_id: str) -> Callable[..., GrantResponse]:
        def ask(account: str, needed: float, wanted: float) -> GrantResponse:
            return self._ask(node_id, SHARE_GRANT, slot, account, needed, wanted)

        return ask

    def ask_owner(self, account: str, needed: float, wanted: float) -> GrantResponse:
        """Requests a grant from the owner of the account's shard and adds it to the pool.

        :raises RouterError: if there is no owner or it does not respond.
        """
        node_id = self._owner_node(account)
        if node_id is None:
            raise LimitUnavailableError(
                f"the shard of account {account!r} has no owner at present; retry",
                retry_after_s=1.0,
            )
        return self._ask(node_id, GRANT, -1, account, needed, wanted)

    def _ask(
        self, node_id: str, method: str, slot: int, account: str, needed: float, wanted: float
    ) -> GrantResponse:
        if self._is_paused(node_id):
            raise LimitUnavailableError(
                f"node {node_id} did not respond to the latest call; retry",
                retry_after_s=PAUSE_LAST_S,
            )
        uses = self._uses(account, node_id, method, slot)
        request = GrantRequest(account, needed, wanted, uses)
        # The lifetime counts from here. The issuer counts from its later decision, so the grant
        # ends here before it ends at the issuer.
        sent_at = self._clock()
        offer = self._send(node_id, method, slot, request)
        if offer.tokens > 0:
            grant = offer.to_grant(account, self._node_id, 0.0)
            self._issuers[offer.epoch] = (node_id, method, slot)
            if len(self._issuers) > MAX_EPOCHS:
                del self._issuers[next(iter(self._issuers))]
            self._pool.add(grant_for_receiver(grant, offer.lifetime_s, sent_at))
        return offer

    def _send(self, node_id: str, method: str, slot: int, request: GrantRequest) -> GrantResponse:
        payload = request.to_payload() if method == GRANT else [slot, *request.to_payload()]
        try:
            if node_id == self._node_id:
                answer = self.on_grant if method == GRANT else self.on_share_grant
                return GrantResponse(*answer(node_id, payload))
            offer = GrantResponse(*self._call(node_id, method, payload, CALL_TIMEOUT_S))
        except LeaseLostError:
            # The node is alive; the log will record the next holder.
            self._pauses.pop(node_id, None)
            raise
        except RouterError:
            self._pause(node_id)
            raise
        self._pauses.pop(node_id, None)
        return offer

    def _is_paused(self, node_id: str) -> bool:
        pause = self._pauses.get(node_id)
        return pause is not None and pause.until > self._clock()

    def _pause(self, node_id: str) -> None:
        last = self._pauses.get(node_id)
        length_s = PAUSE_FIRST_S if last is None else min(2 * last.length_s, PAUSE_LAST_S)
        self._pauses[node_id] = _Pause(self._clock() + length_s, length_s)

    # Reports

    def report(self, account: str, everything: bool = False) -> None:
        """Reports use to issuers without a report for ``REPORT_S`` and closes grants that end soon.

        :param everything: close all grants.
        """
        closing = float("inf") if everything else self._clock() + CLOSE_AHEAD_S
        live = self._pool.epochs(account)
        earlier = self._reported.get(account, {})
        # Drops the epochs without a live grant.
        reported = {epoch: earlier.get(epoch, 0.0) for epoch in live}
        self._reported[account] = reported
        for epoch in live:
            issuer = self._issuers.get(epoch)
            due = self._clock() - reported[epoch] >= REPORT_S
            if not due and not self._pool.has_expiring_tokens(account, epoch, closing):
                continue
            if issuer is not None and self._is_paused(issuer[0]):
                # An issuer that does not respond would delay the reports to all others.
                continue
            reported[epoch] = self._clock()
            uses = tuple(self._pool.reports(account, epoch, closing))
            if issuer is None or not uses:
                continue
            node_id, method, slot = issuer
            try:
                self._send(node_id, method, slot, GrantRequest(account, 0.0, 0.0, uses))
            except RouterError:
                # Without a report, the issuer's level only stays lower until the grant's deadline.
                continue

    def _uses(self, account: str, node_id: str, method: str, slot: int) -> tuple[Any, ...]:
        source = (node_id, method, slot)
        epochs = [e for e in self._pool.epochs(account) if self._issuers.get(e) == source]
        reported = self._reported.setdefault(account, {})
        reported.update({epoch: self._clock() for epoch in epochs})
        return tuple(use for epoch in epochs for use in self._pool.reports(account, epoch))

    def _shard(self, account: str) -> int:
        return shard_of(account, self._shards)

    def _owner_node(self, account: str) -> str | None:
        entry = self._log().state.lease(lease_name(self._shard(account)))
        if entry is None or entry.released:
            return None
        return entry.holder.partition("#")[0]

    def _slot_node(self, entry: Any) -> str:
        return entry.holder.partition("#")[0]


def _merge_refusals(refusals: list[Refusal]) -> Refusal:
    answered = [refusal for refusal in refusals if not refusal.unavailable]
    if not answered:
        return _UNAVAILABLE
    waits = [r.retry_after_s for r in answered if r.retry_after_s is not None]
    # The owner issues most of the limit; without its response, use may still be within the rate.
    within = refusals[0].unavailable or any(refusal.within_rate for refusal in answered)
    return Refusal(refusals[0].unavailable, min(waits, default=None), within)
