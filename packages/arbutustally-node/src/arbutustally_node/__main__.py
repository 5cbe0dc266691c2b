"""Entry point of ``arbutustallyd``: settings, wiring of the services, signals."""

from arbutustally_node.early_signals import EARLY_SIGNALS

# SIGHUP stays without effect: the settings are read only once.
EARLY_SIGNALS.install()

from gevent import config, monkey

# libuv may use io_uring, which the instances do not allow.
config.loop = "libev-cext"
monkey.patch_all()

import argparse
import os
import signal
import sys
from typing import Any

import gevent
import orjson
from gevent.event import Event

from arbutustally import __version__
from arbutustally.errors import SettingInvalidError
from arbutustally.logs import configure, get_logger
from arbutustally.settings import add_flags, printable, read
from arbutustally_node.collector import tune_collector
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import SETTINGS, Options
from arbutustally_node.services import register_services

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_CUT_SHORT = 3

DRAIN_POLL_S = 0.05


def build_parser() -> argparse.ArgumentParser:
    """Returns the command line parser."""
    parser = argparse.ArgumentParser(
        prog="arbutustallyd",
        description="Router node for language-model traffic with long shared prompts.",
        epilog=(
            "Exit codes: 0 stopped after a drain, 1 failed at run time, 2 a setting was refused, "
            "3 ended by a second signal before the drain was over."
        ),
    )
    parser.add_argument("--version", action="version", version=f"arbutustallyd {__version__}")
    parser.add_argument(
        "--check", action="store_true", help="validate the settings, print them and exit"
    )
    parser.add_argument(
        "--print-settings", action="store_true", help="print the effective settings and exit"
    )
    add_flags(parser, SETTINGS)
    return parser


def check_loop() -> None:
    """Refuses to run on an event loop other than libev with epoll.

    :raises SettingInvalidError: naming the loop in use and the remedy.
    """
    loop = gevent.get_hub().loop
    backend = getattr(loop, "backend", "")
    if not type(loop).__module__.startswith("gevent.libev") or backend != "epoll":
        raise SettingInvalidError(
            f"gevent runs on {type(loop).__module__} with backend {backend!r}; unset GEVENT_LOOP "
            "and GEVENT_BACKEND so that libev with epoll is used"
        )


def run(options: Options) -> int:
    """Runs a node until it has drained after SIGTERM or SIGINT.

    :returns: exit code.
    """
    log = get_logger("node").bind(node=options.node_id, incarnation=options.incarnation)
    kernel = Kernel()
    register_services(kernel, options)
    stopping = Event()
    killed = Event()

    def on_signal() -> None:
        if stopping.is_set():
            killed.set()
        stopping.set()

    gevent.signal_handler(signal.SIGTERM, on_signal)
    gevent.signal_handler(signal.SIGINT, on_signal)
    kernel.start()
    tune_collector()
    log.info(
        "node started",
        caller=kernel.lookup("caller_http").address,
        operator=kernel.lookup("operator_http").address,
        peer=kernel.lookup("peers").address,
        zone=options.zone,
    )
    stopping.wait()
    _drain(kernel, options, killed, log)
    if killed.is_set():
        log.warning("drain cut short", running=kernel.lookup("caller_http").running)
        # Stopping the services would cancel open streams at their engines, where callers can
        # still resume them through another node.
        os._exit(EXIT_CUT_SHORT)
    kernel.stop()
    log.info("node stopped", counts=kernel.lookup("metrics").counts)
    return EXIT_OK


def _drain(kernel: Kernel, options: Options, killed: Event, log: Any) -> None:
    """Serves callers that hold an old entry answer, then waits for the last request."""
    kernel.lookup("membership").drain()
    log.info("draining", grace_s=options.drain_grace_s)
    killed.wait(options.drain_grace_s)
    callers = kernel.lookup("caller_http")
    while callers.running and not killed.is_set():
        gevent.sleep(DRAIN_POLL_S)


def main() -> int:
    """Parses settings and runs the node."""
    flags = build_parser().parse_args()
    try:
        values = read(SETTINGS, flags, os.environ)
        options = Options.from_config(values)
        check_loop()
    except SettingInvalidError as error:
        print(f"arbutustallyd: {error.message}", file=sys.stderr)
        return EXIT_SETTINGS
    if flags.check or flags.print_settings:
        shown = printable(SETTINGS, values)
        print(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())
        return EXIT_OK
    configure(options.log_level)
    return run(options)


if __name__ == "__main__":
    sys.exit(main())
