"""Stream tokens: authenticated values with which a caller can resume its stream at any node."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

from arbutustally.errors import StreamNotResumableError

DIGEST_BYTES = 16
MAC_BYTES = 16
#: Longest accepted event id; no token issued by this system is longer.
MAX_EVENT_ID_CHARACTERS = 1024

_PURPOSE = b"arbutustally stream token"
_REMEDY = "send the request again without Last-Event-ID"


@dataclass(frozen=True)
class StreamToken:
    """State that a node needs to resume a stream.

    :ivar request_id: id of the request at the engine.
    :ivar account: client account that owns the stream.
    :ivar endpoint: endpoint id.
    :ivar incarnation: incarnation of the engine.
    :ivar version: weights version.
    :ivar request_digest: digest of the request, ``DIGEST_BYTES`` long, see ``digest_request``.
    """

    request_id: str
    account: str
    endpoint: str
    incarnation: str
    version: str
    request_digest: bytes


@dataclass(frozen=True)
class EventId:
    """A decoded event id: the token and the index of the event."""

    token: StreamToken
    index: int


def digest_request(path: str, body: bytes) -> bytes:
    """Returns the digest that identifies a repeated request.

    :param path: path of the request; it is included so that a stream cannot be resumed with the
        same body at another path.
    """
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES, person=b"stream request")
    digest.update(b"\0" + path.encode())
    return digest.digest()


def issue(secret: str, token: StreamToken) -> str:
    """Returns the encoded token, which contains no ``.``.

    :raises ValueError: if a field contains a null character.
    """
    names = (token.request_id, token.account, token.endpoint, token.incarnation, token.version)
    if any("\0" in name for name in names):
        raise ValueError("a field of a stream token contains a null character")
    payload = "\0".join(names).encode() + b"\0" + token.request_digest
    return base64.urlsafe_b64encode(payload + _mac(secret, payload)).rstrip(b"=").decode()


def verify(secrets: Sequence[str], event_id: str) -> EventId:
    """Decodes an event id ``<token>.<index>``.

    :param secrets: accepted fleet secrets; empty ones are ignored.
    :raises StreamNotResumableError: if it is malformed or no secret authenticates it.
    """
    text, _, number = event_id.rpartition(".")
    if len(event_id) > MAX_EVENT_ID_CHARACTERS or not (number.isascii() and number.isdigit()):
        raise _refusal()
    try:
        data = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        raise _refusal() from None
    payload, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not any(hmac.compare_digest(_mac(secret, payload), mac) for secret in secrets if secret):
        raise _refusal()
    *names, digest = payload.split(b"\0", 5)
    return EventId(StreamToken(*[name.decode() for name in names], digest), int(number))


def _mac(secret: str, payload: bytes) -> bytes:
    key = hashlib.blake2b(_PURPOSE, key=secret.encode()[:64], digest_size=32).digest()
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]


def _refusal() -> StreamNotResumableError:
    return StreamNotResumableError(f"Last-Event-ID is not an id of this system; {_REMEDY}")
