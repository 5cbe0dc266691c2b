"""A node's current configuration, named weights and endpoints, from the store and from peers."""

import math
from collections.abc import Callable

from arbutustally.clock import Clock
from arbutustally.gateway.cache_scope import isolation_epoch
from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.evacuation import ZoneEvacuation
from arbutustally.gateway.isolation_history import IsolationHistory
from arbutustally.gateway.named_weights import NamedWeights
from arbutustally.gateway.rollout_book import RolloutBook
from arbutustally.gateway.rollouts import RolloutOrder
from arbutustally.gateway.shared_reading import Position
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.decoded_records import (
    EndpointRecord,
    OperatorRecord,
    decode_endpoint,
    decode_endpoints,
    decode_operator,
    decode_operators,
)
from arbutustally_node.gateway.isolation_record import (
    ISOLATION_PREFIX,
    decode_isolated,
    encode_complete,
    encode_isolated,
)
from arbutustally_node.gateway.ports import Documents, Record, WeightsNamed
from arbutustally_node.gateway.refused_records import RefusedRecords
from arbutustally_node.gateway.rollout_record import PROGRESS_PREFIX, decode_progress

#: Time after which an endpoint whose entry was removed is forgotten, seconds. It exceeds the age of
#: a copy from which the store may be restored, so that an entry in the copy is recognised as
#: outdated.
FORGET_GONE_S = 60.0
#: Accounts that were removed while isolated which every message to the peers names, the latest ones.
MAX_REMOVED_ACCOUNTS = 16
#: Corrections of the time at which weights were named that are logged, seconds.
REDATED_S = 0.1


