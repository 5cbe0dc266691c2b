"""Websocket connections whose descriptor stays open as long as it may be watched.

The library closes a socket that its receiving greenlet has registered with a selector, and that
greenlet may wait on it once more. libev aborts the process when a watcher starts on a closed
descriptor.
"""

import socket
from contextlib import suppress
from typing import Any

from websockets.sync.client import ClientConnection
from websockets.sync.connection import Connection
from websockets.sync.server import ServerConnection


class _WatchedSocket:
    """A socket that is only shut down by ``close``; ``release`` closes its descriptor."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def close(self) -> None:
        """Ends the connection in both directions, which wakes whoever waits on it."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def release(self) -> None:
        """Closes the descriptor."""
        self._sock.close()


class _ReleasingConnection(Connection):
    """Closes the descriptor once the receiving greenlet has ended."""

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
