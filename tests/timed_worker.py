"""A worker process that plays steps for each stream and reports when it worked.

Run as ``python -m tests.timed_worker FOLDER STEPS``. ``STEPS`` is a JSON list of two lists: those of
the first worker that gets a request, and those of the second one. A string is written, a number is
a pause in seconds, ``null`` ends the connection. The process prints a line for each stream: its
part (0 or 1), the steady times at which it was read, of its first write, and of its end or of the
kernel's report that the node has left.
"""

import contextlib
import json
import os
import select
import socket
import sys
import threading
import time
from pathlib import Path

_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
_UNKNOWN = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


def main() -> None:
    """Serves all connections until the process is killed."""
    folder, steps = Path(sys.argv[1]), json.loads(sys.argv[2])
    server = socket.create_server(("127.0.0.1", 0))
    print(server.getsockname()[1], flush=True)
    while True:
        connection, _ = server.accept()
        threading.Thread(target=_serve, args=(connection, folder, steps), daemon=True).start()


def _serve(connection: socket.socket, folder: Path, steps: list) -> None:
    reader = connection.makefile("rb")
    with contextlib.suppress(OSError):
        while first := reader.readline():
            fields = {}
            while (line := reader.readline().strip()) != b"":
                name, _, value = line.decode().partition(":")
                fields[name.lower()] = value.strip()
            reader.read(int(fields.get("content-length", 0)))
            if b"/chat/" not in first:
                connection.sendall(_UNKNOWN)
            else:
                _play(connection, fields["request-id"], folder, steps)


def _play(connection: socket.socket, request_id: str, folder: Path, steps: list) -> None:
    part = _part(folder / request_id)
    read = time.monotonic()
    began = None
    try:
        for step in steps[part]:
            if step is None:
                raise ConnectionResetError
            if not isinstance(step, str):
                _work(connection, step)
                continue
            if began is None:
                connection.sendall(_HEAD.format(request_id).encode())
                began = time.monotonic()
            data = step.encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
        connection.sendall(_LAST_CHUNK)
    finally:
        report = {"part": part, "read": read, "began": began, "ended": time.monotonic()}
        print(json.dumps(report), flush=True)


def _part(marker: Path) -> int:
    try:
        os.close(os.open(marker, os.O_CREAT | os.O_EXCL))
    except FileExistsError:
        return 1
    return 0


def _work(connection: socket.socket, work_s: float) -> None:
    poll = select.poll()
    poll.register(connection, 0)
    if poll.poll(work_s * 1000):
        raise ConnectionResetError


if __name__ == "__main__":
    main()
