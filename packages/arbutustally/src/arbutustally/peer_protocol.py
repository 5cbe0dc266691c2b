"""Peer protocol: typed messages and their CBOR form; ``peer_channel`` authenticates the links."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from typing import Any

import cbor2

from arbutustally.cbor_bounds import check_bounds, rejected
from arbutustally.errors import PeerRejectedError

PROTOCOL_VERSION = 1
#: Largest frame in bytes, checked before decoding.
MAX_FRAME_BYTES = 1 << 20
#: Parts of a frame around its message, see ``peer_channel``.
SEQUENCE_BYTES = 8
MAC_BYTES = 16
FRAME_OVERHEAD_BYTES = SEQUENCE_BYTES + MAC_BYTES


@dataclass(frozen=True)
class Hello:
    """First message of the dialling node."""

    version: int
    node_id: str
    incarnation: str
    nonce: bytes


@dataclass(frozen=True)
class Challenge:
    """Response of the listening node.

    :ivar proofs: one HMAC for each secret that the node accepts, current one first.
    """

    node_id: str
    incarnation: str
    nonce: bytes
    proofs: tuple[bytes, ...]


@dataclass(frozen=True)
class Proof:
    """Last handshake message, HMAC of the dialling node under the secret both share."""

    proof: bytes


@dataclass(frozen=True)
class Call:
    """A request on an authenticated link."""

    call_id: int
    method: str
    payload: Any


@dataclass(frozen=True)
class Reply:
    """The result of a call."""

    call_id: int
    payload: Any


@dataclass(frozen=True)
class Failure:
    """The typed error of a call.

    :ivar code: code of a ``RouterError``.
    :ivar ran: value of ``Ran``.
    """

    call_id: int
    code: str
    message: str
    ran: str
    retry_after_s: float | None


@dataclass(frozen=True)
class Event:
    """One broadcast.

    :ivar origin: node that broadcast it.
    :ivar incarnation: of the origin.
    :ivar serial: increases within an incarnation of the origin; receivers drop duplicates.
    """

    origin: str
    incarnation: str
    serial: int
    topic: str
    payload: Any


@dataclass(frozen=True)
class Events:
    """Several broadcasts in one frame; without events it is a heartbeat.

    :ivar events: each an ``Event`` in its list form.
    """

    events: tuple[Event, ...]


Message = Hello | Challenge | Proof | Call | Reply | Failure | Events

_CODES: dict[int, type] = {
    1: Hello,
    2: Challenge,
    3: Proof,
    4: Call,
    5: Reply,
    6: Failure,
    7: Events,
}
_CODE_OF = {cls: code for code, cls in _CODES.items()}


def encode(message: Message) -> bytes:
    """Returns the CBOR form.

    :raises PeerRejectedError: if the message exceeds a frame; send it in smaller parts.
    """
    if isinstance(message, Events):
        values: list[Any] = [[_values(event) for event in message.events]]
    else:
        values = _values(message)
    data = cbor2.dumps([_CODE_OF[type(message)], *values])
    if len(data) > MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES:
        raise PeerRejectedError(
            f"a peer message of {len(data)} bytes exceeds the frame of {MAX_FRAME_BYTES} bytes; "
            "send it in parts"
        )
    return data


def _values(message: Any) -> list[Any]:
    return [getattr(message, field.name) for field in fields(message)]


def decode(data: bytes) -> Message:
    """Decodes a message after checking its bounds.

    :raises PeerRejectedError: if the data is not exactly one well-formed message.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise rejected(f"a peer message has {len(data)} bytes, more than {MAX_FRAME_BYTES}")
    check_bounds(data)
    try:
        items = cbor2.loads(data)
        code, *values = items
        cls = _CODES[code]
        if cls is Events:
            (raw,) = values
            return Events(tuple(_build(Event, event) for event in raw))
        return _build(cls, values)
    except (cbor2.CBORError, ValueError, TypeError, KeyError, OverflowError) as error:
        raise rejected(f"a peer message is malformed ({type(error).__name__})") from None


_TYPE_CHECKS: dict[Any, Callable[[Any], bool]] = {
    int: lambda value: type(value) is int and 0 <= value < 1 << 63,
    str: lambda value: type(value) is str,
    bytes: lambda value: type(value) is bytes,
    tuple[bytes, ...]: lambda value: type(value) is list and all(type(x) is bytes for x in value),
    float | None: lambda value: value is None or type(value) in (int, float),
    Any: lambda value: True,
}


def _build(cls: type, values: Sequence[Any]) -> Any:
    declared = fields(cls)
    if len(values) != len(declared):
        raise ValueError("wrong number of fields")
    checked = []
    for field, value in zip(declared, values, strict=True):
        if not _TYPE_CHECKS[field.type](value):
            raise TypeError(field.name)
        checked.append(tuple(value) if field.type == tuple[bytes, ...] else value)
    return cls(*checked)