class FleetView:
    """Configuration, named weights and endpoints as one node currently knows them.

    :param documents: decodes the records that other programs write into the store.
    :param count: counts an event.
    :param weights_s: time for which replaced weights are allowed, seconds.
    """

    def __init__(
        self,
        documents: Documents,
        clock: Clock,
        log: DecisionLog,
        count: Callable[[str], None] = lambda _event: None,
        weights_s: float = math.inf,
    ) -> None:
        self._documents = documents
        self._clock = clock
        self._log = log
        self._count = count
        self._weights_s = weights_s
        self._refused = RefusedRecords(log, count)
        self._configuration: Configuration | None = None
        self._operator_raw: dict[str, bytes] = {}
        self._evacuation_raw: dict[str, Record] = {}
        self._endpoint_raw: dict[str, bytes] = {}
        self._weights: dict[str, NamedWeights] = {}
        self._rollouts = RolloutBook()
        self._has_endpoints = False
        self.isolation = IsolationHistory()
        self.book = EndpointBook.from_config(clock)
        self._configuration_watchers: list[Callable[[Configuration], None]] = []
        self._weights_watchers: list[Callable[[str], None]] = []

    @property
    def configuration(self) -> Configuration | None:
        """Returns the configuration in force, ``None`` before the first one."""
        return self._configuration

    @property
    def weights(self) -> dict[str, NamedWeights]:
        """Returns the named weights by model."""
        return self._weights

    @property
    def rollouts(self) -> RolloutBook:
        """Returns the roll-outs of services."""
        return self._rollouts

    @property
    def is_complete(self) -> bool:
        """Returns whether the node has a configuration and endpoints, as serving requires."""
        return self._configuration is not None and self._has_endpoints

    @property
    def operator_records(self) -> tuple[Record, ...]:
        """Returns the operator's records as written, for peers without the store."""
        records = (Record(key, value) for key, value in self._operator_raw.items())
        isolated = [encode_isolated(name) for name in self.isolation.names]
        if self.isolation.is_complete:
            isolated.append(encode_complete())
        # A node with a configuration may serve, so it is the last record to be applied.
        return (*isolated, *self._evacuation_raw.values(), *records)

    @property
    def evacuation_records(self) -> tuple[Record, ...]:
        """Returns the records of evacuations and of their removals, with positions."""
        return tuple(self._evacuation_raw.values())

    @property
    def removed_account_records(self) -> tuple[Record, ...]:
        """Returns records of the accounts that the operator removed while they were isolated."""
        if self._configuration is None:
            return ()
        names = self.isolation.removed(self._configuration)[-MAX_REMOVED_ACCOUNTS:]
        return tuple(map(encode_isolated, names))

    @property
    def endpoint_records(self) -> tuple[Record, ...]:
        """Returns the endpoints' entries as written, for peers without the store."""
        return tuple(Record(key, value) for key, value in self._endpoint_raw.items())

    def watch_configuration(self, notify: Callable[[Configuration], None]) -> None:
        """Calls ``notify`` with each configuration that comes into force."""
        self._configuration_watchers.append(notify)

    def watch_weights(self, notify: Callable[[str], None]) -> None:
        """Calls ``notify`` with each model for which the time of a naming has become known."""
        self._weights_watchers.append(notify)

    def decode_operators(self, records: tuple[Record, ...]) -> tuple[OperatorRecord, ...]:
        """Returns records of the operator with contents; the event loop gets turns meanwhile."""
        return decode_operators(self._documents, records)

    def apply_operator(self, record: Record, source: str, known_at: float = -math.inf) -> None:
        """Applies a record of the operator; one older than the known state changes nothing.

        :param known_at: earliest time at which it may have been written, ``-inf`` if unknown.
        """
        self.apply_decoded_operator(decode_operator(self._documents, record), source, known_at)

    def apply_decoded_operator(
        self, decoded: OperatorRecord, source: str, known_at: float = -math.inf
    ) -> None:
        """Applies a decoded record of the operator as ``apply_operator`` does."""
        record, change = decoded.record, decoded.change
        if record.key.startswith(PROGRESS_PREFIX):
            self._take_progress(record, source)
            return
        if record.key.startswith(ISOLATION_PREFIX):
            self._take_isolated(record)
            return
        if isinstance(change, Configuration):
            self._configure(change, record, source)
        elif isinstance(change, WeightsNamed):
            self._name_weights(change, record, source, known_at)
        elif isinstance(change, RolloutOrder):
            self._order_rollout(change, record, source, known_at)
        elif isinstance(change, ZoneEvacuation):
            self._evacuate(change, record, source)
        elif change is None and record.value is not None:
            self._refused.add("operator_record_unreadable", record, source)

    def has_operator(self, record: Record) -> bool:
        """Returns whether a record of the operator is already known with the same value."""
        known = self._evacuation_raw.get(record.key)
        if known is not None:
            return known.value == record.value and _position(known) >= _position(record)
        return record.value is not None and self._operator_raw.get(record.key) == record.value

    def is_evacuation(self, record: Record) -> bool:
        """Returns whether a record is that of an evacuation or of its removal."""
        return record.key in self._evacuation_raw

    def end_unlisted_evacuations(
        self, listed: tuple[Record, ...], end: Position, source: str
    ) -> None:
        """Ends the evacuations whose records are missing among all records of the operator.

        A store that is restored from an older copy may have lost a record that the operator did not
        remove. An evacuation ordered in an earlier era therefore stays in force until its removal
        is read.

        :param end: position of the last record of the store.
        """
        keys = {record.key for record in listed}
        for record in self.evacuation_records:
            if record.value is None or record.key in keys:
                continue
            if _position(record).era == end.era:
                self.apply_operator(Record(record.key, None, end), source)
            else:
                self._log.line("evacuation_kept", key=record.key, era=end.era)

    def decode_endpoints(self, records: tuple[Record, ...]) -> tuple[EndpointRecord, ...]:
        """Returns records of the list with their contents; the event loop gets turns meanwhile."""
        return decode_endpoints(self._documents, records)

    def apply_endpoint(self, record: Record, source: str) -> bool:
        """Applies an endpoint's entry or its removal; returns whether that changes anything."""
        return self.apply_decoded(decode_endpoint(self._documents, record), source)

    def apply_decoded(self, decoded: EndpointRecord, source: str) -> bool:
        """Applies a decoded entry or removal; returns whether that changes anything."""
        record, entry = decoded.record, decoded.entry
        if decoded.is_removal:
            return self._remove_endpoint(record.key, source)
        if entry is None:
            self._refused.add("endpoint_record_unreadable", record, source)
            return False
        if self.book.is_replaced_start(entry):
            return False
        self._endpoint_raw[record.key] = record.value
        self._has_endpoints = True
        before = self.book.get(entry.id)
        was_leaving = before is not None and before.is_leaving
        was_removed = before is not None and before.gone_at is not None
        was_cold = before is not None and before.cold_until > self._clock()
        is_new = self.book.put(entry)
        if entry.cold_remaining_s and not was_cold:
            cold_s = entry.cold_remaining_s
            self._log.line("endpoint_cold", endpoint=entry.id, cold_s=cold_s, source=source)
        if is_new:
            self._log_endpoint(entry, source)
        if is_new and not entry.is_leaving and (was_leaving or was_removed):
            self._log.line(
                "endpoint_listed_again",
                endpoint=entry.id,
                was_leaving=was_leaving,
                was_removed=was_removed,
                source=source,
            )
        return is_new

    def replace_endpoints(self, records: tuple[EndpointRecord, ...], source: str) -> None:
        """Applies a complete list of entries; endpoints that it lacks are removed."""
        listed = {record.key for record in records}
        for record in records:
            self.apply_decoded(record, source)
        for state in self.book.all():
            if state.id not in listed:
                self.apply_endpoint(Record(state.id, None), source)

    def apply_restored_endpoints(
        self, records: tuple[EndpointRecord, ...], source: str
    ) -> set[str]:
        """Applies a complete list that may be older than the known state.

        An endpoint that is leaving, was removed, or has restarted since, is used again only after
        an entry is written after the store's return. The other entries are applied as usual.

        :returns: ids of the endpoints whose entries were not applied.
        """
        past = {record.key for record in records if self._is_outdated(record)}
        self.replace_endpoints(
            tuple(record for record in records if record.key not in past), source
        )
        return past

    def forget_gone(self) -> None:
        """Drops endpoints that were removed long ago."""
        self.book.forget_gone(FORGET_GONE_S)

    def _is_outdated(self, decoded: EndpointRecord) -> bool:
        return decoded.entry is not None and self.book.is_outdated(decoded.entry)

    def _remove_endpoint(self, endpoint_id: str, source: str) -> bool:
        self._endpoint_raw.pop(endpoint_id, None)
        is_new = self.book.remove(endpoint_id)
        if is_new:
            kept_s = round(self.book.kept_s(endpoint_id), 2)
            self._log.line("endpoint_removed", endpoint=endpoint_id, kept_s=kept_s, source=source)
        return is_new

    def _configure(self, configuration: Configuration, record: Record, source: str) -> None:
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self.isolation.observe(configuration)
        self._operator_raw[record.key] = record.value or b""
        self._log.line(
            "configuration_in_force",
            version=configuration.version,
            isolation_epoch=isolation_epoch(self.isolation.isolated(configuration)),
            previous=current.version if current else None,
            source=source,
        )
        for notify in self._configuration_watchers:
            notify(configuration)

    def _evacuate(self, change: ZoneEvacuation, record: Record, source: str) -> None:
        evacuations, position = self.book.evacuations, _position(record)
        if evacuations.is_known(change, position):
            return
        if evacuations.apply(change, position):
            event = "zone_evacuated" if change.is_ordered else "zone_evacuation_ended"
            self._count(event)
            self._log.line(
                event, zone=change.zone, era=position.era, offset=position.offset, source=source
            )
        value = record.value if change.is_ordered else None
        self._evacuation_raw[record.key] = Record(record.key, value, position)
        for key, known in list(self._evacuation_raw.items()):
            decoded = self._documents.decode_operator(known)
            if evacuations.state(decoded.zone) is None:
                del self._evacuation_raw[key]

    def _order_rollout(
        self, order: RolloutOrder, record: Record, source: str, known_at: float
    ) -> None:
        known_at = self._clock() if known_at == -math.inf else known_at
        if self._rollouts.add_order(order, known_at):
            self._operator_raw[record.key] = record.value or b""
            self._log.line(
                "rollout_ordered",
                service=order.service,
                target=order.target,
                duration_s=order.duration_s,
                source=source,
            )

    def _take_isolated(self, record: Record) -> None:
        name = decode_isolated(record)
        if name:
            self.isolation.add(name)
        else:
            self.isolation.complete()

    def _take_progress(self, record: Record, source: str) -> None:
        progress = decode_progress(record)
        if progress is not None and self._rollouts.apply(progress):
            self._operator_raw[record.key] = record.value
            self._log.line(
                "rollout_progress",
                service=progress.service,
                target=progress.target,
                state=progress.state,
                share=progress.share,
                source=source,
            )

    def _name_weights(
        self, change: WeightsNamed, record: Record, source: str, known_at: float
    ) -> None:
        named = self._weights.get(change.model)
        if named is not None and change.version < named.version:
            # An older naming, such as one in an older copy of the store, changes no known time.
            return
        self.learn_weights(change.model, change.version, known_at, source)
        if change.version == self._weights[change.model].version:
            self._operator_raw[record.key] = record.value or b""

    def learn_weights(self, model: str, version: int, known_at: float, source: str) -> bool:
        """Records a named version; returns whether it is the newest one and was not known."""
        named = self._weights.setdefault(model, NamedWeights(self._weights_s))
        before = named.dated.get(version, math.inf)
        was_known_at = named.known_at.get(version)
        is_newest = named.learn(version, known_at)
        if named.known_at.get(version) != was_known_at:
            for notify in self._weights_watchers:
                notify(model)
        if is_newest:
            self._log_weights("weights_named", model, version, known_at, source)
        elif known_at < before - REDATED_S and version in named.dated:
            self._log_weights("weights_redated", model, version, known_at, source)
        return is_newest

    def _log_weights(
        self, event: str, model: str, version: int, known_at: float, source: str
    ) -> None:
        age_s = round(self._clock() - known_at, 3) if math.isfinite(known_at) else None
        self._log.line(event, model=model, version=version, age_s=age_s, source=source)

    def has_outdated_weights(self, endpoint: EndpointState) -> bool:
        """Returns whether an endpoint is known to have older weights than the newest named ones."""
        return any(
            model in self._weights and version < self._weights[model].version
            for model, version in endpoint.weights.items()
        )

    def _log_endpoint(self, entry: EndpointEntry, source: str) -> None:
        self._log.line(
            "endpoint_listed",
            endpoint=entry.id,
            address=entry.address,
            leaving=entry.is_leaving,
            incarnation=entry.incarnation,
            weights=dict(entry.weights),
            source=source,
        )


def _position(record: Record) -> Position:
    return record.position or Position(0, 0)
