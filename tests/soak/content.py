"""What callers send and workers answer; both sides can compute what must arrive."""

STREAM_EVENTS = 20
#: A long request body fills more than the socket buffers of one read, and keeps below the limit.
LONG_BODY_BYTES = 60_000


def request_body(request_id: str, is_long: bool = False) -> bytes:
    """Returns the body of a request."""
    unit = f"{request_id} ".encode()
    return unit * (LONG_BODY_BYTES // len(unit) if is_long else 1)


def is_request_body(request_id: str, body: bytes) -> bool:
    """Returns whether a body is that of a request, long or not."""
    return body in (request_body(request_id), request_body(request_id, is_long=True))


def signature(worker: str, token: str) -> str:
    """Returns the signature of a run; a beginning of it is no other run's."""
    return f"stamp.{worker}.{token}.end"


def answer_body(request_id: str, token: str) -> bytes:
    """Returns the whole body of a run of a plain request, of 1 to 64 lines."""
    return f"{request_id} {token}\n".encode() * (1 + int(token, 16) % 64)


def event(request_id: str, number: int) -> bytes:
    """Returns an event of a stream, the same for each run of the request."""
    return f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()


def stream_body(request_id: str) -> bytes:
    """Returns the whole body of a stream."""
    return b"".join(event(request_id, number) for number in range(1, STREAM_EVENTS + 1))
