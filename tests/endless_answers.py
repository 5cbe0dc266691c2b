"""Answers that never end, and large answers that decode into far more memory than their bytes.

Each form is an iterator of the bytes that a faulty program sends on a connection.
"""

from collections.abc import Callable, Iterator

Form = Callable[[], Iterator[bytes]]

OK = b"HTTP/1.1 200 OK\r\n"
JSON = OK + b"Content-Type: application/json\r\n"
EVENTS = OK + b"Content-Type: text/event-stream\r\nServer-Stamp: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 65536
#: Largest answer to a call for the changes of a cache that a node reads, bytes.
CALL_BYTES = (4 << 20) - 1024


def _repeat(start: bytes, piece: bytes) -> Iterator[bytes]:
    """Yields a start and then a piece without end, in portions of about ``PIECE_BYTES``."""
    yield start
    portion = piece * max(1, PIECE_BYTES // len(piece))
    while True:
        yield portion


def _whole(head: bytes, body: bytes) -> Iterator[bytes]:
    yield head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _filled(start: bytes, element: bytes, end: bytes) -> Iterator[bytes]:
    """Yields a JSON body of the largest size that is read, filled with equal elements."""
    count = (CALL_BYTES - len(start) - len(end)) // (len(element) + 1)
    return _whole(JSON, start + b",".join([element] * count) + end)


#: Forms without end, by name.
ENDLESS: dict[str, Form] = {
    "noise": lambda: _repeat(b"", b"\0\xff\x9c"),
    "head line": lambda: _repeat(OK + b"X: ", b"x"),
    "head fields": lambda: _repeat(OK, b"X: y\r\n"),
    "interim responses": lambda: _repeat(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body until close": lambda: _repeat(OK + b"\r\n", b"x"),
    "huge length": lambda: _repeat(OK + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
    "long chunks": lambda: _repeat(OK + CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "tiny chunks": lambda: _repeat(OK + CHUNKED, b"1\r\n \r\n"),
    "huge chunk": lambda: _repeat(OK + CHUNKED + b"ffffffff\r\n", b"x"),
    "chunk size": lambda: _repeat(OK + CHUNKED, b"0"),
    "chunk extension": lambda: _repeat(OK + CHUNKED + b"1;", b"x"),
    "trailer": lambda: _repeat(OK + CHUNKED + b"0\r\n", b"X: y\r\n"),
    "event line": lambda: _repeat(EVENTS + b"\r\nid: 1\ndata: ", b"x"),
    "event comments": lambda: _repeat(EVENTS + b"\r\n", b": x\n\n"),
    "event fields": lambda: _repeat(EVENTS + b"\r\n", b"retry: 1\n"),
    "line breaks": lambda: _repeat(EVENTS + b"\r\n", b"\n"),
    "whole events": lambda: _repeat(EVENTS + b"\r\n", b"id: 1\ndata: x\n\n"),
    "chunked events": lambda: _repeat(EVENTS + CHUNKED, b"7\r\ndata: x\r\n1\r\n\n\r\n"),
}

_CACHE = b'{"bootEpoch":1,"next":1,"lost":false,"events":['
_REPORT = b'{"stage":"unified","busy":false,"sequence":0,"models":['
_PAGE = b'{"hasMore":false,"end":1,"items":['
_LONG_SCOPE = b'[1,"+","%s",' % (b"s" * 4000) + b'"aa",10,"m"]'

#: Large answers with an end, by name. Their elements take up to 24 times their bytes in memory.
FILLED: dict[str, Form] = {
    "changes: lists": lambda: _filled(_CACHE, b"[]", b"]}"),
    "changes: objects": lambda: _filled(_CACHE, b"{}", b"]}"),
    "changes: texts": lambda: _filled(_CACHE, b'"ab"', b"]}"),
    "changes: numbers": lambda: _filled(_CACHE, b"0", b"]}"),
    "changes: sound": lambda: _filled(_CACHE, b'[1,"+","1.","aa",10,"m"]', b"]}"),
    "changes: long scopes": lambda: _filled(_CACHE, _LONG_SCOPE, b"]}"),
    "report: models": lambda: _filled(_REPORT, b'{"name":"m","version":1}', b"]}"),
    "report: lists": lambda: _filled(_REPORT, b"[]", b"]}"),
    "page: lists": lambda: _filled(_PAGE, b"[]", b"]}"),
    "page: rows": lambda: _filled(_PAGE, b'{"key":"k","value":"","offset":1}', b"]}"),
    "page: numbers": lambda: _filled(_PAGE, b"0", b"]}"),
    "nested": lambda: _whole(JSON, b"[" * CALL_BYTES),
    "records without content": lambda: _whole(OK, b"\0" * CALL_BYTES),
}
