"""Exchange of log records between nodes: a node that lags fetches records from its peers."""

import math
from random import Random
from typing import Any

import gevent
import orjson

from arbutustally.clock import Clock
from arbutustally.errors import RouterError, SnapshotInvalidError
from arbutustally.logs import get_logger
from arbutustally.records import decode
from arbutustally_node.kernel import Kernel
from arbutustally_node.log_view import LogView

TAIL_METHOD = "log_tail"
SNAPSHOT_METHOD = "log_snapshot"
#: A frame of a peer link holds at most 1 MB.
PART_BYTES = 512 << 10
_TAIL_BYTES = 256 << 10
_TAIL_RECORDS = 500
_POLL_INTERVAL_S = 1.0
#: Interval until the node is ready, so that a starting node serves as soon as its first peer link
#: is up.
_START_POLL_INTERVAL_S = 0.1
_TIMEOUT_S = 2.0
_POLLED_PEERS = 2
_MAX_PARTS = 1024
_SNAPSHOT_CACHE_S = 5.0
#: Requests to one peer before the next one is tried.
_MAX_REQUESTS_PER_PEER = 20

_log = get_logger("log_peers")


class LogPeers:
    """Serves log records to peers and fetches them while this node's own reading lags.

    :ivar confirmed_at: lower bound of the time at which a peer confirmed the tail, in monotonic
        seconds of this node; only set once all records that the peer holds were applied.
    :ivar known_offset: highest offset that any peer has reported.
    """

    def __init__(self, kernel: Kernel, view: LogView, clock: Clock, rng: Random, log: Any) -> None:
        self._kernel = kernel
        self._view = view
        self._clock = clock
        self._rng = rng
        self._log_service = log
        self._cached_snapshot: tuple[int, bytes] = (-1, b"")
        self._cached_at = -math.inf
        self._greenlet: gevent.Greenlet | None = None
        self.confirmed_at = -math.inf
        self.known_offset = -1

    def start(self) -> None:
        """Registers the handlers and starts polling; does nothing without a ``peers`` service."""
        peers = self._peers()
        if peers is None:
            return
        peers.handle(TAIL_METHOD, self._handle_tail)
        peers.handle(SNAPSHOT_METHOD, self._handle_snapshot)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops polling the peers."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def _peers(self) -> Any:
        try:
            return self._kernel.lookup("peers")
        except LookupError:
            return None

    def _run(self) -> None:
        while True:
            if self._log_service.needs_peers:
                self.fetch()
            interval_s = _POLL_INTERVAL_S if self._log_service.ready else _START_POLL_INTERVAL_S
            gevent.sleep(self._rng.uniform(0.5, 1.0) * interval_s)

    def fetch(self) -> None:
        """Fetches missing records from a few peers chosen at random."""
        names = list(self._peers().connected())
        for name in self._rng.sample(names, min(_POLLED_PEERS, len(names))):
            try:
                self._catch_up(name)
            except (RouterError, KeyError, TypeError, ValueError, OSError) as error:
                _log.info(
                    "fetching log records from a peer failed", peer=name, error=str(error)[:200]
                )

    def _catch_up(self, name: str) -> None:
        for _ in range(_MAX_REQUESTS_PER_PEER):
            before = self._view.state.offset
            offset = self._fetch_next(name)
            if self._view.state.offset >= offset or self._view.state.offset == before:
                return

    def _fetch_next(self, name: str) -> int:
        """Fetches the next records, or a snapshot if the peer no longer keeps them.

        :return: the offset that the peer has reached.
        """
        sent_at = self._clock()
        response = self._call(name, TAIL_METHOD, {"from": self._view.next_offset})
        offset = int(response["offset"])
        self.known_offset = max(self.known_offset, offset)
        if response["records"] is None:
            self._fetch_snapshot(name)
        else:
            for record_offset, row in response["records"]:
                record = decode(orjson.loads(row)) if row is not None else None
                self._view.apply(int(record_offset), record)
        if response["ready"] and self._view.state.offset >= offset:
            # The peer computed the age after this node sent its request, so the result is never
            # later than the true time.
            self.confirmed_at = max(self.confirmed_at, sent_at - float(response["age_s"]))
        return offset

    def _fetch_snapshot(self, name: str) -> None:
        request = {"part": 0, "offset": -1, "from": self._view.next_offset}
        first = self._call(name, SNAPSHOT_METHOD, request)
        parts = min(int(first["parts"]), _MAX_PARTS)
        received = [first["data"]]
        for part in range(1, parts):
            request = {"part": part, "offset": first["offset"]}
            response = self._call(name, SNAPSHOT_METHOD, request)
            if response["offset"] != first["offset"]:
                raise SnapshotInvalidError(
                    "the peer took a new snapshot during the transfer; retry"
                )
            received.append(response["data"])
        self._view.install(b"".join(received))

    def _call(self, name: str, method: str, payload: dict[str, Any]) -> Any:
        return self._peers().call(name, method, payload, _TIMEOUT_S)

    def _handle_tail(self, _node_id: str, payload: Any) -> dict[str, Any]:
        kept = self._view.recent_from(int(payload["from"]), _TAIL_RECORDS)
        age_s = self._clock() - self._log_service.confirmed_at
        return {
            "offset": self._view.state.offset,
            "ready": self._log_service.ready and math.isfinite(age_s),
            "age_s": age_s if math.isfinite(age_s) else 0.0,
            "records": _encode_up_to_limit(kept) if kept is not None else None,
        }

    def _handle_snapshot(self, _node_id: str, payload: Any) -> dict[str, Any]:
        """Returns one part of a snapshot.

        A request with a negative offset starts a transfer and takes a new snapshot unless the
        cached one is usable; later parts come from the cached one.
        """
        if payload["offset"] < 0 and not self._is_cache_useful(int(payload["from"])):
            self._cached_snapshot = (self._view.state.offset, self._view.state.snapshot())
            self._cached_at = self._clock()
        offset, snapshot = self._cached_snapshot
        start = int(payload["part"]) * PART_BYTES
        return {
            "offset": offset,
            "parts": max(1, math.ceil(len(snapshot) / PART_BYTES)),
            "data": snapshot[start : start + PART_BYTES],
        }

    def _is_cache_useful(self, start: int) -> bool:
        """Returns whether the cached snapshot and the kept records after it suffice for a peer.

        Many nodes that restart at once request it within seconds, and encoding a snapshot blocks
        all requests of this node.
        """
        offset = self._cached_snapshot[0]
        is_recent = self._clock() - self._cached_at < _SNAPSHOT_CACHE_S
        return is_recent and offset >= start and self._view.recent_from(offset + 1, 1) is not None


def _encode_up_to_limit(records: list) -> list[tuple[int, bytes | None]]:
    """Encodes records up to a size that fits into one frame; always includes the first one."""
    rows: list[tuple[int, bytes | None]] = []
    size = 0
    for offset, record in records:
        row = orjson.dumps(record.encode()) if record is not None else None
        size += len(row or b"")
        if rows and size > _TAIL_BYTES:
            break
        rows.append((offset, row))
    return rows
