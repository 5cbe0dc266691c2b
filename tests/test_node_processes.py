"""What happens when nodes die, freeze, leave or start on a port that is in use."""

import socket
import threading
import time
import unittest

import urllib3

from arbutustally_standins.caller.client import StreamResult
from tests.fleet import DECLARATIONS, Fleet, FleetError, Process, wait_for
from tests.ports import free_port
from tests.process_fleet import CHAT, HTTP, FleetCase, chat_body, engine_text


class NodeDeathTest(FleetCase):
    """Nodes die, freeze and leave."""

    SIZES = {"nodes": 3}

    def test_caller_resumes_at_another_node_without_gap_or_repeat(self) -> None:
        """Guards against a stream that is lost with its node."""
        question = "Which node?"
        expected = engine_text(self.fleet, question, 150)
        result = StreamResult()
        victim = ""
        for _ in self.fleet.caller(self.key).stream(CHAT, chat_body(question, 150), result):
            if len(result.texts) == 10 and not victim:
                victim = result.request_id.partition("~")[0]
                self.fleet.nodes[victim].kill()
        self.assertEqual(result.text, expected)
        self.assertEqual(len(result.nodes), 2)
        self.fleet.add_node(victim)
        self.fleet.wait_serving(self.key)

    def test_restarted_node_serves_with_the_log_down(self) -> None:
        """Guards against a restart that needs the log although peers hold the configuration."""
        version = self.fleet.status_of("node-2")["version"]
        self.fleet.fault(self.fleet.log, outage=True)
        self.addCleanup(self.fleet.fault, self.fleet.log, outage=False)
        self.fleet.nodes["node-1"].kill()
        node = self.fleet.add_node("node-1")
        url = f"http://{node.address}/v1/models"

        def served() -> bool:
            try:
                return HTTP.request("GET", url, headers=self.headers()).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_for(served, "the restarted node to serve")
        self.assertEqual(self.fleet.status_of("node-1")["version"], version)
        self.fleet.fault(self.fleet.log, outage=False)
        self.fleet.wait_serving(self.key)

    def test_graceful_stop_cuts_no_stream_and_exits_with_0(self) -> None:
        question = "Who stops?"
        expected = engine_text(self.fleet, question, 100)
        result = StreamResult()
        stopped = ""
        for _ in self.fleet.caller(self.key).stream(CHAT, chat_body(question, 100), result):
            if len(result.texts) == 5 and not stopped:
                stopped = result.request_id.partition("~")[0]
                self.fleet.nodes[stopped].send(15)
        self.assertEqual(result.text, expected)
        self.assertEqual(len(result.nodes), 1)
        self.assertEqual(self.fleet.nodes[stopped].popen.wait(30), 0)
        self.fleet.add_node(stopped)
        self.fleet.wait_serving(self.key)

    def test_second_signal_leaves_streams_to_be_resumed_elsewhere(self) -> None:
        """Guards against a node that cancels the streams of its callers when it is ended."""
        question = "Who is cut short?"
        expected = engine_text(self.fleet, question, 150)
        result = StreamResult()
        stopped = ""
        for _ in self.fleet.caller(self.key).stream(CHAT, chat_body(question, 150), result):
            if len(result.texts) == 10 and not stopped:
                stopped = result.request_id.partition("~")[0]
                self._end_twice(self.fleet.nodes[stopped])
        self.assertEqual(result.text, expected)
        self.assertEqual(self.fleet.nodes[stopped].popen.wait(30), 3)
        self.fleet.add_node(stopped)
        self.fleet.wait_serving(self.key)

    def _end_twice(self, node: Process) -> None:
        node.send(15)
        wait_for(lambda: "draining" in node.log_text(), "the drain to begin")
        node.send(15)

    def test_frozen_nodes_do_not_admit_over_the_rate(self) -> None:
        """Guards against an owner of a budget that grants after its lease lapsed."""
        text = DECLARATIONS + "\n[accounts.small]\nrate = 20\nburst = 400\n"
        applied = self.fleet.apply(text)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        key, _ = self.fleet.issue_key("small")
        started = time.monotonic()
        admitted = 0
        prompt, output = "x" * 40, 10
        body = {"model": "marelle", "prompt": prompt, "max_tokens": output}
        for turn in range(3):
            admitted += self._burst_of(key, body, skip="")
            frozen = self.fleet.nodes[f"node-{turn + 1}"]
            frozen.freeze()
            # Longer than the lease, so that another node takes over the budget.
            time.sleep(4.5)
            admitted += self._burst_of(key, body, skip=frozen.name)
            frozen.wake()
            admitted += self._burst_of(key, body, skip="")
        elapsed = time.monotonic() - started
        tokens = admitted * (10 + output)
        self.assertGreater(admitted, 0)
        self.assertLessEqual(tokens, 400 + 20 * elapsed)

    def _burst_of(self, key: str, body: dict, skip: str) -> int:
        """Sends to all nodes at once; returns how many requests were admitted."""
        admitted = []

        def send(address: str) -> None:
            pool = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=2, read=5))
            for _ in range(12):
                try:
                    answer = pool.request(
                        "POST",
                        f"http://{address}/v1/completions",
                        json=body,
                        headers=self.headers(key),
                    )
                except urllib3.exceptions.HTTPError:
                    continue
                if answer.status == 200:
                    admitted.append(address)

        threads = [
            threading.Thread(target=send, args=(node.address,))
            for name, node in self.fleet.nodes.items()
            if name != skip
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return len(admitted)


class PortTest(unittest.TestCase):
    """A node starts on a port that is in use."""

    def setUp(self) -> None:
        self.fleet = Fleet.from_config(engines=0, bookings=0, nodes=1)
        self.addCleanup(self.fleet.stop)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def restart_on_the_port_of_a_connection(self, which: str) -> socket.socket:
        """Restarts the node with a listener on the port of a connection, which is returned."""
        # A port of the system's range may at the same time be that of connections of other
        # processes, which hold it for the 60 s of TIME_WAIT after the end of this one.
        source = ("127.0.0.1", free_port())
        connection = socket.create_connection(self.listener.getsockname(), source_address=source)
        self.addCleanup(connection.close)
        # The end that closes first keeps its port in TIME_WAIT; that is to be the other one.
        self.listener.accept()[0].close()
        node = self.fleet.nodes["node-1"]
        node.kill()
        port = connection.getsockname()[1]
        node.addresses = {**node.addresses, which: f"127.0.0.1:{port}"}
        restarted = self.fleet.add_node("node-1")
        wait_for(lambda: "in use" in restarted.log_text(), "the node to find its port in use")
        far_host, far_port = self.listener.getsockname()
        self.assertIn(f"CLOSE_WAIT to {far_host}:{far_port}", restarted.log_text())
        return connection

    def test_restarted_node_waits_for_a_port_that_a_connection_holds(self) -> None:
        """Guards against a node that stays down because a connection that it or another process
        opened while it restarted has taken its port."""
        for which in ("caller_listen", "operator_listen", "peer_listen"):
            with self.subTest(which):
                connection = self.restart_on_the_port_of_a_connection(which)
                self.assertIsNone(self.fleet.nodes["node-1"].popen.poll())
                connection.close()
                self.fleet.wait_running()

    def test_wait_for_a_node_that_has_ended_fails_at_once_with_its_log(self) -> None:
        """Guards against a failure that tells only of the time that was waited."""
        self.fleet.nodes["node-1"].terminate()
        began = time.monotonic()
        with self.assertRaisesRegex(FleetError, "exited with 0(.|\n)*node stopped"):
            self.fleet.wait_running()
        self.assertLess(time.monotonic() - began, 5.0)
