"""Loopback networks for fleets; each is held by one fleet of this machine at a time.

Nodes listen on fixed ports. Without a reservation a second fleet's nodes can't listen, but its
callers reach the first one's, and what they are told there counts as broken promises.
"""

import socket
from dataclasses import dataclass

FIRST_NETWORK = 1
LAST_NETWORK = 250
#: Bound, without listening, by the process that holds a network.
RESERVATION_PORT = 7100
NODES = 8


class NetworkInUseError(Exception):
    """Another fleet runs on a network."""


@dataclass(frozen=True)
class Network:
    """A network that this process holds.

    :ivar number: the addresses are ``127.77.<number>.1`` and on.
    :ivar reservation: its port stays bound until the process ends.
    """

    number: int
    reservation: socket.socket

    @classmethod
    def reserve(cls, number: int, ports: tuple[int, ...]) -> "Network":
        """Reserves one network.

        :param ports: on which the nodes will listen.
        :raises NetworkInUseError: if another fleet runs there, or nodes that one has left behind.
        """
        reservation = _bound(f"127.77.{number}.254", RESERVATION_PORT)
        try:
            for ip in (f"127.77.{number}.{node}" for node in range(1, NODES + 1)):
                for port in ports:
                    _bound(ip, port, is_reused=True).close()
        except NetworkInUseError:
            reservation.close()
            raise
        return cls(number, reservation)

    @classmethod
    def reserve_free(cls, first: int, ports: tuple[int, ...]) -> "Network":
        """Reserves the first free network.

        :param first: number of the first one to try.
        :raises NetworkInUseError: if none is free.
        """
        for number in range(first, LAST_NETWORK + 1):
            try:
                return cls.reserve(number, ports)
            except NetworkInUseError:
                continue
        raise NetworkInUseError(f"no network from 127.77.{first} on is free; end other soaks")

    def ips(self, count: int) -> list[str]:
        """Returns the addresses of the first nodes."""
        return [f"127.77.{self.number}.{node}" for node in range(1, count + 1)]

    def release(self) -> None:
        """Lets other fleets use the network."""
        self.reservation.close()


def _bound(ip: str, port: int, is_reused: bool = False) -> socket.socket:
    """Returns a bound socket.

    :param is_reused: whether closed connections of an earlier listener do not count.
    """
    bound = socket.socket()
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(is_reused))
        bound.bind((ip, port))
    except OSError as error:
        bound.close()
        raise NetworkInUseError(f"{ip}:{port} is in use by another soak; end it first") from error
    return bound
