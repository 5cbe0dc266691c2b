"""Signal handlers that note when a signal came, however long the event loop's turn lasts."""

import os
import signal
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import gevent

from arbutustally.clock import boottime

_READ = 1
_PIPE_BYTES = 512

#: Called in a greenlet of its own with the time at which the signal was noted, steady seconds.
SignalHandler = Callable[[float], None]


class SignalHandlers:
    """Handlers of the process's signals.

    A watcher of the event loop learns of a signal only after all callbacks that are due. The
    interpreter's own handler runs between two of its instructions.
    """

    def __init__(self) -> None:
        self._handlers: dict[int, SignalHandler] = {}
        self._noted: deque[tuple[int, float]] = deque()
        loop = gevent.get_hub().loop
        # The interpreter writes to the pipe for each signal, which ends the loop's wait.
        self._pipe, self._pipe_in = os.pipe()
        os.set_blocking(self._pipe, False)
        os.set_blocking(self._pipe_in, False)
        signal.set_wakeup_fd(self._pipe_in, warn_on_full_buffer=False)
        self._wakes = loop.io(self._pipe, _READ, ref=False)
        self._wakes.start(self._empty_pipe)
        self._calls = loop.async_(ref=False)
        self._calls.start(self._call_handlers)

    @classmethod
    def install(cls, handlers: Mapping[int, SignalHandler]) -> "SignalHandlers":
        """Installs the handlers of some signals, in place of earlier ones.

        :param handlers: by number of the signal.
        """
        installed = cls()
        installed._handlers.update(handlers)
        for number in handlers:
            signal.signal(number, installed._note)
        return installed

    def uninstall(self) -> None:
        """Ends the watchers; handlers that the caller did not replace note signals in vain."""
        signal.set_wakeup_fd(-1)
        for watcher in (self._wakes, self._calls):
            watcher.stop()
            watcher.close()
        os.close(self._pipe)
        os.close(self._pipe_in)

    def _note(self, number: int, _frame: Any) -> None:
        # This runs in the middle of any other code, so it changes nothing that others use.
        self._noted.append((number, boottime()))
        self._calls.send()

    def _empty_pipe(self) -> None:
        os.read(self._pipe, _PIPE_BYTES)

    def _call_handlers(self) -> None:
        while self._noted:
            number, at = self._noted.popleft()
            gevent.spawn(self._handlers[number], at)
