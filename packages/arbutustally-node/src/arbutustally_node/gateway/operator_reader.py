"""Keeps the operator's records current, from the store or from peers that read the store."""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from arbutustally.clock import Clock
from arbutustally.errors import HoleFoundError, StoreUnavailableError
from arbutustally.gateway.shared_reading import Position
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.decoded_records import OperatorRecord
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.peer_state import OperatorUpdate
from arbutustally_node.gateway.ports import Batch, KeyedTopic, Record
from arbutustally_node.gateway.reading_record import decode_reading, encode_reading, is_reading
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.supervision import supervise

#: Longest wait of a read for the next record, seconds.
WAIT_S = 5.0
#: Delay before the first retry of a failed call, seconds; doubles up to ``MAX_RETRY_S``.
RETRY_S = 0.2
MAX_RETRY_S = 1.0
#: Longest time for which a dead connection to the store, or the loss of all nodes that read, stays
#: undetected, seconds.
UNDETECTED_S = 3.0
#: Interval at which a node that does not read checks whether it must, seconds.
ROLE_CHECK_S = 0.05
#: Longest age of a reading of which peers are told, seconds.
READING_TOLD_S = 3.0
#: Time for which records are sent repeatedly, so that lost datagrams do not matter, seconds.
RESEND_S = 2.5


