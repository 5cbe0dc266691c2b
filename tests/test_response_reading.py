"""The log line of a request tells how each answer arrived."""

from unittest import mock

from bottle import HTTPResponse

from arbutustally_node.gateway.request_services import AttemptTrace
from tests.engine_answers import head, signed
from tests.gateway_fleet import GatewayCase


class ResponseReadingTest(GatewayCase):
    """Guards against log lines that cannot tell cut, unframed and copied answers apart."""

    def setUp(self) -> None:
        super().setUp()
        self.store.put("keyed.servers", self.desks[1].id, None)
        self.node = self.start_node()
        self.wait_ready(self.node)

    def readings(self, path: str, behave, requests: int = 1) -> list[str]:
        for worker in (*self.desks, *self.engines):
            worker.behave = behave
        log = self.node._services.state.log
        with mock.patch.object(log, "line", wraps=log.line) as line:
            for number in range(requests):
                self.call(self.node, path, f"{path}-{number}")
        lines = [one.kwargs for one in line.call_args_list if one.args == ("request",)]
        attempts = [AttemptTrace(*attempt) for one in lines for attempt in one["attempts"]]
        return [attempt.reading for attempt in attempts]

    def test_framing_bytes_end_and_connection_are_told(self) -> None:
        def sized(headers):
            return HTTPResponse(body=b"done", headers=head(headers))

        self.assertEqual(
            self.readings("/look/x", sized, 2),
            ["length 4 complete new named", "length 4 complete reused named"],
        )
        self.assertEqual(
            self.readings("/chat/x", lambda headers: signed(headers, iter([b"id: 1\n\n"]))),
            ["chunked 7 complete new named"],
        )

    def test_answer_without_an_id_is_told(self) -> None:
        def unnamed(_headers):
            return HTTPResponse(body=b"done", headers={"Server-Stamp": "s"})

        self.assertEqual(self.readings("/book/x", unnamed), ["length 4 complete new unnamed"])
