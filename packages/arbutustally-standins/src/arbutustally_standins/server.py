"""HTTP server of a stand-in: counts calls in progress, cuts connections and stops gracefully."""

import socket
from typing import Any

import gevent
from bottle import BaseRequest
from gevent.pywsgi import WSGIHandler, WSGIServer

from arbutustally.clock import monotonic

#: Bodies up to this size stay in memory, in bytes.
BaseRequest.MEMFILE_MAX = 16 << 20

_SOCKET = "arbutustally_standins.socket"
_STRAY = "arbutustally_standins.stray"
_GRACE_S = 30.0
_POLL_S = 0.02
# Bytes that arrive with the answer end in the reader's buffer and are dropped with it.
_STRAY_DELAY_S = 0.05


class _Handler(WSGIHandler):
    """Gives the application its socket and counts calls in progress."""

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        super().__init__(sock, address, server)
        # The server writes head and body apart; Nagle's algorithm would hold the body back for a
        # delayed acknowledgement of about 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[_SOCKET] = self.socket
        return environ

    def run_application(self) -> None:
        self.server.calls += 1
        try:
            super().run_application()
        finally:
            self.server.calls -= 1
        stray = self.environ.get(_STRAY)
        if stray is not None:
            gevent.sleep(_STRAY_DELAY_S)
            self.socket.sendall(stray)

    def log_request(self) -> None:
        """Writes no access log; ``GET /stats`` reports calls."""


class _Server(WSGIServer):
    handler_class = _Handler
    calls = 0


def cut_connection(environ: dict[str, Any]) -> None:
    """Closes the connection of a call, so that its answer is lost."""
    try:
        environ[_SOCKET].shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller has closed the connection already.
        return


def send_stray_answer(environ: dict[str, Any], answer: bytes) -> None:
    """Sends further bytes on the connection after the answer to this call."""
    environ[_STRAY] = answer


class StandinServer:
    """Serves one stand-in.

    :param standin: has ``app`` (a bottle application), ``start()`` and ``stop()``.
    :param listen: ``host:port``; port 0 picks a free one.
    """

    def __init__(self, standin: Any, listen: str) -> None:
        host, _, port = listen.rpartition(":")
        self._standin = standin
        self._server = _Server((host, int(port)), standin.app, log=None, error_log=None)

    @classmethod
    def from_config(cls, standin: Any, listen: str = "127.0.0.1:0") -> "StandinServer":
        """Builds the server of a stand-in."""
        return cls(standin, listen)

    @property
    def address(self) -> str:
        """Returns ``host:port`` once started."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        """Returns the base URL once started."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Listens and serves in the background."""
        self._server.start()
        self._standin.start()

    def stop(self, grace_s: float = _GRACE_S) -> None:
        """Refuses new connections, lets calls in progress finish, then stops.

        :param grace_s: longest wait for calls in progress, in seconds.
        """
        self._server.close()
        self._standin.stop()
        deadline = monotonic() + grace_s
        while self._server.calls and monotonic() < deadline:
            gevent.sleep(_POLL_S)
        self._server.stop(timeout=_POLL_S)
