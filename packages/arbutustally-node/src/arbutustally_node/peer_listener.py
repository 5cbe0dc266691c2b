"""Listener for peer links: accepts connections and authenticates the dialling ends."""

from collections.abc import Callable

import gevent
from websockets.exceptions import WebSocketException
from websockets.sync.connection import Connection
from websockets.sync.server import Server, serve

from arbutustally.errors import PeerRejectedError
from arbutustally.logs import get_logger
from arbutustally.peer_channel import Handshake, Identity, SecureChannel
from arbutustally_node.listening import listen
from arbutustally_node.peer_connection import PeerServerConnection
from arbutustally_node.peer_link import HANDSHAKE_TIMEOUT_S, WEBSOCKET_OPTIONS, listen_handshake

#: Maximum number of concurrent handshakes; further connections are closed.
MAX_HANDSHAKES = 64
#: Pause after a failed accept, for example when no descriptors are free, seconds.
ACCEPT_RETRY_S = 0.1

_log = get_logger("peers")


class PeerListener:
    """Accepts links of peers.

    :param new_handshake: returns this node's side of a new handshake.
    :param on_accepted: serves an authenticated connection until it ends.
    :param on_rejected: called with the error for which a connection was closed.
    """

    def __init__(
        self,
        new_handshake: Callable[[], Handshake],
        on_accepted: Callable[[Connection, Identity, SecureChannel], None],
        on_rejected: Callable[[PeerRejectedError], None],
    ) -> None:
        self._new_handshake = new_handshake
        self._on_accepted = on_accepted
        self._on_rejected = on_rejected
        self._handshakes = 0
        self._server: Server | None = None
        self._loop: gevent.Greenlet | None = None

    def start(self, address: str) -> str:
        """Starts listening and returns the bound address, ``host:port``."""
        self._server = serve(
            self._accept,
            sock=listen(address),
            open_timeout=HANDSHAKE_TIMEOUT_S,
            create_connection=PeerServerConnection,
            **WEBSOCKET_OPTIONS,
        )
        self._loop = gevent.spawn(self._accept_forever, self._server)
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Closes the listener; accepted connections stay open."""
        if self._server is not None:
            # No greenlet may be waiting on the descriptor when it is closed.
            self._loop.kill(timeout=1)
            self._server.socket.close()

    def _accept_forever(self, server: Server) -> None:
        # Replaces ``Server.serve_forever``: its listener would be closed while its selector
        # watches the descriptor, and libev aborts the process at the next change of that watcher.
        while True:
            try:
                connected, address = server.socket.accept()
            except OSError as error:
                _log.warning("accept failed", error=str(error))
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            gevent.spawn(server.handler, connected, address)

    def _accept(self, connection: Connection) -> None:
        if self._handshakes >= MAX_HANDSHAKES:
            return
        self._handshakes += 1
        try:
            peer, channel = listen_handshake(connection, self._new_handshake())
        except PeerRejectedError as error:
            self._on_rejected(error)
            return
        except (WebSocketException, OSError):
            return
        finally:
            self._handshakes -= 1
        self._on_accepted(connection, peer, channel)
