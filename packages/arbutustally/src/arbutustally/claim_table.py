"""Table of the fold for booking claims and outcomes."""

import heapq
import math
from dataclasses import astuple, replace
from typing import Any

from arbutustally.bookings import BODY_DROPPED
from arbutustally.control_tables import is_text
from arbutustally.errors import Ran
from arbutustally.records import Claim, Outcome
from arbutustally.verdicts import ACCEPTED, ClaimEntry, Reason, Verdict, rejected

#: Length of the largest kept response body (64 KiB) in base64.
MAX_BODY_CHARACTERS = (64 << 10) * 4 // 3 + 4
#: Base64 characters of all kept response bodies. Beyond it the oldest bodies are dropped, and
#: their callers receive an error that says that the booking ran. Every node drops the same ones.
MAX_KEPT_CHARACTERS = 8 << 20
#: Duplicate appends of one key come from the few nodes to which its caller sent the request.
_MAX_RECORD_IDS = 16


class ClaimTable:
    """Claims by key.

    A claim is dropped from the table when its key time falls below the floor, and claims below
    the floor are refused, so a key can never be claimed again after its entry was dropped. The
    floor is derived from the highest key time in the log instead of a clock, because readers fold
    the same record at different times. It never decreases, even if the window is set to a longer
    one.

    :param window_s: booking window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # Earliest key time that is accepted, Unix seconds.
        self._floor_s = -math.inf
        self._entries: dict[str, ClaimEntry] = {}
        self._by_time: list[tuple[float, str]] = []
        self._body_lengths: dict[str, int] = {}
        self._kept_characters = 0

    def get(self, key: str) -> ClaimEntry | None:
        """Returns the current claim of a key."""
        return self._entries.get(key)

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, offset: int, record_id: str, body: Claim) -> Verdict:
        """Applies a claim; the first one of a key wins unless its outcome is ``not_run``."""
        texts = (body.key, body.request_digest, body.holder)
        if not (all(map(is_text, texts)) and math.isfinite(body.key_time_s)):
            return rejected(Reason.MALFORMED)
        if body.key_time_s < self._floor_s:
            return rejected(Reason.KEY_EXPIRED)
        entry = self._entries.get(body.key)
        if entry is None:
            self._add(offset, record_id, body)
            return ACCEPTED
        if record_id in entry.record_ids:
            return rejected(Reason.DUPLICATE, entry.offset)
        verdict = self._verdict_on_repeat(entry, body)
        ids = (*entry.record_ids, record_id)[-_MAX_RECORD_IDS:]
        if verdict.accepted:
            entry = replace(entry, holder=body.holder, offset=offset, outcome=None)
        self._entries[body.key] = replace(entry, record_ids=ids)
        return verdict

    @staticmethod
    def _verdict_on_repeat(entry: ClaimEntry, body: Claim) -> Verdict:
        if body.request_digest != entry.request_digest or body.key_time_s != entry.key_time_s:
            return rejected(Reason.KEY_REUSED, entry.offset)
        if entry.outcome is None or entry.outcome.ran != Ran.NOT_RUN:
            return rejected(Reason.CLAIMED, entry.offset)
        return ACCEPTED

    def _add(self, offset: int, record_id: str, body: Claim) -> None:
        self._entries[body.key] = ClaimEntry(
            key=body.key,
            request_digest=body.request_digest,
            holder=body.holder,
            offset=offset,
            key_time_s=body.key_time_s,
            outcome=None,
            record_ids=(record_id,),
        )
        heapq.heappush(self._by_time, (body.key_time_s, body.key))
        self._floor_s = max(self._floor_s, body.key_time_s - self._window_s)
        while self._by_time and self._by_time[0][0] < self._floor_s:
            _, key = heapq.heappop(self._by_time)
            del self._entries[key]
            self._kept_characters -= self._body_lengths.pop(key, 0)

    def apply_outcome(self, body: Outcome) -> Verdict:
        """Applies an outcome."""
        if body.ran not in tuple(Ran) or len(body.body) > MAX_BODY_CHARACTERS:
            return rejected(Reason.MALFORMED)
        if body.content_type and not is_text(body.content_type):
            return rejected(Reason.MALFORMED)
        if not body.body.isascii():
            return rejected(Reason.MALFORMED)
        entry = self._entries.get(body.key)
        if entry is None:
            return rejected(Reason.NO_CLAIM)
        is_named = body.claim == entry.offset
        # An outcome ``not_run`` must carry the offset of the current claim: otherwise a late record
        # of a claimant that lost or came earlier would free a claim that has been dispatched.
        if not is_named and (body.ran == Ran.NOT_RUN or body.claim != -1):
            return rejected(Reason.STALE_BASE, entry.offset)
        if entry.outcome is not None and not _settles_unknown(entry.outcome, body):
            return rejected(Reason.HAS_OUTCOME, entry.offset)
        self._entries[body.key] = replace(entry, outcome=body)
        if body.body:
            self._body_lengths[body.key] = len(body.body)
            self._kept_characters += len(body.body)
            self._drop_oldest_bodies()
        return ACCEPTED

    def _drop_oldest_bodies(self) -> None:
        while self._kept_characters > MAX_KEPT_CHARACTERS:
            key = next(iter(self._body_lengths))
            self._kept_characters -= self._body_lengths.pop(key)
            entry = self._entries[key]
            outcome = replace(entry.outcome, body="", content_type=BODY_DROPPED)
            self._entries[key] = replace(entry, outcome=outcome)

    def dump(self) -> Any:
        """Returns plain data."""
        rows = [
            [
                entry.key,
                entry.request_digest,
                entry.holder,
                entry.offset,
                entry.key_time_s,
                list(astuple(entry.outcome)) if entry.outcome is not None else None,
                list(entry.record_ids),
            ]
            for entry in self._entries.values()
        ]
        return [self._floor_s, rows, list(self._body_lengths)]

    def load(self, data: Any) -> None:
        """Replaces the content with data from ``dump``."""
        self._floor_s, rows, with_body = data
        self._entries = {}
        for key, digest, holder, offset, key_time_s, outcome, ids in rows:
            known = Outcome(*outcome) if outcome is not None else None
            entry = ClaimEntry(key, digest, holder, offset, key_time_s, known, tuple(ids))
            self._entries[key] = entry
        self._body_lengths = {key: len(self._entries[key].outcome.body) for key in with_body}
        self._kept_characters = sum(self._body_lengths.values())
        self._by_time = [(entry.key_time_s, key) for key, entry in self._entries.items()]
        heapq.heapify(self._by_time)


def _settles_unknown(old: Outcome, new: Outcome) -> bool:
    """Returns whether a late response settles a dispatched call of unknown outcome."""
    return old.ran == Ran.MAY_HAVE_RUN and new.ran == Ran.RAN
