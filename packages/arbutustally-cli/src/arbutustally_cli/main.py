"""Command line of operators."""

import argparse
import getpass
import os
import sys
from collections.abc import Callable, Mapping, Sequence

import orjson

from arbutustally import __version__
from arbutustally.errors import RouterError, SettingInvalidError
from arbutustally.settings import Setting, add_flags, printable, read
from arbutustally_cli import commands
from arbutustally_cli.client import OperatorClient
from arbutustally_cli.exit_codes import ExitCode, exit_code_of
from arbutustally_cli.render import Screen

SETTINGS = (
    Setting("node", str, "127.0.0.1:8081", "Operator address of any node, host:port."),
    Setting(
        "operator_token",
        str,
        None,
        "Bearer credential of operators.",
        secret=True,
        example="$(cat operator-token)",
    ),
    Setting("timeout_s", float, 10.0, "Longest silence of the node.", "s", 0.1, 600),
)
_SEQUENCE = (
    ("check", "validate a declaration file without a node", commands.check),
    ("diff", "show what applying a file would change", commands.show_diff),
    ("apply", "apply a file and wait until it is in force on every node", commands.apply),
    ("status", "show all nodes", commands.status),
    ("history", "show the latest changes, accepted and rejected", commands.history),
    ("explain", "explain one request", commands.explain),
    ("where", "explain where a request would go now, without sending it", commands.where),
    ("moves", "show moves between versions", commands.moves),
)
_WAIT_S = 30.0
#: Longest silence of a gateway node that explains a request, seconds.
WHERE_TIMEOUT_S = 10.0

Command = Callable[[commands.Context], ExitCode]


def _author() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ""


def _settings_parser() -> argparse.ArgumentParser:
    """Returns a parser of the flags that are accepted before and after the command."""
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    add_flags(parser, SETTINGS)
    parser.add_argument(
        "--output", choices=("json", "table"), default="table", help="form of the result"
    )
    return parser


def _parser(common: argparse.ArgumentParser) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="arbutustally",
        description="Operates a fleet of arbutustally nodes.",
        epilog="exit codes: " + "; ".join(f"{code} {code.meaning}" for code in ExitCode),
        parents=[common],
        allow_abbrev=False,
    )
    parser.add_argument("--version", action="version", version=f"arbutustally {__version__}")
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    parser.add_argument(
        "--print-settings", action="store_true", help="print the effective settings and exit"
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    parsers = {name: _add(subparsers, common, *entry) for name, *entry in _named(_SEQUENCE)}
    for name in ("check", "diff", "apply"):
        parsers[name].add_argument("file", metavar="FILE", help="declarations in TOML")
    _add_apply_flags(parsers["apply"])
    parsers["history"].add_argument(
        "--limit", type=_positive, default=20, metavar="N", help="entries to show (default 20)"
    )
    parsers["explain"].add_argument("request_id", metavar="REQUEST-ID", help="X-Request-Id")
    _add_where(parsers["where"])
    _add_keys(subparsers, common)
    return parser


def _named(entries: Sequence[tuple]) -> list[tuple]:
    return [(entry[0], *entry) for entry in entries]


def _add(
    subparsers: argparse._SubParsersAction,
    common: argparse.ArgumentParser,
    name: str,
    text: str,
    command: Command,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(
        name, help=text, description=text, parents=[common], allow_abbrev=False
    )
    parser.set_defaults(run=command)
    return parser


def _add_apply_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--base",
        type=int,
        default=None,
        metavar="VERSION",
        help="version that the change is based on (default: the current one)",
    )
    parser.add_argument("--author", default=_author(), help="name for the history")
    parser.add_argument(
        "--wait-s",
        type=_seconds,
        default=_WAIT_S,
        metavar="SECONDS",
        help=f"longest wait until it is in force on every node (default {_WAIT_S:.0f})",
    )


def _add_where(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--control", required=True, metavar="HOST:PORT", help="control listener of a gateway node"
    )
    for name, text in commands.REQUEST_FIELDS.items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, required=name in ("host", "path"), default="", help=text)


def _add_keys(subparsers: argparse._SubParsersAction, common: argparse.ArgumentParser) -> None:
    text = "issue and withdraw keys of callers"
    keys = subparsers.add_parser("keys", help=text, description=text, allow_abbrev=False)
    actions = keys.add_subparsers(dest="action", metavar="ACTION", required=True)
    issue = _add(actions, common, "issue", "issue a key; it is shown once", commands.keys_issue)
    issue.add_argument("account", metavar="ACCOUNT", help="declared client account")
    text = "withdraw a key and tell on which nodes that is in force"
    withdraw = _add(actions, common, "withdraw", text, commands.keys_withdraw)
    withdraw.add_argument("key_id", metavar="KEY-ID", help="the part between the hyphens")


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 3600:
        raise argparse.ArgumentTypeError("use 0 to 3600 seconds")
    return value


def _positive(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError("use a number from 1")
    return value


def _read_settings(flags: argparse.Namespace, environment: Mapping[str, str]) -> dict:
    """Reads the settings; variables of the node, often set in the same shell, are left alone."""
    own = {setting.variable for setting in SETTINGS}
    return read(SETTINGS, flags, {name: environment[name] for name in own & set(environment)})


def run(argv: Sequence[str], environment: Mapping[str, str], screen: Screen | None = None) -> int:
    """Runs one command.

    :return: the exit code.
    """
    common = _settings_parser()
    parser = _parser(common)
    arguments = parser.parse_args(argv)
    # A second pass finds the common flags wherever they stand: argparse lets the defaults of a
    # subcommand replace values given before it.
    flags, _ = common.parse_known_args(argv)
    screen = screen or Screen.from_config(flags.output)
    try:
        return _run(parser, arguments, flags, environment, screen)
    except RouterError as error:
        ran = str(error.ran).replace("_", " ")
        screen.note(f"arbutustally: {error.message} ({error.code}, {ran})")
        return exit_code_of(error)


def _run(
    parser: argparse.ArgumentParser,
    arguments: argparse.Namespace,
    flags: argparse.Namespace,
    environment: Mapping[str, str],
    screen: Screen,
) -> ExitCode:
    if arguments.print_settings or arguments.check:
        values = _read_settings(flags, environment)
        if arguments.print_settings:
            text = orjson.dumps(printable(SETTINGS, values), option=orjson.OPT_INDENT_2).decode()
            print(text, file=screen.out)
        return ExitCode.DONE
    if arguments.command is None:
        parser.print_help(screen.err)
        return ExitCode.USAGE
    if arguments.command == "check":
        return commands.check(commands.Context(arguments, None, screen))
    if arguments.command == "where":
        # The control listener is open to the nodes' network only and takes no credential.
        _check_address(arguments.control)
        client = OperatorClient(arguments.control, "", WHERE_TIMEOUT_S)
        return commands.where(commands.Context(arguments, client, screen))
    values = _read_settings(flags, environment)
    _check_address(values["node"])
    client = OperatorClient(values["node"], values["operator_token"], values["timeout_s"])
    return arguments.run(commands.Context(arguments, client, screen))


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingInvalidError(f"--node is {address!r}; accepted: host:port from 1 to 65535")


def main() -> None:
    """Entry point of the binary."""
    try:
        code = run(sys.argv[1:], os.environ)
    except KeyboardInterrupt:
        print("arbutustally: interrupted", file=sys.stderr)
        code = ExitCode.UNEXPECTED
    except BrokenPipeError:
        sys.stderr.close()
        code = ExitCode.UNEXPECTED
    sys.exit(code)
