"""The operator interface and the operator command, against a real listener."""

import io
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import gevent
import orjson
import urllib3
from gevent import monkey

from arbutustally.errors import PeerUnavailableError
from arbutustally.metrics import Metrics
from arbutustally_cli.exit_codes import ExitCode
from arbutustally_cli.main import run
from arbutustally_cli.render import Screen
from arbutustally_node import operator_http
from arbutustally_node.explain import ExplainService
from arbutustally_node.keys import Keys
from arbutustally_node.operator_http import OperatorHttp
from tests.fake_log import FakeLog, new_node, new_options, wait_until
from tests.test_declarations import TEXT

TOKEN = "t" * 20
#: The least accepted setting.
STALE_S = 1.0
#: Stops every greenlet of the process, as when it is not scheduled.
pause = monkey.get_original("time", "sleep")


class OperatorTest(unittest.TestCase):
    """One node with a listener; ``peers`` answers for a second node, n2."""

    def setUp(self) -> None:
        self.log = FakeLog()
        self.kernel, self.service = new_node(self.log, key_staleness_s=STALE_S)
        options = new_options(key_staleness_s=STALE_S)
        self.other = {"offset": 1 << 40, "version": 0}
        self.kernel.register("metrics", Metrics())
        self.kernel.register("keys", Keys(self.kernel, new_options()))
        self.explain = ExplainService.from_config(self.kernel, new_options())
        self.kernel.register("explain", self.explain)
        self.kernel.register("operator_http", OperatorHttp(self.kernel, options))
        self.kernel.start()
        self.addCleanup(self.kernel.stop)
        self.address = self.kernel.lookup("operator_http").address
        self.assertTrue(wait_until(lambda: self.service.confirmed_at > 0))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "declarations.toml"
        self.file.write_text(TEXT)

    def join_second_node(self) -> None:
        nodes = [SimpleNamespace(id=name, zone="z", draining=False) for name in ("n1", "n2")]
        membership = SimpleNamespace(nodes=lambda: nodes, draining=False)
        self.kernel.register("membership", membership)
        self.kernel.register("peers", SimpleNamespace(call=self._call, connected=lambda: ["n2"]))

    def _call(self, _name: str, method: str, _payload: dict, _timeout_s: float):
        if method != "status" or self.other is None:
            raise PeerUnavailableError("no answer")
        return self.other

    def cli(self, *argv: str, node: str = "") -> tuple[int, str, str]:
        """Runs the command; returns the exit code, the output and the messages."""
        screen = Screen("json" if "json" in argv else "table", io.StringIO(), io.StringIO())
        environment = {
            "ARBUTUSTALLY_NODE": node or self.address,
            "ARBUTUSTALLY_OPERATOR_TOKEN": TOKEN,
            "ARBUTUSTALLY_NODE_ID": "a setting of another binary",
        }
        code = run(argv, environment, screen)
        return code, screen.out.getvalue(), screen.err.getvalue()

    def http(self, method: str, path: str, token: str = TOKEN, **options: object):
        pool = urllib3.PoolManager(retries=False)
        headers = {"Authorization": f"Bearer {token}"}
        url = f"http://{self.address}{path}"
        return pool.request(method, url, headers=headers, timeout=5.0, **options)

    def test_applying_twice_changes_nothing_and_says_so(self) -> None:
        """Guards against new versions without a change."""
        self.assertEqual(self.cli("apply", str(self.file))[0], ExitCode.DONE)
        before = len(self.log.records)
        code, out, _ = self.cli("apply", str(self.file))
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn("nothing to change: version 0", out)
        kinds = {type(record.body).__name__ for record in self.log.records[before:]}
        self.assertNotIn("Change", kinds)

    def test_second_operator_is_told_the_version_that_won(self) -> None:
        """Guards against an operator who overwrites a change unseen."""
        self.cli("apply", str(self.file))
        self.file.write_text(TEXT.replace("rate = 100", "rate = 200"))
        code, _, _ = self.cli("apply", str(self.file), "--base", "0")
        self.assertEqual(code, ExitCode.DONE)
        version = self.service.state.version
        self.file.write_text(TEXT.replace("rate = 100", "rate = 300"))
        code, _, err = self.cli("apply", str(self.file), "--base", "0")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn(f"version {version} was accepted instead", err)
        self.assertEqual(self.service.state.declarations.accounts["school"].rate, 200.0)

    def test_conflict_is_told_by_a_node_that_does_not_know_the_tail(self) -> None:
        """Guards against an operator who is told to retry a change that can only be refused."""
        self.cli("apply", str(self.file))
        self.file.write_text(TEXT.replace("rate = 100", "rate = 200"))
        self.cli("apply", str(self.file), "--base", "0")
        version = self.service.state.version
        self.log.is_down = True
        gevent.sleep(STALE_S + 0.2)
        code, _, err = self.cli("apply", str(self.file), "--base", "0")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn(f"version {version} was accepted instead", err)

    def test_change_is_accepted_by_a_node_that_was_paused(self) -> None:
        """Guards against a refusal by a node that was not scheduled for a time and whose next read
        of the log confirms the tail."""
        self.cli("apply", str(self.file))
        self.file.write_text(TEXT.replace("rate = 100", "rate = 200"))
        pause(STALE_S + 0.2)
        code, _, err = self.cli("apply", str(self.file))
        self.assertEqual(code, ExitCode.DONE, err)

    def test_concurrent_operators_do_not_overwrite_each_other(self) -> None:
        """Guards against a check of the base that is not repeated by the log."""
        self.log.delay_s = 0.05
        items = {f"accounts/a{n}": {"rate": 1.0, "burst": 1.0} for n in range(4)}
        bodies = [orjson.dumps({"items": {name: value}}) for name, value in items.items()]
        calls = [gevent.spawn(self.http, "POST", "/v1/apply", body=body) for body in bodies]
        answers = [call.get() for call in calls]
        self.assertEqual(sorted(answer.status for answer in answers), [200, 409, 409, 409])
        winner = next(answer.json()["version"] for answer in answers if answer.status == 200)
        for answer in answers:
            if answer.status == 409:
                self.assertIn(f"version {winner} ", answer.json()["error"]["message"])

    def test_lost_answer_of_the_log_is_no_conflict(self) -> None:
        """Guards against an operator who is told that an accepted change failed."""
        self.log.lost_responses = 2
        self.assertEqual(self.cli("apply", str(self.file))[0], ExitCode.DONE)

    def test_exit_codes(self) -> None:
        """Guards against scripts that take a failure for success."""
        self.assertEqual(self.cli("status", node="127.0.0.1:1")[0], ExitCode.UNAVAILABLE)
        self.assertEqual(self.cli("status", "--operator-token", "wrong")[0], ExitCode.USAGE)
        self.assertEqual(self.cli("status", "--timeout-s", "0")[0], ExitCode.USAGE)
        self.assertEqual(self.cli("check", "/nonexistent")[0], ExitCode.USAGE)
        self.assertEqual(self.cli("explain", "n1~unknown")[0], ExitCode.REFUSED)
        self.assertEqual(self.cli("explain", "n9~unknown")[0], ExitCode.UNAVAILABLE)
        self.assertEqual(self.cli("keys", "issue", "nobody")[0], ExitCode.REFUSED)
        self.file.write_text(TEXT.replace("rate = 100", "rate = -1"))
        for command in ("check", "diff", "apply"):
            code, _, err = self.cli(command, str(self.file))
            self.assertEqual(code, ExitCode.REFUSED)
            self.assertIn("accounts/school", err)

    def test_log_down_is_reported_and_changes_nothing(self) -> None:
        """Guards against "nothing to change" from a node that cannot know."""
        self.cli("apply", str(self.file))
        self.log.is_down = True
        gevent.sleep(STALE_S + 0.2)
        code, out, err = self.cli("apply", str(self.file))
        self.assertEqual((code, out), (ExitCode.UNAVAILABLE, ""))
        self.assertIn("log", err)
        self.file.write_text(TEXT.replace("rate = 100", "rate = 200"))
        self.assertEqual(self.cli("apply", str(self.file))[0], ExitCode.UNAVAILABLE)
        self.assertEqual(self.service.state.declarations.accounts["school"].rate, 100.0)

    def test_apply_names_nodes_that_lack_the_version(self) -> None:
        """Guards against a change that is called done before it is in force everywhere."""
        self.join_second_node()
        for other in ({"offset": -1, "version": -1}, None):
            self.other = other
            rate = "rate = 200" if other else "rate = 300"
            self.file.write_text(TEXT.replace("rate = 100", rate))
            code, out, _ = self.cli("apply", str(self.file), "--wait-s", "0.5")
            self.assertEqual(code, ExitCode.NOT_IN_FORCE)
            self.assertIn("not in force on: n2", out)
        self.other = {"offset": 1 << 40, "version": 0}
        self.file.write_text(TEXT.replace("rate = 100", "rate = 400"))
        self.assertEqual(self.cli("apply", str(self.file))[0], ExitCode.DONE)

    def test_withdrawal_names_nodes_that_have_not_confirmed_it(self) -> None:
        """Guards against an operator who is told more than is known."""
        self.cli("apply", str(self.file))
        issued = orjson.loads(self.cli("keys", "issue", "school", "--output", "json")[1])
        keys = self.kernel.lookup("keys")
        self.assertEqual(keys.authenticate(f"Bearer {issued['text']}"), "school")
        self.join_second_node()
        self.other = None
        self.addCleanup(setattr, operator_http, "_CONFIRM_S", operator_http._CONFIRM_S)
        operator_http._CONFIRM_S = 0.3
        code, out, _ = self.cli("keys", "withdraw", issued["key_id"])
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)
        self.assertIn("in force on 1 of 2 nodes", out)
        self.assertIn("not confirmed by: n2", out)
        self.assertTrue(self.service.state.key(issued["key_id"]).withdrawn)

    def test_every_path_needs_the_credential(self) -> None:
        """Guards against an operator path that is open to callers."""
        paths = ["status", "fleet", "declarations", "history", "moves", "explain/n1~x"]
        calls = [("GET", path) for path in paths]
        calls += [("POST", "apply"), ("POST", "keys"), ("DELETE", "keys/kkkkkkkk")]
        for method, path in calls:
            for token in ("", "wrong", "t" * 19, "t" * 21):
                with self.subTest(path, token=token):
                    answer = self.http(method, f"/v1/{path}", token=token)
                    self.assertEqual(answer.status, 401)
        self.assertNotIn(TOKEN, answer.data.decode())

    def test_hostile_bodies_are_refused_with_a_typed_error(self) -> None:
        """Guards against input that ends in a traceback or in unbounded memory."""
        bodies = [b"", b"[]", b"{", b'{"items":[]}', b'{"items":{"a":1}}', b"\xff"]
        bodies += [b'{"items":{},"base":"x"}', b'{"items":{"accounts/a":{"rate":[1]}}}']
        bodies += [b'{"items":' + b"[" * 5000, b"x" * (5 << 20)]
        for body in bodies:
            with self.subTest(body[:40]):
                answer = self.http("POST", "/v1/apply", body=body)
                self.assertIn(answer.status, (400, 413, 422))
                self.assertEqual(answer.json()["error"]["ran"], "not_run")
        self.assertEqual(self.http("GET", "/v1/nothing").status, 404)
        self.assertEqual(self.http("GET", "/v1/status").status, 200)

    def test_explain_tells_choice_wait_reuse_and_cost_of_retries(self) -> None:
        """Guards against an account that leaves out why a request was slow."""
        clock = [100.0]
        self.explain._clock = lambda: clock[0]
        trace = self.explain.begin("n1~abc", "school", "chat")
        ranked = [{"endpoint": f"e-{n}", "first_token_s": 0.3 + 0.1 * n} for n in (1, 2)]
        placed = {"estimate_s": 0.4, "expected_cached_tokens": 3000, "ranked": ranked}
        steps = [
            (0.0, "authenticated", {"account": "school", "route": "chat"}),
            (0.12, "limits", {"tokens": 4500, "grant": "fetched"}),
            (0.03, "admission", {"waited_s": 0.03, "priority": 2, "derivation": "from 500 ms"}),
            (0.0, "version_picked", {"version": "v2"}),
            (0.0, "placed", {**placed, "endpoint": "e-1", "reasons": ["least estimate"]}),
            (0.25, "retried", {"endpoint": "e-1", "reason": "endpoint_failed", "lost_s": 0.25}),
            (0.01, "placed", {**placed, "endpoint": "e-2", "reasons": ["next"]}),
            (0.5, "first_token", {"endpoint": "e-2", "first_token_s": 0.5}),
            (0.5, "retried", {"endpoint": "e-2", "reason": "closed", "at": 7, "lost_s": 0.3}),
            (0.2, "resumed", {"endpoint": "e-2", "at": 7}),
            (1.0, "completed", {"endpoint": "e-2", "prompt_tokens": 4400, "cached_tokens": 2000}),
        ]
        for seconds, step, fields in steps:
            clock[0] += seconds
            trace.note(step, **fields)
        code, out, _ = self.cli("explain", "n1~abc")
        self.assertEqual(code, ExitCode.DONE)
        for part in (
            "Request n1~abc: answered after 2.61 s",
            "version v2 of the model was picked",
            "e-2 was chosen, first token expected within 400 ms",
            "because least estimate",
            "instead of e-2, expected within 500 ms",
            "120 ms for 4,500 tokens of the budget of the account",
            "30 ms for a fair share of the pool",
            "priority 2: from 500 ms",
            "time to first token: 910 ms",
            "3,000 tokens were expected",
            "2,000 tokens of 4,400 tokens were reused",
            "e-1 failed (endpoint_failed): cost 250 ms",
            "sent again on e-2 after 10 ms more",
            "e-2 failed (closed): cost 300 ms",
            "resumed on e-2 at token 7 after 200 ms more",
        ):
            self.assertIn(part, out)
