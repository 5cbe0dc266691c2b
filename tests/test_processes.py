"""The whole path as separate processes, and what happens when the log or engines fail."""

import threading
import time

import openai
import orjson
import urllib3

from arbutustally_standins.caller.client import CallFailedError, StreamResult
from arbutustally_standins.idempotency import new_uuid7
from tests.fleet import DECLARATIONS, wait_for
from tests.process_fleet import CHAT, HTTP, FleetCase, chat_body, engine_text

#: Length of the parts of a secret that are searched for. Shorter ones occur by accident.
SECRET_PART_CHARACTERS = 12


def secret_parts(key: str) -> list[str]:
    """Returns all parts of the secret of a key of the form ``at-ID-SECRET``.

    The secret itself may contain hyphens.
    """
    secret = key.split("-", 2)[2]
    starts = range(len(secret) - SECRET_PART_CHARACTERS + 1)
    return [secret[start : start + SECRET_PART_CHARACTERS] for start in starts]


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
        endpoints = [*self.fleet.engines.values(), *self.fleet.bookings.values()]
        texts = [orjson.dumps(self.fleet.stats(process)).decode() for process in endpoints]
        texts += [node.log_text() for node in self.fleet.nodes.values()]
        for text in texts:
            self.assertEqual([part for part in secret_parts(self.key) if part in text], [])
        for node in self.fleet.nodes.values():
            text = node.log_text()
            for fleet_secret in self.fleet.secrets:
                self.assertNotIn(fleet_secret, text)

    def test_parts_of_a_secret_with_hyphens_are_long(self) -> None:
        """Guards against a search for a secret that finds its last character anywhere."""
        parts = secret_parts(f"at-0123456789abcdef-{'-x' * 20}-4")
        self.assertEqual({len(part) for part in parts}, {SECRET_PART_CHARACTERS})
        self.assertEqual(parts[0] + parts[-1], "-x" * 6 + "-x" * 5 + "-4")

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
        answer = HTTP.request("POST", url, json=chat_body("Why?"), headers=self.headers())
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
