"""A stream that broke off is continued only by events that follow the last one passed on."""

from tests.engine_answers import events
from tests.raw_gateway import EVENT_STREAM, SIGNED, Answer, End, RawGatewayCase, Received
from tests.raw_worker import Close, RawRequest

CHUNKED = "Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
ERROR_TEXT = b"Internal error\n\nplease retry\n\n"
PAUSE_S = 1.15


def chunk(body: bytes) -> bytes:
    """Returns one chunk."""
    return b"%x\r\n%b\r\n" % (len(body), body) if body else b""


def head(request: RawRequest, fields: str = EVENT_STREAM) -> bytes:
    """Returns the head of a chunked success."""
    return f"{SIGNED.format(request.id)}{fields}{CHUNKED}\r\n".encode()


def stream(*parts: bytes, fields: str = EVENT_STREAM) -> Answer:
    """Answers with a complete chunked body, each part in a chunk of its own."""

    def answer(request: RawRequest):
        yield head(request, fields)
        for part in parts:
            yield chunk(part)
            yield 0.02
        yield LAST_CHUNK

    return answer


def cut(body: bytes, how: Close = Close.ORDERLY) -> Answer:
    """Answers with a chunked stream that breaks off."""

    def answer(request: RawRequest):
        yield head(request) + chunk(body)
        yield 0.02
        yield how

    return answer


def paused(request: RawRequest):
    """Answers with a stream that pauses long enough to be hedged, and is then completed."""
    yield head(request) + chunk(events(1, 2))
    yield PAUSE_S
    yield chunk(events(3, 5)) + LAST_CHUNK


BEGUN = {
    "cut inside an event": cut(events(1, 2) + b"id: 3\nda"),
    "reset": cut(events(1, 2), Close.RESET),
}


class ContinuedStreamCase(RawGatewayCase):
    def assert_own_events_only(self, received: Received) -> None:
        """Checks that the caller has a beginning of its stream, or all of it."""
        if received.end is End.COMPLETE:
            self.assertEqual(received.body, events(1, 5))
        else:
            self.assertIs(received.end, End.RESET)
            self.assertEqual(received.body, events(1, 5)[: len(received.body)])
        self.assertEqual(received.rest, b"")

    def assert_not_continued(self, answer: Answer) -> None:
        """Checks streams that broke off, and one whose own endpoint completes it after a pause."""
        for name, begun in BEGUN.items():
            with self.subTest(begun=name):
                received = self.ask("/chat/x", begun, answer)
                self.assertEqual(self.asked[1].headers["last-event-id"], "2")
                self.assertIs(received.end, End.RESET)
                self.assert_own_events_only(received)
        with self.subTest(begun="paused"):
            self.assert_own_events_only(self.ask("/chat/x", paused, answer))


