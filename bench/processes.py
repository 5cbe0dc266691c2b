"""Child processes of a measurement: started with settings, stopped by their own handles."""

import json
import os
import socket
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

_STOP_S = 20.0


class Process:
    """One process that can be started again with the same command.

    :param module: module run with ``python -m``.
    :param errors: file that receives standard error.
    """

    def __init__(
        self, module: str, arguments: Sequence[str], settings: Mapping[str, str], errors: Path
    ) -> None:
        self._command = [sys.executable, "-m", module, *arguments]
        # Settings of an outer shell must not reach the nodes; they refuse unknown ones.
        kept = {k: v for k, v in os.environ.items() if not k.startswith("ARBUTUSTALLY_")}
        self._environment = {**kept, **settings}
        self._errors = errors
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        with self._errors.open("ab") as errors:
            self._process = subprocess.Popen(
                self._command, env=self._environment, stdout=subprocess.PIPE, stderr=errors
            )

    def listening(self) -> str:
        """Returns the address in the first line that a stand-in prints."""
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self._command[2]} did not start; see {self._errors.name}")
        return json.loads(line)["listening"]

    def kill(self) -> None:
        """Ends the process at once, as a crash does."""
        self._process.kill()
        self._end()

    def stop(self) -> int:
        """Lets the process finish its work; returns its exit code."""
        self._process.terminate()
        return self._end()

    def _end(self) -> int:
        try:
            code = self._process.wait(_STOP_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            code = self._process.wait(_STOP_S)
        self._process.stdout.close()
        return code


def free_addresses(count: int) -> list[str]:
    """Returns addresses on loopback that were free a moment ago."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    found = [f"127.0.0.1:{one.getsockname()[1]}" for one in held]
    for one in held:
        one.close()
    return found
