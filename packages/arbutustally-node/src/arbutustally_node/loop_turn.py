"""Turns of the event loop between units of work."""

import gevent

#: Elements, such as records, and bytes of them that are decoded before the event loop gets a turn.
MAX_ELEMENTS = 256
MAX_BYTES = 64 << 10


def wait_for_turn() -> None:
    """Lets the event loop make a pass over timers and sockets, then continues.

    ``gevent.sleep(0)`` only lets other ready greenlets run: the loop may run many such callbacks
    before it polls.
    """
    hub = gevent.get_hub()
    timer = hub.loop.timer(0.0)
    try:
        hub.wait(timer)
    finally:
        timer.close()


class LoopTurns:
    """Gives the event loop a turn after each bounded portion of a longer work.

    :param max_elements: elements of a portion.
    :param max_bytes: bytes of a portion; the last element may exceed them.
    """

    def __init__(self, max_elements: int = MAX_ELEMENTS, max_bytes: int = MAX_BYTES) -> None:
        self._max_elements = max_elements
        self._max_bytes = max_bytes
        self._elements = 0
        self._bytes = 0

    def count(self, size: int = 0) -> None:
        """Counts one element that was processed, and takes the turn that is due.

        :param size: its bytes.
        """
        self._elements += 1
        self._bytes += size
        if self._elements >= self._max_elements or self._bytes >= self._max_bytes:
            self._elements = self._bytes = 0
            wait_for_turn()
