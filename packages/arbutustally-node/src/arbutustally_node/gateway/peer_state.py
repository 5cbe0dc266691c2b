"""What a node tells its peers, and its form in a datagram."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any

import cbor2

from arbutustally.gateway.shared_reading import Change, ListNews

COMPRESSION = 6
#: Largest size of the changes of the endpoints' list in one datagram, uncompressed.
MAX_NEWS_BYTES = 65_536


@dataclass(frozen=True)
class PeerState:
    """What a node tells its peers.

    :ivar node: name of the node.
    :ivar incarnation: differs between two starts of a node.
    :ivar number: grows with each datagram of an incarnation.
    :ivar callers: address for callers.
    :ivar control: address of the control listener.
    :ivar is_ready: the node takes requests.
    :ivar config: version of the configuration in force, 0 for none.
    :ivar loads: running requests, unread prompt tokens, tokens in memory, and requests that can't
        go on elsewhere, by endpoint.
    :ivar admitted: running totals by account.
    :ivar weights: named versions by model, with the age of the knowledge in seconds.
    :ivar engines: version that an engine is known to run beyond the endpoints' list, by endpoint
        and model.
    :ivar orders_engines: the node holds the lease on orders to engines.
    :ivar loading: endpoints that load weights.
    :ivar down: endpoints to which this node could not connect.
    :ivar placed: recent placements of prompts, see ``PlacedParts``.
    :ivar peers: addresses of other nodes; empty in most datagrams.
    :ivar news: what the node read of the endpoints' list, ``None`` if it has not lately.
    """

    node: str
    incarnation: str
    number: int
    zone: str
    callers: str
    control: str
    is_ready: bool
    config: int
    loads: Mapping[str, tuple[int, float, float, int]] = field(default_factory=dict)
    admitted: Mapping[str, float] = field(default_factory=dict)
    weights: Mapping[str, Mapping[int, float]] = field(default_factory=dict)
    engines: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    orders_engines: bool = False
    loading: tuple[str, ...] = ()
    down: tuple[str, ...] = ()
    placed: tuple[Any, ...] = ()
    peers: tuple[str, ...] = ()
    news: ListNews | None = None

    def encode(self) -> bytes:
        """Returns the datagram."""
        values = [getattr(self, one.name) for one in fields(self)]
        if self.news is not None:
            values[-1] = _news_row(self.news)
        return cbor2.dumps(values)

    @classmethod
    def decode(cls, data: bytes) -> "PeerState | None":
        """Returns the state in a datagram, ``None`` if it is malformed."""
        try:
            *values, news = cbor2.loads(data)
            state = cls(*values, news=None if news is None else _news(news))
        except (cbor2.CBORDecodeError, TypeError, ValueError):
            return None
        return state if state._is_sound() else None

    def _is_sound(self) -> bool:
        texts = (self.node, self.incarnation, self.zone, self.callers, self.control)
        tables = (self.loads, self.admitted, self.weights, self.engines)
        return (
            all(isinstance(text, str) for text in texts)
            and isinstance(self.number, int)
            and isinstance(self.config, int)
            and isinstance(self.is_ready, bool)
            and all(isinstance(table, dict) for table in tables)
            and isinstance(self.down, list)
            and isinstance(self.placed, list)
            and isinstance(self.peers, list)
        )


def _news_row(news: ListNews) -> list[Any]:
    changes = [[change.offset, change.key, change.value] for change in news.changes]
    # Entries of endpoints resemble each other.
    packed = zlib.compress(cbor2.dumps(changes), COMPRESSION)
    return [news.covers_from, news.read_to, news.age_s, news.keep_removed_s, packed]


def _unpacked(packed: bytes) -> bytes:
    """Returns what was compressed.

    :raises ValueError: if it is malformed or too long.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_NEWS_BYTES)
    except zlib.error as error:
        raise ValueError("news are not compressed data") from error
    if unpacker.unconsumed_tail:
        raise ValueError("news are too long")
    return data


def _news(row: Any) -> ListNews:
    """Returns the news in a datagram.

    :raises TypeError: or ``ValueError`` if they are malformed.
    """
    covers_from, read_to, age_s, keep_removed_s, packed = row
    changes = cbor2.loads(_unpacked(packed))
    return ListNews(
        int(covers_from),
        int(read_to),
        float(age_s),
        float(keep_removed_s),
        tuple(
            Change(int(offset), str(key), None if value is None else bytes(value))
            for offset, key, value in changes
        ),
    )
