"""The listener of peer links: accepts connections and authenticates their other ends."""

from collections.abc import Callable

import gevent
from websockets.exceptions import WebSocketException
from websockets.sync.connection import Connection
from websockets.sync.server import Server, serve

from arbutustally.errors import PeerRejectedError
from arbutustally.logs import get_logger
from arbutustally.peer_protocol import Handshake, Identity, SecureChannel
from arbutustally_node.listening import listen
from arbutustally_node.peer_connection import PeerServerConnection
from arbutustally_node.peer_link import HANDSHAKE_TIMEOUT_S, WEBSOCKET_OPTIONS, listen_handshake

#: Connections that may be unauthenticated at the same time.
MAX_HANDSHAKES = 64
#: Pause after a failed accept, for instance without free descriptors, seconds.
ACCEPT_RETRY_S = 0.1

_log = get_logger("peers")


class PeerListener:
    """Accepts links of peers.

    :param new_handshake: returns the own side of a handshake.
    :param on_accepted: serves an authenticated connection until it ends.
    :param on_rejected: takes the reason why a connection was closed.
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
        """Listens and returns the address that was bound, ``host:port``."""
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
            # Nothing may wait on the descriptor when it is closed.
            self._loop.kill(timeout=1)
            self._server.socket.close()

    def _accept_forever(self, server: Server) -> None:
        # ``Server.serve_forever`` has its listener closed while its selector watches the
        # descriptor; libev then aborts the process on the next change of that watcher.
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
