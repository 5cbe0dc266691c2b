"""Names the sockets that hold a local TCP port, from the tables of the kernel."""

import socket
from collections.abc import Iterable
from pathlib import Path

TABLES = (Path("/proc/self/net/tcp"), Path("/proc/self/net/tcp6"))
#: Names of the states by their numbers in the tables.
STATES = {
    "01": "ESTABLISHED",
    "02": "SYN_SENT",
    "03": "SYN_RECV",
    "04": "FIN_WAIT1",
    "05": "FIN_WAIT2",
    "06": "TIME_WAIT",
    "07": "CLOSE",
    "08": "CLOSE_WAIT",
    "09": "LAST_ACK",
    "0A": "LISTEN",
    "0B": "CLOSING",
}
#: A port may be shared by many connections; a few show whose they are.
MAX_HOLDERS = 8
_WORD_BYTES = 4


def port_holders(port: int) -> list[str]:
    """Returns state and remote address of the sockets with this local port.

    A socket that is bound and neither listens nor is connected is in no table.

    :return: for instance ``TIME_WAIT to 10.0.0.2:8080``; empty without the tables.
    """
    found: list[str] = []
    for table in TABLES:
        try:
            with table.open() as lines:
                found += _of_port(lines, port)
        except OSError:
            continue
    # The kernel lists a socket again if others are opened while the table is read.
    return list(dict.fromkeys(found))[:MAX_HOLDERS]


def _of_port(lines: Iterable[str], port: int) -> list[str]:
    suffix = f":{port:04X}"
    rows = (line.split(maxsplit=4) for line in lines)
    return [
        f"{STATES.get(row[3], row[3])} to {_address(row[2])}"
        for row in rows
        if len(row) > 3 and row[1].endswith(suffix)
    ]


def _address(text: str) -> str:
    """Decodes ``0100007F:1F90``; the kernel prints an address as 32-bit words in host order."""
    host, _, port = text.rpartition(":")
    words = bytes.fromhex(host)
    packed = b"".join(
        words[start : start + _WORD_BYTES][::-1] for start in range(0, len(words), _WORD_BYTES)
    )
    family = socket.AF_INET if len(packed) == _WORD_BYTES else socket.AF_INET6
    return f"{socket.inet_ntop(family, packed)}:{int(port, 16)}"
