"""Explanation of where a described request would go, by a running node and the command."""

import io

import orjson

from arbutustally.errors import BadRequestError
from arbutustally_cli.exit_codes import ExitCode
from arbutustally_cli.main import run
from arbutustally_cli.render import Screen
from arbutustally_node.gateway.preview import described_request
from tests.gateway_fleet import GatewayCase


class PreviewTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)

    def where(self, *arguments: str, output: str = "json") -> str:
        """Runs the command and returns its output."""
        out, err = io.StringIO(), io.StringIO()
        screen = Screen(output, out, err)
        control = self.node._options.control_listen
        code = run(["where", "--control", control, *arguments], {}, screen)
        self.assertEqual(code, ExitCode.DONE, err.getvalue())
        return out.getvalue()

    def described(self, request_id: str) -> list[str]:
        return [
            *("--host", "h.example", "--path", "/chat/x", "--account", "school", "--model", "m"),
            *(
                "--tokens",
                "100",
                "--output-tokens",
                "5",
                "--parts",
                "aa:60,bb:40",
                "--id",
                request_id,
            ),
        ]

    def test_named_endpoint_is_the_one_of_the_next_request(self) -> None:
        """Guards against an explanation that differs from, or changes, what the node decides."""
        for number in range(6):
            request_id = f"r{number}"
            told = [orjson.loads(self.where(*self.described(request_id))) for _ in range(3)]
            ran = {worker.id: len(worker.ran) for worker in self.engines}
            self.assertEqual(self.call(self.node, "/chat/x", request_id).status, 200)
            used = [one.id for one in self.engines if len(one.ran) > ran[one.id]]
            self.assertEqual([one["endpoint"] for one in told], used * 3)
            self.assertEqual(told[0]["rejected"], [])
            self.assertEqual({one["id"] for one in told[0]["candidates"]}, {"e1", "e2"})
            self.assertTrue(all("cost" in one for one in told[0]["candidates"]))

    def test_limits_that_reject_are_named_and_nothing_is_sent_or_charged(self) -> None:
        """Guards against an explanation that is charged to the account or sent to an engine."""
        quota = self.node._services.state.quota
        admitted = dict(quota.admitted)
        told = orjson.loads(self.where(*self.described("r"), "--tokens", "9000000"))
        self.assertEqual([one["code"] for one in told["rejected"]][:1], ["rate_limited"])
        self.where(*self.described("r"), "--bytes", "900000")
        self.assertEqual(sum(quota.admitted.values()), sum(admitted.values()))
        self.assertEqual([worker.ran for worker in self.engines], [[], []])

    def test_odd_numbers_of_tokens_are_rejected(self) -> None:
        """Guards against a description that ends in an internal error or refunds an account."""
        for name, value in (("tokens", "-5"), ("tokens", "9" * 400), ("parts", "aa:-60")):
            with self.assertRaises(BadRequestError):
                described_request({"host": "h.example", "path": "/", name: value}, 0.0)

    def test_text_names_zone_and_candidates(self) -> None:
        """Guards against a text that omits what the JSON output contains."""
        text = self.where(
            "--host", "h.example", "--path", "/look/x", "--account", "school", output="table"
        )
        for part in ("in zone z1", "service desk", "endpoint: d", "expected s"):
            self.assertIn(part, text)
