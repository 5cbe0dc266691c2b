"""Parsing and strict checks of an HTTP/1.1 request head.

Every form that two HTTP parsers may interpret differently is refused, which prevents request
smuggling between this node and other servers on the path.
"""

import re
from dataclasses import dataclass

from arbutustally.bounded_head import HEADER_LINE
from arbutustally.errors import BadRequestError, BodyTooLargeError

MAX_HEADER_LINES = 100

_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (/[!-~]*) HTTP/1\.([01])")
_DECIMAL = re.compile(rb"[0-9]{1,15}")
# Parsers differ in whether they join or drop repeated headers of these names.
_SINGLE = frozenset(
    {
        b"authorization",
        b"content-length",
        b"content-type",
        b"expect",
        b"host",
        b"idempotency-key",
        b"last-event-id",
        b"transfer-encoding",
    }
)


@dataclass(frozen=True)
class RequestHead:
    """A checked request head.

    :ivar method: request method.
    :ivar target: origin-form target.
    :ivar minor: minor HTTP version, 0 or 1.
    :ivar headers: lower-case names and values in order.
    :ivar content_length: declared body size in bytes, ``None`` for a chunked body.
    :ivar expects_continue: the sender waits for an interim response before the body.
    """

    method: bytes
    target: bytes
    minor: int
    headers: tuple[tuple[bytes, bytes], ...]
    content_length: int | None
    expects_continue: bool

    def with_length(self, length: int) -> bytes:
        """Returns the head as bytes for a decoded body of ``length`` bytes."""
        lines = [b"%s %s HTTP/1.%d" % (self.method, self.target, self.minor)]
        dropped = (b"content-length", b"transfer-encoding", b"expect")
        lines += [b"%s: %s" % header for header in self.headers if header[0] not in dropped]
        if length:
            lines.append(b"content-length: %d" % length)
        return b"\r\n".join(lines) + b"\r\n\r\n"


def parse_head(head: bytes, max_body_bytes: int) -> RequestHead:
    """Parses and checks a head.

    :param head: request line and header lines without the empty line at the end.
    :raises BadRequestError: if the head is malformed or ambiguous.
    :raises BodyTooLargeError: if the declared body exceeds ``max_body_bytes``.
    """
    first, *lines = head.split(b"\r\n")
    match = _REQUEST_LINE.fullmatch(first)
    if match is None:
        raise BadRequestError("the request line is malformed; send METHOD /path HTTP/1.1")
    method, target, minor = match[1], match[2], int(match[3])
    if b"#" in target:
        # Some servers drop a fragment and others take it for a part of the path or query.
        raise BadRequestError("the request target has a fragment; send # as %23 or omit it")
    headers = _parse_headers(lines)
    single = {name: value for name, value in headers if name in _SINGLE}
    if minor == 1 and not single.get(b"host"):
        raise BadRequestError("the Host header is missing; send it exactly once")
    content_length = _body_length(single, minor, max_body_bytes)
    expects = single.get(b"expect", b"").lower()
    if expects not in (b"", b"100-continue"):
        raise BadRequestError("the Expect header is not supported; send 100-continue or omit it")
    return RequestHead(method, target, minor, headers, content_length, minor == 1 and bool(expects))


def _parse_headers(lines: list[bytes]) -> tuple[tuple[bytes, bytes], ...]:
    if len(lines) > MAX_HEADER_LINES:
        raise BodyTooLargeError(f"more than {MAX_HEADER_LINES} header lines; send fewer")
    headers = []
    seen = set()
    for line in lines:
        match = HEADER_LINE.fullmatch(line)
        if match is None:
            raise BadRequestError("a header line is malformed; send 'Name: value' on one line")
        name = match[1].lower()
        if name in _SINGLE and name in seen:
            raise BadRequestError(f"the {name.decode()} header is repeated; send it once")
        seen.add(name)
        # WSGI maps '-' and '_' to the same variable, so X_Y could be taken for X-Y.
        if b"_" not in name:
            headers.append((name, match[2].rstrip(b" \t")))
    return tuple(headers)


def _body_length(single: dict[bytes, bytes], minor: int, max_body_bytes: int) -> int | None:
    length = single.get(b"content-length")
    coding = single.get(b"transfer-encoding")
    if coding is not None:
        if length is not None:
            raise BadRequestError(
                "Content-Length and Transfer-Encoding are both present; send one of them"
            )
        if coding.lower() != b"chunked" or minor == 0:
            raise BadRequestError("the transfer coding is not supported; send chunked or a length")
        return None
    if length is None:
        return 0
    if _DECIMAL.fullmatch(length) is None:
        raise BadRequestError("Content-Length is malformed; send decimal digits only")
    if int(length) > max_body_bytes:
        raise BodyTooLargeError(f"the body exceeds {max_body_bytes} bytes; send a smaller one")
    return int(length)
