"""A worker process that reports how it learns that the node has left a connection.

Run as ``python -m tests.watching_worker``. The request's path names the answer; the body is never
read. For each connection it prints the steady time at which the kernel reported the end of the
caller's data, and the one at which it reported that nobody reads the answer any more. A worker that
doesn't read while it works sees only the second one.
"""

import json
import select
import socket
import time

WATCH_S = 2.0
_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"
ANSWERS = {
    b"/none": b"",
    b"/head": _HEAD % b"r1",
    b"/part": _HEAD % b"r1" + b"5\r\nid: 1\r\n",
    b"/event": _HEAD % b"r1" + b"c\r\nid: 1\ndata: \r\n" + b"2\r\n\n\n\r\n",
    b"/crossed": _REFUSAL,
    b"/crossed-and-more": _REFUSAL + _HEAD % b"r1",
}


def main() -> None:
    """Serves one connection after another."""
    server = socket.create_server(("127.0.0.1", 0))
    print(server.getsockname()[1], flush=True)
    while True:
        connection, _ = server.accept()
        with connection:
            print(json.dumps(_watch(connection)), flush=True)


def _watch(connection: socket.socket) -> dict:
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        if not (byte := connection.recv(1)):
            return {}
        head += byte
    path = head.split(b" ")[1]
    connection.sendall(ANSWERS[path])
    ended = _await(connection, select.POLLRDHUP)
    broken = _await(connection, 0)
    return {"path": path.decode(), "ended": ended, "broken": broken}


def _await(connection: socket.socket, events: int) -> float | None:
    poll = select.poll()
    poll.register(connection, events)
    return time.monotonic() if poll.poll(WATCH_S * 1000) else None


if __name__ == "__main__":
    main()
