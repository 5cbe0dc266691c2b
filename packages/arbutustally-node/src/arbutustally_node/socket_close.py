"""How closing a socket ends its connection."""

import contextlib
import socket
import struct
from typing import Any

_RESET = struct.pack("ii", 1, 0)
_ORDERLY = struct.pack("ii", 0, 0)


def reset_on_close(sock: Any) -> None:
    """Makes closing the socket reset the connection and discard its unsent data.

    :param sock: the socket, or ``None`` if there is none left.
    """
    _set_linger(sock, _RESET)


def close_orderly(sock: Any) -> None:
    """Makes closing the socket end the connection after its unsent data.

    :param sock: as for ``reset_on_close``.
    """
    _set_linger(sock, _ORDERLY)


def _set_linger(sock: Any, linger: bytes) -> None:
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
