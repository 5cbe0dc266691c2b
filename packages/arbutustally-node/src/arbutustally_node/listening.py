"""Opens listeners; waits for a port that a connection still holds."""

import errno
import socket

import gevent
from gevent import socket as gevent_socket

from arbutustally.clock import Clock, monotonic
from arbutustally.logs import get_logger
from arbutustally_node.options import split_address
from arbutustally_node.port_holders import port_holders

#: Longest wait for a port in use, seconds. An outgoing connection may have taken the port of a
#: listener while its node restarted; it holds it for the 60 s of TIME_WAIT after its end.
PORT_WAIT_S = 75.0
PORT_RETRY_S = 0.2
BACKLOG = 1024

_log = get_logger("listener")


def listen(address: str, send_buffer_bytes: int = 0, clock: Clock = monotonic) -> socket.socket:
    """Binds and listens.

    :param address: ``host:port``; port 0 picks a free one.
    :param send_buffer_bytes: of accepted connections, 0 for the default of the system.
    :raises OSError: if the address cannot be bound in ``PORT_WAIT_S``.
    """
    deadline = clock() + PORT_WAIT_S
    reported: list[str] | None = None
    while True:
        try:
            return _listen_once(address, send_buffer_bytes)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or clock() >= deadline:
                raise
            holders = port_holders(split_address(address)[1])
            if holders != reported:
                wait_s = round(deadline - clock(), 1)
                _log.warning("port in use", address=address, wait_s=wait_s, holders=holders)
            reported = holders
        gevent.sleep(PORT_RETRY_S)


def _listen_once(address: str, send_buffer_bytes: int) -> socket.socket:
    listener = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if send_buffer_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
        listener.bind(split_address(address))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
