"""Signals that arrive while a node program still imports its modules or builds its node."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.gateway_fleet import settings
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.program import PORTS

PROGRAMS = ("arbutustally_platform", "arbutustally_node")
EXIT_SETTINGS = 2
LIMIT_S = 20.0
#: Delays after the first slow import, seconds; the last ones are after the start of the node.
DELAYS_S = (0.0, 0.2, 0.4, 0.8)


def begin(program: str, variables: dict[str, str], directory: str) -> subprocess.Popen:
    """Starts a program and waits until it has begun its slow imports."""
    kept = {key: text for key, text in os.environ.items() if not key.startswith("ARBUTUSTALLY_")}
    popen = subprocess.Popen(
        [sys.executable, "-m", program],
        env={**kept, **variables},
        cwd=directory,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    maps = Path(f"/proc/{popen.pid}/maps")
    limit = time.monotonic() + LIMIT_S
    while "/gevent/" not in maps.read_text() and time.monotonic() < limit:
        time.sleep(0.002)
    return popen


class EarlySignalsTest(unittest.TestCase):
    """Guards against a node that is ended by a reload or an early stop."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def end(self, popen: subprocess.Popen) -> int:
        self.addCleanup(popen.kill)
        return popen.wait(LIMIT_S)

    def test_stop_during_the_imports_is_orderly(self) -> None:
        for program in PROGRAMS:
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(program=program, signal=number):
                    popen = begin(program, {}, self.directory)
                    popen.send_signal(number)
                    self.assertEqual(self.end(popen), 0)

    def test_reload_during_the_imports_does_not_end_the_program(self) -> None:
        """The programs have no settings here, which they refuse when they get to read them."""
        for program in PROGRAMS:
            with self.subTest(program=program):
                popen = begin(program, {}, self.directory)
                popen.send_signal(signal.SIGHUP)
                self.assertEqual(self.end(popen), EXIT_SETTINGS)

    def test_reload_and_stop_at_any_time_of_the_start(self) -> None:
        network = Network.reserve_free(FIRST_NETWORK, tuple(PORTS.values()))
        self.addCleanup(network.release)
        path = Path(self.directory) / "settings.json"
        path.write_text(json.dumps(settings("127.0.0.1:1", ip=network.ips(1)[0])))
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                variables = {"ARBUTUSTALLY_CONFIG": str(path)}
                popen = begin("arbutustally_platform", variables, self.directory)
                time.sleep(delay_s)
                popen.send_signal(signal.SIGHUP)
                time.sleep(0.05)
                popen.send_signal(signal.SIGTERM)
                self.assertEqual(self.end(popen), 0)
