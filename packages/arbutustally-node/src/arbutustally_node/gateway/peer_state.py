"""The state that nodes send to each other, and its encoding as a datagram."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from enum import IntEnum
from typing import Any

import cbor2

from arbutustally.gateway.engine_speeds import Work
from arbutustally.gateway.fleet_sums import Load
from arbutustally.gateway.relaying import Member
from arbutustally.gateway.shared_reading import Change, ListUpdate, Position
from arbutustally_node.addresses import is_host_ip
from arbutustally_node.gateway.quarantine_messages import (
    NO_UPDATE,
    QuarantineUpdate,
    decode_update,
    update_row,
)

COMPRESSION_LEVEL = 3
#: Content below this size is sent uncompressed: the gain would not justify the CPU time, bytes.
MIN_COMPRESSED_BYTES = 700
#: Largest decompressed content of a datagram, bytes.
MAX_CONTENT_BYTES = 262_144
#: Largest offset or era that is accepted from a peer.
MAX_STORE_NUMBER = (1 << 63) - 1

#: Index of readiness in the row of a member.
_READY = 5
_PLAIN = b"p"
_COMPRESSED = b"z"


class Covers(IntEnum):
    """Nodes whose load and admitted tokens a message contains.

    ``NODE``: the sender, sent to the relay that it uses. ``CELL``: a relay and the nodes that use
    it, sent to the other relays. ``FLEET``: all nodes, sent by a relay to the nodes that use it.
    ``URGENT``: none; facts that all nodes must receive immediately, which relays forward.
    """

    NODE = 0
    CELL = 1
    FLEET = 2
    URGENT = 3


@dataclass(frozen=True)
class OperatorUpdate:
    """A record of the operator that the sender has read recently.

    :ivar value: ``None`` if it was removed.
    :ivar age_s: longest possible time since it was written, ``None`` if unknown.
    :ivar position: its position in the store, for records whose removal matters, otherwise
        ``None``. Records with a position are sent with every message.
    """

    key: str
    value: bytes | None
    age_s: float | None
    position: Position | None = None


@dataclass(frozen=True)
class PeerState:
    """State of one or more nodes, as one node sends it to its peers.

    :ivar incarnation: differs between two starts of a node.
    :ivar number: increases with each datagram of an incarnation.
    :ivar loads: load by endpoint.
    :ivar admitted: running totals of admitted tokens by account, and of the answers of releases
        under evaluation (``RolloutEvidence.totals``).
    :ivar speeds: prompt tokens that engines were observed to process recently, and the seconds that
        it took, by engine.
    :ivar weights: named versions by model, with the time in seconds since each became known;
        ``UNKNOWN_AGE_S`` for a replaced one of unknown age.
    :ivar engines: version that an engine is known to run if newer than in the endpoints' list, by
        endpoint and model.
    :ivar orders_engines: whether one of the covered nodes holds the lease on orders to engines.
    :ivar loading: endpoints that load weights.
    :ivar down: endpoints to which the sender could not connect.
    :ivar leaving: incarnations of endpoints that announced in answers that they leave, by id.
    :ivar placed: recent placements of prompts, see ``PlacedParts``.
    :ivar quarantine: crashes of endpoints, and prompt parts whose requests are rejected.
    :ivar members: the covered nodes without the sender; ``None`` if unchanged since the last list.
    :ivar peers: addresses of other relays.
    :ivar counted: number of the last message of each node that uses the sender as its relay.
    :ivar updates: changes of the endpoints' list that the sender read, ``None`` if it has not read
        it recently.
    :ivar operator: records of the operator that the sender has read recently.
    """

    sender: Member
    incarnation: str
    number: int
    covers: Covers
    loads: Mapping[str, Load] = field(default_factory=dict)
    admitted: Mapping[str, float] = field(default_factory=dict)
    speeds: Mapping[str, Work] = field(default_factory=dict)
    weights: Mapping[str, Mapping[int, float]] = field(default_factory=dict)
    engines: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    orders_engines: bool = False
    loading: tuple[str, ...] = ()
    down: tuple[str, ...] = ()
    leaving: Mapping[str, str] = field(default_factory=dict)
    placed: tuple[Any, ...] = ()
    quarantine: QuarantineUpdate = NO_UPDATE
    members: tuple[Member, ...] | None = None
    peers: tuple[str, ...] = ()
    counted: Mapping[str, int] = field(default_factory=dict)
    updates: ListUpdate | None = None
    operator: tuple[OperatorUpdate, ...] = ()

    @property
    def repeated(self) -> tuple[OperatorUpdate, ...]:
        """Returns the operator's records that are sent with every message."""
        return tuple(one for one in self.operator if one.position is not None)

    def encode(self) -> bytes:
        """Returns the datagram."""
        values = [getattr(self, one.name) for one in fields(self)]
        values[0] = _member_row(self.sender)
        values[-6] = update_row(self.quarantine)
        values[-5] = None if self.members is None else [_member_row(one) for one in self.members]
        values[-2] = None if self.updates is None else _update_row(self.updates)
        values[-1] = [_operator_row(one) for one in self.operator]
        content = cbor2.dumps(values)
        if len(content) < MIN_COMPRESSED_BYTES:
            return _PLAIN + content
        return _COMPRESSED + zlib.compress(content, COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes) -> "PeerState | None":
        """Returns the state in a datagram, ``None`` if it is malformed."""
        content = datagram_content(data)
        return None if content is None else cls.from_content(content)

    @classmethod
    def from_content(cls, content: bytes) -> "PeerState | None":
        """Returns the state in the content of a datagram, ``None`` if it is malformed."""
        try:
            return cls._from_values(cbor2.loads(content))
        except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError, OverflowError):
            return None

    @classmethod
    def _from_values(cls, values: Any) -> "PeerState":
        sender, incarnation, number, covers, *rest, members, peers, counted, updates, operator = (
            values
        )
        loads, admitted, speeds, weights, engines, orders, loading, down, *rest = rest
        leaving, placed, quarantine = rest
        return cls(
            _member(sender),
            _text(incarnation),
            _whole(number),
            Covers(covers),
            {_text(key): _load(load) for key, load in loads.items()},
            {_text(key): _finite(total) for key, total in admitted.items()},
            {_text(key): _work(work) for key, work in speeds.items()},
            {_text(key): _ages(ages) for key, ages in weights.items()},
            {_text(key): _versions(versions) for key, versions in engines.items()},
            bool(orders),
            tuple(map(_text, loading)),
            tuple(map(_text, down)),
            {_text(key): _text(incarnation) for key, incarnation in leaving.items()},
            tuple(map(_placed, placed)),
            decode_update(quarantine),
            None if members is None else tuple(map(_member, members)),
            tuple(map(_host_ip, peers)),
            {_text(key): _whole(last) for key, last in counted.items()},
            None if updates is None else _update(updates),
            tuple(map(_operator, operator)),
        )


