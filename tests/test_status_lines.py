"""Status lines that are none, from workers in trouble."""

from collections.abc import Iterator

from tests.raw_gateway import RawGatewayCase
from tests.raw_worker import Close, RawRequest

MALFORMED = (
    "000",
    "099",
    "0200",
    "+200",
    "-200",
    "2_00",
    "2",
    "20",
    "2000",
    "20x",
    "OK",
    "",
    "200OK",
    " 200",
    "\t200",
    "200\tOK",
)
WELL_FORMED = ("200 OK", "200", "200 ", "200 All is well: 7")


def answer(request: RawRequest, status: str, version: str) -> Iterator[bytes | Close | float]:
    """Answers with a status and a whole body."""
    yield f"{version} {status}\r\nRequest-Id: {request.id}\r\nServer-Stamp: s\r\n".encode()
    yield b"Content-Length: 4\r\n\r\ngood"
    yield Close.ORDERLY


class StatusLineTest(RawGatewayCase):
    """Guards against an answer with a status that no worker has sent."""

    def asked_for(self, status: str, version: str = "HTTP/1.1") -> int:
        return self.ask("/book/x", lambda asked: answer(asked, status, version)).status

    def test_answer_without_three_digits_is_not_delivered(self) -> None:
        for status in MALFORMED:
            with self.subTest(status=status):
                self.assertEqual(self.asked_for(status), 502)

    def test_answer_of_another_protocol_is_not_delivered(self) -> None:
        for version in ("HTTP/2.0", "HTTP/1.x", "HTTP/1.11", "HTTP/0.9", "http/1.1", "HTTP/1"):
            with self.subTest(version=version):
                self.assertEqual(self.asked_for("200 OK", version), 502)

    def test_well_formed_status_lines_are_read(self) -> None:
        for status in WELL_FORMED:
            for version in ("HTTP/1.1", "HTTP/1.0"):
                with self.subTest(status=status, version=version):
                    self.assertEqual(self.asked_for(status, version), 200)
