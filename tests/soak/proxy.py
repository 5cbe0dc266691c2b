"""A TCP proxy on loopback that harms the connections that pass it."""

import socket
import struct
from enum import StrEnum
from typing import Any

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.server import StreamServer

from tests.soak.spans import Spans

CHUNK_BYTES = 65_536
DELAY_S = 0.15
_RESET = struct.pack("ii", 1, 0)


class Harm(StrEnum):
    """What happens to connections."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"
    ANSWER_LOST = "answer_lost"


class Proxy:
    """Passes connections on to a target; its harm can change while it runs.

    :ivar target: ``host:port``; may change, for instance when the target restarts.
    :ivar harmed: when it harmed connections.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.harmed = Spans()
        self._harm = Harm.NONE
        self._healed = Event()
        self._healed.set()
        self._sockets: set[Any] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._accept)
        self._server.start()

    @property
    def address(self) -> str:
        """Returns where the proxy listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def set(self, harm: Harm) -> None:
        """Begins to harm connections, or ends it; ``RESET`` also resets the open ones."""
        self._harm = harm
        self.harmed.end() if harm is Harm.NONE else self.harmed.begin()
        if harm is Harm.RESET:
            for one in list(self._sockets):
                _reset(one)
        if harm in (Harm.SILENT, Harm.ONE_WAY):
            self._healed.clear()
        else:
            self._healed.set()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop(timeout=0)
        for one in list(self._sockets):
            _reset(one)

    def _accept(self, caller: Any, _address: Any) -> None:
        if self._harm is Harm.RESET:
            _reset(caller)
            return
        host, _, port = self.target.rpartition(":")
        self._sockets.add(caller)
        try:
            target = gevent_socket.create_connection((host, int(port)), 1.0)
        except OSError:
            _reset(caller)
            self._sockets.discard(caller)
            return
        target.settimeout(None)
        self._sockets.add(target)
        there = gevent.spawn(self._pass, caller, target, False)
        back = gevent.spawn(self._pass, target, caller, True)
        gevent.joinall([there, back])
        for one in (caller, target):
            self._sockets.discard(one)
            one.close()

    def _pass(self, source: Any, sink: Any, is_back: bool) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self._harm is Harm.DELAYED:
                    gevent.sleep(DELAY_S)
                if self._harm is Harm.ANSWER_LOST and is_back:
                    raise ConnectionResetError
                if self._harm is Harm.SILENT or (self._harm is Harm.ONE_WAY and is_back):
                    self._healed.wait()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side has gone; the other one learns it by a reset, as on a network.
            _reset(source)
            _reset(sink)


def _reset(one: Any) -> None:
    try:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        one.close()
    except OSError:
        # It was closed already.
        return