def datagram_content(data: bytes) -> bytes | None:
    """Returns the decompressed content of a datagram, ``None`` if it is malformed or too long."""
    kind, body = data[:1], data[1:]
    if kind == _PLAIN:
        return body
    if kind != _COMPRESSED:
        return None
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(body, MAX_CONTENT_BYTES)
    except zlib.error:
        return None
    return None if unpacker.unconsumed_tail else content


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("expected a string")
    return value


def natural_number(value: Any) -> int:
    """Returns a number of the store, such as an offset, that a peer sent.

    :raises TypeError: if it is not an integer.
    :raises ValueError: if it is outside the range of such numbers.
    """
    if not isinstance(value, int):
        raise TypeError("expected an integer")
    if not 0 <= value <= MAX_STORE_NUMBER:
        raise ValueError("integer is outside the range of store offsets and eras")
    return value


def _whole(value: Any) -> int:
    """Returns a whole number that the log and other peers' messages can take."""
    if type(value) is not int:
        raise TypeError("expected an integer")
    if abs(value) > MAX_STORE_NUMBER:
        raise ValueError("integer exceeds 64 bits")
    return value


def _finite(value: Any) -> float:
    """Returns a number with which sums stay finite."""
    if type(value) not in (int, float):
        raise TypeError("expected a number")
    if not abs(value) <= MAX_STORE_NUMBER:
        raise ValueError("number is not finite or too large")
    return float(value)