class OperatorReader:
    """Keeps a ``FleetView`` current with the operator's records.

    :param is_reader: returns whether this node reads for the fleet now.
    :param send_now: sends the peers at once the records that this node has read.
    :param earliest_arrival: returns the earliest time at which an answer that is read now may have
        arrived, steady seconds; by default now.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        view: FleetView,
        watch: StoreWatch,
        log: DecisionLog,
        clock: Clock,
        is_reader: Callable[[], bool],
        send_now: Callable[[], None],
        earliest_arrival: Clock | None = None,
    ) -> None:
        self._topic = topic
        self._view = view
        self._watch = watch
        self._log = log
        self._clock = clock
        self._is_reader = is_reader
        self._send_now = send_now
        self._earliest_arrival = earliest_arrival or clock
        self._recent: deque[tuple[float, float, Record]] = deque()
        self._offset: int | None = None
        self._era = 0
        self._announced_era = 0
        # Earliest time at which the next records may have been written.
        self._unread_since = -math.inf
        # When the store was asked last, and for how long it may wait for the next record.
        self._asked_at = -math.inf
        self._wait_s = 0.0
        self._must_ask_again = False
        self._has_read = False
        # Whether this node reads for the fleet, or has yet to read for the first time.
        self._is_active = True
        self._woken = Event()
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts reading."""
        self._greenlet = supervise(self._log, "operator", self._follow)

    def stop(self) -> None:
        """Stops reading."""
        self._greenlet.kill()

    def updates(self, has_read: bool) -> tuple[OperatorUpdate, ...]:
        """Returns the evacuations, removals of evacuations and removed accounts that it knows.

        :param has_read: whether to add the records that this node has recently read or published.
        """
        repeated = tuple(
            OperatorUpdate(record.key, record.value, None, record.position)
            for record in (*self._view.evacuation_records, *self._view.removed_account_records)
        )
        recent = self._recent_updates() if has_read else ()
        return (*repeated, *recent, *self._reading_update())

    def _reading_update(self) -> tuple[OperatorUpdate, ...]:
        """Returns the record that tells how old this node's own reading is, if it is recent."""
        age_s = self._watch.configuration_age.own_age_s
        return (encode_reading(self._version, age_s),) if age_s <= READING_TOLD_S else ()

    def _recent_updates(self) -> tuple[OperatorUpdate, ...]:
        now = self._clock()
        while self._recent and now - self._recent[0][0] > RESEND_S:
            self._recent.popleft()
        return tuple(
            OperatorUpdate(
                record.key, record.value, None if known_at == -math.inf else now - known_at
            )
            for _sent_at, known_at, record in self._recent
            if record.value is not None and not self._view.is_evacuation(record)
        )

    def publish(self, record: Record) -> None:
        """Sends the peers a record of this node together with those that it has read."""
        now = self._clock()
        self._recent.append((now, now, record))
        self._send_now()

    def take(self, updates: tuple[OperatorUpdate, ...], peer: str) -> None:
        """Applies the records that a peer has read."""
        now = self._clock()
        for item in updates:
            if is_reading(item):
                self._take_reading(item)
                continue
            known_at = -math.inf if item.age_s is None else now - item.age_s
            self._view.apply_operator(Record(item.key, item.value, item.position), peer, known_at)

    def _take_reading(self, update: OperatorUpdate) -> None:
        version = decode_reading(update)
        if version is not None and version <= self._version:
            self._watch.configuration_age.peer_read(update.age_s)

    @property
    def _version(self) -> int:
        """Returns the version of the configuration in force, 0 without one."""
        configuration = self._view.configuration
        return configuration.version if configuration else 0

    def era_changed(self, era: int) -> None:
        """Ends a wait for the next record, since offsets differ in the store's new era."""
        self._announced_era = era
        if era > self._era:
            self._woken.set()

    def contact_resumed(self) -> None:
        """Ends a wait or pause that began before this node lost contact, and asks again at once."""
        self._must_ask_again = True
        self._woken.set()

    def store_answered(self, asked_at: float) -> None:
        """Ends a call or pause that began before another call that the store has answered.

        The connection of a call that began while the store was silent may stay silent.

        :param asked_at: when that call was made, steady seconds.
        """
        if self._is_active and self._offset is not None and self._asked_at < asked_at:
            self.contact_resumed()

    def _follow(self) -> None:
        retry_s = RETRY_S
        while True:
            if self._offset is not None and not self._is_reader():
                # The nodes that read pass on new records, unless all of them are lost, which may
                # be undetected for a while.
                self._unread_since = self._clock() - UNDETECTED_S
                self._watch.configuration_age.following_ended()
                self._is_active = False
                gevent.sleep(ROLE_CHECK_S)
                continue
            self._is_active = True
            try:
                self.read_once()
                retry_s = RETRY_S
            except StoreUnavailableError as error:
                self._watch.failed(error)
                self._expect_unread()
                self._woken.wait(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def read_once(self) -> None:
        """Reads the new records, or the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """
        offset = self._offset
        try:
            batch = self._newest() if offset is None else self._wait_for_records(offset)
        except HoleFoundError as error:
            self._log.line("store_history_gone", oldest=error.oldest, read_from=offset)
            self._read_anew()
            return
        arrived_at = self._earliest_arrival()
        decoded = self._view.decode_operators(batch.records)
        self._watch.answered()
        if offset is not None and batch.era != self._era:
            self._read_anew()
            return
        if self._has_read and batch.era != self._era:
            self._log.line("operator_records_read_anew", era=batch.era, previous=self._era)
        self._era, self._offset = batch.era, batch.next_offset
        self._clear_wake()
        self._apply_records(decoded, min(self._unread_since, arrived_at), self._has_read)
        if offset is None:
            # Removed keys are missing among the newest records.
            end = Position(batch.era, max(0, batch.next_offset - 1))
            self._view.end_unlisted_evacuations(batch.records, end, "store")
        if batch.unread <= 0 or not batch.records:
            self._unread_since = math.inf
            has_begun = self._watch.configuration_read(self._current_at(batch))
            if has_begun and self._has_read:
                # Peers may wait for it to share cached parts again.
                self._send_now()
        self._has_read = True

    def _current_at(self, batch: Batch) -> float:
        """Returns when the records certainly were as in a batch, which may be held up on its way.

        The store keeps a read without records waiting until its end.
        """
        if batch.records:
            return self._asked_at
        return min(self._asked_at + self._wait_s, self._clock())

    def _newest(self) -> Batch:
        # Cleared before the call: an era that begins during it then ends the next wait.
        self._woken.clear()
        self._must_ask_again = False
        self._asked_at, self._wait_s = self._clock(), 0.0
        return self._topic.newest()

    def _begin_call(self) -> float:
        """Returns how long a call that begins now may wait for the next record, seconds."""
        # Records that come after a wait are new only if all earlier ones have been read.
        may_wait = not self._must_ask_again and math.isinf(self._unread_since)
        if self._must_ask_again:
            self._must_ask_again = False
            self._clear_wake()
        self._asked_at = self._clock()
        self._wait_s = WAIT_S if may_wait else 0.0
        return self._wait_s

    def _clear_wake(self) -> None:
        if self._era >= self._announced_era:
            self._woken.clear()

    def _wait_for_records(self, offset: int) -> Batch:
        """Returns the records from an offset on; a new era ends the wait for the first one.

        :raises StoreUnavailableError: if the store does not answer.
        :raises HoleFoundError: if the store no longer has the offset, or has begun a new era.
        """
        outcome = self._read_unless_woken(offset)
        while outcome is None and self._must_ask_again:
            outcome = self._read_unless_woken(offset)
        if outcome is None:
            raise HoleFoundError("the store has begun a new era; read the newest", oldest=0)
        if isinstance(outcome, Batch):
            return outcome
        raise outcome

    def _read_unless_woken(
        self, offset: int
    ) -> Batch | HoleFoundError | StoreUnavailableError | None:
        """Returns the outcome of a read, ``None`` if it was ended before."""
        reading = gevent.spawn(_read_or_error, self._topic, offset, self._begin_call())
        try:
            gevent.wait([reading, self._woken], count=1)
            return reading.get() if reading.ready() else None
        finally:
            reading.kill(block=False)

    def _read_anew(self) -> None:
        self._expect_unread()
        self._offset = None

    def _expect_unread(self) -> None:
        self._unread_since = min(self._unread_since, self._clock() - UNDETECTED_S)

    def _apply_records(
        self, records: tuple[OperatorRecord, ...], known_at: float, is_news: bool
    ) -> None:
        now = self._clock()
        # A node that begins to read finds records that it has from peers already, with a more
        # exact age.
        new = [one for one in records if not self._view.has_operator(one.record)]
        for decoded in new:
            self._view.apply_decoded_operator(decoded, "store", known_at)
            if is_news:
                self._recent.append((now, known_at, decoded.record))
        if is_news and new and self._is_reader():
            self._send_now()


def _read_or_error(
    topic: KeyedTopic, offset: int, wait_s: float
) -> Batch | HoleFoundError | StoreUnavailableError:
    try:
        return topic.since(offset, wait_s)
    except (HoleFoundError, StoreUnavailableError) as error:
        return error
