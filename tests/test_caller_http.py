"""The caller interface over real sockets: client library, bad input, disconnected callers."""

import http.client
import json
import socket
import unittest

import gevent
import openai
import orjson

from tests.fake_engine import FakeEngine, Script, answer
from tests.fakes import Endpoint, FakeMembership, node_kernel, node_options

KEY = "key-of-school"


class CallerHttpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.script = Script()
        self.engine = FakeEngine("e1", self.script)
        self.other = FakeEngine("e2", self.script)
        self.addCleanup(self.engine.die)
        self.addCleanup(self.other.die)
        self.membership = FakeMembership(
            Endpoint("e1", self.engine.address, incarnation=self.engine.incarnation),
            Endpoint("e2", self.other.address, incarnation=self.other.incarnation),
        )
        options = node_options(
            caller_listen="127.0.0.1:0", body_timeout_s=0.5, endpoint_read_timeout_s=30.0
        )
        self.kernel = node_kernel(self.membership, options)
        self.kernel.start()
        self.addCleanup(self.kernel.stop)
        self.address = self.kernel.lookup("caller_http").address
        self.client = openai.OpenAI(
            base_url=f"http://{self.address}/v1", api_key=KEY, max_retries=0, timeout=10
        )

    def chat(self, tokens: int = 20, **fields):
        return self.client.chat.completions.create(
            model="marelle",
            messages=[{"role": "user", "content": "q"}],
            max_tokens=tokens,
            **fields,
        )

    def request(self, method: str, path: str, body: bytes | None = None, key: str = KEY, **headers):
        connection = http.client.HTTPConnection(self.address, timeout=10)
        self.addCleanup(connection.close)
        if key:
            headers["Authorization"] = f"Bearer {key}"
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response, response.read()

    def error(self, *arguments, **fields) -> dict:
        response, body = self.request(*arguments, **fields)
        error = json.loads(body)["error"]
        self.assertEqual(error["request_id"], response.getheader("X-Request-Id"))
        return error

    def test_client_library_reads_a_complete_response(self) -> None:
        result = self.chat()
        self.assertEqual(result.choices[0].message.content, answer("q", 20))
        self.assertEqual(result.usage.prompt_tokens_details.cached_tokens, 2)
        text = self.client.completions.create(model="marelle", prompt="p", max_tokens=5)
        self.assertEqual(text.choices[0].text, answer("p", 5))

    def test_client_library_reads_a_stream(self) -> None:
        texts = [chunk.choices[0].delta.content for chunk in self.chat(stream=True)]
        self.assertEqual("".join(texts), answer("q", 20))
        self.assertEqual([model.id for model in self.client.models.list()], ["marelle"])

    def test_client_library_receives_the_error_of_a_lost_stream(self) -> None:
        """Guards against a broken stream that looks complete."""
        self.script.faults = [(5, "die")]
        self.membership.states.pop("e2")
        with self.assertRaises(openai.APIError) as caught:
            list(self.chat(stream=True))
        self.assertEqual(
            (caught.exception.code, caught.exception.body["ran"]), ("stream_lost", "may_have_run")
        )

    def test_engine_failure_is_invisible_to_the_caller(self) -> None:
        self.script.faults = [(5, "die")]
        texts = [chunk.choices[0].delta.content for chunk in self.chat(stream=True)]
        self.assertEqual("".join(texts), answer("q", 20))
        self.assertEqual(self.kernel.lookup("metrics").counts["retried.connection_broken"], 1)
        sent = orjson.loads(self.other.seen[0][3])
        self.assertEqual("".join(sent["continue_tokens"]), answer("q", 5))

    def test_no_endpoint_receives_a_credential(self) -> None:
        """Guards against keys forwarded in a header, a cookie, a path or a body."""
        self.chat()
        self.assertNotIn(KEY, str(self.engine.seen))
        self.membership.states["w"] = Endpoint("w", self.engine.address, "quotes")
        headers = {
            "Cookie": "a=b",
            "X-Copy": KEY,
            "X-Api-Key": "z",
            "Connection": "X-Hop",
            "X-Hop": "1",
        }
        self.request("DELETE", "/guide/a", key=KEY, **headers)
        self.request("GET", "/guide/a", key=KEY, **headers)
        _, _, seen, _ = self.engine.seen[-1]
        self.assertFalse({"authorization", "cookie", "x-copy", "x-api-key", "x-hop"} & set(seen))
        self.assertEqual(self.error("GET", f"/guide/{KEY}")["code"], "key_in_query")
        self.assertEqual(self.error("POST", "/guide", KEY.encode())["code"], "bad_request")

    def test_bad_input_is_refused_and_the_node_keeps_serving(self) -> None:
        chat = "/v1/chat/completions"
        bodies = {
            "broken JSON": b'{"model": ',
            "wrong UTF-8": b'{"model":"marelle","messages":[{"role":"user","content":"\xff"}]}',
            "array": b"[]",
            "no model": b"{}",
            "no messages": b'{"model":"marelle"}',
            "odd message": b'{"model":"marelle","messages":[1]}',
            "two answers": b'{"model":"marelle","messages":[{"role":"u","content":"c"}],"n":2}',
            "deep nesting": b"[" * 100_000,
            "negative bound": b'{"model":"marelle","messages":[{"role":"u"}],"max_tokens":-1}',
            "huge bound": b'{"model":"marelle","messages":[{"role":"u"}],"max_tokens":1e30}',
        }
        for name, body in bodies.items():
            with self.subTest(name):
                error = self.error("POST", chat, body)
                self.assertEqual((error["code"], error["ran"]), ("bad_request", "not_run"))
        unknown = b'{"model":"x","messages":[{"role":"user","content":"c"}]}'
        self.assertEqual(self.error("POST", chat, unknown)["code"], "model_unknown")
        self.assertEqual(self.error("POST", "/nowhere")["code"], "route_unknown")
        self.assertEqual(self.error("TRACE", "/nowhere")["code"], "route_unknown")
        self.assertEqual(self.error("POST", chat, b"{}", key="")["code"], "key_invalid")
        for query in ("key=abc", "api_key=x", "a=Bearer%20abc", "a=at-abcd1234-0123456789abcdef"):
            self.assertEqual(self.error("POST", f"{chat}?{query}", b"{}")["code"], "key_in_query")
        self.assertEqual(self.kernel.lookup("metrics").counts["refused.key_in_query"], 4)
        self.assertEqual(self.engine.seen, [])
        self.test_client_library_reads_a_complete_response()

    def test_dot_segments_cannot_reach_another_route(self) -> None:
        """Guards against a booking sent without key and claim through an open route."""
        self.membership.states["w"] = Endpoint("w", self.engine.address, "quotes")
        for path in (
            "/guide/../quotes",
            "/guide/%2e%2e/quotes",
            "/guide/%2E./quotes",
            "/guide/./a",
        ):
            with self.subTest(path):
                self.assertEqual(self.error("POST", path, b"x", key="")["code"], "bad_request")
        self.assertEqual(self.engine.seen, [])

    def test_explain_header_and_trace(self) -> None:
        response, _ = self.request("GET", "/v1/models", **{"X-Arbutustally-Explain": "1"})
        self.assertIn("authenticated", response.getheader("X-Arbutustally-Explain"))
        trace = self.kernel.lookup("explain").get(response.getheader("X-Request-Id"))
        self.assertEqual((trace["account"], trace["route"]), ("school", "models"))

    def test_unconfigured_and_draining_nodes_are_not_ready(self) -> None:
        self.assertEqual(self.request("GET", "/readyz")[0].status, 200)
        self.kernel.lookup("log").ready = False
        self.assertEqual(self.error("GET", "/v1/models")["code"], "no_configuration")
        self.membership.draining = True
        self.assertEqual(self.request("GET", "/readyz")[0].status, 503)
        self.assertEqual(self.request("GET", "/healthz")[0].status, 200)

    def stream_socket(self, tokens: int) -> socket.socket:
        body = orjson.dumps(
            {
                "model": "marelle",
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": "q"}],
            }
        )
        host, port = self.address.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.connect((host, int(port)))
        self.addCleanup(sock.close)
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        sock.sendall(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return sock

    def wait_for(self, condition) -> None:
        with gevent.Timeout(5):
            while not condition():
                gevent.sleep(0.01)

    def test_request_of_a_disconnected_caller_is_cancelled(self) -> None:
        """Guards against engines that keep generating for a disconnected caller.

        The caller disconnects before and after the first token.
        """
        for allowed in (0, 3):
            with self.subTest(allowed=allowed):
                self.engine.cancelled.clear()
                self.script.allowed = allowed
                sock = self.stream_socket(100)
                self.wait_for(lambda: self.engine.streams)
                if allowed:
                    self.assertIn(b"q-2", self.received(sock, b"q-2"))
                sock.close()
                self.wait_for(lambda: len(self.engine.cancelled) == 1)
                self.assertIn(self.engine.cancelled[0], self.engine.streams)
                self.engine.streams.clear()
        # Work that the engine may have done is charged even if the caller disconnected before the
        # first token.
        self.wait_for(lambda: len(self.kernel.lookup("limits").settled) == 2)
        self.assertGreater(min(self.kernel.lookup("limits").settled), 0)
        self.assertEqual(sum(self.membership.load.values()), 0)

    def received(self, sock: socket.socket, end: bytes) -> bytes:
        data = b""
        while end not in data and (part := sock.recv(65536)):
            data += part
        return data

    def test_slow_caller_pauses_reads_from_the_engine(self) -> None:
        """Guards against a buffer in the node that grows with the size of the response."""
        self.engine.extra = "x" * 10_000
        sock = self.stream_socket(1000)
        self.wait_for(lambda: self.engine.sent_tokens)
        before = -1
        while before != self.engine.sent_tokens:
            before = self.engine.sent_tokens
            gevent.sleep(0.2)
        # 256 KiB in the node and as much again in the kernel buffers of engine and caller.
        self.assertLess(self.engine.sent_tokens * 10_000, 1 << 20)
        self.script.allowed = 400
        data = self.received(sock, b"q-399 ")
        self.assertEqual(data.count(b"q-"), 400)
