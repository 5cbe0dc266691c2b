"""Writes checkpoints of the folded state while this node holds the checkpoint lease."""

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
#: Interval between two checkpoints as a fraction of the retention, so that several fall within it.
INTERVAL_FRACTION = 0.25
#: Fraction of the retention over which the nodes spread their claims of the lease; otherwise all
#: nodes of a fleet would append at the same moment when the holder fails.
CLAIM_SPREAD_FRACTION = 0.001
_CHECK_INTERVAL_FRACTION = 0.02
_MAX_CHECK_INTERVAL_S = 5.0
_PARTS_PER_APPEND = 4
_TIMEOUT_S = 20.0

_log = get_logger("checkpoint")


class CheckpointWriter:
    """Appends the whole state every quarter of the retention.

    :param retention_s: configured retention of the log in seconds.
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
        self._interval_s = retention_s * INTERVAL_FRACTION
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._last_at = -math.inf
        self._seen_parts: set[tuple[str, int]] = set()
        self._greenlet: gevent.Greenlet | None = None
        log.subscribe(self._read_back)

    def start(self) -> None:
        """Starts claiming the lease and writing checkpoints."""
        self._hold.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops writing and releases the lease."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self._hold.stop()

    def _run(self) -> None:
        check_interval_s = min(_MAX_CHECK_INTERVAL_S, self._interval_s * _CHECK_INTERVAL_FRACTION)
        while True:
            gevent.sleep(self._rng.uniform(0.5, 1.0) * check_interval_s)
            try:
                self.step()
            except LogUnavailableError as error:
                self._metrics.count(CHECKPOINT_RETRIED)
                _log.warning("writing a checkpoint failed; it will be retried", error=error.message)

    def step(self) -> bool:
        """Writes a checkpoint if one is due.

        :return: whether one was written.
        :raises LogUnavailableError: if the log did not confirm all of it.
        """
        is_due = self._clock() - self._last_at >= self._interval_s
        if not is_due or self._log.state.version < 0 or not self._hold.valid():
            return False
        upto = self._log.state.offset
        parts = split_snapshot(self._log.state.snapshot(), upto)
        for start in range(0, len(parts), _PARTS_PER_APPEND):
            if not self._hold.valid():
                return False
            self._log.append_many(parts[start : start + _PARTS_PER_APPEND], timeout_s=_TIMEOUT_S)
        self._last_at = self._clock()
        _log.info("checkpoint written", upto=upto, parts=len(parts))
        return True

    def _read_back(self, _offset: int, record: Record | None, _verdict: Verdict) -> None:
        """Restarts the interval when all parts of a checkpoint have been read, from any holder.

        Ignores checkpoints read before the node is ready, because their age is not known.
        """
        body = record.body if record is not None else None
        if not isinstance(body, CheckpointPart) or not self._log.ready:
            return
        self._seen_parts = {entry for entry in self._seen_parts if entry[0] == body.digest}
        self._seen_parts.add((body.digest, body.part))
        if len(self._seen_parts) == body.parts:
            self._last_at = self._clock()
