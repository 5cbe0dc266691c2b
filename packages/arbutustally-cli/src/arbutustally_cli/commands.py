"""The operator's commands; each writes its result and returns an exit code."""

import argparse
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from arbutustally.declarations import Declarations, Difference, diff, load_toml, to_items
from arbutustally.errors import (
    ConfigurationInvalidError,
    LogUnavailableError,
    NodeUnreachableError,
    SettingInvalidError,
)
from arbutustally_cli.client import OperatorClient
from arbutustally_cli.exit_codes import ExitCode
from arbutustally_cli.explanation import explain_text
from arbutustally_cli.render import Screen, difference_data, difference_lines, show, table
from arbutustally_cli.where_text import where_text

#: The node waits 9 s for its peers to confirm a withdrawal; the rest is for collecting reports.
_WITHDRAWAL_S = 20.0
_APPLY_S = 15.0
#: Fields that describe a request to ``where``, and their help.
REQUEST_FIELDS = {
    "host": "host that the caller names",
    "path": "path of the request",
    "method": "method",
    "account": "client account",
    "model": "model, for a prompt",
    "tokens": "tokens of the prompt",
    "output_tokens": "tokens to generate",
    "parts": "parts of the prompt, ID:TOKENS,...",
    "bytes": "bytes of the body",
    "left_s": "seconds that the caller waits",
    "id": "request id, which decides shares of a route and of a roll-out",
}
_POLL_S = 0.3


@dataclass(frozen=True)
class Context:
    """What a command works with.

    :ivar client: ``None`` for commands that need no node.
    """

    arguments: argparse.Namespace
    client: OperatorClient | None
    screen: Screen
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep


def _load(path: str) -> Declarations:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingInvalidError(f"{path} cannot be read: {error}; name a TOML file") from error
    try:
        return load_toml(text)
    except ConfigurationInvalidError as error:
        raise ConfigurationInvalidError(f"{path}: {error.message}") from error


def check(context: Context) -> ExitCode:
    """Validates a file without a node."""
    path = context.arguments.file
    items = to_items(_load(path))
    context.screen.result(
        {"valid": True, "items": len(items)}, f"{path}: {len(items)} items, valid"
    )
    return ExitCode.DONE


def _compare(context: Context) -> tuple[dict[str, Any], int, Difference]:
    """Returns the wanted items, the current version and the difference."""
    wanted = to_items(_load(context.arguments.file))
    current = context.client.call("GET", "/v1/declarations")
    return wanted, current["version"], diff(current["items"], wanted)


def show_diff(context: Context) -> ExitCode:
    """Shows what applying a file would change."""
    _, version, difference = _compare(context)
    lines = difference_lines(difference) or ["no difference"]
    text = "\n".join([f"against version {version}:", *lines])
    context.screen.result({"version": version, **difference_data(difference)}, text)
    return ExitCode.DONE


def apply(context: Context) -> ExitCode:
    """Applies a file and waits until the version is in force on every node."""
    wanted, version, difference = _compare(context)
    if context.arguments.base is not None:
        version = context.arguments.base
    body = {"items": wanted, "base": version, "author": context.arguments.author}
    answer = context.client.call("POST", "/v1/apply", body, longest_s=_APPLY_S)
    if not answer["applied"]:
        text = f"nothing to change: version {answer['version']} already declares this"
        context.screen.result({**answer, "missing": []}, text)
        return ExitCode.DONE
    return _wait_in_force(context, answer, difference)


def _wait_in_force(context: Context, answer: dict[str, Any], difference: Difference) -> ExitCode:
    version = answer["version"]
    screen = context.screen
    started = context.clock()
    nodes: list[dict[str, Any]] | None = None
    while True:
        nodes = _fleet_nodes(context) or nodes
        missing = [node["id"] for node in nodes or () if node.get("offset", -1) < version]
        waited_s = context.clock() - started
        progress = f"{len(nodes or ()) - len(missing)} of {len(nodes or ())} nodes"
        screen.progress(f"version {version}: in force on {progress}")
        if (nodes and not missing) or waited_s >= context.arguments.wait_s:
            break
        context.sleep(_POLL_S)
    screen.end_progress()
    lines = difference_lines(difference)
    lines.append(f"version {version} in force on {progress}, {waited_s:.1f} s")
    if nodes is None:
        lines.append(f"{context.client.node} did not report the nodes; run status")
    if missing:
        lines.append(f"not in force on: {', '.join(missing)}; run status until they follow")
    data = {**answer, "nodes": len(nodes or ()), "missing": missing}
    screen.result({**data, "waited_s": round(waited_s, 3)}, "\n".join(lines))
    return ExitCode.DONE if nodes and not missing else ExitCode.NOT_IN_FORCE


