"""The whole path as separate processes, and what happens when processes fail."""

import socket
import threading
import time
import unittest

import openai
import orjson
import urllib3

from arbutustally_standins.caller.client import CallFailedError, StreamResult
from arbutustally_standins.idempotency import new_uuid7
from tests.fleet import DECLARATIONS, Fleet, FleetError, Process, wait_for
from tests.ports import free_port

GUIDE = "Chalk paint washes off in rain; stencils come in five grids. " * 60
CHAT = "/v1/chat/completions"

_http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=5, read=30))


def chat_body(question: str, tokens: int = 12) -> dict:
    messages = [{"role": "system", "content": GUIDE}, {"role": "user", "content": question}]
    return {"model": "marelle", "messages": messages, "max_tokens": tokens}


def engine_text(fleet: Fleet, question: str, tokens: int) -> str:
    """Returns what an engine itself answers, without the router."""
    engine = next(iter(fleet.engines.values()))
    body = {**chat_body(question, tokens), "request_id": new_uuid7(), "stream": False}
    answer = _http.request("POST", f"http://{engine.address}{CHAT}", json=body)
    return answer.json()["choices"][0]["message"]["content"]


class FleetCase(unittest.TestCase):
    """A fleet for all tests of a class."""

    SIZES: dict = {}

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet.from_config(**cls.SIZES)
        cls.addClassCleanup(cls.fleet.stop)
        applied = cls.fleet.apply()
        if applied.returncode:
            raise AssertionError(applied.stderr)
        cls.key, cls.key_id = cls.fleet.issue_key()
        cls.fleet.wait_serving(cls.key)

    def headers(self, key: str = "") -> dict[str, str]:
        return {"Authorization": f"Bearer {key or self.key}"}

    def call(self, node: str, path: str, body: object, **headers: str) -> tuple[int, dict]:
        url = f"http://{self.fleet.nodes[node].address}{path}"
        sent = {**self.headers(), **{k.replace("_", "-"): v for k, v in headers.items()}}
        answer = _http.request("POST", url, json=body, headers=sent)
        return answer.status, answer.json()


