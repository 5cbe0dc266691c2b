"""Idempotency keys: UUIDv7, whose first 48 bits are the time in Unix milliseconds."""

import secrets
import time
import uuid

_VERSION = 7
_VARIANT = 2


def new_uuid7(now_s: float | None = None) -> str:
    """Returns a new key.

    :param now_s: Unix seconds inside the key, the present time by default.
    """
    milliseconds = int((time.time() if now_s is None else now_s) * 1000)
    value = (milliseconds & ((1 << 48) - 1)) << 80
    value |= _VERSION << 76 | secrets.randbits(12) << 64
    value |= _VARIANT << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))