class ContinuedStreamTest(ContinuedStreamCase):
    def test_stream_is_continued(self) -> None:
        """Shows that the streams of the other tests would be continued."""
        for name, begun in BEGUN.items():
            with self.subTest(begun=name):
                comment = b": still here\n\n"
                received = self.ask("/chat/x", begun, stream(comment, events(3, 5)))
                self.assertIs(received.end, End.COMPLETE)
                self.assertEqual(received.body, events(1, 2) + comment + events(3, 5))

    def test_ids_that_do_not_increase_end_the_stream(self) -> None:
        """Guards against events that come twice or out of order inside a continuation."""
        for name, parts in {
            "back": (events(3, 4) + events(1, 5),),
            "back later": (events(3, 4), events(1, 5)),
            "repeated": (events(3, 4), events(4, 5)),
        }.items():
            with self.subTest(ids=name):
                self.assert_not_continued(stream(*parts))

    def test_ids_that_go_back_inside_a_first_stream_end_it(self) -> None:
        """Guards against a spoiled stream that looks complete."""
        received = self.ask("/chat/x", stream(events(1, 2), events(1, 5)), stream(events(3, 5)))
        self.assertEqual(self.asked[1].headers["last-event-id"], "2")
        self.assertEqual((received.end, received.body), (End.COMPLETE, events(1, 5)))

    def test_text_without_ids_does_not_continue_a_stream(self) -> None:
        """Guards against the text or the head of an error in the middle of a stream."""
        text = "Content-Type: text/plain\r\n"
        error = b"event: error\ndata: boom\n\n"
        for name, answer in {
            "text": stream(ERROR_TEXT, fields=text),
            "text of an event stream": stream(ERROR_TEXT),
            "JSON": stream(b'{"error": "boom"}\n\n'),
            "head": stream(b"HTTP/1.1 500 Error\r\nServer-Stamp: s\r\n\r\n" + events(3, 5)),
            "events without ids": stream(b"data: x\n\ndata: y\n\n"),
            "error first": stream(error),
            "error last": stream(events(3, 4), error),
            "error inside a chunk": stream(events(3, 4) + error + events(5, 5)),
        }.items():
            with self.subTest(answer=name):
                self.assert_not_continued(answer)

    def test_other_media_type_does_not_continue_a_stream(self) -> None:
        """Guards against an empty answer that is no stream and ends one as complete."""

        def empty(request: RawRequest):
            fields = "Content-Type: text/plain\r\nContent-Length: 0\r\n"
            yield f"{SIGNED.format(request.id)}{fields}\r\n".encode()

        text = "Content-Type: text/html; charset=utf-8\r\n"
        for name, answer in {
            "empty": empty,
            "empty in chunks": stream(fields=text),
            "text with ids": stream(b"id: 3\n\n", fields=text),
        }.items():
            with self.subTest(answer=name):
                self.assert_not_continued(answer)

    def test_answer_without_an_event_does_not_end_a_stream_that_goes_on(self) -> None:
        """Guards against an end before an event whose beginning has arrived."""
        for part in (b"i", b"id: 3\n", b"id: 3\ndata: piece 3\n"):
            for how in Close:
                with self.subTest(part=part, how=how):
                    received = self.ask("/chat/x", cut(events(1, 2) + part, how), stream())
                    self.assertEqual((received.end, received.body), (End.RESET, events(1, 2)))

    def test_answer_without_an_event_ends_a_stream_that_may_be_complete(self) -> None:
        """An endpoint may break off between the last event and the last chunk."""
        received = self.ask("/chat/x", cut(events(1, 5)), stream())
        self.assertEqual((received.end, received.body), (End.COMPLETE, events(1, 5)))

    def test_hedge_without_an_event_does_not_end_a_paused_stream(self) -> None:
        """Guards against an end that the endpoint of the stream hasn't reached."""
        received = self.ask("/chat/x", paused, stream())
        self.assertEqual((received.end, received.body), (End.COMPLETE, events(1, 5)))


class UnnumberedStreamTest(ContinuedStreamCase):
    def test_stream_without_ids_is_not_begun_again(self) -> None:
        """Guards against two runs that are joined where the first one can't be resumed."""
        for name, body, answer in (
            ("no ids", b"data: a\n\ndata: b\n\n", events(1, 5)),
            ("no last id", events(1, 2) + b"data: c\n\n", events(3, 5)),
        ):
            with self.subTest(stream=name):
                received = self.ask("/chat/x", cut(body), stream(answer))
                self.assertIs(received.end, End.RESET)
                self.assertEqual(received.body, body)

    def test_stream_without_ids_is_delivered(self) -> None:
        received = self.ask("/chat/x", stream(b"data: a\n\n", b"data: b\n\n"))
        self.assertEqual((received.end, received.body), (End.COMPLETE, b"data: a\n\ndata: b\n\n"))
        self.assertEqual(len(self.asked), 1)

    def test_paused_stream_without_ids_is_not_hedged(self) -> None:
        """Guards against a second run that could not continue the first one."""

        def answer(request: RawRequest):
            yield head(request) + chunk(b"data: a\n\n")
            yield PAUSE_S
            yield chunk(b"data: b\n\n") + LAST_CHUNK

        received = self.ask("/chat/x", answer, stream(events(1, 5)))
        self.assertEqual((received.end, received.body), (End.COMPLETE, b"data: a\n\ndata: b\n\n"))
        self.assertEqual(len(self.asked), 1)


class CallerResumedStreamTest(ContinuedStreamCase):
    def test_stream_that_a_caller_resumes_is_continued_only(self) -> None:
        """Guards against events that the caller already has, from an endpoint that begins again."""
        for name, answer in {
            "begins again": stream(events(1, 5)),
            "begins with the last event": stream(events(2, 5)),
            "has no ids": stream(ERROR_TEXT),
            "is cut before its first event": cut(b": wait\n"),
        }.items():
            with self.subTest(answer=name):
                received = self.ask(
                    "/chat/x", answer, stream(events(3, 5)), fields="Last-Event-Id: 2\r\n"
                )
                seen = [one.headers["last-event-id"] for one in self.asked]
                self.assertEqual(seen, ["2", "2"])
                self.assertEqual((received.end, received.body), (End.COMPLETE, events(3, 5)))
