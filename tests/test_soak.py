"""A short soak of fixed seeds; ``python -m tests.soak`` plays others."""

import socket
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

import gevent

from tests.soak.content import answer_body
from tests.soak.faults import SILENCES, SPOILS
from tests.soak.networks import Network, NetworkInUseError
from tests.soak.notes import Run
from tests.soak.program import Program
from tests.soak.raw_caller import RawCaller
from tests.soak.rules import Kind, Result
from tests.soak.soak import run
from tests.soak.wire import Answer, CutError, Framing, NotHttpError

#: Time of faults, seconds.
SHORT_S = 6.0
#: Spoils in eight ways, one after another.
SPOILED_SEED = 34
#: Silences of all five kinds.
SILENT_SEED = 62
SILENT_S = 4.0
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


class SpoilTest(unittest.TestCase):
    """Guards against a soak that takes a cut answer of a worker for a whole one."""

    def setUp(self) -> None:
        self.run_ = Run("r1", "d1", "0a", 200, 1.0, 2.0)
        self.answer = Answer(
            200,
            (("Request-Id", "r1"), ("Server-Stamp", self.run_.signature)),
            (answer_body("r1", "0a"),),
        )

    def faults(self, data: bytes) -> list[str]:
        """Returns what a raw caller finds in an answer that ends in an orderly way."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        caller = RawCaller(server.getsockname()[1], 5.0)
        self.addCleanup(caller.close)
        result = Result("r1", Kind.BOOK, "127.0.0.1")

        def serve() -> None:
            with server.accept()[0] as connection:
                connection.recv(4096)
                connection.sendall(data)

        serving = gevent.spawn(serve)
        try:
            caller.post("/book/a", {}, b"x", result)
        except CutError:
            result.is_whole = False
        except NotHttpError as error:
            result.stray = str(error)
        serving.get()
        return list(result.faults([self.run_]))

    def test_whole_and_cut_answers_break_no_promise(self) -> None:
        for framing in Framing:
            whole = replace(self.answer, framing=framing).whole()
            for size in (0, 20, len(whole) // 2, len(whole) - 1, len(whole)):
                self.assertEqual(self.faults(whole[:size]), [])

    def test_answers_that_no_worker_gave_are_found(self) -> None:
        whole = self.answer.whole()
        short = replace(self.answer, parts=(answer_body("r1", "0a")[:-1],)).whole()
        for data, found in (
            (short, "looks complete"),
            (whole.replace(b".end", b""), "that no run of it has"),
            (whole.replace(b"Request-Id: r1", b"Request-Id: r2"), "of another request"),
            (whole.replace(b" 200 ", b" 201 "), "answered 200"),
            (whole + b"x", "after the answer"),
            (whole.replace(b"HTTP/1.1", b"HTTP/x"), "status line"),
        ):
            self.assertRegex(" ".join(self.faults(data)), found)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults_from_outside(self) -> None:
        for seed in (2, 4):
            with self.subTest(seed=seed):
                report = run(seed, SHORT_S)
                self.assertEqual(report.broken, [], f"{report}; logs: {report.logs}")
                self.assertGreater(report.served, 0)

    def test_promises_hold_when_workers_spoil_answers(self) -> None:
        report = run(SPOILED_SEED, SHORT_S, faults=SPOILS)
        self.assertEqual(report.broken, [], f"{report}; logs: {report.logs}")
        self.assertGreater(sum(report.spoils.values()), 0)

    def test_promises_hold_when_sound_workers_fall_silent(self) -> None:
        """Guards against requests that a silent worker carries across a bound."""
        report = run(SILENT_SEED, SILENT_S, faults=SILENCES)
        self.assertEqual(report.broken, [], f"{report}; logs: {report.logs}")
        self.assertEqual({name for _, name in report.faults}, {one.__name__ for one in SILENCES})