class ServingTest(FleetCase):
    """One fleet that serves without loss of processes."""

    def test_ordinary_client_library_is_served_unchanged(self) -> None:
        node = self.fleet.nodes["node-1"]
        client = openai.OpenAI(
            base_url=f"http://{node.address}/v1", api_key=self.key, max_retries=0
        )
        whole = client.chat.completions.create(**chat_body("Which grid?"))
        streamed = client.chat.completions.create(**chat_body("Which grid?"), stream=True)
        text = "".join(chunk.choices[0].delta.content or "" for chunk in streamed if chunk.choices)
        self.assertEqual(whole.choices[0].message.content, text)
        self.assertEqual(text, engine_text(self.fleet, "Which grid?", 12))
        self.assertEqual([model.id for model in client.models.list()], ["marelle"])

    def test_second_request_reuses_the_shared_prefix_on_any_node(self) -> None:
        """Guards against nodes that send the same prefix to different engines."""
        self.call("node-1", CHAT, chat_body("First question?"))
        _, answer = self.call("node-2", CHAT, chat_body("Second question?"))
        usage = answer["usage"]
        self.assertGreater(usage["prompt_tokens_details"]["cached_tokens"], 800)

    def test_key_reaches_no_endpoint_and_no_log(self) -> None:
        """Guards against a key that is forwarded or logged."""
        self.call("node-1", CHAT, chat_body("Where is my key?"))
        self.call("node-1", "/bookings", {"day": 1}, Idempotency_Key=new_uuid7())
        secret = self.key.rpartition("-")[2]
        endpoints = [*self.fleet.engines.values(), *self.fleet.bookings.values()]
        for process in endpoints:
            self.assertNotIn(secret, orjson.dumps(self.fleet.stats(process)).decode())
        for node in self.fleet.nodes.values():
            text = node.log_text()
            self.assertNotIn(secret, text)
            for fleet_secret in self.fleet.secrets:
                self.assertNotIn(fleet_secret, text)

    def test_withdrawn_key_stops_on_every_node(self) -> None:
        """Guards against a key that works on a kept connection after its withdrawal."""
        key, key_id = self.fleet.issue_key()
        pools = [
            urllib3.HTTPConnectionPool(node.address, maxsize=1, retries=False)
            for node in self.fleet.nodes.values()
        ]
        for pool in pools:
            # The news of the key reaches each node through the log a moment after the command.
            wait_for(
                lambda pool=pool: pool.request(
                    "GET", "/v1/models", headers=self.headers(key)
                ).status
                == 200,
                "the new key to work",
            )
        withdrawn = self.fleet.command("keys", "withdraw", key_id)
        self.assertEqual(withdrawn.returncode, 0, withdrawn.stderr)
        for pool in pools:
            answer = pool.request("GET", "/v1/models", headers=self.headers(key))
            self.assertEqual(answer.status, 401)
            self.assertEqual(answer.json()["error"]["code"], "key_invalid")

    def test_changed_target_is_in_force_on_every_node(self) -> None:
        changed = DECLARATIONS.replace("first_token_ms = 1600", "first_token_ms = 1500")
        applied = self.fleet.apply(changed)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        versions = {self.fleet.status_of(name)["version"] for name in self.fleet.nodes}
        self.assertEqual(len(versions), 1)
        again = self.fleet.apply(changed)
        self.assertEqual(again.returncode, 0, again.stderr)
        self.assertEqual(
            {self.fleet.status_of(name)["version"] for name in self.fleet.nodes}, versions
        )

    def test_race_of_two_operators_has_one_winner(self) -> None:
        """Guards against two changes that were both said to be accepted on one base."""
        base = str(self.fleet.status_of("node-1")["version"])
        texts = [DECLARATIONS.replace("rate = 5000", f"rate = {rate}") for rate in ("5001", "5002")]
        finished = [None, None]

        def run(index: int) -> None:
            node = f"node-{index + 1}"
            finished[index] = self.fleet.apply(texts[index], "--base", base, node=node)

        threads = [threading.Thread(target=run, args=(index,)) for index in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(one.returncode for one in finished)
        self.assertEqual(codes, [0, 4], [one.stderr for one in finished])
        loser = next(one for one in finished if one.returncode == 4)
        winner = str(self.fleet.status_of("node-1")["version"])
        self.assertIn(winner, loser.stderr)

    def test_booking_runs_once_for_a_repeated_key_at_two_nodes(self) -> None:
        key = new_uuid7()
        before = self.fleet.stats(self.fleet.bookings["booking-1"])["runs"]
        first = self.call("node-1", "/bookings", {"day": 2}, Idempotency_Key=key)
        second = self.call("node-2", "/bookings", {"day": 2}, Idempotency_Key=key)
        after = self.fleet.stats(self.fleet.bookings["booking-1"])["runs"]
        self.assertEqual(first[0], 200)
        self.assertEqual(first, second)
        self.assertEqual(after - before, 1)

    def test_repeated_key_is_answered_by_a_node_that_reads_the_log_a_moment_later(self) -> None:
        """Guards against a booking that one node has answered and another calls unknown, because
        it has read the claim and pauses before it reads the outcome."""
        answers = []
        for _ in range(20):
            # After this, the poll of node-2 waits for a record again and reads the claim at once.
            time.sleep(0.3)
            key = new_uuid7()
            for node in ("node-1", "node-2"):
                answers.append(self.call(node, "/bookings", {"day": 5}, Idempotency_Key=key)[0])
        self.assertEqual(answers, [200] * len(answers))

    def test_lost_answer_of_the_worker_is_said_to_be_unknown_and_not_repeated(self) -> None:
        """Guards against a second run after the worker ran and its answer was lost."""
        booking = self.fleet.bookings["booking-1"]
        before = self.fleet.stats(booking)["runs"]
        self.fleet.fault(booking, lose_next_answers=1)
        key = new_uuid7()
        status, body = self.call("node-1", "/bookings", {"day": 3}, Idempotency_Key=key)
        self.assertGreaterEqual(status, 400)
        self.assertEqual(body["error"]["ran"], "may_have_run")
        status, body = self.call("node-2", "/bookings", {"day": 3}, Idempotency_Key=key)
        self.assertEqual(body["error"]["ran"], "may_have_run")
        self.assertEqual(self.fleet.stats(booking)["runs"] - before, 1)

    def test_explanation_names_endpoint_and_reuse(self) -> None:
        url = f"http://{self.fleet.nodes['node-2'].address}{CHAT}"
        answer = _http.request("POST", url, json=chat_body("Why?"), headers=self.headers())
        explained = self.fleet.command("explain", answer.headers["X-Request-Id"], node="node-1")
        self.assertEqual(explained.returncode, 0, explained.stderr)
        self.assertRegex(explained.stdout, "engine-[12] was chosen")
        self.assertIn("tokens were reused", explained.stdout)


class LogOutageTest(FleetCase):
    """The log goes away and comes back."""

    def test_outage_refuses_changes_truly_and_serves_the_rest(self) -> None:
        """Guards against a refusal that says not run about a booking that ran, and against a log
        outage that stops model traffic."""
        log = self.fleet.log
        booking = self.fleet.bookings["booking-1"]
        before = self.fleet.stats(booking)["runs"]
        self.fleet.fault(log, outage=True)
        self.addCleanup(self.fleet.fault, log, outage=False)
        status, _ = self.call("node-1", CHAT, chat_body("Still there?"))
        self.assertEqual(status, 200)
        key = new_uuid7()
        status, body = self.call("node-1", "/bookings", {"day": 4}, Idempotency_Key=key)
        self.assertEqual((status, body["error"]["ran"]), (503, "not_run"))
        applied = self.fleet.apply(DECLARATIONS.replace("rate = 5000", "rate = 5009"))
        self.assertEqual(applied.returncode, 5, applied.stderr)
        self.fleet.fault(log, outage=False)

        def booked() -> bool:
            answer = self.call("node-2", "/bookings", {"day": 4}, Idempotency_Key=key)
            return answer[0] == 200

        wait_for(booked, "the booking to be possible again")
        self.assertEqual(self.fleet.stats(booking)["runs"] - before, 1)


class EngineDeathTest(FleetCase):
    """Engines die while they stream."""

    SIZES = {"engines": 3}

    def test_stream_goes_on_at_another_engine_without_gap_or_repeat(self) -> None:
        """Guards against a stream that restarts, skips or ends early when its engine dies."""
        question = "What survives?"
        expected = engine_text(self.fleet, question, 120)
        result = StreamResult()
        killed = False
        for _ in self.fleet.caller(self.key).stream(CHAT, chat_body(question, 120), result):
            if len(result.texts) == 10 and not killed:
                self._serving_engine(result.request_id).kill()
                killed = True
        self.assertTrue(killed)
        self.assertEqual(result.text, expected)

    def _serving_engine(self, request_id: str):
        name = request_id.partition("~")[0]
        _, body = self.fleet.operate("GET", f"/v1/explain/{request_id}", node=name)
        text = orjson.dumps(body).decode()
        placed = [name for name in self.fleet.engines if f'"endpoint":"{name}"' in text]
        return self.fleet.engines[placed[0]]


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
                return _http.request("GET", url, headers=self.headers()).status == 200
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


class LeavingEndpointTest(FleetCase):
    """An endpoint leaves."""

    def test_leaving_engine_gets_no_new_work(self) -> None:
        """Guards against new work on an endpoint that one node knows to be leaving."""
        leaving = self.fleet.engines["engine-1"]
        self.fleet.list_instance(
            "engine-1", "engines", leaving.address, model="marelle", version="v1", state="leaving"
        )

        def avoided() -> bool:
            before = sum(self.fleet.stats(leaving)["runs"].values())
            for number in range(10):
                for name in self.fleet.nodes:
                    self.call(name, CHAT, chat_body(f"Leaving {number} {new_uuid7()}?", 1))
            return sum(self.fleet.stats(leaving)["runs"].values()) == before

        wait_for(avoided, "new work to avoid the leaving engine")

    def test_bad_request_paths_are_refused_with_a_code(self) -> None:
        with self.assertRaises(CallFailedError) as caught:
            list(
                self.fleet.caller("at-unknown-0000").stream(
                    CHAT, chat_body("No key"), StreamResult()
                )
            )
        self.assertEqual(caught.exception.code, "key_invalid")
