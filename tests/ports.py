"""Ports for listeners of tests.

They lie below the range from which the system takes ports of outgoing connections, so that no
connection holds a port between its choice and its use, or while its process restarts.
"""

import os
import socket
from random import Random

FIRST_PORT = 10_000
LAST_PORT = 30_000

_rng = Random(os.getpid())
_returned: set[int] = set()


def free_port(ip: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port that can be bound now and was not returned before."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if port in _returned:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                # Another process has it.
                continue
            _returned.add(port)
            return port
