"""A short soak of fixed seeds; ``python -m tests.soak`` plays others."""

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import gevent

from tests.soak.fleet import Program
from tests.soak.networks import Network, NetworkInUseError
from tests.soak.soak import run

#: Time of faults, seconds.
SHORT_S = 6.0
#: Far from the networks that soaks try first.
FIRST_TRIED = 230
PORT = 7101


class NetworkTest(unittest.TestCase):
    """Guards against callers of one soak that reach the nodes of another one."""

    def reserve(self, first: int = FIRST_TRIED) -> Network:
        network = Network.reserve_free(first, (PORT,))
        self.addCleanup(network.release)
        return network

    def test_network_has_one_holder(self) -> None:
        first = self.reserve()
        with self.assertRaisesRegex(NetworkInUseError, "in use by another soak"):
            Network.reserve(first.number, (PORT,))
        self.assertGreater(self.reserve(first.number).number, first.number)
        first.release()
        self.assertEqual(self.reserve(first.number).number, first.number)

    def test_network_with_nodes_left_behind_is_not_used(self) -> None:
        free = self.reserve()
        free.release()
        server = socket.create_server((free.ips(1)[0], PORT))
        with server, self.assertRaises(NetworkInUseError):
            Network.reserve(free.number, (PORT,))
        self.assertEqual(self.reserve(free.number).number, free.number)


def slow_start(popen):
    """Returns a way to start processes that lets other greenlets run, as on a busy machine."""

    def start(*arguments, **options):
        gevent.sleep(0.1)
        return popen(*arguments, **options)

    return start


class ProgramTest(unittest.TestCase):
    def test_program_that_two_faults_start_runs_once(self) -> None:
        """Guards against a node that nobody ends, which callers of later soaks reach."""
        with tempfile.TemporaryDirectory() as directory:
            log = Path(directory) / "log"
            command = [sys.executable, "-uc", "import time; print('began'); time.sleep(9)"]
            program = Program("sleeper", command, log)
            with mock.patch.object(subprocess, "Popen", slow_start(subprocess.Popen)):
                gevent.joinall([gevent.spawn(program.start) for _ in range(2)], raise_error=True)
            gevent.sleep(0.5)
            began = log.read_text().count("began")
            program.end()
        self.assertEqual(began, 1)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults_from_outside(self) -> None:
        for seed in (2, 4):
            with self.subTest(seed=seed):
                report = run(seed, SHORT_S)
                self.assertEqual(report.broken, [], f"{report}; logs: {report.logs}")
                self.assertGreater(report.served, 0)
