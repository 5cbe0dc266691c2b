"""Websocket connections whose descriptor stays open while a greenlet may wait on it.

The library closes a socket while its receiving greenlet has it registered with a selector and may
wait on it again. libev aborts the process when a watcher starts on a closed descriptor.
"""

import socket
from contextlib import suppress
from typing import Any

from websockets.sync.client import ClientConnection
from websockets.sync.connection import Connection
from websockets.sync.server import ServerConnection


class _WatchedSocket:
    """A socket whose ``close`` only shuts it down; ``release`` closes its descriptor."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def close(self) -> None:
        """Shuts down both directions, which wakes the greenlets that wait on the socket."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def release(self) -> None:
        """Closes the descriptor."""
        self._sock.close()


class _ReleasingConnection(Connection):
    """A connection that closes its descriptor once the receiving greenlet has ended."""

    def __init__(self, sock: socket.socket, *arguments: Any, **options: Any) -> None:
        self._watched = _WatchedSocket(sock)
        super().__init__(self._watched, *arguments, **options)

    def recv_events(self) -> None:
        """Receives until the connection ends."""
        try:
            super().recv_events()
        finally:
            self._watched.release()


class PeerClientConnection(_ReleasingConnection, ClientConnection):
    """The dialling end of a link."""


class PeerServerConnection(_ReleasingConnection, ServerConnection):
    """The listening end of a link."""
