"""Keeps the list of endpoints current, from the store or from peers that have read the store."""

from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import HoleFoundError, StoreUnavailableError
from arbutustally.gateway.list_outage import ListOutage
from arbutustally.gateway.shared_reading import Change, ListUpdate, Position, SharedReading
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.decoded_records import EndpointRecord
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.ports import Batch, KeyedTopic, Record
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.supervision import supervise

#: Duty name that ranks the nodes for reading the list.
READING_DUTY = b"endpoints"
#: Pause between two reads of the list, and longest wait of a read for the next record, as fractions
#: of the time within which leaving endpoints must be known. The pause batches heartbeats, which are
#: written many times a second. The sum stays below the age at which other nodes start to read.
PAUSE_FRACTION = 0.35
WAIT_FRACTION = 0.1
#: Interval at which a node that does not read checks whether it must, seconds.
ROLE_CHECK_S = 0.1
#: Age of this node's last read up to which it counts as a reader for the fleet, as a fraction of the
#: time within which leaving endpoints must be known.
READER_FRACTION = 0.75
#: Delay before the first retry of a failed call, seconds; doubles up to ``MAX_RETRY_S``.
RETRY_S = 0.2
#: Longest time for which a node waits for new records of endpoints whose entries in an older copy of
#: the list it did not apply, seconds.
UNCONFIRMED_S = 20.0
#: Time after a return of the store within which live workers have rewritten their entries and the
#: entries of others have expired, seconds.
REWRITTEN_S = 2.5
MAX_RETRY_S = 1.0