def _fleet_nodes(context: Context) -> list[dict[str, Any]] | None:
    """Returns the reports of all nodes; the version is accepted, so a failed poll is repeated."""
    try:
        return context.client.call("GET", "/v1/fleet", longest_s=_APPLY_S)["nodes"]
    except (NodeUnreachableError, LogUnavailableError):
        return None


def status(context: Context) -> ExitCode:
    """Shows all nodes of the fleet."""
    fleet = context.client.call("GET", "/v1/fleet", longest_s=_APPLY_S)
    rows = [_status_row(node) for node in fleet["nodes"]]
    columns = ("id", "zone", "state", "version", "offset", "log_age_s", "leases")
    context.screen.result(fleet, f"version {fleet['version']}\n" + table(rows, columns))
    return ExitCode.DONE


def _status_row(node: dict[str, Any]) -> dict[str, Any]:
    if not node.get("reachable"):
        state = "not reachable"
    elif node.get("draining"):
        state = "draining"
    else:
        state = "ready" if node.get("ready") else "not ready"
    log = node.get("log") or {}
    return {**node, "state": state, "log_age_s": log.get("age_s")}


def history(context: Context) -> ExitCode:
    """Shows the latest changes, accepted and rejected."""
    entries = context.client.call("GET", "/v1/history")["entries"][-context.arguments.limit :]
    rows = [
        {**entry, "result": "accepted" if entry["accepted"] else "rejected"} for entry in entries
    ]
    columns = ("offset", "kind", "result", "author", "detail", "names")
    context.screen.result({"entries": entries}, table(rows, columns))
    return ExitCode.DONE


def explain(context: Context) -> ExitCode:
    """Explains one request."""
    request_id = quote(context.arguments.request_id, safe="~")
    account = context.client.call("GET", f"/v1/explain/{request_id}", longest_s=_APPLY_S)
    context.screen.result(account, explain_text(account))
    return ExitCode.DONE


def where(context: Context) -> ExitCode:
    """Explains where a described request would go now; it is not sent."""
    given = {name: getattr(context.arguments, name) for name in REQUEST_FIELDS}
    query = urlencode({name: value for name, value in given.items() if value})
    answer = context.client.call("GET", f"/explain?{query}", longest_s=_APPLY_S)
    context.screen.result(answer, where_text(answer))
    return ExitCode.DONE


def keys_issue(context: Context) -> ExitCode:
    """Issues a key; its text is shown once."""
    body = {"account": context.arguments.account}
    issued = context.client.call("POST", "/v1/keys", body, longest_s=_APPLY_S)
    text = f"{issued['text']}\nkey id {issued['key_id']}, account {issued['account']}"
    context.screen.result(issued, text + "\nthe key is shown only now; keep it secret")
    return ExitCode.DONE


def keys_withdraw(context: Context) -> ExitCode:
    """Withdraws a key and tells where the withdrawal is in force."""
    key_id = quote(context.arguments.key_id, safe="")
    answer = context.client.call("DELETE", f"/v1/keys/{key_id}", longest_s=_WITHDRAWAL_S)
    missing = answer["not_confirmed"]
    total = len(answer["in_force"]) + len(missing)
    lines = [f"withdrawn; in force on {len(answer['in_force'])} of {total} nodes"]
    if not answer["was_known"]:
        lines.append(f"no key with id {key_id} was issued; check the id")
    if missing:
        lines.append(f"not confirmed by: {', '.join(missing)}; the key may still work there")
    context.screen.result(answer, "\n".join(lines))
    return ExitCode.NOT_IN_FORCE if missing else ExitCode.DONE


def moves(context: Context) -> ExitCode:
    """Shows moves between versions and their evidence."""
    data = context.client.call("GET", "/v1/moves")
    columns = ("model", "previous", "version", "step", "share", "move_by", "evidence")
    rows = [{**move, "share": f"{move['share']:.0%}"} for move in data["moves"]]
    lines = [table(rows, columns) if rows else "no moves"]
    lines += [f"controller: {show(entry)}" for entry in data.get("controller", [])]
    context.screen.result(data, "\n".join(lines))
    return ExitCode.DONE
