"""A process that a test or a soak starts, and the fixed ports of the nodes' processes."""

import os
import signal
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from gevent.lock import BoundedSemaphore

from tests.soak.spans import Spans

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = {"front": 7101, "ready": 7102, "control": 7103, "directory": 7104}
PEER_PORT = 7110


@dataclass
class Program:
    """A process that the soak started.

    :ivar disrupted: when it was frozen, ended or away.
    """

    name: str
    command: list[str]
    log: Path
    variables: dict[str, str] = field(default_factory=dict)
    popen: subprocess.Popen | None = None
    is_frozen: bool = False
    lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)
    disrupted: Spans = field(default_factory=Spans)

    def start(self) -> None:
        """Starts the process unless it runs; its output goes on in the same file.

        Faults overlap, and other greenlets run while a process is started.
        """
        with self.lock:
            if not self.is_alive:
                self._start()

    def _start(self) -> None:
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env={**os.environ, **self.variables},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.disrupted.end()

    @property
    def is_alive(self) -> bool:
        """Returns whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def send(self, number: int) -> None:
        """Sends a signal to the process, by its id."""
        if self.is_alive:
            self.popen.send_signal(number)

    def freeze(self, seconds: float) -> None:
        """Stops the process for a while."""
        began = time.monotonic()
        self.send(signal.SIGSTOP)
        gevent.sleep(seconds)
        self.send(signal.SIGCONT)
        self.disrupted.add(began, time.monotonic())

    def end(self, number: int = signal.SIGKILL, within_s: float = 10.0) -> int | None:
        """Ends the process; returns its exit code, ``None`` if it had to be killed."""
        if not self.is_alive:
            return None
        self.disrupted.begin()
        self.send(signal.SIGCONT)
        self.send(number)
        # Another fault may start the program again as soon as this process is gone.
        ended = self.popen
        with gevent.Timeout(within_s, False):
            while ended.poll() is None:
                gevent.sleep(0.02)
            return ended.returncode
        ended.kill()
        ended.wait()
        return None