class EndpointReader:
    """Reads the list while this node is a reader, or receives nothing from any reader.

    :param leaving_s: time within which leaving endpoints must be known, seconds.
    :param outage: judges whether entries expired or were removed.
    :param return_s: time after the store's return within which a missing entry may reappear, seconds.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        view: FleetView,
        reading: SharedReading,
        watch: StoreWatch,
        log: DecisionLog,
        clock: Clock,
        gossip: Gossip,
        leaving_s: float,
        outage: ListOutage,
        return_s: float,
    ) -> None:
        self._pause_s = leaving_s * PAUSE_FRACTION
        self._wait_s = leaving_s * WAIT_FRACTION
        self._topic = topic
        self._view = view
        self._reading = reading
        self._watch = watch
        self._log = log
        self._clock = clock
        self._gossip = gossip
        self._reader_s = leaving_s * READER_FRACTION
        self._outage = outage
        self._return_s = return_s
        self._read_at = float("-inf")
        self._is_reader: bool | None = None
        self._must_read_whole = True
        self._has_more = False
        # Endpoints whose entries in an older copy of the list were not applied; their next records
        # show whether they still exist.
        self._unconfirmed: set[str] = set()
        self._unconfirmed_until = float("-inf")
        self._confirmed_by_peers_at = float("-inf")
        self._confirmed_to = 0
        self._is_publishing = False
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts reading."""
        self._greenlet = supervise(self._log, "endpoints", self._run)

    def stop(self) -> None:
        """Stops reading."""
        self._greenlet.kill()

    def updates(self) -> ListUpdate | None:
        """Returns the changes to send to the peers right after a read, otherwise ``None``."""
        if not self._is_publishing:
            return None
        return self._reading.updates(self._view.book.keeps_removed_s)

    def take(self, updates: ListUpdate, peer: str) -> None:
        """Applies the changes that a peer has read."""
        keep_until = self._clock() + updates.keep_removed_s
        if updates.keep_removed_s > 0 and self._may_have_expired:
            self._view.book.keep_removed(keep_until)
        for change in self._reading.take(updates):
            is_new = self._view.apply_endpoint(Record(change.key, change.value), peer)
            self._unconfirmed.discard(change.key)
            if change.value is None and is_new and updates.keep_removed_s > 0:
                self._view.book.keep(change.key, keep_until)
                kept_s = round(self._view.book.kept_s(change.key), 2)
                self._log.line("endpoint_kept", endpoint=change.key, kept_s=kept_s, source=peer)
        self._view.forget_gone()

    @property
    def position(self) -> Position | None:
        """Returns the position up to which the list is known, ``None`` before the first read."""
        return self._reading.position

    @property
    def list_age_s(self) -> float:
        """Returns the time since the list was known to be current, seconds."""
        return self._reading.age_s

    @property
    def is_reader(self) -> bool:
        """Returns whether this node reads the store for the fleet now."""
        return self._clock() - self._read_at < self._reader_s

    @property
    def has_missed(self) -> bool:
        """Returns whether a peer has changes that this node lacks, or reported a newer era."""
        return self._reading.has_missed or self._needs_peer_list

    @property
    def _needs_peer_list(self) -> bool:
        """Returns whether to request from peers which of the unconfirmed endpoints exist.

        Readers send each record once, and this node may have taken the list after that. By now
        the peers have the records that followed the store's return.
        """
        return bool(self._unconfirmed) and self._clock() >= self._confirmed_by_peers_at

    def apply_snapshot(self, records: tuple[Record, ...], position: Position, peer: str) -> None:
        """Applies a peer's whole list if it is newer, or confirms endpoints at the same position.

        :param position: up to where the list is current.
        """
        decoded = self._view.decode_endpoints(records)
        known = self._reading.position
        is_newer = known is None or position > known
        if is_newer or (self._needs_peer_list and position == known):
            self._replace(decoded, position, peer)
            self._reading.adopt_list(position)

    def _run(self) -> None:
        retry_s = RETRY_S
        while True:
            if not self._must_read():
                gevent.sleep(ROLE_CHECK_S)
                continue
            try:
                self.read_once()
                retry_s = RETRY_S
                gevent.sleep(0 if self._must_read_whole or self._has_more else self._pause_s)
            except StoreUnavailableError as error:
                self.failed(error)
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _must_read(self) -> bool:
        if self._clock() >= self._unconfirmed_until:
            self._unconfirmed.clear()
        is_due = self._may_read() and self._reading.is_due(self._gossip.rank(READING_DUTY))
        self._log_role(is_due)
        return is_due or bool(self._unconfirmed)

    def _may_read(self) -> bool:
        """Returns whether this node knows its rank among the readers, or must read regardless."""
        reading = self._reading
        return reading.position is None or reading.has_missed or self._gossip.is_settled

    def read_once(self) -> None:
        """Reads the new records, or the whole list.

        :raises StoreUnavailableError: if the store does not answer.
        """
        start = self._reading.position
        if start is None or self._must_read_whole:
            self._read_whole(start)
            return
        try:
            # Changes from peers advance the position but do not confirm these endpoints.
            offset = self._confirmed_to if self._unconfirmed else start.offset
            asked_at = self._reading.now
            batch = self._topic.since(offset, self._wait_s)
        except HoleFoundError as error:
            self._log.line("store_history_gone", oldest=error.oldest)
            self._must_read_whole = True
            return
        decoded = self._view.decode_endpoints(batch.records)
        self._watch.answered()
        if batch.era != start.era:
            self._must_read_whole = True
            return
        if self._reading.position.era != start.era:
            # Meanwhile a peer's list of a newer era was applied.
            return
        if not self._has_more:
            self._judge_gap(batch)
        self._read_at = self._clock()
        self._watch.list_read(asked_at)
        changes = self._apply(offset, decoded)
        self._has_more = bool(batch.records) and batch.unread > 0
        if self._has_more:
            self._reading.read_part(batch.next_offset, changes)
        else:
            self._reading.read(batch.next_offset, changes, self._current_at(asked_at, batch))
        self._confirmed_to = batch.next_offset
        self._view.forget_gone()
        self._publish()

    def _current_at(self, asked_at: float, batch: Batch) -> float:
        """Returns when the list certainly was as in a batch, which may be held up on its way.

        The store keeps a read without records waiting until its end.
        """
        if batch.records:
            return asked_at
        return min(asked_at + self._wait_s, self._reading.now)

    def failed(self, error: StoreUnavailableError) -> None:
        """Records a failed call to the store."""
        self._watch.failed(error)
        if self._may_have_expired:
            # Endpoints can't renew their entries either, unless this node alone is cut off.
            self._view.book.extend_kept(self._clock() + self._return_s)

    @property
    def _may_have_expired(self) -> bool:
        """Returns whether entries may have expired since the list was known to be current."""
        return self._outage.is_possible(self._reading.age_s)

    def _judge_gap(self, batch: Batch) -> None:
        """Treats entries removed from now on as expired if the store was unavailable to all."""
        gap_s, book = self._reading.age_s, self._view.book
        if not self._outage.is_possible(gap_s):
            return
        entries = sum(record.value is not None for record in batch.records) + batch.unread
        endpoints = sum(state.gone_at is None for state in book.all())
        is_shown = self._outage.is_shown(gap_s, entries, endpoints)
        if is_shown:
            book.keep_removed(self._clock() + self._return_s)
        self._log.line(
            "endpoint_list_gap",
            gap_s=round(gap_s, 2),
            entries=entries,
            endpoints=endpoints,
            is_outage=is_shown,
        )

    def _read_whole(self, start: Position | None) -> None:
        asked_at = self._reading.now
        batch = self._topic.newest()
        decoded = self._view.decode_endpoints(batch.records)
        self._watch.answered()
        self._must_read_whole = False
        position = Position(batch.era, batch.next_offset)
        now_known = self._reading.position
        if now_known is not None and now_known != start and now_known > position:
            # The changes received from peers meanwhile are newer than this answer.
            return
        self._replace(decoded, position, "store")
        self._reading.read_whole(position, asked_at)
        self._watch.list_read(asked_at)

    def _replace(
        self, records: tuple[EndpointRecord, ...], position: Position, source: str
    ) -> None:
        """Applies a whole list; a list of another era may be older than the known one."""
        known = self._reading.position
        self._unconfirmed.clear()
        if known is None or known.era == position.era:
            self._replace_same_era(records, source)
            return
        # Endpoints missing from the older copy are rewritten within the same time as expired ones.
        self._view.book.keep_removed(self._clock() + self._return_s)
        self._unconfirmed_until = self._clock() + UNCONFIRMED_S
        self._confirmed_by_peers_at = self._clock() + REWRITTEN_S
        self._unconfirmed = self._view.apply_restored_endpoints(records, source)
        self._confirmed_to = position.offset
        self._log.line(
            "endpoints_read_anew", era=position.era, previous=known.era, listed=len(records)
        )

    def _replace_same_era(self, records: tuple[EndpointRecord, ...], source: str) -> None:
        """Applies a whole list; after a long gap, the entries that it lacks may have expired."""
        book = self._view.book
        may_have_expired = self._may_have_expired
        listed = [state.id for state in book.all() if state.gone_at is None]
        self._view.replace_endpoints(records, source)
        if may_have_expired:
            for endpoint_id in listed:
                book.keep(endpoint_id, self._clock() + self._return_s)

    def _publish(self) -> None:
        """Sends the changes to all peers now.

        In a large fleet the interval of the regular datagrams is too long.
        """
        self._is_publishing = True
        try:
            self._gossip.send_now()
        finally:
            self._is_publishing = False

    def _apply(self, start: int, records: tuple[EndpointRecord, ...]) -> list[Change]:
        """Applies the records not received from peers meanwhile; returns the changes."""
        known_to = self._reading.position.offset
        return [
            Change(offset, decoded.key, decoded.record.value)
            for offset, decoded in enumerate(records, start)
            if self._take_record(decoded, offset >= known_to)
        ]

    def _take_record(self, decoded: EndpointRecord, is_unknown: bool) -> bool:
        """Applies a record that no peer has sent; returns whether it may be new to the peers."""
        was_unconfirmed = decoded.key in self._unconfirmed
        if not (is_unknown or was_unconfirmed):
            return False
        self._unconfirmed.discard(decoded.key)
        return self._view.apply_decoded(decoded, "store") or was_unconfirmed

    def _log_role(self, is_reader: bool) -> None:
        if is_reader != self._is_reader:
            self._is_reader = is_reader
            self._log.line("endpoint_list_source", source="store" if is_reader else "peers")
