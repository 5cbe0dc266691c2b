"""Answers whose end is marked by nothing but the end of their connection."""

import socket

from tests.engine_answers import events
from tests.gateway_fleet import GatewayCase
from tests.raw_worker import Close, RawRequest, RawWorker

SIGNED = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\n"


def unframed(request: RawRequest, body: bytes, how: Close):
    """Answers without a length."""
    yield f"{SIGNED.format(request.id)}\r\n".encode() + body
    yield how


def chunked(request: RawRequest, body: bytes, how: Close, is_complete: bool = True):
    """Answers with one chunk."""
    head = f"{SIGNED.format(request.id)}Transfer-Encoding: chunked\r\n\r\n".encode()
    yield head + b"%x\r\n%b\r\n" % (len(body), body) + (b"0\r\n\r\n" if is_complete else b"")
    yield how


class UnframedAnswerTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        for worker in (*self.engines, *self.desks):
            self.store.put("keyed.servers", worker.id, None)
        self.scripts = []
        self.workers = []
        for number in (1, 2):
            self.add(RawWorker(self.script, f"raw-d{number}"))
            self.add(RawWorker(self.script, f"raw-e{number}", "llm", "m"))
        self.node = self.start_node()
        self.wait_ready(self.node)

    def add(self, worker: RawWorker) -> None:
        self.addCleanup(worker.stop)
        self.workers.append(worker)
        self.store.put("keyed.servers", worker.id, worker.entry())

    def script(self, request: RawRequest):
        """Answers the attempts of a request with one script after another."""
        if request.id != "r1":
            return iter([b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"])
        self.asked.append(request)
        return self.scripts[len(self.asked) - 1](request)

    def ask(self, path: str, *scripts) -> tuple[bytes, bytes, bool]:
        """Returns head and body as a caller received them, and whether the end was a reset."""
        self.scripts, self.asked = scripts, []
        host, _, port = self.node._options.caller_listen.rpartition(":")
        fields = "Host: h.example\r\nRequest-Id: r1\r\nAuthorization: Token key-school\r\n"
        fields += "Deadline-Ms: 1500\r\nModel: m\r\nToken-Usage: 10,5\r\nContent-Length: 0\r\n"
        received = b""
        with socket.create_connection((host, int(port)), 5.0) as caller:
            caller.sendall(f"POST {path} HTTP/1.1\r\n{fields}\r\n".encode())
            try:
                while data := caller.recv(65536):
                    received += data
                    if received.endswith(b"0\r\n\r\n") or b"Content-Length" in received:
                        break
                was_reset = False
            except ConnectionResetError:
                was_reset = True
        head, _, body = received.partition(b"\r\n\r\n")
        return head, body, was_reset

    def assert_unmarked(self, head: bytes) -> None:
        self.assertTrue(head.startswith(b"HTTP/1.1 200 OK"), head)
        self.assertNotIn(b"Content-Length", head)
        self.assertNotIn(b"chunked", head)
        self.assertIn(b"Connection: close", head)

    def test_answer_without_a_length_gets_none_from_the_node(self) -> None:
        """Guards against a cut answer that looks complete by a length that the node added."""
        head, body, was_reset = self.ask(
            "/book/x", lambda asked: unframed(asked, b"part", Close.ORDERLY)
        )
        self.assert_unmarked(head)
        self.assertEqual((body, was_reset), (b"part", False))

    def killed(self, asked: RawRequest, body: bytes):
        """Answers without a length from a process that ends in the middle of it."""
        for worker in self.workers:
            if worker.id == asked.headers["expect-instance"]:
                worker.stop()
        return unframed(asked, body, Close.ORDERLY)

    def test_answer_of_a_process_that_has_ended_is_not_delivered(self) -> None:
        """Guards against the end of a killed worker's connection, taken for that of its answer."""
        head, _body, _was_reset = self.ask("/book/x", lambda asked: self.killed(asked, b"part"))
        self.assertIn(b" 502 ", head.split(b"\r\n")[0] + b" ")
        self.assertEqual(len(self.asked), 1)

    def test_stream_of_a_process_that_has_ended_goes_on_elsewhere(self) -> None:
        """Guards against a stream that ends with its worker's process and looks complete."""
        head, body, was_reset = self.ask(
            "/chat/x",
            lambda asked: self.killed(asked, events(1, 2)),
            lambda asked: chunked(asked, events(3, 5), Close.ORDERLY),
        )
        self.assert_unmarked(head)
        self.assertEqual((body, was_reset), (events(1, 5), False))

    def test_reset_answer_without_a_length_is_not_delivered(self) -> None:
        head, _body, _was_reset = self.ask(
            "/book/x", lambda asked: unframed(asked, b"part", Close.RESET)
        )
        self.assertIn(b" 502 ", head.split(b"\r\n")[0] + b" ")

    def test_stream_without_chunks_gets_none_from_the_node(self) -> None:
        """Guards against a cut stream that ends as complete by the node's last chunk."""
        head, body, was_reset = self.ask(
            "/chat/x", lambda asked: unframed(asked, events(1, 3), Close.ORDERLY)
        )
        self.assert_unmarked(head)
        self.assertEqual((body, was_reset), (events(1, 3), False))

    def test_chunked_stream_is_not_completed_by_one_without_chunks(self) -> None:
        """Guards against a last chunk of the node after an end that nothing marks."""
        _head, body, was_reset = self.ask(
            "/chat/x",
            lambda asked: chunked(asked, events(1, 2), Close.ORDERLY, is_complete=False),
            lambda asked: unframed(asked, events(3, 4), Close.ORDERLY),
        )
        self.assertEqual(self.asked[1].headers["last-event-id"], "2")
        self.assertFalse(body.endswith(b"0\r\n\r\n"))
        self.assertTrue(was_reset)

    def test_stream_without_chunks_may_be_completed_by_a_chunked_one(self) -> None:
        head, body, was_reset = self.ask(
            "/chat/x",
            lambda asked: unframed(asked, events(1, 2) + b"id: 3\n", Close.RESET),
            lambda asked: chunked(asked, events(3, 5), Close.ORDERLY),
        )
        self.assert_unmarked(head)
        self.assertEqual((body, was_reset), (events(1, 5), False))

    def test_empty_stream_without_chunks_is_asked_for_again(self) -> None:
        """Guards against a stream that ends as complete after no event."""
        _head, body, _was_reset = self.ask(
            "/chat/x",
            lambda asked: unframed(asked, b"", Close.ORDERLY),
            lambda asked: chunked(asked, events(1, 5), Close.ORDERLY),
        )
        self.assertIn(events(1, 5), body)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))
