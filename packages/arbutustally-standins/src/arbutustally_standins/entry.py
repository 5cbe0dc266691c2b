"""Command line of the stand-in processes; entry points patch the standard library first."""

import argparse
import json
import signal
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event

from arbutustally_standins.server import StandinServer

Flags = Callable[[argparse.ArgumentParser], None]


def run(
    description: str,
    build: Callable[[argparse.Namespace], Any],
    add_flags: Flags,
    argv: Sequence[str] | None = None,
) -> int:
    """Runs a stand-in until SIGTERM or SIGINT.

    The first line on standard output is ``{"listening": "host:port"}``.

    :param build: makes the stand-in from the parsed flags.
    :param add_flags: declares its flags.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", default="127.0.0.1:0", help="host:port; port 0 picks one")
    parser.add_argument("--faults", default="{}", help="faults set at the start, as JSON")
    add_flags(parser)
    arguments = parser.parse_args(argv)
    standin = build(arguments)
    standin.faults.update(json.loads(arguments.faults))
    server = StandinServer.from_config(standin, arguments.listen)
    server.start()
    print(json.dumps({"listening": server.address}), flush=True)
    _wait_for_signal()
    server.stop()
    return 0


def _wait_for_signal() -> None:
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()
