"""Writes checkpoints of the fold while this node holds the lease for it."""

import math
from random import Random
from typing import Any

import gevent

from arbutustally.checkpoint import split_snapshot
from arbutustally.clock import Clock
from arbutustally.errors import LogUnavailableError
from arbutustally.logs import get_logger
from arbutustally.metrics import Metrics, declare
from arbutustally.records import CheckpointPart, Record
from arbutustally.verdicts import Verdict
from arbutustally_node.lease_hold import LeaseHold

CHECKPOINT_RETRIED = declare(
    "retried.checkpoint", "a checkpoint was not written and is tried again; look at the log"
)

LEASE_NAME = "checkpoint"
#: Part of the retention between two checkpoints, so that several lie within it.
INTERVAL_PART = 0.25
#: Part of the retention over which the nodes spread their claims of the lease; without it, all
#: nodes of a fleet would append at the same moment when a holder is gone.
CLAIM_SPREAD_PART = 0.001
_LOOK_EVERY = 0.02
_LONGEST_LOOK_S = 5.0
_PARTS_AT_ONCE = 4
_TIMEOUT_S = 20.0

_log = get_logger("checkpoint")


class CheckpointWriter:
    """Appends the whole fold every quarter of the retention.

    :param retention_s: declared retention of the log.
    """

    def __init__(
        self,
        log: Any,
        hold: LeaseHold,
        retention_s: float,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._hold = hold
        self._interval_s = retention_s * INTERVAL_PART
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._last_at = -math.inf
        self._seen: set[tuple[str, int]] = set()
        self._greenlet: gevent.Greenlet | None = None
        log.subscribe(self._read_back)

    def start(self) -> None:
        """Starts to claim the lease and to write."""
        self._hold.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops writing and releases the lease."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self._hold.stop()

    def _run(self) -> None:
        look_s = min(_LONGEST_LOOK_S, self._interval_s * _LOOK_EVERY)
        while True:
            gevent.sleep(self._rng.uniform(0.5, 1.0) * look_s)
            try:
                self.step()
            except LogUnavailableError as error:
                self._metrics.count(CHECKPOINT_RETRIED)
                _log.warning("checkpoint not written", error=error.message)

    def step(self) -> bool:
        """Writes a checkpoint if one is due.

        :return: whether one was written.
        :raises LogUnavailableError: if the log did not take all of it.
        """
        is_due = self._clock() - self._last_at >= self._interval_s
        if not is_due or self._log.state.version < 0 or not self._hold.valid():
            return False
        upto = self._log.state.offset
        parts = split_snapshot(self._log.state.snapshot(), upto)
        for start in range(0, len(parts), _PARTS_AT_ONCE):
            if not self._hold.valid():
                return False
            self._log.append_many(parts[start : start + _PARTS_AT_ONCE], timeout_s=_TIMEOUT_S)
        self._last_at = self._clock()
        _log.info("checkpoint written", upto=upto, parts=len(parts))
        return True

    def _read_back(self, _offset: int, record: Record | None, _verdict: Verdict) -> None:
        """Notes checkpoints of other holders.

        Only those read while the tail is followed count: the age of an older one is not known.
        """
        body = record.body if record is not None else None
        if not isinstance(body, CheckpointPart) or not self._log.ready:
            return
        self._seen = {entry for entry in self._seen if entry[0] == body.digest}
        self._seen.add((body.digest, body.part))
        if len(self._seen) == body.parts:
            self._last_at = self._clock()
