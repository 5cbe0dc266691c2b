"""A worker that sends copies of its answers late on a kept connection."""

from collections.abc import Iterator

from arbutustally.gateway.endpoints import EndpointEntry
from tests.raw_worker import RawRequest, RawWorker


def response(status: int, body: bytes, request_id: str = "") -> bytes:
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
    if request_id:
        head += f"Request-Id: {request_id}\r\n"
    return head.encode() + b"\r\n" + body


class StutteringWorker:
    """Sends a copy of its last answer before each answer after the first on a connection.

    :ivar echoes: whether its answers bear the id of their request.
    """

    def __init__(self, answers: list[tuple[int, bytes]], echoes: bool) -> None:
        self._answers = iter(answers)
        self._echoes = echoes
        self.worker = RawWorker(self._script)
        self._copy = b""

    def _script(self, asked: RawRequest) -> Iterator[bytes]:
        if asked.on_connection and self._copy:
            yield self._copy
        status, body = next(self._answers, (503, b""))
        self._copy = response(status, body, asked.id if self._echoes else "")
        yield self._copy

    @property
    def endpoint(self) -> EndpointEntry:
        return EndpointEntry("e1", "llm", self.worker.address, "z", 4, False, {}, "1")
