"""A proxy for the datagrams between nodes, which can cut some nodes off from all others."""

import asyncio
from typing import Any


class DatagramProxy:
    """Passes the nodes' datagrams on, unless one of both ends is cut off.

    Each node sends to the address of a peer and to the number of its own port. Node I has the port
    ``ports[I]``, so what it sends to J arrives at ``ips[J]:ports[I]``, where this proxy listens.

    :param ips: address of each node.
    :param ports: port of each node, all different.
    :ivar cut: numbers of the nodes that are cut off.
    """

    def __init__(self, ips: list[str], ports: list[int]) -> None:
        self._ips = ips
        self._ports = ports
        self.cut: set[int] = set()
        self.passed = 0
        self.dropped = 0
        self._transports: list[Any] = []

    async def start(self) -> None:
        """Binds one socket for each ordered pair of nodes."""
        loop = asyncio.get_running_loop()
        for sender, port in enumerate(self._ports):
            for receiver, ip in enumerate(self._ips):
                if sender == receiver:
                    continue
                transport, _protocol = await loop.create_datagram_endpoint(
                    lambda s=sender, r=receiver: _Pair(self, s, r), local_addr=(ip, port)
                )
                self._transports.append(transport)

    def pass_on(self, transport: Any, sender: int, receiver: int, data: bytes) -> None:
        """Passes one datagram on, or drops it."""
        if sender in self.cut or receiver in self.cut:
            self.dropped += 1
            return
        self.passed += 1
        transport.sendto(data, (self._ips[receiver], self._ports[receiver]))

    def stop(self) -> None:
        """Closes all sockets."""
        for transport in self._transports:
            transport.close()


class _Pair(asyncio.DatagramProtocol):
    def __init__(self, proxy: DatagramProxy, sender: int, receiver: int) -> None:
        self._proxy = proxy
        self._pair = sender, receiver
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, _address: Any) -> None:
        self._proxy.pass_on(self._transport, *self._pair, data)

    def error_received(self, _error: OSError) -> None:
        # A node that is not running refuses its datagrams.
        return
