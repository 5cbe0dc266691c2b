"""A worker learns at once that the node has left an attempt, whatever it waits for."""

import json
import subprocess
import sys
import time
import unittest
from contextlib import nullcontext
from dataclasses import replace
from typing import Any

import gevent

from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally_node.gateway.hedge import OvertakenError
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.transport import AttemptResult, Transport
from arbutustally_node.pool import PoolService
from arbutustally_platform.headers import PlatformCodec
from tests.test_cut_heads import request

#: A worker may work on for 400 ms after the request goes on elsewhere.
NOTICE_S = 0.2
#: Longer than the buffers of a connection, so that a part of the body remains unsent, bytes.
LONG_BODY = 16 << 20


class LeftAttemptTest(unittest.TestCase):
    def setUp(self) -> None:
        command = [sys.executable, "-m", "tests.watching_worker"]
        self.worker = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.addCleanup(self._stop)
        port = int(self.worker.stdout.readline())
        self.pool = PoolService(1.0, 5.0)
        self.addCleanup(self.pool.stop)
        self.transport = Transport(self.pool, PlatformCodec())
        entry = EndpointEntry(
            id="watching",
            service="llm",
            address=f"127.0.0.1:{port}",
            zone="z1",
            slots=4,
            is_leaving=False,
            weights={},
            incarnation="1",
            release="v1",
        )
        self.state = EndpointState(entry)

    def _stop(self) -> None:
        self.worker.kill()
        self.worker.wait()
        self.worker.stdout.close()

    def send(self, path: str, body: bytes = b"", left_s: float = 5.0) -> AttemptResult:
        asked = replace(request(), target=path, body=body)
        terms = AttemptTerms(endpoint_id="watching", account="", left_s=left_s)
        return self.transport.send(asked, self.state, terms, nullcontext())

    def assert_noticed(self, path: str, left_at: float) -> None:
        seen: dict[str, Any] = json.loads(self.worker.stdout.readline())
        self.assertEqual(seen["path"], path)
        self.assertIsNotNone(seen["broken"], f"worker of {path} was not told: {seen}")
        self.assertLess(seen["broken"] - left_at, NOTICE_S)

    def test_overtaken_before_the_head(self) -> None:
        """Guards against a worker that works on for a request that goes on elsewhere."""
        for body in (b"", b"x" * 1000, b"x" * LONG_BODY):
            with self.subTest(body=len(body)):
                sending = gevent.spawn(self.send, "/none", body)
                gevent.sleep(0.3)
                left_at = time.monotonic()
                sending.kill(OvertakenError)
                self.assertEqual(sending.value.reason, "endpoint_silent")
                self.assert_noticed("/none", left_at)

    def test_out_of_time_before_the_head(self) -> None:
        """Guards against a worker that works on after the deadline."""
        for body in (b"", b"x" * LONG_BODY):
            with self.subTest(body=len(body)):
                result = self.send("/none", body, left_s=0.3)
                self.assertEqual(result.reason, "endpoint_silent")
                self.assert_noticed("/none", time.monotonic())

    def test_crossed_answer(self) -> None:
        """Guards against a second run beside that of a worker that sent a copy first."""
        for path in ("/crossed", "/crossed-and-more"):
            with self.subTest(path=path):
                result = self.send(path)
                self.assertEqual(result.reason, "crossed_answer")
                self.assert_noticed(path, time.monotonic())

    def test_left_inside_the_body(self) -> None:
        """Guards against an engine that goes on with a stream that another one has taken over."""
        for path in ("/head", "/part", "/event"):
            with self.subTest(path=path):
                result = self.send(path)
                gevent.sleep(0.1)
                result.response.close()
                self.assert_noticed(path, time.monotonic())

    def test_hedge_cancelled_before_its_first_event(self) -> None:
        """Guards against two runs of a stream after the first engine went on."""
        for path in ("/head", "/part"):
            with self.subTest(path=path):
                result = self.send(path)
                waiting = gevent.spawn(
                    self.transport.await_event, result, 5.0, nullcontext(), "", lambda: False
                )
                gevent.sleep(0.2)
                left_at = time.monotonic()
                waiting.kill()
                self.assert_noticed(path, left_at)
