"""Cut answers of engines, of the log and of the instance list are not taken for complete ones."""

import unittest
from collections.abc import Callable, Iterator

from arbutustally.engine_client import EngineClient, Order
from arbutustally.errors import RouterError, StaleFenceError
from arbutustally.instance_client import InstanceClient
from arbutustally.log_client import LogClient
from arbutustally.records import KeyWithdraw, wrap
from tests.raw_worker import Close, RawRequest, RawWorker

REPORT = b'{"engine":"e1","incarnation":"i1","model":"m","queued_tokens":0,"running":0}'
EVENTS = b'{"incarnation":"i1","events":[]}'
APPENDED = b'{"first_offset":1}'
RECORDS = b'{"records":[],"next":1,"oldest":0}'
INSTANCES = b'{"instances":[]}'
ORDER = Order("load", "m", "v2", 1)


def answer(status: str, body: bytes, is_chunked: bool) -> bytes:
    """Returns a complete answer whose framing comes last in its head."""
    if is_chunked:
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
    else:
        framing = b"Content-Length: %d\r\n\r\n" % len(body)
    return f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n".encode() + framing + body


class CutControlAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answer: list[bytes | Close] = []
        self.worker = RawWorker(lambda _request: iter(self.answer))
        self.addCleanup(self.worker.stop)

    def calls(self) -> dict[str, tuple[Callable[[], object], bytes]]:
        """Returns the calls of all clients, with new connections, and the bodies of answers."""
        engine = EngineClient.from_config(1.0, 1.0)
        log = LogClient.from_config(f"http://{self.worker.address}", 1.0)
        instances = InstanceClient.from_config(f"http://{self.worker.address}", 1.0)
        address = self.worker.address
        return {
            "load": (lambda: engine.load(address), REPORT),
            "order": (lambda: engine.order(address, ORDER), b"{}"),
            "order without a body": (lambda: engine.order(address, ORDER), b""),
            "cancel": (lambda: engine.cancel(address, "r1"), b""),
            "events": (lambda: engine.events(address, 0), EVENTS),
            "append": (lambda: log.append([wrap(KeyWithdraw("kkkkkkkk"))]), APPENDED),
            "read": (lambda: log.read(0, 10, 0.0), RECORDS),
            "instances": (instances.list, INSTANCES),
        }

    def test_answer_cut_at_any_byte_is_an_error(self) -> None:
        """Guards against orders that count as accepted, and against short records and lists."""
        for name, (call, body) in self.calls().items():
            for is_chunked in (False, True):
                whole = answer("200 OK", body, is_chunked)
                self.answer = [whole]
                call()
                for how in Close:
                    # The line of the last chunk shows that the body is complete.
                    for size in range(len(whole) - len("0\r\n\r\n") * is_chunked):
                        with self.subTest(call=name, chunked=is_chunked, how=how, size=size):
                            self.answer = [whole[:size], how]
                            self.assertRaises(RouterError, call)


class LateCopyTest(unittest.TestCase):
    def test_order_does_not_take_a_copy_of_an_earlier_answer(self) -> None:
        """Guards against an order that counts as accepted although the engine refused it."""

        def script(request: RawRequest) -> Iterator[bytes]:
            copy = answer("200 OK", REPORT, is_chunked=False)
            if request.target == "/v1/load" or request.on_connection > 0:
                yield copy
            else:
                yield answer("409 Conflict", b'{"error":{"code":"stale_fence"}}', is_chunked=False)

        worker = RawWorker(script)
        self.addCleanup(worker.stop)
        client = EngineClient.from_config(1.0, 1.0)
        client.load(worker.address)
        self.assertRaises(StaleFenceError, client.order, worker.address, ORDER)
