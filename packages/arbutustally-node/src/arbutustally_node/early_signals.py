"""Signal handlers for the time before a program has read its settings and built its node.

Importing the services takes about half a second. Meanwhile, the default action of SIGHUP and
SIGTERM would end the process by the signal, as would a handler that raises inside an import. This
module therefore imports nothing but the standard library and is imported first.
"""

import os
import signal
from typing import Any

EXIT_OK = 0


class EarlySignals:
    """Handlers that are in force until the node's own ones replace them."""

    def __init__(self) -> None:
        self._is_reload_requested = False

    def install(self) -> None:
        """Installs the handlers of SIGTERM, SIGINT and SIGHUP."""
        signal.signal(signal.SIGTERM, self._exit)
        signal.signal(signal.SIGINT, self._exit)
        signal.signal(signal.SIGHUP, self._request_reload)

    def take_reload(self) -> bool:
        """Returns whether SIGHUP arrived since the last call."""
        was_requested, self._is_reload_requested = self._is_reload_requested, False
        return was_requested

    def _exit(self, _number: int, _frame: Any) -> None:
        # Nothing has been started yet. An exception could be swallowed by the interrupted import.
        os._exit(EXIT_OK)

    def _request_reload(self, _number: int, _frame: Any) -> None:
        self._is_reload_requested = True


#: Handlers of this process.
EARLY_SIGNALS = EarlySignals()