def _host_ip(value: Any) -> str:
    if not is_host_ip(_text(value)):
        raise ValueError("expected the IPv4 address of a node")
    return value


def _load(row: Any) -> Load:
    running, unread, memory, unrepeatable = row
    return _whole(running), _finite(unread), _finite(memory), _whole(unrepeatable)


def _work(row: Any) -> Work:
    tokens, seconds = row
    return _finite(tokens), _finite(seconds)


def _ages(row: Any) -> dict[int, float]:
    return {_whole(version): _finite(age) for version, age in row.items()}


def _versions(row: Any) -> dict[str, int]:
    return {_text(model): _whole(version) for model, version in row.items()}


def _placed(row: Any) -> tuple[str, str, list[tuple[str, int]], bool]:
    endpoint, scope, parts, is_pending = row
    decoded_parts = [(_text(part), _whole(tokens)) for part, tokens in parts]
    return _text(endpoint), _text(scope), decoded_parts, bool(is_pending)


def _operator_row(update: OperatorUpdate) -> list[Any]:
    return [update.key, update.value, update.age_s, *position_row(update.position)]


def _operator(row: Any) -> OperatorUpdate:
    key, value, age_s, *position = row
    if not isinstance(value, bytes) and not (value is None and position):
        raise TypeError("expected the bytes of a record, or a removal with its position")
    age_s = None if age_s is None else _finite(age_s)
    return OperatorUpdate(_text(key), value, age_s, decode_position(position))


def decode_position(row: Any) -> Position | None:
    """Returns a position in the store that a peer sent, ``None`` if the row is empty.

    :raises TypeError: or ``ValueError`` if the row is malformed.
    """
    if not row:
        return None
    era, offset = row
    return Position(natural_number(era), natural_number(offset))


def position_row(position: Position | None) -> list[int]:
    """Returns the row of a position, empty without one."""
    return [] if position is None else [position.era, position.offset]


def _member_row(member: Member) -> list[Any]:
    *row, capacity, _level = (getattr(member, one.name) for one in fields(Member))
    # The level takes the place of readiness: programs of level 1 refuse a longer row, and read any
    # number above 0 as ready.
    row[_READY] = member.level if member.is_ready and member.level > 1 else member.is_ready
    return [*row, capacity]


def _member(row: Any) -> Member:
    node, ip, zone, callers, control, is_ready, config, capacity = row
    texts = map(_text, (zone, callers, control))
    numbers = _whole(config), _whole(capacity)
    level = is_ready if type(is_ready) is int and 1 < is_ready <= MAX_STORE_NUMBER else 1
    return Member(_text(node), _host_ip(ip), *texts, bool(is_ready), *numbers, level)


def _update_row(updates: ListUpdate) -> list[Any]:
    changes = [[change.offset, change.key, change.value] for change in updates.changes]
    return [
        updates.era,
        updates.covers_from,
        updates.read_to,
        updates.age_s,
        updates.keep_removed_s,
        changes,
    ]


def _update(row: Any) -> ListUpdate:
    """Returns the changes of the endpoints' list in a datagram.

    :raises TypeError: or ``ValueError`` if the row is malformed.
    """
    era, covers_from, read_to, age_s, keep_removed_s, changes = row
    return ListUpdate(
        natural_number(era),
        natural_number(covers_from),
        natural_number(read_to),
        _finite(age_s),
        _finite(keep_removed_s),
        tuple(_change(row) for row in changes),
    )


def _change(row: Any) -> Change:
    offset, key, value = row
    if value is not None and not isinstance(value, bytes):
        raise TypeError("expected the bytes of an entry")
    return Change(natural_number(offset), _text(key), value)
