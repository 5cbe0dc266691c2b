"""Writing to a caller for as long as the caller takes bytes, however slowly."""

import fcntl
import struct
import termios
from contextlib import nullcontext
from typing import Any

from arbutustally.clock import monotonic
from arbutustally_node.gateway.connection_memory import ConnectionMemory, Writing

#: Longest time in which a caller takes no byte, seconds.
NO_PROGRESS_S = 5.0
#: Interval at which the progress of a caller is looked at, seconds. After one without progress the
#: memory of a large write may be taken for others.
CHECK_S = 1.0
#: Data up to which a write has no memory of its own in the account, bytes.
UNACCOUNTED_BYTES = 65536


def write(sock: Any, data: bytes, memory: ConnectionMemory | None) -> None:
    """Writes data to a caller.

    :param memory: of the caller's connection, ``None`` without an account.
    :raises TimeoutError: if the caller takes nothing for ``NO_PROGRESS_S``.
    :raises ConnectionAbortedError: if the memory is taken for others meanwhile.
    """
    sock.settimeout(CHECK_S)
    is_accounted = memory is not None and len(data) > UNACCOUNTED_BYTES
    if not is_accounted:
        # Most data fits in the send queue.
        sent = _send(sock, data)
        if sent == len(data):
            return
        data = data[sent:]
    with memory.writing() if is_accounted else nullcontext() as writing:
        _write_on(sock, data, memory, writing)


def _write_on(
    sock: Any, data: bytes, memory: ConnectionMemory | None, writing: Writing | None
) -> None:
    progress = _Progress(sock)
    sent = 0
    with memoryview(data) as view:
        while sent < len(data):
            count = _send(sock, view[sent:])
            sent += count
            progress.look(sent)
            if progress.silent_s >= NO_PROGRESS_S:
                raise TimeoutError("the caller does not read its response")
            if writing is None or memory is None:
                continue
            if progress.silent_s >= CHECK_S or progress.is_too_slow(memory):
                writing.stalls()
            else:
                writing.goes_on()


def _send(sock: Any, data: Any) -> int:
    """Returns how many bytes went into the send queue within the timeout of the socket."""
    try:
        return sock.send(data)
    except TimeoutError:
        return 0


class _Progress:
    """Bytes that a caller's system has taken out of the send queue.

    A socket becomes writable only once a large part of its queue is free, which takes a slow caller
    long although it reads all the time.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._began_at = self._moved_at = monotonic()
        self._first = self._taken = -_queued_bytes(sock)

    @property
    def silent_s(self) -> float:
        """Returns the time since the caller was last seen to have taken something, seconds."""
        return monotonic() - self._moved_at

    def look(self, sent: int) -> None:
        """Looks at the send queue.

        :param sent: bytes that have gone into it so far.
        """
        taken = sent - _queued_bytes(self._sock)
        if taken > self._taken:
            self._taken = taken
            self._moved_at = monotonic()

    def is_too_slow(self, memory: ConnectionMemory) -> bool:
        """Returns whether the caller takes bytes too slowly for the memory that is left."""
        elapsed_s = monotonic() - self._began_at
        return memory.is_too_slow(elapsed_s, self.silent_s, self._taken - self._first)


def _queued_bytes(sock: Any) -> int:
    """Returns the bytes in the send queue that the caller's system has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
