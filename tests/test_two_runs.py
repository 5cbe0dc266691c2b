"""Two worker processes never work on one stream for long."""

import json
import select
import subprocess
import sys
import tempfile
import time
from typing import Any
from unittest import mock

import gevent
from gevent import monkey

from arbutustally_node.gateway.request_run import HEDGE_DELAY_S
from tests.engine_answers import events
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase
from tests.platform_fakes import FakeWorker

#: Longest time for which two workers may work on a request, seconds.
BOTH_S = 0.4


def text(first: int, last: int) -> str:
    """Returns complete events of a stream."""
    return events(first, last).decode()


class TwoRunsTest(GatewayCase):
    def start_workers(self, first: list, second: list) -> None:
        """Starts two engines, which play these steps in the order in which they are asked."""
        for worker in self.engines:
            self.store.put("keyed.servers", worker.id, None)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        command = [sys.executable, "-m", "tests.timed_worker", folder.name]
        command.append(json.dumps([first, second]))
        self.workers = []
        for number in (1, 2):
            worker = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            self.addCleanup(self.stop_worker, worker)
            entry = FakeWorker(f"timed-{number}", "llm", "m").entry()
            entry["address"] = f"127.0.0.1:{int(worker.stdout.readline())}"
            self.store.put("keyed.servers", f"timed-{number}", entry)
            self.workers.append(worker)
        changed = configuration(2)
        changed["routes"][0] |= {"timeoutMs": 6000}
        self.store.put("keyed.op", "config", changed)
        self.node = self.start_node()
        self.wait_ready(self.node)
        self.eventually(lambda: self.node._view.configuration.version == 2)

    def stop_worker(self, worker: subprocess.Popen) -> None:
        worker.kill()
        worker.wait()
        worker.stdout.close()

    def ask(self) -> bytes:
        """Returns the body that the caller receives; collects the reports of both workers."""
        answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="6000")
        with gevent.Timeout(5.0):
            reports = [json.loads(worker.stdout.readline()) for worker in self.workers]
        self.first, self.second = sorted(reports, key=lambda report: report["part"])
        return answer.data

    def test_engine_that_reads_a_prompt_is_left_at_the_other_ones_first_event(self) -> None:
        """Guards against a silent engine that works on after a hedge was answered."""
        self.start_workers([4.0, text(1, 3)], [text(1, 3)])
        self.assertEqual(self.ask(), events(1, 3))
        self.assertIsNone(self.first["began"])
        self.assertLess(self.first["ended"] - self.second["began"], BOTH_S)

    def test_paused_engine_is_left_at_the_other_ones_first_event(self) -> None:
        """Guards against an engine that works on while another one continues its stream."""
        self.start_workers([text(1, 2), 4.0, text(3, 5)], [text(3, 3), 0.5, text(4, 5)])
        self.assertEqual(self.ask(), events(1, 5))
        self.assertLess(self.first["ended"] - self.second["began"], BOTH_S)

    def test_hedge_is_left_once_the_first_engine_goes_on(self) -> None:
        """Guards against a hedge that works on beside the stream that its caller gets."""
        self.start_workers([1.5, text(1, 1), 0.5, text(2, 3)], [4.0, text(1, 3)])
        self.assertEqual(self.ask(), events(1, 3))
        self.assertIsNone(self.second["began"])
        self.assertLess(self.second["ended"] - self.first["began"], BOTH_S)

    def test_silent_engine_is_left_before_a_slow_hedge_has_begun(self) -> None:
        """Guards against two engines that read a prompt side by side until one of them answers."""
        self.start_workers([4.0, text(1, 3)], [1.0, text(1, 3)])
        self.assertEqual(self.ask(), events(1, 3))
        self.assertIsNone(self.first["began"])
        self.assertLess(self.first["ended"] - self.second["read"], BOTH_S)

    def test_paused_engine_is_left_before_a_slow_hedge_has_begun(self) -> None:
        """Guards against a run that is kept while the engine that continues its stream is silent."""
        self.start_workers([text(1, 2), 4.0, text(3, 5)], [1.0, text(3, 5)])
        self.assertEqual(self.ask(), events(1, 5))
        self.assertLess(self.first["ended"] - self.second["read"], BOTH_S)

    def test_log_line_tells_when_two_attempts_ran(self) -> None:
        """Guards against a log that can't tell two runs side by side from one after the other."""
        self.start_workers([4.0, text(1, 3)], [0.2, text(1, 3)])
        log = self.node._services.state.log
        with mock.patch.object(log, "line", wraps=log.line) as line:
            self.ask()
        lines = [one.kwargs for one in line.call_args_list if one.args == ("request",)]
        first, second = lines[0]["attempts"]
        self.assertEqual([first[1], second[1]], ["endpoint_silent", "status_200"])
        self.assertEqual(first[4], None)
        self.assertAlmostEqual(second[3], HEDGE_DELAY_S, delta=0.2)
        self.assertAlmostEqual(second[4], HEDGE_DELAY_S + 0.2, delta=0.2)
        self.assertAlmostEqual(first[3] + first[2], second[4], delta=0.1)

    def test_hedge_without_a_whole_event_does_not_run_beside_the_first_engine(self) -> None:
        """Guards against two runs while a hedge has given a head and a part of an event only."""
        self.start_workers([2.5, text(1, 3)], ["id: 1\n", 4.0, "data: piece 1\n\n"])
        self.assertEqual(self.ask(), events(1, 3))
        both = min(self.first["ended"], self.second["ended"]) - self.second["began"]
        self.assertLess(both, BOTH_S)

    def test_hedge_with_a_part_of_an_event_is_kept_if_the_first_engine_fails(self) -> None:
        """Guards against losing a stream whose only engine pauses within its first event."""
        self.start_workers([1.7, None], [0.8, "id: 1\n", 1.0, "data: piece 1\n\n", text(2, 3)])
        self.assertEqual(self.ask(), events(1, 3))

    def test_node_that_stood_still_reads_before_it_sends_a_hedge(self) -> None:
        """Guards against a second run after a pause of the node, with the answer in its socket."""
        self.start_workers([1.5, text(1, 3)], [text(1, 3)])
        log = self.node._services.state.log
        with mock.patch.object(log, "line", wraps=log.line) as line:
            gevent.spawn_later(0.9, _stand_still, 2.0)
            answer = self.call(self.node, "/chat/x", "r1", Deadline_Ms="6000")
        self.assertEqual(answer.data, events(1, 3))
        lines = [one.kwargs for one in line.call_args_list if one.args == ("request",)]
        self.assertEqual([len(one["attempts"]) for one in lines], [1])

    def reporting(self, within_s: float) -> list[Any]:
        """Returns the outputs of the workers that have reported the end of a run."""
        outputs = {one.stdout.fileno(): one.stdout for one in self.workers}
        # Unlike select, poll takes descriptors above 1,023, which a whole run of tests reaches.
        poll = select.poll()
        for descriptor in outputs:
            poll.register(descriptor, select.POLLIN)
        return [outputs[descriptor] for descriptor, _event in poll.poll(within_s * 1000)]

    def test_caller_that_leaves_ends_the_run(self) -> None:
        """Guards against an engine that works on for a caller that has left."""
        self.start_workers([text(1, 1), 4.0, text(2, 3)], [])
        caller = gevent.spawn(self.call, self.node, "/chat/x", "r1", Deadline_Ms="6000")
        gevent.sleep(0.4)
        left_at = time.monotonic()
        host, _, port = self.node._options.caller_listen.rpartition(":")
        self.http.connection_from_host(host, int(port)).close()
        caller.kill()
        with gevent.Timeout(3.0):
            report = json.loads(self.reporting(3.0)[0].readline())
        self.assertTrue(0.0 <= report["ended"] - left_at < 0.3, report["ended"] - left_at)
        gevent.sleep(HEDGE_DELAY_S + 0.3)
        self.assertEqual(
            self.reporting(0.0), [], "the request was sent again after its caller had left"
        )


def _stand_still(pause_s: float) -> None:
    """Blocks all greenlets of the node, as if its process were stopped."""
    monkey.get_original("time", "sleep")(pause_s)
