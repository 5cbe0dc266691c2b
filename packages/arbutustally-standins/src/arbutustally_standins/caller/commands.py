"""Command line of the demo client."""

import argparse
import json
import os
import sys
from collections.abc import Sequence

import gevent

from arbutustally_standins.caller.client import Caller, CallFailedError, StreamResult

_PATHS = {"chat": "/v1/chat/completions", "completions": "/v1/completions"}


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one call; the answer goes to standard output, a summary to standard error.

    :returns: 0 for a whole answer, 1 otherwise.
    """
    arguments = _parser().parse_args(argv)
    entries = tuple(arguments.entry.split(","))
    caller = Caller.from_config(entries, os.environ.get("CALLER_KEY", ""), gevent.sleep)
    try:
        return _book(caller, arguments) if arguments.book else _stream(caller, arguments)
    except CallFailedError as error:
        _summary(code=error.code, status=error.status, ran=error.ran)
        return 1


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        description="Calls the router once. The key is read from the variable CALLER_KEY."
    )
    parser.add_argument("--entry", required=True, help="addresses of nodes, host:port by commas")
    parser.add_argument("--model", default="marelle")
    parser.add_argument("--route", default="chat", choices=sorted(_PATHS))
    parser.add_argument("--prompt", default="Which stencils are booked?", help="the question")
    parser.add_argument("--guide", default="", help="text of the system message")
    parser.add_argument("--max-tokens", type=int, default=32)
    parser.add_argument("--book", default="", help="path of a plain route to call instead")
    parser.add_argument("--method", default="POST", help="method of the plain call")
    parser.add_argument("--body", default="{}", help="JSON body of the plain call")
    parser.add_argument("--idempotency-key", default="", help="UUIDv7; a new one by default")
    return parser


def _stream(caller: Caller, arguments: argparse.Namespace) -> int:
    body: dict = {"model": arguments.model, "max_tokens": arguments.max_tokens}
    if arguments.route == "chat":
        guide = [{"role": "system", "content": arguments.guide}] if arguments.guide else []
        body["messages"] = [*guide, {"role": "user", "content": arguments.prompt}]
    else:
        body["prompt"] = arguments.guide + arguments.prompt
    result = StreamResult()
    for text in caller.stream(_PATHS[arguments.route], body, result):
        print(text, end="", flush=True)
    print()
    _summary(nodes=result.nodes, request_id=result.request_id, usage=result.usage)
    return 0


def _book(caller: Caller, arguments: argparse.Namespace) -> int:
    response = caller.book(
        arguments.method, arguments.book, json.loads(arguments.body), arguments.idempotency_key
    )
    print(response.data.decode())
    _summary(status=response.status, request_id=response.headers.get("X-Request-Id", ""))
    return 0 if response.status < 400 else 1


def _summary(**fields: object) -> None:
    print(json.dumps(fields), file=sys.stderr)
