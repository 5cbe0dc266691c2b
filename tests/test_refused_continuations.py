"""Errors of a second endpoint never reach the caller inside a stream that has begun."""

from tests.engine_answers import events
from tests.raw_gateway import EVENT_STREAM, Answer, End
from tests.raw_worker import Close, RawRequest
from tests.test_continued_streams import BEGUN, ERROR_TEXT, ContinuedStreamCase, chunk, paused

STATUSES = (
    "204 No Content",
    "206 Partial Content",
    "301 Moved Permanently",
    "400 Bad Request",
    "404 Not Found",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "500 Internal Server Error",
    "502 Bad Gateway",
    "503 Service Unavailable",
    "504 Gateway Timeout",
)
LAST_CHUNK = b"0\r\n\r\n"


def error(status: str, body: bytes, *fields: str, request_id: str = "") -> Answer:
    """Returns a script that writes a head and a body as they are given."""

    def answer(request: RawRequest):
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id or request.id}", *fields]
        yield "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        yield Close.ORDERLY

    return answer


def forms(status: str) -> dict[str, Answer]:
    """Returns an error with a signature in each framing, whole and cut."""
    signature, length = "Server-Stamp: s2", f"Content-Length: {len(ERROR_TEXT)}"
    coding, media_type = "Transfer-Encoding: chunked", EVENT_STREAM.strip()
    body = chunk(ERROR_TEXT) + LAST_CHUNK
    return {
        "length": error(status, ERROR_TEXT, signature, length),
        "cut length": error(status, ERROR_TEXT[:5], signature, length),
        "chunks": error(status, body, signature, coding),
        "cut chunks": error(status, body[:-7], signature, coding),
        "no length": error(status, ERROR_TEXT, signature),
        "not run": error(status, ERROR_TEXT, "Not-Executed: 1", length),
        "events": error(status, chunk(events(3, 5)) + LAST_CHUNK, signature, coding, media_type),
        "cut head": lambda _request: iter([f"HTTP/1.1 {status}\r\nServer".encode(), Close.ORDERLY]),
    }


class RefusedContinuationTest(ContinuedStreamCase):
    def test_error_is_not_written_into_a_stream(self) -> None:
        """Guards against the text or head of an error, and an end, before the last event."""
        for status in STATUSES:
            for form, answer in forms(status).items():
                for name, begun in BEGUN.items():
                    with self.subTest(status=status, form=form, begun=name):
                        received = self.ask("/chat/x", begun, answer)
                        self.assertIs(received.end, End.RESET)
                        self.assert_own_events_only(received)

    def test_error_of_a_hedge_is_not_written_into_a_stream(self) -> None:
        for status in ("204 No Content", "400 Bad Request", "500 Internal Server Error"):
            for form in ("length", "chunks", "no length"):
                with self.subTest(status=status, form=form):
                    received = self.ask("/chat/x", paused, forms(status)[form])
                    self.assertIs(received.end, End.COMPLETE)
                    self.assert_own_events_only(received)

    def test_stream_that_is_not_this_one_does_not_continue_it(self) -> None:
        fields = ("Server-Stamp: s2", "Transfer-Encoding: chunked", EVENT_STREAM.strip())
        body = chunk(events(3, 5)) + LAST_CHUNK
        second = b"HTTP/1.1 200 OK\r\nServer-Stamp: s2\r\n\r\n"
        for name, answer in {
            "unsigned": error("200 OK", body, *fields[1:]),
            "other id": error("200 OK", body, *fields, request_id="r0"),
            "second head": error("200 OK", second + body, *fields),
            "second head in a chunk": error("200 OK", chunk(second) + body, *fields),
        }.items():
            with self.subTest(answer=name):
                self.assert_not_continued(answer)
