"""Processes of the relay benchmarks: a paced engine, the node's relay and a bare relay.

``python -m bench.relay_processes engine|node|bare ...`` prints the address that it listens on.
"""

from gevent import config, monkey

config.loop = "libev-cext"
monkey.patch_all()

import argparse
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import bottle
import gevent
import orjson
import urllib3
from gevent.pywsgi import WSGIServer

from arbutustally_node.collector import tune_collector
from bench.raw_http import RawServer
from tests.fakes import Endpoint, FakeMembership, node_kernel, node_options

KEY = "key-of-school"
INCARNATION = "life-1"
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class PacedEngine:
    """Sends one token every ``gap_s`` seconds; a gap of 0 sends as fast as the socket takes."""

    def __init__(self, gap_s: float, first_s: float) -> None:
        self._gap_s = gap_s
        self._first_s = first_s

    def __call__(self, method: str, _path: str, body: bytes) -> Iterator[bytes]:
        if method != "POST":
            yield b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            return
        fields = orjson.loads(body)
        before, after = self._chunk(fields.get("request_id", "direct"))
        count = fields["max_tokens"]
        gevent.sleep(self._first_s)
        yield _HEAD
        for index in range(count):
            if self._gap_s and index:
                gevent.sleep(self._gap_s)
            yield _frame(b"data: " + before % index + (b"null" if index < count - 1 else after))
        yield _frame(b"data: [DONE]\n\n") + b"0\r\n\r\n"

    def _chunk(self, request_id: str) -> tuple[bytes, bytes]:
        before = (
            b'{"id":"%s","object":"chat.completion.chunk","incarnation":"%s","version":"v1",'
            b'"choices":[{"index":0,"delta":{"content":"word "},"token_index":%%d,"finish_reason":'
        ) % (request_id.encode(), INCARNATION.encode())
        after = (
            b'"length"}],"usage":{"prompt_tokens":9,"completion_tokens":9,'
            b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
        )
        return before, after


def _frame(data: bytes) -> bytes:
    if data.endswith(b"null"):
        data += b"}]}\n\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


def serve_engine(arguments: argparse.Namespace) -> None:
    server = RawServer(PacedEngine(arguments.gap_s, arguments.first_s))
    _announce(server.address)


def serve_node(arguments: argparse.Namespace) -> None:
    endpoint = Endpoint("e1", arguments.engine, incarnation=INCARNATION)
    options = node_options(caller_listen="127.0.0.1:0")
    kernel = node_kernel(FakeMembership(endpoint), options)
    kernel.start()
    tune_collector()
    _announce(kernel.lookup("caller_http").address)


def serve_bare(arguments: argparse.Namespace) -> None:
    pool = urllib3.PoolManager(maxsize=1000)
    app = bottle.Bottle()

    @app.post("/v1/chat/completions")
    def relay() -> Any:
        response = pool.request(
            "POST",
            f"http://{arguments.engine}/v1/chat/completions",
            body=bottle.request.body.read(),
            headers={"Content-Type": "application/json"},
            preload_content=False,
        )
        bottle.response.content_type = "text/event-stream"
        return response.stream(65536)

    bottle.BaseRequest.MEMFILE_MAX = 16 << 20
    server = WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    _announce(f"127.0.0.1:{server.server_port}")


def _announce(address: str) -> None:
    print(address, flush=True)
    # The parent closes standard input to end this process.
    gevent.get_hub().threadpool.apply(sys.stdin.read)


def spawn(role: str, *arguments: str) -> tuple[subprocess.Popen, str]:
    """Starts a process of this module and returns it with its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.relay_processes", role, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, process.stdout.readline().strip()


def end(*processes: subprocess.Popen) -> None:
    """Ends processes started by ``spawn``."""
    for process in processes:
        process.stdin.close()
        process.wait(timeout=10)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=("engine", "node", "bare"))
    parser.add_argument("--engine", default="")
    parser.add_argument("--gap-s", type=float, default=0.0)
    parser.add_argument("--first-s", type=float, default=0.0)
    arguments = parser.parse_args()
    roles = {"engine": serve_engine, "node": serve_node, "bare": serve_bare}
    roles[arguments.role](arguments)


if __name__ == "__main__":
    main()
