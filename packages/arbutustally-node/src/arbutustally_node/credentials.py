"""Keeps callers' credentials and connection headers away from endpoints and logs."""

import re
from collections.abc import Mapping
from urllib.parse import parse_qsl, unquote_plus

from arbutustally.errors import BadRequestError, KeyInQueryError
from arbutustally_node.connection_headers import HOP_BY_HOP, connection_options

#: Headers of the caller's identity or of its own exchange with this node.
_CALLER_ONLY = frozenset(
    {
        "authorization",
        "cookie",
        "expect",
        "forwarded",
        "host",
        "idempotency-key",
        "last-event-id",
        "x-api-key",
        "x-arbutustally-explain",
        "x-request-id",
    }
)
_DROPPED = HOP_BY_HOP | _CALLER_ONLY
_KEY_PARAMETERS = frozenset(
    {"access_token", "api-key", "api_key", "apikey", "authorization", "key"}
)
_KEY_TEXT = re.compile(r"(?i)\bat-[0-9a-z]{8,}-[0-9A-Za-z_\-]{16,}|\bbearer\s+\S")
#: Shorter credentials would match ordinary text.
_MIN_KEY_CHARACTERS = 8


def secret_of(authorization: str) -> str:
    """Returns the credential inside an Authorization header, empty without one."""
    secret = authorization.partition(" ")[2].strip()
    return secret if len(secret) >= _MIN_KEY_CHARACTERS else ""


def check_query(query: str) -> None:
    """Checks that the query string contains no key.

    :raises KeyInQueryError: if a parameter is named like a key or has a value that looks like one.
    """
    if not query:
        return
    for name, value in parse_qsl(query, keep_blank_values=True, max_num_fields=None):
        if name.lower() in _KEY_PARAMETERS or _KEY_TEXT.search(value):
            raise _key_in_query()
    if _KEY_TEXT.search(unquote_plus(query)):
        raise _key_in_query()


def check_unrevealed(secret: str, path: str, body: bytes) -> None:
    """Checks that the caller's key is not in the parts that an endpoint receives.

    :raises KeyInQueryError: if it is in the path.
    :raises BadRequestError: if it is in the body.
    """
    if not secret:
        return
    if secret in unquote_plus(path):
        raise _key_in_query()
    if secret.encode() in body:
        raise BadRequestError("the body contains the caller's key; send it in Authorization only")


def forwardable(headers: Mapping[str, str], secret: str) -> dict[str, str]:
    """Returns the headers that an endpoint may see.

    :param secret: the caller's key; a header that contains it is dropped.
    """
    named = connection_options(headers.get("connection", ""))
    return {
        name: value
        for name, value in headers.items()
        if name not in _DROPPED
        and name not in named
        and not (secret and secret in value)
        and not _KEY_TEXT.search(value)
    }


def _key_in_query() -> KeyInQueryError:
    return KeyInQueryError(
        "a key in the address is logged by intermediaries; withdraw it if it is real and send "
        "keys in the Authorization header only"
    )
