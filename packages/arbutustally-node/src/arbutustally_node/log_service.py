"""Service ``log``: reads and appends to the platform's log and holds the state folded from it."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from arbutustally.clock import Clock, monotonic
from arbutustally.errors import LogUnavailableError
from arbutustally.log_client import LogClient
from arbutustally.metrics import Metrics, declare
from arbutustally.records import Body
from arbutustally.state import ControlState
from arbutustally_node.checkpoint_writer import CLAIM_SPREAD_FRACTION, LEASE_NAME, CheckpointWriter
from arbutustally_node.kernel import Kernel
from arbutustally_node.lease_hold import LeaseHold
from arbutustally_node.log_peers import LogPeers
from arbutustally_node.log_reader import LogReader
from arbutustally_node.log_view import LogView, Subscriber
from arbutustally_node.log_writer import DEFAULT_TIMEOUT_S, Appended, LogWriter
from arbutustally_node.options import Options

LOG_UNAVAILABLE = declare(
    "refused.log_unavailable", "The log did not confirm an append in time; look at the log."
)

#: Connect and inactivity timeout of a call to the log; a long poll adds its own wait.
CLIENT_TIMEOUT_S = 2.0
#: Longest wait of a poll as a fraction of the allowed staleness; a quarter leaves time for one
#: failed poll and its retry.
_POLL_WAIT_FRACTION = 0.25


class LogService:
    """Reads the log, appends to it and folds it into the state; holds leases, writes checkpoints.

    :param client: a ``LogClient`` or an object with its methods.
    """

    def __init__(
        self,
        kernel: Kernel,
        options: Options,
        client: Any,
        clock: Clock = monotonic,
        rng: Random | None = None,
    ) -> None:
        self._options = options
        self._clock = clock
        self._rng = rng or Random()
        metrics = self._metrics = _metrics(kernel)
        self._holds: dict[str, LeaseHold] = {}
        self._view = LogView(options.booking_window_s)
        self._writer = LogWriter(client, clock, self._rng, metrics)
        wait_s = options.key_staleness_s * _POLL_WAIT_FRACTION
        self._reader = LogReader(
            client, self._view, clock, self._rng, metrics, wait_s, lambda: self._writer.has_pending
        )
        self._peers = LogPeers(kernel, self._view, clock, self._rng, self)
        self._view.subscribe(self._writer.complete)
        self._view.subscribe_snapshot(self._writer.fail_skipped)
        hold = self.hold(LEASE_NAME, spread_s=options.log_retention_s * CLAIM_SPREAD_FRACTION)
        self._checkpoints = CheckpointWriter(
            self, hold, options.log_retention_s, clock, self._rng, metrics
        )

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "LogService":
        """Builds the service with a client of the configured log."""
        return cls(kernel, options, LogClient.from_config(options.log_url, CLIENT_TIMEOUT_S))

    def start(self) -> None:
        """Starts reading, appending, catching up from peers and writing checkpoints."""
        self._reader.start()
        self._writer.start()
        self._peers.start()
        self._checkpoints.start()

    def stop(self) -> None:
        """Releases the checkpoint lease and stops."""
        self._checkpoints.stop()
        self._peers.stop()
        self._writer.stop()
        self._reader.stop()

    @property
    def state(self) -> ControlState:
        """Returns the folded state.

        Installing a snapshot replaces the object, so callers must not keep a reference to it.
        """
        return self._view.state

    @property
    def confirmed_at(self) -> float:
        """Returns the time up to which the state is known to be complete, in monotonic seconds.

        This is the time at which the last read that reached the tail was sent, by this node or by
        a peer all of whose records were applied; minus infinity before the first such read.
        """
        return max(self._reader.confirmed_at, self._peers.confirmed_at)

    @property
    def known_offset(self) -> int:
        """Returns the highest offset that this node or any peer is known to have applied."""
        return max(self.state.offset, self._peers.known_offset)

    @property
    def is_missing_records(self) -> bool:
        """Returns whether the log dropped records before this node read them."""
        return self._reader.is_scanning

    @property
    def is_reachable(self) -> bool:
        """Returns whether the last read of the log succeeded."""
        return not self._reader.is_failing

    @property
    def ready(self) -> bool:
        """Returns whether a configuration was read and the tail was reached at least once."""
        return self.confirmed_at > float("-inf") and self.state.version >= 0

    @property
    def needs_peers(self) -> bool:
        """Returns whether this node should request records from its peers."""
        if self.is_missing_records or self.confirmed_at == float("-inf"):
            return True
        return self.staleness() > self._options.key_staleness_s / 2

    def staleness(self, now: float | None = None) -> float:
        """Returns the age of the state in seconds, infinity before the tail was reached."""
        return (self._clock() if now is None else now) - self.confirmed_at

    def append(self, body: Body, timeout_s: float = DEFAULT_TIMEOUT_S) -> Appended:
        """Appends a record and waits until it has been read back.

        :param timeout_s: time for the append, in seconds.
        :raises LogUnavailableError: ``not_run`` only if it cannot have reached the log.
        """
        return self.append_many([body], timeout_s)[0]

    def append_many(
        self, bodies: Sequence[Body], timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> list[Appended]:
        """Appends records in order and waits until all have been read back.

        :param timeout_s: time for all appends together, in seconds.
        :raises LogUnavailableError: ``not_run`` only if none can have reached the log.
        """
        self._reader.skip_pause()
        try:
            return self._writer.append_many(bodies, timeout_s)
        except LogUnavailableError:
            self._metrics.count(LOG_UNAVAILABLE)
            raise

    def subscribe(self, callback: Subscriber) -> None:
        """Registers a callback that runs after each record; it must not block.

        It is not called for records that a snapshot skipped; see ``subscribe_snapshot``.
        """
        self._view.subscribe(callback)

    def subscribe_snapshot(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after a snapshot replaced the state."""
        self._view.subscribe_snapshot(callback)

    def install(self, snapshot: bytes) -> bool:
        """Installs a snapshot received from a peer if its offset is above that of the state.

        :return: whether it was installed.
        :raises SnapshotInvalidError: if it is damaged or belongs to another log.
        """
        return self._view.install(snapshot)

    def held_leases(self) -> list[str]:
        """Returns the sorted names of the leases that this node holds now."""
        return sorted(name for name, hold in self._holds.items() if hold.valid())

    def hold(
        self,
        name: str,
        wanted: Callable[[], bool] | None = None,
        duration_s: float | None = None,
        spread_s: float = 0.0,
    ) -> LeaseHold:
        """Returns the hold on a named lease; the caller starts, stops and checks it.

        Calls with the same name return the same object.

        :param wanted: returns whether this node should hold the lease; by default it always
            should.
        :param duration_s: duration of the lease in seconds; ``lease_s`` of the settings by
            default.
        :param spread_s: seconds over which the claims of all nodes are spread at random; for
            leases that every node tries to hold.
        """
        hold = self._holds.get(name)
        if hold is None:
            hold = self._holds[name] = LeaseHold(
                log=self,
                name=name,
                holder=self._options.holder,
                duration_s=duration_s or self._options.lease_s,
                clock=self._clock,
                rng=self._rng,
                spread_s=spread_s,
            )
        if wanted is not None:
            hold.set_wanted(wanted)
        return hold


def _metrics(kernel: Kernel) -> Metrics:
    try:
        return kernel.lookup("metrics")
    except LookupError:
        return Metrics()
