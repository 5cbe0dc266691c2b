"""Readable explanation of where a described request would go."""

from collections.abc import Mapping
from typing import Any

from arbutustally_cli.render import show, table

_COLUMNS = (
    "id",
    "zone",
    "usable",
    "running",
    "slots",
    "queued_tokens",
    "answered_s_ago",
    "cached",
    "queue_s",
    "expected_s",
    "cost",
)


def where_text(told: Mapping[str, Any]) -> str:
    """Returns the explanation as text.

    :param told: answer of a node: the endpoint, limits that reject the request, and candidates.
    """
    lines = [
        f"node {told['node']} in zone {told['zone']}, route {told['route']}, "
        f"service {told['service']}, configuration {told['config']}",
        f"endpoint: {show(told['endpoint'])}",
    ]
    lines += [f"rejected: {one['code']} ({one['message']})" for one in told["rejected"]]
    if told["zone_decision"]:
        lines.append(f"zone: {show(told['zone_decision'])}; costs: {show(told['zone_costs'])}")
    lines += [f"because: {reason}" for reason in told["reasons"]]
    lines += [f"{name}: {show(value)}" for name, value in told["facts"].items()]
    return "\n".join((*lines, table(told["candidates"], _COLUMNS)))
